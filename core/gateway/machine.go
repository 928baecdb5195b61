package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/warmup"
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
	// RewriteTime is how long after a restore of the store operators may take to write again what it has lost.
	RewriteTime time.Duration
	// RetryShare and RetryExtra limit the retries for a service within RetryWindow: a share of its
	// requests, plus a fixed number.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Quota is the policy for the rate limits of organisations.
	Quota quota.Policy
	// DrainTime is how long after an operator drained a failure domain requests may still be sent to its targets; 0 if
	// the platform knows no such drains.
	DrainTime time.Duration
	// Warmup is the policy for the rate of cold targets.
	Warmup warmup.Policy
}

// Settings are the identity of a VM and the policy that it keeps to.
type Settings struct {
	// Name is the VM's name, which stays the same when its process restarts, and Self its present
	// run.
	Name   string
	Self   member.VM
	Policy Policy
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
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
	book       *announcement.Book
	forgotAt   clock.Instant
	contents   contents
	drains     drains
	departures departures
	// paths is what this VM knows of its paths to the targets.
	paths *path.Book
	// portAskers holds the VMs that wait to hear whether this one reaches a run.
	portAskers map[health.Run][]string
	// queued holds the requests that arrived before this VM knew the configuration and the targets,
	// in order of arrival.
	queued []queued
	// wall is the time of day that was read at wallReadAt; zero if it is not known.
	wall       time.Time
	wallReadAt clock.Instant
	// startedAt is when the first event was delivered.
	startedAt clock.Instant
	stopping  bool
	// stopStartedAt is when the graceful stop began.
	stopStartedAt clock.Instant
	// stopDeadline is when StopDeadline is expected; zero if that is not known.
	stopDeadline clock.Instant
	// pastStopDeadline is set at the deadline of a stop; no request is sent to a target after that.
	pastStopDeadline bool
	// releases holds the last request to the store to release each object of the fleet that
	// belongs to this VM, by the name of the object. The VM sends them while it is stopping.
	releases map[string]release
	actions  []Action
	// placementCounts and tokenCounts count the decisions of this VM as a placer and as a token
	// server, by outcome.
	placementCounts, tokenCounts map[string]uint64
	// refusalCounts counts the requests for which this VM as a placer had no target, by priority.
	refusalCounts map[string]uint64
	// otherPartitions counts the requests for which a second partition was asked.
	otherPartitions uint64
}

// New returns the machine of a VM that does not know any object of the platform yet.
func New(set Settings, rnd *rand.Rand) *Machine {
	mac := &Machine{
		set: set,
		rnd: rnd,
		replica: replica{
			registry: registry.New(), fleet: fleet.New(set.Self, set.Name), selector: feed.New(set.Self, rnd),
			restores: restores{check: bootstrap.New(rnd)}, followers: make(map[string]*follower), lastHeard: make(map[string]clock.Instant), lastPinged: make(map[string]clock.Instant),
		},
		services:       make(map[string]*service),
		pendingQueries: make(map[uint64]request.ID),
		requests:       make(map[request.ID]*inFlight),
		book:           announcement.NewBook(),
		contents:       newContents(),
		drains:         newDrains(),
		paths:          path.NewBook(),
		portAskers:     make(map[health.Run][]string),
		releases:       make(map[string]release),

		placementCounts: make(map[string]uint64),
		refusalCounts:   make(map[string]uint64),
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
		mac.judgeClosedPorts(now) // After the response is passed on: what is ready is delivered.
	case AttemptFailed:
		mac.attemptFailed(now, evt)
	case Stalled:
		mac.doubt(now, evt.Service, evt.Target, evt.Doubt)
	case Probed:
		mac.probed(now, evt)
	case Forwarded:
		mac.forwarded(now, evt)
	case RelayEnded:
		mac.relayEnded(now, evt)
	case CallerLeft:
		mac.callerLeft(now, evt.Request)
	case Received:
		mac.received(now, evt)
	case PeerExited:
		mac.peerExited(now, evt)
	case Ticked:
		mac.wall, mac.wallReadAt = evt.Wall, now
		mac.tick(now)
	case StopBegan:
		mac.stop(now, evt.TimeLeft)
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
	case Departures:
		mac.departuresTold(now, evt.From, msg)
	case bootstrap.Newcomer:
		mac.restores.check.KnowsNoMore(evt.From)
	case Ping:
		mac.emit(Send{To: evt.From, Message: Pong{}})
	case PortQuery:
		mac.portQueried(evt.From, msg)
	case PortReply:
		mac.portReplied(now, msg)
	case PathsWarning:
		mac.warnedOfPaths(now, msg.Service)
	case drain.Report:
		mac.drainsTold(now, evt.From, msg)
	case quota.Query:
		mac.serveTokens(now, evt.From, msg)
	case quota.Grant:
		mac.tokens.HandleGrant(now, msg)
	case placement.Message:
		mac.placementReceived(now, evt.From, msg)
	case quarantine.Message:
		mac.quarantineReceived(now, evt.From, msg)
	}
}

