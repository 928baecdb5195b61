package rate

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
)

// demandWindow is the time constant of the demand estimate.
const demandWindow = time.Second

// account is what one VM knows and holds of one organisation.
type account struct {
	organisation string
	// allowance is that of the whole fleet in this round.
	allowance Allowance
	// round is the version of the head that last changed the view or the
	// allowance; allowance moves only between VMs in the same round.
	round uint64
	// homes lists the IDs of the homes in this round, the first one first.
	homes []string
	// bucket.share is the part that this VM holds; bucket.tokens never exceeds
	// bucket.share.Burst.
	bucket bucket
	// entered is the share held when the round was entered.
	entered Limit
	// minted is set once this VM has minted the round's remainder.
	minted bool
	// outbox holds at most one transfer per receiver until it is confirmed.
	outbox map[string]*parcel
	// received holds the highest number accepted from each sender.
	received map[string]uint64
	waiting  []waiter
	ask      askState
	demand   demand
	// demands holds what asking VMs reported, where this VM is a home.
	demands map[string]reportedDemand
	used    clock.Instant
}

type parcel struct {
	transfer Transfer
	sent     clock.Instant
}

type waiter struct {
	request uint64
	since   clock.Instant
}

// askState follows one ask through the homes of an organisation.
type askState struct {
	open bool
	to   string
	// tried counts the homes asked since the ask began.
	tried int
	since clock.Instant
	// quietUntil is when the VM may ask again after the homes had nothing.
	quietUntil clock.Instant
	// aheadAfter is when the VM may ask again for tokens ahead of demand.
	aheadAfter clock.Instant
	// failed is set when a home did not answer in time.
	failed bool
}

type reportedDemand struct {
	rate PerSecond
	at   clock.Instant
}

// demand estimates the requests per second by exponential decay.
type demand struct {
	level float64
	at    clock.Instant
}

func (dem *demand) decay(now clock.Instant) {
	elapsed := now.Mono - dem.at.Mono
	if elapsed <= 0 {
		return
	}
	dem.level *= math.Exp(-float64(elapsed) / float64(demandWindow))
	dem.at = now
}

func (dem *demand) count(now clock.Instant) {
	dem.decay(now)
	dem.level++
}

func (dem *demand) rate(now clock.Instant) PerSecond {
	dem.decay(now)
	return RequestsPerSecond(dem.level / demandWindow.Seconds())
}

// enter starts a round: what was sent and not confirmed is void, and a lowered
// allowance scales the share down before anything else happens.
func (acc *account) enter(now clock.Instant, round uint64, alw Allowance) {
	acc.bucket.refill(now)
	old := acc.allowance.Limit
	share := &acc.bucket.share
	share.Rate = PerSecond(scale(int64(share.Rate), int64(alw.Limit.Rate), int64(old.Rate)))
	share.Burst = Tokens(scale(int64(share.Burst), int64(alw.Limit.Burst), int64(old.Burst)))
	acc.bucket.tokens = min(acc.bucket.tokens, share.Burst)
	acc.allowance = alw
	acc.round = round
	acc.entered = *share
	acc.minted = false
	acc.outbox = nil
	acc.received = nil
	acc.demands = nil
	acc.ask.open = false
}

// clear drops everything that the VM holds.
func (acc *account) clear() {
	acc.bucket.share = Limit{}
	acc.bucket.tokens = 0
	acc.bucket.rem = 0
	acc.entered = Limit{}
	acc.outbox = nil
}

// subtract takes a grant out of the share. It must not exceed the share, and
// the rest of the tokens must fit the rest of the burst.
func (acc *account) subtract(gra Grant) {
	acc.bucket.share.Rate -= gra.Rate
	acc.bucket.share.Burst -= gra.Burst
	acc.bucket.tokens -= gra.Tokens
}

// add puts a grant into the share.
func (acc *account) add(now clock.Instant, gra Grant) {
	acc.bucket.refill(now)
	acc.bucket.share.Rate += gra.Rate
	acc.bucket.share.Burst += gra.Burst
	acc.bucket.tokens += min(gra.Tokens, acc.bucket.share.Burst-acc.bucket.tokens)
}

// fit limits a grant to what the share can give.
func (acc *account) fit(gra Grant) Grant {
	share := acc.bucket.share
	gra.Rate = max(min(gra.Rate, share.Rate), 0)
	gra.Burst = max(min(gra.Burst, share.Burst), 0)
	gra.Tokens = max(min(gra.Tokens, acc.bucket.tokens, gra.Burst), 0)
	// The tokens that stay need the room that stays.
	gra.Burst = min(gra.Burst, share.Burst-acc.bucket.tokens+gra.Tokens)
	gra.Tokens = min(gra.Tokens, gra.Burst)
	return gra
}

// empty reports whether the account holds nothing worth keeping.
func (acc *account) empty() bool {
	return acc.bucket.share == Limit{} && acc.entered == Limit{} && !acc.minted && len(acc.outbox) == 0 && len(acc.waiting) == 0
}

// totalDemand sums the recent demands reported by others and the VM's own.
func (acc *account) totalDemand(now clock.Instant) PerSecond {
	total := acc.demand.rate(now)
	for from, rep := range acc.demands {
		if now.Mono-rep.at.Mono > demandLife {
			delete(acc.demands, from)
			continue
		}
		total += rep.rate
	}
	return total
}
