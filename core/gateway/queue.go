package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/request"
)

const (
	// maxQueueTime is how long a request is queued at a VM that has just started and is not in sync
	// yet. The VM learns what it lacks within some tenths of a second, so
	// queueing spares a refusal to callers that arrive at once, as they do after many VMs were lost.
	maxQueueTime = 500 * time.Millisecond
	// startupTime is how long after its start a VM is likely to learn the configuration and the
	// targets soon. Later requests are not queued.
	startupTime = 2 * time.Second
)

// queued is a request that waits until this VM knows the configuration and the targets.
type queued struct {
	request request.Request
	arrived clock.Instant
}

// synced reports whether this VM knows the configuration, the targets, the drained failure domains and the list of VMs,
// with which it learns what is quarantined, and that the configuration was the newest at some time since its start:
// without that no key can be relied on.
func (mac *Machine) synced() bool {
	return mac.config != nil && mac.registry.Revision() > 0 && mac.fleet.Revision() > 0 && mac.drainsKnown() && mac.configConfirmedAt.Known()
}

// starting reports whether this VM has just started.
func (mac *Machine) starting(now clock.Instant) bool { return now.Since(mac.startedAt) < startupTime }

// handleQueued handles the queued requests once the VM knows the configuration and the targets, and
// before that those that have been queued for too long.
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

// flushQueued handles all queued requests at once, because the VM is stopping.
func (mac *Machine) flushQueued(now clock.Instant) {
	for _, que := range mac.queued {
		mac.handleRequest(now, que.arrived, que.request)
	}
	mac.queued = nil
}
