package health

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

// The rules of the VM's own part.
const (
	// slowFactor and overdueFactor times the median latency are what counts as
	// slow and as overdue.
	slowFactor    = 3
	overdueFactor = 10
	minOverdue    = 60 * time.Millisecond
	// patienceFactor times the median latency is how long an attempt is waited
	// for that may be repeated elsewhere.
	patienceFactor = 4
	minPatience    = 100 * time.Millisecond
	slowMargin     = 2 * time.Millisecond
	busyInterval   = 500 * time.Millisecond
	quietInterval  = 2 * time.Second
	urgentSpacing  = 100 * time.Millisecond
	busyCounts     = 10
	// wordLife is how long an owner's verdict counts without a newer one.
	wordLife = 5 * time.Second
	// medianStep is the relative step of the estimate of the median.
	medianStep = 0.03
	// avoidLevel is the local evidence at which a VM by itself avoids a target,
	// and avoidTime how long it does so at first.
	avoidLevel    = 2.5
	avoidTime     = time.Second
	maxAvoidTime  = 10 * time.Second
	localDecay    = 2 * time.Second
	localBad      = 1.3
	localGood     = 0.4
	shedTime      = 30 * time.Millisecond
	leavingTime   = 30 * time.Second
	choices       = 2
	minPercentTry = 50
)

// Pool judges targets by the evidence of the whole fleet: VMs report what they
// see to the owner of each service, which ejects by comparison with the
// target's peers, within the floor. By itself a VM only avoids targets. It is
// not safe for concurrent use.
type Pool struct {
	self      member.VM
	threshold Threshold
	rnd       *rand.Rand
	view      member.View
	services  map[string]*service
	judges    map[string]*judge
	attempts  *attempts
	sends     []Send
}

type service struct {
	name    string
	floor   int
	owner   string
	targets []*pooled
	median  time.Duration
	// fleetMedian is the owner's estimate, which VMs share.
	fleetMedian time.Duration
	counts      int
	bad         bool
	reported    clock.Instant
	sequence    uint64
	// heard is when the owner last spoke.
	heard   clock.Instant
	working bool
	// succeeded is when this VM last had an answer.
	succeeded clock.Instant
	failed    clock.Instant
}

// pooled is what the VM knows of one target.
type pooled struct {
	Target
	counts      Counts
	outstanding int
	latency     time.Duration
	percent     int
	until       clock.Instant
	times       int
	// local is this VM's own evidence against the target.
	local     float64
	decayed   clock.Instant
	avoided   clock.Instant
	avoidance time.Duration
	shed      clock.Instant
	// leaving ends the time for which the target has asked for no new work.
	leaving clock.Instant
}

// NewPool returns a pool without services.
func NewPool(self member.VM, threshold Threshold, rnd *rand.Rand) *Pool {
	return &Pool{
		self: self, threshold: threshold, rnd: rnd,
		services: make(map[string]*service), judges: make(map[string]*judge), attempts: newAttempts(),
	}
}

// Take returns and forgets the messages to send.
func (pol *Pool) Take() []Send {
	out := pol.sends
	pol.sends = nil
	return out
}

// SetView takes a newer view, which may move services to other owners.
func (pol *Pool) SetView(vie member.View) {
	pol.view = vie
	for _, svc := range pol.services {
		pol.setOwner(svc)
	}
}

func (pol *Pool) setOwner(svc *service) {
	svc.owner = ""
	if first := pol.view.Ranked("service/"+svc.name, 1); len(first) > 0 {
		svc.owner = first[0].ID
	}
	if svc.owner != pol.self.ID {
		delete(pol.judges, svc.name)
	}
}

