package balance_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/clock"
)

func newFleetChooser(name string, vms, partitions int) *balance.Chooser {
	cho := balance.New(rand.New(rand.NewPCG(1, 1)), partitions)
	cho.SetFleet(name, vms)
	for num := range partitions {
		cho.SetTargets(num, 20, 80)
	}
	return cho
}

// TestVMsPreferFewPartitions guards against a VM that spreads its requests over all targets of a large service, so that it
// opens a connection for most of them, and against partitions that no VM prefers.
func TestVMsPreferFewPartitions(t *testing.T) {
	const vms, partitions = 46, 16
	preferring := make([]int, partitions)
	for num := range vms {
		cho := newFleetChooser("vm"+strconv.Itoa(num), vms, partitions)
		preferred := 0.0
		for at, share := range shares(cho, clock.At(time.Hour), partitions) {
			if share > 0.1 {
				preferred += share
				preferring[at]++
			}
		}
		if preferred < 0.9 {
			t.Errorf("VM %d sends %.2f of its requests to preferred partitions", num, preferred)
		}
	}
	for num, cnt := range preferring {
		if cnt < 3 {
			t.Errorf("%d VMs prefer partition %d", cnt, num)
		}
	}
}

// TestFewVMsPreferNone guards against partitions that are hardly used, because there are too few VMs for each to be
// preferred by some.
func TestFewVMsPreferNone(t *testing.T) {
	for at, share := range shares(newFleetChooser("vm", 8, 16), clock.At(time.Hour), 16) {
		if share < 0.03 {
			t.Errorf("partition %d is chosen with share %.3f", at, share)
		}
	}
}

// TestLoadedSubsetsOverflow guards against refusals and late answers in the preferred partitions of a VM while others have
// free slots.
func TestLoadedSubsetsOverflow(t *testing.T) {
	const partitions = 16
	now := clock.At(time.Hour)
	cho := newFleetChooser("vm", 46, partitions)
	before := shares(cho, now, partitions)
	for num, share := range before {
		load := balance.LoadOf(16, 80)
		if share > 0.1 {
			load = balance.LoadOf(64, 80)
		}
		cho.Learn(now, num, load)
	}
	inside := 0.0
	for num, share := range shares(cho, now, partitions) {
		if before[num] > 0.1 {
			inside += share
		}
	}
	if inside > 0.1 {
		t.Errorf("%.2f of the requests go to partitions with 0.8 requests a slot, while others have 0.2", inside)
	}
}
