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
	"marigoldlug.example/core/node"
	"marigoldlug.example/core/request"
	"marigoldlug.example/lugd/pkg/platform"
	"marigoldlug.example/lugd/pkg/release"
)

// actionBuffer holds the actions of one request; an attempt yields one action
// at a time.
const actionBuffer = 4

// Runtime owns the machine of one VM. It is safe for concurrent use.
type Runtime struct {
	log    logrus.FieldLogger
	client *platform.Client
	loader *release.Loader
	start  time.Time
	// work receives the actions that need the platform.
	work chan node.Action

	mut   sync.Mutex
	mac   *node.Machine
	next  request.ID
	waits map[request.ID]chan node.Action
}

// New returns a runtime whose machine has the given settings.
func New(set node.Settings, cli *platform.Client, log logrus.FieldLogger) *Runtime {
	return &Runtime{
		log:    log,
		client: cli,
		loader: release.NewLoader(release.PlatformChunks{Client: cli}),
		start:  time.Now(),
		work:   make(chan node.Action, actionBuffer),
		mac:    node.New(set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		waits:  make(map[request.ID]chan node.Action),
	}
}

// Now reads both clocks of the VM.
func (rtm *Runtime) Now() clock.Instant {
	now := time.Now()
	return clock.Instant{Mono: now.Sub(rtm.start), Wall: now.Round(0).Sub(rtm.start.Round(0))}
}

// Run drives the machine until ctx ends.
func (rtm *Runtime) Run(ctx context.Context) {
	var wgr sync.WaitGroup
	wgr.Go(func() { rtm.runWork(ctx) })
	tck := time.NewTicker(node.TickInterval)
	defer tck.Stop()
	for {
		rtm.Step(node.Ticked{})
		select {
		case <-tck.C:
		case <-ctx.Done():
			wgr.Wait()
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
	default:
		select {
		case rtm.work <- act:
		default:
			rtm.log.WithField("action", act).Warn("too many actions wait for the platform")
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

func (rtm *Runtime) runWork(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case act := <-rtm.work:
			rtm.perform(ctx, act)
		}
	}
}

func (rtm *Runtime) perform(ctx context.Context, act node.Action) {
	switch act := act.(type) {
	case node.ReadHead:
		rtm.readHead(ctx)
	case node.Load:
		rtm.load(ctx, act.Head)
	}
}

func (rtm *Runtime) readHead(ctx context.Context) {
	asked := rtm.Now()
	hea, _, err := release.ReadHead(ctx, rtm.client)
	if err != nil {
		rtm.log.WithError(err).Debug("cannot read the head")
	}
	rtm.Step(node.HeadRead{Asked: asked, Head: hea, Failed: err != nil || hea.Version == 0})
}

func (rtm *Runtime) load(ctx context.Context, hea fence.Head) {
	sna, vie, err := rtm.loader.Load(ctx, hea)
	if err != nil {
		rtm.log.WithError(err).WithField("version", hea.Version).Warn("cannot load the configuration")
		rtm.Step(node.HeadRead{Failed: true})
		return
	}
	rtm.Step(node.Loaded{Head: hea, Snapshot: sna, View: vie})
}
