// Package retrybudget limits how many attempts beyond the first one the requests for a service may have, and
// decides which of them may use what is left of that.
package retrybudget

import (
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// windowBuckets is the number of buckets into which the sliding window is divided.
	windowBuckets = 40
	// guardBuckets is for how many buckets longer attempts are counted than requests. The count of requests
	// then never covers more than the window and that of attempts never less, also where an attempt
	// reaches its target some tenths of a second after it was allowed.
	guardBuckets = 2
	ringBuckets  = windowBuckets + guardBuckets
)

// window counts requests and attempts beyond the first in a sliding window.
type window struct {
	length   time.Duration
	requests [ringBuckets]int
	retries  [ringBuckets]int
	// bucket is the number of the current bucket, counted from the origin of the clock.
	bucket int64
}

func (win *window) bucketLength() time.Duration { return win.length / windowBuckets }

// counted returns the longest time for which an attempt is counted.
func (win *window) counted() time.Duration { return ringBuckets * win.bucketLength() }

// advance moves the window on to now and clears the buckets that are used again.
func (win *window) advance(now clock.Instant) {
	bucket := int64(now.Mono / win.bucketLength())
	if bucket-win.bucket >= ringBuckets {
		win.requests, win.retries = [ringBuckets]int{}, [ringBuckets]int{}
		win.bucket = bucket
	}
	for win.bucket < bucket {
		win.bucket++
		win.requests[win.bucket%ringBuckets] = 0
		win.retries[win.bucket%ringBuckets] = 0
	}
}

// counts returns the numbers of requests and of retries in the window.
func (win *window) counts() (requests, retries int) {
	for back := range int64(ringBuckets) {
		at := (win.bucket - back + ringBuckets) % ringBuckets
		retries += win.retries[at]
		if back < windowBuckets {
			requests += win.requests[at]
		}
	}
	return requests, retries
}

// timeToFree returns the time until cnt of the retries have left the window.
func (win *window) timeToFree(now clock.Instant, cnt int) time.Duration {
	for back := int64(ringBuckets - 1); back >= 0; back-- {
		bucket := win.bucket - back
		cnt -= win.retries[(bucket+ringBuckets)%ringBuckets]
		if cnt <= 0 {
			return time.Duration(bucket+ringBuckets)*win.bucketLength() - now.Mono
		}
	}
	return win.length
}

// Budget limits the attempts beyond the first one in a sliding window by the number of requests in it. It is not safe
// for concurrent use.
type Budget struct {
	win window
	// share is how many such attempts are allowed for each request in the window, usually a fraction, and
	// extra how many beside that.
	share, extra float64
	pace         pace
	// begunAt is when the budget began to count; see paced.
	begunAt clock.Instant
}

// New returns a budget in which no request has been counted. It allows a share of the requests in a window as
// attempts beyond the first, and extra attempts beside that. At first the extra attempts count as used, since
// another VM may have kept the budget until now and have spent them.
func New(now clock.Instant, length time.Duration, share, extra float64) *Budget {
	bud := &Budget{win: window{length: length}, share: share, extra: extra, begunAt: now}
	bud.win.advance(now)
	bud.win.retries[bud.win.bucket%ringBuckets] = int(extra)
	bud.pace = newPace(now)
	return bud
}

// CountRequest counts a request that gets its first attempt.
func (bud *Budget) CountRequest(now clock.Instant) {
	bud.win.advance(now)
	bud.win.requests[bud.win.bucket%ringBuckets]++
}

// WithdrawRequest takes back a request whose first attempt was not made. Another VM may count it, too.
func (bud *Budget) WithdrawRequest(now clock.Instant) {
	bud.win.advance(now)
	at := bud.win.bucket % ringBuckets
	bud.win.requests[at] = max(bud.win.requests[at]-1, 0)
}

// Take reports whether an attempt is allowed, and counts it if so.
func (bud *Budget) Take(now clock.Instant, cla Claim) bool {
	bud.win.advance(now)
	requests, retries := bud.win.counts()
	allowed := bud.allowed(requests)
	if float64(retries+1) > cla.windowShare()*allowed {
		return false
	}
	bud.pace.refill(now, allowed, bud.win.counted())
	if !bud.pace.take(cla) && bud.paced(now, cla) {
		return false
	}
	bud.win.retries[bud.win.bucket%ringBuckets]++
	return true
}

// paced reports whether a claim must keep to the pace. After refusals it must: otherwise an incident in which all targets
// refuse a part of what they get would leave nothing after its first seconds. After failures, and for hedges, it need not:
// targets that fail or hang in turn cause these at any time, and each one that is refused costs its caller the answer. They
// take tokens of the pace only if there are some. In its first window the budget does not know what another VM has allowed
// before, and all claims keep to the pace.
func (bud *Budget) paced(now clock.Instant, cla Claim) bool {
	return cla.Purpose == AfterRefusal || now.Since(bud.begunAt) < bud.win.counted()
}

// allowed returns how many attempts the window may have.
func (bud *Budget) allowed(requests int) float64 { return bud.share*float64(requests) + bud.extra }

// Wait returns the time after which an attempt that was refused is likely to be allowed. most is how long the attempt can
// wait; those that can wait for the returned time get times one after the other.
func (bud *Budget) Wait(now clock.Instant, cla Claim, most time.Duration) time.Duration {
	bud.win.advance(now)
	requests, retries := bud.win.counts()
	allowed := bud.allowed(requests)
	bud.pace.refill(now, allowed, bud.win.counted())
	wait := time.Duration(0)
	if bud.paced(now, cla) {
		wait = bud.pace.wait(cla)
	}
	if over := float64(retries+1) - cla.windowShare()*allowed; over > 0 {
		wait = max(wait, bud.win.timeToFree(now, int(over)+1))
	}
	return bud.pace.promise(now, cla, max(wait, time.Millisecond), most)
}
