package registry

import (
	"cmp"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

// maxDepartures bounds how many departures a VM tells another one; the latest are told.
const maxDepartures = 2000

// Departure is a run of a target that has left. A restored store may show its entry again.
type Departure struct {
	// Run is the run, which says when it started.
	Run health.Run
	// Leaving is set if the entry said that the run leaves, and Removed if the entry was removed.
	Leaving, Removed bool
}

// Departures returns the runs that are known to have left, the latest first.
func (reg *Registry) Departures() []Departure {
	var names []string
	for name, last := range reg.lastRuns {
		if last.left || last.removed {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(one, two string) int {
		return cmp.Or(cmp.Compare(reg.lastRuns[two].seenAt.Mono, reg.lastRuns[one].seenAt.Mono), cmp.Compare(one, two))
	})
	var out []Departure
	for _, name := range names[:min(len(names), maxDepartures)] {
		last := reg.lastRuns[name]
		out = append(out, Departure{Run: health.Run{Target: name, Born: unixMilli(last.born)}, Leaving: last.left, Removed: last.removed})
	}
	return out
}

// Learn records departures that another VM knows, and reports whether any target changed. A registration of a run that has been removed
// is in doubt from now on, as if this VM had seen the removal.
func (reg *Registry) Learn(now clock.Instant, deps []Departure) bool {
	changed := false
	for _, dep := range deps {
		changed = reg.learn(now, dep) || changed
	}
	return changed
}

func (reg *Registry) learn(now clock.Instant, dep Departure) bool {
	name, born := dep.Run.Target, time.UnixMilli(dep.Run.Born)
	last, known := reg.lastRuns[name]
	if dep.Run.Born == 0 || known && last.born.After(born) {
		return false // Of an earlier run than the one that is known.
	}
	if !known || !last.born.Equal(born) {
		last = lastRun{born: born}
	}
	last.left, last.removed, last.seenAt = last.left || dep.Leaving, last.removed || dep.Removed, now
	reg.lastRuns[name] = last
	tgt := reg.targets[name]
	if tgt == nil {
		return false
	}
	if reg.goesBack(name, tgt.entry) {
		reg.doubtful(now, name, tgt.entry)
		reg.drop(name)
		return true
	}
	was := tgt.entry
	tgt.entry = reg.withHistory(name, was)
	return tgt.entry != was
}
