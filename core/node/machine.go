package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/request"
)

// TickInterval is how often the driver delivers Ticked.
const TickInterval = 50 * time.Millisecond

const (
	listInterval = 10 * time.Second
	// patienceForLoad is how long a load may take before another may start.
	patienceForLoad = 10 * time.Second
)

// balancer chooses targets and learns how they fare.
type balancer interface {
	SetView(vie member.View)
	SetService(now clock.Instant, service string, floor int, tgs []health.Target)
	DropService(service string)
	Pick(now clock.Instant, wis health.Wish) (health.Target, bool)
	Began(now clock.Instant, service, target string) health.Ticket
	Answered(now clock.Instant, tic health.Ticket, outcome health.Outcome)
	Ended(now clock.Instant, tic health.Ticket, outcome health.Outcome)
	Leaving(now clock.Instant, service, target string)
	Tick(now clock.Instant)
	Receive(now clock.Instant, from string, msg health.Message)
	Take() []health.Send
	Ejected(now clock.Instant, service string) []string
	Blind(now clock.Instant) bool
}

// Settings are the values that an operator may choose for a VM.
type Settings struct {
	Self member.VM
	// LeaseDuration is the longest that a VM acts without proof that its head
	// is the newest.
	LeaseDuration time.Duration
	// TrustReads states that the platform's reads never lag, so that they are
	// proofs.
	TrustReads bool
	// Threshold is the evidence at which targets are ejected.
	Threshold health.Threshold
	// Alone makes the VM judge targets by its own traffic only.
	Alone bool
	// StaticFleet, if above 0, divides limits evenly among that many VMs.
	StaticFleet int
}

// limiter decides on requests by the rates of organisations.
type limiter interface {
	Admit(now clock.Instant, organisation string, request uint64) (dec rate.Decided, decided bool)
}

// Machine is the decision logic of one VM. It is not safe for concurrent use.
type Machine struct {
	set      Settings
	rnd      *rand.Rand
	prover   *fence.Prover
	ledger   *rate.Ledger
	limiter  limiter
	roster   *member.Roster
	balancer balancer
	snapshot *config.Snapshot
	view     member.View
	prior    member.View
	gates    map[string]*gate
	flights  map[request.ID]*flight
	gone     map[string]bool
	listed   map[string]bool
	listedAt clock.Instant
	loading  loading
	stopping bool
	actions  []Action
}

// loading is the load of a head that is under way.
type loading struct {
	version uint64
	since   clock.Instant
}

// New returns the machine of a VM that holds no head yet.
func New(set Settings, rnd *rand.Rand) *Machine {
	mac := &Machine{
		set:      set,
		rnd:      rnd,
		prover:   fence.NewProver(set.Self, set.LeaseDuration, set.TrustReads),
		roster:   member.NewRoster(set.Self),
		balancer: health.NewPool(set.Self, set.Threshold, rnd),
		gates:    make(map[string]*gate),
		flights:  make(map[request.ID]*flight),
		gone:     make(map[string]bool),
	}
	if set.Alone {
		mac.balancer = health.NewSolo(rnd)
	}
	mac.ledger = rate.NewLedger(set.Self.ID, set.LeaseDuration, mac.allowance)
	mac.limiter = mac.ledger
	if set.StaticFleet > 0 {
		mac.limiter = rate.NewStatic(set.StaticFleet, mac.allowance)
	}
	return mac
}

// Step takes one event and returns the actions that follow from it.
func (mac *Machine) Step(now clock.Instant, evt Event) []Action {
	mac.actions = nil
	switch evt := evt.(type) {
	case Arrived:
		mac.arrived(now, evt.Request)
	case AnswerBegan:
		mac.answerBegan(now, evt)
	case AttemptEnded:
		mac.attemptEnded(now, evt)
	case CallerLeft:
		mac.callerLeft(now, evt.Request)
	case Received:
		mac.received(now, evt)
	case Ticked:
		mac.ticked(now)
	case StopBegan:
		mac.stopping = true
		mac.ledger.Stop()
	default:
		mac.learned(now, evt)
	}
	mac.gather(now)
	return mac.actions
}

