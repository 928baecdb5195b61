package rate

import (
	"time"

	"marigoldlug.example/core/clock"
)

// Static divides every limit evenly among a fixed count of VMs. It is the
// baseline against which Ledger is measured.
type Static struct {
	fleet      int64
	allowances func(organisation string) (Allowance, bool)
	buckets    map[string]*bucket
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
	more, rem := Accrue(buc.share.Rate, elapsed, buc.rem)
	buc.filled = now
	buc.rem = rem
	buc.tokens += min(more, buc.share.Burst-buc.tokens)
	if buc.tokens == buc.share.Burst {
		buc.rem = 0
	}
}

// NewStatic returns the part of one of fleet VMs.
func NewStatic(fleet int, allowances func(organisation string) (Allowance, bool)) *Static {
	return &Static{fleet: int64(max(fleet, 1)), allowances: allowances, buckets: make(map[string]*bucket)}
}

// Admit decides on a request at once.
func (sta *Static) Admit(now clock.Instant, organisation string, request uint64) (dec Decided, decided bool) {
	alw, found := sta.allowances(organisation)
	if !found {
		return Decided{Request: request, RetryAfter: time.Second}, true
	}
	share := Limit{
		Rate:  PerSecond(scale(int64(alw.Limit.Rate), 1, sta.fleet)),
		Burst: Tokens(scale(int64(alw.Limit.Burst), 1, sta.fleet)),
	}
	buc := sta.buckets[organisation]
	if buc == nil {
		buc = &bucket{tokens: share.Burst, filled: now}
		sta.buckets[organisation] = buc
	}
	buc.share = share
	buc.refill(now)
	if buc.tokens < Request {
		return Decided{Request: request, RetryAfter: Wait(share.Rate, Request-buc.tokens)}, true
	}
	buc.tokens -= Request
	return Decided{Request: request, Admitted: true}, true
}

const maxWait = time.Minute

// Wait returns how long a rate takes to yield some tokens, up to a bound.
func Wait(per PerSecond, need Tokens) time.Duration {
	if per <= 0 {
		return maxWait
	}
	sec := float64(need) / float64(per)
	if sec >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(sec * float64(time.Second))
}
