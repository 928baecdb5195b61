package gateway

import (
	"cmp"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
)

const (
	// closedPortTime is how long other VMs may take to say whether they reach a target whose port this VM found
	// closed.
	closedPortTime = 600 * time.Millisecond
	// askedAboutPort is how many other VMs are asked.
	askedAboutPort = 8
	// otherPorts is how many other targets of the service are probed at once.
	otherPorts = 2
	// maxClosedPorts bounds the targets about which VMs are asked at a time.
	maxClosedPorts = 64
)

// PortQuery asks another VM whether it reaches a target, since the sender has lost all its paths.
type PortQuery struct {
	Service string
	Run     health.Run
}

// PortReply answers a PortQuery.
type PortReply struct {
	Run     health.Run
	Reached bool
}

// closedPort is an attempt that broke off at a target which then refused a connection: its process is gone, or
// this VM has lost the path to it.
type closedPort struct {
	brokenOff

	service string
	// failed is the failure of an attempt of this VM that ends only now; zero if there is none.
	failed AttemptFailed
	// asked is set once other VMs have been asked.
	asked bool
}

// portClosed records an attempt at whose target the port was found closed, and reports whether it could.
func (mac *Machine) portClosed(now clock.Instant, prt closedPort) bool {
	con := &mac.contents
	if len(con.closedPorts) == maxClosedPorts {
		con.addBrokenOff(prt.brokenOff)
		return false
	}
	con.closedPorts = append(con.closedPorts, prt)
	mac.probeElsewhere(now, prt)
	return true
}

// probeElsewhere opens connections to other targets of a service at once, to learn whether the path is why a port
// was found closed.
func (mac *Machine) probeElsewhere(now clock.Instant, prt closedPort) {
	svc := mac.services[prt.service]
	if svc == nil || mac.paths.Lost(prt.service) {
		return
	}
	left := otherPorts
	for _, tgt := range svc.shuffled(mac.rnd) {
		if tgt.ID != prt.end.Run.Target && left > 0 {
			left--
			mac.emit(Probe{Service: prt.service, Target: tgt, Connections: mac.connections(tgt)})
		}
	}
	mac.doubt(now, prt.service, prt.end.Run.Target, path.Unanswered)
}

// judgeClosedPorts decides which of the runs have ended whose ports were found closed: those of services of which
// this VM has reached another target since, and those that no other VM reaches either.
func (mac *Machine) judgeClosedPorts(now clock.Instant) {
	con := &mac.contents
	waiting := con.closedPorts
	con.closedPorts = nil
	var ended []closedPort
	for _, prt := range waiting {
		lost := mac.paths.Lost(prt.service)
		if !lost && mac.paths.ReachedSince(prt.at, prt.service) || now.Since(prt.at) >= closedPortTime {
			ended = append(ended, prt)
			continue
		}
		if lost && !prt.asked {
			prt.asked = true
			mac.askAboutPort(prt)
		}
		con.closedPorts = append(con.closedPorts, prt)
	}
	for _, prt := range ended {
		mac.runEnded(now, prt.content, prt.end)
		mac.resumeJudged(now, prt)
	}
}

// askAboutPort asks other VMs whether they reach a target.
func (mac *Machine) askAboutPort(prt closedPort) {
	for _, vmm := range mac.otherVMs(askedAboutPort) {
		mac.emit(Send{To: vmm.ID, Message: PortQuery{Service: prt.service, Run: prt.end.Run}})
	}
}

// portQueried opens a connection to a target for another VM.
func (mac *Machine) portQueried(from string, qry PortQuery) {
	tgt, found := mac.targetOf(qry.Service, qry.Run)
	if !found {
		return
	}
	if len(mac.portAskers) >= maxClosedPorts {
		clear(mac.portAskers) // A probe that was not made is not answered.
	}
	mac.emit(Probe{Service: qry.Service, Target: tgt, Connections: mac.connections(tgt)})
	if !slices.Contains(mac.portAskers[qry.Run], from) {
		mac.portAskers[qry.Run] = append(mac.portAskers[qry.Run], from)
	}
}

// targetOf returns a target of a service if the given run of it is registered.
func (mac *Machine) targetOf(service string, run health.Run) (health.Target, bool) {
	svc := mac.services[service]
	if svc == nil {
		return health.Target{}, false
	}
	tgt, found := svc.partitions[partitionOf(run.Target, len(svc.partitions))].local.Target(run.Target)
	return tgt, found && health.RunOf(tgt) == run
}

// replyAboutPorts tells the VMs that have asked whether this one reaches a target.
func (mac *Machine) replyAboutPorts(evt Probed) {
	if len(mac.portAskers) == 0 {
		return
	}
	var runs []health.Run
	for run := range mac.portAskers {
		if run.Target == evt.Target {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(one, two health.Run) int { return cmp.Compare(one.Born, two.Born) })
	for _, run := range runs {
		for _, vmm := range mac.portAskers[run] {
			mac.emit(Send{To: vmm, Message: PortReply{Run: run, Reached: evt.Reached}})
		}
		delete(mac.portAskers, run)
	}
}

// portReplied handles the word of another VM. One that reaches the target proves that the path of this VM was
// why the attempt broke off; whether the target has started again meanwhile, only its registration can tell.
func (mac *Machine) portReplied(now clock.Instant, rep PortReply) {
	if !rep.Reached {
		return
	}
	con := &mac.contents
	var excused []closedPort
	con.closedPorts = slices.DeleteFunc(con.closedPorts, func(prt closedPort) bool {
		if prt.end.Run != rep.Run {
			return false
		}
		excused = append(excused, prt)
		return true
	})
	for _, prt := range excused {
		con.addBrokenOff(prt.brokenOff)
		mac.resumeJudged(now, prt)
	}
}

// resumeJudged ends the attempt that has waited for the judgement, if it has not ended since.
func (mac *Machine) resumeJudged(now clock.Instant, prt closedPort) {
	if inf, att := mac.currentAttempt(prt.failed.Request, prt.failed.Attempt); att != nil {
		mac.endFailed(now, inf, att, prt.failed)
	}
}
