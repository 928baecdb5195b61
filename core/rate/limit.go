// Package rate counts requests and the rates at which organisations may make
// them, in whole numbers.
package rate

import (
	"math/bits"
	"time"
)

// Tokens counts millionths of a request. Integer units keep transfers exact.
type Tokens int64

// PerSecond is a refill rate in Tokens per second.
type PerSecond int64

// Request is the cost of one request.
const Request Tokens = 1_000_000

// Limit is the allowance of one organisation across the whole fleet.
type Limit struct {
	Rate  PerSecond
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

// Accrue returns the tokens that per yields in elapsed and the remainder, in
// units of 1e-9 token, to carry into the next call.
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
