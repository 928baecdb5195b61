package member

import (
	"fmt"
	"testing"
)

func vms(capacities ...float64) []VM {
	var out []VM
	for num, capacity := range capacities {
		out = append(out, VM{ID: fmt.Sprintf("vm-%03d.r", num), FailureDomain: "a", Capacity: capacity})
	}
	return out
}

// firstCounts counts for how many of 2000 keys each VM ranks first.
func firstCounts(list []VM) map[string]int {
	out := make(map[string]int)
	for num := range 2000 {
		out[Ranked(list, fmt.Sprint("duty-", num), 1)[0].ID]++
	}
	return out
}

// TestKeysAreSpreadOverEqualVMs checks that VMs of equal capacity, stated or not, rank first about
// equally often, or else a few would do the work for all others.
func TestKeysAreSpreadOverEqualVMs(t *testing.T) {
	for _, capacity := range []float64{0, 0.32} {
		cnts := firstCounts(vms(capacity, capacity, capacity, capacity))
		for id, cnt := range cnts {
			if cnt < 400 || cnt > 600 {
				t.Errorf("%s ranks first for %d of 2000 keys, want 400 to 600", id, cnt)
			}
		}
		if len(cnts) != 4 {
			t.Errorf("got %v", cnts)
		}
	}
}

// TestLargeVMsRankFirst ranks two large VMs among small ones, and then one large VM among so
// many small ones that it cannot do the work for all of them. In the first case the large ones must
// rank first, or else the work would fall to VMs that are less able to do it; in the second all must
// share it, or else the one large VM would be overloaded.
func TestLargeVMsRankFirst(t *testing.T) {
	caps := []float64{0.8, 0.8}
	for range 26 {
		caps = append(caps, 0.16)
	}
	list := vms(caps...)
	cnts := firstCounts(list)
	if len(cnts) != 2 || cnts[list[0].ID] < 800 || cnts[list[1].ID] < 800 {
		t.Errorf("got %v", cnts)
	}
	three := Ranked(list, "duty", 3)
	if three[0].Capacity != 0.8 || three[1].Capacity != 0.8 || three[2].Capacity != 0.16 {
		t.Errorf("got %v", three)
	}
	caps = []float64{0.8}
	for range 100 {
		caps = append(caps, 0.16)
	}
	if cnts := firstCounts(vms(caps...)); len(cnts) < 90 {
		t.Errorf("only %d of 101 VMs rank first for a key, want at least 90", len(cnts))
	}
}

// TestRestartedVMKeepsItsRanks gives every VM another run. The VMs that rank first must be the same
// ones, or else all work would change hands when the whole fleet restarts.
func TestRestartedVMKeepsItsRanks(t *testing.T) {
	var before, after []VM
	for num := range 50 {
		name := fmt.Sprintf("vm-%d", num)
		before = append(before, VM{ID: name + ".a1"})
		after = append(after, VM{ID: name + ".b2"})
	}
	for num := range 20 {
		key := fmt.Sprint("key-", num)
		one, two := Ranked(before, key, 1)[0], Ranked(after, key, 1)[0]
		if Name(one.ID) != Name(two.ID) {
			t.Errorf("%s: %s ranks first, after a restart %s", key, one.ID, two.ID)
		}
	}
}
