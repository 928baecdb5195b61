// Package quota enforces the rate limits of organisations across the fleet. A few VMs act as
// token servers, each of which grants an equal share of every organisation's tokens. Every VM
// queries them for tokens and spends one for each request that it admits. The type
// rate.Tokens counts the same tokens in millionths.
package quota

import (
	"time"

	"marigoldlug.example/core/clock"
)

// Message is a message between VMs about tokens.
type Message interface{ quotaMessage() }

// Query asks a token server for tokens of an organisation. The server answers with a Grant.
type Query struct {
	Organisation string
	// Server is the number of the token server.
	Server int
	// Number identifies the Query. It grows with every Query of the sender.
	Number uint64
	// Need is the number of requests that are waiting, and Prefetch the number that the
	// VM expects to arrive soon.
	Need     int
	Prefetch int
}

// Grant is the answer to a Query.
type Grant struct {
	Organisation string
	Number       uint64
	// Count is the number of requests granted.
	Count int
	// RetryAfter is the time after which more tokens may be granted. It is above 0 if the server
	// granted less than the Need of the Query, and 0 if NotServing is set.
	RetryAfter time.Duration
	// NotServing is set if the VM does not act as the token server of the queried number, or
	// not yet.
	NotServing bool
}

func (Query) quotaMessage() {}
func (Grant) quotaMessage() {}

// Output is something that the caller of a Client has to carry out: a Send or a Decision.
type Output interface{ quotaOutput() }

// Send is a Query that has to be sent to the VM with the ID To.
type Send struct {
	To    string
	Query Query
}

// Decision tells whether a request is admitted.
type Decision struct {
	Request  uint64
	Admitted bool
	// Local is set if the VM decided without a token server.
	Local bool
	// RetryAfter is the time after which a refused request may succeed.
	RetryAfter time.Duration
}

func (Send) quotaOutput()     {}
func (Decision) quotaOutput() {}

// waiter is a request that is waiting for tokens from a server.
type waiter struct {
	request uint64
	since   clock.Instant
}
