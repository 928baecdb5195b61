package gateway

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

const (
	// minAttemptTime is the least time to the deadline that is worth an attempt.
	minAttemptTime = 10 * time.Millisecond
	// maxSheds bounds the targets that may refuse to run one request.
	maxSheds = 3
	// proofSlack covers clocks that run at different rates.
	proofSlack = 50 * time.Millisecond
	// usualReturn is when a refused caller is told to come back where nothing
	// better is known.
	usualReturn = 500 * time.Millisecond
)

// flight is a request that has not been answered to its end.
type flight struct {
	request.Request
	route   *config.Route
	service string
	// organisation is empty on open routes.
	organisation string
	arrived      clock.Instant
	deadline     clock.Instant
	attempt      int
	// tried lists the targets not to try again.
	tried  []string
	target health.Target
	ticket health.Ticket
	began  clock.Instant
	// sheds counts the attempts that a target refused to run.
	sheds int
	// running is set while an attempt is under way.
	running bool
	// answering is set once an answer is passed to the caller.
	answering bool
	// verdict is the worst of the attempts that ended.
	verdict verdict.Verdict
}

func (mac *Machine) arrived(now clock.Instant, req request.Request) {
	fli, ref := mac.admit(now, req)
	if ref != nil {
		mac.noteRefusal(req.ID, *ref)
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

func (mac *Machine) noteRefusal(id request.ID, ref request.Refusal) {
	mac.do(Note{Request: id, Event: "refused", Fields: []any{
		"reason", ref.Reason, "detail", ref.Detail, "verdict", ref.Verdict, "retryAfter", ref.RetryAfter, "version", mac.version(),
	}})
}

// rateDecided takes the decision on a request by the organisation's rate.
func (mac *Machine) rateDecided(now clock.Instant, dec quota.Decided) {
	fli := mac.flights[request.ID(dec.Request)]
	if fli == nil {
		return
	}
	if !dec.Admitted {
		detail := "the organisation's rate is exceeded"
		if dec.Alone {
			detail = "the VM's own part of the organisation's rate is exceeded, and it does not reach the server of tokens"
		}
		mac.refuse(fli, request.Refusal{Reason: request.RateExceeded, Detail: detail, RetryAfter: dec.RetryAfter})
		return
	}
	mac.start(now, fli)
}

// admit finds the route and the organisation of a request.
func (mac *Machine) admit(now clock.Instant, req request.Request) (*flight, *request.Refusal) {
	if mac.config == nil {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM has no configuration yet", RetryAfter: usualReturn}
	}
	rou := mac.config.Snapshot.Route(req.Host, req.Path, req.Method)
	if rou == nil {
		return nil, &request.Refusal{Reason: request.NoRoute, Detail: "no route matches the host, path and method"}
	}
	fli := &flight{Request: req, route: rou, arrived: now, deadline: now.Add(rou.Timeout)}
	if req.Timeout > 0 && (req.Timeout < rou.Timeout || rou.Timeout <= 0) {
		fli.deadline = now.Add(req.Timeout)
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
	if age := now.Since(mac.configProven); age > mac.set.Terms.RevokeTime-proofSlack {
		return &request.Refusal{
			Reason: request.LeaseLapsed, RetryAfter: usualReturn,
			Detail: "the configuration was last known to be the newest " + age.Round(time.Millisecond).String() + " ago",
		}
	}
	key := mac.config.Snapshot.Key(fli.Keys[0])
	if key == nil {
		return &request.Refusal{Reason: request.UnknownKey, Detail: "the key is unknown or withdrawn"}
	}
	if !fli.route.Admits(key.Organisation) {
		return &request.Refusal{Reason: request.NotAdmitted, Detail: "the route does not admit the organisation"}
	}
	fli.organisation = key.Organisation
	return nil
}

// refuse ends a request without an answer of a target. The status follows from
// the verdict: only a request that has not run may be said to be refused.
func (mac *Machine) refuse(fli *flight, ref request.Refusal) {
	ref.Verdict = fli.verdict
	if fli.running {
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
		ref.RetryAfter = usualReturn
	}
	mac.tokens.Cancel(fli.organisation, uint64(fli.ID))
	delete(mac.flights, fli.ID)
	mac.noteRefusal(fli.ID, ref)
	mac.do(Refuse{Request: fli.ID, Refusal: ref})
}

// start sends a request that may run to its first target.
func (mac *Machine) start(now clock.Instant, fli *flight) {
	bud := mac.budgets[fli.service]
	if bud == nil {
		mac.refuse(fli, request.Refusal{Reason: request.NoTarget, Detail: "the service is withdrawn", RetryAfter: usualReturn})
		return
	}
	bud.Deposit()
	mac.dispatch(now, fli, "no target is registered")
}

// dispatch starts the next attempt of a request, or refuses it with detail
// when no target is left.
func (mac *Machine) dispatch(now clock.Instant, fli *flight, detail string) {
	left := fli.deadline.Mono - now.Mono
	if left < minAttemptTime {
		mac.refuse(fli, request.Refusal{Reason: request.TimedOut, Detail: detail})
		return
	}
	if fli.route.Access == config.AccessKeyed && fli.attempt > 0 {
		if ref := mac.authenticate(now, fli); ref != nil {
			mac.refuse(fli, *ref)
			return
		}
	}
	tgt, found := mac.balancer.Pick(now, health.Wish{
		Service: fli.service, Tried: fli.tried, Near: mac.set.Self.FailureDomain, Careful: !fli.route.Idempotent,
	})
	if !found {
		reason := request.TargetFailed
		switch fli.attempt {
		case 0:
			reason = request.NoTarget
		case fli.sheds:
			reason = request.Overloaded
		}
		mac.refuse(fli, request.Refusal{Reason: reason, Detail: detail, RetryAfter: usualReturn})
		return
	}
	fli.attempt++
	fli.target = tgt
	fli.running = true
	fli.began = now
	fli.tried = append(fli.tried, tgt.ID)
	fli.ticket = mac.balancer.Began(now, fli.service, tgt.ID)
	mac.do(Note{Request: fli.ID, Event: "dispatched", Fields: []any{
		"attempt", fli.attempt, "target", tgt.ID, "route", fli.route.Name, "left", left, "version", mac.version(),
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

// current returns the flight whose attempt under way is the given one.
func (mac *Machine) current(id request.ID, attempt int) *flight {
	fli := mac.flights[id]
	if fli == nil || !fli.running || fli.answering || fli.attempt != attempt {
		return nil
	}
	return fli
}

func (mac *Machine) answered(now clock.Instant, evt Answered) {
	fli := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	ans := evt.Answer
	if ans.Leaving || ans.Stranger {
		mac.balancer.Leaving(now, fli.service, fli.target.ID)
	}
	if ans.Shed || ans.Stranger {
		outcome := health.Shed
		if ans.Stranger {
			outcome = health.Canceled
		}
		mac.wasShed(now, fli, outcome)
		return
	}
	failed := ans.Status >= 500
	if failed && fli.route.Idempotent && mac.mayRetry(now, fli) {
		mac.endAttempt(now, fli, health.Failure)
		fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
		mac.dispatch(now, fli, "the target failed")
		return
	}
	fli.answering = true
	fli.verdict = verdict.Answered
	outcome := health.Success
	if failed {
		outcome = health.Failure
	}
	mac.balancer.Answered(now, fli.ticket, outcome)
	mac.do(Note{Request: fli.ID, Event: "answered", Fields: []any{
		"attempt", fli.attempt, "target", fli.target.ID, "status", ans.Status, "after", now.Since(fli.arrived),
	}})
	mac.do(Relay{Request: fli.ID, Attempt: fli.attempt})
}

// wasShed sends a request that its target refused to run to another target.
func (mac *Machine) wasShed(now clock.Instant, fli *flight, outcome health.Outcome) {
	mac.endAttempt(now, fli, outcome)
	fli.sheds++
	if fli.sheds < maxSheds && mac.takeRetry(now, fli) {
		mac.dispatch(now, fli, "the targets are overloaded")
		return
	}
	mac.refuse(fli, request.Refusal{Reason: request.Overloaded, Detail: "the targets are overloaded", RetryAfter: usualReturn})
}

func (mac *Machine) attemptFailed(now clock.Instant, evt AttemptFailed) {
	fli := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	if evt.Outcome == health.Shed {
		mac.wasShed(now, fli, evt.Outcome)
		return
	}
	mac.endAttempt(now, fli, evt.Outcome)
	mac.do(Note{Request: fli.ID, Event: "attemptFailed", Fields: []any{
		"attempt", fli.attempt, "target", fli.target.ID, "outcome", evt.Outcome, "verdict", evt.Verdict, "detail", evt.Detail,
	}})
	reason := request.TargetFailed
	if fli.deadline.Mono-now.Mono < minAttemptTime {
		reason = request.TimedOut
	}
	fli.verdict = fli.verdict.Worse(evt.Verdict)
	// A request that its caller has given up gets no further attempt.
	again := evt.Outcome != health.Canceled && (evt.Verdict == verdict.NotRun || fli.route.Idempotent)
	if again && mac.mayRetry(now, fli) {
		mac.dispatch(now, fli, evt.Detail)
		return
	}
	mac.refuse(fli, request.Refusal{Reason: reason, Detail: evt.Detail})
}

// endAttempt closes the attempt under way.
func (mac *Machine) endAttempt(now clock.Instant, fli *flight, outcome health.Outcome) {
	fli.running = false
	mac.balancer.Ended(now, fli.ticket, outcome)
}

// mayRetry takes a retry from the budget when the route allows another attempt.
func (mac *Machine) mayRetry(now clock.Instant, fli *flight) bool {
	return fli.attempt-fli.sheds < fli.route.MaxAttempts && mac.takeRetry(now, fli)
}

// takeRetry takes a retry from the budget when there is time for it.
func (mac *Machine) takeRetry(now clock.Instant, fli *flight) bool {
	bud := mac.budgets[fli.service]
	return bud != nil && fli.deadline.Mono-now.Mono >= minAttemptTime && bud.Withdraw()
}

// hurry sends idempotent requests whose targets take far too long to others.
func (mac *Machine) hurry(now clock.Instant) {
	for _, id := range sortedFlights(mac.flights) {
		fli := mac.flights[id]
		if !fli.running || fli.answering {
			continue
		}
		if !now.Before(fli.deadline) {
			mac.endAttempt(now, fli, health.Failure)
			fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
			mac.refuse(fli, request.Refusal{Reason: request.TimedOut, Detail: "the target did not answer in time"})
			continue
		}
		patience := mac.balancer.Patience(fli.service)
		if !fli.route.Idempotent || patience <= 0 || now.Since(fli.began) < patience || !mac.mayRetry(now, fli) {
			continue
		}
		mac.endAttempt(now, fli, health.Failure)
		fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
		mac.dispatch(now, fli, "the target did not answer in time")
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
	mac.endAttempt(now, fli, evt.Outcome)
	delete(mac.flights, fli.ID)
}

func (mac *Machine) callerLeft(now clock.Instant, id request.ID) {
	fli := mac.flights[id]
	if fli == nil {
		return
	}
	mac.tokens.Cancel(fli.organisation, uint64(id))
	if fli.running {
		mac.endAttempt(now, fli, health.Canceled)
	}
	mac.do(Note{Request: id, Event: "callerLeft", Fields: []any{"attempt", fli.attempt, "after", now.Since(fli.arrived)}})
	delete(mac.flights, id)
}
