package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
)

// TickInterval is how often the driver delivers Ticked.
const TickInterval = 50 * time.Millisecond

// maxLoggedRows is the largest number of rows of a full table that are logged one by one; the rows
// of larger full tables are not logged.
const maxLoggedRows = 64

// Policy holds the limits that the fleet must keep to.
type Policy struct {
	// RevokeTime is how long a key may still work after its withdrawal.
	RevokeTime time.Duration
	// RetryShare and RetryExtra limit the retries for a service within RetryWindow: a share of its
	// requests, plus a fixed number.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Quota is the policy for the rate limits of organisations.
	Quota quota.Policy
}

// Settings are the identity of a VM and the policy that it keeps to.
type Settings struct {
	// Name is the VM's name, which stays the same when its process restarts, and Self its present
	// run.
	Name   string
	Self   member.VM
	Policy Policy
}

// Machine is the decision logic of one VM. It is not safe for concurrent use.
type Machine struct {
	replica
	set    Settings
	rnd    *rand.Rand
	tokens *quota.Client
	// tokenServers holds the token servers that this VM runs, by their numbers; nil for those that
	// it does not run.
	tokenServers [fleet.TokenServerCount]*quota.Server
	services     map[string]*service
	// number is that of the last placement query, and pendingQueries holds the requests of the
	// queries that are not answered yet.
	number         uint64
	pendingQueries map[uint64]request.ID
	requests       map[request.ID]*inFlight
	// book is what this VM knows of the announcements of targets, and forgotAt when old ones were last
	// dropped.
	book     *announcement.Book
	forgotAt clock.Instant
	// queued holds the requests that arrived before this VM knew the configuration and the targets,
	// in order of arrival.
	queued []queued
	// startedAt is when the first event was delivered.
	startedAt clock.Instant
	stopping  bool
	// stopStartedAt is when the graceful stop began.
	stopStartedAt clock.Instant
	// pastStopDeadline is set at the deadline of a stop; no request is sent to a target after that.
	pastStopDeadline bool
	// releases holds the last request to the store to release each object of the fleet that
	// belongs to this VM, by the name of the object. The VM sends them while it is stopping.
	releases map[string]release
	actions  []Action
	// placementCounts and tokenCounts count the decisions of this VM as a placer and as a token
	// server, by outcome.
	placementCounts, tokenCounts map[string]uint64
}

// New returns the machine of a VM that does not know any object of the platform yet.
func New(set Settings, rnd *rand.Rand) *Machine {
	mac := &Machine{
		set: set,
		rnd: rnd,
		replica: replica{
			registry: registry.New(), fleet: fleet.New(set.Self, set.Name), selector: feed.New(set.Self, rnd),
			followers: make(map[string]*follower), lastHeard: make(map[string]clock.Instant), lastPinged: make(map[string]clock.Instant),
		},
		services:       make(map[string]*service),
		pendingQueries: make(map[uint64]request.ID),
		requests:       make(map[request.ID]*inFlight),
		book:           announcement.NewBook(),
		releases:       make(map[string]release),

		placementCounts: make(map[string]uint64),
		tokenCounts:     make(map[string]uint64),
	}
	mac.tokens = quota.NewClient(rnd, set.Policy.Quota, mac.limit)
	return mac
}

// Step handles one event and returns the actions that follow from it.
func (mac *Machine) Step(now clock.Instant, evt Event) []Action {
	mac.actions = nil
	if mac.startedAt == (clock.Instant{}) {
		mac.startedAt = now
	}
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
	case PeerExited:
		mac.peerExited(now, evt)
	case Ticked:
		mac.tick(now)
	case StopBegan:
		mac.stop(now)
	case StopDeadline:
		mac.refuseAll(now)
	default:
		mac.platformRead(now, evt)
	}
	mac.drainTokenOutputs(now)
	return mac.actions
}

func (mac *Machine) emit(act Action) { mac.actions = append(mac.actions, act) }

func (mac *Machine) log(event string, fields ...any) {
	mac.emit(LogEntry{Event: event, Fields: fields})
}

func (mac *Machine) received(now clock.Instant, evt Received) {
	if _, found := mac.lastHeard[evt.From]; found {
		mac.lastHeard[evt.From] = now
	}
	switch msg := evt.Message.(type) {
	case feed.Query:
		mac.followerQueried(now, evt.From, msg)
	case Update:
		mac.updateReceived(now, evt.From, msg)
	case Ping:
		mac.emit(Send{To: evt.From, Message: Pong{}})
	case quota.Query:
		mac.serveTokens(now, evt.From, msg)
	case quota.Grant:
		mac.tokens.HandleGrant(now, msg)
	case placement.Message:
		mac.placementReceived(now, evt.From, msg)
	}
}

