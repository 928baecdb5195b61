package gateway

import (
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/request"
)

const (
	// partTargets is the number of targets that one placer cares for.
	partTargets = 32
	// placeTime is how long a VM waits for a placer before it places a request
	// by what it knows itself.
	placeTime = 60 * time.Millisecond
	// muteTime is how long a placer that did not answer is not asked.
	muteTime = 400 * time.Millisecond
	// ownShare is the part of the allowed retries that VMs spend by themselves
	// where they do not reach the placer; the placers spend up to placerShare.
	ownShare    = 0.08
	placerShare = 0.85
)

// service is what a VM knows of the placement of one service.
type service struct {
	name  string
	parts []*part
}

// part is a part of a service's targets, cared for by one placer.
type part struct {
	service string
	number  int
	targets []health.Target
	// owner is the ID of the VM that places the part's requests.
	owner string
	// muted is until when the owner is not asked.
	muted clock.Instant
	// central places the requests of the fleet; nil until it is asked to.
	central *placement.Placer
	// local places requests by what this VM alone has seen.
	local *placement.Placer
}

// duty names the placing of a part among the duties of the fleet.
func (par *part) duty() string { return "place/" + par.service + "/" + strconv.Itoa(par.number) }

// partOf returns the part to which a target belongs, of cnt, a power of two.
func partOf(target string, cnt int) int { return int(xxhash.Sum64String(target) % uint64(cnt)) }

// partCount returns the number of parts for some targets, a power of two, so
// that it seldom changes.
func partCount(targets int) int {
	if targets <= partTargets {
		return 1
	}
	return 1 << bits.Len(uint((targets-1)/partTargets))
}

// setService takes the targets of a service.
func (mac *Machine) setService(now clock.Instant, name string, tgs []health.Target) {
	svc := mac.services[name]
	cnt := partCount(len(tgs))
	anew := svc == nil || len(svc.parts) != cnt
	if anew {
		svc = &service{name: name}
		for num := range cnt {
			svc.parts = append(svc.parts, &part{service: name, number: num, local: placement.New(mac.rnd, mac.ownRetries(now))})
		}
		mac.services[name] = svc
	}
	byPart := make([][]health.Target, cnt)
	for _, tgt := range tgs {
		num := partOf(tgt.ID, cnt)
		byPart[num] = append(byPart[num], tgt)
	}
	for num, par := range svc.parts {
		par.targets = byPart[num]
		par.local.SetTargets(now, par.targets)
		if par.central != nil {
			par.central.SetTargets(now, par.targets)
		}
		if anew {
			mac.setOwner(now, par) // Else it depends on the list of VMs alone.
		}
	}
}

// ownRetries returns the retries that this VM may spend by itself.
func (mac *Machine) ownRetries(now clock.Instant) *request.RetryBudget {
	trm := mac.set.Policy
	vms := float64(max(mac.fleet.View().Size(), minFleet))
	return request.NewRetryBudget(now, trm.RetryWindow, trm.RetryShare*ownShare, trm.RetryExtra*ownShare/vms)
}

// minFleet is taken for the number of VMs while fewer are known.
const minFleet = 8

// placerRetries returns the retries that the placer of one of some parts may
// spend.
func (mac *Machine) placerRetries(now clock.Instant, parts int) *request.RetryBudget {
	trm := mac.set.Policy
	return request.NewRetryBudget(now, trm.RetryWindow, trm.RetryShare*placerShare, trm.RetryExtra*placerShare/float64(parts))
}

// setOwner finds the placer of a part. A new one is told what runs there.
func (mac *Machine) setOwner(now clock.Instant, par *part) {
	owner := ""
	if first := mac.fleet.View().Ranked(par.duty(), 1); len(first) > 0 {
		owner = first[0].ID
	}
	if owner == par.owner {
		return
	}
	par.owner = owner
	par.muted = clock.Instant{}
	mac.note("placer", "service", par.service, "part", par.number, "vm", owner)
	if owner == mac.set.Self.ID {
		mac.centralOf(now, par)
	}
	mac.tellOpen(now, par)
}

// tellOpen tells the placer of a part which attempts of this VM run there.
func (mac *Machine) tellOpen(now clock.Instant, par *part) {
	var list []placement.RunningAttempt
	for _, id := range sortedFlights(mac.flights) {
		fli := mac.flights[id]
		for _, att := range fli.live {
			if att.part != par {
				continue
			}
			att.placer = par.owner
			list = append(list, placement.RunningAttempt{
				Service: par.service, Partition: par.number, Number: att.ticket, Target: att.target.ID, Route: fli.route.Name,
				Age: now.Since(att.began), TimeLeft: max(fli.deadline.Mono-now.Mono, 0),
			})
		}
	}
	if len(list) > 0 && par.owner != "" {
		mac.send(now, par.owner, placement.Track{Attempts: list})
	}
}

