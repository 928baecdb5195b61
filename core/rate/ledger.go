package rate

import (
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

// The times and bounds of the exchange between ledgers.
const (
	askTimeout     = 100 * time.Millisecond
	waitLimit      = 250 * time.Millisecond
	resendInterval = 200 * time.Millisecond
	surveyInterval = 250 * time.Millisecond
	returnInterval = 200 * time.Millisecond
	demandLife     = 5 * time.Second
	accountLife    = 30 * time.Second
	minQuiet       = 20 * time.Millisecond
	maxQuiet       = 200 * time.Millisecond
	maxWaiting     = 256
	// hotDemand is the demand at a VM from which it holds a rate of its own.
	hotDemand = PerSecond(4 * Request)
	// splitBurst is the least burst of a home, so that splitting an allowance
	// leaves each home enough for several requests.
	splitBurst = 8 * Request
	// homeRate is the rate for which an organisation has a further home.
	homeRate   = PerSecond(2000 * Request)
	usualHomes = 4
	maxHomes   = 8
	// driftShare is the part of each rate that is never minted, to cover VM
	// clocks that run fast by up to 500 millionths.
	driftShare = 2000
	// slackShare is the part of the lease by which a clock may run slow.
	slackShare = 100
)

// Allowance is the limit of an organisation and its age.
type Allowance struct {
	Limit Limit
	// Created and Changed are the versions of the head at which the
	// organisation was created and its limit last set.
	Created uint64
	Changed uint64
}

// Fleet is what a ledger needs to know of the head that its VM holds.
type Fleet struct {
	Version uint64
	View    member.View
	// LimitsVersion is the version at which any limit was last set.
	LimitsVersion uint64
}

// Ledger holds the parts of allowances that are at one VM and moves them to
// where the demand is. Allowance is only ever moved: the sum of all shares and
// of what is under way never exceeds the limit, whatever is lost, late or
// repeated. The first home of an organisation mints what no VM holds, once in
// every round, and only when every VM that may act has said what it holds.
// It is not safe for concurrent use.
type Ledger struct {
	self string
	// lease is the longest time that a VM acts on a head that is not the newest.
	lease      time.Duration
	allowances func(organisation string) (Allowance, bool)
	fleet      Fleet
	accounts   map[string]*account
	// order lists the organisations of accounts, sorted.
	order []string
	// forgotten holds the highest number received from each sender in accounts
	// that were dropped.
	forgotten map[string]uint64
	survey    survey
	number    uint64
	returned  clock.Instant
	stopping  bool
	outputs   []Output
}

// survey is the knowledge that a home gathers before it mints.
type survey struct {
	epoch   uint64
	version uint64
	// answered has the members that have said what they held.
	answered map[string]bool
	asked    clock.Instant
	// held sums what members held when they entered the present rounds.
	held map[string]Limit
	// early holds surveys of later rounds, to be answered once they are entered.
	early map[string]Survey
	// complete is when the last member answered.
	complete   clock.Instant
	isComplete bool
}

// NewLedger returns a ledger that holds nothing.
func NewLedger(self string, lease time.Duration, allowances func(organisation string) (Allowance, bool)) *Ledger {
	return &Ledger{
		self: self, lease: lease, allowances: allowances,
		accounts: make(map[string]*account), forgotten: make(map[string]uint64),
	}
}

// Take returns and forgets the outputs gathered so far.
func (led *Ledger) Take() []Output {
	out := led.outputs
	led.outputs = nil
	return out
}

func (led *Ledger) send(to string, msg Message) {
	led.outputs = append(led.outputs, Send{To: to, Message: msg})
}

// Adopt takes a newer head. A VM that the view does not list drops what it
// holds of every organisation that enters a round, since others may mint it.
func (led *Ledger) Adopt(now clock.Instant, fle Fleet) {
	if fle.Version <= led.fleet.Version {
		return
	}
	led.fleet = fle
	_, member := fle.View.VM(led.self)
	for _, organisation := range slices.Clone(led.order) {
		acc := led.accounts[organisation]
		alw, found := led.allowances(organisation)
		if !found {
			led.refuseAll(acc, time.Second)
			led.drop(acc)
			continue
		}
		if round := led.roundOf(alw); round > acc.round {
			if !member {
				acc.clear()
			}
			acc.enter(now, round, alw)
			acc.homes = led.homesOf(acc)
		}
	}
	if version := max(fle.View.Epoch(), fle.LimitsVersion); version != led.survey.version {
		early := led.survey.early
		led.survey = survey{
			epoch: fle.View.Epoch(), version: version,
			answered: make(map[string]bool), held: make(map[string]Limit), early: make(map[string]Survey),
		}
		led.runSurvey(now)
		for _, from := range slices.Sorted(maps.Keys(early)) {
			led.surveyed(from, early[from])
		}
	}
}

func (led *Ledger) roundOf(alw Allowance) uint64 { return max(led.fleet.View.Epoch(), alw.Changed) }

// account returns the account of an organisation, or nil if there is none.
func (led *Ledger) account(now clock.Instant, organisation string) *account {
	acc := led.accounts[organisation]
	if acc == nil {
		alw, found := led.allowances(organisation)
		if !found {
			return nil
		}
		acc = &account{organisation: organisation, allowance: alw, round: led.roundOf(alw)}
		acc.bucket.filled = now
		acc.demand.at = now
		acc.homes = led.homesOf(acc)
		led.accounts[organisation] = acc
		at, _ := slices.BinarySearch(led.order, organisation)
		led.order = slices.Insert(led.order, at, organisation)
	}
	acc.used = now
	return acc
}

// drop forgets an account, but not what it has received, so that a transfer
// that is repeated much later is still recognised.
func (led *Ledger) drop(acc *account) {
	for from, number := range acc.received {
		led.forgotten[from] = max(led.forgotten[from], number)
	}
	delete(led.accounts, acc.organisation)
	if at, found := slices.BinarySearch(led.order, acc.organisation); found {
		led.order = slices.Delete(led.order, at, at+1)
	}
}

// homesOf returns the IDs of the homes of an organisation, the first one first.
func (led *Ledger) homesOf(acc *account) []string {
	vms := led.fleet.View.Spread("rate/"+acc.organisation, HomeCount(acc.allowance.Limit))
	ids := make([]string, 0, len(vms))
	for _, vmm := range vms {
		ids = append(ids, vmm.ID)
	}
	return ids
}

// HomeCount returns how many VMs are homes of an organisation with a limit:
// one where parts would be crumbs, and more the higher the rate.
func HomeCount(lim Limit) int {
	return max(min(usualHomes+int(lim.Rate/homeRate), maxHomes, int(lim.Burst/splitBurst)), 1)
}

// Admit decides on a request at once, or returns false for decided when the
// answer follows as a Decided output.
func (led *Ledger) Admit(now clock.Instant, organisation string, request uint64) (dec Decided, decided bool) {
	acc := led.account(now, organisation)
	if acc == nil {
		return Decided{Request: request, RetryAfter: time.Second}, true
	}
	acc.demand.count(now)
	led.mint(now, acc)
	acc.bucket.refill(now)
	if len(acc.waiting) == 0 && acc.bucket.tokens >= Request {
		acc.bucket.tokens -= Request
		led.replenish(now, acc)
		return Decided{Request: request, Admitted: true}, true
	}
	if !acc.ask.open && now.Before(acc.ask.quietUntil) || len(acc.waiting) >= maxWaiting {
		return Decided{Request: request, RetryAfter: acc.retryAfter(now)}, true
	}
	acc.waiting = append(acc.waiting, waiter{request: request, since: now})
	if !acc.ask.open && !led.startAsk(now, acc) && !led.awaitsMint(acc) {
		acc.waiting = acc.waiting[:len(acc.waiting)-1]
		return Decided{Request: request, RetryAfter: acc.retryAfter(now)}, true
	}
	return Decided{}, false
}

// Cancel forgets a request that waits.
func (led *Ledger) Cancel(organisation string, request uint64) {
	if acc := led.accounts[organisation]; acc != nil {
		acc.waiting = slices.DeleteFunc(acc.waiting, func(wai waiter) bool { return wai.request == request })
	}
}

func (acc *account) retryAfter(now clock.Instant) time.Duration {
	own := Wait(acc.bucket.share.Rate, Request-acc.bucket.tokens)
	all := Wait(acc.allowance.Limit.Rate, Request)
	return max(min(own, max(all, acc.ask.quietUntil.Mono-now.Mono)), time.Millisecond)
}

// Receive takes a message from another VM.
func (led *Ledger) Receive(now clock.Instant, from string, msg Message) {
	switch msg := msg.(type) {
	case Ask:
		led.asked(now, from, msg)
	case Transfer:
		led.transferred(now, from, msg)
	case Ack:
		led.confirmed(from, msg)
	case Deny:
		led.denied(now, from, msg)
	case Survey:
		led.surveyed(from, msg)
	case Holdings:
		led.held(now, from, msg)
	}
}

// Tick resends what is not confirmed, gives up asks without an answer, returns
// what is not needed and goes on with the survey.
func (led *Ledger) Tick(now clock.Instant) {
	led.runSurvey(now)
	review := now.Since(led.returned) >= returnInterval
	if review {
		led.returned = now
	}
	for _, organisation := range slices.Clone(led.order) {
		led.tick(now, led.accounts[organisation], review)
	}
}

func (led *Ledger) tick(now clock.Instant, acc *account, review bool) {
	led.resend(now, acc)
	if acc.ask.open && now.Since(acc.ask.since) >= askTimeout {
		acc.ask.failed = true
		led.nextAsk(now, acc, 0)
	}
	led.serve(now, acc)
	for len(acc.waiting) > 0 && now.Since(acc.waiting[0].since) >= waitLimit {
		led.outputs = append(led.outputs, Decided{Request: acc.waiting[0].request, RetryAfter: acc.retryAfter(now)})
		acc.waiting = acc.waiting[1:]
	}
	if len(acc.waiting) > 0 && !acc.ask.open && !now.Before(acc.ask.quietUntil) && !led.startAsk(now, acc) && !led.awaitsMint(acc) {
		led.refuseAll(acc, acc.retryAfter(now))
	}
	if review {
		led.mint(now, acc)
		led.review(now, acc)
	}
	if acc.empty() && now.Since(acc.used) > accountLife {
		led.drop(acc)
	}
}

func (led *Ledger) resend(now clock.Instant, acc *account) {
	for _, to := range slices.Sorted(maps.Keys(acc.outbox)) {
		par := acc.outbox[to]
		if now.Since(par.sent) >= resendInterval {
			par.sent = now
			led.send(to, par.transfer)
		}
	}
}

// Stop gives everything to other homes from now on, because the VM is about to
// leave.
func (led *Ledger) Stop() { led.stopping = true }

// Held returns the share and the tokens of an organisation at this VM.
func (led *Ledger) Held(now clock.Instant, organisation string) (Limit, Tokens) {
	acc := led.accounts[organisation]
	if acc == nil {
		return Limit{}, 0
	}
	acc.bucket.refill(now)
	return acc.bucket.share, acc.bucket.tokens
}

// Holds reports whether the VM holds or is moving any allowance.
func (led *Ledger) Holds() bool {
	for _, acc := range led.accounts {
		if acc.bucket.share != (Limit{}) || len(acc.outbox) > 0 {
			return true
		}
	}
	return false
}

// Accounts returns the number of organisations of which the VM keeps state.
func (led *Ledger) Accounts() int { return len(led.accounts) }
