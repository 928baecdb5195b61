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

func names(reg *Registry) string {
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
	reg.Prove(now, now)
	if got := names(reg); got != "ab" {
		t.Fatalf("got targets %q", got)
	}
	return reg
}

func TestLeavingAndRemovedTargetsGetNothing(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	reg.Apply(now, table.Delta[Entry]{Since: 5, Revision: 6, Rows: []table.Row[Entry]{entry("a", 6, true)}})
	if got := names(reg); got != "b" {
		t.Errorf("with one leaving, got %q", got)
	}
	reg.Apply(now, table.Delta[Entry]{Since: 6, Revision: 7, Removed: []string{"b"}})
	if got := names(reg); got != "" {
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
	reg.Prove(back, back)
	if got := names(reg); got != "ab" {
		t.Errorf("just after the outage, got %q", got)
	}
	// One comes back, the other does not.
	reg.Apply(back.Add(time.Second), table.Delta[Entry]{Since: 8, Revision: 9, Rows: []table.Row[Entry]{entry("a", 9, false)}})
	later := back.Add(ReturnTime + 50*time.Millisecond)
	reg.Prove(later, later)
	if !reg.Tick(later) || names(reg) != "a" {
		t.Errorf("after the time to return, got %q", names(reg))
	}
}

func TestRemovalInCalmTimesIsFinal(t *testing.T) {
	now := clock.At(time.Hour)
	reg := loaded(t, now)
	soon := now.Add(time.Second)
	reg.Prove(soon, soon)
	reg.Apply(soon, table.Delta[Entry]{Whole: true, Revision: 8, Rows: []table.Row[Entry]{entry("a", 1, false)}})
	if got := names(reg); got != "a" {
		t.Errorf("got %q", got)
	}
}
