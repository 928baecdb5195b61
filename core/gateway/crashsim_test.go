package gateway

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

const (
	// crashDelay is about how long a target runs a request that crashes it, and slowCrashDelay while
	// slowCrashes is set.
	crashDelay     = 60 * time.Millisecond
	slowCrashDelay = 900 * time.Millisecond
	// minDownTime and downTimeSpread say how long a target that has crashed is away.
	minDownTime    = time.Second
	downTimeSpread = 4 * time.Second
	// entryTime is how long the entry of a target that has crashed stays.
	entryTime = 4500 * time.Millisecond
	// hotContents is the number of contents that many callers ask for, and hotOdds how many requests there
	// are for each of these.
	hotContents = 3
	hotOdds     = 4
)

// crasher is a request that crashes the targets that run it. It comes again and again, at random VMs.
type crasher struct {
	name      string
	path      string
	perSecond float64
	// arrivals are those of the dispatched attempts at targets; sentAt is when they were dispatched.
	arrivals []arrival
	// crashed holds the runs of targets that it has crashed, crashedAt when it did, and dispatchedAt when the
	// attempts were dispatched.
	crashed                 []*simTarget
	crashedAt, dispatchedAt []time.Time
	// refusals counts the refusals of its attempts by status.
	refusals map[int]int
}

func (cra *crasher) content() request.Fingerprint {
	return request.FingerprintOf("GET", "h", "/crash/"+cra.name, nil)
}

// harmlessContent returns the content of the next request that harms no target.
func (sim *fleetSim) harmlessContent() request.Fingerprint {
	resource := fmt.Sprint("/one/", sim.sent)
	if sim.sent%hotOdds == 0 {
		resource = fmt.Sprint("/hot/", sim.sent/hotOdds%hotContents)
	}
	return request.FingerprintOf("GET", "h", resource, nil)
}

// doCrash carries out one line of a script: "crasher NAME RATE PATH" ("0" ends it), "crash TARGET...",
// "silence TARGET...", "reset TARGET...", "exit TARGET", "restart-all", "store-away on" and
// "slow-crashes on".
func (sim *fleetSim) doCrash(verb string, args []string) error {
	switch verb {
	case "crasher":
		return sim.setCrasher(args)
	case "store-away":
		sim.storeAway = args[0] == "on"
		if !sim.storeAway {
			sim.changed()
		}
	case "slow-crashes":
		sim.slowCrashes = args[0] == "on"
	case "restart-all":
		for _, vmm := range sim.vms {
			if err := sim.restart(vmm.name); err != nil {
				return err
			}
		}
	default:
		return sim.doTargets(verb, args)
	}
	return nil
}

// doTargets lets targets crash, fall silent, lose their connections or be taken away after a drain.
func (sim *fleetSim) doTargets(verb string, names []string) error {
	for _, tgt := range slices.Clone(sim.tgs) {
		if !slices.Contains(names, tgt.name) && !slices.Contains(names, "all") {
			continue
		}
		switch verb {
		case "crash":
			sim.crash(tgt)
		case "silence":
			tgt.silent = true
		case "reset":
			tgt.breakOff(sim, false)
		case "exit":
			sim.leaveAndExit(tgt)
		}
	}
	return nil
}

// leaveAndExit lets a target say that it leaves, and end with what it still runs.
func (sim *fleetSim) leaveAndExit(tgt *simTarget) {
	ent, registered := sim.entries[tgt.name]
	if !registered {
		return
	}
	ent.Leaving = true
	sim.entries[tgt.name] = ent
	sim.revision++
	sim.changed()
	sim.after(drainTime, func() {
		if tgt.up {
			sim.crash(tgt)
		}
	})
}

func (sim *fleetSim) setCrasher(args []string) error {
	perSecond, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(sim.crashers, func(cra *crasher) bool { return cra.name == args[0] })
	if at >= 0 {
		sim.crashers[at].perSecond = perSecond
		return nil
	}
	if len(args) < 3 {
		return errors.New("a crasher needs a path")
	}
	cra := &crasher{name: args[0], perSecond: perSecond, path: args[2], refusals: make(map[int]int)}
	sim.crashers = append(sim.crashers, cra)
	sim.sendCrasher(cra)
	return nil
}

// sendCrasher sends a request that crashes targets to a random VM, and schedules the next one.
func (sim *fleetSim) sendCrasher(cra *crasher) {
	wait := time.Second
	if cra.perSecond > 0 {
		wait = time.Duration(sim.rnd.ExpFloat64() * float64(time.Second) / cra.perSecond)
	}
	sim.after(wait, func() { sim.sendCrasher(cra) })
	if vmm := sim.vms[sim.rnd.IntN(len(sim.vms))]; vmm.mac != nil && cra.perSecond > 0 {
		vmm.arrive(cra.path, cra.content(), cra)
	}
}

// arrived records an attempt at a target, which crashes once it has run it for a while.
func (cra *crasher) arrived(sim *fleetSim, tgt *simTarget, begin time.Time, arr arrival) {
	cra.arrivals = append(cra.arrivals, arr)
	req := tgt.running[len(tgt.running)-1]
	delay := crashDelay
	if sim.slowCrashes {
		delay = slowCrashDelay
	}
	delay = delay/2 + time.Duration(sim.rnd.Int64N(int64(delay)))
	sim.at(begin.Add(delay), func() {
		if !tgt.up || tgt.silent || req.ended {
			return // A request whose connection was closed is dropped.
		}
		cra.crashed, cra.crashedAt, cra.dispatchedAt = append(cra.crashed, tgt), append(cra.crashedAt, sim.now), append(cra.dispatchedAt, arr.sentAt)
		sim.crash(tgt)
	})
}

