package fence

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

// The rhythm of proofs. A lease of several seconds bears the loss of a few
// messages of each kind.
const (
	questionInterval = time.Second
	tallyInterval    = 500 * time.Millisecond
	readInterval     = 500 * time.Millisecond
	maxReadInterval  = 4 * time.Second
	silentAfter      = 3 * time.Second
	// fallbackShare is the part of a lease after which a VM that its watchers
	// leave without proof reads the platform itself.
	fallbackShare = 0.7
	// distrustTime is how long reads of the platform prove nothing after one
	// that was older than the head held.
	distrustTime = time.Minute
	// watchersPerDomain VMs of each failure domain read the platform.
	watchersPerDomain = 2
	ageStep           = 250 * time.Millisecond
	maxAgeSteps       = 64
)

// Prover keeps the lease of one VM. The watchers of a failure domain read the
// head from the platform; other VMs ask the watchers. Where no watcher reaches
// the platform, the votes of a majority of the view take its place. It is not
// safe for concurrent use.
type Prover struct {
	self  member.VM
	lease Lease
	head  Head
	view  member.View
	prior member.View
	// watchers lists the watchers of every failure domain.
	watchers map[string][]member.VM
	domains  []string

	sequence uint64
	// questions holds when each open question was sent, by receiver.
	questions map[string]openQuestion
	votes     map[string]vote
	tallies   map[string]tally
	holders   map[string]holders
	// gone has the VMs that are known to have ended, which can neither act nor
	// vote and so count as if they held every head.
	gone    map[string]bool
	asked   clock.Instant
	tallied clock.Instant
	read    readState
	// trustReads is set where reads of the platform never lag.
	trustReads bool
	// distrustUntil ends the distrust that a lagging read has caused.
	distrustUntil clock.Instant
	accepted      uint64
	outputs       []Output
}

type openQuestion struct {
	sequence uint64
	sent     clock.Instant
}

// vote says that at a moment of this VM's clock a member held a version.
type vote struct {
	version uint64
	moment  clock.Instant
	dated   bool
	heard   clock.Instant
}

type tally struct {
	answer TallyAnswer
	asked  clock.Instant
}

type holders struct {
	version      uint64
	holding      int
	holdingPrior int
	lagging      []string
}

type readState struct {
	open     bool
	sent     clock.Instant
	interval time.Duration
	started  bool
}

// NewProver returns the prover of a VM that holds no head. trustReads states
// that the platform answers reads with its newest value; otherwise only the
// votes of VMs are proofs.
func NewProver(self member.VM, lease time.Duration, trustReads bool) *Prover {
	return &Prover{
		self: self, lease: NewLease(lease), trustReads: trustReads,
		questions: make(map[string]openQuestion),
		votes:     make(map[string]vote), tallies: make(map[string]tally), holders: make(map[string]holders), gone: make(map[string]bool),
		read: readState{interval: readInterval},
	}
}

// Take returns and forgets the outputs gathered so far.
func (prv *Prover) Take() []Output {
	out := prv.outputs
	prv.outputs = nil
	return out
}

func (prv *Prover) send(to string, msg Message) {
	if to != prv.self.ID {
		prv.outputs = append(prv.outputs, Send{To: to, Message: msg})
	}
}

// Lease returns the lease of the VM.
func (prv *Prover) Lease() Lease { return prv.lease }

// Head returns the head that the VM holds.
func (prv *Prover) Head() Head { return prv.head }

// Accepted returns the newest version known to be accepted: a majority of the
// view and of the prior view hold it, so that no proof can miss it.
func (prv *Prover) Accepted() uint64 { return prv.accepted }

// Hold takes a head that the VM has loaded, with its view and the view before.
func (prv *Prover) Hold(now clock.Instant, hea Head, vie, prior member.View) {
	if hea.Version <= prv.lease.Held() {
		return
	}
	newView := hea.Epoch != prv.head.Epoch
	prv.head, prv.view, prv.prior = hea, vie, prior
	prv.lease = prv.lease.WithHead(hea.Version)
	clear(prv.holders)
	if newView {
		prv.enterView()
	}
	// Saying at once what is held speeds up acceptance.
	prv.ask(now)
	prv.spreadNews()
	prv.checkAccepted()
}

