// Package placement chooses for each request the target that is most likely to answer it in time. One
// VM, the placer, places the requests of the whole fleet for one partition of a service. So it knows
// for each target there which requests run, for how long, and with which outcome others ended.
package placement

import (
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/rate"
)

// Message is a message between a VM and a placer.
type Message interface{ placementMessage() }

// Criteria describes a request for the choice of its target.
type Criteria struct {
	// Route groups requests that take about equally long.
	Route string
	// Domain is the failure domain of the VM that sends the request.
	Domain     string
	Idempotent bool
	// Retry is set if the request was sent to a target before, and Hedge if that attempt goes on beside
	// the new one.
	Retry, Hedge bool
	// TimeToGoal is the time left until the latency goal, up to which an answer is of full use, and
	// TimeLeft that until the deadline, after which it is of none. TimeToGoal is 0 once the goal has
	// passed, and always if the route has none.
	TimeToGoal, TimeLeft time.Duration
	// Tried lists the IDs of targets to which the request must not be sent.
	Tried []string
	// Priority ranks requests that compete for targets; 0 is the highest.
	Priority int
	// Suspected is set if the request may crash its target, as others with the same content did.
	Suspected bool
	// PathsLost is set if the VM that sends the request reaches no target, so that another one must forward it.
	PathsLost bool
	// MayHaveRun is set if an earlier attempt may have run the request, so that a further one may repeat work. Older
	// builds do not tell.
	MayHaveRun bool
	// Caller is the organisation of the request; see admission.CallerOf.
	Caller uint16
	// LargeResponse is set if the response is some hundred times as large as others.
	LargeResponse bool
}

// crossDomainCost returns the cost of a target in another failure domain.
func (cri Criteria) crossDomainCost() float64 {
	if cri.LargeResponse {
		return largeCrossDomainCost
	}
	return crossDomainCost
}

// Query asks the placer of a partition for a target.
type Query struct {
	Service   string
	Partition int
	// Number increases with every query of the sender.
	Number   uint64
	Criteria Criteria
}

// Answer is the reply to the Query with the same number.
type Answer struct {
	Number uint64
	// Target is empty if the request is refused.
	Target string
	// HedgeAfter is the time after which a hedge may be sent to another target, beside this attempt.
	// ReplaceAfter is the time after which another attempt may replace this one.
	HedgeAfter, ReplaceAfter time.Duration
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// Reason says why the request is refused.
	Reason Reason
	// Limits is the sum of the limits for which the request is refused, if Reason is Limited.
	Limits rate.PerSecond
	// Announced is what the placer knows that Target announces; nil if that is nothing.
	Announced *announcement.Report
	// Forwarder is the VM that is to forward the request to Target; empty if none is needed or known.
	Forwarder string
	// Load is the load of the partition after the answer; unknown from an older program.
	Load balance.Load
}

// End is the end of an attempt.
type End struct {
	Service   string
	Partition int
	Number    uint64
	Outcome   health.Outcome
}

// Ended reports the ends of attempts to the placer.
type Ended struct {
	Ends []End
}

// RunningAttempt is an attempt that has not ended.
type RunningAttempt struct {
	Service   string
	Partition int
	Number    uint64
	Target    string
	Route     string
	// Age is the time since the attempt began, and TimeLeft that until its deadline.
	Age      time.Duration
	TimeLeft time.Duration
}

// Track reports running attempts to a placer that does not know of them.
type Track struct {
	Attempts []RunningAttempt
}

// PathsLost reports to a placer that the sender reaches no target of a partition: what it has reported lately says
// nothing about the targets.
type PathsLost struct {
	Service   string
	Partition int
}

// Announced reports to a placer what targets announce.
type Announced struct {
	Reports []announcement.Report
}

func (Query) placementMessage()     {}
func (Answer) placementMessage()    {}
func (Ended) placementMessage()     {}
func (Track) placementMessage()     {}
func (PathsLost) placementMessage() {}
func (Announced) placementMessage() {}

// Reason says why a request was not placed.
type Reason string

// The reasons for which a request is not placed.
const (
	// NoTargetLeft means that no target is left: each one was tried before, or is not used at present.
	NoTargetLeft Reason = "noTarget"
	// NoRoom means that no target can take the request, or none is likely to answer it in time.
	NoRoom Reason = "noRoom"
	// Limited means that only targets have room which get no request now by the limits that they announce, or
	// since they may be cold.
	Limited Reason = "limited"
	// NoRetry means that the retry budget allows the request no further attempt now. Answer.RetryAfter says when it
	// likely does; older builds leave that at 0.
	NoRetry Reason = "noRetry"
	// NoTargetsKnown means that the VM that was asked knows no target of the partition. Other VMs may still
	// know some.
	NoTargetsKnown Reason = "unknown"
)
