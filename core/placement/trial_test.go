package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

// maxSends is the number of targets that a request that can be repeated is sent
// to at most.
const maxSends = 2

// repeatable is a request that is sent to a second target where its answer does
// not come, beside the first.
type repeatable struct {
	began    clock.Instant
	tried    []string
	answered bool
	// ends free the slots of the attempts and report them.
	ends []func()
}

// sendRepeatable places a request, and again as the placer says unless once is
// set.
func (ply *player) sendRepeatable(req *repeatable, once bool) {
	ply.next++
	tic := AttemptID{VM: fmt.Sprintf("vm%02d", ply.rnd.IntN(48)), Number: ply.next}
	passed := ply.now.Since(req.began)
	again := len(req.tried) > 0
	ans := ply.placer.Place(ply.now, tic, Criteria{
		Route: "reads", Domain: "a", Idempotent: true, Retry: again, Hedge: again, Tried: req.tried,
		TimeToGoal: max(ply.aim-passed, 0), TimeLeft: ply.deadline - passed,
	})
	if ans.Target == "" {
		return
	}
	id := ans.Target
	req.tried = append(req.tried, id)
	ply.used[id] = ply.now
	if until, sick := ply.sick[id]; sick && ply.now.Before(until) && ply.rnd.Float64() < 0.75 {
		ply.ends = append(ply.ends, playedEnd{at: ply.now.Add(ply.deadline - passed), ticket: tic, outcome: health.Overdue})
	} else {
		end := ply.slotAt(id).Add(ply.lasts())
		ply.busy[id] = append(ply.busy[id], end)
		req.ends = append(req.ends, func() { ply.free(id, end) })
		ply.ends = append(ply.ends, playedEnd{at: end, ticket: tic, outcome: health.Success, then: func() { ply.repeatableAnswered(req) }})
	}
	req.ends = append(req.ends, func() { ply.placer.Ended(ply.now, tic, health.Overdue) })
	if once || len(req.tried) == maxSends {
		return
	}
	ply.ends = append(ply.ends, playedEnd{at: ply.now.Add(ans.HedgeAfter), then: func() {
		if !req.answered {
			ply.sendRepeatable(req, once)
		}
	}})
}

// repeatableAnswered takes the first answer to a request, and ends the attempt
// beside it.
func (ply *player) repeatableAnswered(req *repeatable) {
	if req.answered {
		return
	}
	req.answered = true
	if ply.now.Since(req.began) <= ply.aim {
		ply.inAim++
	}
	for _, end := range req.ends {
		end()
	}
}

// free ends what runs at a target until end.
func (ply *player) free(id string, end clock.Instant) {
	at := slices.Index(ply.busy[id], end)
	if at >= 0 && ply.now.Before(end) {
		ply.busy[id][at] = ply.now
	}
}

// TestSecondAttemptsServeCallers plays a service of long requests, all of which
// can be repeated, while three tenths of its targets are sick: at a third of what
// the targets can do, at a half, and at two thirds.
func TestSecondAttemptsServeCallers(t *testing.T) {
	const seeds = 6
	for _, one := range []struct {
		perSecond float64
		// gain is by how much more requests are to be answered within their aim;
		// below 0 it leaves room for the draw.
		gain float64
	}{{40, 0.03}, {60, 0.015}, {80, -0.01}} {
		share := func(once bool) float64 {
			sent, inAim := 0, 0
			for seed := range uint64(seeds) {
				ply := newPlayer(seed, lengthy)
				ply.play(60*time.Second, one.perSecond, 0.3, func() string {
					ply.repeated++
					ply.sendRepeatable(&repeatable{began: ply.now}, once)
					return ""
				})
				sent, inAim = sent+ply.repeated, inAim+ply.inAim
			}
			return float64(inAim) / float64(sent)
		}
		if once, twice := share(true), share(false); twice < once+one.gain {
			t.Errorf("at %v a second %.3f were answered within their aim, %.3f without second attempts", one.perSecond, twice, once)
		}
	}
}

// TestTargetsThatStaySickAreTriedLess makes two of fifteen targets hang for half
// a minute. Once they are sound they are used again before the users count them
// as unused: within two seconds of the six after which they count as sound.
func TestTargetsThatStaySickAreTriedLess(t *testing.T) {
	const (
		seeds    = 5
		sickTime = 30 * time.Second
		unused   = 8 * time.Second
		// Tried every 3.5 s, as when it has just turned sick, a target gets nine.
		mostTrials = 6.5
	)
	lost := 0
	for seed := range uint64(seeds) {
		ply := newPlayer(seed, quick)
		ply.play(5*time.Second, 60, 0, nil)
		sick := []string{"t03", "t11"}
		for _, id := range sick {
			ply.sick[id] = ply.now.Add(sickTime)
		}
		ply.play(5*time.Second, 60, 0, nil)
		before := ply.lost
		ply.play(sickTime-5*time.Second, 60, 0, nil)
		lost += ply.lost - before
		sound := ply.now
		ply.play(unused, 60, 0, nil)
		for _, id := range sick {
			if !sound.Before(ply.used[id]) {
				t.Errorf("seed %d: %s was not used for %v after it was sound", seed, id, unused)
			}
		}
	}
	each := float64(lost) / (2 * seeds)
	if each > mostTrials {
		t.Errorf("a target that stays sick was lost %.1f requests in 25 s", each)
	}
}

