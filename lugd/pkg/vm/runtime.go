// Package vm runs the decision machine of one VM: it delivers events to the
// machine and carries out its actions.
package vm

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/peer"
	"marigoldlug.example/lugd/pkg/platform"
	"marigoldlug.example/lugd/pkg/release"
)

// actionBuffer holds the actions of one request; an attempt yields one action
// at a time.
const actionBuffer = 4

// Runtime owns the machine of one VM. It is safe for concurrent use.
type Runtime struct {
	self      member.VM
	log       logrus.FieldLogger
	client    *platform.Client
	committer *release.Committer
	start     time.Time
	// transport is set before Run.
	transport *peer.Transport
	// peers lists addresses of VMs to ask while the platform is away.
	peers []string
	// ctx ends the work that the machine asks for.
	ctx  context.Context
	work sync.WaitGroup
	book addressBook

	// loading is held while a head is loaded.
	loading sync.Mutex
	loader  *release.Loader
	// loaded is set once a head has been loaded.
	loaded bool

	mut   sync.Mutex
	mac   *node.Machine
	next  request.ID
	waits map[request.ID]chan node.Action
}

// New returns a runtime whose machine has the given settings. ctx ends the work
// that the machine asks for.
func New(ctx context.Context, set node.Settings, cli *platform.Client, com *release.Committer, log logrus.FieldLogger) *Runtime {
	return &Runtime{
		self:      set.Self,
		log:       log,
		client:    cli,
		committer: com,
		start:     time.Now(),
		ctx:       ctx,
		loader:    release.NewLoader(),
		mac:       node.New(set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waits:     make(map[request.ID]chan node.Action),
	}
}

// SetTransport sets the transport to the other VMs, and the addresses of those
// to ask while the platform is away, before Run.
func (rtm *Runtime) SetTransport(trn *peer.Transport, peers []string) {
	rtm.transport = trn
	rtm.peers = peers
}

// State returns what the VM says of itself.
func (rtm *Runtime) State() peer.State {
	sta, ready := rtm.Status()
	return peer.State{
		VM: rtm.self, Version: sta.Version, Release: sta.Release, Epoch: sta.Epoch, Members: sta.Members,
		Accepted: sta.Accepted, Ready: ready, Active: sta.Active, ProofAge: sta.ProofAge, Requests: sta.Flights, Ejected: sta.Ejected,
	}
}

// Now reads both clocks of the VM.
func (rtm *Runtime) Now() clock.Instant {
	now := time.Now()
	return clock.Instant{Mono: now.Sub(rtm.start), Wall: now.Round(0).Sub(rtm.start.Round(0))}
}

// Run drives the machine until its context ends.
func (rtm *Runtime) Run() {
	tck := time.NewTicker(node.TickInterval)
	defer tck.Stop()
	for {
		rtm.Step(node.Ticked{})
		select {
		case <-tck.C:
		case <-rtm.ctx.Done():
			rtm.work.Wait()
			return
		}
	}
}

// Step delivers one event.
func (rtm *Runtime) Step(evt node.Event) {
	rtm.mut.Lock()
	defer rtm.mut.Unlock()
	rtm.step(evt)
}

// step delivers an event while mut is held, so that actions keep their order.
func (rtm *Runtime) step(evt node.Event) {
	for _, act := range rtm.mac.Step(rtm.Now(), evt) {
		rtm.carryOut(act)
	}
}

func (rtm *Runtime) carryOut(act node.Action) {
	switch act := act.(type) {
	case node.Dispatch:
		rtm.deliver(act.Request, act)
	case node.Relay:
		rtm.deliver(act.Request, act)
	case node.Refuse:
		rtm.deliver(act.Request, act)
	case node.Send:
		rtm.transport.Send(act.To, act.Message)
	case node.AskPeers:
		for _, address := range rtm.peers {
			rtm.transport.AskHead(address)
		}
	default:
		if rtm.ctx.Err() == nil {
			rtm.work.Go(func() { rtm.perform(act) })
		}
	}
}

func (rtm *Runtime) deliver(id request.ID, act node.Action) {
	if wai, found := rtm.waits[id]; found {
		wai <- act
	}
}

// Begin registers a request and returns its ID and the channel on which its
// actions arrive.
func (rtm *Runtime) Begin(req request.Request) (request.ID, <-chan node.Action) {
	rtm.mut.Lock()
	defer rtm.mut.Unlock()
	rtm.next++
	req.ID = rtm.next
	wai := make(chan node.Action, actionBuffer)
	rtm.waits[req.ID] = wai
	rtm.step(node.Arrived{Request: req})
	return req.ID, wai
}

// End forgets a request.
func (rtm *Runtime) End(id request.ID) {
	rtm.mut.Lock()
	defer rtm.mut.Unlock()
	delete(rtm.waits, id)
}

// Machine calls use with the machine while no event is delivered.
func (rtm *Runtime) Machine(use func(mac *node.Machine, now clock.Instant)) {
	rtm.mut.Lock()
	defer rtm.mut.Unlock()
	use(rtm.mac, rtm.Now())
}

// Status returns the state of the VM and whether it is ready.
func (rtm *Runtime) Status() (sta node.Status, ready bool) {
	rtm.Machine(func(mac *node.Machine, now clock.Instant) {
		sta, ready = mac.Status(now), mac.Ready(now)
	})
	return sta, ready
}

// Announce makes a head known that this VM has written: to the machine, and to
// the watchers of every failure domain.
func (rtm *Runtime) Announce(hea fence.Head) {
	rtm.mut.Lock()
	defer rtm.mut.Unlock()
	for _, wat := range rtm.mac.Watchers() {
		if wat.ID != rtm.self.ID {
			rtm.transport.Send(wat.ID, fence.News{Head: hea})
		}
	}
	rtm.step(node.Received{Message: fence.News{Head: hea}})
}
