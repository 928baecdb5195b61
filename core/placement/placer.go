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
	// answeringTime is how long ago a target may have answered one VM if the
	// failure of another to connect is taken for that of its path.
	answeringTime = time.Second
	// pathTime is how long a target is avoided from a VM that failed there.
	pathTime = 4 * time.Second
	// pathRepeat is how long further failures of the same VM at the same target
	// count against the path only.
	pathRepeat = 3 * time.Second
	// carefulReuse and repeatableReuse are how long after an answer a connection
	// is used for requests that cannot and that can be repeated.
	carefulReuse    = 900 * time.Millisecond
	repeatableReuse = 5 * time.Second
	// speedWeight is the weight of one answer in the estimate of a target's
	// speed.
	speedWeight = 0.2
	minSlower   = 0.5
	maxSlower   = 20.0
	// coldSlower is how much slower a target is taken to be until it is warm.
	coldSlower = 2.0
	// depth is how many times its slots a target is given at a time. Each rank
	// below the highest, down to lowestRank, leaves a part of its slots free.
	depth      = 3
	lowestRank = 2
	rankStep   = 2
	// lostTime is how long after its deadline an attempt is forgotten whose end
	// was not reported.
	lostTime = time.Second
	// idleTime is how long a sound target stays without requests until one is
	// sent to see how it fares, and sickIdleTime how much longer one does that
	// was surely sick when it was last heard of. Requests that can be repeated
	// go sooner.
	idleTime       = time.Second
	sickIdleTime   = 2500 * time.Millisecond
	repeatableIdle = 0.6
	// missFactor is by how much longer a target stays without requests for each
	// trial that failed but the first, up to maxMisses of them: what has been sick
	// for long is likely to stay so.
	missFactor = 1.4
	maxMisses  = 3
	// goneTime is how long a target is not used after another one answered at its
	// address. Then one request asks again, unless its entry has changed.
	goneTime = 10 * time.Second
	// hopeless is the part of requests that would miss their deadlines from
	// which none is sent.
	hopeless = 0.85
	// waitingIdle is how long a target whose requests last long stays without a
	// further one that can be repeated. The missing answers make it look sick,
	// so that it is tried up to a belief of triedWaitingBelief.
	waitingIdle        = 1200 * time.Millisecond
	triedWaitingBelief = 0.75
	// triedBelief is the belief above which no other target is tried.
	triedBelief = 0.6
)

