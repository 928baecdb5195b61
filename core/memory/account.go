// Package memory accounts for what the clients of a VM make it hold: bytes, or connections. It decides
// who gets more of it, and who has to give back what it holds when it runs short.
package memory

import (
	"math"

	"marigoldlug.example/core/clock"
)

// progressHalfLife is the time in seconds in which progress loses half of its weight. A holder that stops
// is therefore told from one that goes on after a few seconds, well within the time limits on requests.
const progressHalfLife = 1

// newcomerProgress is the progress with which a holder begins, so that one that has just come is not taken
// for one that has stopped.
const newcomerProgress = 4 << 10

// Limits are the limits of an account. What is counted, bytes or connections, is up to its owner.
type Limits struct {
	// Size is how much can be held in all.
	Size int64
	// Reserve is the part of Size that only small holders get, so that a few large ones leave room for
	// ordinary requests.
	Reserve int64
	// Small is how much a holder may have at most to count as small.
	Small int64
}

// Account is what the holders have together. It is not safe for concurrent use.
type Account struct {
	limits Limits
	// held is what all holders have together. It is above limits.Size only after that was lowered.
	held int64
	// discarded is the part of held that no holder has any more and that cannot be used again until it is collected.
	discarded int64
	holders   []*Holder
}

// Holder is one client's part of an account.
type Holder struct {
	// index is that of the holder in Account.holders, or -1 once it is closed.
	index int
	// loose is what the holder can be made to give back, and bound what it keeps until it is done. Neither is negative.
	loose, bound int64
	// revoked is set once the holder has been told to give back what is loose.
	revoked bool
	// progress is the weighted amount that has come from the client until at.
	progress float64
	at       clock.Instant
}

// Verdict is the decision on a request for more.
type Verdict int

// The verdicts. After Granted the holder has what it wanted. After Wait others are about to give back enough, and the holder
// may ask again once something was given back. After Short, which only small holders get, nobody can be made to give back enough, but
// the holder may wait for what is given back anyway. After Refused it must give up.
const (
	Granted Verdict = iota
	Wait
	Short
	Refused
)

// New returns an account of which nothing is held.
func New(lim Limits) *Account { return &Account{limits: lim} }

// SetLimits replaces the limits. What is held beyond new ones stays until it is given back.
func (acc *Account) SetLimits(lim Limits) { acc.limits = lim }

// Held returns what all holders have together.
func (acc *Account) Held() int64 { return acc.held }

// Size returns how much can be held in all.
func (acc *Account) Size() int64 { return acc.limits.Size }

// Open returns a new holder that has nothing.
func (acc *Account) Open(now clock.Instant) *Holder {
	hld := &Holder{index: len(acc.holders), progress: newcomerProgress, at: now}
	acc.holders = append(acc.holders, hld)
	return hld
}

// Close takes back all that a holder has. A closed holder gets nothing more.
func (acc *Account) Close(hld *Holder) {
	if hld.index < 0 {
		return
	}
	last := len(acc.holders) - 1
	acc.holders[hld.index] = acc.holders[last]
	acc.holders[hld.index].index = hld.index
	acc.holders[last] = nil
	acc.holders = acc.holders[:last]
	acc.held -= hld.loose + hld.bound
	hld.index, hld.loose, hld.bound = -1, 0, 0
}

// Take decides whether a holder gets the given amount, which is loose then. If it is short, a holder that has most for the
// least progress is returned, and counts as revoked: its owner has to make it give back what is loose. That
// is never the one that asks, which is refused instead.
func (acc *Account) Take(now clock.Instant, hld *Holder, amount int64) (Verdict, *Holder) {
	if hld.index < 0 || hld.revoked {
		return Refused, nil
	}
	limit := acc.limits.Size
	small := hld.loose+hld.bound+amount <= acc.limits.Small
	if !small {
		limit -= acc.limits.Reserve
	}
	if acc.held+amount <= limit {
		acc.held += amount
		hld.loose += amount
		return Granted, nil
	}
	if hld.loose+hld.bound+amount > limit {
		return Refused, nil // Nobody else could give back enough.
	}
	if acc.held+amount-acc.discarded <= limit {
		return Wait, nil
	}
	returning := acc.discarded
	worst, most := hld, cost(hld.loose+amount, hld.progressAt(now))
	for _, other := range acc.holders {
		if other.revoked {
			returning += other.loose
			continue
		}
		if other == hld || other.loose == 0 {
			continue
		}
		if one := cost(other.loose, other.progressAt(now)); one > most {
			worst, most = other, one
		}
	}
	switch {
	case acc.held+amount-returning <= limit:
		return Wait, nil
	case worst == hld && small:
		return Short, nil
	case worst == hld:
		return Refused, nil
	}
	worst.revoked = true
	return Wait, worst
}

// TakeBound decides whether a holder gets the given amount, which is bound then. It makes no other holder give back anything.
func (acc *Account) TakeBound(hld *Holder, amount int64) bool {
	if hld.index < 0 || hld.revoked || acc.held+amount > acc.limits.Size-acc.limits.Reserve {
		return false
	}
	acc.held += amount
	hld.bound += amount
	return true
}

// cost is what a holder has for each part of its progress.
func cost(held int64, progress float64) float64 { return float64(held) / (1 + progress) }

// Give takes back a part of what is loose.
func (acc *Account) Give(hld *Holder, amount int64) {
	amount = min(amount, hld.loose)
	hld.loose -= amount
	acc.held -= amount
}

// Discard takes a part of what is loose from a holder. It stays held until it is collected.
func (acc *Account) Discard(hld *Holder, amount int64) {
	amount = min(amount, hld.loose)
	hld.loose -= amount
	acc.discarded += amount
}

// Discarded returns how much nobody has and is not collected yet.
func (acc *Account) Discarded() int64 { return acc.discarded }

// Collect takes back a part of what was discarded.
func (acc *Account) Collect(amount int64) {
	amount = min(amount, acc.discarded)
	acc.discarded -= amount
	acc.held -= amount
}

// IsSmall reports whether a holder has no more than small ones may.
func (acc *Account) IsSmall(hld *Holder) bool { return hld.loose+hld.bound <= acc.limits.Small }

// Bind makes a part of what is loose bound.
func (acc *Account) Bind(hld *Holder, amount int64) {
	amount = min(amount, hld.loose)
	hld.loose -= amount
	hld.bound += amount
}

// Loosen makes a part of what is bound loose.
func (acc *Account) Loosen(hld *Holder, amount int64) {
	amount = min(amount, hld.bound)
	hld.bound -= amount
	hld.loose += amount
}

// GiveBound takes back a part of what is bound.
func (acc *Account) GiveBound(hld *Holder, amount int64) {
	amount = min(amount, hld.bound)
	hld.bound -= amount
	acc.held -= amount
}

// Advance records progress: an amount that has come from the client.
func (acc *Account) Advance(now clock.Instant, hld *Holder, amount int64) {
	hld.progress = hld.progressAt(now) + float64(amount)
	hld.at = now
}

// Revoked reports whether the holder has been told to give back what is loose.
func (hld *Holder) Revoked() bool { return hld.revoked }

// progressAt returns the progress with its weight at a time.
func (hld *Holder) progressAt(now clock.Instant) float64 {
	return hld.progress * math.Exp2(-max(now.Since(hld.at), 0).Seconds()/progressHalfLife)
}
