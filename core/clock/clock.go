// Package clock represents readings of two clocks of one VM: the monotonic clock, and one that
// also counts the time for which the VM was suspended.
package clock

import "time"

// Instant is a reading of both clocks taken together.
// Both are offsets from an origin private to the VM, so instants of different
// VMs cannot be compared.
type Instant struct {
	// Mono never decreases, but may stand still while the VM is suspended.
	Mono time.Duration
	// Boot also counts the time for which the VM was suspended, and does not follow the time
	// of day, as CLOCK_BOOTTIME of Linux. While the VM cannot read that clock, Boot stands
	// still, possibly after a jump back, and Since goes by Mono.
	Boot time.Duration
}

// At returns an instant with both clocks at the given offset from their origin.
func At(off time.Duration) Instant {
	return Instant{Mono: off, Boot: off}
}

// Since returns the time from earlier to ins, by the clock on which more time has passed,
// because Mono may stand still while the VM is suspended, and Boot does not.
func (ins Instant) Since(earlier Instant) time.Duration {
	return max(ins.Mono-earlier.Mono, ins.Boot-earlier.Boot)
}

// Add returns the instant with both clocks moved by dur.
func (ins Instant) Add(dur time.Duration) Instant {
	return Instant{Mono: ins.Mono + dur, Boot: ins.Boot + dur}
}

// Before reports whether ins precedes other on the monotonic clock.
func (ins Instant) Before(other Instant) bool {
	return ins.Mono < other.Mono
}

// Later returns the later of two instants. One that is not set counts as the earlier.
func Later(one, two Instant) Instant {
	if one == (Instant{}) || one.Before(two) {
		return two
	}
	return one
}

// Moment is an instant that may never have come, such as that of a confirmation. The zero Moment has never come. It is
// not the instant zero, which may be that of the start of the process.
type Moment struct {
	at    Instant
	known bool
}

// MomentOf returns the moment that has come at an instant.
func MomentOf(at Instant) Moment { return Moment{at: at, known: true} }

// Instant returns the instant at which the moment has come, and whether it has.
func (mom Moment) Instant() (at Instant, known bool) { return mom.at, mom.known }

// Known reports whether the moment has come.
func (mom Moment) Known() bool { return mom.known }

// Age returns the time from the moment to now. known is false, and age 0, if it has never come.
func (mom Moment) Age(now Instant) (age time.Duration, known bool) {
	if !mom.known {
		return 0, false
	}
	return now.Since(mom.at), true
}

// Within reports whether the moment has come, dur before now at the most.
func (mom Moment) Within(dur time.Duration, now Instant) bool {
	age, known := mom.Age(now)
	return known && age <= dur
}

// AgeOr returns the time from the moment to now, or the given age if it has never come.
func (mom Moment) AgeOr(never time.Duration, now Instant) time.Duration {
	if age, known := mom.Age(now); known {
		return age
	}
	return never
}

// Later returns the later of two moments. One that has never come counts as the earlier.
func (mom Moment) Later(other Moment) Moment {
	if !mom.known || other.known && mom.at.Before(other.at) {
		return other
	}
	return mom
}
