package request

import (
	"time"

	"marigoldlug.example/core/clock"
)

// windowBuckets is the number of buckets into which the sliding window is divided.
const windowBuckets = 20

// RetryBudget limits the retries for a service in a sliding window by the number of requests in it. It
// is not safe for concurrent use.
type RetryBudget struct {
	// window is the length of the sliding window.
	window time.Duration
	// share is how many retries are allowed for each request in the window, usually a fraction, and
	// extra how many beside that.
	share float64
	extra float64
	// requests and retries hold the counts of each bucket of the window.
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// bucket is the number of the current bucket, counted from the origin of the clock.
	bucket int64
}

// NewRetryBudget returns a budget in which no request has been counted. It allows a share of the
// requests as retries, and extra retries beside that. At first the extra retries count as used, since
// another VM may have kept the budget until now and have spent them.
func NewRetryBudget(now clock.Instant, window time.Duration, share, extra float64) *RetryBudget {
	bud := &RetryBudget{window: window, share: share, extra: extra}
	bud.advance(now)
	bud.retries[bud.bucket%windowBuckets] = int(extra)
	return bud
}

// advance moves the window on to now and clears the buckets that are used again.
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

// CountRequest counts a request.
func (bud *RetryBudget) CountRequest(now clock.Instant) {
	bud.advance(now)
	bud.requests[bud.bucket%windowBuckets]++
}

// TryRetry reports whether another retry is allowed, and counts it if so. It is refused if the retries
// in the window would exceed the given fraction of the budget.
func (bud *RetryBudget) TryRetry(now clock.Instant, fraction float64) bool {
	bud.advance(now)
	if float64(sum(bud.retries)+1) > fraction*(bud.share*float64(sum(bud.requests))+bud.extra) {
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