// spreadNews tells the members of the failure domain of a head, on a watcher.
func (prv *Prover) spreadNews() {
	if !prv.Watcher() {
		return
	}
	prv.tallied = clock.Instant{}
	for _, vmm := range prv.view.Domain(prv.self.FailureDomain) {
		if prv.votes[vmm.ID].version < prv.head.Version {
			prv.send(vmm.ID, News{Head: prv.head})
		}
	}
}

func (prv *Prover) enterView() {
	clear(prv.tallies)
	prv.domains = prv.view.Domains()
	prv.watchers = make(map[string][]member.VM, len(prv.domains))
	for _, dom := range prv.domains {
		prv.watchers[dom] = member.Ranked(prv.view.Domain(dom), "watch/"+dom, watchersPerDomain)
	}
	for id := range prv.gone {
		_, listed := prv.view.VM(id)
		if _, found := prv.prior.VM(id); !found && !listed {
			delete(prv.gone, id)
		}
	}
	for id := range prv.votes {
		_, listed := prv.view.VM(id)
		if _, found := prv.prior.VM(id); !found && !listed {
			delete(prv.votes, id)
		}
	}
}

// Gone notes that a VM is known to have ended. It must not be called for a VM
// that is merely out of reach.
func (prv *Prover) Gone(id string) {
	prv.gone[id] = true
	prv.checkAccepted()
}

// Watcher reports whether the VM is a watcher of its failure domain.
func (prv *Prover) Watcher() bool { return contains(prv.watchers[prv.self.FailureDomain], prv.self.ID) }

// Watchers returns the watchers of every failure domain.
func (prv *Prover) Watchers() []member.VM {
	var out []member.VM
	for _, dom := range prv.domains {
		out = append(out, prv.watchers[dom]...)
	}
	return out
}

func contains(vms []member.VM, id string) bool {
	return slices.ContainsFunc(vms, func(vmm member.VM) bool { return vmm.ID == id })
}

// Tick sends the questions that are due.
func (prv *Prover) Tick(now clock.Instant) {
	if prv.lease.Held() != 0 {
		if now.Since(prv.asked) >= questionInterval {
			prv.ask(now)
		}
		if prv.Watcher() && now.Since(prv.tallied) >= tallyInterval {
			prv.tallied = now
			prv.askTallies(now)
		}
		prv.prove(now)
	}
	if prv.readDue(now) {
		prv.read.open, prv.read.started = true, true
		prv.read.sent = now
		prv.outputs = append(prv.outputs, ReadPlatform{})
	}
}

// readDue reports whether to read the head from the platform: a watcher does so
// regularly, any other VM only when its watchers leave it without proof.
func (prv *Prover) readDue(now clock.Instant) bool {
	if prv.read.open || prv.read.started && now.Since(prv.read.sent) < prv.read.interval {
		return false
	}
	age, proved := prv.lease.Age(now)
	return prv.lease.Held() == 0 || prv.Watcher() || !proved || float64(age) > fallbackShare*float64(prv.lease.Duration()) || prv.lease.Wanted() > prv.lease.Held()
}

// PlatformRead takes the head that the platform answered to a question sent
// at asked.
func (prv *Prover) PlatformRead(now, asked clock.Instant, hea Head) {
	prv.read.open = false
	prv.read.interval = readInterval
	if hea.Version < prv.lease.Held() {
		prv.distrustUntil = now.Add(distrustTime)
		return
	}
	if prv.trustReads && !now.Before(prv.distrustUntil) {
		prv.lease = prv.lease.WithProof(Proof{Version: hea.Version, Moment: asked})
	}
	prv.want(hea, "")
}

// PlatformFailed notes that the platform gave no answer. jitter from 0 to 1
// keeps VMs from returning to it at the same moment.
func (prv *Prover) PlatformFailed(jitter float64) {
	prv.read.open = false
	prv.read.interval = min(prv.read.interval*2, maxReadInterval)
	prv.read.interval += time.Duration(jitter * float64(prv.read.interval) / 2)
}

