package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
)

// TickInterval is how often the driver delivers Ticked.
const TickInterval = 50 * time.Millisecond

// maxNotedRows bounds the rows of a whole table that are noted one by one.
const maxNotedRows = 64

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
	Patience(service string) time.Duration
	Tick(now clock.Instant)
	Receive(now clock.Instant, from string, msg health.Message)
	Take() []health.Send
	Ejected(now clock.Instant, service string) []string
}

// Terms are the promises that the fleet is to keep.
type Terms struct {
	// RevokeTime is how long after its withdrawal a key may still work.
	RevokeTime time.Duration
	// RetryShare and RetryExtra bound the retries for a service in a
	// RetryWindow: a share of its requests, and a number beside it.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// FloorShare is the part of a service's targets that must stay in use.
	FloorShare float64
}

// Settings are the values that an operator may choose for a VM.
type Settings struct {
	// Name is the VM's name, which it keeps when its process starts anew.
	Name  string
	Self  member.VM
	Terms Terms
	// Threshold is the evidence at which targets are ejected.
	Threshold health.Threshold
}

// Machine is the decision logic of one VM. It is not safe for concurrent use.
type Machine struct {
	knowledge
	set      Settings
	rnd      *rand.Rand
	tokens   *quota.Client
	server   *quota.Server
	balancer balancer
	budgets  map[string]*request.Budget
	flights  map[request.ID]*flight
	stopping bool
	actions  []Action
}

// New returns the machine of a VM that knows nothing yet.
func New(set Settings, rnd *rand.Rand) *Machine {
	mac := &Machine{
		set: set,
		rnd: rnd,
		knowledge: knowledge{
			registry: registry.New(), fleet: fleet.New(set.Self, set.Name), follower: feed.New(set.Self, rnd),
			followers: make(map[string]*follower), heard: make(map[string]clock.Instant), pinged: make(map[string]clock.Instant),
		},
		balancer: health.NewPool(set.Self, set.Threshold, rnd),
		budgets:  make(map[string]*request.Budget),
		flights:  make(map[request.ID]*flight),
	}
	mac.tokens = quota.NewClient(mac.limit)
	return mac
}

// Step takes one event and returns the actions that follow from it.
func (mac *Machine) Step(now clock.Instant, evt Event) []Action {
	mac.actions = nil
	switch evt := evt.(type) {
	case Arrived:
		mac.arrived(now, evt.Request)
	case Answered:
		mac.answered(now, evt)
	case AttemptFailed:
		mac.attemptFailed(now, evt)
	case RelayEnded:
		mac.relayEnded(now, evt)
	case CallerLeft:
		mac.callerLeft(now, evt.Request)
	case Received:
		mac.received(now, evt)
	case PeerGone:
		mac.note("peerGone", "vm", evt.ID)
	case Ticked:
		mac.ticked(now)
	case StopBegan:
		mac.stop()
	default:
		mac.learned(now, evt)
	}
	mac.gather(now)
	return mac.actions
}

func (mac *Machine) do(act Action) { mac.actions = append(mac.actions, act) }

func (mac *Machine) note(event string, fields ...any) {
	mac.do(Note{Event: event, Fields: fields})
}

func (mac *Machine) received(now clock.Instant, evt Received) {
	if _, found := mac.heard[evt.From]; found {
		mac.heard[evt.From] = now
	}
	switch msg := evt.Message.(type) {
	case feed.Ask:
		mac.followed(now, evt.From, msg)
	case News:
		mac.told(now, evt.From, msg)
	case Ping:
		mac.do(Send{To: evt.From, Message: Pong{}})
	case quota.Ask:
		mac.serveTokens(now, evt.From, msg)
	case quota.Grant:
		mac.tokens.Granted(now, msg)
	case health.Message:
		mac.balancer.Receive(now, evt.From, msg)
	}
}

// serveTokens answers an ask if this VM holds the duty; otherwise the asking VM
// decides by itself.
func (mac *Machine) serveTokens(now clock.Instant, from string, ask quota.Ask) {
	if !mac.fleet.Acts(now) || mac.config == nil {
		return
	}
	if mac.server == nil {
		mac.note("serveTokens", "proofAge", now.Since(mac.fleet.Proven()))
		mac.server = quota.NewServer(now, mac.limit)
	}
	gra := mac.server.Answer(now, ask)
	if from == mac.set.Self.ID {
		mac.tokens.Granted(now, gra)
		return
	}
	mac.do(Send{To: from, Message: gra})
}

// limit returns the limit of an organisation; the zero limit is none.
func (mac *Machine) limit(organisation string) (rate.Limit, bool) {
	if mac.config == nil {
		return rate.Limit{}, false
	}
	org := mac.config.Snapshot.Organisation(organisation)
	if org == nil {
		return rate.Limit{}, false
	}
	if org.Limit.Rate <= 0 {
		return rate.Limit{}, true
	}
	return org.Limit, true
}

func (mac *Machine) ticked(now clock.Instant) {
	if mac.registry.Tick(now) {
		mac.note("targetsGone", "left", mac.registry.Len())
		mac.setServices(now)
	}
	if mac.server != nil && mac.fleet.Holder() != mac.set.Self.ID {
		mac.note("ceaseTokens", "holder", mac.fleet.Holder())
		mac.server = nil
	}
	mac.tokens.SetReach(quota.Reach{Server: mac.fleet.Holder(), Vacant: mac.fleet.Vacant(), VMs: mac.fleet.View().Size()})
	mac.follow(now)
	mac.enlist(now)
	mac.balancer.Tick(now)
	mac.tokens.Tick(now)
	mac.hurry(now)
}

