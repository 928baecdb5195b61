package gateway

import (
	"math"
	"slices"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/registry"
)

// announcedLimit is the limit that a target announces since a time.
type announcedLimit struct {
	since   time.Time
	limited bool
	rate    float64
}

// pause is a time for which a target wants no request from a VM.
type pause struct {
	vm          string
	from, until time.Time
}

// simTarget is one run of a target.
type simTarget struct {
	name string
	born time.Time
	up   bool
	// busyUntil holds when each slot becomes free.
	busyUntil []time.Time
	limits    []announcedLimit
	leaving   bool
	// entry is what the target registers, unless it has withdrawn.
	entry     registry.Entry
	withdrawn bool
	// exiting is set once the target has begun to leave.
	exiting bool
	// pauseFor is the Retry-After of refusals, and refuseUntil the time until which it refuses.
	pauseFor    time.Duration
	refuseUntil time.Time
	arrivals    []arrival
	pauses      []pause
	// running holds the requests that have no slot yet or have not been answered.
	running []*simRequest
	// silent is set while the target neither answers nor closes connections.
	silent bool
	// told holds, for each run of a VM, the first answer with each limit that it passed on.
	told map[string][]toldLimit
	// toldLeaving holds when each run of a VM first passed on that the target leaves.
	toldLeaving map[string]time.Time
	// shownTo holds the runs of VMs that have seen the entry of this run.
	shownTo map[string]bool
	// shownLeaving holds when each run of a VM first learned from the store that the target leaves, or is gone
	// since it has left.
	shownLeaving map[string]time.Time
	// coldFrom holds when the target turned cold.
	coldFrom []time.Time
}

// toldLimit is the first answer with a limit that a VM passed on. number is the index of the limit in
// simTarget.limits.
type toldLimit struct {
	at     time.Time
	number int
}

// occupySlot gives a request the next free slot.
func (tgt *simTarget) occupySlot(sim *fleetSim) (begin, end time.Time) {
	slot := 0
	for num, at := range tgt.busyUntil {
		if at.Before(tgt.busyUntil[slot]) {
			slot = num
		}
	}
	begin = sim.now
	if tgt.busyUntil[slot].After(begin) {
		begin = tgt.busyUntil[slot]
	}
	end = begin.Add(time.Duration(float64(simMedian) * math.Exp(0.3*sim.rnd.NormFloat64())))
	tgt.busyUntil[slot] = end
	return begin, end
}

func (tgt *simTarget) announcement() announcement.Announcement {
	ann := announcement.Announcement{Leaving: tgt.leaving}
	if last := len(tgt.limits) - 1; last >= 0 && tgt.limits[last].limited {
		ann.Limit = announcement.Limit{Limited: true, Rate: rate.RequestsPerSecond(tgt.limits[last].rate)}
	}
	return ann
}

func (sim *fleetSim) target(name string) *simTarget {
	idx := slices.IndexFunc(sim.tgs, func(tgt *simTarget) bool { return tgt.name == name })
	if idx < 0 {
		return nil
	}
	return sim.tgs[idx]
}

// startTarget starts a run of a target, in place of an earlier one, and registers it.
func (sim *fleetSim) startTarget(name string) { sim.register(sim.startUnregistered(name)) }

// startUnregistered starts a run of a target, in place of an earlier one, whose entry stays.
func (sim *fleetSim) startUnregistered(name string) *simTarget {
	sim.stopTarget(name)
	tgt := &simTarget{
		name: name, born: sim.now, up: true, busyUntil: make([]time.Time, sim.slots), told: make(map[string][]toldLimit),
		toldLeaving: make(map[string]time.Time), shownLeaving: make(map[string]time.Time), shownTo: make(map[string]bool),
		entry: registry.Entry{Service: "svc", Address: name + ":80", FailureDomain: sim.domains.of(name), Slots: sim.slots, Born: sim.now},
	}
	sim.tgs, sim.past = append(sim.tgs, tgt), append(sim.past, tgt)
	return tgt
}

func (sim *fleetSim) stopTarget(name string) {
	for _, tgt := range sim.tgs {
		if tgt.name == name {
			tgt.up = false
		}
	}
	sim.tgs = slices.DeleteFunc(sim.tgs, func(tgt *simTarget) bool { return tgt.name == name })
}
