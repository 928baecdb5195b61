package placement

import (
	"math"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/warmup"
)

// target is the placer's state of one target.
type target struct {
	health.Target
	belief  belief
	running []*attempt
	// measuredSlowdown is how much longer than average the target takes for its requests, as a factor.
	measuredSlowdown float64
	// lastUsed is when a request was last sent to the target.
	lastUsed clock.Instant
	// pathFailures holds the time of the last failure of each VM at the target, and lastResponses that
	// of the last response to each VM, whose connection may be reused since then.
	pathFailures  map[string]clock.Instant
	lastResponses map[string]clock.Instant
	// evidence holds the failures that VMs have reported lately.
	evidence []evidence
	// suspected is set when the probability that the target is sick is above 0.5 at the end of an
	// attempt, or when one becomes overdue, and cleared when it is below 0.25 then. Placer.Suspected
	// goes by the present probability alone and may differ.
	suspected bool
	// failedTrials counts the failed trials since the last response, up to maxFailedTrials.
	failedTrials int
	// avoidUntil is the end of the time in which the target is not used because another target
	// answered at its address.
	avoidUntil clock.Instant
	// allowance is nil unless the target announces a limit.
	allowance *allowance
	// warmup limits what a placer sends to the target with regard to its start, and warmupShare what a VM sends that
	// places alone; nil before the first such request.
	warmup      *warmup.Allowance
	warmupShare *allowance
}

// evidence is a failure that counted against a target.
type evidence struct {
	sender string
	// factor is its Bayes factor.
	factor float64
	at     clock.Instant
}

// blame counts a failure that a VM has reported against the target.
func (tgt *target) blame(now clock.Instant, sender string, factor float64, age time.Duration) {
	tgt.belief.observe(now, factor, age)
	tgt.evidence = slices.DeleteFunc(tgt.evidence, func(evi evidence) bool { return now.Since(evi.at) > evidenceTime })
	tgt.evidence = append(tgt.evidence, evidence{sender: sender, factor: factor, at: now})
}

// excuse takes back the failures that a VM has reported lately.
func (tgt *target) excuse(now clock.Instant, sender string) {
	tgt.evidence = slices.DeleteFunc(tgt.evidence, func(evi evidence) bool {
		if evi.sender != sender {
			return false
		}
		if now.Since(evi.at) <= evidenceTime {
			tgt.belief.observe(now, 1/evi.factor, 0)
		}
		return true
	})
	delete(tgt.pathFailures, sender)
}

// runsSuspected reports whether a request that may crash the target is running there.
func (tgt *target) runsSuspected() bool {
	return slices.ContainsFunc(tgt.running, func(att *attempt) bool { return att.suspected })
}

// connected reports whether a VM likely has a connection to the target that it may reuse for a
// request.
func (tgt *target) connected(now clock.Instant, vmm string, idempotent bool) bool {
	fresh := nonIdempotentReuse
	if idempotent {
		fresh = idempotentReuse
	}
	at, known := tgt.lastResponses[vmm]
	return known && now.Since(at) < fresh
}

// respondsToOthers reports whether another VM got a response of the target within recentResponseTime.
func (tgt *target) respondsToOthers(now clock.Instant, vmm string) bool {
	for id, at := range tgt.lastResponses {
		if id != vmm && now.Since(at) < recentResponseTime {
			return true
		}
	}
	return false
}

// trialDue reports whether the target has got no request for so long that one is to be sent to it as a
// trial, to learn whether it is healthy.
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

// fillSlots records since when requests have a slot, for those that got one at now: the oldest have
// one, as many as there are slots.
func (tgt *target) fillSlots(now clock.Instant) {
	for _, att := range tgt.running[:min(max(tgt.Slots, 1), len(tgt.running))] {
		if !att.inSlot {
			att.inSlot, att.inSlotSince = true, now
		}
	}
}

// slowdown returns the factor by which the target is taken to be slower than average.
func (tgt *target) slowdown(now clock.Instant) float64 {
	if now.Before(tgt.WarmAt) && tgt.measuredSlowdown < coldSlowdown {
		return coldSlowdown
	}
	return tgt.measuredSlowdown
}

// coldLimited reports whether the target is known to be cold and may get few requests for that.
func (tgt *target) coldLimited(now clock.Instant) bool {
	return tgt.Warmup.Limited() && now.Before(tgt.WarmAt)
}
