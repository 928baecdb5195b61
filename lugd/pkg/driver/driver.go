// Package driver runs the state machine of one VM (gateway.Machine): it delivers
// events to the machine and executes the actions that the machine returns.
package driver

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/peer"
)

// actionBuffer is the capacity of a request's channel of actions. One event yields at
// most three actions for a request, and only a few events can arrive before the
// receiver has read them.
const actionBuffer = 32

// transport sends messages to other VMs.
type transport interface {
	Send(to string, msg any)
}

// prober opens connections to targets.
type prober interface {
	// Probe opens a connection to an address, unless most or more of them are open. known is false if it
	// did not try.
	Probe(ctx context.Context, address string, most int) (reached, known bool)
}

// metrics counts the decisions of the VM and its calls to the platform.
type metrics interface {
	// Event counts a decision by the name of its log event.
	Event(name string)
	// PlatformCall counts a call by the kind of object, its name and its outcome.
	PlatformCall(kind, call, outcome string)
}

// Driver owns the state machine of one VM. It is safe for concurrent use.
type Driver struct {
	self        member.VM
	log         logrus.FieldLogger
	decisionLog decisionLog
	platform    Platform
	clock       *Clock
	metrics     metrics
	// transport is set before Run.
	transport transport
	// prober is set before Run.
	prober prober
	// ctx ends the background work that the machine's actions start.
	ctx  context.Context
	work sync.WaitGroup
	// stopReading ends the reading of the platform; nil while it is not read.
	stopReading context.CancelFunc

	// view is a copy of the machine's view that can be read without holding mut.
	view atomic.Pointer[member.View]

	mut     sync.Mutex
	mac     *gateway.Machine
	lastID  request.ID
	pending map[request.ID]pendingRequest
	// configRevision is the platform's revision as of the last read of the configuration;
	// 0 before the first one.
	configRevision uint64
}

// pendingRequest is a request that is between Begin and End.
type pendingRequest struct {
	label   string
	actions chan gateway.Action
	// held are log entries kept back until it is known whether the request succeeds.
	held []heldEntry
}

