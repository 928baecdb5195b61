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

const headInterval = 500 * time.Millisecond

// limiter divides the rates of organisations among VMs.
type limiter interface {
	Admit(now clock.Instant, organisation string) (time.Duration, bool)
}

// balancer chooses targets and learns how they fare.
type balancer interface {
	SetService(now clock.Instant, service string, floor int, tgs []health.Target)
	DropService(service string)
	Pick(now clock.Instant, service string, tried []string, avoid string) (health.Target, bool)
	Began(now clock.Instant, service, target string)
	Ended(now clock.Instant, rep health.Report)
	Tick(now clock.Instant)
	Ejected(now clock.Instant, service string) []string
}

// Settings are the values that an operator may choose for a VM.
type Settings struct {
	Self member.VM
	// LeaseDuration is the longest that a VM acts without proof that its head
	// is the newest.
	LeaseDuration time.Duration
}

// Machine is the decision logic of one VM. It is not safe for concurrent use.
type Machine struct {
	set      Settings
	lease    fence.Lease
	head     fence.Head
	snapshot *config.Snapshot
	view     member.View
	limiter  limiter
	balancer balancer
	budgets  map[string]*request.Budget
	flights  map[request.ID]*flight
	headRead clock.Instant
	reading  bool
	loading  uint64
	stopping bool
	actions  []Action
}

// New returns the machine of a VM that holds no head yet.
func New(set Settings, rnd *rand.Rand) *Machine {
	mac := &Machine{
		set:      set,
		lease:    fence.NewLease(set.LeaseDuration),
		balancer: health.NewSolo(rnd),
		budgets:  make(map[string]*request.Budget),
		flights:  make(map[request.ID]*flight),
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
	case HeadRead:
		mac.headWasRead(evt)
	case Loaded:
		mac.loaded(now, evt)
	case Ticked:
		mac.ticked(now)
	case StopBegan:
		mac.stopping = true
	}
	return mac.actions
}

func (mac *Machine) do(act Action) { mac.actions = append(mac.actions, act) }

func (mac *Machine) ticked(now clock.Instant) {
	mac.balancer.Tick(now)
	if !mac.reading && (mac.headRead == (clock.Instant{}) || now.Since(mac.headRead) >= headInterval) {
		mac.reading = true
		mac.headRead = now
		mac.do(ReadHead{})
	}
}

func (mac *Machine) headWasRead(evt HeadRead) {
	mac.reading = false
	if evt.Failed {
		mac.loading = 0
		return
	}
	mac.lease = mac.lease.WithProof(fence.Proof{Version: evt.Head.Version, Moment: evt.Asked})
	if evt.Head.Version > mac.lease.Held() && evt.Head.Version > mac.loading {
		mac.loading = evt.Head.Version
		mac.do(Load{Head: evt.Head})
	}
}

func (mac *Machine) loaded(now clock.Instant, evt Loaded) {
	if evt.Head.Version <= mac.lease.Held() {
		return
	}
	mac.head = evt.Head
	mac.snapshot = evt.Snapshot
	mac.view = evt.View
	mac.lease = mac.lease.WithHead(evt.Head.Version)
	if mac.limiter == nil {
		mac.limiter = rate.NewStatic(evt.View.Size(), mac.limit)
	}
	mac.setServices(now)
}

func (mac *Machine) limit(organisation string) (rate.Limit, bool) {
	org := mac.snapshot.Organisation(organisation)
	if org == nil {
		return rate.Limit{}, false
	}
	return org.Limit, true
}

func (mac *Machine) setServices(now clock.Instant) {
	kept := make(map[string]bool)
	for _, svc := range mac.snapshot.Services() {
		kept[svc.Name] = true
		if mac.budgets[svc.Name] == nil {
			mac.budgets[svc.Name] = request.NewBudget()
		}
		mac.balancer.SetService(now, svc.Name, svc.Floor(), healthTargets(svc))
	}
	for name := range mac.budgets {
		if !kept[name] {
			delete(mac.budgets, name)
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
	Flights  int
	Ejected  []string
}

// Status returns the state of the VM at now.
func (mac *Machine) Status(now clock.Instant) Status {
	age, _ := mac.lease.Age(now)
	sta := Status{
		Version:  mac.lease.Held(),
		Release:  mac.head.Release,
		Epoch:    mac.view.Epoch(),
		Members:  mac.view.Size(),
		Active:   mac.lease.Active(now),
		ProofAge: age,
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
	return !mac.stopping && mac.lease.Active(now)
}

// Head returns the head that the VM holds.
func (mac *Machine) Head() fence.Head { return mac.head }

// Snapshot returns the configuration that the VM holds, or nil.
func (mac *Machine) Snapshot() *config.Snapshot { return mac.snapshot }

// View returns the view that the VM holds.
func (mac *Machine) View() member.View { return mac.view }
