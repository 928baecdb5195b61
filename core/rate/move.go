package rate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldlug.example/core/clock"
)

// The shares that guide how allowance moves.
const (
	// headroom is the part by which a share exceeds the demand it is sized for.
	headroom = 0.25
	// surplus is the part by which a share may exceed its demand before the
	// rest is returned.
	surplus = 0.75
	// lendable is the part of a home's tokens that one grant may take beyond
	// what the asking VM needs at once.
	lendable = 0.25
	// horizon is the time for which a busy VM holds tokens.
	horizon = time.Second
	// lowShare is the part of its burst below which a busy VM asks ahead.
	lowShare = 0.25
	// fullShare is the part of its burst above which a busy VM returns tokens,
	// down to keptShare.
	fullShare = 0.75
	keptShare = 0.5
	// idleTime is how long a VM with little demand keeps unused tokens.
	idleTime = 500 * time.Millisecond
)

// transfer subtracts a grant and sends it. It does nothing while an earlier
// transfer to the same VM is not confirmed.
func (led *Ledger) transfer(now clock.Instant, acc *account, to string, gra Grant, trf Transfer) bool {
	if acc.outbox[to] != nil {
		return false
	}
	gra = acc.fit(gra)
	if gra.Empty() {
		return false
	}
	acc.subtract(gra)
	led.number++
	trf.Organisation = acc.organisation
	trf.Round = acc.round
	trf.Number = led.number
	trf.Grant = gra
	if acc.outbox == nil {
		acc.outbox = make(map[string]*parcel)
	}
	acc.outbox[to] = &parcel{transfer: trf, sent: now}
	led.send(to, trf)
	return true
}

// transferred adds a grant once for each number, in the round it was sent in.
func (led *Ledger) transferred(now clock.Instant, from string, trf Transfer) {
	acc := led.account(now, trf.Organisation)
	if acc == nil || trf.Round != acc.round {
		return
	}
	led.send(from, Ack{Organisation: trf.Organisation, Number: trf.Number})
	if last, found := acc.received[from]; trf.Number <= last || !found && trf.Number <= led.forgotten[from] {
		return
	}
	if acc.received == nil {
		acc.received = make(map[string]uint64)
	}
	acc.received[from] = trf.Number
	acc.add(now, trf.Grant)
	led.serve(now, acc)
	if trf.Answer && acc.ask.open && acc.ask.to == from {
		led.answered(now, acc, trf.RetryAfter)
	}
}

func (led *Ledger) confirmed(from string, ack Ack) {
	acc := led.accounts[ack.Organisation]
	if acc == nil {
		return
	}
	if par := acc.outbox[from]; par != nil && par.transfer.Number == ack.Number {
		delete(acc.outbox, from)
	}
}

// serve admits waiting requests while there are tokens.
func (led *Ledger) serve(now clock.Instant, acc *account) {
	acc.bucket.refill(now)
	for len(acc.waiting) > 0 && acc.bucket.tokens >= Request {
		acc.bucket.tokens -= Request
		led.outputs = append(led.outputs, Decided{Request: acc.waiting[0].request, Admitted: true})
		acc.waiting = acc.waiting[1:]
	}
}

func (led *Ledger) refuseAll(acc *account, retryAfter time.Duration) {
	for _, wai := range acc.waiting {
		led.outputs = append(led.outputs, Decided{Request: wai.request, RetryAfter: retryAfter})
	}
	acc.waiting = nil
}

// askOrder returns the homes to ask, other than this VM. VMs start at
// different homes, so that each home serves its part of the fleet.
func (led *Ledger) askOrder(acc *account) []string {
	if len(acc.homes) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(led.self) % uint64(len(acc.homes)))
	homes := slices.Concat(acc.homes[first:], acc.homes[:first])
	return slices.DeleteFunc(homes, func(id string) bool { return id == led.self })
}

// startAsk asks the first home and reports whether there is one to ask.
func (led *Ledger) startAsk(now clock.Instant, acc *account) bool {
	acc.ask.tried = 0
	acc.ask.failed = false
	return led.sendAsk(now, acc)
}

