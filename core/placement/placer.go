package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

const (
	// overdueFactor is the evidence at which a request without answer counts
	// as failed.
	overdueFactor = 30
	// recentResponseTime is how long ago a target may have answered one VM if the
	// failure of another to connect is taken for that of its path.
	recentResponseTime = time.Second
	// pathAvoidTime is how long a target is avoided from a VM that failed there.
	pathAvoidTime = 4 * time.Second
	// pathRepeatTime is how long further failures of the same VM at the same target
	// count against the path only.
	pathRepeatTime = 3 * time.Second
	// nonIdempotentReuse and repeatableReuse are how long after an answer a connection
	// is used for requests that cannot and that can be repeated.
	nonIdempotentReuse = 900 * time.Millisecond
	idempotentReuse    = 5 * time.Second
	// slowdownWeight is the weight of one answer in the estimate of a target's
	// speed.
	slowdownWeight = 0.2
	minSlowdown    = 0.5
	maxSlowdown    = 20.0
	// coldSlowdown is how much slower a target is taken to be until it is warm.
	coldSlowdown = 2.0
	// queueDepth is how many times its slots a target is given at a time. Each rank
	// below the highest, down to lowestRank, leaves a part of its slots free.
	queueDepth     = 3
	lowestPriority = 2
	priorityStep   = 2
	// lostTime is how long after its deadline an attempt is forgotten whose end
	// was not reported.
	lostTime = time.Second
	// idleTime is how long a sound target stays without requests until one is
	// sent to see how it fares, and sickIdleTime how much longer one does that
	// was surely sick when it was last heard of. Requests that can be repeated
	// go sooner.
	idleTime             = time.Second
	sickExtraIdleTime    = 2500 * time.Millisecond
	idempotentIdleFactor = 0.6
	// failedTrialFactor is by how much longer a target stays without requests for each
	// trial that failed but the first, up to maxMisses of them: what has been sick
	// for long is likely to stay so.
	failedTrialFactor = 1.4
	maxFailedTrials   = 3
	// misdirectedTime is how long a target is not used after another one answered at its
	// address. Then one request asks again, unless its entry has changed.
	misdirectedTime = 10 * time.Second
	// maxLateShare is the part of requests that would miss their deadlines from
	// which none is sent.
	maxLateShare = 0.85
	// pendingIdleTime is how long a target whose requests last long stays without a
	// further one that can be repeated. The missing answers make it look sick,
	// so that it is tried up to a belief of triedWaitingBelief.
	pendingIdleTime    = 1200 * time.Millisecond
	pendingTrialBelief = 0.75
	// trialBelief is the belief above which no other target is tried.
	trialBelief = 0.6
)

// The costs of a placement, in parts of what a request is worth.
const (
	failCost        = 1.0
	failAgainCost   = 0.4
	lateCost        = 0.7
	pathCost        = 0.5
	crossDomainCost = 0.03
	loadCost        = 0.15
	// connectCost is that of a new connection.
	connectCost = 0.015
)

// AttemptID names an attempt: the number that its VM gave it.
type AttemptID struct {
	VM     string
	Number uint64
}

// attempt is a request at a target.
type attempt struct {
	id         AttemptID
	target     *target
	route      string
	idempotent bool
	began      clock.Instant
	deadline   clock.Instant
	// queueWait is how long the request was expected to wait for a slot.
	queueWait time.Duration
	// overdue is set once the missing answer has been counted.
	overdue bool
	// trial is set where the target was suspected when the request was sent.
	trial bool
}

// SuspicionChange is a change of belief about a target.
type SuspicionChange struct {
	Target string
	// Sick is the probability that the target is sick.
	Sick      float64
	Suspected bool
	// Cause is what was observed, by VM.
	Cause string
	VM    string
}

// Placer places the requests of a part of one service. It is not safe for
// concurrent use.
type Placer struct {
	rnd       *rand.Rand
	targets   []*target
	attempts  map[AttemptID]*attempt
	latencies map[string]*latency
	// overall is the estimate for all routes together.
	overall *latency
	budget  *request.RetryBudget
	changes []SuspicionChange
	// prunedAt is when the answers that are too old to matter were last dropped.
	prunedAt clock.Instant
}

