package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// queryTimeout is how long a server may take to answer, and silentTime how long
	// one that did not is not asked.
	queryTimeout      = 120 * time.Millisecond
	unresponsivePause = time.Second
	// notServingPause is the same of one that said that it does not serve yet.
	notServingPause = 100 * time.Millisecond
	// startupTime is how long after its start a VM takes it that servers begin
	// to serve soon, as they do where many VMs start together.
	startupTime = 2 * time.Second
	// usualMaxWait bounds how long a request waits for tokens, and awaitTime how long
	// it does where a server is likely to begin to serve soon.
	usualMaxWait     = 300 * time.Millisecond
	expectingMaxWait = 600 * time.Millisecond
	// tokenLifetime is how long granted tokens may be spent. What is spent late
	// adds to what is granted later.
	tokenLifetime = 600 * time.Millisecond
	// prefetchTime is the demand for which a busy VM asks in advance.
	prefetchTime = 300 * time.Millisecond
	// demandTimeConstant is the time constant of the estimate of the demand.
	demandTimeConstant = 2 * time.Second
	// maxRefuseTime bounds how long a VM refuses by itself after a refusal.
	maxRefuseTime = 100 * time.Millisecond
	// localStartTime is the time whose share is spent at once.
	localStartTime = 100 * time.Millisecond
	// vacantShare is the part of the rate that VMs may spend when it is known
	// that no server grants any.
	vacantShare     = 0.9
	accountIdleTime = 30 * time.Second
	maxWaiting      = 256
)

// ServerView says what a VM knows of the servers.
type ServerView struct {
	// Servers has the IDs of the VMs that serve the parts, empty where none is
	// known, and First is the part that this VM asks for first.
	Servers   []string
	Preferred int
	// Vacant is set when it is known that no VM grants tokens.
	Vacant bool
	// VMs is the number of VMs that share what is spent without the server.
	VMs int
}

// Client spends the tokens of organisations at one VM, and asks the servers for
// more. While it reaches no server it spends a small part of the limit
// of its own, so that all VMs together stay within what the limit allows. It is
// not safe for concurrent use.
type Client struct {
	rnd    *rand.Rand
	policy Policy
	limits func(organisation string) (rate.Limit, bool)
	view   ServerView
	// startedAt is when the client was first used.
	startedAt clock.Instant
	// pausedUntil has until when servers are not asked.
	pausedUntil map[string]clock.Instant
	number      uint64
	accounts    map[string]*clientAccount
	outputs     []Output
}

// clientAccount holds the tokens of one organisation at a VM.
type clientAccount struct {
	organisation string
	tokens       int
	expiresAt    clock.Instant
	// demand is the estimate of requests a second.
	demand   float64
	demandAt clock.Instant
	waiting  []waiter
	// queriedAt is when the ask numbered open was sent, for part to server; open is 0
	// where none is.
	queriedAt clock.Instant
	pending   uint64
	serverNum int
	serverID  string
	// tried has the parts that were asked for since requests began to wait, and
	// retry the least time after which one of their servers has tokens.
	tried      map[int]bool
	retryAfter time.Duration
	// queryAgainAt is when the requests that wait are asked for anew, once all servers
	// have refused.
	queryAgainAt clock.Instant
	// refuseUntil is until when requests are refused without asking.
	refuseUntil clock.Instant
	// localTokens holds what may be spent without the server, as of filled.
	localTokens rate.Tokens
	remainder   uint64
	refilledAt  clock.Instant
	usedAt      clock.Instant
}

// NewClient returns a client that holds no tokens.
func NewClient(rnd *rand.Rand, pol Policy, limits func(organisation string) (rate.Limit, bool)) *Client {
	return &Client{rnd: rnd, policy: pol, limits: limits, pausedUntil: make(map[string]clock.Instant), accounts: make(map[string]*clientAccount)}
}

// SetPolicy replaces the terms.
func (cli *Client) SetPolicy(pol Policy) { cli.policy = pol }

// SetServerView takes what is known of the server.
func (cli *Client) SetServerView(vie ServerView) { cli.view = vie }

// TakeOutputs returns and forgets the outputs gathered so far.
func (cli *Client) TakeOutputs() []Output {
	out := cli.outputs
	cli.outputs = nil
	return out
}

// Admit decides on a request at once, or returns false for decided when the
// answer follows as a Decided output.
func (cli *Client) Admit(now clock.Instant, organisation string, request uint64) (dec Decision, decided bool) {
	lim, found := cli.limits(organisation)
	if !found {
		return Decision{Request: request, RetryAfter: time.Second}, true
	}
	if lim == (rate.Limit{}) {
		return Decision{Request: request, Admitted: true}, true
	}
	acc := cli.clientAccount(now, organisation)
	acc.updateDemand(now)
	acc.expire(now)
	if len(acc.waiting) == 0 && acc.tokens > 0 {
		acc.tokens--
		if acc.tokens == 0 && acc.prefetch() > 0 && cli.reachable(now) {
			cli.query(now, acc)
		}
		return Decision{Request: request, Admitted: true}, true
	}
	if now.Before(acc.refuseUntil) || len(acc.waiting) >= maxWaiting {
		return Decision{Request: request, RetryAfter: max(acc.refuseUntil.Mono-now.Mono, time.Millisecond)}, true
	}
	if !cli.reachable(now) {
		if dec := cli.spendLocal(now, acc, lim, request); dec.Admitted || !cli.serverExpected(now) {
			return dec, true
		}
	}
	acc.waiting = append(acc.waiting, waiter{request: request, since: now})
	cli.query(now, acc)
	return Decision{}, false
}

