package gateway

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/retrybudget"
	"marigoldlug.example/core/verdict"
)

const (
	// minAttemptTime is the least time left to the deadline for which an attempt is started.
	minAttemptTime = 10 * time.Millisecond
	// maxDispatches limits the attempts of one request, including those that are known not to have
	// run. config.Route.MaxAttempts, which a note may set to 10 at most, limits only those that may
	// have run, so values above maxDispatches have no further effect.
	maxDispatches = 6
	// maxLive limits the concurrent attempts of one request.
	maxLive = 2
	// hedgeRetryDelay is how long a request waits before it tries again to start another attempt,
	// after that was not possible.
	hedgeRetryDelay = 200 * time.Millisecond
)

// inFlight is an in-flight request: one that has not been answered completely.
type inFlight struct {
	request.Request
	route   *config.Route
	service string
	// organisation is empty on open routes.
	organisation string
	// fingerprint identifies the content of the request together with its organisation.
	fingerprint request.Fingerprint
	priority    config.Priority
	arrived     clock.Instant
	// goal is the time by which the route's latency goal wants a response. Without a latency goal it
	// is the time of arrival: the goal counts as missed at every target alike.
	goal     clock.Instant
	deadline clock.Instant
	// attempt is the number of the last attempt, 0 before the first.
	attempt int
	// placing is set while a target is being chosen for the next attempt, and hedging if that
	// attempt is to run concurrently with another.
	placing bool
	hedging bool
	// queryNumber is the number of the query for that target, which was sent at queriedAt to
	// queriedPlacer for a target of queriedPartition.
	queryNumber      uint64
	queriedAt        clock.Instant
	queriedPlacer    string
	queriedPartition *partition
	// tried lists the IDs of the targets that the request is not sent to again.
	tried []string
	// unreached lists the targets that this VM did not reach. Another VM may reach them.
	unreached []string
	// unfit lists the VMs that could not forward the request.
	unfit []string
	// heldBack lists the targets that a placer chose and that this VM did not send the request to by
	// what they announce; see Machine.holdBack.
	heldBack []string
	// otherPartition is set once a second partition was asked; see Machine.tryOtherPartition.
	otherPartition bool
	// live holds the running attempts, the oldest first, maxLive at most.
	live []*attempt
	// hedgeAt is when an idempotent request may be sent to another target while its attempts are
	// running, and replaceAt when that attempt replaces the running ones.
	hedgeAt, replaceAt clock.Instant
	// loggedAttempt is the number of the last attempt of which it was logged that no further one
	// could be started.
	loggedAttempt int
	// sent counts the attempts that reached a target, and mayHaveRun the ended attempts that may have
	// run.
	sent, mayHaveRun int
	// relaying is set once a response is being passed on to the caller. The attempt that it belongs
	// to is the only live one then, and outcome is what the response says about the target.
	relaying bool
	outcome  health.Outcome
	// verdict is the worst verdict of the attempts that have ended.
	verdict verdict.Verdict
	// permission is what the request needs while its content is suspected to crash targets.
	permission permission
	// waits are those for the retry budget. waited is set from the end of one until a target is asked for.
	waits  retrybudget.Waits
	waited bool
}

// attempt is one sending of a request to a target.
type attempt struct {
	number int
	target health.Target
	// partition is that of the target, and queryNumber the number of the query for the target, by
	// which placers know the attempt. placer is the VM that chose the target, or empty if this VM did
	// so by itself.
	partition   *partition
	queryNumber uint64
	placer      string
	startedAt   clock.Instant
	// forwarder is the VM that sends the request to the target; empty if this one does.
	forwarder string
}

// running reports whether an attempt is running.
func (inf *inFlight) running() bool { return len(inf.live) > 0 }

// start asks for a target for the first attempt of an admitted request, which may have waited for tokens.
func (mac *Machine) start(now clock.Instant, inf *inFlight) {
	if mac.tooLateToStart(now, inf) {
		mac.refuse(now, inf, mac.stopRefusal())
		return
	}
	mac.nextAttempt(now, inf, "")
}

// nextAttempt asks for a target for the next attempt of a request. If the request may have no
// further attempt, it waits for the running ones or, without any, is refused. detail describes the
// last failure; it is reported if too little time is left.
func (mac *Machine) nextAttempt(now clock.Instant, inf *inFlight, detail string) {
	var ref *request.Refusal
	if inf.deadline.Mono-now.Mono < minAttemptTime {
		ref = &request.Refusal{Reason: request.TimedOut, Detail: detail}
	} else if inf.route.Access == config.AccessKeyed && inf.attempt > 0 {
		ref = mac.authenticate(now, inf)
	}
	switch {
	case ref == nil:
		mac.placePermitted(now, inf)
	case inf.running():
		mac.keepWaiting(now, inf, string(ref.Reason))
	default:
		mac.refuse(now, inf, *ref)
	}
}

