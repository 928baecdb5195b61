package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/request"
)

const (
	// earlyTime is how long a request waits at a VM that has just started and
	// does not know the configuration and the targets. Callers come at once after
	// the loss of many VMs, and a VM learns them in some tenths of a second.
	earlyTime = 500 * time.Millisecond
	// youngTime is how long after its start a VM is likely to learn them soon.
	youngTime = 2 * time.Second
)

// early is a request that came too early for this VM to decide on it.
type early struct {
	request request.Request
	arrived clock.Instant
}

// knows reports whether this VM has heard of the configuration and the targets.
func (mac *Machine) knows() bool { return mac.config != nil && mac.registry.Revision() > 0 }

// young reports whether this VM has just started.
func (mac *Machine) young(now clock.Instant) bool { return now.Since(mac.began) < youngTime }

// admitEarly decides on the requests that came too early, once the VM knows what
// it needs or they have waited for long.
func (mac *Machine) admitEarly(now clock.Instant) {
	for len(mac.early) > 0 {
		first := mac.early[0]
		if !mac.knows() && now.Since(first.arrived) < earlyTime {
			return
		}
		mac.early = mac.early[1:]
		mac.take(now, first.arrived, first.request)
	}
}

// takeEarly decides on all requests that came too early, because the VM stops.
func (mac *Machine) takeEarly(now clock.Instant) {
	for _, ear := range mac.early {
		mac.take(now, ear.arrived, ear.request)
	}
	mac.early = nil
}
