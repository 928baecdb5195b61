// Package quota keeps organisations within their rates across the fleet: a few
// VMs serve tokens, each a part of them, and every VM spends those that it was
// granted.
package quota

import (
	"time"

	"marigoldlug.example/core/clock"
)

// Message is what VMs send to one another about tokens.
type Message interface{ quotaMessage() }

// Query requests tokens of an organisation from the server.
type Query struct {
	Organisation string
	// Server is the part of the tokens that is asked for.
	Server int
	// Number grows with every ask of the sender.
	Number uint64
	// Need is the number of requests that wait, Ahead what the VM expects soon.
	Need     int
	Prefetch int
}

// Grant answers an Ask.
type Grant struct {
	Organisation string
	Number       uint64
	// Count is the number of requests granted.
	Count int
	// RetryAfter is above 0 when the need was not met.
	RetryAfter time.Duration
	// NotServing is set where the VM that was asked does not serve the part, or not
	// yet.
	NotServing bool
}

func (Query) quotaMessage() {}
func (Grant) quotaMessage() {}

// Output is something that a client wants done.
type Output interface{ quotaOutput() }

// Send sends an ask to the VM with an ID.
type Send struct {
	To    string
	Query Query
}

// Decision tells what became of a request.
type Decision struct {
	Request  uint64
	Admitted bool
	// Local is set where the VM decided without the server.
	Local bool
	// RetryAfter is when a refused request may succeed.
	RetryAfter time.Duration
}

func (Send) quotaOutput()     {}
func (Decision) quotaOutput() {}

// waiter is a request that waits for the server's answer.
type waiter struct {
	request uint64
	since   clock.Instant
}
