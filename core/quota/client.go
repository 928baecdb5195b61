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
	// askTime is how long a server may take to answer, and silentTime how long
	// one that did not is not asked.
	askTime    = 120 * time.Millisecond
	silentTime = time.Second
	// idleTime is the same of one that said that it does not serve yet.
	idleTime = 100 * time.Millisecond
	// youngTime is how long after its start a VM takes it that servers begin
	// to serve soon, as they do where many VMs start together.
	youngTime = 2 * time.Second
	// waitTime bounds how long a request waits for tokens, and awaitTime how long
	// it does where a server is likely to begin to serve soon.
	waitTime  = 300 * time.Millisecond
	awaitTime = 600 * time.Millisecond
	// tokenLife is how long granted tokens may be spent. What is spent late
	// adds to what is granted later.
	tokenLife = 600 * time.Millisecond
	// aheadTime is the demand for which a busy VM asks in advance.
	aheadTime = 300 * time.Millisecond
	// demandTime is the time constant of the estimate of the demand.
	demandTime = 2 * time.Second
	// quietTime bounds how long a VM refuses by itself after a refusal.
	quietTime = 100 * time.Millisecond
	// lonelyBegin is the time whose share is spent at once.
	lonelyBegin = 100 * time.Millisecond
	// vacantShare is the part of the rate that VMs may spend when it is known
	// that no server grants any.
	vacantShare  = 0.9
	idleAccount  = 30 * time.Second
	maxWaitCount = 256
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
	terms  Policy
	limits func(organisation string) (rate.Limit, bool)
	reach  ServerView
	// began is when the client was first used.
	began clock.Instant
	// silent has until when servers are not asked.
	silent   map[string]clock.Instant
	number   uint64
	accounts map[string]*wallet
	outputs  []Output
}

// wallet holds the tokens of one organisation at a VM.
type wallet struct {
	organisation string
	count        int
	expires      clock.Instant
	// demand is the estimate of requests a second.
	demand  float64
	counted clock.Instant
	waiting []waiter
	// asked is when the ask numbered open was sent, for part to server; open is 0
	// where none is.
	asked  clock.Instant
	open   uint64
	part   int
	server string
	// tried has the parts that were asked for since requests began to wait, and
	// retry the least time after which one of their servers has tokens.
	tried map[int]bool
	retry time.Duration
	// again is when the requests that wait are asked for anew, once all servers
	// have refused.
	again clock.Instant
	// quiet is until when requests are refused without asking.
	quiet clock.Instant
	// lonely holds what may be spent without the server, as of filled.
	lonely rate.Tokens
	rest   uint64
	filled clock.Instant
	used   clock.Instant
}

// NewClient returns a client that holds no tokens.
func NewClient(rnd *rand.Rand, trm Policy, limits func(organisation string) (rate.Limit, bool)) *Client {
	return &Client{rnd: rnd, terms: trm, limits: limits, silent: make(map[string]clock.Instant), accounts: make(map[string]*wallet)}
}

// SetPolicy replaces the terms.
func (cli *Client) SetPolicy(trm Policy) { cli.terms = trm }

// SetServerView takes what is known of the server.
func (cli *Client) SetServerView(rea ServerView) { cli.reach = rea }

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
	wal := cli.wallet(now, organisation)
	wal.countDemand(now)
	wal.expire(now)
	if len(wal.waiting) == 0 && wal.count > 0 {
		wal.count--
		if wal.count == 0 && wal.ahead() > 0 && cli.reachable(now) {
			cli.ask(now, wal)
		}
		return Decision{Request: request, Admitted: true}, true
	}
	if now.Before(wal.quiet) || len(wal.waiting) >= maxWaitCount {
		return Decision{Request: request, RetryAfter: max(wal.quiet.Mono-now.Mono, time.Millisecond)}, true
	}
	if !cli.reachable(now) {
		if dec := cli.spendLonely(now, wal, lim, request); dec.Admitted || !cli.awaited(now) {
			return dec, true
		}
	}
	wal.waiting = append(wal.waiting, waiter{request: request, since: now})
	cli.ask(now, wal)
	return Decision{}, false
}

// reachable reports whether there is a server to ask.
func (cli *Client) reachable(now clock.Instant) bool {
	for _, id := range cli.reach.Servers {
		if id != "" && !now.Before(cli.silent[id]) {
			return true
		}
	}
	return false
}