// gather turns the outputs of the parts into actions until none is left.
func (mac *Machine) gather(now clock.Instant) {
	for _, out := range mac.balancer.Take() {
		mac.do(Send{To: out.To, Message: out.Message})
	}
	for outs := mac.tokens.Take(); len(outs) > 0; outs = mac.tokens.Take() {
		for _, out := range outs {
			switch out := out.(type) {
			case quota.Send:
				mac.sendTokens(now, out)
			case quota.Decided:
				mac.rateDecided(now, out)
			}
		}
	}
}

func (mac *Machine) sendTokens(now clock.Instant, snd quota.Send) {
	ask, isAsk := snd.Message.(quota.Ask)
	if isAsk && snd.To == mac.set.Self.ID {
		mac.serveTokens(now, snd.To, ask)
		return
	}
	mac.do(Send{To: snd.To, Message: snd.Message})
}

// setServices hands the targets of every service to the balancer.
func (mac *Machine) setServices(now clock.Instant) {
	if mac.config == nil {
		return
	}
	kept := make(map[string]bool)
	for _, svc := range mac.config.Snapshot.Services() {
		kept[svc.Name] = true
		tgs := mac.registry.Targets(svc.Name, svc.Connections)
		if mac.budgets[svc.Name] == nil {
			mac.budgets[svc.Name] = request.NewBudget(mac.retries())
		}
		mac.balancer.SetService(now, svc.Name, mac.floor(len(tgs)), tgs)
	}
	for name := range mac.budgets {
		if !kept[name] {
			delete(mac.budgets, name)
			mac.balancer.DropService(name)
		}
	}
}

// floor returns the least number of targets that ejection leaves in use.
func (mac *Machine) floor(targets int) int {
	cnt := int(mac.set.Terms.FloorShare * float64(targets))
	if float64(cnt) < mac.set.Terms.FloorShare*float64(targets) {
		cnt++
	}
	return min(max(cnt, 1), targets)
}

// retries returns this VM's part of the retries of the fleet.
func (mac *Machine) retries() request.Retries {
	own := mac.set.Terms.RetryExtra * extraPart / float64(max(mac.fleet.View().Size(), minFleet))
	return request.Retries{Share: mac.set.Terms.RetryShare * sharePart, Reserve: own, Max: max(own, 1)}
}

const (
	// extraPart and sharePart are the parts of the allowed retries that VMs
	// spend, since windows of the fleet's requests slide.
	extraPart = 0.8
	sharePart = 0.8
	// minFleet is taken for the number of VMs while fewer are known.
	minFleet = 8
)

func (mac *Machine) setRetries() {
	for _, bud := range mac.budgets {
		bud.SetRetries(mac.retries())
	}
}

// stop begins a planned stop: the duty is given up and the VM is delisted.
func (mac *Machine) stop() {
	mac.stopping = true
	if mac.fleet.Holder() == mac.set.Self.ID {
		mac.server = nil
		mac.do(Write{Name: fleet.DutyName, Row: fleet.Row{Holder: mac.set.Self.ID, Released: true}, Revision: mac.fleet.Object(fleet.DutyName)})
	}
	if listed, revision := mac.fleet.Listed(); listed {
		mac.do(Delete{Name: fleet.VMName(mac.set.Name), Revision: revision})
	}
}

// sweepable returns the VMs that this one takes off the list when they are
// silent: those of its failure domain, and the first of the next one.
func (mac *Machine) sweepable() []member.VM {
	vie := mac.fleet.View()
	own := mac.set.Self.FailureDomain
	out := vie.Domain(own)
	domains := vie.Domains()
	if len(domains) < 2 {
		return out
	}
	at, _ := slices.BinarySearch(domains, own)
	next := domains[(at+1)%len(domains)]
	return append(out, member.Ranked(vie.Domain(next), "feed/"+next, 1)...)
}

// Status is a summary of a VM for operators.
type Status struct {
	Version  uint64
	VMs      int
	Reading  bool
	Follows  string
	Holder   string
	Ages     Ages
	Flights  int
	Targets  int
	Ejected  []string
	Stopping bool
}

// Status returns the state of the VM at now.
func (mac *Machine) Status(now clock.Instant) Status {
	sta := Status{
		Version: mac.version(), VMs: mac.fleet.View().Size(), Reading: mac.reading, Follows: mac.follower.Followed(),
		Holder: mac.fleet.Holder(), Ages: mac.ages(now), Flights: len(mac.flights), Targets: mac.registry.Len(), Stopping: mac.stopping,
	}
	if mac.config != nil {
		for _, svc := range mac.config.Snapshot.Services() {
			sta.Ejected = append(sta.Ejected, mac.balancer.Ejected(now, svc.Name)...)
		}
	}
	return sta
}

// Ready reports whether the VM may be sent callers: it knows a configuration
// and the targets, and does not stop.
func (mac *Machine) Ready() bool {
	return !mac.stopping && mac.config != nil && mac.registry.Revision() > 0
}

// Stopping reports whether a planned stop has begun.
func (mac *Machine) Stopping() bool { return mac.stopping }

// Flights returns the number of requests that have not been answered to their
// end.
func (mac *Machine) Flights() int { return len(mac.flights) }

// Config returns the configuration in force, or nil.
func (mac *Machine) Config() *Config { return mac.config }

// View returns the VMs of the fleet.
func (mac *Machine) View() member.View { return mac.fleet.View() }

// SetTerms replaces the terms.
func (mac *Machine) SetTerms(trm Terms) {
	mac.set.Terms = trm
	mac.setRetries()
}