// learned takes what the platform and the peers' addresses reveal.
func (mac *Machine) learned(now clock.Instant, evt Event) {
	switch evt := evt.(type) {
	case HeadRead:
		mac.headWasRead(now, evt)
	case Loaded:
		mac.loaded(now, evt)
	case LoadFailed:
		mac.loading = loading{}
	case PeerGone:
		mac.gone[evt.ID] = true
		mac.prover.Gone(evt.ID)
	case VMsListed:
		mac.listed = evt.Addresses
	case ViewCommitted:
		mac.roster.Committed()
	}
}

func (mac *Machine) do(act Action) { mac.actions = append(mac.actions, act) }

func (mac *Machine) received(now clock.Instant, evt Received) {
	if _, member := mac.view.VM(evt.From); member {
		mac.roster.Heard(now)
	}
	switch msg := evt.Message.(type) {
	case fence.Message:
		mac.prover.Receive(now, evt.From, msg)
	case rate.Message:
		mac.ledger.Receive(now, evt.From, msg)
	case health.Message:
		mac.balancer.Receive(now, evt.From, msg)
	case member.Message:
		if lea, leaves := msg.(member.Leave); leaves {
			// A VM that leaves has stopped acting before it says so.
			mac.prover.Gone(lea.ID)
		}
		mac.roster.Receive(now, evt.From, msg)
	}
}

func (mac *Machine) ticked(now clock.Instant) {
	mac.balancer.Tick(now)
	mac.expire(now)
	mac.prover.Tick(now)
	mac.ledger.Tick(now)
	mac.roster.Tick(now, mac.knowledge(now))
	if mac.prover.Watcher() && (mac.listedAt == (clock.Instant{}) || now.Since(mac.listedAt) >= listInterval) {
		mac.listedAt = now
		mac.do(ListVMs{})
	}
}

func (mac *Machine) knowledge(now clock.Instant) member.Knowledge {
	kno := member.Knowledge{
		View:     mac.view,
		Settled:  mac.prover.Accepted() >= mac.prover.Head().Epoch,
		Watchers: mac.prover.Watchers(),
		Listed:   mac.listed,
		Gone:     func(id string) bool { return mac.gone[id] },
	}
	if mac.prover.Watcher() {
		kno.Silent, kno.SilentDomains = mac.prover.Silent(now)
	}
	return kno
}

// gather turns the outputs of the parts into actions until none is left.
func (mac *Machine) gather(now clock.Instant) {
	for _, out := range mac.prover.Take() {
		switch out := out.(type) {
		case fence.Send:
			mac.do(Send{To: out.To, Message: out.Message})
		case fence.ReadPlatform:
			mac.do(ReadHead{})
		case fence.Want:
			mac.load(now, out)
		}
	}
	for _, out := range mac.balancer.Take() {
		mac.do(Send{To: out.To, Message: out.Message})
	}
	for _, out := range mac.roster.Take() {
		switch out := out.(type) {
		case member.Send:
			mac.do(Send{To: out.To, Message: out.Message})
		case member.Change:
			mac.do(CommitView{Change: out})
		}
	}
	for _, out := range mac.ledger.Take() {
		switch out := out.(type) {
		case rate.Send:
			mac.do(Send{To: out.To, Message: out.Message})
		case rate.Decided:
			mac.rateDecided(now, out)
		}
	}
}

func (mac *Machine) load(now clock.Instant, wan fence.Want) {
	busy := mac.loading.version != 0 && now.Since(mac.loading.since) < patienceForLoad
	if busy || wan.Head.Version <= mac.prover.Lease().Held() {
		return
	}
	mac.loading = loading{version: wan.Head.Version, since: now}
	mac.do(Load{Head: wan.Head, From: wan.From})
}

func (mac *Machine) headWasRead(now clock.Instant, evt HeadRead) {
	switch {
	case evt.Failed:
		mac.prover.PlatformFailed(mac.rnd.Float64())
		if mac.prover.Lease().Held() == 0 {
			mac.do(AskPeers{})
		}
	case evt.Head.Version == 0:
		mac.prover.PlatformFailed(mac.rnd.Float64())
		if mac.prover.Lease().Held() == 0 {
			mac.do(CommitView{Change: member.Change{Added: []member.VM{mac.set.Self}}})
		}
	default:
		mac.prover.PlatformRead(now, evt.Asked, evt.Head)
	}
}