// awaited reports whether a server is likely to begin to serve soon.
func (cli *Client) awaited(now clock.Instant) bool {
	if cli.began == (clock.Instant{}) {
		cli.began = now
	}
	return cli.reach.Vacant || now.Since(cli.began) < youngTime
}

// patience returns how long requests wait for tokens.
func (cli *Client) patience(now clock.Instant) time.Duration {
	if cli.awaited(now) {
		return awaitTime
	}
	return waitTime
}

func (cli *Client) wallet(now clock.Instant, organisation string) *wallet {
	wal := cli.accounts[organisation]
	if wal == nil {
		wal = &wallet{organisation: organisation, counted: now, tried: make(map[int]bool)}
		cli.accounts[organisation] = wal
	}
	wal.used = now
	return wal
}

// lonelyRate is what this VM may spend a second without the server.
func (cli *Client) lonelyRate(lim rate.Limit) rate.PerSecond {
	vms := float64(max(cli.reach.VMs, 1))
	if cli.reach.Vacant {
		return rate.PerSecond(float64(lim.Rate) * vacantShare / vms)
	}
	return rate.PerSecond(min(float64(cli.terms.lonely(lim)), float64(lim.Rate)*vacantShare) / vms)
}

// spendLonely decides without the server. A time without it begins with a part
// of a request drawn at random, so that the VMs together spend evenly from its
// beginning, and nothing that gathered before. Who is refused may come back when
// the servers are asked again.
func (cli *Client) spendLonely(now clock.Instant, wal *wallet, lim rate.Limit, request uint64) Decision {
	rat := cli.lonelyRate(lim)
	if wal.filled == (clock.Instant{}) || now.Since(wal.filled) > cli.terms.Window {
		begin := rate.Tokens(float64(rat) * lonelyBegin.Seconds())
		wal.lonely, wal.rest = begin+rate.Tokens(cli.rnd.Int64N(int64(rate.Request))), 0
	} else {
		var gain rate.Tokens
		gain, wal.rest = rate.Accrue(rat, now.Since(wal.filled), wal.rest)
		wal.lonely = min(wal.lonely+gain, max(rate.Tokens(rat), rate.Request))
	}
	wal.filled = now
	if wal.lonely >= rate.Request {
		wal.lonely -= rate.Request
		return Decision{Request: request, Admitted: true, Local: true}
	}
	return Decision{Request: request, Local: true, RetryAfter: min(rate.Wait(rat, rate.Request-wal.lonely), cli.nextAsk())}
}

// nextAsk draws when a caller that was refused without a server is to come back:
// when servers are asked again, which is spread.
func (cli *Client) nextAsk() time.Duration {
	return silentTime/2 + time.Duration(cli.rnd.Int64N(int64(silentTime/2)))
}

func (wal *wallet) countDemand(now clock.Instant) {
	elapsed := max(now.Mono-wal.counted.Mono, 0)
	wal.demand *= math.Exp(-float64(elapsed) / float64(demandTime))
	wal.demand += 1 / demandTime.Seconds()
	wal.counted = now
}

func (wal *wallet) expire(now clock.Instant) {
	if wal.count > 0 && !now.Before(wal.expires) {
		wal.count = 0
	}
}

// ahead is what the VM expects to need beyond the requests that wait.
func (wal *wallet) ahead() int { return int(wal.demand * aheadTime.Seconds()) }

// ask asks for the next part, unless an ask is under way. Where all parts have
// been asked for, the requests that wait are decided.
func (cli *Client) ask(now clock.Instant, wal *wallet) {
	if wal.open != 0 || now.Before(wal.again) {
		return
	}
	if wal.again != (clock.Instant{}) {
		wal.again, wal.retry = clock.Instant{}, 0
	}
	cnt := len(cli.reach.Servers)
	for off := range cnt {
		part := (cli.reach.Preferred + off) % cnt
		id := cli.reach.Servers[part]
		if id == "" || wal.tried[part] || now.Before(cli.silent[id]) {
			continue
		}
		cli.number++
		wal.open, wal.asked, wal.part, wal.server = cli.number, now, part, id
		cli.outputs = append(cli.outputs, Send{To: id, Query: Query{
			Organisation: wal.organisation, Server: part, Number: cli.number, Need: len(wal.waiting), Prefetch: wal.ahead(),
		}})
		return
	}
	cli.settle(now, wal)
}