func (led *Ledger) sendAsk(now clock.Instant, acc *account) bool {
	order := led.askOrder(acc)
	if acc.ask.tried >= len(order) {
		acc.ask.open = false
		return false
	}
	acc.ask.open = true
	acc.ask.to = order[acc.ask.tried]
	acc.ask.tried++
	acc.ask.since = now
	led.send(acc.ask.to, Ask{
		Organisation: acc.organisation,
		Round:        acc.round,
		Need:         max(Tokens(len(acc.waiting))*Request-acc.bucket.tokens, 0),
		Demand:       acc.demand.rate(now),
		Held:         acc.bucket.share,
	})
	return true
}

// answered ends an ask that was met, or goes on to the next home.
func (led *Ledger) answered(now clock.Instant, acc *account, retryAfter time.Duration) {
	if len(acc.waiting) == 0 || retryAfter == 0 {
		acc.ask.open = false
		if len(acc.waiting) > 0 {
			led.startAsk(now, acc)
		}
		return
	}
	led.nextAsk(now, acc, retryAfter)
}

func (led *Ledger) denied(now clock.Instant, from string, den Deny) {
	acc := led.accounts[den.Organisation]
	if acc == nil || !acc.ask.open || acc.ask.to != from || den.Round != acc.round {
		return
	}
	if den.Behind {
		// The requests wait until both VMs hold the same head.
		acc.ask.open = false
		acc.ask.quietUntil = now.Add(minQuiet)
		return
	}
	led.nextAsk(now, acc, den.RetryAfter)
}

// nextAsk asks the next home, or refuses what waits when there is none.
func (led *Ledger) nextAsk(now clock.Instant, acc *account, retryAfter time.Duration) {
	led.serve(now, acc)
	if len(acc.waiting) == 0 {
		acc.ask.open = false
		return
	}
	if led.sendAsk(now, acc) {
		return
	}
	if acc.ask.failed {
		retryAfter = max(retryAfter, maxQuiet)
	}
	acc.ask.quietUntil = now.Add(min(max(retryAfter, minQuiet), maxQuiet))
	led.refuseAll(acc, max(retryAfter, minQuiet))
}

// asked grants what an asking VM needs, and more where its demand justifies a
// share of its own.
func (led *Ledger) asked(now clock.Instant, from string, ask Ask) {
	acc := led.account(now, ask.Organisation)
	behind := acc == nil || ask.Round != acc.round || led.awaitsMint(acc)
	if behind || led.stopping {
		led.send(from, Deny{Organisation: ask.Organisation, Round: ask.Round, RetryAfter: minQuiet, Behind: behind})
		return
	}
	led.mint(now, acc)
	acc.bucket.refill(now)
	if acc.demands == nil {
		acc.demands = make(map[string]reportedDemand)
	}
	acc.demands[from] = reportedDemand{rate: ask.Demand, at: now}
	gra := acc.fit(acc.grantFor(now, ask))
	var retryAfter time.Duration
	if gra.Tokens < min(ask.Need, Request) {
		retryAfter = min(Wait(acc.bucket.share.Rate, Request-acc.bucket.tokens), time.Second)
	}
	if !led.transfer(now, acc, from, gra, Transfer{Answer: true, RetryAfter: retryAfter}) {
		led.send(from, Deny{Organisation: ask.Organisation, Round: ask.Round, RetryAfter: max(retryAfter, time.Millisecond)})
	}
}

// grantFor sizes a grant. A VM with little demand gets what it needs at once; a
// busy one gets a rate in proportion to its demand, and tokens ahead.
func (acc *account) grantFor(now clock.Instant, ask Ask) Grant {
	need := Grant{Burst: ask.Need, Tokens: min(ask.Need, acc.bucket.tokens/Request*Request)}
	need.Burst = need.Tokens
	if ask.Demand < hotDemand {
		return need
	}
	ideal := acc.idealShare(now, ask.Demand)
	ahead := min(ideal.Burst-ask.Held.Burst, Tokens(lendable*float64(acc.bucket.share.Burst)))
	tokens := min(max(ahead, 0), Tokens(lendable*float64(acc.bucket.tokens)))
	return Grant{
		Rate:   max(ideal.Rate-ask.Held.Rate, 0),
		Burst:  need.Burst + max(ahead, 0),
		Tokens: need.Tokens + tokens,
	}
}