// TestTrialsAreNotWaitedForLong lets a target that hangs requests be tried by
// one that can be repeated, and asks that it can be answered elsewhere within
// its aim.
func TestTrialsAreNotWaitedForLong(t *testing.T) {
	const took, aim = 500 * time.Millisecond, 1200 * time.Millisecond
	now := clock.At(time.Hour)
	pla := New(rand.New(rand.NewPCG(1, 1)), request.NewRetryBudget(now, 10*time.Second, 0.2, 64))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: slots}, {ID: "t1", Slots: slots}})
	number := uint64(0)
	send := func(dur time.Duration, outcome func(target string) health.Outcome) Answer {
		number++
		tic := AttemptID{VM: fmt.Sprint("vm", number), Number: number}
		ans := pla.Place(now, tic, Criteria{Route: "r", Idempotent: true, TimeToGoal: aim, TimeLeft: deadline})
		now = now.Add(dur)
		pla.Ended(now, tic, outcome(ans.Target))
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
		if ans.HedgeAfter < took || ans.HedgeAfter+took > aim {
			t.Errorf("a trial is waited for for %v, want the %v that requests take and time for another of %v", ans.HedgeAfter, took, aim)
		}
	}
	if trials == 0 {
		t.Error("the sick target was not tried")
	}
}

// TestShortWaitsTellLittle ends many requests that were not waited for as long as
// answers take, as callers do that have little time, and asks that the target is
// not suspected for that.
func TestShortWaitsTellLittle(t *testing.T) {
	const took, waited = 400 * time.Millisecond, 150 * time.Millisecond
	now := clock.At(time.Hour)
	pla := New(rand.New(rand.NewPCG(1, 1)), request.NewRetryBudget(now, 10*time.Second, 0.2, 64))
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
	if got := pla.latencies["r"].usual(); got < took*9/10 {
		t.Errorf("requests take %v, of which %v is believed", took, got)
	}
}

// TestSecondAttemptsLeaveRetries asks for second attempts beside the first until
// there is none, and then for requests that have failed.
func TestSecondAttemptsLeaveRetries(t *testing.T) {
	const requests, share, extra = 200, 0.2, 60
	now := clock.At(time.Hour)
	pla := New(rand.New(rand.NewPCG(1, 1)), request.NewRetryBudget(now, 10*time.Second, share, extra))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: 100}})
	now = now.Add(11 * time.Second)
	number := uint64(0)
	place := func(again, hedge bool) Answer {
		number++
		tic := AttemptID{VM: "vm", Number: number}
		ans := pla.Place(now, tic, Criteria{Route: "r", Idempotent: true, Retry: again, Hedge: hedge, TimeToGoal: time.Second, TimeLeft: deadline})
		pla.Ended(now, tic, health.Canceled)
		return ans
	}
	for range requests {
		place(false, false)
	}
	hedges, retries := 0, 0
	for place(true, true).Reason != NoRetry {
		hedges++
	}
	for place(true, false).Reason != NoRetry {
		retries++
	}
	if all := float64(share*requests + extra); float64(hedges) > 0.6*all || float64(hedges+retries) < all-1 {
		t.Errorf("%d second attempts and %d retries of %v", hedges, retries, all)
	}
}

// TestStrangersAreToldToThePlacer has one VM find another target at an address;
// no VM is sent there then.
func TestStrangersAreToldToThePlacer(t *testing.T) {
	now := clock.At(time.Hour)
	pla := New(rand.New(rand.NewPCG(1, 1)), request.NewRetryBudget(now, 10*time.Second, 0.2, 64))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: slots}, {ID: "t1", Slots: slots}})
	number, strangers := uint64(0), 0
	for range 90 {
		number++
		tic := AttemptID{VM: fmt.Sprint("vm", number), Number: number}
		ans := pla.Place(now, tic, Criteria{Route: "r", TimeToGoal: time.Second, TimeLeft: deadline})
		now = now.Add(100 * time.Millisecond)
		if ans.Target == "t0" {
			strangers++
			pla.Ended(now, tic, health.Misdirected)
			continue
		}
		pla.Ended(now, tic, health.Success)
	}
	if strangers != 1 {
		t.Errorf("%d requests were sent to the address in 9 s", strangers)
	}
}