// refused records that an attempt ended without a response.
func (cra *crasher) refused(sim *fleetSim, ref request.Refusal) {
	cra.refusals[ref.Reason.Status()]++
	if ref.Reason.Status() == 503 && ref.Verdict != verdict.NotRun {
		sim.faults = append(sim.faults, fmt.Sprintf("%s: refused with 503 although it may have run: %+v", cra.name, ref))
	}
}

// crash ends the run of a target. Another one starts after a while, sometimes with another name.
func (sim *fleetSim) crash(tgt *simTarget) {
	if !tgt.up {
		return
	}
	tgt.up = false
	if !tgt.silent {
		tgt.breakOff(sim, true)
	}
	down := minDownTime + time.Duration(sim.rnd.Int64N(int64(downTimeSpread)))
	if sim.rnd.IntN(2) == 0 {
		sim.after(down, func() { sim.registerLate(sim.startUnregistered(tgt.name)) })
		return
	}
	sim.after(down, func() { sim.startTarget(fmt.Sprintf("%s.%d", strings.SplitN(tgt.name, ".", 2)[0], sim.seq)) })
	sim.after(entryTime, func() {
		sim.stopTarget(tgt.name)
		delete(sim.entries, tgt.name)
		sim.revision++
		sim.changed()
	})
}

// breakOff ends all connections to a target.
func (tgt *simTarget) breakOff(sim *fleetSim, portClosed bool) {
	for _, req := range tgt.running {
		sim.after(targetDelay, func() {
			req.fail(AttemptFailed{Outcome: health.Failure, Verdict: verdict.MayHaveRun, PortClosed: portClosed})
		})
	}
	tgt.running = nil
}

// fail reports the failure of an attempt, unless it has ended: first at the VM that has forwarded it.
func (req *simRequest) fail(evt AttemptFailed) {
	if by := req.forwarder; by != nil && by.mac != nil && by.runs == req.forwarderRun && !req.ended {
		by.step(Forwarded{Forwarding: *req.forwarding, StartedAt: by.instant(), Outcome: evt.Outcome, PortClosed: evt.PortClosed})
	}
	if req.vm.mac == nil || req.vm.runs != req.run || req.ended {
		return
	}
	req.ended = true
	evt.Request, evt.Attempt, evt.Detail = req.key.request, req.key.number, "simulated"
	req.vm.step(evt)
}

// forgetUnstored begins to count anew for the requests of which no VM and not the store knows.
func (sim *fleetSim) forgetUnstored() {
	if slices.ContainsFunc(sim.vms, func(vmm *simVM) bool { return vmm.mac != nil }) {
		return
	}
	row, _ := sim.rows.Get(fleet.QuarantineName)
	for _, cra := range sim.crashers {
		if !slices.ContainsFunc(row.Value.Quarantine, func(rep quarantine.Report) bool { return rep.Content == cra.content().Of("") }) {
			cra.crashed, cra.crashedAt, cra.dispatchedAt, cra.arrivals = nil, nil, nil, nil
		}
	}
}

// crashedTooOften returns a line for each request that was sent to targets after it had crashed three, or
// that crashed more of them than the given number.
func (sim *fleetSim) crashedTooOften(most int) []string {
	var out []string
	for _, cra := range sim.crashers {
		if cnt := len(cra.crashed); cnt > most {
			out = append(out, fmt.Sprintf("%s: crashed %d targets, at most %d expected", cra.name, cnt, most))
		}
		if cnt := cra.crashedBySuspects(sim.crashNotice); cnt > provenCrashes-1 {
			out = append(out, fmt.Sprintf("%s: crashed %d targets by attempts later than %v after the first crash", cra.name, cnt, sim.crashNotice))
		}
		if late := cra.lateArrivals(sim.crashNotice); len(late) > 0 {
			out = append(out, fmt.Sprintf("%s: was sent to targets %d times later than %v after it had crashed %d, first by %s after %v",
				cra.name, len(late), sim.crashNotice, provenCrashes, late[0].vm, late[0].sentAt.Sub(cra.crashedAt[provenCrashes-1])))
		}
	}
	return out
}

// crashedBySuspects returns how many targets were crashed by attempts that were dispatched when the fleet
// had to know of the first crash.
func (cra *crasher) crashedBySuspects(notice time.Duration) int {
	cnt := 0
	for _, dispatchedAt := range cra.dispatchedAt {
		if dispatchedAt.Sub(cra.crashedAt[0]) > notice {
			cnt++
		}
	}
	return cnt
}

// lateArrivals returns the arrivals that were dispatched later than a time after the request had crashed
// provenCrashes targets, by VMs that reach the others.
func (cra *crasher) lateArrivals(after time.Duration) []arrival {
	if len(cra.crashedAt) < provenCrashes {
		return nil
	}
	provenAt := cra.crashedAt[provenCrashes-1]
	late := slices.DeleteFunc(slices.Clone(cra.arrivals), func(arr arrival) bool { return arr.cutOff || arr.sentAt.Sub(provenAt) <= after })
	slices.SortFunc(late, func(one, two arrival) int { return one.sentAt.Compare(two.sentAt) })
	return late
}

// provenCrashes is the number of targets that may crash under a request before it is sent to none any more.
const provenCrashes = 3
