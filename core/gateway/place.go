package gateway

import (
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldlug.example/core/admission"
	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/retrybudget"
)

const (
	// partitionTargets is the largest average number of targets in a partition, and so for one
	// placer.
	partitionTargets = 32
	// placementTimeout is how long a VM waits for the answer of a placer before it places the
	// request by its own observations.
	placementTimeout = 60 * time.Millisecond
	// placerBackoff is how long a placer that did not answer is not queried again.
	placerBackoff = 400 * time.Millisecond
	// localRetryShare is the share of the retry budget that VMs may spend on their own while they
	// do not reach the placer; the placers may spend placerRetryShare of it. A request that was placed
	// twice, since its placer answered late, counts for both. The rest allows for what a placer may spend
	// beyond its part just after it has taken over from another one.
	localRetryShare  = 0.08
	placerRetryShare = 0.85
)

// service is the state of placement for one service.
type service struct {
	name       string
	partitions []*partition
	// chooser chooses the partition of a request.
	chooser *balance.Chooser
}

// partition is a subset of a service's targets, for which one VM is the placer.
type partition struct {
	service string
	number  int
	targets []health.Target
	// drained lists the other targets of the subset, whose failure domains are drained.
	drained []string
	// placer is the ID of the VM that is the placer of the partition.
	placer string
	// backoffUntil is the time until which the placer is not queried, because it did not answer.
	backoffUntil clock.Instant
	// central places the requests of all VMs; nil unless this VM has been the placer, or another VM
	// took it for the placer and sent it a query or its running attempts.
	central *placement.Placer
	// local places requests by the observations of this VM alone.
	local *placement.Placer
	// chooser is that of the service.
	chooser *balance.Chooser
}

// rankKey returns the key by which the VMs are ranked to choose the placer.
func (par *partition) rankKey() string {
	return "place/" + par.service + "/" + strconv.Itoa(par.number)
}

// partitionOf returns the number of the partition, out of cnt, to which a target belongs. cnt is a
// power of two.
func partitionOf(target string, cnt int) int { return int(xxhash.Sum64String(target) % uint64(cnt)) }

// partitionCount returns the number of partitions for a number of targets. It is a power of two, so
// that it seldom changes.
func partitionCount(targets int) int {
	if targets <= partitionTargets {
		return 1
	}
	return 1 << bits.Len(uint((targets-1)/partitionTargets))
}

// setService sets the targets of a service. If their number requires another number of partitions,
// all partitions are replaced, and what their placers have learned is lost.
func (mac *Machine) setService(now clock.Instant, name string, tgs []health.Target) {
	svc := mac.services[name]
	cnt := partitionCount(len(tgs)) // Drained targets count, so that no partition is replaced for a drain.
	created := svc == nil || len(svc.partitions) != cnt
	if created {
		svc = &service{name: name, chooser: balance.New(mac.rnd, cnt)}
		svc.chooser.SetFleet(mac.set.Name, mac.fleet.View().Size())
		for num := range cnt {
			svc.partitions = append(svc.partitions, &partition{service: name, number: num, local: mac.newLocalPlacer(now, cnt), chooser: svc.chooser})
		}
		mac.services[name] = svc
	}
	byPartition, drained := make([][]health.Target, cnt), make([][]string, cnt)
	for _, tgt := range tgs {
		num := partitionOf(tgt.ID, cnt)
		if mac.drained(tgt) {
			drained[num] = append(drained[num], tgt.ID)
			continue
		}
		byPartition[num] = append(byPartition[num], tgt)
	}
	for num, par := range svc.partitions {
		par.targets, par.drained = byPartition[num], drained[num]
		par.local.SetTargets(now, par.targets)
		svc.chooser.SetTargets(num, len(par.targets), slotsOf(par.targets))
		if par.central != nil {
			par.central.SetTargets(now, par.targets)
		}
		if created {
			mac.setPlacer(now, par) // The placers of existing partitions change only with the list of VMs.
		}
	}
}

// slotsOf returns the number of slots that targets have together.
func slotsOf(tgs []health.Target) int {
	sum := 0
	for _, tgt := range tgs {
		sum += max(tgt.Slots, 1)
	}
	return sum
}

