package quota

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// slotCount is the number of slots in which a window is counted. One more is
	// kept, so that what is granted at the end of a slot counts for a whole window.
	slotCount = 20
	keptSlots = slotCount + 1
	// startShare is the part of the rate that a server grants in its first
	// window, in which it does not know what its predecessor has granted.
	startShare = 0.8
	// maxRetryAfter bounds the time after which a refused caller is told to
	// come back.
	maxRetryAfter = 5 * time.Second
)

// Server grants a part of the tokens of organisations: in any window no more
// than the rate yields in it and the burst. Only one VM at a time may serve a
// part, which a lease on the platform ensures. It is not safe for concurrent use.
type Server struct {
	terms    Policy
	limits   func(organisation string) (rate.Limit, bool)
	began    clock.Instant
	accounts map[string]*account
	// before is what the predecessor stated. stated is what the store holds of
	// this server, and wanted what it is to hold.
	before, stated, wanted Busy
	// weighed is when wanted was last weighed, and rested when it last changed.
	weighed, rested clock.Instant
	// pressed is set once an organisation was granted less for not being busy.
	pressed bool
}

// account counts what one organisation was granted lately.
type account struct {
	limit rate.Limit
	// slots has what was granted in the last window, by time; sum is all of it.
	slots [keptSlots]rate.Tokens
	sum   rate.Tokens
	// slot is the number of the newest slot, counted from the server's start.
	slot int64
	// ready is what may be granted at once: a burst, which what a window yields
	// fills evenly. Else an organisation could take all that a window yields
	// just before another VM begins to serve, which knows nothing of that.
	ready  rate.Tokens
	rest   uint64
	filled clock.Instant
	// promised is until when refused requests have been told to come back.
	promised clock.Instant
}

// NewServer returns a server that begins to serve now one of so many equal parts.
// before is what its predecessor stated; the store holds of the new one that all
// organisations may be busy.
func NewServer(now clock.Instant, trm Policy, parts int, before Busy, limits func(organisation string) (rate.Limit, bool)) *Server {
	part := func(organisation string) (rate.Limit, bool) {
		lim, found := limits(organisation)
		return rate.Limit{Rate: lim.Rate / rate.PerSecond(parts), Burst: lim.Burst / rate.Tokens(parts)}, found
	}
	all := Busy{All: true}
	return &Server{
		terms: trm.part(parts), limits: part, began: now, accounts: make(map[string]*account),
		before: before, stated: all, wanted: all, weighed: now, rested: now,
	}
}

// Answer decides on an ask.
func (srv *Server) Answer(now clock.Instant, ask Query) Grant {
	gra := Grant{Organisation: ask.Organisation, Number: ask.Number}
	lim, found := srv.limits(ask.Organisation)
	if !found {
		gra.RetryAfter = time.Second
		return gra
	}
	acc := srv.account(now, ask.Organisation, lim)
	srv.fill(now, acc)
	most := srv.most(ask.Organisation, lim)
	whole := max(int(min(most-acc.sum, acc.ready)/rate.Request), 0)
	gra.Count = min(whole, ask.Need+ask.Prefetch)
	acc.add(rate.Tokens(gra.Count) * rate.Request)
	acc.ready -= rate.Tokens(gra.Count) * rate.Request
	if short := ask.Need - gra.Count; short > 0 {
		srv.pressed = srv.pressed || most < srv.allowed(lim)
		gra.RetryAfter = acc.promise(now, srv.terms.Window, most, short)
	}
	return gra
}

// allowed returns what an organisation may be granted in one window.
func (srv *Server) allowed(lim rate.Limit) rate.Tokens {
	return max(srv.yield(lim, 1)+lim.Burst, rate.Request)
}

// yield returns a share of what the rate yields in one window.
func (srv *Server) yield(lim rate.Limit, share float64) rate.Tokens {
	return rate.Tokens(float64(lim.Rate) * srv.terms.Window.Seconds() * share)
}

func (srv *Server) account(now clock.Instant, organisation string, lim rate.Limit) *account {
	acc := srv.accounts[organisation]
	if acc == nil {
		acc = &account{limit: lim, filled: srv.began}
		srv.assume(acc, organisation)
		srv.accounts[organisation] = acc
	}
	if acc.limit != lim {
		acc.scale(float64(srv.allowed(lim)) / float64(srv.allowed(acc.limit)))
		acc.limit = lim
	}
	acc.advance(srv.slotAt(now))
	return acc
}

// slotAt returns the number of the slot of a time.
func (srv *Server) slotAt(now clock.Instant) int64 {
	return int64(now.Since(srv.began) / (srv.terms.Window / slotCount))
}

// fill adds to what may be granted at once.
func (srv *Server) fill(now clock.Instant, acc *account) {
	var gain rate.Tokens
	even := rate.PerSecond(srv.allowed(acc.limit).Float() / srv.terms.Window.Seconds() * float64(rate.Request))
	gain, acc.rest = rate.Accrue(even, now.Since(acc.filled), acc.rest)
	acc.filled = now
	acc.ready = min(acc.ready+gain, max(acc.limit.Burst, rate.Request))
}

// assume fills the window before the server's start as if its predecessor had
// granted all that it might, as late as it might: most of what it granted
// evenly, and the rest at last. What an organisation has left then it may have at
// once: callers come back together after the loss of many VMs.
func (srv *Server) assume(acc *account, organisation string) {
	left := srv.allowed(acc.limit)
	if !srv.before.Has(organisation) {
		left = srv.part(acc.limit, assumedShare)
	}
	if !srv.before.All {
		left -= srv.terms.opening(srv.allowed(acc.limit))
	}
	acc.ready = min(acc.limit.Burst, srv.allowed(acc.limit)-left)
	each := srv.yield(acc.limit, startShare) / slotCount
	last := srv.allowed(acc.limit) - each*(slotCount-1)
	for num := range slotCount {
		slot := (keptSlots - num) % keptSlots // The newest slot is the first.
		acc.slots[slot] = min(left, last)
		left -= acc.slots[slot]
		acc.sum += acc.slots[slot]
		last = each
	}
}

func (acc *account) add(tok rate.Tokens) {
	acc.slots[acc.slot%keptSlots] += tok
	acc.sum += tok
}

// advance empties the slots that have left the window.
func (acc *account) advance(slot int64) {
	if slot-acc.slot >= keptSlots {
		acc.slots, acc.sum, acc.slot = [keptSlots]rate.Tokens{}, 0, slot
		return
	}
	for acc.slot < slot {
		acc.slot++
		at := acc.slot % keptSlots
		acc.sum -= acc.slots[at]
		acc.slots[at] = 0
	}
}

// scale keeps the part of the limit that is used where the limit changes.
func (acc *account) scale(factor float64) {
	acc.sum = 0
	for num := range acc.slots {
		acc.slots[num] = rate.Tokens(float64(acc.slots[num]) * factor)
		acc.sum += acc.slots[num]
	}
}

// promise returns when the last of some refused requests may come back, so
// that returns are spread as the window frees what they need.
func (acc *account) promise(now clock.Instant, window time.Duration, allowed rate.Tokens, requests int) time.Duration {
	if acc.promised.Before(now) {
		acc.promised = now
	}
	step := time.Duration(float64(requests) / allowed.Float() * float64(window))
	acc.promised = acc.promised.Add(step)
	if limit := now.Add(maxRetryAfter); limit.Before(acc.promised) {
		acc.promised = limit
	}
	return max(acc.promised.Mono-now.Mono, time.Millisecond)
}