// New returns a placer without targets, whose retries are bounded by a budget.
func New(rnd *rand.Rand, bud *request.RetryBudget) *Placer {
	return &Placer{rnd: rnd, budget: bud, attempts: make(map[AttemptID]*attempt), latencies: make(map[string]*latency)}
}

// DrainChanges returns and forgets the changes of belief.
func (pla *Placer) DrainChanges() []SuspicionChange {
	out := pla.changes
	pla.changes = nil
	return out
}

// SetTargets replaces the targets and keeps what is known of those that stay.
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
			pathFailures: make(map[string]clock.Instant), lastResponses: make(map[string]clock.Instant),
		})
	}
}

func (pla *Placer) target(id string) *target {
	idx := slices.IndexFunc(pla.targets, func(tgt *target) bool { return tgt.ID == id })
	if idx < 0 {
		return nil
	}
	return pla.targets[idx]
}

// Target returns the target with an ID.
func (pla *Placer) Target(id string) (health.Target, bool) {
	tgt := pla.target(id)
	if tgt == nil {
		return health.Target{}, false
	}
	return tgt.Target, true
}

// latency returns the estimate for a route.
func (pla *Placer) latency(route string, goal time.Duration) *latency {
	lat := pla.latencies[route]
	if lat != nil {
		return lat
	}
	if pla.overall == nil {
		pla.overall = newLatency(goal)
	}
	lat = pla.overall.forNewRoute()
	pla.latencies[route] = lat
	return lat
}

// candidate is a target that a request may be sent to, and what that costs.
type candidate struct {
	target    *target
	cost      float64
	queueWait time.Duration
}

// Place chooses a target and counts the attempt, or says why there is none.
func (pla *Placer) Place(now clock.Instant, aid AttemptID, cri Criteria) Answer {
	if !cri.Retry {
		pla.budget.Deposit(now)
	}
	lat := pla.latency(cri.Route, cri.TimeToGoal)
	best, shortestWait := pla.choose(now, aid.VM, cri, lat)
	switch {
	case best.target != nil && cri.Retry && !pla.budget.Withdraw(now, cri.budget()):
		return Answer{Number: aid.Number, Reason: NoRetry}
	case best.target == nil && shortestWait < 0:
		return Answer{Number: aid.Number, Reason: NoTarget}
	case best.target == nil:
		return Answer{Number: aid.Number, Reason: NoRoom, RetryAfter: max(shortestWait, time.Millisecond)}
	}
	tgt := best.target
	trial := tgt.suspected && len(tgt.running) == 0
	pla.begin(now, &attempt{
		id: aid, target: tgt, route: cri.Route, idempotent: cri.Idempotent, began: now, deadline: now.Add(cri.TimeLeft), queueWait: best.queueWait,
		trial: trial,
	})
	replaceAfter := min(best.queueWait+lat.timeAt(replaceDevs, tgt.slowdown(now)), lat.latestRetry(cri.TimeLeft))
	return Answer{
		Number: aid.Number, Target: tgt.ID, ReplaceAfter: replaceAfter, HedgeAfter: min(best.queueWait+lat.hedgeAfter(cri, tgt.slowdown(now), trial), replaceAfter),
	}
}

func (pla *Placer) begin(now clock.Instant, att *attempt) {
	att.target.running = append(att.target.running, att)
	att.target.lastUsed = now
	pla.attempts[att.id] = att
}

// choose returns the option of least cost, or the shortest wait for one.
// shortest is negative where there is no target at all.
func (pla *Placer) choose(now clock.Instant, vmm string, cri Criteria, lat *latency) (best candidate, shortestWait time.Duration) {
	shortestWait = -1
	for _, at := range pla.rnd.Perm(len(pla.targets)) {
		tgt := pla.targets[at]
		if now.Before(tgt.avoidUntil) || slices.Contains(cri.Tried, tgt.ID) {
			continue
		}
		queueWait := tgt.queueWait(now, lat)
		if cri.Hedge && queueWait > 0 {
			shortestWait = max(shortestWait, 0)
			continue // A second attempt beside the first takes no place that others need.
		}
		median := time.Duration(float64(lat.median()) * tgt.slowdown(now))
		if len(tgt.running) >= tgt.capacity(cri.Priority) || lat.reliable() && lat.survival(cri.TimeLeft-queueWait, tgt.slowdown(now)) > maxLateShare {
			if over := max(queueWait+median-cri.TimeLeft, median/time.Duration(max(tgt.Slots, 1))); shortestWait < 0 || over < shortestWait {
				shortestWait = over
			}
			continue
		}
		can := candidate{target: tgt, queueWait: queueWait, cost: pla.cost(now, vmm, cri, lat, tgt, queueWait)}
		if best.target == nil || can.cost < best.cost {
			best = can
		}
	}
	return best, shortestWait
}