func (mac *Machine) loaded(now clock.Instant, evt Loaded) {
	mac.loading = loading{}
	if evt.Head.Version <= mac.prover.Lease().Held() {
		return
	}
	mac.snapshot = evt.Snapshot
	mac.view, mac.prior = evt.View, evt.Prior
	mac.prover.Hold(now, evt.Head, evt.View, evt.Prior)
	mac.ledger.Adopt(now, rate.Fleet{Version: evt.Head.Version, View: evt.View, LimitsVersion: evt.Head.LimitsVersion})
	mac.balancer.SetView(evt.View)
	mac.setServices(now)
}

func (mac *Machine) allowance(organisation string) (rate.Allowance, bool) {
	if mac.snapshot == nil {
		return rate.Allowance{}, false
	}
	org := mac.snapshot.Organisation(organisation)
	if org == nil {
		return rate.Allowance{}, false
	}
	return org.Allowance(), true
}

func (mac *Machine) setServices(now clock.Instant) {
	kept := make(map[string]bool)
	for _, svc := range mac.snapshot.Services() {
		kept[svc.Name] = true
		if mac.gates[svc.Name] == nil {
			mac.gates[svc.Name] = newGate()
		}
		mac.balancer.SetService(now, svc.Name, svc.Floor(), healthTargets(svc))
	}
	for name := range mac.gates {
		if !kept[name] {
			delete(mac.gates, name)
			mac.balancer.DropService(name)
		}
	}
}

func healthTargets(svc *config.Service) []health.Target {
	tgs := make([]health.Target, 0, len(svc.Targets))
	for _, tgt := range svc.Targets {
		tgs = append(tgs, health.Target{
			ID:            svc.Name + "/" + tgt.Name,
			Address:       tgt.Address,
			FailureDomain: tgt.FailureDomain,
			Slots:         tgt.Slots,
			Connections:   tgt.Connections,
		})
	}
	return tgs
}

// Status is a summary of a VM for operators.
type Status struct {
	Version  uint64
	Release  string
	Epoch    uint64
	Members  int
	Active   bool
	ProofAge time.Duration
	Accepted uint64
	Watcher  bool
	Flights  int
	Ejected  []string
}

// Status returns the state of the VM at now.
func (mac *Machine) Status(now clock.Instant) Status {
	age, _ := mac.prover.Lease().Age(now)
	sta := Status{
		Version:  mac.prover.Lease().Held(),
		Release:  mac.prover.Head().Release,
		Epoch:    mac.view.Epoch(),
		Members:  mac.view.Size(),
		Active:   mac.prover.Lease().Active(now),
		ProofAge: age,
		Accepted: mac.prover.Accepted(),
		Watcher:  mac.prover.Watcher(),
		Flights:  len(mac.flights),
	}
	if mac.snapshot != nil {
		for _, svc := range mac.snapshot.Services() {
			sta.Ejected = append(sta.Ejected, mac.balancer.Ejected(now, svc.Name)...)
		}
	}
	slices.Sort(sta.Ejected)
	return sta
}

// Ready reports whether the VM may be sent requests.
func (mac *Machine) Ready(now clock.Instant) bool {
	return !mac.stopping && mac.prover.Lease().Active(now) && !mac.balancer.Blind(now)
}

// Ejected lists the targets of a service that the VM does not use.
func (mac *Machine) Ejected(now clock.Instant, service string) []string {
	return mac.balancer.Ejected(now, service)
}

// Head returns the head that the VM holds.
func (mac *Machine) Head() fence.Head { return mac.prover.Head() }

// Prior returns the view before the one that the VM holds.
func (mac *Machine) Prior() member.View { return mac.prior }

// Spread returns how far the head has come, as a watcher knows.
func (mac *Machine) Spread() fence.Spread { return mac.prover.Spread() }

// Watchers returns the watchers of every failure domain.
func (mac *Machine) Watchers() []member.VM { return mac.prover.Watchers() }

// Drained reports whether the VM holds nothing that others could use and is no
// longer listed in the view.
func (mac *Machine) Drained() bool {
	if _, listed := mac.view.VM(mac.set.Self.ID); listed {
		return mac.view.Size() == 1 // No one is left to hand anything to.
	}
	return !mac.ledger.Holds()
}

// Leave makes the VM ask to be dropped from the view.
func (mac *Machine) Leave() { mac.roster.Leave() }

// Snapshot returns the configuration that the VM holds, or nil.
func (mac *Machine) Snapshot() *config.Snapshot { return mac.snapshot }

// View returns the view that the VM holds.
func (mac *Machine) View() member.View { return mac.view }