// The costs of a placement, in parts of what a request is worth.
const (
	failCost      = 1.0
	failAgainCost = 0.4
	lateCost      = 0.7
	pathCost      = 0.5
	crossCost     = 0.03
	loadCost      = 0.15
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
	ticket     AttemptID
	target     *target
	route      string
	idempotent bool
	began      clock.Instant
	deadline   clock.Instant
	// wait is how long the request was expected to wait for a slot.
	wait time.Duration
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
	// pruned is when the answers that are too old to matter were last dropped.
	pruned clock.Instant
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
			Target: tgt, belief: belief{sick: restBelief / 2, at: now}, slower: 1, lastUsed: now.Add(-idleTime),
			paths: make(map[string]clock.Instant), answered: make(map[string]clock.Instant),
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
func (pla *Placer) latency(route string, aim time.Duration) *latency {
	lat := pla.latencies[route]
	if lat != nil {
		return lat
	}
	if pla.overall == nil {
		pla.overall = newLatency(aim)
	}
	lat = pla.overall.like()
	pla.latencies[route] = lat
	return lat
}

// option is a target that a request may be sent to, and what that costs.
type option struct {
	target *target
	cost   float64
	wait   time.Duration
}

// Place chooses a target and counts the attempt, or says why there is none.
func (pla *Placer) Place(now clock.Instant, tic AttemptID, wis Criteria) Answer {
	if !wis.Retry {
		pla.budget.Deposit(now)
	}
	lat := pla.latency(wis.Route, wis.TimeToGoal)
	best, shortest := pla.choose(now, tic.VM, wis, lat)
	switch {
	case best.target != nil && wis.Retry && !pla.budget.Withdraw(now, wis.budget()):
		return Answer{Number: tic.Number, Reason: NoRetry}
	case best.target == nil && shortest < 0:
		return Answer{Number: tic.Number, Reason: NoTarget}
	case best.target == nil:
		return Answer{Number: tic.Number, Reason: NoRoom, RetryAfter: max(shortest, time.Millisecond)}
	}
	tgt := best.target
	trial := tgt.suspected && len(tgt.running) == 0
	pla.begin(now, &attempt{
		ticket: tic, target: tgt, route: wis.Route, idempotent: wis.Idempotent, began: now, deadline: now.Add(wis.TimeLeft), wait: best.wait,
		trial: trial,
	})
	limit := min(best.wait+lat.after(limitDevs, tgt.pace(now)), lat.spare(wis.TimeLeft))
	return Answer{
		Number: tic.Number, Target: tgt.ID, ReplaceAfter: limit, HedgeAfter: min(best.wait+lat.patience(wis, tgt.pace(now), trial), limit),
	}
}

func (pla *Placer) begin(now clock.Instant, att *attempt) {
	att.target.running = append(att.target.running, att)
	att.target.lastUsed = now
	pla.attempts[att.ticket] = att
}

// choose returns the option of least cost, or the shortest wait for one.
// shortest is negative where there is no target at all.
func (pla *Placer) choose(now clock.Instant, vmm string, wis Criteria, lat *latency) (best option, shortest time.Duration) {
	shortest = -1
	for _, at := range pla.rnd.Perm(len(pla.targets)) {
		tgt := pla.targets[at]
		if now.Before(tgt.gone) || slices.Contains(wis.Tried, tgt.ID) {
			continue
		}
		wait := tgt.wait(now, lat)
		if wis.Hedge && wait > 0 {
			shortest = max(shortest, 0)
			continue // A second attempt beside the first takes no place that others need.
		}
		usual := time.Duration(float64(lat.usual()) * tgt.pace(now))
		if len(tgt.running) >= tgt.room(wis.Priority) || lat.known() && lat.outlasts(wis.TimeLeft-wait, tgt.pace(now)) > hopeless {
			if over := max(wait+usual-wis.TimeLeft, usual/time.Duration(max(tgt.Slots, 1))); shortest < 0 || over < shortest {
				shortest = over
			}
			continue
		}
		one := option{target: tgt, wait: wait, cost: pla.cost(now, vmm, wis, lat, tgt, wait)}
		if best.target == nil || one.cost < best.cost {
			best = one
		}
	}
	return best, shortest
}

// cost returns what a placement costs, in parts of what the request is worth.
func (pla *Placer) cost(now clock.Instant, vmm string, wis Criteria, lat *latency, tgt *target, wait time.Duration) float64 {
	sick := pla.sick(now, tgt)
	fail := failCost
	if wis.Idempotent && !wis.Retry {
		fail = failAgainCost
	}
	cost := sickFails * sick * fail
	cost += lateCost * lat.outlasts(max(wis.TimeToGoal-wait, 0), tgt.pace(now))
	cost += loadCost * float64(len(tgt.running)) / float64(max(tgt.Slots, 1))
	if tgt.FailureDomain != wis.Domain {
		cost += crossCost
	}
	if !tgt.connected(now, vmm, wis.Idempotent) {
		cost += connectCost
	}
	if at, failed := tgt.paths[vmm]; failed && now.Since(at) < pathTime {
		cost += pathCost
	}
	if !wis.Retry && tgt.due(now, sick, wis.Idempotent) {
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
			sick = update(sick, pla.waiting(now, att))
		}
	}
	return clamp(sick)
}

// waiting returns the evidence of a request without answer.
func (pla *Placer) waiting(now clock.Instant, att *attempt) float64 {
	lat := pla.latencies[att.route]
	return waitingFactor(lat.outlasts(now.Mono-att.began.Mono-att.wait, att.target.pace(now)))
}