// SetService replaces the targets and the floor of a service and keeps what is
// known of the targets that stay.
func (pol *Pool) SetService(now clock.Instant, name string, floor int, tgs []Target) {
	svc := pol.services[name]
	if svc == nil {
		svc = &service{name: name}
		pol.services[name] = svc
	}
	old := svc.targets
	svc.floor = floor
	svc.targets = nil
	ids := make([]string, 0, len(tgs))
	for _, tgt := range tgs {
		one := &pooled{percent: 100, decayed: now}
		if idx := slices.IndexFunc(old, func(was *pooled) bool { return was.ID == tgt.ID }); idx >= 0 {
			one = old[idx]
		}
		one.Target = tgt
		svc.targets = append(svc.targets, one)
		ids = append(ids, tgt.ID)
	}
	svc.keepFloor(now)
	pol.setOwner(svc)
	if jud := pol.judges[name]; jud != nil {
		jud.setTargets(now, floor, ids)
	}
}

// DropService forgets a service.
func (pol *Pool) DropService(name string) {
	delete(pol.services, name)
	delete(pol.judges, name)
}

func (svc *service) target(id string) *pooled {
	idx := slices.IndexFunc(svc.targets, func(tgt *pooled) bool { return tgt.ID == id })
	if idx < 0 {
		return nil
	}
	return svc.targets[idx]
}

// Began counts an attempt sent to a target.
func (pol *Pool) Began(now clock.Instant, name, target string) Ticket {
	if _, tgt := pol.find(name, target); tgt != nil {
		tgt.outstanding++
	}
	return pol.attempts.begin(now, name, target)
}

func (pol *Pool) find(name, target string) (*service, *pooled) {
	svc := pol.services[name]
	if svc == nil {
		return nil, nil
	}
	return svc, svc.target(target)
}

// Answered counts the outcome of an attempt, once.
func (pol *Pool) Answered(now clock.Instant, tic Ticket, outcome Outcome) {
	att := pol.attempts.answer(tic)
	if att == nil {
		return
	}
	svc, tgt := pol.find(att.service, att.target)
	if tgt == nil || outcome == Canceled {
		return
	}
	if outcome == Shed {
		tgt.shed = now
		return
	}
	latency := now.Mono - att.began.Mono
	if outcome.Bad() {
		svc.countBad(now, tgt, att)
		return
	}
	svc.countOK(now, tgt, latency)
}

func (svc *service) countBad(now clock.Instant, tgt *pooled, att *attempt) {
	svc.failed = now
	if att.overdue {
		return // It has been counted already.
	}
	tgt.counts.Bad++
	svc.counts++
	svc.bad = true
	tgt.blame(now, localBad)
}

func (svc *service) countOK(now clock.Instant, tgt *pooled, latency time.Duration) {
	svc.succeeded = now
	svc.counts++
	tgt.counts.OK++
	if med := svc.reference(); med > 0 && latency > slowFactor*med+slowMargin {
		tgt.counts.Slow++
		svc.bad = true
	}
	tgt.blame(now, -localGood)
	tgt.latency += (latency - tgt.latency) / 10
	svc.learnMedian(latency)
}

// learnMedian moves the estimate of the median a step towards the latency.
func (svc *service) learnMedian(latency time.Duration) {
	switch {
	case svc.median == 0:
		svc.median = latency
	case latency > svc.median:
		svc.median = time.Duration(float64(svc.median) * math.Exp(medianStep))
	case latency < svc.median:
		svc.median = time.Duration(float64(svc.median) * math.Exp(-medianStep))
	}
	svc.median = max(svc.median, time.Microsecond)
}

func (svc *service) reference() time.Duration {
	if svc.fleetMedian > 0 {
		return svc.fleetMedian
	}
	return svc.median
}

// blame adds to the VM's own evidence, and starts to avoid the target when it
// is enough.
func (tgt *pooled) blame(now clock.Instant, evidence float64) {
	if elapsed := now.Mono - tgt.decayed.Mono; elapsed > 0 {
		tgt.local *= math.Exp(-float64(elapsed) / float64(localDecay))
		tgt.decayed = now
	}
	tgt.local = max(tgt.local+evidence, 0)
	if tgt.local < avoidLevel {
		if evidence < 0 {
			tgt.avoidance = max(tgt.avoidance/2, avoidTime)
		}
		return
	}
	tgt.avoidance = min(max(tgt.avoidance*2, avoidTime), maxAvoidTime)
	tgt.avoided = now.Add(tgt.avoidance)
	tgt.local = 0
}

