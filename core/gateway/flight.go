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
	// hurryPause is how long a request waits for its target where it could not
	// be sent to another.
	hurryPause = 200 * time.Millisecond
	// proofSlack covers clocks that run at different rates.
	proofSlack = 50 * time.Millisecond
	// soonestReturn and latestReturn bound when refused callers are told to come
	// back where nothing better is known.
	soonestReturn = 250 * time.Millisecond
	latestReturn  = 1250 * time.Millisecond
)

// flight is a request that has not been answered to its end.
type flight struct {
	request.Request
	route   *config.Route
	service string
	// organisation is empty on open routes.
	organisation string
	priority     config.Priority
	arrived      clock.Instant
	// aim is until when an answer is of full use.
	aim      clock.Instant
	deadline clock.Instant
	attempt  int
	// placing is set while a target is asked for: by the ask with a number, sent
	// at asked to askedOwner for a target of askedPart.
	placing bool
	// hedging is set where that is for an attempt beside another.
	hedging    bool
	ask        uint64
	asked      clock.Instant
	askedOwner string
	askedPart  *part
	// tried lists the targets not to try again.
	tried []string
	// live has the attempts under way, the oldest first, maxLive at most.
	live []*attempt
	// patient is until when the attempts under way are waited for, if the request
	// may be repeated; then another may run beside them, and after limit in their
	// place.
	patient, limit clock.Instant
	// kept is the attempt of which it was noted that there was no place for
	// another.
	kept int
	// sent counts the attempts that reached a target, and runs those of them
	// that the target may have run.
	sent, runs int
	// answering is set once an answer is passed to the caller; its attempt is the
	// only live one then, and outcome is what that says of the target.
	answering bool
	outcome   health.Outcome
	// verdict is the worst of the attempts that ended.
	verdict verdict.Verdict
}

// attempt is a request at a target.
type attempt struct {
	number int
	target health.Target
	// part is that of the target, ticket the number of the attempt there, and
	// placer the VM that chose it, or empty.
	part   *part
	ticket uint64
	placer string
	began  clock.Instant
}

// running reports whether an attempt is under way.
func (fli *flight) running() bool { return len(fli.live) > 0 }

func (mac *Machine) arrived(now clock.Instant, req request.Request) {
	if !mac.knows() && mac.young(now) && !mac.ended {
		mac.early = append(mac.early, early{request: req, arrived: now})
		return
	}
	mac.take(now, now, req)
}

// take decides on a request that arrived at a time.
func (mac *Machine) take(now, arrived clock.Instant, req request.Request) {
	fli, ref := mac.admit(now, arrived, req)
	if ref == nil && mac.ended {
		ref = &request.Refusal{Reason: request.Overloaded, Detail: "the VM stops", RetryAfter: mac.usualReturn()}
	}
	if ref != nil {
		mac.noteRefusal(fli, req.ID, *ref)
		mac.do(Refuse{Request: req.ID, Refusal: *ref})
		return
	}
	mac.flights[req.ID] = fli
	if fli.organisation == "" {
		mac.start(now, fli)
		return
	}
	if dec, decided := mac.tokens.Admit(now, fli.organisation, uint64(req.ID)); decided {
		mac.rateDecided(now, dec)
	}
}

// noteRefusal notes why a request is refused; fli is nil where it has no route.
func (mac *Machine) noteRefusal(fli *flight, id request.ID, ref request.Refusal) {
	fields := []any{
		"reason", ref.Reason, "detail", ref.Detail, "verdict", ref.Verdict, "retryAfter", ref.RetryAfter, "version", mac.version(),
	}
	if fli != nil {
		fields = append(fields, "route", fli.route.Name, "organisation", fli.organisation, "service", fli.service, "attempts", fli.attempt)
	}
	mac.do(LogEntry{Request: id, Event: "refused", Fields: fields})
}

// rateDecided takes the decision on a request by the organisation's rate.
func (mac *Machine) rateDecided(now clock.Instant, dec quota.Decision) {
	fli := mac.flights[request.ID(dec.Request)]
	if fli == nil {
		return
	}
	if !dec.Admitted {
		lim, _ := mac.limit(fli.organisation)
		detail := fmt.Sprintf("the organisation's rate of %v a second and burst of %v are exceeded, say %v", lim.Rate.Float(), lim.Burst.Float(), mac.fleet.Holders())
		if dec.Local {
			detail = "the VM's own part of the organisation's rate is exceeded, and it reaches no server of tokens"
		}
		detail += fmt.Sprintf("; waited for %v", now.Since(fli.arrived).Round(time.Millisecond))
		mac.refuse(fli, request.Refusal{Reason: request.RateExceeded, Detail: detail, RetryAfter: dec.RetryAfter})
		return
	}
	mac.start(now, fli)
}

