package retrybudget

import (
	"time"

	"marigoldlug.example/core/clock"
)

// maxWaits is how often a request waits for the budget at most. A request whose turn others take twice would likely
// lose it again.
const maxWaits = 2

// Waits are the waits of one request for the budget.
type Waits struct {
	count int
	until clock.Instant
}

// With returns the waits with a further one of the given length, and whether the request may wait for so long: latest is
// when it must be sent to be of use.
func (wai Waits) With(now clock.Instant, length time.Duration, latest clock.Instant) (Waits, bool) {
	until := now.Add(length)
	if length <= 0 || wai.count >= maxWaits || !until.Before(latest) {
		return wai, false
	}
	return Waits{count: wai.count + 1, until: until}, true
}

// Over returns the waits without the present one.
func (wai Waits) Over() Waits { return Waits{count: wai.count} }

// Waiting reports whether the request waits.
func (wai Waits) Waiting() bool { return wai.until != (clock.Instant{}) }

// Due reports whether the present wait is over.
func (wai Waits) Due(now clock.Instant) bool { return wai.Waiting() && !now.Before(wai.until) }

// Count returns the number of waits.
func (wai Waits) Count() int { return wai.count }
