// Package registry keeps the targets that have registered themselves with the platform, and
// decides to which of them requests may be sent.
package registry

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// Entry is the registration that a target writes for itself.
type Entry struct {
	Service       string
	Address       string
	FailureDomain string
	// Version is the version of the software that the target runs.
	Version string
	// Slots is the number of requests that the target processes at a time.
	Slots int
	// Leaving is set once the target wants no new requests.
	Leaving bool
	// Warming is how long the target is still slow after its start. Each VM counts it from
	// when it learns of the entry, and anew when it learns of a change of the entry or of its
	// return after an outage.
	Warming time.Duration
	// Born is when this run of the target started, by its own wall clock; zero if that is not known.
	Born time.Time
}

// Run returns the run of the target with the given name that has registered itself.
func (ent Entry) Run(name string) health.Run {
	return health.Run{Target: name, Born: unixMilli(ent.Born)}
}

// unixMilli returns a time in Unix milliseconds, 0 for the zero time.
func unixMilli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// ReappearTimeout is how long a target whose entry is missing after an outage of the platform is
// kept, so that it can register again.
const ReappearTimeout = 1500 * time.Millisecond

const (
	// outageAge is the time without a new confirmation of the entries after which an outage
	// of the platform is assumed, which may have made entries expire. Without an outage every
	// read confirms them when it ends. outageAge must exceed the longest that a watch may
	// take by lugd/pkg/driver/reader.go: the wait of targetsReadOptions and
	// sparingTargetsReadOptions, 1.5 s, plus answerMargin, 0.8 s.
	outageAge = 2500 * time.Millisecond
	// confirmSlack is the greatest difference between the times that two VMs compute for
	// the same confirmation.
	confirmSlack = 100 * time.Millisecond
)

// target is one registered target.
type target struct {
	entry Entry
	// warmAt is when the target reaches its full speed.
	warmAt clock.Instant
}

// Registry holds the entries and the targets derived from them. It is not safe for concurrent
// use.
type Registry struct {
	entries *table.Table[Entry]
	targets map[string]*target
	// missing maps targets whose entries are missing after an outage to when the entries
	// were first missing.
	missing map[string]clock.Instant
	// lastRuns holds the last run of each target that says when it started, and doubts the registrations
	// that go back behind that.
	lastRuns map[string]lastRun
	doubts   map[string]doubt
	// doubtChanges holds the changes of doubts that were not drained yet.
	doubtChanges []DoubtChange
	// forgotAt is when old lastRuns were last dropped.
	forgotAt clock.Instant
	// confirmedAt is the latest time at which the entries are known to have been up to date.
	confirmedAt clock.Moment
	// renewedAt is when this VM last learned of a later confirmation. The confirmed time
	// may be long before that.
	renewedAt clock.Moment
	// recoveredAt is when the entries were first confirmed after the last outage, or first read after the last
	// restore of the store.
	recoveredAt clock.Moment
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		entries: table.New[Entry](), targets: make(map[string]*target), missing: make(map[string]clock.Instant),
		lastRuns: make(map[string]lastRun), doubts: make(map[string]doubt),
	}
}

// Revision returns the revision of the entries.
func (reg *Registry) Revision() uint64 { return reg.entries.Revision() }

// Since returns the changes after a revision.
func (reg *Registry) Since(revision uint64) table.Delta[Entry] { return reg.entries.Since(revision) }

// Rows returns the entries sorted by name.
func (reg *Registry) Rows() []table.Row[Entry] { return reg.entries.Rows() }

// Entry returns the entry of a target. An entry that is missing after an outage counts as present.
func (reg *Registry) Entry(name string) (Entry, bool) {
	tgt := reg.targets[name]
	if tgt == nil {
		return Entry{}, false
	}
	return tgt.entry, true
}

// Len returns the number of entries.
func (reg *Registry) Len() int { return reg.entries.Len() }