// New returns a driver whose machine has the given settings. It writes at most lines log
// lines per second on the machine's decisions; 0 means no limit. ctx ends Run and the
// background work that the machine's actions start.
func New(ctx context.Context, set gateway.Settings, pla Platform, clk *Clock, met metrics, log logrus.FieldLogger, lines int) *Driver {
	dri := &Driver{
		self: set.Self, log: log, decisionLog: decisionLog{log: log, limit: lines}, platform: pla, clock: clk, metrics: met, ctx: ctx,
		mac:     gateway.New(set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		pending: make(map[request.ID]pendingRequest),
	}
	dri.view.Store(&member.View{})
	return dri
}

// SetTransport sets the transport to the other VMs. It must be called before Run.
func (dri *Driver) SetTransport(trn transport) { dri.transport = trn }

// SetProber sets what opens connections to targets to learn whether they are reached. It must be called
// before Run.
func (dri *Driver) SetProber(prb prober) { dri.prober = prb }

// Run delivers a tick to the machine every gateway.TickInterval until the driver's
// context ends, and then waits for the background work.
func (dri *Driver) Run() {
	tck := time.NewTicker(gateway.TickInterval)
	defer tck.Stop()
	for {
		dri.Step(gateway.Ticked{Wall: time.Now()})
		select {
		case <-tck.C:
		case <-dri.ctx.Done():
			dri.mut.Lock() // A step in progress may still start work; later steps do not.
			dri.mut.Unlock()
			dri.work.Wait()
			return
		}
	}
}

// Step delivers one event.
func (dri *Driver) Step(evt gateway.Event) {
	dri.mut.Lock()
	defer dri.mut.Unlock()
	dri.step(evt)
}

// step delivers an event. The caller holds mut, so that actions are executed in the
// order in which the machine returns them.
func (dri *Driver) step(evt gateway.Event) {
	acts := dri.mac.Step(dri.clock.Now(), evt)
	if vie := dri.mac.View(); !vie.Same(*dri.view.Load()) {
		dri.view.Store(&vie)
	}
	for _, act := range acts {
		dri.execute(act)
	}
}

// execute carries out an action of the machine.
func (dri *Driver) execute(act gateway.Action) {
	switch act := act.(type) {
	case gateway.Dispatch:
		dri.deliver(act.Request, act)
	case gateway.CancelAttempt:
		dri.deliver(act.Request, act)
	case gateway.Relay:
		dri.deliver(act.Request, act)
	case gateway.Refuse:
		dri.deliver(act.Request, act)
	case gateway.Send:
		dri.transport.Send(act.To, act.Message)
	case gateway.LogEntry:
		dri.logDecision(act)
	case gateway.Probe:
		dri.probe(act)
	case gateway.SetReading:
		dri.setReading(act)
	case gateway.Write:
		dri.callPlatform("write", act.Name, func(ctx context.Context) error { return dri.platform.Write(ctx, act.Name, act.Row, act.Revision) })
	case gateway.Delete:
		dri.callPlatform("delete", act.Name, func(ctx context.Context) error { return dri.platform.Delete(ctx, act.Name, act.Revision) })
	}
}

// deliver passes an action to the receiver of its request. If the request has ended, the
// action is dropped.
func (dri *Driver) deliver(id request.ID, act gateway.Action) {
	if pen, found := dri.pending[id]; found {
		pen.actions <- act
	}
}

// Unread returns how many fields and words of the platform's objects could not be understood when this VM last read them.
func (dri *Driver) Unread() int { return dri.platform.Unread() }

// writeTimeout bounds a write or delete at the platform.
const writeTimeout = 2 * time.Second

// callPlatform runs call in the background, which writes or deletes the fleet object
// with the given name.
func (dri *Driver) callPlatform(operation, name string, call func(ctx context.Context) error) {
	if dri.ctx.Err() != nil {
		return
	}
	dri.work.Go(func() {
		ctx, cancel := context.WithTimeout(dri.ctx, writeTimeout)
		defer cancel()
		err := call(ctx)
		dri.metrics.PlatformCall(fleetKind, operation, outcomeOf(err))
		log := dri.log.WithField("object", name)
		if err != nil {
			log.WithError(err).Warn("cannot write or delete the object at the platform, or its answer was lost; the VM tries again while it runs and needs the change")
			return
		}
		log.Info("wrote or deleted the object at the platform; the VM acts on the change once it reads it")
	})
}

// probe opens a connection to a target in the background, and delivers the result.
func (dri *Driver) probe(act gateway.Probe) {
	if dri.ctx.Err() != nil || dri.prober == nil {
		return
	}
	dri.work.Go(func() {
		if reached, known := dri.prober.Probe(dri.ctx, act.Target.Address, act.Connections); known && dri.ctx.Err() == nil {
			dri.Step(gateway.Probed{Service: act.Service, Target: act.Target.ID, Reached: reached})
		}
	})
}

// logDecision counts a decision of the machine and passes it to the decision log.
func (dri *Driver) logDecision(ent gateway.LogEntry) {
	dri.metrics.Event(ent.Event)
	pen, found := dri.pending[ent.Request]
	pen.held = dri.decisionLog.record(ent, pen.label, pen.held)
	if found {
		dri.pending[ent.Request] = pen
	}
}

// Begin registers a request and returns its ID and the channel on which its
// actions arrive. End must be called once the request is done.
func (dri *Driver) Begin(req request.Request) (request.ID, <-chan gateway.Action) {
	dri.mut.Lock()
	defer dri.mut.Unlock()
	dri.lastID++
	req.ID = dri.lastID
	actions := make(chan gateway.Action, actionBuffer)
	dri.pending[req.ID] = pendingRequest{label: req.Label, actions: actions}
	dri.step(gateway.Arrived{Request: req})
	return req.ID, actions
}

// End unregisters a request; later actions for it are dropped.
func (dri *Driver) End(id request.ID) {
	dri.mut.Lock()
	defer dri.mut.Unlock()
	delete(dri.pending, id)
}

// WithMachine calls use with the machine and the present time. No event is delivered
// meanwhile.
func (dri *Driver) WithMachine(use func(mac *gateway.Machine, now clock.Instant)) {
	dri.mut.Lock()
	defer dri.mut.Unlock()
	use(dri.mac, dri.clock.Now())
}

// MaySend reports whether an attempt may still be sent to its target.
func (dri *Driver) MaySend(id request.ID, attempt int) (may bool) {
	dri.WithMachine(func(mac *gateway.Machine, now clock.Instant) { may = mac.MaySend(now, id, attempt) })
	return may
}

// MayForward decides whether a request of another VM is forwarded to its target.
func (dri *Driver) MayForward(fwd gateway.Forwarding) (tgt health.Target, connections int, rej *gateway.Rejection) {
	dri.WithMachine(func(mac *gateway.Machine, now clock.Instant) { tgt, connections, rej = mac.MayForward(now, fwd) })
	return tgt, connections, rej
}

// Now returns the time of the VM.
func (dri *Driver) Now() clock.Instant { return dri.clock.Now() }

// Status returns the state of the VM and whether it is ready.
func (dri *Driver) Status() (sta gateway.Status, ready bool) {
	dri.WithMachine(func(mac *gateway.Machine, now clock.Instant) {
		sta, ready = mac.Status(now), mac.Ready()
	})
	return sta, ready
}

// Received delivers a message from another VM to the machine.
func (dri *Driver) Received(from string, msg any) {
	dri.Step(gateway.Received{From: from, Message: msg})
}

// PeerExited tells the machine that the process of another VM has exited, and which one
// has replaced it.
func (dri *Driver) PeerExited(id string, successor member.VM) {
	dri.Step(gateway.PeerExited{ID: id, Successor: successor})
}

// State returns the state that this VM reports to other VMs.
func (dri *Driver) State() peer.State {
	sta, ready := dri.Status()
	return peer.State{
		VM: dri.self, Version: sta.Version, VMs: sta.VMs, Ready: ready, Reading: sta.Reading, Follows: sta.Follows,
		ConfigAge: sta.Ages.Config, Requests: sta.InFlight, Suspected: sta.Suspected, Era: sta.Era,
	}
}

// Address returns the peer address of a VM, if the VM is in the view.
func (dri *Driver) Address(id string) (string, bool) {
	vmm, found := dri.view.Load().VM(id)
	return vmm.Address, found
}
