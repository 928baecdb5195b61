package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

const (
	// maxEntries bounds the contents in a book. Beyond it the content that was suspected longest ago is
	// dropped, and a quarantined one only if there is no other.
	maxEntries = 2048
	// maxRuns bounds the runs that are kept for a content, of either kind.
	maxRuns = 16
	// clearRetention is how long a content without ends that count is kept, for reports that are late.
	clearRetention = 5 * time.Minute
	// suspectRetention is how long a suspected content is kept without news of it.
	suspectRetention = 24 * time.Hour
	// sameMoment is the time within which several runs may end for one reason other than a request, such as a
	// loss of their rack.
	sameMoment = 250 * time.Millisecond
	// storedEnds is the number of ends from which on a content is stored.
	storedEnds = 2
	// maxStored and maxStoredCleared bound the contents that are stored, and those among them that were
	// cleared since. The latter stay for the VMs that have not learned of it.
	maxStored        = 64
	maxStoredCleared = 16
)

// entry is what is known of one content.
type entry struct {
	// ends and cleared have no duplicates, the newest last, and maxRuns at most. The ages of the ends are not
	// set; observedAt holds when they were observed.
	ends       []End
	observedAt map[health.Run]clock.Instant
	cleared    []health.Run
	trials     int
	// stored is set once the content was found in the store.
	stored    bool
	changedAt clock.Instant
}

// Book is what one VM knows of the contents under which runs of targets have ended. It is not safe for
// concurrent use.
type Book struct {
	entries map[request.Fingerprint]*entry
	// quarantined holds the quarantined contents.
	quarantined map[request.Fingerprint]bool
	// dropped counts the contents that were dropped since the book was full.
	dropped uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: make(map[request.Fingerprint]*entry), quarantined: make(map[request.Fingerprint]bool)}
}

// Empty reports whether no content is known.
func (bok *Book) Empty() bool { return len(bok.entries) == 0 }

// Sizes returns the numbers of suspected and of quarantined contents, and how many were dropped since the
// book was full.
func (bok *Book) Sizes() (suspected, quarantined int, dropped uint64) {
	for fpr := range bok.entries {
		if bok.State(fpr) == Suspected {
			suspected++
		}
	}
	return suspected, len(bok.quarantined), bok.dropped
}

// State returns the state of a content.
func (bok *Book) State(fpr request.Fingerprint) State {
	if bok.quarantined[fpr] {
		return Quarantined
	}
	if bok.Count(fpr) > 0 {
		return Suspected
	}
	return Clear
}

// Count returns how many ends of runs count against a content: each of those that are separate, and one for
// all others. Before a content is suspected it may run at many targets at a time, which may all end for one
// other reason.
func (bok *Book) Count(fpr request.Fingerprint) int {
	ent := bok.entries[fpr]
	if ent == nil {
		return 0
	}
	separate, other := 0, 0
	for _, end := range ent.ends {
		switch {
		case slices.Contains(ent.cleared, end.Run):
		case end.Separate:
			separate++
		default:
			other = 1
		}
	}
	return separate + other
}

// AddEnd records that a run has ended under a content, and reports whether that is new.
func (bok *Book) AddEnd(now clock.Instant, fpr request.Fingerprint, end End) bool {
	return bok.Merge(now, Report{Content: fpr, Ends: []End{end}})
}

// Clear records that a content does no harm, and reports whether anything counted against it.
func (bok *Book) Clear(now clock.Instant, fpr request.Fingerprint) bool {
	ent := bok.entries[fpr]
	if ent == nil {
		return false
	}
	rep := Report{Content: fpr}
	for _, end := range ent.ends {
		rep.Cleared = append(rep.Cleared, end.Run)
	}
	return bok.Merge(now, rep)
}

