package rate

import "time"

// minWait is the least time that Bucket.Wait returns while a request has to wait.
const minWait = time.Millisecond

// Bucket is a token bucket. Its depth is one request and what the rate yields in a time. It is not safe for concurrent
// use.
type Bucket struct {
	tokens Tokens
	// remainder is what Accrue carries over, and refilledAt when the tokens were last added, as an offset from the
	// origin of a monotonic clock.
	remainder  uint64
	refilledAt time.Duration
}

// NewBucket returns a bucket that holds the given tokens at the offset at.
func NewBucket(at time.Duration, tok Tokens) *Bucket { return &Bucket{tokens: tok, refilledAt: at} }

// Wait returns the time until the bucket holds the tokens of a request, 0 if it holds them at the offset at. burst is
// the time whose tokens the bucket holds at most, beside those of one request.
func (bkt *Bucket) Wait(at time.Duration, per PerSecond, burst time.Duration) time.Duration {
	var tok Tokens
	tok, bkt.remainder = Accrue(per, at-bkt.refilledAt, bkt.remainder)
	depth, _ := Accrue(per, burst, 0)
	bkt.tokens = min(bkt.tokens+tok, depth+Request)
	bkt.refilledAt = at
	if bkt.tokens >= Request {
		return 0
	}
	return max(Wait(per, Request-bkt.tokens), minWait)
}

// Take removes tokens, also if the bucket does not hold them.
func (bkt *Bucket) Take(tok Tokens) { bkt.tokens -= tok }