// serveTokens answers a query for tokens.
func (mac *Machine) serveTokens(now clock.Instant, from string, qry quota.Query) {
	gra := mac.grant(now, qry)
	if from == mac.set.Self.ID {
		mac.tokens.HandleGrant(now, gra)
		return
	}
	mac.emit(Send{To: from, Message: gra})
}

// grant decides on a query for tokens. The grant says NotServing if this VM does not run the token
// server that is queried.
func (mac *Machine) grant(now clock.Instant, qry quota.Query) quota.Grant {
	if qry.Server < 0 || qry.Server >= fleet.TokenServerCount || mac.tokenServers[qry.Server] == nil || !mac.fleet.MayServe(now, qry.Server) {
		return quota.Grant{Organisation: qry.Organisation, Number: qry.Number, NotServing: true}
	}
	gra := mac.tokenServers[qry.Server].Answer(now, qry)
	mac.tokenCounts["granted"] += uint64(gra.Count)
	if short := qry.Need - gra.Count; short > 0 {
		mac.tokenCounts["refused"] += uint64(short)
	}
	return gra
}

// tokenServerView returns which token servers can be queried.
func (mac *Machine) tokenServerView() quota.ServerView {
	sev := quota.ServerView{Servers: mac.fleet.Holders(), Vacant: mac.fleet.Vacant(), VMs: mac.fleet.View().Size()}
	for num, id := range sev.Servers {
		if mac.stopping && id == mac.set.Self.ID || mac.fleet.HasExited(id) {
			sev.Servers[num] = "" // The listed holder is stopping or has exited.
		}
		if vmm, _ := mac.fleet.View().VM(id); vmm.FailureDomain == mac.set.Self.FailureDomain {
			sev.Preferred = num
		}
	}
	return sev
}

// updateTokenServers starts or stops token servers according to the list of VMs.
func (mac *Machine) updateTokenServers(now clock.Instant) {
	for num := range mac.tokenServers {
		switch srv := mac.tokenServers[num]; {
		case srv != nil && mac.fleet.Holder(num) != mac.set.Self.ID:
			mac.log("ceaseTokens", "part", num, "holder", mac.fleet.Holder(num))
			mac.tokenServers[num] = nil
		case srv == nil && mac.config != nil && !mac.stopping && mac.fleet.MayServe(now, num):
			mac.log("serveTokens", "part", num, "proofAge", now.Since(mac.fleet.ConfirmedAt()))
			mac.tokenServers[num] = quota.NewServer(now, mac.set.Policy.Quota, fleet.TokenServerCount, mac.fleet.InheritedBusy(num), mac.limit)
		case srv != nil:
			mac.publishBusy(now, num)
		}
	}
}

// publishBusy writes the busy organisations of a token server that this VM runs to the store.
func (mac *Machine) publishBusy(now clock.Instant, num int) {
	srv := mac.tokenServers[num]
	srv.SetStored(mac.fleet.Busy(num))
	bus, due := srv.Desired(now)
	if !due || !mac.fleet.MayServe(now, num) {
		return
	}
	name := fleet.TokenServerName(num)
	mac.log("busyOrganisations", "part", num, "all", bus.All, "names", bus.Names)
	mac.emit(Write{Name: name, Row: fleet.Row{Holder: mac.set.Self.ID, Busy: bus}, Revision: mac.fleet.ObjectRevision(name)})
}

// limit returns the rate limit of an organisation, the zero limit if it has none, and whether the
// organisation is known.
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

func (mac *Machine) tick(now clock.Instant) {
	if mac.registry.Tick(now) {
		mac.log("targetsGone", "left", mac.registry.Len())
		mac.setServices(now)
	}
	mac.updateTokenServers(now)
	mac.tokens.SetServerView(mac.tokenServerView())
	mac.handleQueued(now)
	mac.follow(now)
	mac.maintainFleet(now)
	mac.tickPlacement(now)
	mac.tokens.Tick(now)
	mac.hedgeAndExpire(now)
	mac.forgetAnnouncements(now)
}

// drainTokenOutputs handles the outputs of the token client until none is left.
func (mac *Machine) drainTokenOutputs(now clock.Instant) {
	for outs := mac.tokens.TakeOutputs(); len(outs) > 0; outs = mac.tokens.TakeOutputs() {
		for _, out := range outs {
			switch out := out.(type) {
			case quota.Send:
				mac.sendTokenQuery(now, out)
			case quota.Decision:
				mac.rateLimitDecided(now, out)
			}
		}
	}
}

func (mac *Machine) sendTokenQuery(now clock.Instant, snd quota.Send) {
	if snd.To == mac.set.Self.ID {
		mac.serveTokens(now, snd.To, snd.Query)
		return
	}
	mac.emit(Send{To: snd.To, Message: snd.Query})
}

