package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/retrybudget"
)

// maxSends is the most targets to which an idempotent request is sent.
const maxSends = 2

// idempotentRequest is a request that is hedged if its response does not come.
type idempotentRequest struct {
	began    clock.Instant
	tried    []string
	answered bool
	// ends has functions that free the slots of the attempts and report the attempts as ended.
	ends []func()
}

// sendIdempotent places a request. Unless noHedge is set, it places a hedge after the time that the
// placer gave.
func (sim *simulation) sendIdempotent(req *idempotentRequest, noHedge bool) {
	sim.next++
	aid := AttemptID{VM: fmt.Sprintf("vm%02d", sim.rnd.IntN(48)), Number: sim.next}
	elapsed := sim.now.Since(req.began)
	retry := len(req.tried) > 0
	ans := sim.placer.Place(sim.now, aid, Criteria{
		Route: "reads", Domain: "a", Idempotent: true, Retry: retry, Hedge: retry, Tried: req.tried,
		TimeToGoal: max(sim.goal-elapsed, 0), TimeLeft: sim.deadline - elapsed,
	})
	if ans.Target == "" {
		return
	}
	id := ans.Target
	req.tried = append(req.tried, id)
	sim.used[id] = sim.now
	if until, sick := sim.sick[id]; sick && sim.now.Before(until) && sim.rnd.Float64() < 0.75 {
		sim.ends = append(sim.ends, scheduledEnd{at: sim.now.Add(sim.deadline - elapsed), attempt: aid, outcome: health.Overdue})
	} else {
		end := sim.slotAt(id).Add(sim.drawDuration())
		sim.busyUntil[id] = append(sim.busyUntil[id], end)
		req.ends = append(req.ends, func() { sim.freeSlot(id, end) })
		sim.ends = append(sim.ends, scheduledEnd{at: end, attempt: aid, outcome: health.Success, then: func() { sim.idempotentAnswered(req) }})
	}
	req.ends = append(req.ends, func() { sim.placer.Ended(sim.now, aid, health.Overdue) })
	if noHedge || len(req.tried) == maxSends {
		return
	}
	sim.ends = append(sim.ends, scheduledEnd{at: sim.now.Add(ans.HedgeAfter), then: func() {
		if !req.answered {
			sim.sendIdempotent(req, noHedge)
		}
	}})
}

// idempotentAnswered handles the first response to a request and ends its other attempt.
func (sim *simulation) idempotentAnswered(req *idempotentRequest) {
	if req.answered {
		return
	}
	req.answered = true
	if sim.now.Since(req.began) <= sim.goal {
		sim.inGoal++
	}
	for _, end := range req.ends {
		end()
	}
}

// freeSlot ends now the request at a target that would have run until end.
func (sim *simulation) freeSlot(id string, end clock.Instant) {
	at := slices.Index(sim.busyUntil[id], end)
	if at >= 0 && sim.now.Before(end) {
		sim.busyUntil[id][at] = sim.now
	}
}

// TestHedgesMeetMoreLatencyGoals simulates a service with long requests, all of which are idempotent,
// while three tenths of its targets are sick, at a third, at a half and at two thirds of its capacity.
// Hedges must raise the share of requests that meet their latency goal by gain at least, or else they
// would only add load.
func TestHedgesMeetMoreLatencyGoals(t *testing.T) {
	const seeds = 6
	for _, one := range []struct {
		perSecond float64
		// gain is the least increase, by hedges, of the share of requests that are answered within
		// their latency goal. It is below 0 where the test only allows for the random variation.
		gain float64
	}{{40, 0.03}, {60, 0.015}, {80, -0.01}} {
		share := func(noHedge bool) float64 {
			sent, inGoal := 0, 0
			for seed := range uint64(seeds) {
				sim := newSimulation(seed, longRequests)
				sim.run(60*time.Second, one.perSecond, 0.3, func() string {
					sim.idempotentSent++
					sim.sendIdempotent(&idempotentRequest{began: sim.now}, noHedge)
					return ""
				})
				sent, inGoal = sent+sim.idempotentSent, inGoal+sim.inGoal
			}
			return float64(inGoal) / float64(sent)
		}
		if noHedge, hedged := share(true), share(false); hedged < noHedge+one.gain {
			t.Errorf("at %v requests a second %.3f were answered within their latency goal, %.3f without hedges", one.perSecond, hedged, noHedge)
		}
	}
}

