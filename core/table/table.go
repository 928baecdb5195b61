// Package table holds a copy of the objects of one kind that the platform stores, and computes
// the changes that a VM with an older copy needs.
package table

import (
	"cmp"
	"maps"
	"slices"

	"marigoldlug.example/core/revision"
)

// maxRemovals is the number of removals that a table remembers. A reader that lags further
// behind is sent the whole table.
const maxRemovals = 1024

// Row is one object of the table.
type Row[T any] struct {
	Name string
	// Revision is the revision of the object's last change; see revision.Join. It grows with every change.
	Revision uint64
	Value    T
}

// Delta contains the changes from one revision of a table to a later one. All its revisions are of one era.
type Delta[T any] struct {
	// Whole is set if Rows contains all rows of the table.
	Whole bool
	// Since is the revision to which the delta applies. It has no meaning if Whole is set.
	Since uint64
	// Revision is the revision of the table after the delta is applied.
	Revision uint64
	Rows     []Row[T]
	// Removed lists the names of removed rows.
	Removed []string
}

// Empty reports whether the delta changes no row.
func (del Delta[T]) Empty() bool { return !del.Whole && len(del.Rows) == 0 && len(del.Removed) == 0 }

type removal struct {
	name     string
	revision uint64
}

// Table is a copy of the objects of one kind. Its revision never decreases. It is not safe for
// concurrent use.
type Table[T any] struct {
	revision uint64
	rows     map[string]Row[T]
	// removals is sorted by revision.
	removals []removal
	// removalsSince is the revision after which removals contains every removal.
	removalsSince uint64
}

// New returns an empty table at revision 0.
func New[T any]() *Table[T] { return &Table[T]{rows: make(map[string]Row[T])} }

// Revision returns the revision of the table, 0 before the first delta.
func (tab *Table[T]) Revision() uint64 { return tab.revision }

// Len returns the number of rows.
func (tab *Table[T]) Len() int { return len(tab.rows) }

// Get returns the row with the given name.
func (tab *Table[T]) Get(name string) (Row[T], bool) {
	row, found := tab.rows[name]
	return row, found
}

// Rows returns every row sorted by name.
func (tab *Table[T]) Rows() []Row[T] {
	return slices.SortedFunc(maps.Values(tab.rows), func(one, two Row[T]) int { return cmp.Compare(one.Name, two.Name) })
}

// Apply applies a delta and reports whether it did so. A delta that is older than the table, or that
// begins after the table's revision or in another era, is not applied.
func (tab *Table[T]) Apply(del Delta[T]) bool {
	if del.Revision < tab.revision || !del.Whole && !tab.continuedBy(del) {
		return false
	}
	if del.Whole {
		tab.replace(del)
		return true
	}
	for _, row := range del.Rows {
		if row.Revision > tab.rows[row.Name].Revision {
			tab.rows[row.Name] = row
		}
	}
	for _, name := range del.Removed {
		tab.remove(name, del.Revision)
	}
	tab.revision = del.Revision
	return true
}

// continuedBy reports whether a delta contains all changes since the table's revision.
func (tab *Table[T]) continuedBy(del Delta[T]) bool {
	return del.Since <= tab.revision && revision.EraOf(tab.revision) == revision.EraOf(del.Revision)
}

func (tab *Table[T]) replace(del Delta[T]) {
	kept := make(map[string]bool, len(del.Rows))
	for _, row := range del.Rows {
		kept[row.Name] = true
		tab.rows[row.Name] = row
	}
	for _, name := range slices.Sorted(maps.Keys(tab.rows)) {
		if !kept[name] {
			tab.remove(name, del.Revision)
		}
	}
	if tab.revision == 0 || revision.EraOf(tab.revision) != revision.EraOf(del.Revision) {
		tab.removals, tab.removalsSince = nil, del.Revision
	}
	tab.revision = del.Revision
}

func (tab *Table[T]) remove(name string, rev uint64) {
	if _, found := tab.rows[name]; !found {
		return
	}
	delete(tab.rows, name)
	tab.removals = append(tab.removals, removal{name: name, revision: rev})
	if extra := len(tab.removals) - maxRemovals; extra > 0 {
		tab.removalsSince = tab.removals[extra-1].revision
		tab.removals = slices.Delete(tab.removals, 0, extra)
	}
}

// Since returns the changes that a reader at the given revision needs. A reader of a later era needs none, but the
// delta doesn't have its revision then: what is known of this table says nothing about that era.
func (tab *Table[T]) Since(held uint64) Delta[T] {
	switch {
	case revision.Covers(held, tab.revision):
		return Delta[T]{Since: held, Revision: held}
	case held > tab.revision:
		return Delta[T]{Since: tab.revision, Revision: tab.revision}
	case held == 0 || held < tab.removalsSince:
		return Delta[T]{Whole: true, Revision: tab.revision, Rows: tab.Rows()}
	}
	del := Delta[T]{Since: held, Revision: tab.revision}
	for _, row := range tab.Rows() {
		if row.Revision > held {
			del.Rows = append(del.Rows, row)
		}
	}
	for _, one := range tab.removals {
		if _, back := tab.rows[one.name]; one.revision > held && !back && !slices.Contains(del.Removed, one.name) {
			del.Removed = append(del.Removed, one.name)
		}
	}
	return del
}
