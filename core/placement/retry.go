package placement

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/retrybudget"
)

const (
	// The times until an attempt is hedged or replaced, in standard deviations above the median on
	// the logarithmic scale. A first attempt is hedged at hedgeDevs, or at trialDevs if it is the
	// trial of a suspected target; it may be replaced at replaceDevs. The time at retryDevs is kept
	// before the deadline for a retry, see latestRetry.
	hedgeDevs   = 0.8
	trialDevs   = 0.5
	replaceDevs = 2.3
	retryDevs   = 1.3
	// slackDevs is that of the time that a route's latency goal must leave for a request after its wait
	// for a slot.
	slackDevs = 1.0
	// minHedgeChance is the least chance to be answered in time for which a hedge is sent.
	minHedgeChance = 0.25
	// replaceSteps is in how many steps replaceAfter looks for a time.
	replaceSteps = 10
)

// attemptTiming is what decides when another attempt may follow one that has just been placed.
type attemptTiming struct {
	latency *latency
	// slowdown is that of the target, and sick the probability that it is sick.
	slowdown, sick float64
	// queueWait is how long the attempt is expected to wait for a slot.
	queueWait time.Duration
	// timeLeft is the time until the deadline of the request.
	timeLeft time.Duration
}

// latestRetry returns how much of the time left may pass before a retry, so that the retry can still be
// answered in time. It is at least half of the time left.
func (tim attemptTiming) latestRetry() time.Duration {
	return max(tim.timeLeft-tim.latency.timeAt(retryDevs, 1), tim.timeLeft/2)
}

// retryChance returns the chance that a retry which is sent after dur is answered in time.
func (tim attemptTiming) retryChance(dur time.Duration) float64 {
	return 1 - tim.latency.survival(tim.timeLeft-dur, 1)
}

// answerChance returns the chance that the attempt, without response after dur, is answered in time.
func (tim attemptTiming) answerChance(dur time.Duration) float64 {
	pending := tim.latency.survival(dur-tim.queueWait, tim.slowdown)
	late := min(tim.latency.survival(tim.timeLeft-tim.queueWait, tim.slowdown), pending)
	healthy := 1 - update(clamp(tim.sick), pendingFactor(pending))
	return healthy * (1 - late/pending)
}

// replaceAfter returns the time after which another attempt may replace the attempt. Before that, the
// attempt has the better chance to be answered in time. If there is no such time before the deadline, it
// returns the time left.
func (tim attemptTiming) replaceAfter() time.Duration {
	first := min(tim.queueWait+tim.latency.timeAt(replaceDevs, tim.slowdown), tim.latestRetry())
	for num := range replaceSteps {
		at := first + (tim.timeLeft-first)*time.Duration(num)/replaceSteps
		if tim.retryChance(at) > tim.answerChance(at) {
			return at
		}
	}
	return tim.timeLeft
}

// hedgeAfter returns how long the attempt runs alone before a hedge may be sent to another target. This
// is longer than most requests take, but shorter for the trial of a suspected target, which likely
// fails. With an unreliable estimate, and for a retry, it is the time at which the attempt may be
// replaced. If a hedge would likely be answered too late, it returns the time left.
func (tim attemptTiming) hedgeAfter(retry, trial bool) time.Duration {
	if !tim.latency.reliable() || retry {
		return tim.replaceAfter()
	}
	devs := hedgeDevs
	if trial {
		devs = trialDevs
	}
	at := min(tim.queueWait+tim.latency.timeAt(devs, tim.slowdown), tim.latestRetry())
	if tim.retryChance(at) < minHedgeChance {
		return tim.timeLeft
	}
	return at
}

// claim describes what a further attempt of the request asks of the retry budget. lat is the estimate for its route.
func (cri Criteria) claim(lat *latency) retrybudget.Claim {
	cla := retrybudget.Claim{Priority: cri.Priority, Late: lat.goal > 0 && cri.longestWait(lat) <= 0}
	switch {
	case cri.Hedge:
		cla.Purpose = retrybudget.Hedge
	case cri.MayHaveRun:
		cla.Purpose = retrybudget.AfterFailure
	}
	return cla
}

// longestWait returns for how long the request may wait until it is sent, so that it is likely answered within its
// latency goal; negative if it likely is not in any case.
func (cri Criteria) longestWait(lat *latency) time.Duration {
	return min(cri.TimeToGoal, cri.TimeLeft) - lat.median()
}

// retryWait returns the time after which a request that the retry budget refuses an attempt may ask again. It is beyond the
// latency goal if the request would be answered too late after that time.
func (pla *Placer) retryWait(now clock.Instant, cri Criteria, lat *latency) time.Duration {
	longest := cri.longestWait(lat)
	wait := pla.budget.Wait(now, cri.claim(lat), longest)
	if wait > longest {
		return max(wait, cri.TimeToGoal)
	}
	return wait
}
