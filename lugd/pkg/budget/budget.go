// Package budget lets the goroutines that serve clients share an account of what these make the VM
// hold.
package budget

import (
	"math"
	"runtime"
	"sync"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/memory"
)

// waitTime bounds the wait for what others are about to give back. It is short in comparison to what callers wait for a
// response; revoked holders give back as soon as their goroutine runs.
const waitTime = 500 * time.Millisecond

// maxWaiting is how many may wait at a time, half of them with large shares. All that wait ask again whenever something is
// given back, and each of them looks at all shares: without a bound, a crowd that waits would take the processor.
const maxWaiting = 64

// collectDivisor gives the part of a budget that may be discarded before it is collected. The collector runs by itself once the
// heap has grown by less than that.
const collectDivisor = 4

// Budget is a core/memory account that is safe for concurrent use.
type Budget struct {
	began time.Time

	mut     sync.Mutex
	account *memory.Account
	// shares are the open shares by their holder.
	shares map[*memory.Holder]*Share
	// returned is closed once something was given back; nil while nobody waits.
	returned chan struct{}
	// waiting counts those that wait.
	waiting int
	// collect frees the memory that was discarded; nil if what is given back can be used again at once.
	collect func()
	// collecting is set while collect runs.
	collecting bool
	// refused counts the amounts that were refused, and revoked the shares that were revoked.
	refused, revoked uint64
}

// New returns a budget of which nothing is held.
func New(lim memory.Limits) *Budget {
	return &Budget{began: time.Now(), account: memory.New(lim), shares: make(map[*memory.Holder]*Share)}
}

// NewMemory returns a budget of bytes. What large shares give back counts as held until the garbage collector has run, since
// callers that send large requests could otherwise have it replaced faster than the collector frees it.
func NewMemory(lim memory.Limits) *Budget {
	bud := New(lim)
	bud.collect = runtime.GC
	return bud
}

// Unlimited returns a budget that refuses nothing. Its size leaves room for sums that do not overflow.
func Unlimited() *Budget { return New(memory.Limits{Size: math.MaxInt64 / 4}) }

// SetLimits replaces the limits.
func (bud *Budget) SetLimits(lim memory.Limits) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.account.SetLimits(lim)
	bud.notify()
}

// Held returns what all shares have together.
func (bud *Budget) Held() int64 {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.account.Held()
}

// Refused returns how often a share was refused an amount, and how often one was revoked.
func (bud *Budget) Refused() (refused, revoked uint64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.refused, bud.revoked
}

func (bud *Budget) now() clock.Instant { return clock.At(time.Since(bud.began)) }

// notify wakes up those that wait. bud.mut must be held.
func (bud *Budget) notify() {
	if bud.returned != nil {
		close(bud.returned)
		bud.returned = nil
	}
}

// Share is what one client holds of a budget. It is safe for concurrent use.
type Share struct {
	budget *Budget
	// revoke makes the client's goroutine give back what is loose. It must not block.
	revoke func()
	holder *memory.Holder
}

// Open returns a new share that has nothing. Once it is revoked it gets nothing more, and revoke is called
// from another goroutine.
func (bud *Budget) Open(revoke func()) *Share {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	shr := &Share{budget: bud, revoke: revoke, holder: bud.account.Open(bud.now())}
	bud.shares[shr.holder] = shr
	return shr
}

// Close gives back all that the share has.
func (shr *Share) Close() {
	shr.change(func(acc *memory.Account) {
		if shr.budget.collect != nil && !acc.IsSmall(shr.holder) {
			acc.Loosen(shr.holder, math.MaxInt64)
			acc.Discard(shr.holder, math.MaxInt64)
		}
		acc.Close(shr.holder)
		delete(shr.budget.shares, shr.holder)
	})
}

// Take gets the given amount, which is loose then. If the budget is short, it makes others give
// back theirs and waits for that, for waitTime at most. It reports whether it got the amount.
func (shr *Share) Take(amount int64) bool { return shr.take(amount, false) }

// TakePatiently is like Take, but a small share also waits if nobody can be made to give back enough.
func (shr *Share) TakePatiently(amount int64) bool { return shr.take(amount, true) }

func (shr *Share) take(amount int64, patient bool) bool {
	granted, wait := shr.try(amount, patient)
	if granted || wait == nil {
		return granted
	}
	if !shr.beginWaiting() {
		return false
	}
	defer shr.budget.endWaiting()
	timer := time.NewTimer(waitTime)
	defer timer.Stop()
	for !granted && wait != nil {
		select {
		case <-wait:
			granted, wait = shr.try(amount, patient)
		case <-timer.C:
			shr.budget.countRefusal()
			return false
		}
	}
	return granted
}

