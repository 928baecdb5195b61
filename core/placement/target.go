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
	belief           belief
	running          []*attempt
	measuredSlowdown float64
	lastUsed         clock.Instant
	// pathFailures has when VMs last failed at the target, and answered when they last
	// had an answer, since when their connections may be used again.
	pathFailures  map[string]clock.Instant
	lastResponses map[string]clock.Instant
	// suspected is set while the target is believed to be sick.
	suspected bool
	// failedTrials counts the trials that failed since the last answer, up to
	// maxMisses.
	failedTrials int
	// avoidUntil is until when the target is not used, since another one answered at its
	// address.
	avoidUntil clock.Instant
}

// capacity returns the number of requests that a target is given at a time, less for
// those that are less urgent, so that the more urgent ones still find a place.
func (tgt *target) capacity(priority int) int {
	return queueDepth*tgt.Slots - min(max(priority, 0), lowestPriority)*tgt.Slots/priorityStep
}

// connected reports whether a VM likely has a connection to the target that it
// may use for a request.
func (tgt *target) connected(now clock.Instant, vmm string, idempotent bool) bool {
	fresh := nonIdempotentReuse
	if idempotent {
		fresh = idempotentReuse
	}
	at, known := tgt.lastResponses[vmm]
	return known && now.Since(at) < fresh
}

// respondsToOthers reports whether the target has answered another VM lately.
func (tgt *target) respondsToOthers(now clock.Instant, vmm string) bool {
	for id, at := range tgt.lastResponses {
		if id != vmm && now.Since(at) < recentResponseTime {
			return true
		}
	}
	return false
}

// trialDue reports whether a target has had no request for so long that one is sent
// to see how it fares.
func (tgt *target) trialDue(now clock.Instant, sick float64, idempotent bool) bool {
	if len(tgt.running) > 0 {
		return idempotent && sick < pendingTrialBelief && now.Since(tgt.lastUsed) >= pendingIdleTime
	}
	if sick >= trialBelief {
		return false
	}
	idle := float64(idleTime) + tgt.belief.sick*float64(sickExtraIdleTime)
	idle *= math.Pow(failedTrialFactor, float64(max(tgt.failedTrials-1, 0)))
	if idempotent {
		idle *= idempotentIdleFactor
	}
	return float64(now.Since(tgt.lastUsed)) >= idle
}

// slowdown returns by how much a target is slower than usual.
func (tgt *target) slowdown(now clock.Instant) float64 {
	if now.Before(tgt.WarmAt) && tgt.measuredSlowdown < coldSlowdown {
		return coldSlowdown
	}
	return tgt.measuredSlowdown
}

// queueWait returns how long a further request waits for a slot.
func (tgt *target) queueWait(now clock.Instant, lat *latency) time.Duration {
	slots := max(tgt.Slots, 1)
	over := len(tgt.running) + 1 - slots
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(lat.median()) * tgt.slowdown(now) * float64(over) / float64(slots))
}
