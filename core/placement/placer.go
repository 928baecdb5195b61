package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/admission"
	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/retrybudget"
	"marigoldlug.example/core/warmup"
)

const (
	// overdueFactor is the Bayes factor from which on a request without response counts as failed.
	overdueFactor = 30
	// recentResponseTime is how long after a response to one VM the failure of another VM to connect
	// to the target is attributed to the network path between the two.
	recentResponseTime = time.Second
	// pathAvoidTime is how long after a failure of a VM at a target failedPathCost is added for that target
	// to the further requests of the VM.
	pathAvoidTime = 4 * time.Second
	// pathRepeatTime is how long after a failure of a VM at a target its next failure there counts
	// against the network path only, not against the target.
	pathRepeatTime = 3 * time.Second
	// evidenceTime is how long failures can be taken back that a VM has reported.
	evidenceTime = 4 * time.Second
	// nonIdempotentReuse and idempotentReuse are how long after a response a connection is reused for
	// requests that are not idempotent and for those that are.
	nonIdempotentReuse = 4500 * time.Millisecond
	idempotentReuse    = 9 * time.Second
	// slowdownWeight is the weight of one response in the moving average of a target's slowdown.
	slowdownWeight = 0.2
	// minSlowdown and maxSlowdown bound the measured slowdown and each response's part in it.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// coldSlowdown is the least slowdown assumed of a target until it is warm.
	coldSlowdown = 2.0
	// lostTime is how long after its deadline an attempt whose end was not reported is dropped.
	lostTime = time.Second
	// idleTime is how long a healthy target gets no request until one is sent to it as a trial. For a
	// target that was certainly sick at the last evidence, sickExtraIdleTime is added; for a less
	// certain one, less in proportion. For idempotent requests, which can be retried, the time is
	// multiplied by idempotentIdleFactor.
	idleTime             = time.Second
	sickExtraIdleTime    = 2500 * time.Millisecond
	idempotentIdleFactor = 0.6
	// failedTrialFactor multiplies the idle time for each failed trial after the first, with at most
	// maxFailedTrials counted: a target that has been sick for long is likely to stay sick.
	failedTrialFactor = 1.4
	maxFailedTrials   = 3
	// misdirectedTime is how long a target is not used after another target answered at its address.
	// The next request then finds out whether that is still so. If the target restarts or its address
	// changes, it is used again at once.
	misdirectedTime = 10 * time.Second
	// maxLateShare is the expected share of requests that would miss their deadlines at a target,
	// above which the target gets none of them, and maxQueuedLateShare that of requests which have to
	// wait for a slot.
	maxLateShare       = 0.85
	maxQueuedLateShare = 0.5
	// balanceInterval is how often the slowdowns are related to their mean again.
	balanceInterval = time.Second
	// goalTime is how long after its last request a route's latency goal bounds the queues.
	goalTime = 5 * time.Second
	// pendingIdleTime is how long a target with running requests gets no further one until an
	// idempotent one is sent to it as a trial. Long requests without response make a healthy target
	// look sick, so it is tried up to the higher belief of pendingTrialBelief.
	pendingIdleTime    = 1200 * time.Millisecond
	pendingTrialBelief = 0.75
	// trialBelief is the belief from which on a target without running requests gets no trial.
	trialBelief = 0.6
)

// AttemptID identifies an attempt by its VM and the number that the VM gave it.
type AttemptID struct {
	VM     string
	Number uint64
}

// attempt is one sending of a request to a target.
type attempt struct {
	id     AttemptID
	target *target
	// forwarded is set if another VM forwards the request to the target: forwarder, which is empty if the
	// placer knew none.
	forwarded  bool
	forwarder  string
	route      string
	idempotent bool
	began      clock.Instant
	deadline   clock.Instant
	// queueWait is the time for which the request was expected to wait for a slot.
	queueWait time.Duration
	// inSlot is set once the request likely has a slot, and inSlotSince is since when: from the start
	// if the target had a free one, else since so many of the earlier requests there have ended.
	inSlot      bool
	inSlotSince clock.Instant
	// overdue is set once the missing response has been counted as a failure.
	overdue bool
	// trial is set if the target was suspected and had no other request when this one was sent. Only
	// these trials are hedged early and counted in failedTrials, not those of targets that were
	// merely idle.
	trial bool
	// suspected is as in Criteria.
	suspected bool
	// first is set if the attempt was placed here as the first one of its request.
	first bool
}

