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
	// maxEnds bounds the ends that are kept for a content, several times what proves it.
	maxEnds = 16
	// clearSlack is how long after a content was cleared an end must have been observed to count, if the VM
	// that observed it did not know of that.
	clearSlack = time.Second
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
	epoch uint64
	// clearedAt is when this VM learned that epoch has begun; zero for the first one.
	clearedAt clock.Instant
	// ends has no duplicates, the newest last, and maxEnds at most. The ages are not set; observedAt holds
	// when the ends were observed.
	ends       []End
	observedAt map[health.Run]clock.Instant
	// suspectedAt is when this VM learned of the first of the ends.
	suspectedAt clock.Instant
	trials      int
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
// all others. While a VM does not know that a content is suspected, it may run beside other suspects, and at
// many targets at a time, which may all end for one other reason.
func (bok *Book) Count(fpr request.Fingerprint) int {
	ent := bok.entries[fpr]
	if ent == nil {
		return 0
	}
	separate, other := 0, 0
	for _, end := range ent.ends {
		if end.Separate {
			separate++
		} else {
			other = 1
		}
	}
	return separate + other
}

// EndReport returns the report of an end that this VM has observed now.
func (bok *Book) EndReport(now clock.Instant, fpr request.Fingerprint, end End) Report {
	ent := bok.entries[fpr]
	if ent == nil {
		return Report{Content: fpr, Ends: []End{end}}
	}
	if len(ent.ends) > 0 && now.Since(ent.suspectedAt) >= sameMoment {
		end.Separate = true
	}
	return Report{Content: fpr, Epoch: ent.epoch, Ends: []End{end}}
}

// Clear records that a content does no harm, and reports whether anything counted against it.
func (bok *Book) Clear(now clock.Instant, fpr request.Fingerprint) bool {
	ent := bok.entries[fpr]
	if ent == nil || len(ent.ends) == 0 {
		return false
	}
	return bok.Merge(now, Report{Content: fpr, Epoch: ent.epoch + 1})
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
	if !ent.merge(now, rep) {
		return false
	}
	ent.changedAt = now
	bok.entries[rep.Content] = ent
	delete(bok.quarantined, rep.Content)
	if bok.Count(rep.Content) >= provenEnds {
		bok.quarantined[rep.Content] = true
	}
	bok.makeRoom(rep.Content)
	return true
}

// merge adds what a report says, and reports whether any of it is new.
func (ent *entry) merge(now clock.Instant, rep Report) bool {
	changed := rep.Epoch > ent.epoch
	if changed {
		ent.epoch, ent.clearedAt, ent.ends, ent.trials = rep.Epoch, now, nil, 0
	}
	ends := rep.Ends
	if rep.Epoch < ent.epoch {
		ends = ent.since(now, ends)
	}
	if len(ent.ends) == 0 {
		ent.suspectedAt = now
	}
	joined, more := union(ent.ends, ends)
	ent.ends = joined
	ent.observe(now, ends)
	if rep.Epoch == ent.epoch && rep.Trials > ent.trials {
		ent.trials, changed = rep.Trials, true
	}
	return changed || more
}

// since returns the ends that were observed after the content was cleared, though the VM that reports them
// does not know of that.
func (ent *entry) since(now clock.Instant, ends []End) []End {
	var out []End
	for _, end := range ends {
		if ent.clearedAt.Add(clearSlack).Before(now.Add(-end.Age)) {
			out = append(out, end)
		}
	}
	return out
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

// union adds ends to a list, up to maxEnds, and reports whether it changed. An end is separate if either list
// says so.
func union(list, more []End) (out []End, changed bool) {
	out = list
	for _, end := range more {
		at := slices.IndexFunc(out, func(one End) bool { return one.Run == end.Run })
		if at >= 0 && (out[at].Separate || !end.Separate) || at < 0 && len(out) >= maxEnds {
			continue
		}
		out, changed = slices.Clone(out), true
		if at >= 0 {
			out[at].Separate = true
			continue
		}
		out = append(out, End{Run: end.Run, Separate: end.Separate})
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
	return Report{Content: fpr, Epoch: ent.epoch, Ends: ends, Trials: ent.trials}
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
	if rep.Epoch != other.Epoch {
		return rep.Epoch > other.Epoch
	}
	_, more := union(rep.Ends, other.Ends)
	return !more && rep.Trials >= other.Trials
}