// Merge adds what a report says, and reports whether any of it is new.
func (bok *Book) Merge(now clock.Instant, rep Report) bool {
	if rep.Content == (request.Fingerprint{}) {
		return false
	}
	ent := bok.entries[rep.Content]
	if ent == nil {
		ent = &entry{observedAt: make(map[health.Run]clock.Instant)}
	}
	ends, newEnds := unionOfEnds(ent.ends, rep.Ends)
	cleared, newCleared := union(ent.cleared, rep.Cleared)
	if len(ends) == 0 && len(cleared) == 0 {
		return false
	}
	if !newEnds && !newCleared && rep.Trials <= ent.trials {
		return false
	}
	bok.entries[rep.Content] = ent
	ent.ends, ent.cleared, ent.trials, ent.changedAt = ends, cleared, max(ent.trials, rep.Trials), now
	ent.observe(now, rep.Ends)
	delete(bok.quarantined, rep.Content)
	if bok.Count(rep.Content) >= provenEnds {
		bok.quarantined[rep.Content] = true
	}
	bok.makeRoom(rep.Content)
	return true
}

// observe records when ends were observed, and forgets those that are not kept.
func (ent *entry) observe(now clock.Instant, ends []End) {
	for _, end := range ends {
		if _, known := ent.observedAt[end.Run]; !known {
			ent.observedAt[end.Run] = now.Add(-end.Age)
		}
	}
	maps.DeleteFunc(ent.observedAt, func(run health.Run, _ clock.Instant) bool {
		return !slices.ContainsFunc(ent.ends, func(end End) bool { return end.Run == run })
	})
}

// Separated marks the ends in a report that are new and were observed at another moment than all others of
// the content. Only the keeper does so: two VMs could mark two ends of the same moment.
func (bok *Book) Separated(now clock.Instant, rep Report) Report {
	ent := bok.entries[rep.Content]
	if ent == nil || bok.Count(rep.Content) == 0 {
		return rep
	}
	rep.Ends = slices.Clone(rep.Ends)
	for num, end := range rep.Ends {
		if _, known := ent.observedAt[end.Run]; known {
			continue
		}
		at, alone := now.Add(-end.Age), true
		for _, other := range ent.observedAt {
			alone = alone && max(at.Since(other), other.Since(at)) >= sameMoment
		}
		for _, earlier := range rep.Ends[:num] {
			alone = alone && (earlier.Age-end.Age).Abs() >= sameMoment
		}
		rep.Ends[num].Separate = end.Separate || alone
	}
	return rep
}

// union adds runs to a list, up to maxRuns, and reports whether any of them is new. The oldest make room.
func union(list, more []health.Run) (out []health.Run, changed bool) {
	out = list
	for _, run := range more {
		if slices.Contains(out, run) {
			continue
		}
		out, changed = append(slices.Clone(out), run), true
		out = out[max(len(out)-maxRuns, 0):]
	}
	return out, changed
}

// unionOfEnds is as union. An end is separate if either list says so.
func unionOfEnds(list, more []End) (out []End, changed bool) {
	out = list
	for _, end := range more {
		at := slices.IndexFunc(out, func(one End) bool { return one.Run == end.Run })
		if at >= 0 && (out[at].Separate || !end.Separate) {
			continue
		}
		out, changed = slices.Clone(out), true
		end.Age = 0
		if at >= 0 {
			out[at].Separate = true
			continue
		}
		out = append(out, end)
		out = out[max(len(out)-maxRuns, 0):]
	}
	return out, changed
}

// makeRoom drops the entry that matters least if there are too many, but not that of a given content.
func (bok *Book) makeRoom(keep request.Fingerprint) {
	if len(bok.entries) <= maxEntries {
		return
	}
	var oldest request.Fingerprint
	for fpr, ent := range bok.entries {
		if fpr == keep {
			continue
		}
		was := bok.entries[oldest]
		if was == nil || bok.lessNeeded(fpr, ent, oldest, was) {
			oldest = fpr
		}
	}
	bok.drop(oldest)
	bok.dropped++
}

