// Package admission decides how many requests of a priority and an organisation the targets of a partition take at a
// time, so that scarce capacity goes to the most urgent ones, is shared fairly and starves nobody.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldlug.example/core/clock"
)

// Request is what a request competes by.
type Request struct {
	// Priority ranks the request; 0 is the highest.
	Priority int
	// Caller is the organisation of the request, see CallerOf; 0 for none or one that is not known.
	Caller uint16
	// Kind groups requests that take about equally long.
	Kind string
}

// CallerOf returns the number by which an organisation is known to placers, 0 for none. Two organisations of the same
// number count as one, which harms them only where they hold more than their share together.
func CallerOf(organisation string) uint16 {
	if organisation == "" {
		return 0
	}
	return max(uint16(xxhash.Sum64String(organisation)&0xffff), 1)
}

// Rank is the place of a request among those that compete; 0 goes first.
type Rank int

// LowestPriority is the lowest priority that is told from others. Lower ones, which have greater numbers, count as this one.
const LowestPriority = 2

// BoundPriority returns the priority as which one counts, from 0 to LowestPriority.
func BoundPriority(priority int) int { return min(max(priority, 0), LowestPriority) }

const (
	// lowestRank is that of a request of the lowest priority whose organisation holds more than its share.
	lowestRank = Rank(LowestPriority + 1)
	// queueDepth is the most requests that a target is given at a time, as a multiple of its slots. It is lower
	// for each rank by the slots divided by rankStep, so that those before it still find room.
	queueDepth = 3
	rankStep   = 2
)

// Limit returns the most requests that a target with a number of slots is given at a time by requests of the rank.
func (rnk Rank) Limit(slots int) int { return queueDepth*slots - int(rnk)*slots/rankStep }

// WaitShare returns the share of the longest wait for a slot for which requests of the rank are queued.
func (rnk Rank) WaitShare() float64 { return 1 - float64(rnk)/float64(lowestRank+1) }

const (
	// fairTime is the time in which the work of organisations is compared, and shareTime that in which refusals
	// are: long enough for some requests of each, and short enough for a burst of some seconds.
	fairTime  = 2 * time.Second
	shareTime = 5 * time.Second
	// overShare is from which multiple of its fair share on an organisation counts as holding more. The work of
	// an organisation with some ten requests in fairTime varies by a quarter by chance alone.
	overShare = 1.5
	// starvedShare is the share of what all are admitted, below which a kind or an organisation goes first. Callers
	// need a quarter; what is more allows for the time in which that is found out.
	starvedShare = 1.0 / 3
	// minAsked is how many requests must have been counted before a share of them says something.
	minAsked = 3
	// forgetInterval is how often organisations and kinds that ask no more are forgotten, and minKept the count
	// below which they are.
	forgetInterval = 10 * time.Second
	minKept        = 0.05
	// minAdmitted bounds the share of admitted requests by which the time of a return is reckoned, and
	// maxRetryAfter that time: load seldom lasts longer unchanged.
	minAdmitted   = 0.1
	maxRetryAfter = 5 * time.Second
)

// Book is what the placer of a partition knows of the requests that compete there. It is not safe for concurrent use.
type Book struct {
	all     tally
	work    meter
	callers map[uint16]*account
	kinds   map[string]*tally
	ranks   [lowestRank + 1]tally

	forgotAt clock.Instant
}

// account is what is known of an organisation.
type account struct {
	tally
	// work is that of its requests which were placed.
	work meter
}

// New returns a book in which nothing has been recorded.
func New() *Book {
	return &Book{callers: make(map[uint16]*account), kinds: make(map[string]*tally)}
}

// Rank returns the rank of a request. scarce is set while all slots of the partition are in use.
func (bok *Book) Rank(now clock.Instant, req Request, scarce bool) Rank {
	rnk := Rank(BoundPriority(req.Priority))
	switch {
	case !scarce:
		return rnk
	case bok.starved(now, req):
		return 0
	case bok.holdsTooMuch(now, req.Caller):
		return rnk + 1
	}
	return rnk
}

// starved reports whether the kind or the organisation of a request is admitted much less often than all are.
func (bok *Book) starved(now clock.Instant, req Request) bool {
	least := starvedShare * bok.all.share(now)
	if knd := bok.kinds[req.Kind]; knd != nil && knd.share(now) < least {
		return true
	}
	acc := bok.callers[req.Caller]
	return acc != nil && req.Caller != 0 && acc.share(now) < least
}

// holdsTooMuch reports whether an organisation holds more than its fair share: that of the work of all, divided by the
// organisations that ask.
func (bok *Book) holdsTooMuch(now clock.Instant, caller uint16) bool {
	acc := bok.callers[caller]
	if caller == 0 || acc == nil || len(bok.callers) < 2 {
		return false
	}
	return acc.work.at(now, fairTime) > overShare*bok.work.at(now, fairTime)/float64(len(bok.callers))
}

// Record records whether a request was given a target or found no room. work is how long it likely holds a slot.
func (bok *Book) Record(now clock.Instant, req Request, rnk Rank, admitted bool, work time.Duration) {
	bok.forget(now)
	bok.all.count(now, admitted)
	bok.ranks[rnk].count(now, admitted)
	knd := bok.kinds[req.Kind]
	if knd == nil {
		knd = new(tally)
		bok.kinds[req.Kind] = knd
	}
	knd.count(now, admitted)
	acc := bok.callers[req.Caller]
	if acc == nil {
		acc = new(account)
		bok.callers[req.Caller] = acc
	}
	acc.count(now, admitted)
	if admitted {
		acc.work.add(now, work.Seconds(), fairTime)
		bok.work.add(now, work.Seconds(), fairTime)
	}
}

// RetryAfter returns when a request that found no room likely finds a place. wait is the time until there is room for its
// rank, which others of the rank want, too: of several returns one is admitted, by the share of lately.
func (bok *Book) RetryAfter(now clock.Instant, rnk Rank, wait time.Duration) time.Duration {
	share := max(bok.ranks[rnk].share(now), minAdmitted)
	return max(wait, min(time.Duration(float64(wait)/share), maxRetryAfter))
}

// forget drops the organisations and kinds that ask no more.
func (bok *Book) forget(now clock.Instant) {
	if now.Mono-bok.forgotAt.Mono < forgetInterval {
		return
	}
	bok.forgotAt = now
	for id, acc := range bok.callers {
		if acc.asked.at(now, shareTime) < minKept {
			delete(bok.callers, id)
		}
	}
	for name, knd := range bok.kinds {
		if knd.asked.at(now, shareTime) < minKept {
			delete(bok.kinds, name)
		}
	}
}
