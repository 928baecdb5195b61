package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/retrybudget"
)

// newPlacer returns the placer of a fleet whose targets announce nothing.
func newPlacer(rnd *rand.Rand, bud *retrybudget.Budget) *Placer {
	return New(rnd, bud, announcement.NewBook(), NewFleetLimiter())
}

// announced is a fleet of targets that announce the same limit, but for those that leave.
type announced struct {
	limit   announcement.Limit
	leaving string
}

func (ann announced) Limit(health.Run) announcement.Limit { return ann.limit }
func (ann announced) Leaving(run health.Run) bool         { return run.Target == ann.leaving }

// limitedPlacer returns a placer of targets t0, t1 and so on which announce a limit.
func limitedPlacer(now clock.Instant, cnt int, perSecond float64, lim Limiter) *Placer {
	ann := announced{limit: announcement.Limit{Limited: true, Rate: rate.RequestsPerSecond(perSecond)}}
	pla := New(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 64), ann, lim)
	var tgs []health.Target
	for num := range cnt {
		tgs = append(tgs, health.Target{ID: fmt.Sprint("t", num), Slots: 6})
	}
	pla.SetTargets(now, tgs)
	return pla
}

func placeOne(pla *Placer, now clock.Instant, number uint64) Answer {
	ans := pla.Place(now, AttemptID{VM: "vm", Number: number}, Criteria{Route: "r", TimeToGoal: time.Second, TimeLeft: 5 * time.Second})
	if ans.Target != "" {
		pla.Ended(now, AttemptID{VM: "vm", Number: number}, health.Success)
	}
	return ans
}

// TestRefusedCallersReturnWhenTargetsTakeThem refuses a burst of requests for the limits of the targets.
// Each caller that returns at the time that it was told must be served.
func TestRefusedCallersReturnWhenTargetsTakeThem(t *testing.T) {
	now := clock.At(time.Hour)
	pla := limitedPlacer(now, 4, 1, NewFleetLimiter())
	var returns []time.Duration
	for num := range uint64(16) {
		if ans := placeOne(pla, now, num); ans.Reason != Limited || ans.RetryAfter <= 0 || ans.Limits != rate.RequestsPerSecond(4) {
			t.Fatalf("request %d got %+v", num, ans)
		} else {
			returns = append(returns, ans.RetryAfter)
		}
	}
	if !slices.IsSorted(returns) || returns[15] > maxLimitRetry {
		t.Errorf("callers were told to return after %v", returns)
	}
	for num, after := range returns {
		if ans := placeOne(pla, now.Add(after), uint64(100+num)); ans.Target == "" {
			t.Errorf("caller %d returned after %v and was refused: %+v", num, after, ans)
		}
	}
}

// TestVMsWithoutPlacerStayWithinTheLimitTogether lets many VMs place by themselves for long, after a
// time in which none of them sent anything. Together they must stay within what a target announces
// in every window of four seconds.
func TestVMsWithoutPlacerStayWithinTheLimitTogether(t *testing.T) {
	const vms, perSecond = 48, 1.0
	rnd := rand.New(rand.NewPCG(3, 1))
	now := clock.At(time.Hour)
	var placers []*Placer
	for range vms {
		placers = append(placers, limitedPlacer(now, 1, perSecond, NewShareLimiter(rnd, func() float64 { return 0.5 / vms }, func(clock.Instant) bool { return false })))
	}
	var times []time.Duration
	for step := range 60 * 200 {
		at := now.Add(time.Minute + time.Duration(step)*5*time.Millisecond)
		if placeOne(placers[rnd.IntN(vms)], at, uint64(step)).Target != "" {
			times = append(times, at.Mono)
		}
	}
	if len(times) < 15 || len(times) > 60 {
		t.Errorf("%d requests in a minute, want about 30", len(times))
	}
	for first := range times {
		cnt := 0
		for _, at := range times[first:] {
			if at-times[first] <= 4*time.Second {
				cnt++
			}
		}
		if cnt > 1.5*4*perSecond+5 {
			t.Errorf("%d requests in 4 s", cnt)
		}
	}
}

// TestLeavingTargetsGetNothing places requests where one target announces that it leaves.
func TestLeavingTargetsGetNothing(t *testing.T) {
	now := clock.At(time.Hour)
	pla := limitedPlacer(now, 2, 1e6, NewFleetLimiter())
	pla.announcements = announced{leaving: "t0"}
	for num := range uint64(20) {
		if ans := placeOne(pla, now, num); ans.Target != "t1" {
			t.Fatalf("request %d got %+v", num, ans)
		}
	}
}

// TestHedgesLeaveLimitedTargetsAlone places a hedge where all targets announce limits. It must not take
// what a first attempt could use.
func TestHedgesLeaveLimitedTargetsAlone(t *testing.T) {
	now := clock.At(time.Hour)
	pla := limitedPlacer(now, 2, 2, NewFleetLimiter())
	placeOne(pla, now, 1)
	later := now.Add(10 * time.Second)
	cri := Criteria{Route: "r", Idempotent: true, Retry: true, Hedge: true, TimeToGoal: time.Second, TimeLeft: 5 * time.Second}
	if ans := pla.Place(later, AttemptID{VM: "vm", Number: 2}, cri); ans.Target != "" {
		t.Errorf("the hedge got %+v", ans)
	}
	if ans := placeOne(pla, later, 3); ans.Target == "" {
		t.Errorf("the next request got %+v", ans)
	}
}