// TestTargetsThatStaySickGetFewerTrials makes two of fifteen targets sick for half a minute, in which
// they must get few trials, each of which may lose a request. Once they are healthy they must be used
// again within eight seconds, the bound of TestLongRequestsLeaveNoHealthyTargetIdle: a target counts as
// healthy after six seconds, and as unused if it gets no request in the next two.
func TestTargetsThatStaySickGetFewerTrials(t *testing.T) {
	const (
		seeds    = 5
		sickTime = 30 * time.Second
		unused   = 8 * time.Second
		// A target would get nine trials if they stayed 3.5 s apart, as when it has just turned sick.
		mostTrials = 6.5
	)
	lost := 0
	for seed := range uint64(seeds) {
		sim := newSimulation(seed, shortRequests)
		sim.run(5*time.Second, 60, 0, nil)
		sick := []string{"t03", "t11"}
		for _, id := range sick {
			sim.sick[id] = sim.now.Add(sickTime)
		}
		sim.run(5*time.Second, 60, 0, nil)
		before := sim.lost
		sim.run(sickTime-5*time.Second, 60, 0, nil)
		lost += sim.lost - before
		healthy := sim.now
		sim.run(unused, 60, 0, nil)
		for _, id := range sick {
			if !healthy.Before(sim.used[id]) {
				t.Errorf("seed %d: %s was not used for %v after it became healthy", seed, id, unused)
			}
		}
	}
	each := float64(lost) / (2 * seeds)
	if each > mostTrials {
		t.Errorf("a target that stays sick lost %.1f requests in 25 s", each)
	}
}

// TestTrialsAreHedgedEarly sends idempotent requests as trials to a target that does not respond. Their
// hedges must start so early that another target can answer them within the latency goal.
func TestTrialsAreHedgedEarly(t *testing.T) {
	const took, goal = 500 * time.Millisecond, 1200 * time.Millisecond
	now := clock.At(time.Hour)
	pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 64))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: slots}, {ID: "t1", Slots: slots}})
	number := uint64(0)
	send := func(dur time.Duration, outcome func(target string) health.Outcome) Answer {
		number++
		aid := AttemptID{VM: fmt.Sprint("vm", number), Number: number}
		ans := pla.Place(now, aid, Criteria{Route: "r", Idempotent: true, TimeToGoal: goal, TimeLeft: deadline})
		now = now.Add(dur)
		pla.Ended(now, aid, outcome(ans.Target))
		return ans
	}
	answers := func(string) health.Outcome { return health.Success }
	for range 100 {
		send(took, answers)
	}
	hangs := func(target string) health.Outcome {
		if target == "t0" {
			return health.Failure
		}
		return health.Success
	}
	trials := 0
	for range 60 {
		suspected := len(pla.Suspected(now)) > 0
		ans := send(took, hangs)
		if ans.Target != "t0" || !suspected {
			continue
		}
		trials++
		if ans.HedgeAfter < took || ans.HedgeAfter+took > goal {
			t.Errorf("a trial is hedged after %v, want at least the %v that requests take, and as much time left of %v", ans.HedgeAfter, took, goal)
		}
	}
	if trials == 0 {
		t.Error("the sick target was not tried")
	}
}

// TestShortWaitsAreWeakEvidence gives up requests before their responses can be expected, as happens
// with callers that have short timeouts. The target must not be suspected for that.
func TestShortWaitsAreWeakEvidence(t *testing.T) {
	const took, waited = 400 * time.Millisecond, 150 * time.Millisecond
	now := clock.At(time.Hour)
	pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 64))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: slots}})
	number := uint64(0)
	send := func(vmm string, dur time.Duration, outcome health.Outcome) {
		number++
		pla.Track(now, vmm, RunningAttempt{Number: number, Target: "t0", Route: "r", TimeLeft: deadline})
		now = now.Add(dur)
		pla.Ended(now, AttemptID{VM: vmm, Number: number}, outcome)
	}
	for range 50 {
		send("vm", took, health.Success)
	}
	for _, vmm := range []string{"a", "b", "c", "d"} {
		send(vmm, waited, health.Overdue)
	}
	if got := pla.Suspected(now); len(got) > 0 {
		t.Errorf("%v is suspected for requests that were given up after %v", got, waited)
	}
	if got := pla.latencies["r"].median(); got < took*9/10 {
		t.Errorf("requests take %v, the estimated median is %v", took, got)
	}
}