// newLocalPlacer returns a placer for the requests of this VM alone.
func (mac *Machine) newLocalPlacer(now clock.Instant, partitions int) *placement.Placer {
	return placement.New(mac.rnd, mac.localRetryBudget(now, partitions), mac.book, placement.NewShareLimiter(mac.rnd, mac.localShare, mac.starting))
}

// localRetryBudget returns the budget for retries that this VM places by itself.
func (mac *Machine) localRetryBudget(now clock.Instant, partitions int) *retrybudget.Budget {
	pol := mac.set.Policy
	vms := float64(max(mac.fleet.View().Size(), minAssumedVMs))
	return retrybudget.New(now, pol.RetryWindow, pol.RetryShare*localRetryShare, pol.RetryExtra*localRetryShare/vms/float64(partitions))
}

// minAssumedVMs is the number of VMs that is assumed while fewer are known. It limits the share of
// the extra retries that a VM with a short list takes for itself.
const minAssumedVMs = 8

// placerRetryBudget returns the retry budget of the placer of one of a service's partitions.
func (mac *Machine) placerRetryBudget(now clock.Instant, partitions int) *retrybudget.Budget {
	pol := mac.set.Policy
	return retrybudget.New(now, pol.RetryWindow, pol.RetryShare*placerRetryShare, pol.RetryExtra*placerRetryShare/float64(partitions))
}

// setPlacer determines the placer of a partition, and tells a new one which attempts run there and what
// the targets announce.
func (mac *Machine) setPlacer(now clock.Instant, par *partition) {
	placer := ""
	if first := mac.fleet.View().Ranked(par.rankKey(), 1); len(first) > 0 {
		placer = first[0].ID
	}
	if placer == par.placer {
		return
	}
	self := mac.set.Self.ID
	if placer == self || par.placer == self {
		mac.log("placer", "service", par.service, "part", par.number, "vm", placer)
	}
	par.placer = placer
	par.backoffUntil = clock.Instant{}
	par.chooser.Forget(par.number)
	if placer == self {
		mac.ensureCentral(now, par).Inherit(now)
	}
	mac.reportRunning(now, par)
	mac.reportPartition(now, par, placer)
}

// reportRunning tells the placer of a partition which attempts of this VM run there.
func (mac *Machine) reportRunning(now clock.Instant, par *partition) {
	var list []placement.RunningAttempt
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		for _, att := range inf.live {
			if att.partition != par {
				continue
			}
			att.placer = par.placer
			list = append(list, placement.RunningAttempt{
				Service: par.service, Partition: par.number, Number: att.queryNumber, Target: att.target.ID, Route: inf.route.Name,
				Age: now.Since(att.startedAt), TimeLeft: max(inf.deadline.Mono-now.Mono, 0),
			})
		}
	}
	if len(list) > 0 && par.placer != "" {
		mac.send(now, par.placer, placement.Track{Attempts: list})
	}
}

// ensureCentral returns the placer that this VM keeps for the requests of all VMs to a partition.
func (mac *Machine) ensureCentral(now clock.Instant, par *partition) *placement.Placer {
	if par.central == nil {
		bud := mac.placerRetryBudget(now, len(mac.services[par.service].partitions))
		par.central = placement.New(mac.rnd, bud, mac.book, placement.NewFleetLimiter())
		par.central.SetTargets(now, par.targets)
	}
	return par.central
}

func (mac *Machine) partitionAt(service string, number int) *partition {
	svc := mac.services[service]
	if svc == nil || number < 0 || number >= len(svc.partitions) {
		return nil
	}
	return svc.partitions[number]
}

// send sends a message to a VM, which may be this one.
func (mac *Machine) send(now clock.Instant, to string, msg placement.Message) {
	if to == mac.set.Self.ID {
		mac.placementReceived(now, to, msg)
		return
	}
	mac.emit(Send{To: to, Message: msg})
}

