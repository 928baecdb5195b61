package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/registry"
)

const (
	// copyAge is how old the copy may be that a store is restored from. A VM that has run for less may have missed that a
	// target left whose entry the copy has.
	copyAge = time.Minute
	// Such a VM asks departureAskCount VMs every departureAskInterval which targets have left, until one that knows has told it, but
	// for departureAskTime at most: then the store has removed the entries of those that do not live.
	departureAskCount    = 3
	departureAskInterval = 500 * time.Millisecond
	departureAskTime     = 5 * time.Second
)

// Departures tells a VM that has just started which runs of targets have left. It is sent before the answer to its query.
type Departures struct {
	// Known is set if the sender knows all that had left before the latest restore.
	Known bool
	Runs  []registry.Departure
}

// departures is what a VM knows of the targets that have left, across restores of the store.
type departures struct {
	// known is set if this VM knows which targets had left before the latest restore that it knows of: it had run for long enough, or
	// a VM that knows has told it.
	known   bool
	askedAt clock.Moment
}

// noteEraOfDepartures records that the store was restored.
func (mac *Machine) noteEraOfDepartures(now clock.Instant) {
	mac.departures = departures{known: mac.knewDepartures(now)}
}

// knewDepartures reports whether this VM knows which targets have left lately.
func (mac *Machine) knewDepartures(now clock.Instant) bool {
	return mac.restores.check.Settled() && (mac.departures.known || now.Since(mac.startedAt) >= copyAge)
}

// tellDepartures tells a VM that has just started which targets have left.
func (mac *Machine) tellDepartures(now clock.Instant, to string, qry feed.Query) {
	if qry.Starting && qry.KnowsDepartures {
		mac.emit(Send{To: to, Message: Departures{Known: mac.knewDepartures(now), Runs: mac.registry.Departures()}})
	}
}

// departuresTold handles the departures that another VM tells.
func (mac *Machine) departuresTold(now clock.Instant, from string, msg Departures) {
	mac.departures.known = mac.departures.known || msg.Known
	if !mac.registry.Learn(now, msg.Runs) {
		return
	}
	mac.log("departuresTold", "vm", from, "targets", len(msg.Runs))
	mac.logDoubts()
	mac.setServices(now)
}

// askForDepartures asks other VMs which targets have left, if this VM may have missed that and something proves already that it may
// rely on the store. Until something does, checkStore asks.
func (mac *Machine) askForDepartures(now clock.Instant) {
	since, _ := mac.restores.eraSince.Age(now)
	if neverRestored(mac.restores.era) || !mac.reliesOnStore() || mac.departures.known || since >= departureAskTime {
		return
	}
	if mac.departures.askedAt.Within(departureAskInterval, now) {
		return
	}
	mac.departures.askedAt = clock.MomentOf(now)
	for _, vmm := range mac.otherVMs(departureAskCount) {
		snd := mac.selector.Ask(now, vmm.ID, mac.query())
		snd.Query.Starting = true
		mac.emit(Send{To: snd.To, Message: snd.Query})
	}
}
