package placement

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

// target is what the placer knows of one target.
type target struct {
	health.Target
	belief   belief
	running  []*attempt
	slower   float64
	lastUsed clock.Instant
	// paths has when VMs last failed at the target, and answered when they last
	// had an answer, since when their connections may be used again.
	paths    map[string]clock.Instant
	answered map[string]clock.Instant
	// suspected is set while the target is believed to be sick.
	suspected bool
	// misses counts the trials that failed since the last answer, up to
	// maxMisses.
	misses int
	// gone is until when the target is not used, since another one answered at its
	// address.
	gone clock.Instant
}

// room returns the number of requests that a target is given at a time, less for
// those that are less urgent, so that the more urgent ones still find a place.
func (tgt *target) room(rank int) int {
	return depth*tgt.Slots - min(max(rank, 0), lowestRank)*tgt.Slots/rankStep
}

// connected reports whether a VM likely has a connection to the target that it
// may use for a request.
func (tgt *target) connected(now clock.Instant, vmm string, idempotent bool) bool {
	fresh := carefulReuse
	if idempotent {
		fresh = repeatableReuse
	}
	at, known := tgt.answered[vmm]
	return known && now.Since(at) < fresh
}

// answers reports whether the target has answered another VM lately.
func (tgt *target) answers(now clock.Instant, vmm string) bool {
	for id, at := range tgt.answered {
		if id != vmm && now.Since(at) < answeringTime {
			return true
		}
	}
	return false
}

// due reports whether a target has had no request for so long that one is sent
// to see how it fares.
func (tgt *target) due(now clock.Instant, sick float64, idempotent bool) bool {
	if len(tgt.running) > 0 {
		return idempotent && sick < triedWaitingBelief && now.Since(tgt.lastUsed) >= waitingIdle
	}
	if sick >= triedBelief {
		return false
	}
	idle := float64(idleTime) + tgt.belief.sick*float64(sickIdleTime)
	idle *= math.Pow(missFactor, float64(max(tgt.misses-1, 0)))
	if idempotent {
		idle *= repeatableIdle
	}
	return float64(now.Since(tgt.lastUsed)) >= idle
}

// pace returns by how much a target is slower than usual.
func (tgt *target) pace(now clock.Instant) float64 {
	if now.Before(tgt.WarmAt) && tgt.slower < coldSlower {
		return coldSlower
	}
	return tgt.slower
}

// wait returns how long a further request waits for a slot.
func (tgt *target) wait(now clock.Instant, lat *latency) time.Duration {
	slots := max(tgt.Slots, 1)
	over := len(tgt.running) + 1 - slots
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(lat.usual()) * tgt.pace(now) * float64(over) / float64(slots))
}