// reachable reports whether there is a server to ask.
func (cli *Client) reachable(now clock.Instant) bool {
	for _, id := range cli.view.Servers {
		if id != "" && !now.Before(cli.pausedUntil[id]) {
			return true
		}
	}
	return false
}

// serverExpected reports whether a server is likely to begin to serve soon.
func (cli *Client) serverExpected(now clock.Instant) bool {
	if cli.startedAt == (clock.Instant{}) {
		cli.startedAt = now
	}
	return cli.view.Vacant || now.Since(cli.startedAt) < startupTime
}

// maxWait returns how long requests wait for tokens.
func (cli *Client) maxWait(now clock.Instant) time.Duration {
	if cli.serverExpected(now) {
		return expectingMaxWait
	}
	return usualMaxWait
}

func (cli *Client) clientAccount(now clock.Instant, organisation string) *clientAccount {
	acc := cli.accounts[organisation]
	if acc == nil {
		acc = &clientAccount{organisation: organisation, demandAt: now, tried: make(map[int]bool)}
		cli.accounts[organisation] = acc
	}
	acc.usedAt = now
	return acc
}

// localRate is what this VM may spend a second without the server.
func (cli *Client) localRate(lim rate.Limit) rate.PerSecond {
	vms := float64(max(cli.view.VMs, 1))
	if cli.view.Vacant {
		return rate.PerSecond(float64(lim.Rate) * vacantShare / vms)
	}
	return rate.PerSecond(min(float64(cli.policy.fleetLocalRate(lim)), float64(lim.Rate)*vacantShare) / vms)
}

// spendLocal decides without the server. A time without it begins with a part
// of a request drawn at random, so that the VMs together spend evenly from its
// beginning, and nothing that gathered before. Who is refused may come back when
// the servers are asked again.
func (cli *Client) spendLocal(now clock.Instant, acc *clientAccount, lim rate.Limit, request uint64) Decision {
	rat := cli.localRate(lim)
	if acc.refilledAt == (clock.Instant{}) || now.Since(acc.refilledAt) > cli.policy.Window {
		begin := rate.Tokens(float64(rat) * localStartTime.Seconds())
		acc.localTokens, acc.remainder = begin+rate.Tokens(cli.rnd.Int64N(int64(rate.Request))), 0
	} else {
		var gain rate.Tokens
		gain, acc.remainder = rate.Accrue(rat, now.Since(acc.refilledAt), acc.remainder)
		acc.localTokens = min(acc.localTokens+gain, max(rate.Tokens(rat), rate.Request))
	}
	acc.refilledAt = now
	if acc.localTokens >= rate.Request {
		acc.localTokens -= rate.Request
		return Decision{Request: request, Admitted: true, Local: true}
	}
	return Decision{Request: request, Local: true, RetryAfter: min(rate.Wait(rat, rate.Request-acc.localTokens), cli.nextQueryDelay())}
}

// nextQueryDelay draws when a caller that was refused without a server is to come back:
// when servers are asked again, which is spread.
func (cli *Client) nextQueryDelay() time.Duration {
	return unresponsivePause/2 + time.Duration(cli.rnd.Int64N(int64(unresponsivePause/2)))
}

func (acc *clientAccount) updateDemand(now clock.Instant) {
	elapsed := max(now.Mono-acc.demandAt.Mono, 0)
	acc.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	acc.demand += 1 / demandTimeConstant.Seconds()
	acc.demandAt = now
}

func (acc *clientAccount) expire(now clock.Instant) {
	if acc.tokens > 0 && !now.Before(acc.expiresAt) {
		acc.tokens = 0
	}
}

// prefetch is what the VM expects to need beyond the requests that wait.
func (acc *clientAccount) prefetch() int { return int(acc.demand * prefetchTime.Seconds()) }

// query asks for the next part, unless an ask is under way. Where all parts have
// been asked for, the requests that wait are decided.
func (cli *Client) query(now clock.Instant, acc *clientAccount) {
	if acc.pending != 0 || now.Before(acc.queryAgainAt) {
		return
	}
	if acc.queryAgainAt != (clock.Instant{}) {
		acc.queryAgainAt, acc.retryAfter = clock.Instant{}, 0
	}
	cnt := len(cli.view.Servers)
	for off := range cnt {
		serverNum := (cli.view.Preferred + off) % cnt
		id := cli.view.Servers[serverNum]
		if id == "" || acc.tried[serverNum] || now.Before(cli.pausedUntil[id]) {
			continue
		}
		cli.number++
		acc.pending, acc.queriedAt, acc.serverNum, acc.serverID = cli.number, now, serverNum, id
		cli.outputs = append(cli.outputs, Send{To: id, Query: Query{
			Organisation: acc.organisation, Server: serverNum, Number: cli.number, Need: len(acc.waiting), Prefetch: acc.prefetch(),
		}})
		return
	}
	cli.decideWaiting(now, acc)
}

