package request

import (
	"time"

	"marigoldlug.example/core/clock"
)

// windowBuckets is the number of slots in which a window is counted.
const windowBuckets = 20

// RetryBudget bounds the retries for a service in a sliding window by the number of
// its requests in it. It is not safe for concurrent use.
type RetryBudget struct {
	window   time.Duration
	share    float64
	extra    float64
	requests [windowBuckets]int
	retries  [windowBuckets]int
	bucket   int64
}

// NewRetryBudget returns a window in which no request has been counted. Retries may
// make up a share of the requests, and extra beside it. The extra is taken to
// be spent at first, since another VM may have counted until now.
func NewRetryBudget(now clock.Instant, window time.Duration, share, extra float64) *RetryBudget {
	bud := &RetryBudget{window: window, share: share, extra: extra}
	bud.advance(now)
	bud.retries[bud.bucket%windowBuckets] = int(extra)
	return bud
}

func (bud *RetryBudget) advance(now clock.Instant) {
	bucket := int64(now.Mono / (bud.window / windowBuckets))
	if bucket-bud.bucket >= windowBuckets {
		bud.requests, bud.retries = [windowBuckets]int{}, [windowBuckets]int{}
		bud.bucket = bucket
	}
	for bud.bucket < bucket {
		bud.bucket++
		bud.requests[bud.bucket%windowBuckets] = 0
		bud.retries[bud.bucket%windowBuckets] = 0
	}
}

// Deposit counts a request.
func (bud *RetryBudget) Deposit(now clock.Instant) {
	bud.advance(now)
	bud.requests[bud.bucket%windowBuckets]++
}

// Withdraw takes one retry and reports whether that was allowed, up to a part of
// all that are.
func (bud *RetryBudget) Withdraw(now clock.Instant, part float64) bool {
	bud.advance(now)
	if float64(sum(bud.retries)+1) > part*(bud.share*float64(sum(bud.requests))+bud.extra) {
		return false
	}
	bud.retries[bud.bucket%windowBuckets]++
	return true
}

func sum(counts [windowBuckets]int) int {
	out := 0
	for _, cnt := range counts {
		out += cnt
	}
	return out
}
