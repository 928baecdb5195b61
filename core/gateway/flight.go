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
	// at asked for a target of askedPart.
	placing   bool
	ask       uint64
	asked     clock.Instant
	askedPart *part
	// tried lists the targets not to try again.
	tried  []string
	target health.Target
	// part is that of the target, ticket the number of the attempt there, and
	// placer the VM that chose it, or empty.
	part   *part
	ticket uint64
	placer string
	began  clock.Instant
	// patient is until when the attempt under way is waited for, if the request
	// may be repeated.
	patient clock.Instant
	// kept is the attempt of which it was noted that no other replaced it.
	kept int
	// sent counts the attempts that reached a target, and runs those of them
	// that the target may have run.
	sent, runs int
	// running is set while an attempt is under way.
	running bool
	// answering is set once an answer is passed to the caller, and outcome is
	// what that says of the target.
	answering bool
	outcome   health.Outcome
	// verdict is the worst of the attempts that ended.
	verdict verdict.Verdict
}

func (mac *Machine) arrived(now clock.Instant, req request.Request) {
	fli, ref := mac.admit(now, req)
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
	mac.do(Note{Request: id, Event: "refused", Fields: fields})
}

// rateDecided takes the decision on a request by the organisation's rate.
func (mac *Machine) rateDecided(now clock.Instant, dec quota.Decided) {
	fli := mac.flights[request.ID(dec.Request)]
	if fli == nil {
		return
	}
	if !dec.Admitted {
		lim, _ := mac.limit(fli.organisation)
		detail := fmt.Sprintf("the organisation's rate of %v a second and burst of %v are exceeded, say %v", lim.Rate.Float(), lim.Burst.Float(), mac.fleet.Holders())
		if dec.Alone {
			detail = "the VM's own part of the organisation's rate is exceeded, and it reaches no server of tokens"
		}
		mac.refuse(fli, request.Refusal{Reason: request.RateExceeded, Detail: detail, RetryAfter: dec.RetryAfter})
		return
	}
	mac.start(now, fli)
}

// admit finds the route and the organisation of a request.
func (mac *Machine) admit(now clock.Instant, req request.Request) (*flight, *request.Refusal) {
	if mac.config == nil {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM has no configuration yet", RetryAfter: mac.usualReturn()}
	}
	rou := mac.config.Snapshot.Route(req.Host, req.Path)
	if rou == nil {
		return nil, &request.Refusal{Reason: request.NoRoute, Detail: "no route matches the host, path and method"}
	}
	fli := &flight{Request: req, route: rou, priority: rou.Priority, arrived: now, deadline: now.Add(rou.Timeout), aim: now.Add(rou.LatencyGoal)}
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
	case fli.running:
		mac.keepAttempt(now, fli, string(ref.Reason))
	default:
		mac.refuse(fli, *ref)
	}
}

// keepAttempt goes on with the attempt under way, which was to be replaced.
func (mac *Machine) keepAttempt(now clock.Instant, fli *flight, reason string) {
	fli.patient = now.Add(hurryPause)
	if fli.kept == fli.attempt {
		return
	}
	fli.kept = fli.attempt
	mac.do(Note{Request: fli.ID, Event: "notSentAgain", Fields: []any{
		"attempt", fli.attempt, "target", fli.target.ID, "reason", reason, "after", now.Since(fli.began),
	}})
}

