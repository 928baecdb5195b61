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
	// queryTimeout is how long a server may take to answer. One that does not answer in time
	// is not queried for unresponsivePause.
	queryTimeout      = 120 * time.Millisecond
	unresponsivePause = time.Second
	// notServingPause is how long a VM is not queried after it answered that it does not act
	// as that server.
	notServingPause = 100 * time.Millisecond
	// startupTime is how long after its own start a VM expects servers to begin to serve
	// soon, as they do when many VMs start together.
	startupTime = 2 * time.Second
	// usualMaxWait is the longest time that a request waits for tokens, and
	// expectingMaxWait the same while a server is likely to begin to serve soon.
	usualMaxWait     = 300 * time.Millisecond
	expectingMaxWait = 600 * time.Millisecond
	// tokenLifetime is how long granted tokens may be spent, counted from when the Query for
	// them was sent. It is short because tokens that are spent late add to those that are
	// granted later.
	tokenLifetime = 600 * time.Millisecond
	// prefetchTime is how far in advance a VM under load gets tokens for the requests that
	// it expects.
	prefetchTime = 300 * time.Millisecond
	// demandTimeConstant is the time constant of the decaying estimate of the demand.
	demandTimeConstant = 2 * time.Second
	// maxRefuseTime is the longest time for which a VM, after the servers have refused
	// requests, refuses further ones without a Query.
	maxRefuseTime = 100 * time.Millisecond
	// A VM that begins to spend without a server may spend at once what its local rate
	// yields in localStartTime.
	localStartTime = 100 * time.Millisecond
	// vacantShare is the share of the rate that all VMs together may spend when it is
	// known that no server grants tokens. Otherwise it is the upper bound of the share that
	// they may spend without servers.
	vacantShare = 0.9
	// accountIdleTime is how long an account is kept after its last use.
	accountIdleTime = 30 * time.Second
	// maxWaiting is the number of requests of one organisation that may wait on a VM. Further
	// ones are refused.
	maxWaiting = 256
)

// ServerView is what a VM knows of the token servers, which are numbered from 0.
type ServerView struct {
	// Servers lists the ID of the VM that acts as the server of each number, empty if none is
	// known. Preferred is the number of the server that this VM queries first.
	Servers   []string
	Preferred int
	// Vacant is set if it is known that no VM grants tokens.
	Vacant bool
	// VMs is the number of VMs that share what may be spent without servers.
	VMs int
}

// Client spends the tokens of organisations on one VM and queries the servers for more. While it
// reaches no server, it spends tokens at a low local rate, so that all VMs together stay within
// what the Policy allows. It is not safe for concurrent use.
type Client struct {
	rnd    *rand.Rand
	policy Policy
	// limits returns an organisation's limit, zero if it has none, and whether the
	// organisation is known.
	limits func(organisation string) (rate.Limit, bool)
	view   ServerView
	// startedAt is when the client was first used.
	startedAt clock.Instant
	// pausedUntil maps IDs of servers to the time until which they are not queried.
	pausedUntil map[string]clock.Instant
	number      uint64
	accounts    map[string]*clientAccount
	outputs     []Output
}

// clientAccount holds the tokens of one organisation on a VM.
type clientAccount struct {
	organisation string
	// tokens is the number of whole requests, not rate.Tokens, that granted tokens still
	// admit, until expiresAt.
	tokens    int
	expiresAt clock.Instant
	// demand is the estimated number of requests per second, as of demandAt.
	demand   float64
	demandAt clock.Instant
	// waiting lists the requests that wait for tokens, the oldest first.
	waiting []waiter
	// queriedAt is when the Query numbered pending was sent to the VM serverID, as the server
	// with the number serverNum. pending is 0 if no Query is unanswered.
	queriedAt clock.Instant
	pending   uint64
	serverNum int
	serverID  string
	// tried is the set of servers, by number, that have been tried since requests began to
	// wait, and retryAfter the shortest time after which one of them has tokens.
	tried      map[int]bool
	retryAfter time.Duration
	// queryAgainAt is when servers are queried again for the waiting requests, after all
	// servers have refused them.
	queryAgainAt clock.Instant
	// refuseUntil is the time until which requests are refused without a Query.
	refuseUntil clock.Instant
	// localTokens is what may be spent without a server, in millionths of a request, as of
	// refilledAt. remainder is what rate.Accrue carries over.
	localTokens rate.Tokens
	remainder   uint64
	refilledAt  clock.Instant
	usedAt      clock.Instant
}

