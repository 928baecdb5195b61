package registry

import (
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// settleTime is how long a registration that goes back must stand until it is believed. One that a late
	// write has brought back is not renewed, and expires after three heartbeats of 1.5 s each.
	settleTime = 5 * time.Second
	// historyTime is how long the last run of a target is remembered after its entry is gone.
	historyTime = 10 * time.Minute
	// historyInterval is how often the runs that are no longer remembered are dropped.
	historyInterval = time.Minute
)

// lastRun is what is known of the last run of a target, also after its entry is gone.
type lastRun struct {
	born time.Time
	// left is set once the run has registered that it leaves, which it does not take back.
	left bool
	// removed is set if the entry was removed although there was no outage of the platform.
	removed bool
	// seenAt is when the target was last registered.
	seenAt clock.Instant
}

// doubt is a registration that goes back: it is of an earlier run than the last one, or of one whose entry
// was removed.
type doubt struct {
	entry Entry
	since clock.Instant
}

// DoubtChange says that a registration is in doubt, or is believed after it has stood for settleTime.
type DoubtChange struct {
	Target string
	// Born is the start of the run that is registered, and LastBorn that of the last run that is known, in Unix
	// milliseconds; 0 if it does not say so.
	Born, LastBorn int64
	Believed       bool
}

// DrainDoubtChanges returns the changes since the last call and clears them.
func (reg *Registry) DrainDoubtChanges() []DoubtChange {
	out := reg.doubtChanges
	reg.doubtChanges = nil
	return out
}

// Doubted reports whether the registration of a target is in doubt.
func (reg *Registry) Doubted(name string) bool {
	_, doubted := reg.doubts[name]
	return doubted
}

// goesBack reports whether an entry says less than what is known of the target already. Targets may be
// slow to write their entries, and writes that were under way for long may arrive after later ones. An entry
// without a start time, behind one with it, is likely of another writer.
func (reg *Registry) goesBack(name string, ent Entry) bool {
	last, known := reg.lastRuns[name]
	return known && (ent.Born.Before(last.born) || ent.Born.Equal(last.born) && last.removed)
}

// withHistory returns an entry with what its run has said before.
func (reg *Registry) withHistory(name string, ent Entry) Entry {
	last, known := reg.lastRuns[name]
	if known && ent.Born.Equal(last.born) && last.left {
		ent.Leaving = true
	}
	return ent
}

// record notes the run of an entry that is put in force.
func (reg *Registry) record(now clock.Instant, name string, ent Entry) {
	if !ent.Born.IsZero() {
		reg.lastRuns[name] = lastRun{born: ent.Born, left: ent.Leaving, seenAt: now}
	}
}

// recordRemoval notes that the entry of a target was removed although there was no outage.
func (reg *Registry) recordRemoval(now clock.Instant, name string) {
	if last, known := reg.lastRuns[name]; known {
		last.removed, last.seenAt = true, now
		reg.lastRuns[name] = last
	}
}

// doubtful notes a registration that goes back.
func (reg *Registry) doubtful(now clock.Instant, name string, ent Entry) {
	dou, known := reg.doubts[name]
	if !known || !dou.entry.Born.Equal(ent.Born) {
		dou.since = now
		reg.noteDoubt(name, ent, false)
	}
	dou.entry = ent
	reg.doubts[name] = dou
}

func (reg *Registry) noteDoubt(name string, ent Entry, believed bool) {
	reg.doubtChanges = append(reg.doubtChanges, DoubtChange{Target: name, Born: unixMilli(ent.Born), LastBorn: unixMilli(reg.lastRuns[name].born), Believed: believed})
}

// settle puts the registrations in force that go back but have stood for settleTime, and reports whether
// there were any.
func (reg *Registry) settle(now clock.Instant) bool {
	if len(reg.doubts) == 0 || reg.stale(now) {
		return false
	}
	changed := false
	for name, dou := range reg.doubts {
		if now.Since(dou.since) >= settleTime {
			delete(reg.doubts, name)
			reg.noteDoubt(name, dou.entry, true)
			reg.adopt(now, name, reg.withHistory(name, dou.entry))
			changed = true
		}
	}
	return changed
}

// forgetRuns drops the last runs of targets whose entries are long gone.
func (reg *Registry) forgetRuns(now clock.Instant) {
	if now.Since(reg.forgotAt) < historyInterval {
		return
	}
	reg.forgotAt = now
	for name, last := range reg.lastRuns {
		if reg.targets[name] == nil && now.Since(last.seenAt) >= historyTime {
			delete(reg.lastRuns, name)
		}
	}
}