// centralOf returns the placer that this VM keeps for the fleet.
func (mac *Machine) centralOf(now clock.Instant, par *part) *placement.Placer {
	if par.central == nil {
		par.central = placement.New(mac.rnd, mac.placerRetries(now, len(mac.services[par.service].parts)))
		par.central.SetTargets(now, par.targets)
	}
	return par.central
}

func (mac *Machine) partAt(service string, number int) *part {
	svc := mac.services[service]
	if svc == nil || number < 0 || number >= len(svc.parts) {
		return nil
	}
	return svc.parts[number]
}

// send delivers a message to a VM, which may be this one.
func (mac *Machine) send(now clock.Instant, to string, msg placement.Message) {
	if to == mac.set.Self.ID {
		mac.placementReceived(now, to, msg)
		return
	}
	mac.do(Send{To: to, Message: msg})
}

// placementReceived takes a message about placements.
func (mac *Machine) placementReceived(now clock.Instant, from string, msg placement.Message) {
	switch msg := msg.(type) {
	case placement.Query:
		ans := placement.Answer{Number: msg.Number, Reason: placement.Unknown}
		if par := mac.partAt(msg.Service, msg.Partition); par != nil && len(par.targets) > 0 {
			ans = mac.centralOf(now, par).Place(now, placement.AttemptID{VM: from, Number: msg.Number}, msg.Criteria)
		}
		mac.countPlacement(msg.Criteria, ans)
		mac.send(now, from, ans)
	case placement.Answer:
		mac.placed(now, from, msg)
	case placement.Ended:
		for _, end := range msg.Ends {
			if par := mac.partAt(end.Service, end.Partition); par != nil && par.central != nil {
				par.central.Ended(now, placement.AttemptID{VM: from, Number: end.Number}, end.Outcome)
			}
		}
	case placement.Track:
		for _, run := range msg.Attempts {
			if par := mac.partAt(run.Service, run.Partition); par != nil {
				mac.centralOf(now, par).Track(now, from, run)
			}
		}
	}
}

// countPlacement counts what this VM answered as a placer.
func (mac *Machine) countPlacement(wis placement.Criteria, ans placement.Answer) {
	switch {
	case ans.Target == "":
		mac.placements[string(ans.Reason)]++
	case wis.Retry:
		mac.placements["placedAgain"]++
	default:
		mac.placements["placed"]++
	}
}

// place asks for a target for the next attempt of a request.
func (mac *Machine) place(now clock.Instant, fli *flight) {
	svc := mac.services[fli.service]
	if svc == nil {
		mac.unplaced(now, fli, placement.Answer{Reason: placement.NoTarget})
		return
	}
	par := mac.choosePart(svc)
	mac.number++
	fli.placing, fli.ask, fli.asked, fli.askedOwner, fli.askedPart = true, mac.number, now, par.owner, par
	fli.hedging = fli.running() && now.Before(fli.limit)
	if par.owner == "" || now.Before(par.muted) {
		mac.placeAlone(now, fli)
		return
	}
	mac.asks[mac.number] = fli.ID
	mac.send(now, par.owner, placement.Query{Service: par.service, Partition: par.number, Number: mac.number, Criteria: mac.wish(now, fli)})
}

// choosePart picks a part in proportion to its targets.
func (mac *Machine) choosePart(svc *service) *part {
	all := 0
	for _, par := range svc.parts {
		all += len(par.targets)
	}
	if all == 0 {
		return svc.parts[0]
	}
	at := mac.rnd.IntN(all)
	for _, par := range svc.parts {
		if at -= len(par.targets); at < 0 {
			return par
		}
	}
	return svc.parts[0]
}

func (mac *Machine) wish(now clock.Instant, fli *flight) placement.Criteria {
	return placement.Criteria{
		Route: fli.route.Name, Domain: mac.set.Self.FailureDomain, Idempotent: fli.route.Idempotent, Retry: fli.sent > 0, Hedge: fli.hedging,
		TimeToGoal: max(fli.aim.Mono-now.Mono, 0), TimeLeft: max(fli.deadline.Mono-now.Mono, 0), Tried: slices.Clone(fli.tried),
		Priority: int(fli.priority),
	}
}

// placeAlone places a request without the placer.
func (mac *Machine) placeAlone(now clock.Instant, fli *flight) {
	ans := fli.askedPart.local.Place(now, placement.AttemptID{VM: mac.set.Self.ID, Number: fli.ask}, mac.wish(now, fli))
	mac.settle(now, fli, ans, "")
}

