package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
)

// phase is a part of the life of a VM.
type phase string

// A VM is starting once its port is open, serving when it is ready, stopping from
// the signal to stop on, and ending when new connections are refused.
const (
	starting phase = "starting"
	serving  phase = "serving"
	stopping phase = "stopping"
	ending   phase = "ending"
)

var phases = []phase{starting, serving, stopping, ending}

// cell names an event in a phase.
func (pha phase) cell(evt event) string { return string(pha) + ": " + evt.name }

const (
	// pollInterval is how often it is looked whether the next phase has begun, and
	// how often signals are sent while a process ends.
	pollInterval = time.Millisecond
	// eventDelay bounds how long after the begin of a phase its event comes;
	// startDelay is for VMs that start, which soon are ready.
	eventDelay         = 200 * time.Millisecond
	startingEventDelay = 30 * time.Millisecond
	// secondEventDelay bounds the time between two events in quick succession.
	secondEventDelay = 20 * time.Millisecond
	// startTimeout bounds the wait for a VM that starts.
	startTimeout = 3 * time.Second
)

// lifecycle takes one VM through its phases again and again, with events in each.
type lifecycle struct {
	flt *fleet
	prc *process
	rnd *rand.Rand
	end time.Time
	// queues has the events of each phase, in the order in which they come again
	// and again.
	queues map[phase][]event
	// limit says what should be in force, and hold how long that may take.
	limit      headerLimit
	reloadTime time.Duration
}

// newLifecycles shares the cells out among the lives of some VMs.
func newLifecycles(flt *fleet, vms []*process, end time.Time) []*lifecycle {
	var all []*lifecycle
	for num, prc := range vms {
		rnd, order := rand.New(rand.NewPCG(flt.set.Seed, uint64(num)+1)), rand.New(rand.NewPCG(flt.set.Seed, 0))
		lfc := &lifecycle{flt: flt, prc: prc, rnd: rnd, end: end, queues: make(map[phase][]event)}
		for _, pha := range phases {
			for pos, evt := range order.Perm(len(events)) {
				if pos%len(vms) == num {
					lfc.queues[pha] = append(lfc.queues[pha], events[evt])
				}
			}
		}
		all = append(all, lfc)
	}
	return all
}

// run takes the VM through its phases until the end, and leaves it serving, if it
// does not end by itself each time.
func (lfc *lifecycle) run(ctx context.Context) {
	deadline := lfc.end.Add(2 * exitTimeout)
	for ctx.Err() == nil && (time.Now().Before(lfc.end) || time.Now().Before(deadline) && (lfc.prc.stopRequested() || lfc.prc.hasExited())) {
		lfc.stop()
		lfc.start()
	}
	lfc.restoreLinks()
}

// stop stops the VM, if no event has done so, and waits for its end.
func (lfc *lifecycle) stop() {
	if !lfc.prc.stopRequested() {
		sig := stopSignals[lfc.rnd.IntN(len(stopSignals))]
		lfc.flt.rep.faultf("%s: %s", lfc.prc.set.Name, sig)
		lfc.prc.signal(sig)
	}
	lfc.injectNext(stopping, eventDelay)
	lfc.prc.waitUntil(exitTimeout, func() bool { return !lfc.prc.acceptsConns() })
	lfc.injectNext(ending, pollInterval)
	lfc.prc.awaitExit()
}

// start starts the VM with what it had lost back in its place.
func (lfc *lifecycle) start() {
	lfc.restoreLinks()
	lfc.prc.writeSettings(narrowSettings)
	lfc.limit, lfc.reloadTime = narrow, 0
	lfc.flt.rep.check(lfc.prc.start())
	lfc.prc.waitUntil(startTimeout, lfc.prc.acceptsConns)
	lfc.injectNext(starting, startingEventDelay)
	lfc.restoreLinks()
	ready := func() bool { return getStatus(lfc.prc.set.ReadyAddress, "/") == http.StatusOK }
	if lfc.prc.stopRequested() || !lfc.prc.waitUntil(startTimeout, ready) {
		return // The store may be away.
	}
	lfc.check(starting)
	lfc.injectNext(serving, eventDelay)
	if !lfc.prc.stopRequested() {
		lfc.check(serving)
	}
}

func (lfc *lifecycle) restoreLinks() {
	lfc.prc.store.setFaults(linkFaults{})
	lfc.prc.peers.setFaults(linkFaults{})
}

// probeClient asks over a new connection each time.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// getStatus asks a VM; the status is 0 without an answer.
func getStatus(address, path string) (status int) {
	res, _ := playground.SendRequest(context.Background(), probeClient, address, http.MethodGet, path, "probe", "", requestTimeout)
	return res.Status
}

// injectNext makes the next event of a phase happen, some time after its begin: once,
// twice in quick succession, or with another one beside it.
func (lfc *lifecycle) injectNext(pha phase, maxDelay time.Duration) {
	time.Sleep(time.Duration(lfc.rnd.Int64N(int64(maxDelay))))
	if time.Now().After(lfc.end) || lfc.prc.hasExited() {
		return
	}
	one, two := lfc.queues[pha][0], event{name: "nothing"}
	switch lfc.rnd.IntN(3) {
	case 0:
		two = one
	case 1:
		two = events[lfc.rnd.IntN(len(events))]
	}
	lfc.queues[pha] = append(lfc.queues[pha][1:], one)
	lfc.flt.covered.Store(pha.cell(one), true)
	lfc.flt.rep.faultf("%s, %s and %s", lfc.prc.set.Name, pha.cell(one), two.name)
	lfc.expectLimit(one, two)
	var wgr sync.WaitGroup
	wgr.Go(func() { lfc.inject(pha, one) })
	time.Sleep(time.Duration(lfc.rnd.Int64N(int64(secondEventDelay))))
	lfc.inject(pha, two)
	wgr.Wait()
}

// inject makes an event happen. Signals are sent again and again to a process that
// ends, so that some come at its last moment.
func (lfc *lifecycle) inject(pha phase, evt event) {
	if evt.act != nil {
		evt.act(lfc.prc)
	}
	if evt.signal != 0 {
		lfc.prc.waitUntil(exitTimeout, func() bool { lfc.prc.signal(evt.signal); return pha != ending })
	}
}

// expectLimit notes which settings should be in force after two events.
func (lfc *lifecycle) expectLimit(one, two event) {
	lfc.reloadTime = max(one.reloadTime, two.reloadTime)
	for _, evt := range []event{one, two} {
		if evt.limitAfter != unchanged {
			lfc.limit = evt.limitAfter
		}
	}
	if one.reloadTime > 0 && two.reloadTime > 0 && one.name != two.name {
		lfc.limit = unknown
	}
}

// check sees that the VM serves, and refuses a long head only with narrow settings.
func (lfc *lifecycle) check(pha phase) {
	time.Sleep(lfc.reloadTime)
	status := getStatus(lfc.prc.set.CallerAddress, "/recipes/"+strings.Repeat("x", longHeadBytes))
	refused := status == http.StatusRequestHeaderFieldsTooLarge
	if !lfc.prc.hasExited() && (status == 0 || lfc.limit != unknown && refused != (lfc.limit == narrow)) {
		lfc.flt.rep.violationf("%s, %s, answers %d to a long head and should have %s settings in force", lfc.prc.set.Name, pha, status, lfc.limit)
	}
}