// idealShare returns the share for a demand: with headroom where the limit
// allows, and in proportion where it does not.
func (acc *account) idealShare(now clock.Instant, dem PerSecond) Limit {
	lim := acc.allowance.Limit
	want := float64(dem) * (1 + headroom)
	if total := float64(acc.totalDemand(now)) * (1 + headroom); total > float64(lim.Rate) {
		want *= float64(lim.Rate) / total
	}
	rat := min(want, float64(lim.Rate))
	burst := min(float64(lim.Burst)*rat/float64(max(lim.Rate, 1)), want*horizon.Seconds())
	return Limit{Rate: PerSecond(rat), Burst: Tokens(burst)}
}

// replenish asks ahead where a busy VM runs low, so that its requests need not
// wait.
func (led *Ledger) replenish(now clock.Instant, acc *account) {
	if acc.ask.open || now.Before(acc.ask.aheadAfter) || acc.demand.rate(now) < hotDemand {
		return
	}
	if float64(acc.bucket.tokens) >= lowShare*float64(acc.idealShare(now, acc.demand.rate(now)).Burst) {
		return
	}
	if !led.startAsk(now, acc) {
		return
	}
	acc.ask.aheadAfter = now.Add(returnInterval)
}

// review returns what the demand does not justify to a home.
func (led *Ledger) review(now clock.Instant, acc *account) {
	acc.bucket.refill(now)
	share := acc.bucket.share
	if share == (Limit{}) {
		return
	}
	homes := acc.homes
	if len(homes) == 0 {
		return
	}
	isHome := slices.Contains(homes, led.self)
	to := led.askOrder(acc)
	switch {
	case led.stopping && len(to) > 0:
		led.transfer(now, acc, to[0], Grant{Rate: share.Rate, Burst: share.Burst, Tokens: acc.bucket.tokens}, Transfer{})
	case led.stopping:
		led.handToAny(now, acc)
	case !isHome:
		led.transfer(now, acc, to[0], acc.surplusGrant(now), Transfer{})
	}
}

// handToAny gives everything to another member, for an organisation whose only
// home is stopping.
func (led *Ledger) handToAny(now clock.Instant, acc *account) {
	for _, vmm := range led.fleet.View.Ranked("rate/"+acc.organisation, 2) {
		if vmm.ID != led.self {
			share := acc.bucket.share
			led.transfer(now, acc, vmm.ID, Grant{Rate: share.Rate, Burst: share.Burst, Tokens: acc.bucket.tokens}, Transfer{})
			return
		}
	}
}

// surplusGrant returns what a VM that is not a home does not need.
func (acc *account) surplusGrant(now clock.Instant) Grant {
	share := acc.bucket.share
	dem := acc.demand.rate(now)
	if dem < hotDemand {
		// Spent capacity goes back at once, unused tokens after a while.
		gra := Grant{Rate: share.Rate, Burst: share.Burst - acc.bucket.tokens}
		if now.Since(acc.used) >= idleTime {
			gra.Burst = share.Burst
			gra.Tokens = acc.bucket.tokens
		}
		return gra
	}
	var gra Grant
	if over := float64(share.Rate) - (1+surplus)*float64(dem); over > 0 {
		gra.Rate = PerSecond(over)
	}
	ideal := acc.idealShare(now, dem)
	if over := share.Burst - ideal.Burst - ideal.Burst/2; over > 0 {
		gra.Burst = over
		gra.Tokens = max(acc.bucket.tokens-(share.Burst-over), 0)
	}
	// Tokens that are about to overflow are worth more at a home.
	if float64(acc.bucket.tokens-gra.Tokens) > fullShare*float64(share.Burst-gra.Burst) {
		spare := acc.bucket.tokens - gra.Tokens - Tokens(keptShare*float64(share.Burst-gra.Burst))
		gra.Tokens += spare
		gra.Burst = max(gra.Burst, gra.Tokens)
	}
	return gra
}