// placementReceived handles a message about placements.
func (mac *Machine) placementReceived(now clock.Instant, from string, msg placement.Message) {
	switch msg := msg.(type) {
	case placement.Query:
		ans := mac.answer(now, from, msg)
		mac.countPlacement(msg.Criteria, ans)
		mac.send(now, from, ans)
	case placement.Answer:
		mac.placerAnswered(now, from, msg)
	case placement.Ended:
		for _, end := range msg.Ends {
			if par := mac.partitionAt(end.Service, end.Partition); par != nil && par.central != nil {
				par.central.Ended(now, placement.AttemptID{VM: from, Number: end.Number}, end.Outcome)
			}
		}
	case placement.Track:
		for _, run := range msg.Attempts {
			if par := mac.partitionAt(run.Service, run.Partition); par != nil {
				mac.ensureCentral(now, par).Track(now, from, run)
			}
		}
	case placement.PathsLost:
		if par := mac.partitionAt(msg.Service, msg.Partition); par != nil && par.central != nil {
			par.central.PathsLost(now, from)
		}
	case placement.Announced:
		mac.learnAnnounced(now, from, msg.Reports)
	}
}

// answer returns the answer of this VM, as a placer, to a query. The load is told only where there are several
// partitions to choose from.
func (mac *Machine) answer(now clock.Instant, from string, qry placement.Query) placement.Answer {
	par := mac.partitionAt(qry.Service, qry.Partition)
	if par == nil || len(par.targets) == 0 {
		return placement.Answer{Number: qry.Number, Reason: placement.NoTargetsKnown}
	}
	ans := mac.ensureCentral(now, par).Place(now, placement.AttemptID{VM: from, Number: qry.Number}, qry.Criteria)
	ans.Announced = mac.announcedBy(now, par.central, ans.Target)
	if len(mac.services[qry.Service].partitions) > 1 {
		ans.Load = par.central.Load(now)
	}
	return ans
}

// announcedBy returns what this VM knows that a target announces, nil if that is nothing.
func (mac *Machine) announcedBy(now clock.Instant, pla *placement.Placer, target string) *announcement.Report {
	if mac.book.Empty() {
		return nil
	}
	tgt, found := pla.Target(target)
	if !found {
		return nil
	}
	rep, known := mac.book.Report(now, health.RunOf(tgt))
	if !known {
		return nil
	}
	return &rep
}

// lowestCounted is the lowest priority that is counted by itself; lower ones count as this one.
const lowestCounted = 9

// countPlacement counts an answer of this VM as a placer, by outcome.
func (mac *Machine) countPlacement(cri placement.Criteria, ans placement.Answer) {
	switch {
	case ans.Target == "":
		mac.placementCounts[string(ans.Reason)]++
		mac.refusalCounts["priority"+strconv.Itoa(min(max(cri.Priority, 0), lowestCounted))]++
	case cri.Retry:
		mac.placementCounts["placedAgain"]++
	default:
		mac.placementCounts["placed"]++
	}
}

// place asks for a target for the next attempt of a request.
func (mac *Machine) place(now clock.Instant, inf *inFlight) {
	svc := mac.services[inf.service]
	if svc == nil || mac.drains.book.Len() > 0 && svc.targetCount() == 0 {
		mac.placementFailed(now, inf, placement.Answer{Reason: placement.NoTargetLeft})
		return
	}
	if par := mac.awaitedPartition(inf); par != nil {
		mac.placeAt(now, inf, par)
		return
	}
	mac.placeAt(now, inf, svc.partitions[svc.chooser.Choose(now, int(inf.priority))])
}

// placeAt asks for a target of a partition.
func (mac *Machine) placeAt(now clock.Instant, inf *inFlight, par *partition) {
	mac.number++
	inf.placing, inf.queryNumber, inf.queriedAt, inf.queriedPlacer, inf.queriedPartition = true, mac.number, now, par.placer, par
	inf.hedging = inf.running() && now.Before(inf.replaceAt)
	if par.placer == "" || now.Before(par.backoffUntil) {
		mac.placeLocally(now, inf)
		return
	}
	mac.pendingQueries[mac.number] = inf.ID
	par.chooser.Sent(par.number)
	mac.send(now, par.placer, placement.Query{Service: par.service, Partition: par.number, Number: mac.number, Criteria: mac.criteria(now, inf)})
}