// TestHedgesLeaveRetries places as many hedges as the budget allows, and then retries, ten times a second. Hedges may
// use six tenths of the budget of a window only, and retries must get the rest, though less urgent.
func TestHedgesLeaveRetries(t *testing.T) {
	const requests, steps, share, extra = 200, 100, 0.2, 60
	const window = 10 * time.Second
	now := clock.At(time.Hour)
	pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, window, share, extra))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: 100}})
	number := uint64(0)
	place := func(retry, hedge bool) Answer {
		number++
		aid := AttemptID{VM: "vm", Number: number}
		ans := pla.Place(now, aid, Criteria{Route: "r", Idempotent: true, Retry: retry, Hedge: hedge, TimeToGoal: time.Second, TimeLeft: deadline})
		pla.Ended(now, aid, health.Success)
		return ans
	}
	hedges, retries := 0, 0
	for step := range 3 * steps {
		now = now.Add(window / steps)
		for range requests / steps {
			place(false, false)
		}
		for place(true, true).Reason != NoRetry {
			hedges++
		}
		for place(true, false).Reason != NoRetry {
			retries++
		}
		if step < 2*steps {
			hedges, retries = 0, 0
		}
	}
	if all := float64(share*requests + extra); float64(hedges) > 0.6*all || float64(hedges+retries) < 0.9*all || float64(hedges+retries) > all {
		t.Errorf("%d hedges and %d retries of a budget of %v", hedges, retries, all)
	}
}

// TestUnsentRequestsAreNotCounted ends first attempts as ones that did not reach their target. The VM places these requests again as
// first attempts, so they must not allow further attempts twice.
func TestUnsentRequestsAreNotCounted(t *testing.T) {
	for _, outcome := range []health.Outcome{health.Canceled, health.Unreachable, health.NotForwarded, health.Success} {
		now := clock.At(time.Hour)
		pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 0))
		pla.SetTargets(now, []health.Target{{ID: "t0", Slots: 100}})
		retries := 0
		for num := range uint64(200) {
			now = now.Add(20 * time.Millisecond)
			aid := AttemptID{VM: "vm", Number: 2 * num}
			cri := Criteria{Route: "r", TimeToGoal: time.Second, TimeLeft: deadline}
			pla.Place(now, aid, cri)
			pla.Ended(now, aid, outcome)
			cri.Retry = true
			if ans := pla.Place(now, AttemptID{VM: "vm", Number: 2*num + 1}, cri); ans.Target != "" {
				retries++
			}
		}
		if want := outcome == health.Success; (retries > 0) != want {
			t.Errorf("%v: %d further attempts", outcome, retries)
		}
	}
}

// TestMisdirectedTargetIsAvoidedForAllVMs lets one VM find another target at an address. After that no
// VM may be sent there.
func TestMisdirectedTargetIsAvoidedForAllVMs(t *testing.T) {
	now := clock.At(time.Hour)
	pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 64))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: slots}, {ID: "t1", Slots: slots}})
	number, misdirected := uint64(0), 0
	for range 90 {
		number++
		aid := AttemptID{VM: fmt.Sprint("vm", number), Number: number}
		ans := pla.Place(now, aid, Criteria{Route: "r", TimeToGoal: time.Second, TimeLeft: deadline})
		now = now.Add(100 * time.Millisecond)
		if ans.Target == "t0" {
			misdirected++
			pla.Ended(now, aid, health.Misdirected)
			continue
		}
		pla.Ended(now, aid, health.Success)
	}
	if misdirected != 1 {
		t.Errorf("%d requests were sent to the address in 9 s, want 1", misdirected)
	}
}