// keepWaiting lets a request wait for its running attempts, because another one could not be
// started. That is tried again after hedgeRetryDelay.
func (mac *Machine) keepWaiting(now clock.Instant, inf *inFlight, reason string) {
	inf.hedgeAt = now.Add(hedgeRetryDelay)
	if inf.loggedAttempt == inf.attempt {
		return
	}
	inf.loggedAttempt = inf.attempt
	last := inf.live[len(inf.live)-1]
	mac.emit(LogEntry{Request: inf.ID, Event: "notSentAgain", Fields: []any{
		"attempt", last.number, "target", last.target.ID, "reason", reason, "after", now.Since(last.startedAt),
	}})
}

// dispatch sends a request to the chosen target, concurrently with the running attempt, if any, or
// in its place. Replacing attempts frees their slots: otherwise a service whose slots are all held
// by hanging requests would never recover.
func (mac *Machine) dispatch(now clock.Instant, inf *inFlight, tgt health.Target, ans placement.Answer, placer string) {
	for len(inf.live) > 0 && !inf.hedging || len(inf.live) == maxLive {
		mac.cancelAttempt(now, inf, inf.live[0], health.Overdue)
	}
	left := inf.deadline.Mono - now.Mono
	inf.attempt++
	beside := len(inf.live)
	fwd := mac.forwarding(inf, tgt, ans.Forwarder)
	inf.live = append(inf.live, &attempt{
		number: inf.attempt, target: tgt, partition: inf.queriedPartition, queryNumber: inf.queryNumber, placer: placer, startedAt: now, forwarder: fwd.vm(),
	})
	inf.hedgeAt, inf.replaceAt = now.Add(ans.HedgeAfter), now.Add(ans.ReplaceAfter)
	inf.sent++
	inf.tried = append(inf.tried, tgt.ID)
	fields := []any{
		"attempt", inf.attempt, "target", tgt.ID, "born", tgt.Born, "route", inf.route.Name, "left", left, "placer", placer, "beside", beside, "version", mac.version(),
		"content", inf.fingerprint,
	}
	if lim := mac.book.Limit(health.RunOf(tgt)); lim.Limited {
		fields = append(fields, "limit", lim.String())
	}
	if fwd != nil {
		fields = append(fields, "forwarder", fwd.VM.ID)
	}
	mac.emit(LogEntry{Request: inf.ID, Event: "dispatched", Fields: fields})
	mac.emit(Dispatch{
		Request: inf.ID, Attempt: inf.attempt, Target: tgt, Service: inf.service, Timeout: left, Idempotent: inf.route.Idempotent,
		Connections: mac.connections(tgt), Forwarding: fwd, Route: inf.route.Name, Organisation: inf.organisation,
	})
}

// unlimitedConnections is the limit on connections to a target for which none is stated.
const unlimitedConnections = 1 << 20

// connections returns this VM's share of the connections that the fleet may open to a target, which
// package target of lugd enforces. Every VM gets one at least: if the maximum is below the number of VMs
// the fleet may exceed it.
func (mac *Machine) connections(tgt health.Target) int {
	if tgt.Connections == 0 {
		return unlimitedConnections
	}
	return max(tgt.Connections/max(mac.fleet.View().Size(), 1), 1)
}

// currentAttempt returns a request and its attempt with the given number, or nil if that attempt is
// not running any more or a response is already being passed on.
func (mac *Machine) currentAttempt(id request.ID, number int) (*inFlight, *attempt) {
	inf := mac.requests[id]
	if inf == nil || inf.relaying {
		return nil, nil
	}
	at := slices.IndexFunc(inf.live, func(att *attempt) bool { return att.number == number })
	if at < 0 {
		return nil, nil
	}
	return inf, inf.live[at]
}