func (mac *Machine) criteria(now clock.Instant, inf *inFlight) placement.Criteria {
	lost := mac.paths.Lost(inf.service)
	excluded := slices.Concat(inf.tried, inf.heldBack, mac.refusing(now, inf.queriedPartition))
	if !lost {
		excluded = append(excluded, inf.unreached...)
	}
	return placement.Criteria{
		Route: inf.route.Name, Domain: mac.set.Self.FailureDomain, Idempotent: inf.route.Idempotent, Retry: inf.sent > 0, Hedge: inf.hedging,
		TimeToGoal: max(inf.goal.Mono-now.Mono, 0), TimeLeft: max(inf.deadline.Mono-now.Mono, 0), Tried: excluded,
		Priority: int(inf.priority), Suspected: inf.permission.granted != nil, PathsLost: lost, MayHaveRun: inf.mayHaveRun > 0 || inf.running(),
		Caller: admission.CallerOf(inf.organisation), LargeResponse: inf.route.LargeResponses,
	}
}

// placeLocally places a request without the placer.
func (mac *Machine) placeLocally(now clock.Instant, inf *inFlight) {
	ans := inf.queriedPartition.local.Place(now, placement.AttemptID{VM: mac.set.Self.ID, Number: inf.queryNumber}, mac.criteria(now, inf))
	mac.applyPlacement(now, inf, ans, "")
}

// placerAnswered handles the answer of a placer.
func (mac *Machine) placerAnswered(now clock.Instant, from string, ans placement.Answer) {
	if ans.Announced != nil {
		mac.learnAnnounced(now, from, []announcement.Report{*ans.Announced})
	}
	id, pending := mac.pendingQueries[ans.Number]
	delete(mac.pendingQueries, ans.Number)
	inf := mac.requests[id]
	if !pending || inf == nil || !inf.placing || inf.queryNumber != ans.Number {
		// The request does not wait for this answer any more; give the slot back.
		if ans.Target != "" {
			mac.releaseSlot(now, from, ans)
		}
		return
	}
	mac.learnLoad(now, inf, from, ans)
	if ans.Target != "" {
		inf.queriedPartition.local.Track(now, mac.set.Self.ID, placement.RunningAttempt{
			Number: ans.Number, Target: ans.Target, Route: inf.route.Name, TimeLeft: max(inf.deadline.Mono-now.Mono, 0),
		})
	}
	mac.applyPlacement(now, inf, ans, from)
}

// learnLoad records what the answer of a placer tells about the load of its partition. That a hedge is
// refused tells nothing: it takes a free slot only.
func (mac *Machine) learnLoad(now clock.Instant, inf *inFlight, from string, ans placement.Answer) {
	par := inf.queriedPartition
	if par.placer != from {
		return
	}
	par.chooser.Learn(now, par.number, ans.Load)
	if ans.Reason == placement.NoRoom && !inf.hedging {
		par.chooser.Refused(now, par.number, int(inf.priority), ans.RetryAfter)
	}
}

// releaseSlot tells a placer that the target in its answer is not used, so that the placer frees the
// slot. If this VM does not know the target, the placer is not told, and frees it after the deadline.
func (mac *Machine) releaseSlot(now clock.Instant, from string, ans placement.Answer) {
	for _, svc := range mac.services {
		for _, par := range svc.partitions {
			if _, found := par.local.Target(ans.Target); found {
				mac.send(now, from, placement.Ended{Ends: []placement.End{{Service: par.service, Partition: par.number, Number: ans.Number, Outcome: health.Canceled}}})
				return
			}
		}
	}
}

// applyPlacement dispatches a request to the target that was chosen for it, or decides how it
// continues without one. placer is empty if this VM placed the request by itself.
func (mac *Machine) applyPlacement(now clock.Instant, inf *inFlight, ans placement.Answer, placer string) {
	inf.placing = false
	if ans.Reason == placement.NoTargetsKnown {
		mac.placeLocally(now, inf) // A placer that has just started may not know the targets yet.
		return
	}
	if ans.Target == "" {
		mac.placementFailed(now, inf, ans)
		return
	}
	tgt, found := inf.queriedPartition.local.Target(ans.Target)
	if !found {
		// This VM does not know the target yet, or no longer.
		mac.reportEnd(now, inf.queriedPartition, inf.queryNumber, placer, health.Canceled)
		if mac.placeBesideDrained(now, inf, ans.Target) {
			return
		}
		mac.placeLocally(now, inf)
		return
	}
	if mac.withhold(now, inf, placer) || mac.refuseUnreachable(now, inf, placer) {
		return
	}
	if why := mac.holdBack(now, inf.queriedPartition, tgt, ans, placer); why != "" {
		mac.emit(LogEntry{Request: inf.ID, Event: "heldBack", Fields: []any{"target", tgt.ID, "announced", why, "placer", placer}})
		mac.reportEnd(now, inf.queriedPartition, inf.queryNumber, placer, health.Canceled)
		inf.heldBack = append(inf.heldBack, mac.limited(inf.queriedPartition)...)
		inf.heldBack = append(inf.heldBack, tgt.ID)
		mac.place(now, inf)
		return
	}
	mac.dispatch(now, inf, tgt, ans, placer)
}