// Confirm records that the entries were up to date at the time at, as this VM learns at now. If at
// is at most confirmSlack later than the recorded time, it is taken for the same confirmation.
func (reg *Registry) Confirm(now, at clock.Instant) {
	before, known := reg.confirmedAt.Instant()
	if known && (!before.Before(at) || at.Since(before) <= confirmSlack) {
		return
	}
	if known && reg.stale(now) {
		reg.recoveredAt = clock.MomentOf(now)
	}
	reg.confirmedAt, reg.renewedAt = clock.MomentOf(at), clock.MomentOf(now)
}

// Apply applies a delta and reports whether any target changed.
func (reg *Registry) Apply(now clock.Instant, del table.Delta[Entry]) bool {
	before := reg.entries.Revision()
	if !reg.entries.Apply(del) || del.Empty() {
		return false
	}
	if before != 0 && revision.EraOf(before) != revision.EraOf(reg.entries.Revision()) {
		reg.recoveredAt = clock.MomentOf(now) // Targets write again what the store has lost, as after an outage.
	}
	changed := false
	for _, row := range del.Rows {
		if held, found := reg.entries.Get(row.Name); found {
			changed = reg.put(now, row.Name, held.Value) || changed
		}
	}
	for name := range reg.doubts {
		if _, found := reg.entries.Get(name); !found {
			delete(reg.doubts, name)
		}
	}
	for name, tgt := range reg.targets {
		if _, found := reg.entries.Get(name); found {
			continue
		}
		changed = true
		if reg.mayReappear(now) && !tgt.entry.Leaving {
			if _, known := reg.missing[name]; !known {
				reg.missing[name] = now
			}
			continue
		}
		reg.recordRemoval(now, name)
		reg.drop(name)
	}
	return changed
}

func (reg *Registry) drop(name string) {
	delete(reg.targets, name)
	delete(reg.missing, name)
}

// mayReappear reports whether a missing entry may have expired because of an outage, so that its
// target may register again.
func (reg *Registry) mayReappear(now clock.Instant) bool {
	age, recovered := reg.recoveredAt.Age(now)
	return reg.confirmedAt.Known() && reg.stale(now) || recovered && age < ReappearTimeout
}

// put handles the entry of a target, and reports whether the target changed.
func (reg *Registry) put(now clock.Instant, name string, ent Entry) bool {
	if reg.goesBack(name, ent) {
		reg.doubtful(now, name, ent)
		return false
	}
	delete(reg.doubts, name)
	ent = reg.withHistory(name, ent)
	old := reg.targets[name]
	_, missing := reg.missing[name]
	if old != nil && old.entry == ent && !missing {
		return false
	}
	reg.adopt(now, name, ent)
	return true
}

// adopt puts an entry in force.
func (reg *Registry) adopt(now clock.Instant, name string, ent Entry) {
	delete(reg.missing, name)
	reg.record(now, name, ent)
	reg.targets[name] = &target{entry: ent, warmAt: now.Add(ent.Warming)}
}

// Tick removes the targets whose entries have not reappeared in time, and believes the registrations that
// go back but stay. It reports whether there were any. It does neither while an outage of the platform lasts.
func (reg *Registry) Tick(now clock.Instant) bool {
	reg.forgetRuns(now)
	changed := reg.settle(now)
	for name, since := range reg.missing {
		if now.Since(since) >= ReappearTimeout && !reg.stale(now) {
			reg.drop(name)
			changed = true
		}
	}
	return changed
}

// stale reports whether no new confirmation has arrived for more than outageAge.
func (reg *Registry) stale(now clock.Instant) bool { return !reg.renewedAt.Within(outageAge, now) }

// Targets returns the targets that may be sent new requests, by service and sorted by ID.
func (reg *Registry) Targets() map[string][]health.Target {
	out := make(map[string][]health.Target)
	for name, tgt := range reg.targets {
		if tgt.entry.Leaving {
			continue
		}
		out[tgt.entry.Service] = append(out[tgt.entry.Service], health.Target{
			ID: name, Address: tgt.entry.Address, FailureDomain: tgt.entry.FailureDomain,
			Slots: tgt.entry.Slots, WarmAt: tgt.warmAt, Born: tgt.entry.Run(name).Born,
		})
	}
	for service, tgs := range out {
		out[service] = health.Sorted(tgs)
	}
	return out
}