// admit finds the route and the organisation of a request.
func (mac *Machine) admit(now, arrived clock.Instant, req request.Request) (*flight, *request.Refusal) {
	if mac.config == nil {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM has no configuration yet", RetryAfter: mac.usualReturn()}
	}
	rou := mac.config.Snapshot.Route(req.Host, req.Path)
	if rou == nil {
		return nil, &request.Refusal{Reason: request.NoRoute, Detail: "no route matches the host, path and method"}
	}
	fli := &flight{Request: req, route: rou, priority: rou.Priority, arrived: arrived, deadline: arrived.Add(rou.Timeout), aim: arrived.Add(rou.LatencyGoal)}
	if req.Timeout > 0 && (req.Timeout < rou.Timeout || rou.Timeout <= 0) {
		fli.deadline = arrived.Add(req.Timeout)
	}
	fli.service = mac.chooseService(rou)
	if rou.Access == config.AccessOpen {
		return fli, nil
	}
	return fli, mac.authenticate(now, fli)
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
func (mac *Machine) authenticate(now clock.Instant, fli *flight) *request.Refusal {
	switch len(fli.Keys) {
	case 0:
		return &request.Refusal{Reason: request.NoKey, Detail: "the route needs a key"}
	case 1:
	default:
		return &request.Refusal{Reason: request.ManyKeys, Detail: "the request carries several keys"}
	}
	if age := now.Since(mac.configProven); age > mac.set.Policy.RevokeTime-proofSlack {
		return &request.Refusal{
			Reason: request.LeaseLapsed, RetryAfter: mac.usualReturn(),
			Detail: "the configuration was last known to be the newest " + age.Round(time.Millisecond).String() + " ago",
		}
	}
	key := mac.config.Snapshot.Key(fli.Keys[0])
	if key == nil {
		return &request.Refusal{Reason: request.UnknownKey, Detail: "the key is unknown or withdrawn"}
	}
	fli.organisation = key.Organisation
	if org := mac.config.Snapshot.Organisation(key.Organisation); org != nil && org.Priority != nil {
		fli.priority = *org.Priority
	}
	return nil
}

// usualReturn draws when a refused caller is to come back, so that those who are
// refused together do not return together.
func (mac *Machine) usualReturn() time.Duration {
	return soonestReturn + time.Duration(mac.rnd.Int64N(int64(latestReturn-soonestReturn)))
}

// refuse ends a request without an answer of a target. The status follows from
// the verdict: only a request that has not run may be said to be refused.
func (mac *Machine) refuse(fli *flight, ref request.Refusal) {
	ref.Verdict = fli.verdict
	if fli.running() {
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
		ref.RetryAfter = mac.usualReturn()
	}
	mac.forget(fli)
	mac.noteRefusal(fli, fli.ID, ref)
	mac.do(Refuse{Request: fli.ID, Refusal: ref})
}

// start has a request placed that may run.
func (mac *Machine) start(now clock.Instant, fli *flight) { mac.next(now, fli, "") }

// next has the next attempt of a request placed, or refuses the request with
// detail where there can be none.
func (mac *Machine) next(now clock.Instant, fli *flight, detail string) {
	var ref *request.Refusal
	if fli.deadline.Mono-now.Mono < minAttemptTime {
		ref = &request.Refusal{Reason: request.TimedOut, Detail: detail}
	} else if fli.route.Access == config.AccessKeyed && fli.attempt > 0 {
		ref = mac.authenticate(now, fli)
	}
	switch {
	case ref == nil:
		mac.place(now, fli)
	case fli.running():
		mac.keepAttempt(now, fli, string(ref.Reason))
	default:
		mac.refuse(fli, *ref)
	}
}

// keepAttempt goes on with the attempts under way, beside which there was to be
// another.
func (mac *Machine) keepAttempt(now clock.Instant, fli *flight, reason string) {
	fli.patient = now.Add(hurryPause)
	if fli.kept == fli.attempt {
		return
	}
	fli.kept = fli.attempt
	last := fli.live[len(fli.live)-1]
	mac.do(LogEntry{Request: fli.ID, Event: "notSentAgain", Fields: []any{
		"attempt", last.number, "target", last.target.ID, "reason", reason, "after", now.Since(last.began),
	}})
}

// dispatch sends a request to the target that was chosen, beside the attempt
// under way, if any, or in its place. A service whose slots are all held by
// requests that hang would else never be rid of them.
func (mac *Machine) dispatch(now clock.Instant, fli *flight, tgt health.Target, ans placement.Answer, placer string) {
	for len(fli.live) > 0 && !fli.hedging || len(fli.live) == maxLive {
		mac.drop(now, fli, fli.live[0], health.Overdue)
	}
	left := fli.deadline.Mono - now.Mono
	fli.attempt++
	beside := len(fli.live)
	fli.live = append(fli.live, &attempt{number: fli.attempt, target: tgt, part: fli.askedPart, ticket: fli.ask, placer: placer, began: now})
	fli.patient, fli.limit = now.Add(ans.HedgeAfter), now.Add(ans.ReplaceAfter)
	fli.sent++
	fli.tried = append(fli.tried, tgt.ID)
	mac.do(LogEntry{Request: fli.ID, Event: "dispatched", Fields: []any{
		"attempt", fli.attempt, "target", tgt.ID, "route", fli.route.Name, "left", left, "placer", placer, "beside", beside, "version", mac.version(),
	}})
	mac.do(Dispatch{
		Request: fli.ID, Attempt: fli.attempt, Target: tgt, Service: fli.service, Timeout: left, Idempotent: fli.route.Idempotent,
		Connections: mac.connections(tgt), Route: fli.route.Name, Organisation: fli.organisation,
	})
}

// connections returns this VM's part of the connections that a target takes.
func (mac *Machine) connections(tgt health.Target) int {
	return max(tgt.Connections/max(mac.fleet.View().Size(), 1), 1)
}

// current returns the flight and its attempt with a number, or nil where that is
// not under way.
func (mac *Machine) current(id request.ID, number int) (*flight, *attempt) {
	fli := mac.flights[id]
	if fli == nil || fli.answering {
		return nil, nil
	}
	at := slices.IndexFunc(fli.live, func(att *attempt) bool { return att.number == number })
	if at < 0 {
		return nil, nil
	}
	return fli, fli.live[at]
}

func (mac *Machine) answered(now clock.Instant, evt Answered) {
	fli, att := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	ans := evt.Response
	switch {
	case ans.Misdirected:
		mac.note("stranger", "target", att.target.ID, "address", att.target.Address)
		mac.wasShed(now, fli, att, health.Misdirected)
		return
	case ans.Shed:
		mac.wasShed(now, fli, att, health.Shed)
		return
	}
	failed := ans.Status >= 500
	if failed && fli.route.Idempotent && (len(fli.live) > 1 || mac.mayRepeat(now, fli)) {
		mac.drop(now, fli, att, health.ServerError)
		mac.goOn(now, fli, "the target failed")
		return
	}
	for _, other := range slices.Clone(fli.live) {
		if other != att {
			mac.drop(now, fli, other, health.Overdue)
		}
	}
	fli.answering = true
	mac.stopPlacing(fli)
	fli.verdict = verdict.Answered
	outcome := health.Success
	if failed {
		outcome = health.ServerError
	}
	fli.outcome = outcome
	mac.do(LogEntry{Request: fli.ID, Event: "answered", Fields: []any{
		"attempt", att.number, "target", att.target.ID, "status", ans.Status, "after", now.Since(fli.arrived),
	}})
	mac.do(Relay{Request: fli.ID, Attempt: att.number})
}

// goOn waits for the attempts that are left of a request, or has it placed anew.
func (mac *Machine) goOn(now clock.Instant, fli *flight, detail string) {
	if !fli.running() && !fli.placing {
		mac.next(now, fli, detail)
	}
}

// wasShed sends a request that its target refused to run to another target.
func (mac *Machine) wasShed(now clock.Instant, fli *flight, att *attempt, outcome health.Outcome) {
	mac.endAttempt(now, fli, att, outcome, verdict.NotRun)
	mac.do(CancelAttempt{Request: fli.ID, Attempt: att.number})
	mac.do(LogEntry{Request: fli.ID, Event: "shed", Fields: []any{"attempt", att.number, "target", att.target.ID}})
	if fli.running() || mac.mayRepeat(now, fli) {
		mac.goOn(now, fli, "the targets are overloaded")
		return
	}
	mac.refuse(fli, request.Refusal{Reason: request.Overloaded, Detail: "the targets are overloaded", RetryAfter: mac.usualReturn()})
}

func (mac *Machine) attemptFailed(now clock.Instant, evt AttemptFailed) {
	fli, att := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	if evt.Verdict == verdict.NotRun {
		fli.sent-- // Nothing reached the target.
	}
	mac.endAttempt(now, fli, att, evt.Outcome, evt.Verdict)
	mac.do(LogEntry{Request: fli.ID, Event: "attemptFailed", Fields: []any{
		"attempt", att.number, "target", att.target.ID, "outcome", evt.Outcome, "verdict", evt.Verdict, "detail", evt.Detail,
	}})
	reason := request.TargetFailed
	if fli.deadline.Mono-now.Mono < minAttemptTime {
		reason = request.TimedOut
	}
	// A request that its caller has given up gets no further attempt.
	again := evt.Outcome != health.Canceled && (evt.Verdict == verdict.NotRun || fli.route.Idempotent) && mac.mayRepeat(now, fli)
	if fli.running() || again {
		mac.goOn(now, fli, evt.Detail)
		return
	}
	mac.refuse(fli, request.Refusal{Reason: reason, Detail: evt.Detail})
}

// endAttempt closes an attempt with what it says of the target, and of the
// request.
func (mac *Machine) endAttempt(now clock.Instant, fli *flight, att *attempt, outcome health.Outcome, ver verdict.Verdict) {
	fli.live = slices.DeleteFunc(fli.live, func(one *attempt) bool { return one == att })
	fli.verdict = fli.verdict.Worse(ver)
	if ver != verdict.NotRun {
		fli.runs++
	}
	mac.reportEnd(now, att.part, att.ticket, att.placer, outcome)
}

// drop ends an attempt of a request that goes on.
func (mac *Machine) drop(now clock.Instant, fli *flight, att *attempt, outcome health.Outcome) {
	mac.endAttempt(now, fli, att, outcome, verdict.MayHaveRun)
	mac.do(CancelAttempt{Request: fli.ID, Attempt: att.number})
}

// endAll closes the attempts of a request that ends.
func (mac *Machine) endAll(now clock.Instant, fli *flight, outcome health.Outcome) {
	for _, att := range slices.Clone(fli.live) {
		mac.endAttempt(now, fli, att, outcome, verdict.MayHaveRun)
	}
}

// mayRepeat reports whether a request may be sent to a further target.
func (mac *Machine) mayRepeat(now clock.Instant, fli *flight) bool {
	runs := fli.runs + len(fli.live)
	return runs < fli.route.MaxAttempts && fli.attempt < maxAttempts && fli.deadline.Mono-now.Mono >= minAttemptTime
}

// hurry sends idempotent requests whose targets take far too long to others as
// well, and ends those whose time is over.
func (mac *Machine) hurry(now clock.Instant) {
	for _, id := range sortedFlights(mac.flights) {
		fli := mac.flights[id]
		if !fli.running() || fli.answering {
			continue
		}
		if !now.Before(fli.deadline) {
			mac.endAll(now, fli, health.Overdue)
			mac.refuse(fli, request.Refusal{Reason: request.TimedOut, Detail: "the target did not answer in time"})
			continue
		}
		if fli.route.Idempotent && !fli.placing && !now.Before(fli.patient) && mac.mayRepeat(now, fli) {
			mac.next(now, fli, "the target did not answer in time")
		}
	}
}

func sortedFlights(flis map[request.ID]*flight) []request.ID {
	out := make([]request.ID, 0, len(flis))
	for id := range flis {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (mac *Machine) relayEnded(now clock.Instant, evt RelayEnded) {
	fli := mac.flights[evt.Request]
	if fli == nil || !fli.answering {
		return
	}
	outcome := evt.Outcome
	if outcome == health.Success {
		outcome = fli.outcome
	}
	mac.endAll(now, fli, outcome)
	delete(mac.flights, fli.ID)
}

func (mac *Machine) callerLeft(now clock.Instant, id request.ID) {
	mac.early = slices.DeleteFunc(mac.early, func(ear early) bool { return ear.request.ID == id })
	fli := mac.flights[id]
	if fli == nil {
		return
	}
	mac.endAll(now, fli, health.Canceled)
	mac.do(LogEntry{Request: id, Event: "callerLeft", Fields: []any{"attempt", fli.attempt, "after", now.Since(fli.arrived)}})
	mac.forget(fli)
}

// forget drops a request and what is awaited for it.
func (mac *Machine) forget(fli *flight) {
	mac.tokens.Cancel(fli.organisation, uint64(fli.ID))
	mac.stopPlacing(fli)
	delete(mac.flights, fli.ID)
}
