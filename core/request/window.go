package request

import (
	"time"

	"marigoldlug.example/core/clock"
)

// windowSlots is the number of slots in which a window is counted.
const windowSlots = 20

// RetryBudget bounds the retries for a service in a sliding window by the number of
// its requests in it. It is not safe for concurrent use.
type RetryBudget struct {
	window   time.Duration
	share    float64
	extra    float64
	requests [windowSlots]int
	retries  [windowSlots]int
	slot     int64
}

// NewRetryBudget returns a window in which no request has been counted. Retries may
// make up a share of the requests, and extra beside it. The extra is taken to
// be spent at first, since another VM may have counted until now.
func NewRetryBudget(now clock.Instant, window time.Duration, share, extra float64) *RetryBudget {
	win := &RetryBudget{window: window, share: share, extra: extra}
	win.advance(now)
	win.retries[win.slot%windowSlots] = int(extra)
	return win
}

func (win *RetryBudget) advance(now clock.Instant) {
	slot := int64(now.Mono / (win.window / windowSlots))
	if slot-win.slot >= windowSlots {
		win.requests, win.retries = [windowSlots]int{}, [windowSlots]int{}
		win.slot = slot
	}
	for win.slot < slot {
		win.slot++
		win.requests[win.slot%windowSlots] = 0
		win.retries[win.slot%windowSlots] = 0
	}
}

// Deposit counts a request.
func (win *RetryBudget) Deposit(now clock.Instant) {
	win.advance(now)
	win.requests[win.slot%windowSlots]++
}

// Withdraw takes one retry and reports whether that was allowed, up to a part of
// all that are.
func (win *RetryBudget) Withdraw(now clock.Instant, part float64) bool {
	win.advance(now)
	if float64(sum(win.retries)+1) > part*(win.share*float64(sum(win.requests))+win.extra) {
		return false
	}
	win.retries[win.slot%windowSlots]++
	return true
}

func sum(counts [windowSlots]int) int {
	out := 0
	for _, cnt := range counts {
		out += cnt
	}
	return out
}