// decideWaiting decides on the requests that wait once no server is left to ask. Those
// wait on for whom there will be tokens soon, or another server.
func (cli *Client) decideWaiting(now clock.Instant, acc *clientAccount) {
	clear(acc.tried)
	waited := time.Duration(0)
	if len(acc.waiting) > 0 {
		waited = now.Since(acc.waiting[0].since)
	}
	maxWait := cli.maxWait(now)
	if acc.retryAfter > 0 && waited+acc.retryAfter < maxWait {
		acc.queryAgainAt = now.Add(acc.retryAfter)
		return
	}
	if acc.retryAfter == 0 && waited < maxWait && cli.serverExpected(now) {
		return
	}
	retryAfter := acc.retryAfter
	acc.retryAfter, acc.queryAgainAt = 0, clock.Instant{}
	if retryAfter > 0 {
		cli.refuseWaiting(acc, retryAfter)
		acc.refuseUntil = now.Add(min(retryAfter, maxRefuseTime))
		return
	}
	cli.decideLocally(now, acc)
}

// decideLocally decides on the requests that wait without a server.
func (cli *Client) decideLocally(now clock.Instant, acc *clientAccount) {
	lim, found := cli.limits(acc.organisation)
	for _, wai := range acc.waiting {
		if !found {
			cli.decide(Decision{Request: wai.request, RetryAfter: time.Second})
			continue
		}
		cli.decide(cli.spendLocal(now, acc, lim, wai.request))
	}
	acc.waiting = nil
}

// HandleGrant takes a server's answer.
func (cli *Client) HandleGrant(now clock.Instant, gra Grant) {
	acc := cli.accounts[gra.Organisation]
	if acc == nil || acc.pending != gra.Number {
		return
	}
	acc.pending = 0
	acc.expire(now)
	if now.Since(acc.queriedAt) < tokenLifetime {
		acc.tokens += gra.Count
		acc.expiresAt = acc.queriedAt.Add(tokenLifetime)
	}
	for acc.tokens > 0 && len(acc.waiting) > 0 {
		acc.tokens--
		cli.decide(Decision{Request: acc.waiting[0].request, Admitted: true})
		acc.waiting = acc.waiting[1:]
	}
	if gra.NotServing {
		cli.pauseServer(now, acc, notServingPause)
	}
	if gra.RetryAfter > 0 {
		acc.tried[acc.serverNum] = true
		if acc.retryAfter == 0 || gra.RetryAfter < acc.retryAfter {
			acc.retryAfter = gra.RetryAfter
		}
	}
	if len(acc.waiting) > 0 {
		cli.query(now, acc)
		return
	}
	acc.retryAfter = 0
	clear(acc.tried)
}

func (cli *Client) decide(dec Decision) { cli.outputs = append(cli.outputs, dec) }

func (cli *Client) refuseWaiting(acc *clientAccount, after time.Duration) {
	for _, wai := range acc.waiting {
		cli.decide(Decision{Request: wai.request, RetryAfter: after})
	}
	acc.waiting = nil
}

// Cancel forgets a request that waits.
func (cli *Client) Cancel(organisation string, request uint64) {
	if acc := cli.accounts[organisation]; acc != nil {
		acc.waiting = slices.DeleteFunc(acc.waiting, func(wai waiter) bool { return wai.request == request })
	}
}

// pauseServer does not ask the server that was asked last for a pause. Another VM may
// serve its part by now; that one may be asked.
func (cli *Client) pauseServer(now clock.Instant, acc *clientAccount, pause time.Duration) {
	cli.pausedUntil[acc.serverID] = now.Add(pause)
	if acc.serverNum < len(cli.view.Servers) && cli.view.Servers[acc.serverNum] == acc.serverID {
		acc.tried[acc.serverNum] = true
	}
}

// Tick gives up servers that have not answered in time, and decides on requests
// that have waited for too long.
func (cli *Client) Tick(now clock.Instant) {
	for organisation, acc := range cli.accounts {
		if acc.pending != 0 && now.Since(acc.queriedAt) >= queryTimeout {
			acc.pending = 0
			cli.pauseServer(now, acc, unresponsivePause)
		}
		switch {
		case len(acc.waiting) == 0:
		case now.Since(acc.waiting[0].since) >= cli.maxWait(now):
			cli.decideWaiting(now, acc)
		default:
			cli.query(now, acc)
		}
		if len(acc.waiting) == 0 && now.Since(acc.usedAt) > accountIdleTime {
			delete(cli.accounts, organisation)
		}
	}
	maps.DeleteFunc(cli.pausedUntil, func(_ string, until clock.Instant) bool { return !now.Before(until) })
}

// Accounts returns the number of organisations of which the VM keeps state.
func (cli *Client) Accounts() int { return len(cli.accounts) }
