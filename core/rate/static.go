package rate

import (
	"time"

	"marigoldlug.example/core/clock"
)

// Static divides every limit evenly among a fixed count of VMs. It is the
// baseline against which Ledger is measured.
type Static struct {
	fleet   int64
	limits  func(organisation string) (Limit, bool)
	buckets map[string]*bucket
}

type bucket struct {
	share  Limit
	tokens Tokens
	rem    uint64
	filled clock.Instant
}

// refill credits what has accrued since the last call. It uses the monotonic
// clock alone, so that a wall clock that jumps ahead yields nothing.
func (buc *bucket) refill(now clock.Instant) {
	elapsed := now.Mono - buc.filled.Mono
	if elapsed <= 0 {
		return
	}
	more, rem := accrue(buc.share.Rate, elapsed, buc.rem)
	buc.filled = now
	buc.rem = rem
	buc.tokens += min(more, buc.share.Burst-buc.tokens)
	if buc.tokens == buc.share.Burst {
		buc.rem = 0
	}
}

// NewStatic returns the part of one of fleet VMs.
func NewStatic(fleet int, limits func(organisation string) (Limit, bool)) *Static {
	return &Static{fleet: int64(max(fleet, 1)), limits: limits, buckets: make(map[string]*bucket)}
}

// Admit takes the cost of one request from the share of an organisation, or
// returns when to try again.
func (sta *Static) Admit(now clock.Instant, organisation string) (time.Duration, bool) {
	lim, found := sta.limits(organisation)
	if !found {
		return time.Second, false
	}
	share := Limit{Rate: PerSecond(scale(int64(lim.Rate), 1, sta.fleet)), Burst: Tokens(scale(int64(lim.Burst), 1, sta.fleet))}
	buc := sta.buckets[organisation]
	if buc == nil {
		buc = &bucket{tokens: share.Burst, filled: now}
		sta.buckets[organisation] = buc
	}
	buc.share = share
	buc.refill(now)
	if buc.tokens < Request {
		return wait(share.Rate, Request-buc.tokens), false
	}
	buc.tokens -= Request
	return 0, true
}

const maxWait = time.Minute

// wait returns the time in which per yields need, at most maxWait.
func wait(per PerSecond, need Tokens) time.Duration {
	if per <= 0 {
		return maxWait
	}
	sec := float64(need) / float64(per)
	if sec >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(sec * float64(time.Second))
}