// NewClient returns a client that holds no tokens.
func NewClient(rnd *rand.Rand, pol Policy, limits func(organisation string) (rate.Limit, bool)) *Client {
	return &Client{rnd: rnd, policy: pol, limits: limits, pausedUntil: make(map[string]clock.Instant), accounts: make(map[string]*clientAccount)}
}

// SetPolicy replaces the policy.
func (cli *Client) SetPolicy(pol Policy) { cli.policy = pol }

// SetServerView replaces what is known of the servers.
func (cli *Client) SetServerView(sev ServerView) { cli.view = sev }

// TakeOutputs returns the collected outputs and clears them.
func (cli *Client) TakeOutputs() []Output {
	out := cli.outputs
	cli.outputs = nil
	return out
}

// Admit decides whether a request is admitted. If decided is false, the request waits for
// tokens and the Decision follows as an Output.
func (cli *Client) Admit(now clock.Instant, organisation string, request uint64) (dec Decision, decided bool) {
	lim, found := cli.limits(organisation)
	if !found {
		// The organisation is not in this VM's configuration. The caller is told to retry after
		// 1 s.
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

// reachable reports whether there is a server that can be queried now.
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

// maxWait returns how long requests may wait for tokens.
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

// localRate returns the rate at which this VM may spend tokens without a server.
func (cli *Client) localRate(lim rate.Limit) rate.PerSecond {
	vms := float64(max(cli.view.VMs, 1))
	if cli.view.Vacant {
		return rate.PerSecond(float64(lim.Rate) * vacantShare / vms)
	}
	return rate.PerSecond(min(float64(cli.policy.fleetLocalRate(lim)), float64(lim.Rate)*vacantShare) / vms)
}

// spendLocal decides on a request without a server. A VM that has not done so for a window starts
// with what its local rate yields in localStartTime and a random fraction of the tokens for one
// request, but with nothing that accrued before, so that all VMs together spend evenly from the
// start. A refused caller is told to retry at the latest when servers are queried again.
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

// nextQueryDelay returns the time after which a caller that was refused without a server should
// retry: when servers are queried again. It is random, in the second half of unresponsivePause, to
// spread the retries.
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

// prefetch returns the number of tokens that the VM expects to need beyond those for the waiting
// requests.
func (acc *clientAccount) prefetch() int { return int(acc.demand * prefetchTime.Seconds()) }

// query sends a Query to the next server, unless one of the account is unanswered or the time for
// the next one has not come. If no server is left to try, it decides on the waiting requests.
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

// decideWaiting decides on the waiting requests once no server is left to query. They continue to
// wait if a server is expected to have tokens, or to begin to serve, before their maxWait is over.
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

// decideLocally decides on the waiting requests without a server.
func (cli *Client) decideLocally(now clock.Instant, acc *clientAccount) {
	lim, found := cli.limits(acc.organisation)
	for _, wai := range acc.waiting {
		if !found {
			cli.decide(Decision{Request: wai.request, RetryAfter: time.Second}) // As in Admit.
			continue
		}
		cli.decide(cli.spendLocal(now, acc, lim, wai.request))
	}
	acc.waiting = nil
}

// HandleGrant processes the answer of a server.
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

// Cancel removes a waiting request.
func (cli *Client) Cancel(organisation string, request uint64) {
	if acc := cli.accounts[organisation]; acc != nil {
		acc.waiting = slices.DeleteFunc(acc.waiting, func(wai waiter) bool { return wai.request == request })
	}
}

// pauseServer excludes the VM that was queried last from queries for the length of a pause. If
// another VM acts as the server of that number by now, that VM may be queried at once.
func (cli *Client) pauseServer(now clock.Instant, acc *clientAccount, pause time.Duration) {
	cli.pausedUntil[acc.serverID] = now.Add(pause)
	if acc.serverNum < len(cli.view.Servers) && cli.view.Servers[acc.serverNum] == acc.serverID {
		acc.tried[acc.serverNum] = true
	}
}

// Tick pauses servers that have not answered in time, decides on requests that have waited too
// long, and removes accounts that have not been used for accountIdleTime.
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

// Accounts returns the number of organisations for which the client keeps an account.
func (cli *Client) Accounts() int { return len(cli.accounts) }