// Ended counts the end of an attempt. An answer that was cut short counts
// against the target although it began well.
func (pol *Pool) Ended(now clock.Instant, tic Ticket, outcome Outcome) {
	att := pol.attempts.open[tic]
	if att == nil {
		return
	}
	if att.answered && outcome == Failure {
		if svc, tgt := pol.find(att.service, att.target); tgt != nil {
			svc.countBad(now, tgt, att)
		}
	}
	pol.Answered(now, tic, outcome)
	delete(pol.attempts.open, tic)
	if _, tgt := pol.find(att.service, att.target); tgt != nil {
		tgt.outstanding = max(tgt.outstanding-1, 0)
	}
}

// Leaving notes that a target wants no new work.
func (pol *Pool) Leaving(now clock.Instant, name, target string) {
	if _, tgt := pol.find(name, target); tgt != nil {
		tgt.leaving = now.Add(leavingTime)
	}
}

// Tick counts overdue attempts, reports to owners and ends ejections.
func (pol *Pool) Tick(now clock.Instant) {
	for _, tic := range slices.Sorted(maps.Keys(pol.attempts.open)) {
		pol.checkOverdue(now, pol.attempts.open[tic])
	}
	for _, name := range slices.Sorted(maps.Keys(pol.services)) {
		svc := pol.services[name]
		if jud := pol.judges[name]; jud != nil {
			jud.tick(now)
		}
		if svc.dueReport(now) {
			pol.report(now, svc)
		}
	}
}

func (pol *Pool) checkOverdue(now clock.Instant, att *attempt) {
	svc, tgt := pol.find(att.service, att.target)
	if tgt == nil || att.answered || att.overdue {
		return
	}
	limit := max(overdueFactor*svc.reference(), minOverdue)
	if svc.reference() == 0 || now.Mono-att.began.Mono < limit {
		return
	}
	svc.countBad(now, tgt, att)
	att.overdue = true
}

func (tgt *pooled) ejectedAt(now clock.Instant) bool {
	return tgt.percent == 0 && now.Before(tgt.until)
}

// Patience returns how long an attempt at a service takes at most where nothing
// is wrong, or 0 while that is not known.
func (pol *Pool) Patience(name string) time.Duration {
	svc := pol.services[name]
	if svc == nil || svc.reference() == 0 {
		return 0
	}
	return max(patienceFactor*svc.reference(), minPatience)
}

// Receive takes a message from another VM.
func (pol *Pool) Receive(now clock.Instant, from string, msg Message) {
	switch msg := msg.(type) {
	case Digest:
		if vmm, found := pol.view.VM(from); found {
			pol.digested(now, from, vmm.FailureDomain, msg)
		}
	case Verdict:
		if svc := pol.services[msg.Service]; svc != nil && svc.owner == from {
			svc.apply(now, msg)
		}
	}
}

// Ejected lists the targets of a service that are out of use.
func (pol *Pool) Ejected(now clock.Instant, name string) []string {
	var out []string
	if svc := pol.services[name]; svc != nil {
		for _, eje := range svc.ejections(now) {
			out = append(out, eje.Target)
		}
	}
	return out
}

// Blind reports whether this VM reaches nothing although others do, so that the
// fault is its own.
func (pol *Pool) Blind(now clock.Instant) bool {
	tried, blind := 0, 0
	for _, svc := range pol.services {
		if svc.failed == (clock.Instant{}) || now.Mono-svc.failed.Mono > wordLife {
			continue
		}
		tried++
		if svc.working && now.Mono-svc.succeeded.Mono > wordLife {
			blind++
		}
	}
	return tried > 0 && blind == tried
}
