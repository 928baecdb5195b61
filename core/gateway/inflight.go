package gateway

import (
	"fmt"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

const (
	// minAttemptTime is the least time to the deadline that is worth an attempt.
	minAttemptTime = 10 * time.Millisecond
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 6
	// maxLive bounds the attempts of a request that are under way at a time.
	maxLive = 2
	// hedgeRetryDelay is how long a request waits for its target where it could not
	// be sent to another.
	hedgeRetryDelay = 200 * time.Millisecond
	// clockDriftMargin covers clocks that run at different rates.
	clockDriftMargin = 50 * time.Millisecond
	// minRetryAfter and latestReturn bound when refused callers are told to come
	// back where nothing better is known.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 1250 * time.Millisecond
)

// inFlight is a request that has not been answered to its end.
type inFlight struct {
	request.Request
	route   *config.Route
	service string
	// organisation is empty on open routes.
	organisation string
	priority     config.Priority
	arrived      clock.Instant
	// goal is until when an answer is of full use.
	goal     clock.Instant
	deadline clock.Instant
	attempt  int
	// placing is set while a target is asked for: by the ask with a number, sent
	// at asked to askedOwner for a target of askedPart.
	placing bool
	// hedging is set where that is for an attempt beside another.
	hedging          bool
	query            uint64
	queriedAt        clock.Instant
	queriedOwner     string
	queriedPartition *partition
	// tried lists the targets not to try again.
	tried []string
	// live has the attempts under way, the oldest first, maxLive at most.
	live []*attempt
	// hedgeAt is until when the attempts under way are waited for, if the request
	// may be repeated; then another may run beside them, and after limit in their
	// place.
	hedgeAt, replaceAt clock.Instant
	// loggedAttempt is the attempt of which it was noted that there was no place for
	// another.
	loggedAttempt int
	// sent counts the attempts that reached a target, and runs those of them
	// that the target may have run.
	sent, runs int
	// relaying is set once an answer is passed to the caller; its attempt is the
	// only live one then, and outcome is what that says of the target.
	relaying bool
	outcome  health.Outcome
	// verdict is the worst of the attempts that ended.
	verdict verdict.Verdict
}

// attempt is a request at a target.
type attempt struct {
	number int
	target health.Target
	// partition is that of the target, ticket the number of the attempt there, and
	// placer the VM that chose it, or empty.
	partition *partition
	ticket    uint64
	placer    string
	startedAt clock.Instant
}

// running reports whether an attempt is under way.
func (inf *inFlight) running() bool { return len(inf.live) > 0 }

func (mac *Machine) arrived(now clock.Instant, req request.Request) {
	if !mac.synced() && mac.starting(now) && !mac.pastStopDeadline {
		mac.queued = append(mac.queued, queued{request: req, arrived: now})
		return
	}
	mac.handleRequest(now, now, req)
}

// handleRequest decides on a request that arrived at a time.
func (mac *Machine) handleRequest(now, arrived clock.Instant, req request.Request) {
	inf, ref := mac.newFlight(now, arrived, req)
	if ref == nil && mac.pastStopDeadline {
		ref = &request.Refusal{Reason: request.Overloaded, Detail: "the VM stops", RetryAfter: mac.randomRetryAfter()}
	}
	if ref != nil {
		mac.logRefusal(inf, req.ID, *ref)
		mac.emit(Refuse{Request: req.ID, Refusal: *ref})
		return
	}
	mac.requests[req.ID] = inf
	if inf.organisation == "" {
		mac.start(now, inf)
		return
	}
	if dec, decided := mac.tokens.Admit(now, inf.organisation, uint64(req.ID)); decided {
		mac.rateLimitDecided(now, dec)
	}
}

// logRefusal notes why a request is refused; fli is nil where it has no route.
func (mac *Machine) logRefusal(inf *inFlight, id request.ID, ref request.Refusal) {
	fields := []any{
		"reason", ref.Reason, "detail", ref.Detail, "verdict", ref.Verdict, "retryAfter", ref.RetryAfter, "version", mac.version(),
	}
	if inf != nil {
		fields = append(fields, "route", inf.route.Name, "organisation", inf.organisation, "service", inf.service, "attempts", inf.attempt)
	}
	mac.emit(LogEntry{Request: id, Event: "refused", Fields: fields})
}

// rateLimitDecided takes the decision on a request by the organisation's rate.
func (mac *Machine) rateLimitDecided(now clock.Instant, dec quota.Decision) {
	inf := mac.requests[request.ID(dec.Request)]
	if inf == nil {
		return
	}
	if !dec.Admitted {
		lim, _ := mac.limit(inf.organisation)
		detail := fmt.Sprintf("the organisation's rate of %v a second and burst of %v are exceeded, say %v", lim.Rate.Float(), lim.Burst.Float(), mac.fleet.Holders())
		if dec.Local {
			detail = "the VM's own part of the organisation's rate is exceeded, and it reaches no server of tokens"
		}
		detail += fmt.Sprintf("; waited for %v", now.Since(inf.arrived).Round(time.Millisecond))
		mac.refuse(inf, request.Refusal{Reason: request.RateExceeded, Detail: detail, RetryAfter: dec.RetryAfter})
		return
	}
	mac.start(now, inf)
}

// newFlight finds the route and the organisation of a request.
func (mac *Machine) newFlight(now, arrived clock.Instant, req request.Request) (*inFlight, *request.Refusal) {
	if mac.config == nil {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM has no configuration yet", RetryAfter: mac.randomRetryAfter()}
	}
	rou := mac.config.Snapshot.Route(req.Host, req.Path)
	if rou == nil {
		return nil, &request.Refusal{Reason: request.NoRoute, Detail: "no route matches the host, path and method"}
	}
	inf := &inFlight{Request: req, route: rou, priority: rou.Priority, arrived: arrived, deadline: arrived.Add(rou.Timeout), goal: arrived.Add(rou.LatencyGoal)}
	if req.Timeout > 0 && (req.Timeout < rou.Timeout || rou.Timeout <= 0) {
		inf.deadline = arrived.Add(req.Timeout)
	}
	inf.service = mac.chooseService(rou)
	if rou.Access == config.AccessOpen {
		return inf, nil
	}
	return inf, mac.authenticate(now, inf)
}

// chooseService divides the requests of a route by the weights of its shares.
func (mac *Machine) chooseService(rou *config.Route) string {
	if len(rou.Split) == 0 {
		return rou.Service
	}
	sum := 0.0
	for _, sha := range rou.Split {
		sum += sha.Weight
	}
	at := mac.rnd.Float64() * sum
	for _, sha := range rou.Split {
		if at -= sha.Weight; at < 0 {
			return sha.Service
		}
	}
	return rou.Split[len(rou.Split)-1].Service
}

// authenticate checks the key of a request against the newest configuration,
// and that no withdrawal can have been missed for too long.
func (mac *Machine) authenticate(now clock.Instant, inf *inFlight) *request.Refusal {
	switch len(inf.Keys) {
	case 0:
		return &request.Refusal{Reason: request.NoKey, Detail: "the route needs a key"}
	case 1:
	default:
		return &request.Refusal{Reason: request.ManyKeys, Detail: "the request carries several keys"}
	}
	if age := now.Since(mac.configConfirmedAt); age > mac.set.Policy.RevokeTime-clockDriftMargin {
		return &request.Refusal{
			Reason: request.LeaseLapsed, RetryAfter: mac.randomRetryAfter(),
			Detail: "the configuration was last known to be the newest " + age.Round(time.Millisecond).String() + " ago",
		}
	}
	key := mac.config.Snapshot.Key(inf.Keys[0])
	if key == nil {
		return &request.Refusal{Reason: request.UnknownKey, Detail: "the key is unknown or withdrawn"}
	}
	inf.organisation = key.Organisation
	if org := mac.config.Snapshot.Organisation(key.Organisation); org != nil && org.Priority != nil {
		inf.priority = *org.Priority
	}
	return nil
}

// randomRetryAfter draws when a refused caller is to come back, so that those who are
// refused together do not return together.
func (mac *Machine) randomRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(mac.rnd.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// refuse ends a request without an answer of a target. The status follows from
// the verdict: only a request that has not run may be said to be refused.
func (mac *Machine) refuse(inf *inFlight, ref request.Refusal) {
	ref.Verdict = inf.verdict
	if inf.running() {
		ref.Verdict = ref.Verdict.Worse(verdict.MayHaveRun)
	}
	failed := ref.Reason == request.TargetFailed || ref.Reason == request.TimedOut
	if failed && ref.Verdict == verdict.NotRun {
		ref.Reason = request.Overloaded
	}
	if !failed && ref.Verdict != verdict.NotRun {
		ref.Reason = request.TargetFailed
	}
	if ref.Verdict == verdict.NotRun && ref.Reason == request.Overloaded && ref.RetryAfter == 0 {
		ref.RetryAfter = mac.randomRetryAfter()
	}
	mac.remove(inf)
	mac.logRefusal(inf, inf.ID, ref)
	mac.emit(Refuse{Request: inf.ID, Refusal: ref})
}

// start has a request placed that may run.
func (mac *Machine) start(now clock.Instant, inf *inFlight) { mac.nextAttempt(now, inf, "") }

// nextAttempt has the next attempt of a request placed, or refuses the request with
// detail where there can be none.
func (mac *Machine) nextAttempt(now clock.Instant, inf *inFlight, detail string) {
	var ref *request.Refusal
	if inf.deadline.Mono-now.Mono < minAttemptTime {
		ref = &request.Refusal{Reason: request.TimedOut, Detail: detail}
	} else if inf.route.Access == config.AccessKeyed && inf.attempt > 0 {
		ref = mac.authenticate(now, inf)
	}
	switch {
	case ref == nil:
		mac.place(now, inf)
	case inf.running():
		mac.keepWaiting(now, inf, string(ref.Reason))
	default:
		mac.refuse(inf, *ref)
	}
}

// keepWaiting goes on with the attempts under way, beside which there was to be
// another.
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

// dispatch sends a request to the target that was chosen, beside the attempt
// under way, if any, or in its place. A service whose slots are all held by
// requests that hang would else never be rid of them.
func (mac *Machine) dispatch(now clock.Instant, inf *inFlight, tgt health.Target, ans placement.Answer, placer string) {
	for len(inf.live) > 0 && !inf.hedging || len(inf.live) == maxLive {
		mac.cancelAttempt(now, inf, inf.live[0], health.Overdue)
	}
	left := inf.deadline.Mono - now.Mono
	inf.attempt++
	beside := len(inf.live)
	inf.live = append(inf.live, &attempt{number: inf.attempt, target: tgt, partition: inf.queriedPartition, ticket: inf.query, placer: placer, startedAt: now})
	inf.hedgeAt, inf.replaceAt = now.Add(ans.HedgeAfter), now.Add(ans.ReplaceAfter)
	inf.sent++
	inf.tried = append(inf.tried, tgt.ID)
	mac.emit(LogEntry{Request: inf.ID, Event: "dispatched", Fields: []any{
		"attempt", inf.attempt, "target", tgt.ID, "route", inf.route.Name, "left", left, "placer", placer, "beside", beside, "version", mac.version(),
	}})
	mac.emit(Dispatch{
		Request: inf.ID, Attempt: inf.attempt, Target: tgt, Service: inf.service, Timeout: left, Idempotent: inf.route.Idempotent,
		Connections: mac.connections(tgt), Route: inf.route.Name, Organisation: inf.organisation,
	})
}

// connections returns this VM's part of the connections that a target takes.
func (mac *Machine) connections(tgt health.Target) int {
	return max(tgt.Connections/max(mac.fleet.View().Size(), 1), 1)
}

// currentAttempt returns the flight and its attempt with a number, or nil where that is
// not under way.
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

// resume waits for the attempts that are left of a request, or has it placed anew.
func (mac *Machine) resume(now clock.Instant, inf *inFlight, detail string) {
	if !inf.running() && !inf.placing {
		mac.nextAttempt(now, inf, detail)
	}
}

// attemptShed sends a request that its target refused to run to another target.
func (mac *Machine) attemptShed(now clock.Instant, inf *inFlight, att *attempt, outcome health.Outcome) {
	mac.endAttempt(now, inf, att, outcome, verdict.NotRun)
	mac.emit(CancelAttempt{Request: inf.ID, Attempt: att.number})
	mac.emit(LogEntry{Request: inf.ID, Event: "shed", Fields: []any{"attempt", att.number, "target", att.target.ID}})
	if inf.running() || mac.mayRetry(now, inf) {
		mac.resume(now, inf, "the targets are overloaded")
		return
	}
	mac.refuse(inf, request.Refusal{Reason: request.Overloaded, Detail: "the targets are overloaded", RetryAfter: mac.randomRetryAfter()})
}

func (mac *Machine) attemptFailed(now clock.Instant, evt AttemptFailed) {
	inf, att := mac.currentAttempt(evt.Request, evt.Attempt)
	if inf == nil {
		return
	}
	if evt.Verdict == verdict.NotRun {
		inf.sent-- // Nothing reached the target.
	}
	mac.endAttempt(now, inf, att, evt.Outcome, evt.Verdict)
	mac.emit(LogEntry{Request: inf.ID, Event: "attemptFailed", Fields: []any{
		"attempt", att.number, "target", att.target.ID, "outcome", evt.Outcome, "verdict", evt.Verdict, "detail", evt.Detail,
	}})
	reason := request.TargetFailed
	if inf.deadline.Mono-now.Mono < minAttemptTime {
		reason = request.TimedOut
	}
	// A request that its caller has given up gets no further attempt.
	again := evt.Outcome != health.Canceled && (evt.Verdict == verdict.NotRun || inf.route.Idempotent) && mac.mayRetry(now, inf)
	if inf.running() || again {
		mac.resume(now, inf, evt.Detail)
		return
	}
	mac.refuse(inf, request.Refusal{Reason: reason, Detail: evt.Detail})
}

// endAttempt closes an attempt with what it says of the target, and of the
// request.
func (mac *Machine) endAttempt(now clock.Instant, inf *inFlight, att *attempt, outcome health.Outcome, ver verdict.Verdict) {
	inf.live = slices.DeleteFunc(inf.live, func(one *attempt) bool { return one == att })
	inf.verdict = inf.verdict.Worse(ver)
	if ver != verdict.NotRun {
		inf.runs++
	}
	mac.reportEnd(now, att.partition, att.ticket, att.placer, outcome)
}

// cancelAttempt ends an attempt of a request that goes on.
func (mac *Machine) cancelAttempt(now clock.Instant, inf *inFlight, att *attempt, outcome health.Outcome) {
	mac.endAttempt(now, inf, att, outcome, verdict.MayHaveRun)
	mac.emit(CancelAttempt{Request: inf.ID, Attempt: att.number})
}

// endAllAttempts closes the attempts of a request that ends.
func (mac *Machine) endAllAttempts(now clock.Instant, inf *inFlight, outcome health.Outcome) {
	for _, att := range slices.Clone(inf.live) {
		mac.endAttempt(now, inf, att, outcome, verdict.MayHaveRun)
	}
}

// mayRetry reports whether a request may be sent to a further target.
func (mac *Machine) mayRetry(now clock.Instant, inf *inFlight) bool {
	runs := inf.runs + len(inf.live)
	return runs < inf.route.MaxAttempts && inf.attempt < maxAttempts && inf.deadline.Mono-now.Mono >= minAttemptTime
}

// hedgeAndExpire sends idempotent requests whose targets take far too long to others as
// well, and ends those whose time is over.
func (mac *Machine) hedgeAndExpire(now clock.Instant) {
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		if !inf.running() || inf.relaying {
			continue
		}
		if !now.Before(inf.deadline) {
			mac.endAllAttempts(now, inf, health.Overdue)
			mac.refuse(inf, request.Refusal{Reason: request.TimedOut, Detail: "the target did not answer in time"})
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
	mac.remove(inf)
}

// remove drops a request and what is awaited for it.
func (mac *Machine) remove(inf *inFlight) {
	mac.tokens.Cancel(inf.organisation, uint64(inf.ID))
	mac.cancelQuery(inf)
	delete(mac.requests, inf.ID)
}
