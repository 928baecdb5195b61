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
	policy    Policy
	limits    func(organisation string) (rate.Limit, bool)
	startedAt clock.Instant
	accounts  map[string]*account
	// predecessor is what the predecessor stored. stated is what the store holds of
	// this server, and wanted what it is to hold.
	predecessor, stored, desired Busy
	// evaluatedAt is when wanted was last weighed, and changedAt when it last changed.
	evaluatedAt, changedAt clock.Instant
	// urgent is set once an organisation was granted less for not being busy.
	urgent bool
}

// account counts what one organisation was granted lately.
type account struct {
	limit rate.Limit
	// slots has what was granted in the last window, by time; sum is all of it.
	slots [keptSlots]rate.Tokens
	sum   rate.Tokens
	// slot is the number of the newest slot, counted from the server's start.
	slot int64
	// available is what may be granted at once: a burst, which what a window yields
	// fills evenly. Else an organisation could take all that a window yields
	// just before another VM begins to serve, which knows nothing of that.
	available  rate.Tokens
	remainder  uint64
	refilledAt clock.Instant
	// lastRetryAt is until when refused requests have been told to come back.
	lastRetryAt clock.Instant
}

// NewServer returns a server that begins to serve now one of so many equal parts.
// before is what its predecessor stated; the store holds of the new one that all
// organisations may be busy.
func NewServer(now clock.Instant, pol Policy, serverCount int, predecessor Busy, limits func(organisation string) (rate.Limit, bool)) *Server {
	perServer := func(organisation string) (rate.Limit, bool) {
		lim, found := limits(organisation)
		return rate.Limit{Rate: lim.Rate / rate.PerSecond(serverCount), Burst: lim.Burst / rate.Tokens(serverCount)}, found
	}
	all := Busy{All: true}
	return &Server{
		policy: pol.perServer(serverCount), limits: perServer, startedAt: now, accounts: make(map[string]*account),
		predecessor: predecessor, stored: all, desired: all, evaluatedAt: now, changedAt: now,
	}
}

// Answer decides on an qry.
func (srv *Server) Answer(now clock.Instant, qry Query) Grant {
	gra := Grant{Organisation: qry.Organisation, Number: qry.Number}
	lim, found := srv.limits(qry.Organisation)
	if !found {
		gra.RetryAfter = time.Second
		return gra
	}
	acc := srv.account(now, qry.Organisation, lim)
	srv.refill(now, acc)
	windowCap := srv.windowCap(qry.Organisation, lim)
	whole := max(int(min(windowCap-acc.sum, acc.available)/rate.Request), 0)
	gra.Count = min(whole, qry.Need+qry.Prefetch)
	acc.add(rate.Tokens(gra.Count) * rate.Request)
	acc.available -= rate.Tokens(gra.Count) * rate.Request
	if short := qry.Need - gra.Count; short > 0 {
		srv.urgent = srv.urgent || windowCap < srv.allowed(lim)
		gra.RetryAfter = acc.scheduleRetry(now, srv.policy.Window, windowCap, short)
	}
	return gra
}

// allowed returns what an organisation may be granted in one window.
func (srv *Server) allowed(lim rate.Limit) rate.Tokens {
	return max(srv.yield(lim, 1)+lim.Burst, rate.Request)
}

// yield returns a share of what the rate yields in one window.
func (srv *Server) yield(lim rate.Limit, share float64) rate.Tokens {
	return rate.Tokens(float64(lim.Rate) * srv.policy.Window.Seconds() * share)
}

func (srv *Server) account(now clock.Instant, organisation string, lim rate.Limit) *account {
	acc := srv.accounts[organisation]
	if acc == nil {
		acc = &account{limit: lim, refilledAt: srv.startedAt}
		srv.assumeGrants(acc, organisation)
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
	return int64(now.Since(srv.startedAt) / (srv.policy.Window / slotCount))
}

// refill adds to what may be granted at once.
func (srv *Server) refill(now clock.Instant, acc *account) {
	var gain rate.Tokens
	even := rate.PerSecond(srv.allowed(acc.limit).Float() / srv.policy.Window.Seconds() * float64(rate.Request))
	gain, acc.remainder = rate.Accrue(even, now.Since(acc.refilledAt), acc.remainder)
	acc.refilledAt = now
	acc.available = min(acc.available+gain, max(acc.limit.Burst, rate.Request))
}

// assumeGrants fills the window before the server's start as if its predecessor had
// granted all that it might, as late as it might: most of what it granted
// evenly, and the rest at last. What an organisation has left then it may have at
// once: callers come back together after the loss of many VMs.
func (srv *Server) assumeGrants(acc *account, organisation string) {
	left := srv.allowed(acc.limit)
	if !srv.predecessor.Has(organisation) {
		left = srv.windowShare(acc.limit, assumedShare)
	}
	if !srv.predecessor.All {
		left -= srv.policy.initialGrant(srv.allowed(acc.limit))
	}
	acc.available = min(acc.limit.Burst, srv.allowed(acc.limit)-left)
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

// scheduleRetry returns when the last of some refused requests may come back, so
// that returns are spread as the window frees what they need.
func (acc *account) scheduleRetry(now clock.Instant, window time.Duration, allowed rate.Tokens, requests int) time.Duration {
	if acc.lastRetryAt.Before(now) {
		acc.lastRetryAt = now
	}
	step := time.Duration(float64(requests) / allowed.Float() * float64(window))
	acc.lastRetryAt = acc.lastRetryAt.Add(step)
	if limit := now.Add(maxRetryAfter); limit.Before(acc.lastRetryAt) {
		acc.lastRetryAt = limit
	}
	return max(acc.lastRetryAt.Mono-now.Mono, time.Millisecond)
}
