package driver

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"marigoldlug.example/core/clock"
)

// Clock reads the two clocks of the VM: the monotonic clock, and the boot-time clock,
// which also counts the time for which the VM was suspended.
type Clock struct {
	start     time.Time
	startBoot time.Duration
	// boot returns the time since the system booted, including suspensions.
	boot func() time.Duration
}

// NewClock returns a clock that starts at zero.
func NewClock() *Clock { return newClock(bootTime) }

// newClock returns a clock that starts at zero and uses boot as the boot-time clock.
func newClock(boot func() time.Duration) *Clock {
	return &Clock{start: time.Now(), startBoot: boot(), boot: boot}
}

// bootTime returns the time since the system booted, including suspensions.
func bootTime() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return 0 // clock.Instant.Since then uses the monotonic clock alone.
	}
	return time.Duration(spec.Nano())
}

// Now returns the present time on both clocks.
func (clk *Clock) Now() clock.Instant {
	return clock.Instant{Mono: time.Since(clk.start), Boot: clk.boot() - clk.startBoot}
}

// Sleep pauses for dur, or until ctx is done.
func Sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-tmr.C:
	}
}