// lessNeeded reports whether the first of two entries is dropped before the second.
func (bok *Book) lessNeeded(one request.Fingerprint, entOne *entry, two request.Fingerprint, entTwo *entry) bool {
	return cmp.Or(cmp.Compare(bok.State(one), bok.State(two)), cmp.Compare(entOne.changedAt.Mono, entTwo.changedAt.Mono), one.Compare(two)) < 0
}

func (bok *Book) drop(fpr request.Fingerprint) {
	delete(bok.entries, fpr)
	delete(bok.quarantined, fpr)
}

// Forget drops contents of which there was no news for long. Quarantined and stored ones stay.
func (bok *Book) Forget(now clock.Instant) {
	for fpr, ent := range bok.entries {
		sta := bok.State(fpr)
		age := now.Since(ent.changedAt)
		if !ent.stored && (sta == Clear && age > clearRetention || sta == Suspected && age > suspectRetention) {
			bok.drop(fpr)
		}
	}
}

// Report returns what is known of a content.
func (bok *Book) Report(now clock.Instant, fpr request.Fingerprint) Report {
	ent := bok.entries[fpr]
	if ent == nil {
		return Report{Content: fpr}
	}
	ends := slices.Clone(ent.ends)
	for num := range ends {
		ends[num].Age = now.Since(ent.observedAt[ends[num].Run])
	}
	return Report{Content: fpr, Ends: ends, Cleared: ent.cleared, Trials: ent.trials}
}

// Reports returns what is known of the contents that are not clear, those with the most ends first, and
// most at the most.
func (bok *Book) Reports(now clock.Instant, most int) []Report {
	return bok.sorted(now, most, func(fpr request.Fingerprint, _ *entry) bool { return bok.State(fpr) != Clear })
}

// Stored returns what must be stored: the quarantined contents, those on the way there, and those that
// were stored and have been cleared since.
func (bok *Book) Stored(now clock.Instant) []Report {
	out := bok.sorted(now, maxStored-maxStoredCleared, func(fpr request.Fingerprint, _ *entry) bool { return bok.Count(fpr) >= storedEnds })
	return append(out, bok.sorted(now, maxStoredCleared, func(fpr request.Fingerprint, ent *entry) bool {
		return ent.stored && bok.Count(fpr) < storedEnds
	})...)
}

// MarkStored records that contents were found in the store.
func (bok *Book) MarkStored(rps []Report) {
	for _, rep := range rps {
		if ent := bok.entries[rep.Content]; ent != nil {
			ent.stored = true
		}
	}
}

// sorted returns the reports of the entries that are chosen, those with the most ends first, then the
// newest.
func (bok *Book) sorted(now clock.Instant, most int, chosen func(fpr request.Fingerprint, ent *entry) bool) []Report {
	var fprs []request.Fingerprint
	for fpr, ent := range bok.entries {
		if chosen(fpr, ent) {
			fprs = append(fprs, fpr)
		}
	}
	slices.SortFunc(fprs, func(one, two request.Fingerprint) int {
		return cmp.Or(cmp.Compare(bok.Count(two), bok.Count(one)), cmp.Compare(bok.entries[two].changedAt.Mono, bok.entries[one].changedAt.Mono), one.Compare(two))
	})
	var out []Report
	for _, fpr := range fprs[:min(len(fprs), most)] {
		out = append(out, bok.Report(now, fpr))
	}
	return out
}

// Contents returns the quarantined contents, sorted.
func (bok *Book) Contents() []request.Fingerprint {
	return slices.SortedFunc(maps.Keys(bok.quarantined), request.Fingerprint.Compare)
}

// ChangedAt returns when the last news of a content came.
func (bok *Book) ChangedAt(fpr request.Fingerprint) clock.Instant {
	if ent := bok.entries[fpr]; ent != nil {
		return ent.changedAt
	}
	return clock.Instant{}
}

// Includes reports whether rep says all that other says.
func (rep Report) Includes(other Report) bool {
	_, newEnds := unionOfEnds(rep.Ends, other.Ends)
	_, newCleared := union(rep.Cleared, other.Cleared)
	return !newEnds && !newCleared && rep.Trials >= other.Trials
}
