// Package drain keeps which failure domains are drained: nothing more may be sent to their targets.
package drain

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// Retention is how long a drain stays in force that the store does not show after a restore. The restore may have
// lost it; the operator writes it again some seconds later.
const Retention = 10 * time.Second

// Entry is the object of a drained failure domain, whose name is that of the domain. All content counts alike.
type Entry struct{}

// Report tells another VM which failure domains are drained.
type Report struct {
	// Revision is the revision of Shown; see revision.Join.
	Revision uint64
	// Shown lists the domains that the store shows as drained, sorted.
	Shown []string
	// Retained lists the others that are drained, sorted by their names.
	Retained []Retained
}

// Retained is a failure domain whose drain a restore of the store may have lost.
type Retained struct {
	Domain string
	// Left is how long it stays drained, at most Retention.
	Left time.Duration
}

// Change says that a failure domain was drained or restored.
type Change struct {
	Domain  string
	Drained bool
	// Retained is set if the store does not show the drain after a restore.
	Retained bool
}

// Domain is a failure domain that is drained.
type Domain struct {
	Name string
	// Since is when this VM learned of the drain.
	Since clock.Instant
	// Retained is set if the store does not show the drain.
	Retained bool
}

// state is a drain in force.
type state struct {
	since clock.Instant
	// until is the end of a drain that the store does not show; zero for one that it shows.
	until clock.Instant
}

func (sta state) retained() bool { return sta.until != (clock.Instant{}) }

// Book holds the drained failure domains as far as one VM knows. It is not safe for concurrent use.
type Book struct {
	shown *table.Table[Entry]
	// known is set once the store or another VM has told which domains are drained.
	known  bool
	drains map[string]state
	// settled holds the domains whose state in the present era is known: the store has shown their drain, or it
	// did not within Retention. A report of another VM that retains them is out of date.
	settled map[string]bool
	// returnedAt is when each domain was last restored.
	returnedAt map[string]clock.Instant
	changes    []Change
}

// NewBook returns a book that knows of no drain.
func NewBook() *Book {
	return &Book{
		shown: table.New[Entry](), drains: make(map[string]state), settled: make(map[string]bool), returnedAt: make(map[string]clock.Instant),
	}
}

// Known reports whether the store or another VM has told which domains are drained.
func (bok *Book) Known() bool { return bok.known }

// Revision returns the revision up to which the drains are known; see revision.Join.
func (bok *Book) Revision() uint64 { return bok.shown.Revision() }

// Drained reports whether nothing may be sent to the targets of a failure domain.
func (bok *Book) Drained(domain string) bool {
	_, drained := bok.drains[domain]
	return drained
}

// Len returns the number of drained domains.
func (bok *Book) Len() int { return len(bok.drains) }

// ReturnedAt returns when a domain was last restored; zero if this VM has not seen that.
func (bok *Book) ReturnedAt(domain string) clock.Instant { return bok.returnedAt[domain] }

// Apply records what was read from the store.
func (bok *Book) Apply(now clock.Instant, del table.Delta[Entry]) {
	before := bok.shown.Revision()
	if !bok.shown.Apply(del) {
		return
	}
	restored := bok.known && revision.EraOf(before) != revision.EraOf(bok.shown.Revision())
	bok.known = true
	if restored {
		clear(bok.settled)
	}
	for _, row := range del.Rows {
		bok.show(now, row.Name)
	}
	for domain, sta := range bok.drains {
		if _, shown := bok.shown.Get(domain); shown {
			continue
		}
		switch {
		case restored:
			bok.retain(domain, sta, now.Add(Retention))
		case !sta.retained():
			bok.end(now, domain)
		}
	}
}

// Learn records a report of another VM. One that is older than what this VM knows changes nothing.
func (bok *Book) Learn(now clock.Instant, rep Report) {
	if rep.Revision < bok.shown.Revision() {
		return
	}
	del := table.Delta[Entry]{Whole: true, Revision: rep.Revision}
	for _, domain := range rep.Shown {
		del.Rows = append(del.Rows, table.Row[Entry]{Name: domain, Revision: rep.Revision})
	}
	bok.Apply(now, del)
	for _, ret := range rep.Retained {
		if _, drained := bok.drains[ret.Domain]; !drained && !bok.settled[ret.Domain] {
			bok.begin(domainAt(now, ret))
		}
	}
}

// domainAt returns the domain that a report retains, and its drain.
func domainAt(now clock.Instant, ret Retained) (string, state) {
	return ret.Domain, state{since: now, until: now.Add(min(max(ret.Left, 0), Retention))}
}

// show puts a drain in force that the store shows.
func (bok *Book) show(now clock.Instant, domain string) {
	if _, shown := bok.shown.Get(domain); !shown {
		return
	}
	bok.settled[domain] = true
	sta, drained := bok.drains[domain]
	if !drained {
		bok.begin(domain, state{since: now})
		return
	}
	sta.until = clock.Instant{}
	bok.drains[domain] = sta
}

func (bok *Book) begin(domain string, sta state) {
	bok.drains[domain] = sta
	bok.changes = append(bok.changes, Change{Domain: domain, Drained: true, Retained: sta.retained()})
}

// retain keeps a drain in force for a time that the store does not show after a restore.
func (bok *Book) retain(domain string, sta state, until clock.Instant) {
	sta.until = until
	bok.drains[domain] = sta
	bok.changes = append(bok.changes, Change{Domain: domain, Drained: true, Retained: true})
}

// end restores a domain.
func (bok *Book) end(now clock.Instant, domain string) {
	delete(bok.drains, domain)
	bok.returnedAt[domain] = now
	bok.changes = append(bok.changes, Change{Domain: domain})
}

// Tick restores the domains whose drains the store has not shown again within Retention after a restore.
func (bok *Book) Tick(now clock.Instant) {
	for domain, sta := range bok.drains {
		if sta.retained() && !now.Before(sta.until) {
			bok.settled[domain] = true
			bok.end(now, domain)
		}
	}
}
