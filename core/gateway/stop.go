package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

const (
	// giveUpInterval is how long the store may take until a VM that stops asks it
	// again to take the VM off the list or a duty from it.
	giveUpInterval = 500 * time.Millisecond
	// delistTime is how long a VM that stops is still listed while the list says
	// that it holds a duty: long enough to ask the store twice.
	delistTime = 1200 * time.Millisecond
)

// givenUp is an object of the fleet that the store was asked to change.
type givenUp struct {
	// revision is that of the object then, on which the change is conditional.
	revision uint64
	at       clock.Instant
}

// stop begins a planned stop.
func (mac *Machine) stop(now clock.Instant) {
	if !mac.stopping {
		mac.stopping, mac.stopBegan = true, now
	}
	mac.tokens.SetServerView(mac.reach())
	mac.giveUp(now)
}

// giveUp gives up the duties that the list says this VM holds, and then its place on
// the list. A VM that stops does so whenever the list says so: a write made before
// the stop may take effect during it, and the store may refuse or lose a change. The
// duties go first: one whose holder is no longer listed is claimed, and who claims
// it before its release waits until the lease has ended.
func (mac *Machine) giveUp(now clock.Instant) {
	self := mac.set.Self.ID
	holds := false
	for num := range fleet.TokenServers {
		name := fleet.TokenServerName(num)
		if mac.fleet.Holder(num) != self {
			continue
		}
		holds = true
		if revision := mac.fleet.ObjectRevision(name); mac.mayGiveUp(now, name, revision) {
			mac.servers[num] = nil
			mac.do(Write{Name: name, Row: fleet.Row{Holder: self, Released: true, Busy: mac.fleet.Busy(num)}, Revision: revision})
		}
	}
	if holds && now.Since(mac.stopBegan) < delistTime {
		return
	}
	name := fleet.VMName(mac.set.Name)
	if listed, revision := mac.fleet.Listed(); listed && mac.mayGiveUp(now, name, revision) {
		mac.do(Delete{Name: name, Revision: revision})
	}
}

// mayGiveUp reports whether the store is to be asked now to take an object from
// this VM: unless it has just been, about the same revision.
func (mac *Machine) mayGiveUp(now clock.Instant, name string, revision uint64) bool {
	last, asked := mac.givenUp[name]
	if asked && last.revision == revision && now.Since(last.at) < giveUpInterval {
		return false
	}
	mac.givenUp[name] = givenUp{revision: revision, at: now}
	return true
}

// refuseAll answers the requests that targets have not answered when the stop
// must end, so that no caller is left without an answer. What is read later is
// refused too, since no target can answer it in time.
func (mac *Machine) refuseAll(now clock.Instant) {
	mac.ended = true
	mac.takeEarly(now)
	for _, id := range sortedFlights(mac.flights) {
		fli := mac.flights[id]
		if fli.answering {
			continue
		}
		mac.endAll(now, fli, health.Canceled)
		mac.refuse(fli, request.Refusal{Reason: request.TimedOut, Detail: "the VM stops and the target has not answered", RetryAfter: mac.usualReturn()})
	}
}
