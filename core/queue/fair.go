// Package queue orders the requests that wait for a service fairly among
// organisations.
package queue

import (
	"cmp"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
)

// Item is a request that waits.
type Item struct {
	ID           uint64
	Organisation string
	// Weight is at least 1.
	Weight   int
	Deadline clock.Instant
	// Since is when the request began to wait.
	Since clock.Instant
}

// Fair is a bounded queue that serves organisations in proportion to their
// weights, and within one organisation the earliest deadline first. It is not
// safe for concurrent use.
type Fair struct {
	limit int
	size  int
	// virtual is the service that the organisation served last has received.
	virtual float64
	flows   map[string]*flow
}

// flow holds the requests of one organisation.
type flow struct {
	organisation string
	weight       int
	// service is the weighted number of requests served, on the scale of
	// Fair.virtual.
	service float64
	items   []Item
}

// NewFair returns an empty queue for at most limit requests.
func NewFair(limit int) *Fair { return &Fair{limit: limit, flows: make(map[string]*flow)} }

// Len returns the number of requests that wait.
func (fai *Fair) Len() int { return fai.size }

// Push adds a request. When the queue is full it returns the request that has
// to go: the last of the organisation with the longest weighted queue.
func (fai *Fair) Push(itm Item) (dropped Item, full bool) {
	flo := fai.flows[itm.Organisation]
	if flo == nil {
		flo = &flow{organisation: itm.Organisation, service: fai.virtual}
		fai.flows[itm.Organisation] = flo
	}
	if len(flo.items) == 0 {
		// A flow that was idle does not gather a claim on the past.
		flo.service = max(flo.service, fai.virtual)
	}
	flo.weight = max(itm.Weight, 1)
	at, _ := slices.BinarySearchFunc(flo.items, itm, func(one, two Item) int {
		return cmp.Or(cmp.Compare(one.Deadline.Mono, two.Deadline.Mono), cmp.Compare(one.ID, two.ID))
	})
	flo.items = slices.Insert(flo.items, at, itm)
	fai.size++
	if fai.size <= fai.limit {
		return Item{}, false
	}
	longest := fai.longest()
	dropped = longest.items[len(longest.items)-1]
	fai.Remove(dropped.Organisation, dropped.ID)
	return dropped, true
}

func (fai *Fair) longest() *flow {
	var out *flow
	for _, flo := range fai.flows {
		if out == nil || flo.length() > out.length() || flo.length() == out.length() && flo.organisation < out.organisation {
			out = flo
		}
	}
	return out
}

func (flo *flow) length() float64 { return float64(len(flo.items)) / float64(max(flo.weight, 1)) }

// Pop removes the request to serve next.
func (fai *Fair) Pop() (Item, bool) {
	var next *flow
	for _, flo := range fai.flows {
		if len(flo.items) == 0 {
			continue
		}
		if next == nil || flo.service < next.service || flo.service == next.service && flo.organisation < next.organisation {
			next = flo
		}
	}
	if next == nil {
		return Item{}, false
	}
	itm := next.items[0]
	fai.virtual = max(fai.virtual, next.service)
	next.service += 1 / float64(next.weight)
	fai.Remove(itm.Organisation, itm.ID)
	return itm, true
}

// Remove takes a request out of the queue.
func (fai *Fair) Remove(organisation string, id uint64) bool {
	flo := fai.flows[organisation]
	if flo == nil {
		return false
	}
	at := slices.IndexFunc(flo.items, func(itm Item) bool { return itm.ID == id })
	if at < 0 {
		return false
	}
	flo.items = slices.Delete(flo.items, at, at+1)
	fai.size--
	if len(flo.items) == 0 && flo.service <= fai.virtual {
		delete(fai.flows, organisation)
	}
	return true
}

// Expired removes and returns the requests that have less than left until
// their deadlines or have waited for longer than longest.
func (fai *Fair) Expired(now clock.Instant, left, longest time.Duration) []Item {
	var out []Item
	for _, flo := range fai.flows {
		flo.items = slices.DeleteFunc(flo.items, func(itm Item) bool {
			expired := itm.Deadline.Mono-now.Mono < left || now.Mono-itm.Since.Mono > longest
			if expired {
				out = append(out, itm)
				fai.size--
			}
			return expired
		})
	}
	slices.SortFunc(out, func(one, two Item) int { return cmp.Compare(one.ID, two.ID) })
	return out
}