// sender returns the VM that sends the request to the target; empty if it is not known.
func (att *attempt) sender() string {
	if att.forwarded {
		return att.forwarder
	}
	return att.id.VM
}

// served returns for how long the request has likely been worked on.
func (att *attempt) served(now clock.Instant) time.Duration {
	if !att.inSlot {
		return 0
	}
	return now.Mono - att.inSlotSince.Mono
}

// pending returns for how long a response has been due, as evidence that the target is sick. Other
// than served it goes on while earlier requests hang: these may hold no slot.
func (att *attempt) pending(now clock.Instant) time.Duration {
	return max(att.served(now), now.Mono-att.began.Mono-att.queueWait)
}

// SuspicionChange says that a target became suspected or is trusted again.
type SuspicionChange struct {
	Target string
	// Sick is the probability that the target is sick.
	Sick float64
	// Suspected is set if the target became suspected, and not if it is trusted again.
	Suspected bool
	// Cause is the outcome that led to the change, and VM the VM at which it was observed.
	Cause string
	VM    string
}

// Placer places the requests of one partition of a service. It is not safe for concurrent use.
type Placer struct {
	rnd       *rand.Rand
	targets   []*target
	attempts  map[AttemptID]*attempt
	latencies map[string]*latency
	// overall is the estimate for all routes together; nil before the first request.
	overall *latency
	budget  *retrybudget.Budget
	// announcements and limiter say which targets get requests by what they announce and by whether they may be cold.
	announcements Announcements
	limiter       Limiter
	forwarders    forwarders
	// admission says which requests get places that are scarce.
	admission *admission.Book
	// limitRetryAt is the latest time at which callers were told to return that were refused for limits.
	limitRetryAt clock.Instant
	changes      []SuspicionChange
	// maxWait is the longest wait for a slot for which requests are queued, 0 if there is no such bound;
	// see updateMaxWait.
	maxWait time.Duration
	// balancedAt is when balanceSlowdowns last ran.
	balancedAt clock.Instant
	// prunedAt is when prune last dropped old responses.
	prunedAt clock.Instant
}

// New returns a placer without targets, which takes retries from the given budget and keeps to what
// targets announce.
func New(rnd *rand.Rand, bud *retrybudget.Budget, ann Announcements, lim Limiter) *Placer {
	return &Placer{
		rnd: rnd, budget: bud, announcements: ann, limiter: lim, attempts: make(map[AttemptID]*attempt), latencies: make(map[string]*latency),
		forwarders: newForwarders(), admission: admission.New(),
	}
}

// DrainChanges returns the changes since the last call and clears them.
func (pla *Placer) DrainChanges() []SuspicionChange {
	out := pla.changes
	pla.changes = nil
	return out
}

// SetTargets replaces the targets. It keeps the state of those whose ID, start and address are the
// same. Any other starts with half of stationaryBelief, and as if it was last used idleTime ago, so
// that a trial of it is due at once for an idempotent request and a little later for another.
func (pla *Placer) SetTargets(now clock.Instant, tgs []health.Target) {
	old := pla.targets
	pla.targets = nil
	for _, tgt := range tgs {
		idx := slices.IndexFunc(old, func(was *target) bool { return was.ID == tgt.ID && was.Born == tgt.Born && was.Address == tgt.Address })
		if idx >= 0 {
			old[idx].Target = tgt
			pla.targets = append(pla.targets, old[idx])
			continue
		}
		pla.targets = append(pla.targets, &target{
			Target: tgt, belief: belief{sick: stationaryBelief / 2, asOf: now}, measuredSlowdown: 1, lastUsed: now.Add(-idleTime),
			pathFailures: make(map[string]clock.Instant), lastResponses: make(map[string]clock.Instant), warmup: warmup.NewAllowance(now),
		})
	}
}

// Inherit records that another placer may have sent requests to the targets until now, as is assumed of targets that
// are new to this placer.
func (pla *Placer) Inherit(now clock.Instant) {
	for _, tgt := range pla.targets {
		tgt.warmup = warmup.NewAllowance(now)
	}
}

func (pla *Placer) target(id string) *target {
	idx := slices.IndexFunc(pla.targets, func(tgt *target) bool { return tgt.ID == id })
	if idx < 0 {
		return nil
	}
	return pla.targets[idx]
}