func (mac *Machine) tick(now clock.Instant) {
	if mac.registry.Tick(now) {
		mac.log("targetsGone", "left", mac.registry.Len())
		mac.logDoubts()
		mac.setServices(now)
	}
	mac.updateTokenServers(now)
	mac.tokens.SetServerView(mac.tokenServerView())
	mac.tickDrains(now)
	mac.checkStore(now)
	mac.askForDepartures(now)
	mac.recordProof(now)
	mac.handleQueued(now)
	mac.follow(now)
	mac.maintainFleet(now)
	mac.tickContents(now)
	mac.tickPaths(now)
	mac.tickPlacement(now)
	mac.tickBudgetWaits(now)
	mac.tokens.Tick(now)
	mac.hedgeAndExpire(now)
	mac.forgetAnnouncements(now)
}

// setServices passes the targets of every configured service on to its placers.
func (mac *Machine) setServices(now clock.Instant) {
	if mac.config == nil {
		return
	}
	for _, run := range mac.book.Runs() {
		mac.inheritAnnounced(now, run)
	}
	kept := make(map[string]bool)
	all := mac.registry.Targets()
	for _, svc := range mac.config.Snapshot.Services() {
		kept[svc.Name] = true
		tgs := all[svc.Name]
		for num := range tgs {
			tgs[num] = mac.describe(tgs[num], svc)
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
// failure domain, and the first-ranked VM of the next failure domain.
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
	return append(out, member.Ranked(vie.Domain(next), feedKey(next), 1)...)
}

// feedKey is the key by which Selector.SetView of core/feed ranks the VMs of a failure domain.
func feedKey(domain string) string { return "feed/" + domain }

// Ready reports whether callers may be sent to the VM: it knows the configuration, the targets and the drained failure
// domains, may rely on them, and is not stopping.
func (mac *Machine) Ready() bool {
	return !mac.stopping && mac.config != nil && mac.registry.Revision() > 0 && mac.drainsKnown() && mac.reliesOnStore()
}

// Stopping reports whether a graceful stop has begun.
func (mac *Machine) Stopping() bool { return mac.stopping }

// InFlight returns the number of requests that have not been answered completely.
func (mac *Machine) InFlight() int { return len(mac.requests) }

// Config returns the configuration in force, or nil.
func (mac *Machine) Config() *Config { return mac.config }

// View returns the VMs of the fleet.
func (mac *Machine) View() member.View { return mac.fleet.View() }

// SetPolicy replaces the policy, except what it says of drains and cold targets. Existing retry budgets keep the limits
// that they were created with.
func (mac *Machine) SetPolicy(pol Policy) {
	pol.DrainTime, pol.Warmup = mac.set.Policy.DrainTime, mac.set.Policy.Warmup
	mac.set.Policy = pol
	mac.tokens.SetPolicy(pol.Quota)
}
