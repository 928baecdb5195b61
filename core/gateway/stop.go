package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

const (
	// releaseRetryInterval is how long a stopping VM waits for a release to take effect before it
	// asks the store again.
	releaseRetryInterval = 500 * time.Millisecond
	// delistDelay is how long a stopping VM stays listed while the list says that it holds a token
	// server: long enough to ask the store twice.
	delistDelay = 1200 * time.Millisecond
)

// release is a request to the store to release an object of the fleet.
type release struct {
	// revision is the revision of the object at the time, on which the change is conditional.
	revision uint64
	at       clock.Instant
}

// lastRequestShare is the share of the stop time after which no request is admitted any more that may last until
// the stop deadline. The rest is for those that run: targets that hang or are slow may need it, and callers who are
// refused can be served by other VMs at once.
const lastRequestShare = 0.5

// stop begins a graceful stop. left is the time until its deadline, 0 if that is not known.
func (mac *Machine) stop(now clock.Instant, left time.Duration) {
	if !mac.stopping {
		mac.stopping, mac.stopStartedAt = true, now
	}
	if left > 0 {
		mac.stopDeadline = now.Add(left)
	}
	mac.tokens.SetServerView(mac.tokenServerView())
	mac.releaseAll(now)
}

// tooLateToStart reports whether a request may not be sent to a target any more, since it may still run at the
// deadline of a stop.
func (mac *Machine) tooLateToStart(now clock.Instant, inf *inFlight) bool {
	if mac.pastStopDeadline {
		return true
	}
	if mac.stopDeadline == (clock.Instant{}) || inf.deadline.Before(mac.stopDeadline) {
		return false
	}
	total := mac.stopDeadline.Mono - mac.stopStartedAt.Mono
	return float64(now.Since(mac.stopStartedAt)) > lastRequestShare*float64(total)
}

// stopRefusal returns the refusal of a request that a stopping VM does not send any more.
func (mac *Machine) stopRefusal() request.Refusal {
	return request.Refusal{Reason: request.Overloaded, Detail: "the VM stops", RetryAfter: mac.randomRetryAfter()}
}

// releaseAll releases the token servers that the list says this VM holds, and then takes the VM off
// the list. A stopping VM does so whenever the list contains them: a write made before the stop may
// take effect during it, and the store may refuse or lose a change. The token servers go first: one
// whose holder is no longer listed is claimed by another VM, and a VM that claims it before its
// release waits until the lease has ended.
func (mac *Machine) releaseAll(now clock.Instant) {
	self := mac.set.Self.ID
	holds := false
	for num := range fleet.TokenServerCount {
		name := fleet.TokenServerName(num)
		if mac.fleet.Holder(num) != self {
			continue
		}
		holds = true
		if revision := mac.fleet.ObjectRevision(name); mac.startRelease(now, name, revision) {
			mac.tokenServers[num] = nil
			row := mac.fleet.Claim(now, num, mac.fleet.Busy(num))
			row.Released = true
			mac.emit(Write{Name: name, Row: row, Revision: revision})
		}
	}
	if holds && now.Since(mac.stopStartedAt) < delistDelay {
		return
	}
	name := fleet.VMName(mac.set.Name)
	if listed, revision := mac.fleet.Listed(); listed && mac.startRelease(now, name, revision) {
		mac.emit(Delete{Name: name, Revision: revision})
	}
}

// startRelease reports whether to ask the store now to release an object, and if so records the
// request. The store is not asked again within releaseRetryInterval for the same revision.
func (mac *Machine) startRelease(now clock.Instant, name string, revision uint64) bool {
	last, asked := mac.releases[name]
	if asked && last.revision == revision && now.Since(last.at) < releaseRetryInterval {
		return false
	}
	mac.releases[name] = release{revision: revision, at: now}
	return true
}

// refuseAll answers the requests that targets have not answered at the stop deadline, so that no
// caller is left without an answer. Requests that are read later are refused too, since no target
// can answer them in time.
func (mac *Machine) refuseAll(now clock.Instant) {
	mac.pastStopDeadline = true
	mac.flushQueued(now)
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		if inf.relaying {
			continue
		}
		mac.endAllAttempts(now, inf, health.Canceled)
		mac.refuse(now, inf, request.Refusal{Reason: request.TimedOut, Detail: "the VM stops and the target has not answered", RetryAfter: mac.randomRetryAfter()})
	}
}
