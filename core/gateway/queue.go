package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/request"
)

const (
	// maxQueueTime is how long a request waits at a VM that has just started and
	// does not know the configuration and the targets. Callers come at once after
	// the loss of many VMs, and a VM learns them in some tenths of a second.
	maxQueueTime = 500 * time.Millisecond
	// startupTime is how long after its start a VM is likely to learn them soon.
	startupTime = 2 * time.Second
)

// queued is a request that came too early for this VM to decide on it.
type queued struct {
	request request.Request
	arrived clock.Instant
}

// synced reports whether this VM has heard of the configuration and the targets.
func (mac *Machine) synced() bool { return mac.config != nil && mac.registry.Revision() > 0 }

// starting reports whether this VM has just started.
func (mac *Machine) starting(now clock.Instant) bool { return now.Since(mac.startedAt) < startupTime }

// handleQueued decides on the requests that came too early, once the VM knows what
// it needs or they have waited for long.
func (mac *Machine) handleQueued(now clock.Instant) {
	for len(mac.queued) > 0 {
		first := mac.queued[0]
		if !mac.synced() && now.Since(first.arrived) < maxQueueTime {
			return
		}
		mac.queued = mac.queued[1:]
		mac.handleRequest(now, first.arrived, first.request)
	}
}

// flushQueued decides on all requests that came too early, because the VM stops.
func (mac *Machine) flushQueued(now clock.Instant) {
	for _, que := range mac.queued {
		mac.handleRequest(now, que.arrived, que.request)
	}
	mac.queued = nil
}