// cost returns what a placement costs, in parts of what the request is worth.
func (pla *Placer) cost(now clock.Instant, vmm string, cri Criteria, lat *latency, tgt *target, queueWait time.Duration) float64 {
	sick := pla.sick(now, tgt)
	fail := failCost
	if cri.Idempotent && !cri.Retry {
		fail = failAgainCost
	}
	cost := sickFailShare * sick * fail
	cost += lateCost * lat.survival(max(cri.TimeToGoal-queueWait, 0), tgt.slowdown(now))
	cost += loadCost * float64(len(tgt.running)) / float64(max(tgt.Slots, 1))
	if tgt.FailureDomain != cri.Domain {
		cost += crossDomainCost
	}
	if !tgt.connected(now, vmm, cri.Idempotent) {
		cost += connectCost
	}
	if at, failed := tgt.pathFailures[vmm]; failed && now.Since(at) < pathAvoidTime {
		cost += pathCost
	}
	if !cri.Retry && tgt.trialDue(now, sick, cri.Idempotent) {
		cost -= failCost // Nobody knows how it fares; this request tells.
	}
	return cost
}

// sick returns the probability that a target is sick, in view of what runs
// there without answer.
func (pla *Placer) sick(now clock.Instant, tgt *target) float64 {
	sick := tgt.belief.now(now)
	for _, att := range tgt.running {
		if !att.overdue {
			sick = update(sick, pla.pendingEvidence(now, att))
		}
	}
	return clamp(sick)
}

// pendingEvidence returns the evidence of a request without answer.
func (pla *Placer) pendingEvidence(now clock.Instant, att *attempt) float64 {
	lat := pla.latencies[att.route]
	return pendingFactor(lat.survival(now.Mono-att.began.Mono-att.queueWait, att.target.slowdown(now)))
}

// Ended takes what became of an attempt.
func (pla *Placer) Ended(now clock.Instant, aid AttemptID, outcome health.Outcome) {
	att := pla.attempts[aid]
	if att == nil {
		return
	}
	pla.remove(att)
	tgt := att.target
	took := now.Mono - att.began.Mono
	switch outcome {
	case health.Success:
		pla.succeeded(now, att, took)
	case health.Failure:
		if !att.overdue {
			pla.recordFailure(now, att, failedFactor, took, "failed")
		}
	case health.Overdue:
		pla.abandoned(now, att, took-att.queueWait)
	case health.ServerError:
		if !att.overdue {
			pla.recordFailure(now, att, serverErrorFactor, took, "erred")
		}
	case health.Unreachable:
		factor := float64(unreachableFactor)
		if tgt.respondsToOthers(now, aid.VM) {
			factor = 1 // Others reach it; the path of this VM is at fault.
		}
		pla.recordFailure(now, att, factor, 0, "unreachable")
	case health.Misdirected:
		tgt.avoidUntil = now.Add(misdirectedTime)
	case health.Shed, health.Canceled:
	}
	pla.updateSuspicion(now, tgt, outcome.String(), aid.VM)
}

func (pla *Placer) succeeded(now clock.Instant, att *attempt, took time.Duration) {
	tgt := att.target
	factor := successFactor
	if att.overdue {
		// The answer has come after all; take back what its absence added.
		factor /= overdueFactor
	}
	tgt.belief.observe(now, factor, took)
	tgt.failedTrials = 0
	delete(tgt.pathFailures, att.id.VM)
	tgt.lastResponses[att.id.VM] = now
	lat := pla.latencies[att.route]
	served := max(took-att.queueWait, took/4)
	normalised := time.Duration(float64(served) / tgt.slowdown(now))
	lat.add(normalised)
	pla.overall.add(normalised)
	if !now.Before(tgt.WarmAt) {
		ratio := served.Seconds() / max(lat.median().Seconds(), 1e-4)
		tgt.measuredSlowdown += slowdownWeight * (min(max(ratio, minSlowdown), maxSlowdown) - tgt.measuredSlowdown)
		tgt.measuredSlowdown = min(max(tgt.measuredSlowdown, minSlowdown), maxSlowdown)
	}
}

