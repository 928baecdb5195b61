package registry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"marigoldlug.example/core/health"
)

// TestDeparturesThatAreToldHold tells a registry that runs of targets have left. It must keep to that as if it had seen it, believe
// an entry that stands for settleTime, and not take a later run for the one that has left.
func TestDeparturesThatAreToldHold(t *testing.T) {
	scr := newScript()
	for _, line := range []string{"put removed.1", "put later.2", "put leaving.1", "put stays.1"} {
		scr.do(t, line)
	}
	run := func(name string) health.Run { return health.Run{Target: name, Born: 1} }
	told := []Departure{{Run: run("removed"), Removed: true}, {Run: run("later"), Removed: true}, {Run: run("leaving"), Leaving: true}, {Run: run("unknown"), Removed: true}}
	if !scr.reg.Learn(scr.now, told) || scr.reg.Learn(scr.now, told[1:]) {
		t.Error("the first report changes targets, and one that is repeated does not")
	}
	check := func(when string, want ...string) {
		t.Helper()
		var got []string
		for _, tgts := range scr.reg.Targets() {
			for _, tgt := range tgts {
				got = append(got, tgt.ID)
			}
		}
		if dif := cmp.Diff(want, got); dif != "" {
			t.Errorf("%s: %s", when, dif)
		}
	}
	check("at once", "later", "stays")
	scr.do(t, "put unknown.1")
	check("as an entry comes back", "later", "stays")
	scr.do(t, "after 6s")
	check("once the entries have stood", "later", "removed", "stays", "unknown")
	scr.do(t, "remove removed")
	if got := scr.reg.Departures(); len(got) != 2 || got[0].Run.Target != "removed" || !got[0].Removed || got[1].Run.Target != "leaving" || got[1].Removed || !got[1].Leaving {
		t.Errorf("passes on %+v", got)
	}
}