func (prv *Prover) want(hea Head, from string) {
	if hea.Version > prv.lease.Held() {
		prv.outputs = append(prv.outputs, Want{Head: hea, From: from})
	}
}

// ask sends the VM's question to the watchers of its failure domain, or to
// those of the others where its own has none.
func (prv *Prover) ask(now clock.Instant) {
	prv.asked = now
	receivers := prv.watchers[prv.self.FailureDomain]
	if !slices.ContainsFunc(receivers, func(vmm member.VM) bool { return vmm.ID != prv.self.ID }) {
		receivers = prv.Watchers()
	}
	for _, wat := range receivers {
		if wat.ID != prv.self.ID {
			prv.send(wat.ID, Question{
				Sequence: prv.question(now, wat.ID), Epoch: prv.head.Epoch, Version: prv.lease.Held(),
			})
		}
	}
}

func (prv *Prover) question(now clock.Instant, to string) uint64 {
	prv.sequence++
	prv.questions[to] = openQuestion{sequence: prv.sequence, sent: now}
	return prv.sequence
}

// answered closes a question and returns when it was sent.
func (prv *Prover) answered(from string, sequence uint64) (clock.Instant, bool) {
	que, found := prv.questions[from]
	if !found || que.sequence != sequence {
		return clock.Instant{}, false
	}
	delete(prv.questions, from)
	return que.sent, true
}

// Receive takes a message from another VM.
func (prv *Prover) Receive(now clock.Instant, from string, msg Message) {
	switch msg := msg.(type) {
	case Question:
		prv.asking(now, from, msg)
	case Vote:
		if msg.Epoch == prv.head.Epoch {
			prv.vote(now, from, msg.Version, msg.Stamp)
		}
	case Answer:
		prv.answer(from, msg)
	case News:
		prv.want(msg.Head, from)
	case TallyQuestion:
		prv.tallyAsked(now, from, msg)
	case TallyAnswer:
		prv.tallyAnswered(now, from, msg)
	case HeadQuestion:
		if prv.lease.Held() != 0 {
			prv.send(from, News{Head: prv.head})
		}
	}
}

// asking answers a question. By itself the question is a vote without a date,
// since it may have been under way for long.
func (prv *Prover) asking(now clock.Instant, from string, que Question) {
	if que.Epoch == prv.head.Epoch {
		prv.vote(now, from, que.Version, clock.Instant{})
	}
	age, proved := prv.lease.Age(now)
	prv.send(from, Answer{
		Sequence: que.Sequence, Version: prv.lease.Held(), Proved: proved, Age: age, Stamp: now, Accepted: prv.accepted,
	})
	if que.Version < prv.lease.Held() {
		prv.send(from, News{Head: prv.head})
	}
	if que.Version > prv.lease.Held() {
		prv.send(from, HeadQuestion{})
	}
}

// vote records that a member held a version at the moment of a stamp, because
// it repeats the stamp only after it has received it.
func (prv *Prover) vote(now clock.Instant, from string, version uint64, stamp clock.Instant) {
	vot := vote{version: version, heard: now}
	if stamp != (clock.Instant{}) && !now.Before(stamp) {
		vot.moment, vot.dated = stamp, true
	}
	old := prv.votes[from]
	if old.dated && (!vot.dated || vot.moment.Before(old.moment)) {
		vot.moment, vot.dated = old.moment, true
	}
	vot.version = max(vot.version, old.version)
	prv.votes[from] = vot
	prv.checkAccepted()
}

// answer takes a watcher's proof, dated from when the question was sent.
func (prv *Prover) answer(from string, ans Answer) {
	sent, found := prv.answered(from, ans.Sequence)
	if !found {
		return
	}
	prv.send(from, Vote{Epoch: prv.head.Epoch, Version: prv.lease.Held(), Stamp: ans.Stamp})
	prv.accepted = max(prv.accepted, min(ans.Accepted, prv.lease.Held()))
	if ans.Proved {
		prv.lease = prv.lease.WithProof(Proof{Version: ans.Version, Moment: sent.Add(-ans.Age)})
	}
	if ans.Version > prv.lease.Held() {
		prv.send(from, HeadQuestion{})
	}
}
