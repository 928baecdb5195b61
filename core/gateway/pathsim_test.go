package gateway

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/verdict"
)

// The times after which the driver reports on paths.
const (
	simUnanswered   = 150 * time.Millisecond
	simDialTimeout  = 500 * time.Millisecond
	simProbeTimeout = 150 * time.Millisecond
)

// pathFault is how the paths of a VM to all targets fail.
type pathFault string

const (
	// pathHangs delivers nothing.
	pathHangs pathFault = "hang"
	// pathResets resets connections and refuses new ones.
	pathResets pathFault = "reset"
	// pathRefuses refuses new connections, and lets open ones live on.
	pathRefuses pathFault = "refuse"
)

// tries counts the requests of callers at some VMs.
type tries struct{ sent, served int }

// suspicion is that a placer came to suspect a target by what a VM reported.
type suspicion struct {
	at         time.Time
	target, vm string
}

func (sim *fleetSim) noteSuspicion(ent LogEntry) {
	if ent.Event != "targetSuspected" {
		return
	}
	sus := suspicion{at: sim.now}
	for num := 0; num < len(ent.Fields); num += 2 {
		val, _ := ent.Fields[num+1].(string)
		switch ent.Fields[num] {
		case "target":
			sus.target = val
		case "vm":
			sus.vm = val
		}
	}
	sim.suspicions = append(sim.suspicions, sus)
}

// sever has a share of the VMs lose their paths to all targets: "sever MODE COUNT".
func (sim *fleetSim) sever(args []string) error {
	cnt, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	mode := pathFault(args[0])
	if !slices.Contains([]pathFault{pathHangs, pathResets, pathRefuses}, mode) {
		return errors.New("unknown fault of paths")
	}
	sim.severedAt = sim.now
	for _, at := range sim.rnd.Perm(len(sim.vms))[:min(cnt, len(sim.vms))] {
		vmm := sim.vms[at]
		sim.severed[vmm.name] = mode
		for _, req := range vmm.live {
			if mode == pathResets && !req.ended && req.target != nil {
				req.fail(AttemptFailed{Outcome: health.Failure, Verdict: verdict.MayHaveRun, PortClosed: true})
			}
		}
	}
	return nil
}

// mend has all paths work again.
func (sim *fleetSim) mend() { clear(sim.severed) }

// count counts a request that arrives once some VMs have been severed for stableTime.
func (vmm *simVM) count() {
	sim := vmm.sim
	if len(sim.severed) == 0 || sim.now.Sub(sim.severedAt) < stableTime {
		return
	}
	_, severed := sim.severed[vmm.name]
	vmm.counted[vmm.next] = &sim.atOthers
	if severed {
		vmm.counted[vmm.next] = &sim.atSevered
	}
	vmm.counted[vmm.next].sent++
}

// connected reports whether a VM has an open connection to a target.
func (vmm *simVM) connected(target string) bool {
	return vmm.connections[target] && vmm.sim.rnd.IntN(2) == 0
}

// blocked handles an attempt of a VM whose path to the targets fails, and reports whether it does.
func (vmm *simVM) blocked(req *simRequest, act Dispatch) bool {
	sim := vmm.sim
	mode, severed := sim.severed[vmm.name]
	open := vmm.connected(act.Target.ID)
	unreachable := AttemptFailed{Outcome: health.Unreachable, Verdict: verdict.NotRun}
	switch {
	case !severed || mode == pathRefuses && open:
		return false
	case mode != pathHangs:
		sim.after(targetDelay, func() { req.fail(unreachable) })
		return true
	}
	run := vmm.runs
	sim.after(simUnanswered, func() {
		if vmm.mac != nil && vmm.runs == run && !req.ended {
			vmm.step(Stalled{Service: act.Service, Target: act.Target.ID, Doubt: path.Unanswered})
		}
	})
	if open {
		vmm.connections[act.Target.ID] = false
		sim.after(act.Timeout, func() { req.fail(AttemptFailed{Outcome: health.Overdue, Verdict: verdict.MayHaveRun}) })
		return true
	}
	sim.after(simDialTimeout, func() { req.fail(unreachable) })
	return true
}

// forward delivers an attempt to the VM that is to forward it, and returns it, or nil if it does not forward.
func (vmm *simVM) forward(req *simRequest, act Dispatch) *simVM {
	sim := vmm.sim
	fwd := act.Forwarding
	by := sim.vm(fwd.VM.ID)
	if by == nil || by.mac == nil || by.mac.set.Self.ID != fwd.VM.ID || sim.cut[by.name] || sim.cut[vmm.name] {
		req.fail(AttemptFailed{Outcome: health.NotForwarded, Verdict: verdict.NotRun})
		return nil
	}
	if _, _, rej := by.mac.MayForward(by.instant(), *fwd); rej != nil {
		req.fail(AttemptFailed{Outcome: rej.Outcome, Verdict: verdict.NotRun})
		return nil
	}
	if _, severed := sim.severed[by.name]; severed {
		by.step(Forwarded{Forwarding: *fwd, Outcome: health.Unreachable})
		req.fail(AttemptFailed{Outcome: health.Unreachable, Verdict: verdict.NotRun})
		return nil
	}
	return by
}

// probe opens a connection to a target.
func (vmm *simVM) probe(act Probe) {
	sim, run := vmm.sim, vmm.runs
	mode, severed := sim.severed[vmm.name]
	after := targetDelay
	if severed && mode == pathHangs {
		after = simProbeTimeout
	}
	sim.after(after, func() {
		if vmm.mac == nil || vmm.runs != run {
			return
		}
		tgt := sim.target(act.Target.ID)
		vmm.step(Probed{Service: act.Service, Target: act.Target.ID, Reached: !severed && tgt != nil && tgt.up})
	})
}
