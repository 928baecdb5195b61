package registry

import (
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/table"
)

func entry(name string, revision uint64, leaving bool) table.Row[Entry] {
	return table.Row[Entry]{Name: name, Revision: revision, Value: Entry{
		Service: "recipes", Address: "10.0.0.1:80", FailureDomain: "a", Slots: 3, Leaving: leaving,
	}}
}

func targetIDs(reg *Registry) string {
	out := ""
	for _, tgt := range reg.Targets()["recipes"] {
		out += tgt.ID
	}
	return out
}

func loaded(t *testing.T, now clock.Instant) *Registry {
	t.Helper()
	reg := New()
	reg.Apply(now, table.Delta[Entry]{Whole: true, Revision: 5, Rows: []table.Row[Entry]{entry("a", 1, false), entry("b", 2, false)}})
	reg.Confirm(now, now)
	if got := targetIDs(reg); got != "ab" {
		t.Fatalf("got targets %q", got)
	}
	return reg
}

// TestLeavingAndRemovedTargetsGetNoRequests checks that a target is not used once it is leaving or its
// entry is removed, or else requests would be sent to a target that stops or is gone.
func TestLeavingAndRemovedTargetsGetNoRequests(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	reg.Apply(now, table.Delta[Entry]{Since: 5, Revision: 6, Rows: []table.Row[Entry]{entry("a", 6, true)}})
	if got := targetIDs(reg); got != "b" {
		t.Errorf("with one target leaving, got targets %q", got)
	}
	reg.Apply(now, table.Delta[Entry]{Since: 6, Revision: 7, Removed: []string{"b"}})
	if got := targetIDs(reg); got != "" {
		t.Errorf("with the other target removed, got targets %q", got)
	}
}

// TestEntriesThatExpiredInAnOutageMayReappear makes an outage of the platform last longer than
// entries do, so that all of them are gone in the first read after it. The targets must be kept
// until they have had time to register again, or else every request would be refused meanwhile.
func TestEntriesThatExpiredInAnOutageMayReappear(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	back := now.Add(6 * time.Second)
	reg.Apply(back, table.Delta[Entry]{Whole: true, Revision: 8})
	reg.Confirm(back, back)
	if got := targetIDs(reg); got != "ab" {
		t.Errorf("just after the outage, got targets %q", got)
	}
	// One target registers again, the other does not.
	reg.Apply(back.Add(time.Second), table.Delta[Entry]{Since: 8, Revision: 9, Rows: []table.Row[Entry]{entry("a", 9, false)}})
	later := back.Add(ReappearTimeout + 50*time.Millisecond)
	reg.Confirm(later, later)
	if !reg.Tick(later) || targetIDs(reg) != "a" {
		t.Errorf("after ReappearTimeout, got targets %q", targetIDs(reg))
	}
}

// TestRemovalWithoutOutageIsFinal checks that a target whose entry is missing is removed at once if
// there was no outage, or else requests would be sent to it until ReappearTimeout is over.
func TestRemovalWithoutOutageIsFinal(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	soon := now.Add(time.Second)
	reg.Confirm(soon, soon)
	reg.Apply(soon, table.Delta[Entry]{Whole: true, Revision: 8, Rows: []table.Row[Entry]{entry("a", 1, false)}})
	if got := targetIDs(reg); got != "a" {
		t.Errorf("got %q", got)
	}
}

// TestRemovalBetweenLongWatchesIsFinal removes a target while the platform works. If nothing
// changes, the platform answers a watch after 1.5 s, which confirms the entries as of the time at
// which the watch began. A follower computes that time anew for each message, with small
// differences. Neither the long watch nor the differences may count as an outage, or else requests
// would be sent to the removed target until ReappearTimeout is over.
func TestRemovalBetweenLongWatchesIsFinal(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for _, one := range []struct {
		name string
		// again is the interval at which the same confirmation is repeated, and jitter
		// by how much its computed time moves each time.
		again  time.Duration
		jitter time.Duration
	}{
		{"VM that reads the platform", wait, 0},
		{"VM that follows another", 300 * time.Millisecond, 3 * time.Millisecond},
	} {
		t.Run(one.name, func(t *testing.T) {
			now := clock.At(time.Hour)
			reg := loaded(t, now)
			for range 4 {
				asked := now
				for told := now.Add(wait); told.Before(now.Add(2 * wait)); told = told.Add(one.again) {
					asked = asked.Add(one.jitter)
					reg.Confirm(told, asked)
				}
				now = now.Add(wait)
			}
			removed := now.Add(wait - time.Millisecond)
			reg.Apply(removed, table.Delta[Entry]{Since: 5, Revision: 6, Removed: []string{"b"}})
			reg.Confirm(removed, now)
			if got := targetIDs(reg); got != "a" {
				t.Errorf("got %q", got)
			}
		})
	}
}