// Target returns the target with the given ID.
func (pla *Placer) Target(id string) (health.Target, bool) {
	tgt := pla.target(id)
	if tgt == nil {
		return health.Target{}, false
	}
	return tgt.Target, true
}

// latency returns the estimate for a route. If there is none yet, it adds one, for which timeLeft is
// used if it is the first of all; see newLatency.
func (pla *Placer) latency(route string, timeLeft time.Duration) *latency {
	lat := pla.latencies[route]
	if lat != nil {
		return lat
	}
	if pla.overall == nil {
		pla.overall = newLatency(timeLeft)
	}
	lat = pla.overall.forNewRoute()
	pla.latencies[route] = lat
	return lat
}

// Place chooses a target for a request and records the attempt. If there is no target for it, the
// answer says why.
func (pla *Placer) Place(now clock.Instant, aid AttemptID, cri Criteria) Answer {
	lat := pla.latency(cri.Route, cri.TimeToGoal)
	if !cri.Retry {
		lat.goal, lat.goalAt = cri.TimeToGoal, now
	}
	pla.forwarders.note(aid.VM, cri)
	rnk := pla.admission.Rank(now, cri.admission(), pla.scarce())
	best, obs := pla.choose(now, aid.VM, cri, rnk, lat)
	pla.recordAdmission(now, cri, rnk, lat, best, obs)
	switch {
	case best.target == nil:
		return pla.refusal(now, aid, rnk, obs)
	case !cri.Retry:
		pla.budget.CountRequest(now)
	case !pla.budget.Take(now, cri.claim(lat)):
		return Answer{Number: aid.Number, Reason: NoRetry, RetryAfter: pla.retryWait(now, cri, lat)}
	}
	tgt := best.target
	pla.spend(now, tgt)
	forwarder := ""
	if cri.PathsLost {
		forwarder = pla.forwarder(now, aid.VM, cri, tgt)
	}
	trial := tgt.suspected && len(tgt.running) == 0
	pla.begin(now, &attempt{
		id: aid, target: tgt, route: cri.Route, idempotent: cri.Idempotent, began: now, deadline: now.Add(cri.TimeLeft), queueWait: best.queueWait,
		first: !cri.Retry, trial: trial, suspected: cri.Suspected, forwarded: cri.PathsLost, forwarder: forwarder,
	})
	run := attemptTiming{latency: lat, slowdown: tgt.slowdown(now), sick: tgt.belief.now(now), queueWait: best.queueWait, timeLeft: cri.TimeLeft}
	return Answer{Number: aid.Number, Target: tgt.ID, ReplaceAfter: run.replaceAfter(), HedgeAfter: run.hedgeAfter(cri.Retry, trial), Forwarder: forwarder}
}

func (pla *Placer) begin(now clock.Instant, att *attempt) {
	att.target.running = append(att.target.running, att)
	att.target.fillSlots(att.began)
	att.target.lastUsed = now
	pla.attempts[att.id] = att
}

// sick returns the probability that a target is sick, where the requests that it has not answered yet
// are evidence too.
func (pla *Placer) sick(now clock.Instant, tgt *target) float64 {
	sick := tgt.belief.now(now)
	for _, att := range tgt.running {
		if !att.overdue {
			sick = update(sick, pla.pendingEvidence(now, att))
		}
	}
	return clamp(sick)
}

// pendingEvidence returns the Bayes factor of a request without response.
func (pla *Placer) pendingEvidence(now clock.Instant, att *attempt) float64 {
	lat := pla.latencies[att.route]
	return pendingFactor(lat.survival(att.pending(now), att.target.slowdown(now)))
}