// settle decides on the requests that wait once no server is left to ask. Those
// wait on for whom there will be tokens soon, or another server.
func (cli *Client) settle(now clock.Instant, wal *wallet) {
	clear(wal.tried)
	waited := time.Duration(0)
	if len(wal.waiting) > 0 {
		waited = now.Since(wal.waiting[0].since)
	}
	patience := cli.patience(now)
	if wal.retry > 0 && waited+wal.retry < patience {
		wal.again = now.Add(wal.retry)
		return
	}
	if wal.retry == 0 && waited < patience && cli.awaited(now) {
		return
	}
	retry := wal.retry
	wal.retry, wal.again = 0, clock.Instant{}
	if retry > 0 {
		cli.refuseWaiting(wal, retry)
		wal.quiet = now.Add(min(retry, quietTime))
		return
	}
	cli.decideAlone(now, wal)
}

// decideAlone decides on the requests that wait without a server.
func (cli *Client) decideAlone(now clock.Instant, wal *wallet) {
	lim, found := cli.limits(wal.organisation)
	for _, wai := range wal.waiting {
		if !found {
			cli.decide(Decision{Request: wai.request, RetryAfter: time.Second})
			continue
		}
		cli.decide(cli.spendLonely(now, wal, lim, wai.request))
	}
	wal.waiting = nil
}

// HandleGrant takes a server's answer.
func (cli *Client) HandleGrant(now clock.Instant, gra Grant) {
	wal := cli.accounts[gra.Organisation]
	if wal == nil || wal.open != gra.Number {
		return
	}
	wal.open = 0
	wal.expire(now)
	if now.Since(wal.asked) < tokenLife {
		wal.count += gra.Count
		wal.expires = wal.asked.Add(tokenLife)
	}
	for wal.count > 0 && len(wal.waiting) > 0 {
		wal.count--
		cli.decide(Decision{Request: wal.waiting[0].request, Admitted: true})
		wal.waiting = wal.waiting[1:]
	}
	if gra.NotServing {
		cli.leave(now, wal, idleTime)
	}
	if gra.RetryAfter > 0 {
		wal.tried[wal.part] = true
		if wal.retry == 0 || gra.RetryAfter < wal.retry {
			wal.retry = gra.RetryAfter
		}
	}
	if len(wal.waiting) > 0 {
		cli.ask(now, wal)
		return
	}
	wal.retry = 0
	clear(wal.tried)
}

func (cli *Client) decide(dec Decision) { cli.outputs = append(cli.outputs, dec) }

func (cli *Client) refuseWaiting(wal *wallet, after time.Duration) {
	for _, wai := range wal.waiting {
		cli.decide(Decision{Request: wai.request, RetryAfter: after})
	}
	wal.waiting = nil
}

// Cancel forgets a request that waits.
func (cli *Client) Cancel(organisation string, request uint64) {
	if wal := cli.accounts[organisation]; wal != nil {
		wal.waiting = slices.DeleteFunc(wal.waiting, func(wai waiter) bool { return wai.request == request })
	}
}

// leave does not ask the server that was asked last for a pause. Another VM may
// serve its part by now; that one may be asked.
func (cli *Client) leave(now clock.Instant, wal *wallet, pause time.Duration) {
	cli.silent[wal.server] = now.Add(pause)
	if wal.part < len(cli.reach.Servers) && cli.reach.Servers[wal.part] == wal.server {
		wal.tried[wal.part] = true
	}
}

// Tick gives up servers that have not answered in time, and decides on requests
// that have waited for too long.
func (cli *Client) Tick(now clock.Instant) {
	for organisation, wal := range cli.accounts {
		if wal.open != 0 && now.Since(wal.asked) >= askTime {
			wal.open = 0
			cli.leave(now, wal, silentTime)
		}
		switch {
		case len(wal.waiting) == 0:
		case now.Since(wal.waiting[0].since) >= cli.patience(now):
			cli.settle(now, wal)
		default:
			cli.ask(now, wal)
		}
		if len(wal.waiting) == 0 && now.Since(wal.used) > idleAccount {
			delete(cli.accounts, organisation)
		}
	}
	maps.DeleteFunc(cli.silent, func(_ string, until clock.Instant) bool { return !now.Before(until) })
}

// Accounts returns the number of organisations of which the VM keeps state.
func (cli *Client) Accounts() int { return len(cli.accounts) }
