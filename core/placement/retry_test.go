package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/retrybudget"
)

// TestAttemptsAreNotReplacedTooLate places requests that take two thirds of their time left, at a
// service whose targets are healthy. A second attempt could not be answered in time, so the first one
// must neither be replaced nor hedged; with three times as much time left it must be hedged.
func TestAttemptsAreNotReplacedTooLate(t *testing.T) {
	const took = 600 * time.Millisecond
	now := clock.At(time.Hour)
	pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 64))
	pla.SetTargets(now, []health.Target{{ID: "t0", Slots: slots}, {ID: "t1", Slots: slots}})
	number := uint64(0)
	send := func(left time.Duration) Answer {
		number++
		aid := AttemptID{VM: "vm", Number: number}
		ans := pla.Place(now, aid, Criteria{Route: "r", Idempotent: true, TimeToGoal: left, TimeLeft: left})
		now = now.Add(took)
		pla.Ended(now, aid, health.Success)
		return ans
	}
	for range 50 {
		send(deadline)
	}
	const short = 3 * took / 2
	if ans := send(short); ans.ReplaceAfter < short || ans.HedgeAfter < short {
		t.Errorf("with %v left, an attempt is hedged after %v and replaced after %v", short, ans.HedgeAfter, ans.ReplaceAfter)
	}
	if ans := send(3 * short); ans.HedgeAfter > 2*took {
		t.Errorf("with %v left, an attempt is hedged after %v", 3*short, ans.HedgeAfter)
	}
}
