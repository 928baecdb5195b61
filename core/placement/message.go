// Package placement sends each request to the target that is likeliest to
// answer it in time. One VM, the placer of a service, places the requests of
// the whole fleet, so that it sees how every target fares: what runs where, for
// how long, and what came of it.
package placement

import (
	"time"

	"marigoldlug.example/core/health"
)

// Message is what VMs and placers send to one another.
type Message interface{ placementMessage() }

// Criteria says what a request needs of its target.
type Criteria struct {
	// Route groups requests that take about equally long.
	Route string
	// Domain is the failure domain from which the request is sent.
	Domain     string
	Idempotent bool
	// Retry is set where the request was sent to a target before, and Hedge where
	// it still runs there.
	Retry, Hedge bool
	// TimeToGoal is the time left in which an answer is of full use, and TimeLeft that in
	// which it is of any.
	TimeToGoal, TimeLeft time.Duration
	// Tried lists the targets not to send the request to.
	Tried []string
	// Priority orders requests that compete; 0 goes first.
	Priority int
}

// hedgeBudget is the part of the retries that second attempts may take while the
// first runs. The rest is for requests that failed or were shed, and for those
// that targets of other services get when an address is used again.
const hedgeBudget = 0.6

// budget returns the part of the retries that the request may take.
func (cri Criteria) budget() float64 {
	if cri.Hedge {
		return hedgeBudget
	}
	return 1
}

// Query asks the placer of a part of a service for a target.
type Query struct {
	Service   string
	Partition int
	// Number grows with every ask of the sender.
	Number   uint64
	Criteria Criteria
}

// Answer answers the Ask of a number.
type Answer struct {
	Number uint64
	// Target is empty where the request is refused.
	Target string
	// HedgeAfter is how long the answer is waited for until another target may be
	// sent the request too, and ReplaceAfter until it may be sent it instead.
	HedgeAfter, ReplaceAfter time.Duration
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Reason says why a request is refused.
	Reason Reason
}

// End is the end of an attempt.
type End struct {
	Service   string
	Partition int
	Number    uint64
	Outcome   health.Outcome
}

// Ended reports ends of attempts.
type Ended struct {
	Ends []End
}

// RunningAttempt is an attempt under way.
type RunningAttempt struct {
	Service   string
	Partition int
	Number    uint64
	Target    string
	Route     string
	Age       time.Duration
	TimeLeft  time.Duration
}

// Track reports attempts under way to a placer that does not know of them.
type Track struct {
	Attempts []RunningAttempt
}

func (Query) placementMessage()  {}
func (Answer) placementMessage() {}
func (Ended) placementMessage()  {}
func (Track) placementMessage()  {}

// Reason says why a request was not placed.
type Reason string

// The reasons for which a request is not placed.
const (
	NoTarget Reason = "noTarget"
	NoRoom   Reason = "noRoom"
	NoRetry  Reason = "noRetry"
	// Unknown is the reason where the VM that was asked knows no target of the part,
	// which says nothing of what others know.
	Unknown Reason = "unknown"
)
