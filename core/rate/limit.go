// Package rate represents numbers and rates of requests, and the limits of organisations, as
// integers.
package rate

import (
	"math/bits"
	"time"
)

// Tokens is a number of requests in millionths of a request: Request is the number of Tokens for one
// request. Integers keep sums and differences exact. The messages of package quota, and the tokens
// that a VM was granted there, count whole requests instead.
type Tokens int64

// PerSecond is a refill rate in Tokens per second.
type PerSecond int64

// Request is the number of Tokens for one request.
const Request Tokens = 1_000_000

// Limit is the rate limit of one organisation for the whole fleet, or one server's share of it.
type Limit struct {
	Rate PerSecond
	// Burst may be spent in any window of time beyond what Rate yields in it.
	Burst Tokens
}

// Requests returns the tokens for a count of requests.
func Requests(count float64) Tokens { return Tokens(count * float64(Request)) }

// RequestsPerSecond returns the refill rate for count requests per second.
func RequestsPerSecond(count float64) PerSecond { return PerSecond(count * float64(Request)) }

// Float returns the rate in requests per second.
func (per PerSecond) Float() float64 { return float64(per) / float64(Request) }

// Float returns the number of requests.
func (tok Tokens) Float() float64 { return float64(tok) / float64(Request) }

// Accrue returns the tokens that the rate per yields in the time elapsed, and the remainder in units
// of 1e-9 token, which must be passed as rem to the next call.
func Accrue(per PerSecond, elapsed time.Duration, rem uint64) (Tokens, uint64) {
	if per <= 0 || elapsed <= 0 {
		return 0, rem
	}
	high, low := bits.Mul64(uint64(per), uint64(elapsed))
	low, carry := bits.Add64(low, rem, 0)
	high += carry
	if high >= uint64(time.Second) {
		return Tokens(1 << 62), 0
	}
	quo, rest := bits.Div64(high, low, uint64(time.Second))
	return Tokens(min(quo, 1<<62)), rest
}

// maxWait is the longest time that Wait returns, and what it returns for a rate of 0.
const maxWait = time.Minute

// Wait returns how long the rate per takes to yield the needed tokens, at most a minute.
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
