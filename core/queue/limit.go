package queue

import (
	"time"

	"marigoldlug.example/core/clock"
)

// The rules of the adaptive limit: it falls by a factor when targets shed, at
// most once in a while, and rises by one for each limit's worth of successes.
const (
	startLimit   = 8
	minLimit     = 1
	maxLimit     = 4096
	fallFactor   = 0.85
	fallInterval = 50 * time.Millisecond
)

// Limit bounds the requests of one VM that run at a service at a time. Targets
// have fewer slots than there are VMs, so no VM can know what is free; the
// targets' own refusals tell. It is not safe for concurrent use.
type Limit struct {
	limit   float64
	running int
	fallen  clock.Instant
}

// NewLimit returns a limit that has not learned anything.
func NewLimit() *Limit { return &Limit{limit: startLimit} }

// Free reports whether another request may start.
func (lim *Limit) Free() bool { return float64(lim.running) < lim.limit }

// Start counts a request that starts.
func (lim *Limit) Start() { lim.running++ }

// End counts a request that ends.
func (lim *Limit) End() { lim.running = max(lim.running-1, 0) }

// Succeeded raises the limit while it is in use. It is called before End, so
// that a limit of one counts the request that used it.
func (lim *Limit) Succeeded() {
	if float64(lim.running) >= lim.limit/2 {
		lim.limit = min(lim.limit+1/lim.limit, maxLimit)
	}
}

// Shed lowers the limit.
func (lim *Limit) Shed(now clock.Instant) {
	if now.Mono-lim.fallen.Mono < fallInterval {
		return
	}
	lim.fallen = now
	lim.limit = max(lim.limit*fallFactor, minLimit)
}

// Value returns the present limit.
func (lim *Limit) Value() float64 { return lim.limit }