// dispatch sends a request to the target that was chosen, in place of the
// attempt under way, if any.
func (mac *Machine) dispatch(now clock.Instant, fli *flight, tgt health.Target, ans placement.Answer, placer string) {
	if fli.running {
		mac.endAttempt(now, fli, health.Overdue)
		fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
		fli.runs++
	}
	left := fli.deadline.Mono - now.Mono
	fli.attempt++
	fli.target, fli.part, fli.ticket, fli.placer = tgt, fli.askedPart, fli.ask, placer
	fli.running = true
	fli.began = now
	fli.patient = now.Add(ans.Patience)
	fli.sent++
	fli.tried = append(fli.tried, tgt.ID)
	mac.do(Note{Request: fli.ID, Event: "dispatched", Fields: []any{
		"attempt", fli.attempt, "target", tgt.ID, "route", fli.route.Name, "left", left, "placer", placer, "version", mac.version(),
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
	if ans.Stranger {
		mac.stranger(fli)
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
	if failed && fli.route.Idempotent && mac.mayRepeat(now, fli, verdict.MayHaveRun) {
		mac.endAttempt(now, fli, health.Erred)
		fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
		fli.runs++
		mac.next(now, fli, "the target failed")
		return
	}
	fli.answering = true
	fli.verdict = verdict.Answered
	outcome := health.Success
	if failed {
		outcome = health.Erred
	}
	fli.outcome = outcome
	mac.do(Note{Request: fli.ID, Event: "answered", Fields: []any{
		"attempt", fli.attempt, "target", fli.target.ID, "status", ans.Status, "after", now.Since(fli.arrived),
	}})
	mac.do(Relay{Request: fli.ID, Attempt: fli.attempt})
}

// stranger notes that the target is no longer at its address.
func (mac *Machine) stranger(fli *flight) {
	mac.note("stranger", "target", fli.target.ID, "address", fli.target.Address)
	fli.part.local.Stranger(fli.target.ID)
	if fli.part.central != nil {
		fli.part.central.Stranger(fli.target.ID)
	}
}

// wasShed sends a request that its target refused to run to another target.
func (mac *Machine) wasShed(now clock.Instant, fli *flight, outcome health.Outcome) {
	mac.endAttempt(now, fli, outcome)
	mac.do(Note{Request: fli.ID, Event: "shed", Fields: []any{"attempt", fli.attempt, "target", fli.target.ID}})
	if mac.mayRepeat(now, fli, verdict.NotRun) {
		mac.next(now, fli, "the targets are overloaded")
		return
	}
	mac.refuse(fli, request.Refusal{Reason: request.Overloaded, Detail: "the targets are overloaded", RetryAfter: mac.usualReturn()})
}

func (mac *Machine) attemptFailed(now clock.Instant, evt AttemptFailed) {
	fli := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	if evt.Verdict == verdict.NotRun {
		fli.sent-- // Nothing reached the target.
	}
	mac.endAttempt(now, fli, evt.Outcome)
	mac.do(Note{Request: fli.ID, Event: "attemptFailed", Fields: []any{
		"attempt", fli.attempt, "target", fli.target.ID, "outcome", evt.Outcome, "verdict", evt.Verdict, "detail", evt.Detail,
	}})
	reason := request.TargetFailed
	if fli.deadline.Mono-now.Mono < minAttemptTime {
		reason = request.TimedOut
	}
	// A request that its caller has given up gets no further attempt.
	again := evt.Outcome != health.Canceled && (evt.Verdict == verdict.NotRun || fli.route.Idempotent) && mac.mayRepeat(now, fli, evt.Verdict)
	fli.verdict = fli.verdict.Worse(evt.Verdict)
	if evt.Verdict != verdict.NotRun {
		fli.runs++
	}
	if again {
		mac.next(now, fli, evt.Detail)
		return
	}
	mac.refuse(fli, request.Refusal{Reason: reason, Detail: evt.Detail})
}

// endAttempt closes the attempt under way.
func (mac *Machine) endAttempt(now clock.Instant, fli *flight, outcome health.Outcome) {
	fli.running = false
	mac.reportEnd(now, fli.part, fli.ticket, fli.placer, outcome)
}

// mayRepeat reports whether a request may be sent to another target after an
// attempt with a verdict.
func (mac *Machine) mayRepeat(now clock.Instant, fli *flight, ver verdict.Verdict) bool {
	runs := fli.runs
	if ver != verdict.NotRun {
		runs++
	}
	return runs < fli.route.MaxAttempts && fli.attempt < maxAttempts && fli.deadline.Mono-now.Mono >= minAttemptTime
}

// hurry sends idempotent requests whose targets take far too long to others,
// and ends those whose time is over.
func (mac *Machine) hurry(now clock.Instant) {
	for _, id := range sortedFlights(mac.flights) {
		fli := mac.flights[id]
		if !fli.running || fli.answering {
			continue
		}
		if !now.Before(fli.deadline) {
			mac.endAttempt(now, fli, health.Overdue)
			fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
			mac.refuse(fli, request.Refusal{Reason: request.TimedOut, Detail: "the target did not answer in time"})
			continue
		}
		if fli.route.Idempotent && !fli.placing && !now.Before(fli.patient) && mac.mayRepeat(now, fli, verdict.MayHaveRun) {
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
	mac.endAttempt(now, fli, outcome)
	delete(mac.flights, fli.ID)
}

func (mac *Machine) callerLeft(now clock.Instant, id request.ID) {
	fli := mac.flights[id]
	if fli == nil {
		return
	}
	if fli.running {
		mac.endAttempt(now, fli, health.Canceled)
	}
	mac.do(Note{Request: id, Event: "callerLeft", Fields: []any{"attempt", fli.attempt, "after", now.Since(fli.arrived)}})
	mac.forget(fli)
}

// forget drops a request and what is awaited for it.
func (mac *Machine) forget(fli *flight) {
	mac.tokens.Cancel(fli.organisation, uint64(fli.ID))
	delete(mac.asks, fli.ask)
	delete(mac.flights, fli.ID)
}
