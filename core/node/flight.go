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

// maxSheds bounds the targets that may refuse to run one request.
const maxSheds = 16

// shedsInRow is the number of targets without room after which a request waits.
const shedsInRow = 4

// flight is a request that has not been answered to its end.
type flight struct {
	request.Request
	route *config.Route
	// organisation is empty on open routes.
	organisation string
	deadline     clock.Instant
	attempt      int
	// tried lists the targets not to try again, and failed those of them that
	// failed rather than had no room.
	tried, failed []string
	target        health.Target
	ticket        health.Ticket
	// queued is set while the request waits in its gate.
	queued bool
	// waited is when the request first had to wait for room.
	waited clock.Instant
	// sheds counts the attempts that a target refused to run.
	sheds int
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
	if dec, decided := mac.limiter.Admit(now, fli.organisation, uint64(req.ID)); decided {
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
	if gat := mac.gates[fli.route.Service]; fli.queued && gat != nil {
		gat.fair.Remove(fli.organisation, uint64(fli.ID))
	}
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
	tgt, found := mac.balancer.Pick(now, health.Wish{
		Service: fli.route.Service, Tried: fli.tried, Avoid: fli.target.FailureDomain, Careful: !fli.route.Idempotent,
	})
	if !found {
		reason := request.TargetFailed
		switch fli.attempt {
		case 0:
			reason = request.NoTarget
		case fli.sheds:
			reason = request.Overloaded
		}
		mac.refuse(fli, request.Refusal{Reason: reason, Detail: detail, RetryAfter: time.Second})
		return
	}
	fli.attempt++
	fli.target = tgt
	fli.running = true
	fli.tried = append(fli.tried, tgt.ID)
	fli.ticket = mac.balancer.Began(now, fli.route.Service, tgt.ID)
	if gat := mac.gates[fli.route.Service]; gat != nil {
		gat.limit.Start()
	}
	mac.do(Dispatch{
		Request:      fli.ID,
		Attempt:      fli.attempt,
		Target:       tgt,
		Timeout:      left,
		Idempotent:   fli.route.Idempotent,
		Connections:  mac.connections(tgt),
		Route:        fli.route.Name,
		Organisation: fli.organisation,
	})
}

// connections returns this VM's part of the connections that a target takes.
func (mac *Machine) connections(tgt health.Target) int {
	return max(tgt.Connections/max(mac.view.Size(), 1), 1)
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
	if evt.Leaving {
		mac.balancer.Leaving(now, fli.route.Service, fli.target.ID)
	}
	if evt.Shed {
		mac.wasShed(now, fli)
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
	mac.balancer.Answered(now, fli.ticket, outcome)
	mac.do(Relay{Request: fli.ID})
}

// wasShed sends a request that its target refused to run to another target,
// which is safe on every route and costs no slot. After several refusals in a
// row the request waits, since most targets are full.
func (mac *Machine) wasShed(now clock.Instant, fli *flight) {
	mac.endAttempt(now, fli, health.Shed)
	fli.sheds++
	overloaded := request.Refusal{Reason: request.Overloaded, Detail: "the targets are overloaded", RetryAfter: time.Second}
	gat := mac.gates[fli.route.Service]
	if gat == nil || fli.spent || fli.sheds >= maxSheds {
		mac.refuse(fli, overloaded)
		mac.room(now, fli)
		return
	}
	if fli.sheds%shedsInRow != 0 {
		mac.dispatch(now, fli, overloaded.Detail)
		return
	}
	gat.limit.Shed(now)
	fli.tried = slices.Clone(fli.failed)
	mac.enqueue(now, fli, gat)
}

func (mac *Machine) attemptEnded(now clock.Instant, evt AttemptEnded) {
	fli := mac.current(evt.Request, evt.Attempt)
	if fli == nil {
		return
	}
	if fli.answering {
		mac.endAttempt(now, fli, evt.Outcome)
		delete(mac.flights, fli.ID)
		mac.room(now, fli)
		return
	}
	fli.spent = evt.Spent
	if evt.Outcome == health.Shed {
		mac.wasShed(now, fli)
		return
	}
	mac.endAttempt(now, fli, evt.Outcome)
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
	mac.room(now, fli)
}

// endAttempt closes the attempt under way.
func (mac *Machine) endAttempt(now clock.Instant, fli *flight, outcome health.Outcome) {
	fli.running = false
	if outcome.Bad() {
		fli.failed = append(fli.failed, fli.target.ID)
	}
	mac.balancer.Ended(now, fli.ticket, outcome)
	if gat := mac.gates[fli.route.Service]; gat != nil {
		if outcome == health.Success {
			gat.limit.Succeeded()
		}
		gat.limit.End()
	}
}

// room lets a waiting request start where one has ended.
func (mac *Machine) room(now clock.Instant, fli *flight) {
	if gat := mac.gates[fli.route.Service]; gat != nil {
		mac.pump(now, gat)
	}
}

// mayRetry takes a retry from the budget when the route allows another attempt.
func (mac *Machine) mayRetry(now clock.Instant, fli *flight) bool {
	return !fli.spent && fli.attempt-fli.sheds < fli.route.MaxAttempts && mac.takeRetry(now, fli)
}

// takeRetry takes a retry from the budget when there is time for it.
func (mac *Machine) takeRetry(now clock.Instant, fli *flight) bool {
	gat := mac.gates[fli.route.Service]
	return gat != nil && fli.deadline.Mono-now.Mono >= minAttemptTime && gat.budget.Withdraw()
}

func (mac *Machine) callerLeft(now clock.Instant, id request.ID) {
	fli := mac.flights[id]
	if fli == nil {
		return
	}
	mac.ledger.Cancel(fli.organisation, uint64(id))
	gat := mac.gates[fli.route.Service]
	if fli.queued && gat != nil {
		gat.fair.Remove(fli.organisation, uint64(id))
	}
	if fli.running {
		mac.endAttempt(now, fli, health.Canceled)
	}
	delete(mac.flights, id)
	mac.room(now, fli)
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
