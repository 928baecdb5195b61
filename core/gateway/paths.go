package gateway

import (
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// Stalled reports that an attempt makes no progress on its way to the target.
type Stalled struct {
	Request request.ID
	Attempt int
	// Doubt says how strongly that speaks against the path.
	Doubt path.Doubt
}

// Probed reports whether a connection to a target could be opened.
type Probed struct {
	Service string
	Target  string
	Reached bool
}

func (Stalled) event() {}
func (Probed) event()  {}

// Probe opens a connection to a target to learn whether this VM reaches it.
type Probe struct {
	Service string
	Target  health.Target
	// Connections limits the connections of this VM to the target.
	Connections int
}

func (Probe) action() {}

// targetCount returns the number of targets of a service.
func (svc *service) targetCount() int {
	cnt := 0
	for _, par := range svc.partitions {
		cnt += len(par.targets)
	}
	return cnt
}

// connectFailed records that no connection to a target could be opened.
func (mac *Machine) connectFailed(now clock.Instant, name, target string) {
	svc := mac.services[name]
	if svc == nil {
		return
	}
	if mac.paths.Failed(now, name, target, svc.targetCount()) {
		mac.log("pathsLost", "service", name, "targets", mac.paths.FailedTargets(name))
		mac.pathsLost(now, name)
	}
	mac.probe(now, name)
}

// pathsLost handles that this VM reaches no target of a service: it may reach those of others no more
// either.
func (mac *Machine) pathsLost(now clock.Instant, name string) {
	for _, other := range sortedNames(mac.services) {
		if other != name && !mac.paths.Lost(other) {
			mac.paths.Doubted(other, "", path.Unanswered)
			mac.probe(now, other)
		}
	}
}

// probed handles the result of a probe.
func (mac *Machine) probed(now clock.Instant, evt Probed) {
	svc := mac.services[evt.Service]
	switch {
	case svc == nil:
	case !evt.Reached:
		mac.connectFailed(now, evt.Service, evt.Target)
	case mac.paths.Connected(evt.Service, evt.Target, svc.targetCount()):
		mac.log("pathsFound", "service", evt.Service, "target", evt.Target)
	}
}

// probe opens connections to targets of a service if the paths to them are in doubt.
func (mac *Machine) probe(now clock.Instant, name string) {
	svc := mac.services[name]
	var tgs []health.Target
	for _, par := range svc.partitions {
		tgs = append(tgs, par.targets...)
	}
	for _, tgt := range mac.paths.Probes(now, mac.rnd, name, tgs) {
		mac.emit(Probe{Service: name, Target: tgt, Connections: mac.connections(tgt)})
	}
}

func (mac *Machine) tickPaths(now clock.Instant) {
	for _, name := range sortedNames(mac.services) {
		mac.probe(now, name)
	}
}

// stalled handles an attempt that makes no progress.
func (mac *Machine) stalled(now clock.Instant, evt Stalled) {
	if inf, att := mac.currentAttempt(evt.Request, evt.Attempt); att != nil {
		mac.paths.Doubted(inf.service, att.target.ID, evt.Doubt)
		mac.probe(now, inf.service)
	}
}

// notePath records what the failure of an attempt says about the path to its target.
func (mac *Machine) notePath(now clock.Instant, inf *inFlight, att *attempt, evt AttemptFailed) {
	switch {
	case evt.Outcome == health.Unreachable:
		mac.connectFailed(now, inf.service, att.target.ID)
	case evt.Outcome == health.Failure && evt.Verdict == verdict.MayHaveRun && mac.services[inf.service] != nil:
		mac.paths.Doubted(inf.service, att.target.ID, path.Unanswered)
		mac.probe(now, inf.service)
	}
}
