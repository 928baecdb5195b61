package gateway

import (
	"math/rand/v2"
	"slices"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/verdict"
)

// Stalled reports that a request makes no progress on its way to a target.
type Stalled struct {
	Service string
	Target  string
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

// targets returns the targets of a service.
func (svc *service) targets() []health.Target {
	var tgs []health.Target
	for _, par := range svc.partitions {
		tgs = append(tgs, par.targets...)
	}
	return tgs
}

// shuffled returns the targets of a service in random order.
func (svc *service) shuffled(rnd *rand.Rand) []health.Target {
	tgs := svc.targets()
	rnd.Shuffle(len(tgs), func(one, two int) { tgs[one], tgs[two] = tgs[two], tgs[one] })
	return tgs
}

// connectFailed records that no connection to a target could be opened.
func (mac *Machine) connectFailed(now clock.Instant, name, target string) {
	svc := mac.services[name]
	if svc == nil {
		return
	}
	if mac.paths.Failed(now, name, target, svc.targets()) {
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
			mac.doubt(now, other, "", path.Unanswered)
		}
	}
	for _, par := range mac.services[name].partitions {
		par.local.PathsLost(now, mac.set.Self.ID)
		if par.placer != "" {
			mac.send(now, par.placer, placement.PathsLost{Service: name, Partition: par.number})
		}
	}
	mac.warnOfPaths(name)
	mac.resendStuck(now, name)
}

// resendStuck has the idempotent requests sent again at once that this VM has sent to targets of a service that
// it does not reach any more.
func (mac *Machine) resendStuck(now clock.Instant, name string) {
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		forwarded := slices.ContainsFunc(inf.live, func(att *attempt) bool { return att.forwarder != "" })
		if inf.service == name && inf.running() && !inf.relaying && !forwarded {
			inf.hedgeAt, inf.replaceAt = now, now
		}
	}
}

// probed handles the result of a probe.
func (mac *Machine) probed(now clock.Instant, evt Probed) {
	mac.replyAboutPorts(evt)
	svc := mac.services[evt.Service]
	switch {
	case svc == nil:
	case !evt.Reached:
		mac.connectFailed(now, evt.Service, evt.Target)
	case mac.paths.Connected(now, evt.Service, evt.Target, svc.targetCount()):
		mac.log("pathsFound", "service", evt.Service, "target", evt.Target)
	}
	mac.judgeClosedPorts(now)
}

// probe opens connections to targets of a service if the paths to them are in doubt.
func (mac *Machine) probe(now clock.Instant, name string) {
	if !mac.paths.Doubtful(name) {
		return
	}
	for _, tgt := range mac.paths.Probes(now, mac.rnd, name, mac.services[name].targets()) {
		mac.emit(Probe{Service: name, Target: tgt, Connections: mac.connections(tgt)})
	}
}

// tickPaths probes targets of the services to which the paths are in doubt.
func (mac *Machine) tickPaths(now clock.Instant) {
	for _, name := range sortedNames(mac.services) {
		mac.probe(now, name)
	}
}

// doubt records a sign against the path to a target.
func (mac *Machine) doubt(now clock.Instant, name, target string, dbt path.Doubt) {
	if mac.services[name] != nil {
		mac.paths.Doubted(name, target, dbt)
		mac.probe(now, name)
	}
}

// notePath records what the failure of an attempt says about the path to its target.
func (mac *Machine) notePath(now clock.Instant, inf *inFlight, att *attempt, evt AttemptFailed) {
	switch {
	case att.forwarder != "" && evt.Outcome == health.NotForwarded:
		inf.unfit = append(inf.unfit, att.forwarder)
		inf.retryAt(att.target.ID)
	case att.forwarder != "":
	case evt.Outcome == health.Unreachable:
		inf.retryAt(att.target.ID)
		inf.unreached = append(inf.unreached, att.target.ID)
		mac.connectFailed(now, inf.service, att.target.ID)
	case evt.Outcome == health.Failure && evt.Verdict == verdict.MayHaveRun:
		mac.doubt(now, inf.service, att.target.ID, path.Unanswered)
	}
}

// retryAt allows a request to be sent to a target again, which it has not reached.
func (inf *inFlight) retryAt(target string) {
	inf.tried = slices.DeleteFunc(inf.tried, func(one string) bool { return one == target })
}
