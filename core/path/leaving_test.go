package path

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

func targetsNamed(ids ...string) []health.Target {
	var tgs []health.Target
	for _, id := range ids {
		tgs = append(tgs, health.Target{ID: id})
	}
	return tgs
}

// TestTargetsThatLeaveAfterTheyFailedEndNoProcess guards against the panic of VMs that probed a service with fewer targets left
// than had failed (case 12 of review/). The lists, failures and successes are random.
func TestTargetsThatLeaveAfterTheyFailedEndNoProcess(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		bok, now := NewBook(), clock.At(time.Hour)
		for range 300 {
			now = now.Add(time.Duration(rnd.IntN(200)) * time.Millisecond)
			var tgs []health.Target
			for num := range 1 + rnd.IntN(14) {
				if rnd.IntN(3) > 0 {
					tgs = append(tgs, health.Target{ID: fmt.Sprint("t", num)})
				}
			}
			id := fmt.Sprint("t", rnd.IntN(14))
			switch rnd.IntN(12) {
			case 0:
				bok.Connected(now, "svc", id, len(tgs))
			case 1:
				bok.Doubted("svc", id, Slow)
			default:
				bok.Failed(now, "svc", id, tgs)
			}
			if cnt := len(bok.Probes(now, rnd, "svc", tgs)); cnt > len(tgs) {
				t.Fatalf("seed %d: %d probes of %d targets", seed, cnt, len(tgs))
			}
		}
	}
}

// TestFailuresOfTargetsThatLeftLoseNoService: a VM took a service for lost whose sound targets it had not tried, since those of
// its targets that had failed were more than are left.
func TestFailuresOfTargetsThatLeftLoseNoService(t *testing.T) {
	bok, rnd, now := NewBook(), rand.New(rand.NewPCG(1, 1)), clock.At(time.Hour)
	bok.Failed(now, "svc", "gone-1", targetsNamed("gone-1", "gone-2", "left"))
	if bok.Failed(now, "svc", "gone-2", targetsNamed("left")) {
		t.Fatal("the service is lost, though no connection to the target that is left has failed")
	}
	if prb := bok.Probes(now.Add(time.Second), rnd, "svc", targetsNamed("left")); len(prb) != 1 || prb[0].ID != "left" {
		t.Fatalf("probes of %v, want of the target that is left", prb)
	}
	if !bok.Failed(now.Add(time.Second), "svc", "left", targetsNamed("left")) {
		t.Fatal("the service is not lost, though no connection to its only target can be opened")
	}
}

// TestFailureOfALastTargetThatLeftLosesNoService: a service without targets counted as lost, and other VMs were warned of the paths.
func TestFailureOfALastTargetThatLeftLosesNoService(t *testing.T) {
	if bok := NewBook(); bok.Failed(clock.At(time.Hour), "svc", "gone", nil) {
		t.Fatal("a service without targets is lost")
	}
}
