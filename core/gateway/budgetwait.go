package gateway

import (
	"slices"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// awaitBudget lets a request that has not run wait until the placer is likely to allow it another attempt, and reports
// whether it waits.
func (mac *Machine) awaitBudget(now clock.Instant, inf *inFlight, ans placement.Answer) bool {
	if ans.Reason != placement.NoRetry || inf.verdict != verdict.NotRun || mac.tooLateToStart(now, inf) {
		return false
	}
	latest := inf.deadline.Add(-minAttemptTime)
	if inf.goal.Before(latest) {
		latest = inf.goal
	}
	waits, may := inf.waits.With(now, ans.RetryAfter, latest)
	if !may {
		return false
	}
	inf.waits = waits
	mac.emit(LogEntry{Request: inf.ID, Event: "retryWaits", Fields: []any{
		"attempt", inf.attempt, "for", ans.RetryAfter, "wait", waits.Count(), "priority", inf.priority, "organisation", inf.organisation,
		"service", inf.service, "part", inf.queriedPartition.number, "placer", inf.queriedPlacer,
	}})
	return true
}

// tickBudgetWaits asks again for the requests that have waited for the retry budget.
func (mac *Machine) tickBudgetWaits(now clock.Instant) {
	var due []request.ID
	for id, inf := range mac.requests {
		if inf.waits.Due(now) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		inf := mac.requests[id]
		if inf == nil || !inf.waits.Due(now) {
			continue
		}
		inf.waits, inf.waited = inf.waits.Over(), true
		if mac.tooLateToStart(now, inf) {
			mac.refuse(now, inf, mac.stopRefusal())
			continue
		}
		mac.nextAttempt(now, inf, "the budget of retries was spent")
	}
}

// awaitedPartition returns the partition whose placer told a request when to ask again, if the request has just waited for
// that; nil if it has not, or if the partition no longer exists. It resets inf.waited.
func (mac *Machine) awaitedPartition(inf *inFlight) *partition {
	par := inf.queriedPartition
	waited := inf.waited
	inf.waited = false
	if !waited || par == nil || mac.partitionAt(inf.service, par.number) != par {
		return nil
	}
	return par
}
