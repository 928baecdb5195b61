package placement

import (
	"time"

	"marigoldlug.example/core/admission"
	"marigoldlug.example/core/clock"
)

// queueWait returns the expected time for which a further request waits for a slot of a target. It
// goes by the routes of the requests that run there, since these hold the slots.
func (pla *Placer) queueWait(now clock.Instant, tgt *target) time.Duration {
	slots := max(tgt.Slots, 1)
	over := len(tgt.running) + 1 - slots
	if over <= 0 {
		return 0
	}
	var sum time.Duration
	for _, att := range tgt.running {
		sum += pla.latencies[att.route].median()
	}
	mean := float64(sum) / float64(len(tgt.running))
	return time.Duration(mean * tgt.slowdown(now) * float64(over) / float64(slots))
}

// updateMaxWait sets the longest wait for which requests are queued: so long that those of every route
// in use likely meet their latency goal, as far as that is possible. A longer queue serves no request
// more and makes all of them late; and a bound of its own for each route would let the routes with the
// most time fill the queue for all others.
func (pla *Placer) updateMaxWait(now clock.Instant) {
	pla.maxWait = 0
	for _, lat := range pla.latencies {
		est := lat.orElse(pla.overall)
		if lat.goal <= 0 || now.Since(lat.goalAt) > goalTime || !est.reliable() {
			continue
		}
		slack := lat.goal - est.timeAt(slackDevs, 1)
		if slack > 0 && (pla.maxWait == 0 || slack < pla.maxWait) {
			pla.maxWait = slack
		}
	}
}

// queueFull reports whether a request that would wait for a slot of a target for queueWait is too much
// for its queue. One request of the first rank may always wait, so that a slot that becomes free is used at once.
func (pla *Placer) queueFull(tgt *target, rnk admission.Rank, queueWait time.Duration) bool {
	return pla.maxWait > 0 && queueWait > pla.maxWaitOf(rnk) && (rnk > 0 || len(tgt.running) > tgt.Slots)
}

// maxWaitOf returns the longest wait for which requests of a rank are queued.
func (pla *Placer) maxWaitOf(rnk admission.Rank) time.Duration {
	return time.Duration(rnk.WaitShare() * float64(pla.maxWait))
}

// scarce reports whether as many requests run at the targets as these have slots.
func (pla *Placer) scarce() bool {
	running, slots := 0, 0
	for _, tgt := range pla.targets {
		running, slots = running+len(tgt.running), slots+max(tgt.Slots, 1)
	}
	return running >= slots
}

// admission returns what a request competes by.
func (cri Criteria) admission() admission.Request {
	return admission.Request{Priority: cri.Priority, Caller: cri.Caller, Kind: cri.Route}
}

// recordAdmission records whether a request that competes for room was given a target.
func (pla *Placer) recordAdmission(now clock.Instant, cri Criteria, rnk admission.Rank, lat *latency, best candidate, obs obstacles) {
	if cri.Retry || best.target == nil && (obs.wait < 0 || obs.limited) {
		return
	}
	pla.admission.Record(now, cri.admission(), rnk, best.target != nil, lat.median())
}

// timeToRoom returns the expected time until a request that the target has no room for may be placed
// there: until its wait for a slot is short enough, or at least until the next slot becomes free.
func (pla *Placer) timeToRoom(now clock.Instant, cri Criteria, tgt *target, rnk admission.Rank, lat *latency, queueWait time.Duration) time.Duration {
	median := time.Duration(float64(lat.median()) * tgt.slowdown(now))
	over := queueWait + median - cri.TimeLeft
	if pla.maxWait > 0 {
		over = max(over, queueWait-pla.maxWaitOf(rnk))
	}
	return max(over, median/time.Duration(max(tgt.Slots, 1)))
}
