package placement

import (
	"cmp"
	"slices"
	"time"

	"marigoldlug.example/core/admission"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/rate"
)

// The costs of a placement, as fractions of the value of a request.
const (
	// failCost is the cost of a failed attempt, and retryableFailCost that of the first attempt of an
	// idempotent request, which can be retried.
	failCost          = 1.0
	retryableFailCost = 0.4
	// lateCost is the cost of a response after the latency goal.
	lateCost = 0.7
	// failedPathCost is the cost of a target at which the VM failed within pathAvoidTime.
	failedPathCost = 0.5
	// crossDomainCost is the cost of a target in another failure domain.
	crossDomainCost = 0.03
	// largeCrossDomainCost is that for a large response, of some hundred times the bytes of others. It outweighs the
	// load of a target with a full queue, but neither a target that is likely sick nor a late response.
	largeCrossDomainCost = 0.3
	// loadCost is the cost of a target whose slots are all in use; it grows with the requests there.
	loadCost = 0.15
	// suspectedCost is the cost for a request of running beside one that may crash the target, and for such
	// a one of each request that it would run beside.
	suspectedCost = 0.6
	// connectCost is the cost of a new connection.
	connectCost = 0.03
)

// candidate is a target to which a request may be sent, and the cost of that.
type candidate struct {
	target    *target
	cost      float64
	queueWait time.Duration
}

// obstacles says why no target can take a request.
type obstacles struct {
	// wait is the shortest time until a target may take the request; negative if there is no target.
	wait time.Duration
	// limits is the sum of the rates of the targets that have room and get nothing now only because of a limit
	// that they announce or since they may be cold. limited is set if there is such a target.
	limited bool
	limits  rate.PerSecond
}

// add adds a target that cannot take the request for a time.
func (obs *obstacles) add(wait time.Duration) {
	if obs.wait < 0 || wait < obs.wait {
		obs.wait = wait
	}
}

// refusal returns the answer to a request that no target can take.
func (pla *Placer) refusal(now clock.Instant, aid AttemptID, rnk admission.Rank, obs obstacles) Answer {
	switch {
	case obs.wait < 0:
		return Answer{Number: aid.Number, Reason: NoTargetLeft}
	case obs.limited:
		return Answer{Number: aid.Number, Reason: Limited, Limits: obs.limits, RetryAfter: pla.limitRetry(now, obs.wait, obs.limits)}
	}
	return Answer{Number: aid.Number, Reason: NoRoom, RetryAfter: pla.admission.RetryAfter(now, rnk, max(obs.wait, time.Millisecond))}
}

// choose returns the candidate of least cost. If there is none, best.target is nil, and obs says why.
func (pla *Placer) choose(now clock.Instant, vmm string, cri Criteria, rnk admission.Rank, lat *latency) (best candidate, obs obstacles) {
	obs.wait = -1
	est := lat.orElse(pla.overall)
	for _, at := range pla.rnd.Perm(len(pla.targets)) {
		tgt := pla.targets[at]
		if now.Before(tgt.avoidUntil) || slices.Contains(cri.Tried, tgt.ID) || pla.announcements.Leaving(health.RunOf(tgt.Target)) {
			continue
		}
		queueWait := pla.queueWait(now, tgt)
		lim, limitWait := pla.limitWait(now, tgt)
		warmupWait, warmupRate := pla.warmupWait(now, tgt)
		limitWait = max(limitWait, warmupWait)
		if cri.Hedge && (queueWait > 0 || lim.Limited || tgt.coldLimited(now)) {
			obs.wait = max(obs.wait, 0)
			continue // A hedge must not take a slot for which other requests wait, nor what a limit leaves.
		}
		if est.late(cri.TimeLeft, queueWait, tgt.slowdown(now)) || len(tgt.running) >= rnk.Limit(tgt.Slots) || pla.queueFull(tgt, rnk, queueWait) {
			obs.add(max(pla.timeToRoom(now, cri, tgt, rnk, lat, queueWait), limitWait))
			continue
		}
		if cri.Suspected && tgt.runsSuspected() {
			obs.add(queueWait) // Two suspects at one target could not be told apart.
			continue
		}
		if limitWait > 0 {
			obs.add(limitWait)
			obs.limited, obs.limits = true, obs.limits+cmp.Or(lim.Rate, warmupRate)
			continue
		}
		can := candidate{target: tgt, queueWait: queueWait, cost: pla.cost(now, vmm, cri, lat, tgt, queueWait)}
		if best.target == nil || can.cost < best.cost {
			best = can
		}
	}
	return best, obs
}

// pathCost returns the part of the cost that depends on the path between a VM and a target.
func (pla *Placer) pathCost(now clock.Instant, vmm string, cri Criteria, tgt *target) float64 {
	cost := 0.0
	if !tgt.connected(now, vmm, cri.Idempotent) {
		cost += connectCost
	}
	if at, failed := tgt.pathFailures[vmm]; failed && now.Since(at) < pathAvoidTime {
		cost += failedPathCost
	}
	return cost
}

// cost returns the expected cost of a placement, as a fraction of the value of the request.
func (pla *Placer) cost(now clock.Instant, vmm string, cri Criteria, lat *latency, tgt *target, queueWait time.Duration) float64 {
	sick := pla.sick(now, tgt)
	fail := failCost
	if cri.Idempotent && !cri.Retry {
		fail = retryableFailCost
	}
	cost := sickFailShare * sick * fail
	cost += lateCost * lat.survival(max(cri.TimeToGoal-queueWait, 0), tgt.slowdown(now))
	cost += loadCost * float64(len(tgt.running)) / float64(max(tgt.Slots, 1))
	if tgt.FailureDomain != cri.Domain {
		cost += cri.crossDomainCost()
	}
	switch {
	case cri.Suspected:
		cost += suspectedCost * float64(len(tgt.running))
	case tgt.runsSuspected():
		cost += suspectedCost
	}
	if !cri.PathsLost {
		cost += pla.pathCost(now, vmm, cri, tgt)
	}
	if !cri.Retry && tgt.trialDue(now, sick, cri.Idempotent) {
		cost -= failCost // The target's state is unknown; this request is its trial.
	}
	return cost
}