// placed takes the answer of a placer.
func (mac *Machine) placed(now clock.Instant, from string, ans placement.Answer) {
	id, asked := mac.asks[ans.Number]
	delete(mac.asks, ans.Number)
	fli := mac.flights[id]
	if !asked || fli == nil || !fli.placing || fli.ask != ans.Number {
		// The request has gone another way; the place is free again.
		if ans.Target != "" {
			mac.cancelPlace(now, from, ans)
		}
		return
	}
	if ans.Target != "" {
		fli.askedPart.local.Track(now, mac.set.Self.ID, placement.RunningAttempt{
			Number: ans.Number, Target: ans.Target, Route: fli.route.Name, TimeLeft: max(fli.deadline.Mono-now.Mono, 0),
		})
	}
	mac.settle(now, fli, ans, from)
}

func (mac *Machine) cancelPlace(now clock.Instant, from string, ans placement.Answer) {
	for _, svc := range mac.services {
		for _, par := range svc.parts {
			if _, found := par.local.Target(ans.Target); found {
				mac.send(now, from, placement.Ended{Ends: []placement.End{{Service: par.service, Partition: par.number, Number: ans.Number, Outcome: health.Canceled}}})
				return
			}
		}
	}
}

// settle dispatches a request that was placed, or decides what else becomes of
// it. placer is empty where the VM placed the request itself.
func (mac *Machine) settle(now clock.Instant, fli *flight, ans placement.Answer, placer string) {
	fli.placing = false
	if ans.Reason == placement.Unknown {
		mac.placeAlone(now, fli) // A placer that has just started may know less.
		return
	}
	if ans.Target == "" {
		mac.unplaced(now, fli, ans)
		return
	}
	tgt, found := fli.askedPart.local.Target(ans.Target)
	if !found {
		// The placer knows a target of which this VM has not heard yet.
		mac.reportEnd(now, fli.askedPart, fli.ask, placer, health.Canceled)
		mac.placeAlone(now, fli)
		return
	}
	mac.dispatch(now, fli, tgt, ans, placer)
}

// stopPlacing forgets the ask for a target, if one is under way. What is
// answered to it is then given back.
func (mac *Machine) stopPlacing(fli *flight) {
	fli.placing = false
	delete(mac.asks, fli.ask)
}

// unplaced decides on a request for which there is no target now.
func (mac *Machine) unplaced(now clock.Instant, fli *flight, ans placement.Answer) {
	if fli.running() {
		mac.keepAttempt(now, fli, string(ans.Reason))
		return
	}
	if fli.hedging && mac.mayRepeat(now, fli) {
		mac.next(now, fli, "no target has room") // The attempt beside it has ended.
		return
	}
	ref := request.Refusal{Reason: request.Overloaded, RetryAfter: ans.RetryAfter, Detail: "the targets have no room in time"}
	switch {
	case ans.Reason == placement.NoTarget && fli.attempt > 0:
		ref.Detail, ref.RetryAfter = "no target is left that has not been tried", mac.usualReturn()
	case ans.Reason == placement.NoTarget:
		ref.Reason, ref.Detail, ref.RetryAfter = request.NoTarget, "no target is registered", mac.usualReturn()
	case ans.Reason == placement.NoRetry:
		ref.Detail = "the budget of retries is spent"
	}
	mac.refuse(fli, ref)
}

// reportEnd tells the placers what became of an attempt.
func (mac *Machine) reportEnd(now clock.Instant, par *part, number uint64, placer string, outcome health.Outcome) {
	par.local.Ended(now, placement.AttemptID{VM: mac.set.Self.ID, Number: number}, outcome)
	if placer != "" {
		mac.send(now, placer, placement.Ended{Ends: []placement.End{{Service: par.service, Partition: par.number, Number: number, Outcome: outcome}}})
	}
}

// tickPlaces gives up placers that do not answer, and notes what the placers of
// this VM have come to believe.
func (mac *Machine) tickPlaces(now clock.Instant) {
	for _, id := range sortedFlights(mac.flights) {
		fli := mac.flights[id]
		if !fli.placing || now.Since(fli.asked) < placeTime {
			continue
		}
		mac.mute(now, fli.askedPart, fli.askedOwner)
		delete(mac.asks, fli.ask)
		mac.placeAlone(now, fli)
	}
	for _, name := range sortedNames(mac.services) {
		for _, par := range mac.services[name].parts {
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
				mac.note(event, "target", chg.Target, "service", par.service, "sick", chg.Sick, "cause", chg.Cause, "vm", chg.VM)
			}
		}
	}
}

// mute does not ask the placer of a part for a while that did not answer. Another
// VM may be its placer by now; that one is asked.
func (mac *Machine) mute(now clock.Instant, par *part, owner string) {
	if par.owner != owner {
		return
	}
	if !now.Before(par.muted) {
		mac.note("placerSilent", "service", par.service, "part", par.number, "vm", owner)
	}
	par.muted = now.Add(muteTime)
}

func sortedNames[T any](objs map[string]T) []string {
	names := make([]string, 0, len(objs))
	for name := range objs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
