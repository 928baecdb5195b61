// Package rate divides the rate and burst of organisations among the VMs of
// the fleet without ever admitting more than the whole.
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
	hig, low := bits.Mul64(uint64(per), uint64(elapsed))
	low, car := bits.Add64(low, rem, 0)
	hig += car
	if hig >= uint64(time.Second) {
		return Tokens(1 << 62), 0
	}
	quo, rest := bits.Div64(hig, low, uint64(time.Second))
	return Tokens(min(quo, 1<<62)), rest
}

// scale returns val × num ÷ den rounded down, for 0 ≤ num ≤ den.
func scale(val, num, den int64) int64 {
	if val <= 0 || num <= 0 || den <= 0 {
		return 0
	}
	if num >= den {
		return val
	}
	hig, low := bits.Mul64(uint64(val), uint64(num))
	quo, _ := bits.Div64(hig, low, uint64(den))
	return int64(quo)
}