// beginWaiting counts the share as one that waits, unless too many do.
func (shr *Share) beginWaiting() bool {
	bud := shr.budget
	bud.mut.Lock()
	defer bud.mut.Unlock()
	most := maxWaiting
	if !bud.account.IsSmall(shr.holder) {
		most /= 2
	}
	if bud.waiting >= most {
		bud.refused++
		return false
	}
	bud.waiting++
	return true
}

func (bud *Budget) endWaiting() {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.waiting--
}

// try takes the given amount if the budget has it, else revokes the share that must give it back. If it returns a channel,
// the caller may try again after the channel is closed.
func (shr *Share) try(amount int64, patient bool) (granted bool, wait <-chan struct{}) {
	bud := shr.budget
	bud.mut.Lock()
	vrd, worst := bud.account.Take(bud.now(), shr.holder, amount)
	victim := bud.shares[worst]
	switch {
	case vrd == memory.Granted:
	case vrd == memory.Refused, vrd == memory.Short && !patient:
		bud.refused++
		bud.startCollecting()
	default:
		if bud.returned == nil {
			bud.returned = make(chan struct{})
		}
		wait = bud.returned
		bud.startCollecting()
	}
	if victim != nil {
		bud.revoked++
	}
	bud.mut.Unlock()
	if victim != nil {
		victim.revoke() // It may call the budget.
	}
	return vrd == memory.Granted, wait
}

func (bud *Budget) countRefusal() {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.refused++
}

// TakeBound gets the given amount, which is bound then, if there is room for it without making others
// give back theirs.
func (shr *Share) TakeBound(amount int64) bool {
	bud := shr.budget
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.account.TakeBound(shr.holder, amount)
}

// Bind makes a part of what is loose bound. It reports false, and changes nothing, if the share has been revoked.
func (shr *Share) Bind(amount int64) bool {
	bud := shr.budget
	bud.mut.Lock()
	defer bud.mut.Unlock()
	if shr.holder.Revoked() {
		return false
	}
	bud.account.Bind(shr.holder, amount)
	return true
}

// Loosen makes a part of what is bound loose.
func (shr *Share) Loosen(amount int64) {
	shr.change(func(acc *memory.Account) { acc.Loosen(shr.holder, amount) })
}

// Give gives back a part of what is loose.
func (shr *Share) Give(amount int64) {
	shr.change(func(acc *memory.Account) {
		if shr.budget.collect != nil && !acc.IsSmall(shr.holder) {
			acc.Discard(shr.holder, amount)
			return
		}
		acc.Give(shr.holder, amount)
	})
}

// GiveBound gives back a part of what is bound.
func (shr *Share) GiveBound(amount int64) {
	shr.change(func(acc *memory.Account) {
		if shr.budget.collect != nil && !acc.IsSmall(shr.holder) {
			acc.Loosen(shr.holder, amount)
			acc.Discard(shr.holder, amount)
			return
		}
		acc.GiveBound(shr.holder, amount)
	})
}

// Advance records progress of the client: an amount that has come from it.
func (shr *Share) Advance(amount int64) {
	bud := shr.budget
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.account.Advance(bud.now(), shr.holder, amount)
}

// Revoked reports whether the share gets nothing more.
func (shr *Share) Revoked() bool {
	shr.budget.mut.Lock()
	defer shr.budget.mut.Unlock()
	return shr.holder.Revoked()
}

// change applies a change after which there may be room for others.
func (shr *Share) change(apply func(acc *memory.Account)) {
	bud := shr.budget
	bud.mut.Lock()
	defer bud.mut.Unlock()
	apply(bud.account)
	bud.collectIfDue()
	bud.notify()
}

// collectIfDue frees what was discarded once that is much. bud.mut must be held.
func (bud *Budget) collectIfDue() {
	if bud.account.Discarded() > bud.account.Size()/collectDivisor {
		bud.startCollecting()
	}
}

// startCollecting frees what was discarded in the background, unless that goes on already. bud.mut must be held.
func (bud *Budget) startCollecting() {
	amount := bud.account.Discarded()
	if bud.collect == nil || bud.collecting || amount == 0 {
		return
	}
	bud.collecting = true
	go func() {
		bud.collect()
		bud.mut.Lock()
		defer bud.mut.Unlock()
		bud.collecting = false
		bud.account.Collect(amount)
		bud.collectIfDue()
		bud.notify()
	}()
}