// Ended records the outcome of an attempt.
func (pla *Placer) Ended(now clock.Instant, aid AttemptID, outcome health.Outcome) {
	att := pla.attempts[aid]
	if att == nil {
		return
	}
	tgt := att.target
	took, served, pending := now.Mono-att.began.Mono, att.served(now), att.pending(now)
	pla.remove(now, att)
	switch outcome {
	case health.Success:
		pla.succeeded(now, att, took, served)
	case health.Failure:
		if !att.overdue {
			pla.recordFailure(now, att, failedFactor, took, "failed")
		}
	case health.Overdue:
		pla.abandoned(now, att, pending)
	case health.ServerError:
		if !att.overdue {
			pla.recordFailure(now, att, serverErrorFactor, took, "erred")
		}
	case health.Unreachable:
		factor := float64(unreachableFactor)
		if tgt.respondsToOthers(now, att.sender()) {
			factor = 1 // Other VMs reach the target, so the network path of this VM is at fault.
		}
		delete(tgt.lastResponses, att.sender())
		pla.recordFailure(now, att, factor, 0, "unreachable")
	case health.Misdirected:
		tgt.avoidUntil = now.Add(misdirectedTime)
	case health.NotForwarded:
		pla.forwarders.unfitUntil[att.sender()] = now.Add(unfitTime)
	case health.Shed, health.Canceled:
	}
	if att.first && neverSent(outcome) {
		pla.budget.WithdrawRequest(now) // It may be placed again as a first attempt, here or elsewhere.
	}
	pla.updateSuspicion(now, tgt, outcome.String(), att.sender())
}

// neverSent reports whether an attempt with the outcome may not have reached its target.
func neverSent(outcome health.Outcome) bool {
	return outcome == health.Canceled || outcome == health.Unreachable || outcome == health.NotForwarded
}

func (pla *Placer) succeeded(now clock.Instant, att *attempt, took, served time.Duration) {
	tgt := att.target
	factor := successFactor
	if att.overdue {
		// The response came after the attempt had been counted as failed; this takes that back.
		factor /= overdueFactor
	}
	tgt.belief.observe(now, factor, took)
	tgt.failedTrials = 0
	delete(tgt.pathFailures, att.sender())
	tgt.lastResponses[att.sender()] = now
	lat := pla.latencies[att.route]
	// When it got its slot is only likely: at least a quarter of the time counts as spent on the request.
	served = max(served, took/4)
	normalised := time.Duration(float64(served) / tgt.slowdown(now))
	lat.add(normalised)
	pla.overall.add(normalised)
	if !now.Before(tgt.WarmAt) {
		ratio := served.Seconds() / max(lat.median().Seconds(), 1e-4)
		tgt.measuredSlowdown += slowdownWeight * (min(max(ratio, minSlowdown), maxSlowdown) - tgt.measuredSlowdown)
		tgt.measuredSlowdown = min(max(tgt.measuredSlowdown, minSlowdown), maxSlowdown)
	}
}

// abandoned records an attempt that was given up before its response came. The longer it was waited
// for, the stronger the evidence against the target. The estimate of the latency takes the attempt as
// a censored sample, since it may just have needed more time.
func (pla *Placer) abandoned(now clock.Instant, att *attempt, waited time.Duration) {
	lat, slowdown := pla.latencies[att.route], att.target.slowdown(now)
	lost := sickFailShare * att.target.belief.now(now)
	slow := (1 - lost) * lat.survival(waited, slowdown)
	lat.addCensored(time.Duration(float64(waited)/slowdown), slow/(slow+lost))
	if !att.overdue {
		pla.recordFailure(now, att, pla.pendingEvidence(now, att), waited, "overdue")
	}
}

// recordFailure records evidence against a target. Further failures of the same VM at the same target
// count against the network path between the two only, as long as each follows the previous one within
// pathRepeatTime.
func (pla *Placer) recordFailure(now clock.Instant, att *attempt, factor float64, age time.Duration, cause string) {
	tgt := att.target
	at, before := tgt.pathFailures[att.sender()]
	if !before || now.Since(at) > pathRepeatTime {
		tgt.blame(now, att.sender(), factor, age)
		if att.trial {
			tgt.failedTrials = min(tgt.failedTrials+1, maxFailedTrials)
		}
	}
	tgt.pathFailures[att.sender()] = now
	pla.updateSuspicion(now, tgt, cause, att.sender())
}

// updateSuspicion marks a target as suspected or trusted by its probability to be sick, and records a
// change of that. The thresholds, 0.5 and 0.25, lie apart, so that the mark does not flap. The mark
// changes only here, when an attempt ends or becomes overdue, so it may differ from what Suspected
// returns.
func (pla *Placer) updateSuspicion(now clock.Instant, tgt *target, cause, vmm string) {
	sick := pla.sick(now, tgt)
	switch {
	case !tgt.suspected && sick > 0.5:
		tgt.suspected = true
	case tgt.suspected && sick < 0.25:
		tgt.suspected = false
	default:
		return
	}
	pla.changes = append(pla.changes, SuspicionChange{Target: tgt.ID, Sick: sick, Suspected: tgt.suspected, Cause: cause, VM: vmm})
}

