package announcement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

const (
	// maxTransit is the longest time that a report from another VM is assumed to have been under way.
	maxTransit = time.Second
	// retention is how long after its last response the announcements of a run are kept. It is not
	// bound to the registration of the target, which may lapse and return while the target leaves.
	retention = 10 * time.Minute
)

// Report tells another VM what is known of one run.
type Report struct {
	Run     health.Run
	Limit   Limit
	Leaving bool
	// SentAge is the time since the request was sent whose response announced the limit, and HeardAge
	// the time since that response arrived. The target announced the limit between the two.
	SentAge, HeardAge time.Duration
}

// entry is what is known of one run.
type entry struct {
	limit Limit
	// sentAt and heardAt enclose the time at which the target announced limit.
	sentAt, heardAt clock.Instant
	// leaving never ends: a target that leaves does not come back as the same run. leftSentAt and
	// leftHeardAt enclose the last time at which the target said so.
	leaving                 bool
	leftSentAt, leftHeardAt clock.Instant
	// doubtfulSince is when a response said that the target leaves which may be of this run or of the one
	// before; zero if there is none. It ends with Confirm.
	doubtfulSince clock.Instant
	// pausedUntil is the end of the time in which the target wants no request from this VM. pauseSentAt and
	// pauseHeardAt enclose the time at which the target said so.
	pausedUntil               clock.Instant
	pauseSentAt, pauseHeardAt clock.Instant
	// unreadable is the last value that could not be read.
	unreadable string
	// keptUntil is when the entry may be forgotten.
	keptUntil clock.Instant
}

// Book keeps what one VM knows of the announcements of targets, by itself or from other VMs. Runs of
// which it has no entry announce nothing, as far as the VM knows. It is not safe for concurrent use.
type Book struct {
	entries map[health.Run]*entry
	// confirmedAt is the latest time at which the registrations of targets were up to date.
	confirmedAt clock.Instant
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: make(map[health.Run]*entry)} }

// Hear records a response of a target to this VM, whose request was sent at sentAt. changed is set if
// other VMs must know of it, and notable if it says anything that the responses before did not say.
func (bok *Book) Hear(now, sentAt clock.Instant, run health.Run, ann Announcement) (changed, notable bool) {
	ent := bok.entries[run]
	if ent == nil {
		if ann == (Announcement{}) {
			return false, false
		}
		ent = bok.add(now, run)
	}
	ent.keptUntil = now.Add(retention)
	if ann.RetryAfter > 0 {
		ent.pause(now.Add(ann.RetryAfter), sentAt, now)
	}
	limit, leaving, unreadable := ent.limit, ent.leaving, ent.unreadable
	ent.unreadable = ann.Unreadable
	if ann.Leaving {
		ent.leave(sentAt, now)
	}
	if !ann.LimitUnreadable {
		ent.setLimit(ann.Limit, sentAt, now)
	}
	changed = ent.limit != limit || ent.leaving != leaving
	return changed, changed || ann.RetryAfter > 0 || ann.Unreadable != "" && ann.Unreadable != unreadable
}

// Learn records a report from another VM, and reports whether it changes anything.
func (bok *Book) Learn(now clock.Instant, rep Report) bool {
	ent := bok.entries[rep.Run]
	if ent == nil {
		ent = bok.add(now, rep.Run)
	}
	ent.keptUntil = now.Add(retention)
	limit, leaving := ent.limit, ent.leaving
	sentAt, heardAt := now.Add(-rep.SentAge-maxTransit), now.Add(-rep.HeardAge)
	if rep.Leaving {
		ent.leave(sentAt, heardAt)
	}
	ent.setLimit(rep.Limit, sentAt, heardAt)
	return ent.limit != limit || ent.leaving != leaving
}

func (bok *Book) add(now clock.Instant, run health.Run) *entry {
	ent := &entry{keptUntil: now.Add(retention)}
	bok.entries[run] = ent
	return ent
}

// leave records that the target leaves, as it said between sentAt and heardAt.
func (ent *entry) leave(sentAt, heardAt clock.Instant) {
	ent.leaving = true
	ent.leftSentAt, ent.leftHeardAt = clock.Later(ent.leftSentAt, sentAt), clock.Later(ent.leftHeardAt, heardAt)
}

// pause records that the target wants no request until a time, as it said between sentAt and heardAt.
func (ent *entry) pause(until, sentAt, heardAt clock.Instant) {
	ent.pausedUntil = clock.Later(ent.pausedUntil, until)
	ent.pauseSentAt, ent.pauseHeardAt = clock.Later(ent.pauseSentAt, sentAt), clock.Later(ent.pauseHeardAt, heardAt)
}

// setLimit replaces the limit by one that was announced between sentAt and heardAt, unless that one
// is older. Where it is not known which one is older, the stricter one holds.
func (ent *entry) setLimit(lim Limit, sentAt, heardAt clock.Instant) {
	if heardAt.Before(ent.sentAt) {
		return
	}
	newer := !sentAt.Before(ent.heardAt)
	if !newer && ent.limit.StricterThan(lim) {
		return
	}
	ent.limit, ent.sentAt, ent.heardAt = lim, clock.Later(ent.sentAt, sentAt), clock.Later(ent.heardAt, heardAt)
}

// Empty reports whether nothing was announced.
func (bok *Book) Empty() bool { return len(bok.entries) == 0 }

// Runs returns the runs that have announced anything, sorted.
func (bok *Book) Runs() []health.Run {
	return slices.SortedFunc(maps.Keys(bok.entries), func(one, two health.Run) int {
		return cmp.Or(cmp.Compare(one.Target, two.Target), cmp.Compare(one.Born, two.Born))
	})
}

// Limit returns the limit that a run announces.
func (bok *Book) Limit(run health.Run) Limit {
	if ent := bok.entries[run]; ent != nil {
		return ent.limit
	}
	return Limit{}
}

// Leaving reports whether a run has announced that it is leaving, or may have done so.
func (bok *Book) Leaving(run health.Run) bool {
	ent := bok.entries[run]
	return ent != nil && (ent.leaving || ent.doubtfulSince != clock.Instant{})
}

// Paused returns for how long a run wants no request from this VM; 0 if it takes requests.
func (bok *Book) Paused(now clock.Instant, run health.Run) time.Duration {
	ent := bok.entries[run]
	if ent == nil || !now.Before(ent.pausedUntil) {
		return 0
	}
	return ent.pausedUntil.Mono - now.Mono
}

// Report returns what other VMs must know of a run, and whether anything was announced.
func (bok *Book) Report(now clock.Instant, run health.Run) (Report, bool) {
	ent := bok.entries[run]
	if ent == nil || ent.sentAt == (clock.Instant{}) && !ent.leaving {
		return Report{}, false
	}
	return Report{Run: run, Limit: ent.limit, Leaving: ent.leaving, SentAge: now.Since(ent.sentAt), HeardAge: now.Since(ent.heardAt)}, true
}

// Forget drops the entries of runs that were neither registered nor heard of for retention.
func (bok *Book) Forget(now clock.Instant, registered map[health.Run]bool) {
	for run, ent := range bok.entries {
		switch {
		case registered[run]:
			ent.keptUntil = now.Add(retention)
		case !now.Before(ent.keptUntil):
			delete(bok.entries, run)
		}
	}
}
