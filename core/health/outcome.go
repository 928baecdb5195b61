// Package health classifies the outcomes of attempts by what they say about the health of targets.
package health

import (
	"cmp"
	"slices"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/warmup"
)

// Outcome classifies how one attempt ended, so that its target can be judged by it.
type Outcome uint8

const (
	// Success is a response that reports no failure of the target itself.
	Success Outcome = iota
	// Failure is an attempt that failed or whose response broke off.
	Failure
	// Unreachable is an attempt for which no connection could be opened.
	Unreachable
	// Shed is a refusal by an overloaded target. It does not mean that the target is failing.
	Shed
	// Canceled is an attempt that was given up for a reason other than the target, such as its caller
	// leaving.
	Canceled
	// ServerError is a complete response with which the target reports its own failure.
	ServerError
	// Overdue is an attempt that was ended because its response took too long, or because that of
	// another attempt of the request came first.
	Overdue
	// Misdirected is a response of another target, which has the address now. The request has not
	// run.
	Misdirected
	// NotForwarded is an attempt that the VM which was to forward it did not send. That says nothing
	// about the target.
	NotForwarded
)

// String returns the name of the outcome used in metrics.
func (out Outcome) String() string {
	names := [...]string{"success", "failure", "unreachable", "shed", "canceled", "erred", "overdue", "stranger", "notForwarded"}
	if int(out) < len(names) {
		return names[out]
	}
	return "unknown"
}

// Target describes one target for the choice of targets.
type Target struct {
	// ID is the service and the name of the target, joined by a slash.
	ID            string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Connections is the most connections that the whole fleet may open to the target, 0 if none
	// is stated; see config.Service.Connections.
	Connections int
	// WarmAt is when the target has warmed up and reaches its full speed.
	WarmAt clock.Instant
	// Warmup limits the rate of the target's requests with regard to its start.
	Warmup warmup.Limit
	// Born is the start time of the target in Unix milliseconds, by which restarts are recognised; 0 if
	// it is not known.
	Born int64
}

// Run identifies one run of a target. A target that starts again is another run of itself.
type Run struct {
	Target string
	// Born is the start time in Unix milliseconds; see Target.
	Born int64
}

// RunOf returns the run of a target.
func RunOf(tgt Target) Run { return Run{Target: tgt.ID, Born: tgt.Born} }

// Sorted sorts targets by ID and returns them.
func Sorted(tgs []Target) []Target {
	slices.SortFunc(tgs, func(one, two Target) int { return cmp.Compare(one.ID, two.ID) })
	return tgs
}
