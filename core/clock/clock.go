// Package clock represents readings of the monotonic and the wall clock of one VM.
package clock

import "time"

// Instant is a reading of the monotonic and the wall clock taken together.
// Both are offsets from an origin private to the VM, so instants of different
// VMs cannot be compared.
type Instant struct {
	// Mono never decreases, but may stand still while the VM is suspended.
	Mono time.Duration
	// Wall follows the wall clock and may jump in either direction.
	Wall time.Duration
}

// At returns an instant with both clocks at the given offset from their origin.
func At(off time.Duration) Instant {
	return Instant{Mono: off, Wall: off}
}

// Since returns the time from earlier to ins, by the clock on which more time has passed,
// because the monotonic clock may stand still while the VM is suspended, and the wall clock
// does not.
func (ins Instant) Since(earlier Instant) time.Duration {
	return max(ins.Mono-earlier.Mono, ins.Wall-earlier.Wall)
}

// Add returns the instant with both clocks moved by dur.
func (ins Instant) Add(dur time.Duration) Instant {
	return Instant{Mono: ins.Mono + dur, Wall: ins.Wall + dur}
}

// Before reports whether ins precedes other on the monotonic clock.
func (ins Instant) Before(other Instant) bool {
	return ins.Mono < other.Mono
}
