package gateway

import (
	"fmt"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

const (
	// clockDriftMargin is subtracted from RevokeTime, to allow for clocks that run at different rates.
	clockDriftMargin = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which refused callers are told to retry,
	// where no better time is known.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 1250 * time.Millisecond
)

func (mac *Machine) arrived(now clock.Instant, req request.Request) {
	if !mac.synced() && mac.starting(now) && !mac.pastStopDeadline {
		mac.queued = append(mac.queued, queued{request: req, arrived: now})
		return
	}
	mac.handleRequest(now, now, req)
}

// handleRequest admits or refuses a request. arrived is before now if the request was queued.
func (mac *Machine) handleRequest(now, arrived clock.Instant, req request.Request) {
	inf, ref := mac.newInFlight(now, arrived, req)
	if ref == nil && mac.tooLateToStart(now, inf) {
		refusal := mac.stopRefusal()
		ref = &refusal
	}
	if ref == nil && mac.quarantined(inf) && !mac.takeTrial(inf) {
		refusal := mac.quarantineRefusal(now, inf)
		ref = &refusal
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

// logRefusal logs why a request is refused. inf is nil if no route was found.
func (mac *Machine) logRefusal(inf *inFlight, id request.ID, ref request.Refusal) {
	fields := []any{
		"reason", ref.Reason, "detail", ref.Detail, "verdict", ref.Verdict, "retryAfter", ref.RetryAfter, "version", mac.version(),
	}
	if inf != nil {
		fields = append(fields, "route", inf.route.Name, "organisation", inf.organisation, "service", inf.service, "attempts", inf.attempt,
			"priority", inf.priority, "waits", inf.waits.Count())
	}
	mac.emit(LogEntry{Request: id, Event: "refused", Fields: fields})
}

// rateLimitDecided handles the decision of the rate limit on a request.
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
		mac.refuse(now, inf, request.Refusal{Reason: request.RateExceeded, Detail: detail, RetryAfter: dec.RetryAfter})
		return
	}
	mac.start(now, inf)
}

// newInFlight determines the route, the service and the organisation of a request, or why it is
// refused.
func (mac *Machine) newInFlight(now, arrived clock.Instant, req request.Request) (*inFlight, *request.Refusal) {
	if mac.config == nil {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM has no configuration yet", RetryAfter: mac.randomRetryAfter()}
	}
	if !mac.drainsKnown() {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "this VM does not know yet which failure domains are drained", RetryAfter: mac.randomRetryAfter()}
	}
	if !mac.usesConfig() {
		return nil, &request.Refusal{Reason: request.NoConfiguration, Detail: "the store was restored, and this VM does not know yet whether others know a newer configuration", RetryAfter: mac.randomRetryAfter()}
	}
	rou := mac.config.Snapshot.Route(req.Host, req.Path)
	if rou == nil {
		return nil, &request.Refusal{Reason: request.NoRoute, Detail: "no route matches the host, path and method"}
	}
	inf := &inFlight{Request: req, route: rou, priority: rou.Priority, arrived: arrived, deadline: arrived.Add(rou.Timeout), goal: arrived.Add(rou.LatencyGoal)}
	if req.Timeout > 0 && (req.Timeout < rou.Timeout || rou.Timeout <= 0) {
		inf.deadline = arrived.Add(req.Timeout)
	}
	if !rou.Servable() {
		return inf, mac.unreadRefusal("the configuration of the route cannot be read")
	}
	inf.service = mac.chooseService(rou)
	var ref *request.Refusal
	if rou.Access != config.AccessOpen {
		ref = mac.authenticate(now, inf)
	}
	inf.fingerprint = req.Content.Of(inf.organisation)
	return inf, ref
}

// chooseService picks one of the services of a route at random, by the weights of its split.
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

// authenticate checks the key of a request against the configuration in force. That must have been
// confirmed recently, so that no withdrawal of the key can have been missed for longer than the
// policy allows.
func (mac *Machine) authenticate(now clock.Instant, inf *inFlight) *request.Refusal {
	switch len(inf.Keys) {
	case 0:
		return &request.Refusal{Reason: request.NoKey, Detail: "the route needs a key"}
	case 1:
	default:
		return &request.Refusal{Reason: request.ManyKeys, Detail: "the request carries several keys"}
	}
	if !mac.configConfirmedAt.Within(mac.set.Policy.RevokeTime-clockDriftMargin, now) {
		return &request.Refusal{Reason: request.StaleConfiguration, RetryAfter: mac.randomRetryAfter(), Detail: mac.describeConfigAge(now)}
	}
	key := mac.config.Snapshot.Key(inf.Keys[0])
	if key == nil && mac.config.Snapshot.KeysUnread() {
		return mac.unreadRefusal("the key is unknown, and some of the configuration cannot be read")
	}
	if key == nil {
		return &request.Refusal{Reason: request.UnknownKey, Detail: "the key is unknown or withdrawn"}
	}
	inf.organisation = key.Organisation
	org := mac.config.Snapshot.Organisation(key.Organisation)
	if org == nil {
		return mac.unreadRefusal("the limits of the organisation are not known")
	}
	if org.Priority != nil {
		inf.priority = *org.Priority
	}
	return nil
}

// describeConfigAge says when the configuration was last known to be the newest.
func (mac *Machine) describeConfigAge(now clock.Instant) string {
	age, known := mac.configConfirmedAt.Age(now)
	if !known {
		return "nothing proves yet that the configuration is the newest"
	}
	return "the configuration was last known to be the newest " + age.Round(time.Millisecond).String() + " ago"
}

// unreadRefusal refuses a request for which the configuration in force says something that this VM cannot read.
func (mac *Machine) unreadRefusal(detail string) *request.Refusal {
	return &request.Refusal{Reason: request.NoConfiguration, RetryAfter: mac.randomRetryAfter(), Detail: detail}
}

// randomRetryAfter returns a random time to retry after, so that callers who are refused together
// do not return together.
func (mac *Machine) randomRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(mac.rnd.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// refuse answers a request without a target's response. The reason, and so the status, depends on
// the verdict: only a request that has not run may be reported as refused.
func (mac *Machine) refuse(now clock.Instant, inf *inFlight, ref request.Refusal) {
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
	mac.remove(now, inf)
	mac.logRefusal(inf, inf.ID, ref)
	mac.emit(Refuse{Request: inf.ID, Refusal: ref})
}