// setServices passes the targets of every configured service on to its placers.
func (mac *Machine) setServices(now clock.Instant) {
	if mac.config == nil {
		return
	}
	kept := make(map[string]bool)
	all := mac.registry.Targets()
	for _, svc := range mac.config.Snapshot.Services() {
		kept[svc.Name] = true
		tgs := all[svc.Name]
		for num := range tgs {
			tgs[num].Connections = svc.Connections
		}
		mac.setService(now, svc.Name, tgs)
	}
	for name := range mac.services {
		if !kept[name] {
			delete(mac.services, name)
		}
	}
}

// monitored returns the VMs that this one takes off the list when they do not respond: those of its
// failure domain, and the first-ranked VM of the next failure domain. The key by which that VM is
// ranked is the one in Selector.SetView of core/feed.
func (mac *Machine) monitored() []member.VM {
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
	Version uint64
	VMs     int
	// Reading is set if the VM reads the platform, and Follows is the ID of the VM that it follows,
	// or empty.
	Reading bool
	Follows string
	// Holders lists the IDs of the holders of the token servers, by number.
	Holders  []string
	Ages     Ages
	InFlight int
	Targets  int
	// Suspected lists the targets that this VM, as a placer, suspects to be failing.
	Suspected []string
	Stopping  bool
	// Followers is the number of VMs that follow this one.
	Followers int
	// Placements counts the answers of this VM as a placer, and Tokens the requests that it decided
	// on as a token server, both by outcome.
	Placements, Tokens map[string]uint64
}

// Status returns the state of the VM at now.
func (mac *Machine) Status(now clock.Instant) Status {
	sta := Status{
		Version: mac.version(), VMs: mac.fleet.View().Size(), Reading: mac.reading != nil && mac.reading.On, Follows: mac.selector.Followed(),
		Holders: mac.fleet.Holders(), Ages: mac.ages(now), InFlight: len(mac.requests), Targets: mac.registry.Len(), Stopping: mac.stopping,
		Followers: len(mac.followers), Placements: maps.Clone(mac.placementCounts), Tokens: maps.Clone(mac.tokenCounts),
	}
	for _, svc := range mac.services {
		for _, par := range svc.partitions {
			if par.central != nil {
				sta.Suspected = append(sta.Suspected, par.central.Suspected(now)...)
			}
		}
	}
	slices.Sort(sta.Suspected)
	return sta
}

// TargetStatus is what a VM knows about a target.
type TargetStatus struct {
	ID, Service, Address, FailureDomain string
	// Leaving is set once the target wants no new requests, by its registration or by its responses.
	Leaving bool
	// Limit is the limit that the target announces, as far as this VM knows, and Paused for how long it
	// wants no request from this VM.
	Limit  announcement.Limit
	Paused time.Duration
	// Placer is the VM that places the requests to the target, and Sick the estimated probability
	// that the target is failing, as far as this VM knows.
	Placer string
	Sick   float64
}

// Targets returns the registered targets, sorted by ID.
func (mac *Machine) Targets(now clock.Instant) []TargetStatus {
	var out []TargetStatus
	for _, row := range mac.registry.Rows() {
		ent := row.Value
		run := announcement.Run{Target: row.Name, Born: ent.Born.UnixMilli()}
		tgt := TargetStatus{
			ID: row.Name, Service: ent.Service, Address: ent.Address, FailureDomain: ent.FailureDomain, Leaving: ent.Leaving || mac.book.Leaving(run),
			Limit: mac.book.Limit(run), Paused: mac.book.Paused(now, run),
		}
		if svc := mac.services[ent.Service]; svc != nil {
			par := svc.partitions[partitionOf(row.Name, len(svc.partitions))]
			tgt.Placer, tgt.Sick = par.placer, par.local.Sick(now, row.Name)
			if par.central != nil {
				tgt.Sick = par.central.Sick(now, row.Name)
			}
		}
		out = append(out, tgt)
	}
	return out
}

// Ready reports whether callers may be sent to the VM: it knows the configuration and the targets,
// and is not stopping.
func (mac *Machine) Ready() bool {
	return !mac.stopping && mac.config != nil && mac.registry.Revision() > 0
}

// Stopping reports whether a graceful stop has begun.
func (mac *Machine) Stopping() bool { return mac.stopping }

// InFlight returns the number of requests that have not been answered completely.
func (mac *Machine) InFlight() int { return len(mac.requests) }

// Config returns the configuration in force, or nil.
func (mac *Machine) Config() *Config { return mac.config }

// View returns the VMs of the fleet.
func (mac *Machine) View() member.View { return mac.fleet.View() }

// SetPolicy replaces the policy. Existing retry budgets keep the limits that they were created
// with.
func (mac *Machine) SetPolicy(pol Policy) {
	mac.set.Policy = pol
	mac.tokens.SetPolicy(pol.Quota)
}