// cancelQuery cancels the query for a target, if one is pending. If it is answered later, the slot
// is given back by releaseSlot.
func (mac *Machine) cancelQuery(inf *inFlight) {
	inf.placing = false
	delete(mac.pendingQueries, inf.queryNumber)
}

// placementFailed handles a request for which there is no target now.
func (mac *Machine) placementFailed(now clock.Instant, inf *inFlight, ans placement.Answer) {
	if inf.running() {
		mac.keepWaiting(now, inf, string(ans.Reason))
		return
	}
	if inf.hedging && mac.mayRetry(now, inf) {
		mac.nextAttempt(now, inf, "no target has room") // The concurrent attempt has ended.
		return
	}
	if mac.awaitBudget(now, inf, ans) || mac.tryOtherPartition(now, inf, ans) {
		return
	}
	ref := request.Refusal{Reason: request.Overloaded, RetryAfter: ans.RetryAfter, Detail: "the targets have no room in time"}
	switch {
	case mac.announcedRefusal(now, inf, ans, &ref):
	case ans.Reason == placement.NoTargetLeft && inf.attempt > 0:
		ref.Detail, ref.RetryAfter = "no target is left that has not been tried", mac.randomRetryAfter()
	case ans.Reason == placement.NoTargetLeft:
		ref.Reason, ref.Detail, ref.RetryAfter = request.NoTarget, mac.noTargetDetail(inf.service), mac.randomRetryAfter()
	case ans.Reason == placement.NoRetry:
		ref.Detail = "the budget of retries is spent"
	}
	mac.refuse(now, inf, ref)
}

// reportEnd reports the outcome of an attempt to the local placer and to the VM that placed it.
func (mac *Machine) reportEnd(now clock.Instant, par *partition, number uint64, placer string, outcome health.Outcome) {
	par.local.Ended(now, placement.AttemptID{VM: mac.set.Self.ID, Number: number}, outcome)
	if placer != "" {
		mac.send(now, placer, placement.Ended{Ends: []placement.End{{Service: par.service, Partition: par.number, Number: number, Outcome: outcome}}})
	}
}

// tickPlacement places requests locally if their placer does not answer in time, and logs which
// targets the placers of this VM have begun to suspect or to trust.
func (mac *Machine) tickPlacement(now clock.Instant) {
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		if inf == nil || !inf.placing || now.Since(inf.queriedAt) < placementTimeout {
			continue
		}
		mac.backOff(now, inf.queriedPartition, inf.queriedPlacer)
		delete(mac.pendingQueries, inf.queryNumber)
		mac.placeLocally(now, inf)
	}
	for _, name := range sortedNames(mac.services) {
		for _, par := range mac.services[name].partitions {
			par.local.Tick(now)
			par.local.DrainChanges()
			if par.central == nil {
				continue
			}
			par.central.Tick(now)
			for _, chg := range par.central.DrainChanges() {
				event := "targetTrusted"
				if chg.Suspected {
					event = "targetSuspected"
				}
				mac.log(event, "target", chg.Target, "service", par.service, "sick", chg.Sick, "cause", chg.Cause, "vm", chg.VM)
			}
		}
	}
}

// backOff stops querying the placer of a partition for a while, because it did not answer. If
// another VM has become the placer meanwhile, that one is queried.
func (mac *Machine) backOff(now clock.Instant, par *partition, placer string) {
	if par.placer != placer {
		return
	}
	if !now.Before(par.backoffUntil) {
		mac.log("placerSilent", "service", par.service, "part", par.number, "vm", placer)
	}
	par.backoffUntil = now.Add(placerBackoff)
	par.chooser.Forget(par.number)
}

func sortedNames[T any](objs map[string]T) []string {
	names := make([]string, 0, len(objs))
	for name := range objs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