func (mac *Machine) answered(now clock.Instant, evt Answered) {
	inf, att := mac.currentAttempt(evt.Request, evt.Attempt)
	if inf == nil {
		return
	}
	rsp := evt.Response
	if att.forwarder == "" {
		mac.paths.Responded(now, inf.service)
	}
	if !rsp.Misdirected {
		mac.heard(now, inf, att, rsp.Announcement)
	}
	switch {
	case rsp.Misdirected:
		mac.log("stranger", "target", att.target.ID, "address", att.target.Address)
		mac.attemptShed(now, inf, att, health.Misdirected)
		return
	case rsp.Shed:
		mac.attemptShed(now, inf, att, health.Shed)
		return
	}
	failed := rsp.Status >= 500
	if failed && inf.route.Idempotent && (len(inf.live) > 1 || mac.mayRetry(now, inf)) {
		mac.cancelAttempt(now, inf, att, health.ServerError)
		mac.resume(now, inf, "the target failed")
		return
	}
	for _, other := range slices.Clone(inf.live) {
		if other != att {
			mac.cancelAttempt(now, inf, other, health.Overdue)
		}
	}
	inf.relaying = true
	mac.cancelQuery(inf)
	inf.verdict = verdict.Answered
	outcome := health.Success
	if failed {
		outcome = health.ServerError
	}
	inf.outcome = outcome
	mac.emit(LogEntry{Request: inf.ID, Event: "answered", Fields: []any{
		"attempt", att.number, "target", att.target.ID, "status", rsp.Status, "after", now.Since(inf.arrived),
	}})
	mac.emit(Relay{Request: inf.ID, Attempt: att.number})
}

// resume waits for the attempts of a request that are running or being placed, or asks for a target
// for a new one if there are none.
func (mac *Machine) resume(now clock.Instant, inf *inFlight, detail string) {
	if !inf.running() && !inf.placing && !inf.permission.waiting && !inf.waits.Waiting() {
		mac.nextAttempt(now, inf, detail)
	}
}

// attemptShed handles an attempt that its target refused to run: the request is sent to another
// target if possible.
func (mac *Machine) attemptShed(now clock.Instant, inf *inFlight, att *attempt, outcome health.Outcome) {
	mac.endAttempt(now, inf, att, outcome, verdict.NotRun)
	mac.emit(CancelAttempt{Request: inf.ID, Attempt: att.number})
	mac.emit(LogEntry{Request: inf.ID, Event: "shed", Fields: []any{"attempt", att.number, "target", att.target.ID}})
	if inf.running() || mac.mayRetry(now, inf) {
		mac.resume(now, inf, "the targets are overloaded")
		return
	}
	mac.refuse(now, inf, request.Refusal{Reason: request.Overloaded, Detail: "the targets are overloaded", RetryAfter: mac.randomRetryAfter()})
}

func (mac *Machine) attemptFailed(now clock.Instant, evt AttemptFailed) {
	inf, att := mac.currentAttempt(evt.Request, evt.Attempt)
	if inf == nil {
		return
	}
	if evt.Announcement != nil {
		mac.heard(now, inf, att, *evt.Announcement)
	}
	if evt.Verdict == verdict.NotRun {
		inf.sent-- // Nothing reached the target.
	}
	mac.emit(LogEntry{Request: inf.ID, Event: "attemptFailed", Fields: []any{
		"attempt", att.number, "target", att.target.ID, "outcome", evt.Outcome, "verdict", evt.Verdict, "detail", evt.Detail,
		"content", inf.fingerprint, "portClosed", evt.PortClosed,
	}})
	mac.notePath(now, inf, att, evt)
	if evt.Outcome == health.Failure && evt.Verdict == verdict.MayHaveRun && mac.brokeOff(now, inf, att, evt) {
		return // It ends once it is known why; see judgeClosedPorts.
	}
	mac.endFailed(now, inf, att, evt)
}

// endFailed ends an attempt without a response, and decides how the request continues.
func (mac *Machine) endFailed(now clock.Instant, inf *inFlight, att *attempt, evt AttemptFailed) {
	mac.endAttempt(now, inf, att, evt.Outcome, evt.Verdict)
	reason := request.TargetFailed
	if inf.deadline.Mono-now.Mono < minAttemptTime {
		reason = request.TimedOut
	}
	// A request that its caller gave up gets no further attempt.
	retry := evt.Outcome != health.Canceled && (evt.Verdict == verdict.NotRun || inf.route.Idempotent) && mac.mayRetry(now, inf)
	if inf.running() || retry {
		mac.resume(now, inf, evt.Detail)
		return
	}
	mac.refuse(now, inf, request.Refusal{Reason: reason, Detail: evt.Detail})
}