// Ended takes what became of an attempt.
func (pla *Placer) Ended(now clock.Instant, tic AttemptID, outcome health.Outcome) {
	att := pla.attempts[tic]
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
			pla.blame(now, att, failedFactor, took, "failed")
		}
	case health.Overdue:
		pla.gaveUp(now, att, took-att.wait)
	case health.ServerError:
		if !att.overdue {
			pla.blame(now, att, erredFactor, took, "erred")
		}
	case health.Unreachable:
		factor := float64(unreachableFactor)
		if tgt.answers(now, tic.VM) {
			factor = 1 // Others reach it; the path of this VM is at fault.
		}
		pla.blame(now, att, factor, 0, "unreachable")
	case health.Misdirected:
		tgt.gone = now.Add(goneTime)
	case health.Shed, health.Canceled:
	}
	pla.tell(now, tgt, outcome.String(), tic.VM)
}

func (pla *Placer) succeeded(now clock.Instant, att *attempt, took time.Duration) {
	tgt := att.target
	factor := successFactor
	if att.overdue {
		// The answer has come after all; take back what its absence added.
		factor /= overdueFactor
	}
	tgt.belief.weigh(now, factor, took)
	tgt.misses = 0
	delete(tgt.paths, att.ticket.VM)
	tgt.answered[att.ticket.VM] = now
	lat := pla.latencies[att.route]
	served := max(took-att.wait, took/4)
	usual := time.Duration(float64(served) / tgt.pace(now))
	lat.learn(usual)
	pla.overall.learn(usual)
	if !now.Before(tgt.WarmAt) {
		ratio := served.Seconds() / max(lat.usual().Seconds(), 1e-4)
		tgt.slower += speedWeight * (min(max(ratio, minSlower), maxSlower) - tgt.slower)
		tgt.slower = min(max(tgt.slower, minSlower), maxSlower)
	}
}

// gaveUp takes an attempt whose answer was no longer waited for. How much that
// says depends on how long it was; and the requests that would have lasted still
// longer belong to the estimate of latencies too.
func (pla *Placer) gaveUp(now clock.Instant, att *attempt, waited time.Duration) {
	lat, pace := pla.latencies[att.route], att.target.pace(now)
	lost := sickFails * att.target.belief.now(now)
	missing := (1 - lost) * lat.outlasts(waited, pace)
	lat.learnLonger(time.Duration(float64(waited)/pace), missing/(missing+lost))
	if !att.overdue {
		pla.blame(now, att, pla.waiting(now, att), waited, "overdue")
	}
}

// blame takes evidence against a target. Further failures of a VM at the same
// target count against the path between them only.
func (pla *Placer) blame(now clock.Instant, att *attempt, factor float64, past time.Duration, cause string) {
	tgt := att.target
	at, before := tgt.paths[att.ticket.VM]
	if !before || now.Since(at) > pathRepeat {
		tgt.belief.weigh(now, factor, past)
		if att.trial {
			tgt.misses = min(tgt.misses+1, maxMisses)
		}
	}
	tgt.paths[att.ticket.VM] = now
	pla.tell(now, tgt, cause, att.ticket.VM)
}

// tell notes a change of belief about a target.
func (pla *Placer) tell(now clock.Instant, tgt *target, cause, vmm string) {
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
	delete(pla.attempts, att.ticket)
	att.target.running = slices.DeleteFunc(att.target.running, func(one *attempt) bool { return one == att })
}

// Track takes attempts under way that another placer began.
func (pla *Placer) Track(now clock.Instant, vmm string, run RunningAttempt) {
	tic := AttemptID{VM: vmm, Number: run.Number}
	tgt := pla.target(run.Target)
	if tgt == nil || pla.attempts[tic] != nil {
		return
	}
	pla.latency(run.Route, run.TimeLeft)
	pla.begin(now, &attempt{ticket: tic, target: tgt, route: run.Route, began: now.Add(-run.Age), deadline: now.Add(run.TimeLeft)})
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
			if !att.overdue && pla.waiting(now, att) >= overdueFactor {
				att.overdue = true
				pla.blame(now, att, overdueFactor, now.Mono-att.began.Mono-att.wait, "overdue")
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
	if now.Since(pla.pruned) < repeatableReuse {
		return
	}
	pla.pruned = now
	for _, tgt := range pla.targets {
		maps.DeleteFunc(tgt.answered, func(_ string, at clock.Instant) bool { return now.Since(at) > repeatableReuse })
	}
}

// ForgetVM drops the attempts of a VM that has ended.
func (pla *Placer) ForgetVM(vmm string) {
	for tic, att := range pla.attempts {
		if tic.VM == vmm {
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
