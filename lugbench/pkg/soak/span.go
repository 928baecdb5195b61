package soak

import (
	"sync"
	"time"
)

// span is a time in which something lasted. until is zero while it lasts.
type span struct {
	from, until time.Time
}

// spans records when something lasted. It is safe for concurrent use.
type spans struct {
	mut  sync.Mutex
	list []span
}

// set records whether it lasts from now on.
func (spn *spans) set(lasts bool) {
	spn.mut.Lock()
	defer spn.mut.Unlock()
	last := len(spn.list) - 1
	open := last >= 0 && spn.list[last].until.IsZero()
	switch {
	case lasts && !open:
		spn.list = append(spn.list, span{from: time.Now()})
	case !lasts && open:
		spn.list[last].until = time.Now()
	}
}

// overlaps reports whether it lasted at any moment from one time to another.
func (spn *spans) overlaps(from, until time.Time) bool {
	spn.mut.Lock()
	defer spn.mut.Unlock()
	for _, one := range spn.list {
		if one.from.Before(until) && (one.until.IsZero() || one.until.After(from)) {
			return true
		}
	}
	return false
}
