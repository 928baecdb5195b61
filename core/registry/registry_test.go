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

func TestLeavingAndRemovedTargetsGetNothing(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	reg.Apply(now, table.Delta[Entry]{Since: 5, Revision: 6, Rows: []table.Row[Entry]{entry("a", 6, true)}})
	if got := targetIDs(reg); got != "b" {
		t.Errorf("with one leaving, got %q", got)
	}
	reg.Apply(now, table.Delta[Entry]{Since: 6, Revision: 7, Removed: []string{"b"}})
	if got := targetIDs(reg); got != "" {
		t.Errorf("with one removed, got %q", got)
	}
}

// TestEntriesThatLapsedInAnOutageMayReturn lets the platform be away for longer
// than entries last.
func TestEntriesThatLapsedInAnOutageMayReturn(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	back := now.Add(6 * time.Second)
	reg.Apply(back, table.Delta[Entry]{Whole: true, Revision: 8})
	reg.Confirm(back, back)
	if got := targetIDs(reg); got != "ab" {
		t.Errorf("just after the outage, got %q", got)
	}
	// One comes back, the other does not.
	reg.Apply(back.Add(time.Second), table.Delta[Entry]{Since: 8, Revision: 9, Rows: []table.Row[Entry]{entry("a", 9, false)}})
	later := back.Add(ReappearTimeout + 50*time.Millisecond)
	reg.Confirm(later, later)
	if !reg.Tick(later) || targetIDs(reg) != "a" {
		t.Errorf("after the time to return, got %q", targetIDs(reg))
	}
}

func TestRemovalInCalmTimesIsFinal(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	soon := now.Add(time.Second)
	reg.Confirm(soon, soon)
	reg.Apply(soon, table.Delta[Entry]{Whole: true, Revision: 8, Rows: []table.Row[Entry]{entry("a", 1, false)}})
	if got := targetIDs(reg); got != "a" {
		t.Errorf("got %q", got)
	}
}

// TestRemovalBetweenLongWatchesIsFinal removes a target in calm times. The platform
// answers after 1.5 s where nothing changes, which proves what held when it was
// asked; a follower dates that anew with each message.
func TestRemovalBetweenLongWatchesIsFinal(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for _, one := range []struct {
		name string
		// again is how often the same proof is told, and jitter by what its date
		// seems to move each time.
		again  time.Duration
		jitter time.Duration
	}{
		{"a VM that reads", wait, 0},
		{"a VM that follows", 300 * time.Millisecond, 3 * time.Millisecond},
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
