package node

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// minAttemptTime is the least time to the deadline that is worth an attempt.
const minAttemptTime = 5 * time.Millisecond

// flight is a request that has not been answered to its end.
type flight struct {
	request.Request
	route *config.Route
	// organisation is empty on open routes.
	organisation string
	deadline     clock.Instant
	attempt      int
	tried        []string
	target       health.Target
	dispatched   clock.Instant
	// running is set while an attempt is under way.
	running bool
	// answering is set once an answer is passed to the caller.
	answering bool
	// verdict is the worst of the attempts that ended.
	verdict verdict.Verdict
	// spent is set when the body cannot be sent again.
	spent bool
}

func (mac *Machine) arrived(now clock.Instant, req request.Request) {
	fli, ref := mac.admit(now, req)
	if ref != nil {
		mac.do(Refuse{Request: req.ID, Refusal: *ref})
		return
	}
	mac.flights[req.ID] = fli
	if fli.organisation == "" {
		mac.start(now, fli)
		return
	}
	if dec, decided := mac.ledger.Admit(now, fli.organisation, uint64(req.ID)); decided {
		mac.rateDecided(now, dec)
	}
}

// rateDecided takes the decision of the ledger on a request.
func (mac *Machine) rateDecided(now clock.Instant, dec rate.Decided) {
	fli := mac.flights[request.ID(dec.Request)]
	if fli == nil {
		return
	}
	if !dec.Admitted {
		mac.refuse(fli, request.Refusal{
			Reason: request.RateExceeded, Detail: "the organisation's rate is exceeded", RetryAfter: dec.RetryAfter,
		})
		return
	}
	mac.start(now, fli)
}

func (mac *Machine) start(now clock.Instant, fli *flight) {
	if bud := mac.budgets[fli.route.Service]; bud != nil {
		bud.Deposit()
	}
	mac.dispatch(now, fli, "no target is configured")
}

// admit finds the route and the organisation of a request.
func (mac *Machine) admit(now clock.Instant, req request.Request) (*flight, *request.Refusal) {
	if mac.snapshot == nil {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM has no configuration yet", RetryAfter: time.Second}
	}
	rou := mac.snapshot.Route(req.Host, req.Path, req.Method)
	if rou == nil {
		return nil, &request.Refusal{Reason: request.NoRoute, Detail: "no route matches the host, path and method"}
	}
	fli := &flight{Request: req, route: rou, deadline: now.Add(rou.Timeout)}
	if req.Timeout > 0 && req.Timeout < rou.Timeout {
		fli.deadline = now.Add(req.Timeout)
	}
	if rou.Access == config.AccessOpen {
		return fli, nil
	}
	ref := mac.authenticate(now, fli)
	return fli, ref
}

// authenticate checks the key of a request on a keyed route against the
// newest configuration, and that the VM may still rely on it.
func (mac *Machine) authenticate(now clock.Instant, fli *flight) *request.Refusal {
	switch len(fli.Keys) {
	case 0:
		return &request.Refusal{Reason: request.NoKey, Detail: "the route needs a key"}
	case 1:
	default:
		return &request.Refusal{Reason: request.ManyKeys, Detail: "the request carries several keys"}
	}
	if !mac.prover.Lease().Active(now) {
		return &request.Refusal{Reason: request.LeaseLapsed, Detail: "this VM cannot tell whether its configuration is the newest", RetryAfter: time.Second}
	}
	key := mac.snapshot.Key(fli.Keys[0])
	if key == nil {
		return &request.Refusal{Reason: request.UnknownKey, Detail: "the key is unknown or withdrawn"}
	}
	if !fli.route.Admits(key.Organisation) {
		return &request.Refusal{Reason: request.NotAdmitted, Detail: "the route does not admit the organisation"}
	}
	fli.organisation = key.Organisation
	return nil
}

func (mac *Machine) refuse(fli *flight, ref request.Refusal) {
	ref.Verdict = fli.verdict
	delete(mac.flights, fli.ID)
	mac.do(Refuse{Request: fli.ID, Refusal: ref})
}

