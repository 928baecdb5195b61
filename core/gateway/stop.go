package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

const (
	// releaseRetryInterval is how long the store may take until a VM that stops asks it
	// again to take the VM off the list or a duty from it.
	releaseRetryInterval = 500 * time.Millisecond
	// delistDelay is how long a VM that stops is still listed while the list says
	// that it holds a duty: long enough to ask the store twice.
	delistDelay = 1200 * time.Millisecond
)

// release is an object of the fleet that the store was asked to change.
type release struct {
	// revision is that of the object then, on which the change is conditional.
	revision uint64
	at       clock.Instant
}

// stop begins a planned stop.
func (mac *Machine) stop(now clock.Instant) {
	if !mac.stopping {
		mac.stopping, mac.stopStartedAt = true, now
	}
	mac.tokens.SetServerView(mac.tokenServerView())
	mac.releaseAll(now)
}

// releaseAll gives up the duties that the list says this VM holds, and then its place on
// the list. A VM that stops does so whenever the list says so: a write made before
// the stop may take effect during it, and the store may refuse or lose a change. The
// duties go first: one whose holder is no longer listed is claimed, and who claims
// it before its release waits until the lease has ended.
func (mac *Machine) releaseAll(now clock.Instant) {
	self := mac.set.Self.ID
	holds := false
	for num := range fleet.TokenServers {
		name := fleet.TokenServerName(num)
		if mac.fleet.Holder(num) != self {
			continue
		}
		holds = true
		if revision := mac.fleet.ObjectRevision(name); mac.mayRelease(now, name, revision) {
			mac.tokenServers[num] = nil
			mac.emit(Write{Name: name, Row: fleet.Row{Holder: self, Released: true, Busy: mac.fleet.Busy(num)}, Revision: revision})
		}
	}
	if holds && now.Since(mac.stopStartedAt) < delistDelay {
		return
	}
	name := fleet.VMName(mac.set.Name)
	if listed, revision := mac.fleet.Listed(); listed && mac.mayRelease(now, name, revision) {
		mac.emit(Delete{Name: name, Revision: revision})
	}
}

// mayRelease reports whether the store is to be asked now to take an object from
// this VM: unless it has just been, about the same revision.
func (mac *Machine) mayRelease(now clock.Instant, name string, revision uint64) bool {
	last, asked := mac.release[name]
	if asked && last.revision == revision && now.Since(last.at) < releaseRetryInterval {
		return false
	}
	mac.release[name] = release{revision: revision, at: now}
	return true
}

// refuseAll answers the requests that targets have not answered when the stop
// must end, so that no caller is left without an answer. What is read later is
// refused too, since no target can answer it in time.
func (mac *Machine) refuseAll(now clock.Instant) {
	mac.pastStopDeadline = true
	mac.flushQueued(now)
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		if inf.relaying {
			continue
		}
		mac.endAllAttempts(now, inf, health.Canceled)
		mac.refuse(inf, request.Refusal{Reason: request.TimedOut, Detail: "the VM stops and the target has not answered", RetryAfter: mac.randomRetryAfter()})
	}
}