// abandoned takes an attempt whose answer was no longer waited for. How much that
// says depends on how long it was; and the requests that would have lasted still
// longer belong to the estimate of latencies too.
func (pla *Placer) abandoned(now clock.Instant, att *attempt, waited time.Duration) {
	lat, slowdown := pla.latencies[att.route], att.target.slowdown(now)
	lost := sickFailShare * att.target.belief.now(now)
	slow := (1 - lost) * lat.survival(waited, slowdown)
	lat.addCensored(time.Duration(float64(waited)/slowdown), slow/(slow+lost))
	if !att.overdue {
		pla.recordFailure(now, att, pla.pendingEvidence(now, att), waited, "overdue")
	}
}

// recordFailure takes evidence against a target. Further failures of a VM at the same
// target count against the path between them only.
func (pla *Placer) recordFailure(now clock.Instant, att *attempt, factor float64, age time.Duration, cause string) {
	tgt := att.target
	at, before := tgt.pathFailures[att.id.VM]
	if !before || now.Since(at) > pathRepeatTime {
		tgt.belief.observe(now, factor, age)
		if att.trial {
			tgt.failedTrials = min(tgt.failedTrials+1, maxFailedTrials)
		}
	}
	tgt.pathFailures[att.id.VM] = now
	pla.updateSuspicion(now, tgt, cause, att.id.VM)
}

// updateSuspicion notes a change of belief about a target.
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

func (pla *Placer) remove(att *attempt) {
	delete(pla.attempts, att.id)
	att.target.running = slices.DeleteFunc(att.target.running, func(one *attempt) bool { return one == att })
}

// Track takes attempts under way that another placer began.
func (pla *Placer) Track(now clock.Instant, vmm string, run RunningAttempt) {
	aid := AttemptID{VM: vmm, Number: run.Number}
	tgt := pla.target(run.Target)
	if tgt == nil || pla.attempts[aid] != nil {
		return
	}
	pla.latency(run.Route, run.TimeLeft)
	pla.begin(now, &attempt{id: aid, target: tgt, route: run.Route, began: now.Add(-run.Age), deadline: now.Add(run.TimeLeft)})
}

// Tick counts overdue requests and forgets those whose end was not reported.
func (pla *Placer) Tick(now clock.Instant) {
	pla.prune(now)
	if len(pla.attempts) == 0 {
		return
	}
	var lost []*attempt
	for _, tgt := range pla.targets {
		for _, att := range tgt.running {
			if !att.overdue && pla.pendingEvidence(now, att) >= overdueFactor {
				att.overdue = true
				pla.recordFailure(now, att, overdueFactor, now.Mono-att.began.Mono-att.queueWait, "overdue")
			}
			if now.Since(att.deadline) > lostTime {
				lost = append(lost, att)
			}
		}
	}
	for _, att := range lost {
		pla.remove(att)
	}
}

// prune drops the answers that are too old to matter.
func (pla *Placer) prune(now clock.Instant) {
	if now.Since(pla.prunedAt) < idempotentReuse {
		return
	}
	pla.prunedAt = now
	for _, tgt := range pla.targets {
		maps.DeleteFunc(tgt.lastResponses, func(_ string, at clock.Instant) bool { return now.Since(at) > idempotentReuse })
	}
}

// ForgetVM drops the attempts of a VM that has ended.
func (pla *Placer) ForgetVM(vmm string) {
	for aid, att := range pla.attempts {
		if aid.VM == vmm {
			pla.remove(att)
		}
	}
}

// Sick returns the probability that the target with an ID is sick.
func (pla *Placer) Sick(now clock.Instant, id string) float64 {
	if tgt := pla.target(id); tgt != nil {
		return pla.sick(now, tgt)
	}
	return 0
}

// Suspected lists the targets that are believed to be sick.
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