// dispatch starts the next attempt of a request, or refuses it with detail
// when no target is left.
func (mac *Machine) dispatch(now clock.Instant, fli *flight, detail string) {
	left := fli.deadline.Mono - now.Mono
	if left < minAttemptTime {
		mac.refuse(fli, request.Refusal{Reason: request.TimedOut, Detail: detail})
		return
	}
	if fli.route.Access == config.AccessKeyed {
		if ref := mac.authenticate(now, fli); ref != nil {
			mac.refuse(fli, *ref)
			return
		}
	}
	avoid := fli.target.FailureDomain
	tgt, found := mac.balancer.Pick(now, fli.route.Service, fli.tried, avoid)
	if !found {
		reason := request.NoTarget
		if fli.attempt > 0 {
			reason = request.TargetFailed
		}
		mac.refuse(fli, request.Refusal{Reason: reason, Detail: detail, RetryAfter: time.Second})
		return
	}
	fli.attempt++
	fli.target = tgt
	fli.dispatched = now
	fli.running = true
	fli.tried = append(fli.tried, tgt.ID)
	mac.balancer.Began(now, fli.route.Service, tgt.ID)
	mac.do(Dispatch{
		Request:      fli.ID,
		Attempt:      fli.attempt,
		Target:       tgt,
		Timeout:      left,
		Idempotent:   fli.route.Idempotent,
		Route:        fli.route.Name,
		Organisation: fli.organisation,
	})
}

// current returns the flight whose attempt under way is the given one.
func (mac *Machine) current(id request.ID, attempt int) *flight {
	fli := mac.flights[id]
	if fli == nil || !fli.running || fli.attempt != attempt {
		return nil
	}
	return fli
}

func (mac *Machine) answerBegan(now clock.Instant, evt AnswerBegan) {
	fli := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	fli.spent = evt.Spent
	if evt.Shed {
		mac.endAttempt(now, fli, health.Shed)
		mac.retryOrRefuse(now, fli, verdict.NotRun, request.Refusal{Reason: request.Overloaded, Detail: "the target is overloaded", RetryAfter: time.Second})
		return
	}
	failed := evt.Status >= 502 && evt.Status <= 504
	if failed && fli.route.Idempotent && mac.mayRetry(now, fli) {
		mac.endAttempt(now, fli, health.Failure)
		fli.verdict = fli.verdict.Worse(verdict.MayHaveRun)
		mac.dispatch(now, fli, "the target failed")
		return
	}
	fli.answering = true
	fli.verdict = verdict.Answered
	outcome := health.Success
	if evt.Status >= 500 {
		outcome = health.Failure
	}
	mac.report(now, fli, outcome)
	mac.do(Relay{Request: fli.ID})
}

func (mac *Machine) attemptEnded(now clock.Instant, evt AttemptEnded) {
	fli := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	if fli.answering {
		delete(mac.flights, fli.ID)
		return
	}
	fli.spent = evt.Spent
	mac.endAttempt(now, fli, evt.Outcome)
	reason := request.TargetFailed
	if fli.deadline.Mono-now.Mono < minAttemptTime {
		reason = request.TimedOut
	}
	mac.retryOrRefuse(now, fli, evt.Verdict, request.Refusal{Reason: reason, Detail: evt.Detail})
}

func (mac *Machine) endAttempt(now clock.Instant, fli *flight, outcome health.Outcome) {
	fli.running = false
	mac.report(now, fli, outcome)
}

func (mac *Machine) report(now clock.Instant, fli *flight, outcome health.Outcome) {
	mac.balancer.Ended(now, health.Report{
		Service: fli.route.Service,
		Target:  fli.target.ID,
		Outcome: outcome,
		Latency: now.Mono - fli.dispatched.Mono,
	})
}

// retryOrRefuse starts another attempt where the verdict on the last one and
// the route permit it.
func (mac *Machine) retryOrRefuse(now clock.Instant, fli *flight, ver verdict.Verdict, ref request.Refusal) {
	fli.verdict = fli.verdict.Worse(ver)
	if (ver == verdict.NotRun || fli.route.Idempotent) && mac.mayRetry(now, fli) {
		mac.dispatch(now, fli, ref.Detail)
		return
	}
	mac.refuse(fli, ref)
}

// mayRetry takes a retry from the budget when the request may have another.
func (mac *Machine) mayRetry(now clock.Instant, fli *flight) bool {
	if fli.spent || fli.attempt >= fli.route.MaxAttempts || fli.deadline.Mono-now.Mono < minAttemptTime {
		return false
	}
	bud := mac.budgets[fli.route.Service]
	return bud != nil && bud.Withdraw()
}

func (mac *Machine) callerLeft(now clock.Instant, id request.ID) {
	fli := mac.flights[id]
	if fli == nil {
		return
	}
	mac.ledger.Cancel(fli.organisation, uint64(id))
	if fli.running && !fli.answering {
		mac.report(now, fli, health.Canceled)
	}
	delete(mac.flights, id)
}

// Waiting lists the requests that have not been answered, in order of arrival.
func (mac *Machine) Waiting() []request.ID {
	ids := make([]request.ID, 0, len(mac.flights))
	for id := range mac.flights {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