// endAttempt ends an attempt: the placers are told what its outcome says about the target, and its
// verdict is added to that of the request.
func (mac *Machine) endAttempt(now clock.Instant, inf *inFlight, att *attempt, outcome health.Outcome, ver verdict.Verdict) {
	inf.live = slices.DeleteFunc(inf.live, func(one *attempt) bool { return one == att })
	inf.verdict = inf.verdict.Worse(ver)
	if ver != verdict.NotRun {
		inf.mayHaveRun++
	}
	mac.returnPermit(now, inf)
	mac.reportEnd(now, att.partition, att.queryNumber, att.placer, outcome)
}

// cancelAttempt ends an attempt of a request that continues.
func (mac *Machine) cancelAttempt(now clock.Instant, inf *inFlight, att *attempt, outcome health.Outcome) {
	mac.endAttempt(now, inf, att, outcome, verdict.MayHaveRun)
	mac.emit(CancelAttempt{Request: inf.ID, Attempt: att.number})
}

// endAllAttempts ends the running attempts of a request that is ending.
func (mac *Machine) endAllAttempts(now clock.Instant, inf *inFlight, outcome health.Outcome) {
	for _, att := range slices.Clone(inf.live) {
		mac.endAttempt(now, inf, att, outcome, verdict.MayHaveRun)
	}
}

// mayRetry reports whether a request may be sent to another target.
func (mac *Machine) mayRetry(now clock.Instant, inf *inFlight) bool {
	mayHaveRun := inf.mayHaveRun + len(inf.live)
	return mayHaveRun < inf.route.MaxAttempts && inf.attempt < maxDispatches && inf.deadline.Mono-now.Mono >= minAttemptTime
}

// hedgeAndExpire starts another attempt of idempotent requests whose attempts take too long, and
// ends the requests whose deadline has passed.
func (mac *Machine) hedgeAndExpire(now clock.Instant) {
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		if inf == nil || !inf.running() || inf.relaying {
			continue
		}
		if !now.Before(inf.deadline) {
			mac.endAllAttempts(now, inf, health.Overdue)
			mac.refuse(now, inf, request.Refusal{Reason: request.TimedOut, Detail: "the target did not answer in time"})
			continue
		}
		if inf.route.Idempotent && !inf.placing && !now.Before(inf.hedgeAt) && mac.mayRetry(now, inf) {
			mac.nextAttempt(now, inf, "the target did not answer in time")
		}
	}
}

func sortedRequests(infs map[request.ID]*inFlight) []request.ID {
	out := make([]request.ID, 0, len(infs))
	for id := range infs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (mac *Machine) relayEnded(now clock.Instant, evt RelayEnded) {
	inf := mac.requests[evt.Request]
	if inf == nil || !inf.relaying {
		return
	}
	outcome := evt.Outcome
	if outcome == health.Success {
		outcome = inf.outcome
		mac.contentAnswered(now, inf)
	}
	if outcome == health.Overdue {
		mac.emit(LogEntry{Request: inf.ID, Event: "responseOverdue", Fields: []any{"target", inf.live[0].target.ID, "after", now.Since(inf.arrived)}})
	}
	if outcome == health.Failure {
		mac.doubt(now, inf.service, inf.live[0].target.ID, path.Unanswered)
		mac.brokeOff(now, inf, inf.live[0], AttemptFailed{PortClosed: evt.PortClosed})
		mac.emit(LogEntry{Request: inf.ID, Event: "responseBrokeOff", Fields: []any{
			"target", inf.live[0].target.ID, "content", inf.fingerprint, "portClosed", evt.PortClosed,
		}})
	}
	mac.endAllAttempts(now, inf, outcome)
	delete(mac.requests, inf.ID)
}

func (mac *Machine) callerLeft(now clock.Instant, id request.ID) {
	mac.queued = slices.DeleteFunc(mac.queued, func(que queued) bool { return que.request.ID == id })
	inf := mac.requests[id]
	if inf == nil {
		return
	}
	mac.endAllAttempts(now, inf, health.Canceled)
	mac.emit(LogEntry{Request: id, Event: "callerLeft", Fields: []any{"attempt", inf.attempt, "after", now.Since(inf.arrived)}})
	mac.remove(now, inf)
}

// remove deletes a request and cancels what it waits for.
func (mac *Machine) remove(now clock.Instant, inf *inFlight) {
	mac.tokens.Cancel(inf.organisation, uint64(inf.ID))
	mac.cancelQuery(inf)
	delete(mac.contents.asks, inf.permission.question)
	mac.returnPermit(now, inf)
	delete(mac.requests, inf.ID)
}
