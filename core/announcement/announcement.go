// Package announcement represents what targets announce in their responses about the requests that they
// take: a limit of their rate, that they are leaving, or for how long they want none.
package announcement

import (
	"strconv"
	"time"

	"marigoldlug.example/core/rate"
)

// Limit is the most requests that a target takes from the whole fleet. The zero Limit is no limit.
type Limit struct {
	Limited bool
	// Rate is not negative; it is 0 unless Limited is set.
	Rate rate.PerSecond
}

// String returns the limit in requests per second, for logs.
func (lim Limit) String() string {
	if !lim.Limited {
		return "none"
	}
	return strconv.FormatFloat(lim.Rate.Float(), 'f', -1, 64)
}

// StricterThan reports whether lim allows fewer requests than other.
func (lim Limit) StricterThan(other Limit) bool {
	return lim.Limited && (!other.Limited || lim.Rate < other.Rate)
}

// Announcement is what one response of a target announces.
type Announcement struct {
	Limit Limit
	// LimitUnreadable is set if the response states a limit that cannot be read. The limit that was
	// announced before holds then.
	LimitUnreadable bool
	// Leaving is set if the target is about to exit and wants no further requests.
	Leaving bool
	// RetryAfter is for how long the target wants no request from the VM that it answers; 0 if it does
	// not say so.
	RetryAfter time.Duration
	// Unreadable is the first value that cannot be read, with the name of its header.
	Unreadable string
}
