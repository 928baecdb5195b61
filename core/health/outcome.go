// Package health classifies what attempts tell of their targets.
package health

import (
	"cmp"
	"slices"

	"marigoldlug.example/core/clock"
)

// Outcome classifies the end of one attempt for the judgement of its target.
type Outcome uint8

const (
	// Success is an answer that is not the target's own failure.
	Success Outcome = iota
	// Failure is a failed or cut attempt.
	Failure
	// Unreachable is an attempt for which no connection could be opened.
	Unreachable
	// Shed is a refusal by an overloaded target, which is load and not illness.
	Shed
	// Canceled is an attempt that the caller gave up.
	Canceled
	// ServerError is a whole answer by which the target says that it failed.
	ServerError
	// Overdue is an attempt that was ended because its answer took too long.
	Overdue
	// Misdirected is an answer of another target, which has the address now.
	Misdirected
)

// String returns the name of the outcome used in metrics.
func (out Outcome) String() string {
	names := [...]string{"success", "failure", "unreachable", "shed", "canceled", "erred", "overdue", "stranger"}
	if int(out) < len(names) {
		return names[out]
	}
	return "unknown"
}

// Bad reports whether the outcome counts against the target.
func (out Outcome) Bad() bool {
	return out == Failure || out == Unreachable || out == ServerError || out == Overdue
}

// Target is what the choice of targets knows of one worker.
type Target struct {
	// ID is the service and the name of the target, joined by a slash.
	ID            string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Connections bounds the connections from the whole fleet.
	Connections int
	// WarmAt is when the target reaches its full speed.
	WarmAt clock.Instant
	// Born tells one start of the target from another, in milliseconds of the
	// Unix epoch; 0 where it is not known.
	Born int64
}

// Sorted sorts targets by ID and returns them.
func Sorted(tgs []Target) []Target {
	slices.SortFunc(tgs, func(one, two Target) int { return cmp.Compare(one.ID, two.ID) })
	return tgs
}