func (pla *Placer) remove(now clock.Instant, att *attempt) {
	delete(pla.attempts, att.id)
	att.target.running = slices.DeleteFunc(att.target.running, func(one *attempt) bool { return one == att })
	att.target.fillSlots(now)
}

// Track adds a running attempt that another placer placed.
func (pla *Placer) Track(now clock.Instant, vmm string, run RunningAttempt) {
	aid := AttemptID{VM: vmm, Number: run.Number}
	tgt := pla.target(run.Target)
	if tgt == nil || pla.attempts[aid] != nil {
		return
	}
	pla.latency(run.Route, run.TimeLeft)
	pla.begin(now, &attempt{id: aid, target: tgt, route: run.Route, began: now.Add(-run.Age), deadline: now.Add(run.TimeLeft)})
}

// Tick counts overdue attempts as failed, and drops those whose end was not reported in time.
func (pla *Placer) Tick(now clock.Instant) {
	pla.prune(now)
	if len(pla.attempts) == 0 {
		return // Nothing is overdue or waits.
	}
	if now.Since(pla.balancedAt) >= balanceInterval {
		pla.balancedAt = now
		pla.balanceSlowdowns()
	}
	pla.updateMaxWait(now)
	var lost []*attempt
	for _, tgt := range pla.targets {
		for _, att := range tgt.running {
			if !att.overdue && pla.pendingEvidence(now, att) >= overdueFactor {
				att.overdue = true
				pla.recordFailure(now, att, overdueFactor, att.pending(now), "overdue")
			}
			if now.Since(att.deadline) > lostTime {
				lost = append(lost, att)
			}
		}
	}
	for _, att := range lost {
		pla.remove(now, att)
	}
}

// prune drops the times of responses whose connections are too old to be reused.
func (pla *Placer) prune(now clock.Instant) {
	if now.Since(pla.prunedAt) < idempotentReuse {
		return
	}
	pla.prunedAt = now
	for _, tgt := range pla.targets {
		maps.DeleteFunc(tgt.lastResponses, func(_ string, at clock.Instant) bool { return now.Since(at) > idempotentReuse })
	}
}

// ForgetVM drops the attempts of a VM that has exited.
func (pla *Placer) ForgetVM(now clock.Instant, vmm string) {
	for aid, att := range pla.attempts {
		if aid.VM == vmm {
			pla.remove(now, att)
		}
	}
	pla.forwarders.forget(vmm)
}

// Sick returns the probability that the target with the given ID is sick; 0 if there is no such target.
func (pla *Placer) Sick(now clock.Instant, id string) float64 {
	if tgt := pla.target(id); tgt != nil {
		return pla.sick(now, tgt)
	}
	return 0
}

// Load returns the load of the targets that get requests at present. It leaves out targets that are suspected,
// leaving, limited or avoided, since their free slots are no room for further requests.
func (pla *Placer) Load(now clock.Instant) balance.Load {
	requests, slots := 0, 0
	for _, tgt := range pla.targets {
		run := health.RunOf(tgt.Target)
		if tgt.suspected || now.Before(tgt.avoidUntil) || pla.announcements.Leaving(run) || pla.announcements.Limit(run).Limited {
			continue
		}
		requests += len(tgt.running)
		slots += max(tgt.Slots, 1)
	}
	return balance.LoadOf(requests, slots)
}

// Running returns the number of requests that run at a target as far as the placer knows, and 0 if it does
// not know the target.
func (pla *Placer) Running(id string) int {
	if tgt := pla.target(id); tgt != nil {
		return len(tgt.running)
	}
	return 0
}

// Suspected returns the sorted IDs of the targets that are more likely sick than healthy by the
// present estimate. The mark target.suspected, on which trials and log entries depend, has hysteresis
// and may differ.
func (pla *Placer) Suspected(now clock.Instant) []string {
	var out []string
	for _, tgt := range pla.targets {
		if pla.sick(now, tgt) > 0.5 {
			out = append(out, tgt.ID)
		}
	}
	slices.Sort(out)
	return out
}
