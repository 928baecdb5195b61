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

// phase is a phase of a VM's process, by the name that the report prints.
type phase string

// The phases of the soak, as seen from outside the process. Each lasts until a later one
// begins. lugd's own phases (edge.Phase) differ: Serving begins as soon as the ports are
// served, before the VM is ready, and Stopping lasts until the connections are closed.
const (
	// phasePortOpen begins when the port for callers accepts connections.
	phasePortOpen phase = "starting"
	// phaseReady begins when the ready address responds with status 200.
	phaseReady phase = "serving"
	// phaseStopRequested begins with the first signal to stop.
	phaseStopRequested phase = "stopping"
	// phasePortClosed begins when the port for callers accepts no connections any more,
	// and ends when the process exits.
	phasePortClosed phase = "ending"
)

var phases = []phase{phasePortOpen, phaseReady, phaseStopRequested, phasePortClosed}

// cell returns the name of a cell of the coverage table: an event in a phase.
func (pha phase) cell(evt event) string { return string(pha) + ": " + evt.name }

const (
	// pollInterval is how often the soak checks whether the next phase has begun, and
	// how often it sends a signal in phasePortClosed.
	pollInterval = time.Millisecond
	// eventDelay bounds how long after the begin of a phase its event is injected;
	// startingEventDelay, for phasePortOpen, is shorter, since VMs are soon ready.
	// Whether the phase still lasts then isn't checked.
	eventDelay         = 200 * time.Millisecond
	startingEventDelay = 30 * time.Millisecond
	// secondEventDelay bounds the time between two events in quick succession.
	secondEventDelay = 20 * time.Millisecond
	// startTimeout bounds the wait until the port of a VM that was started is open, and
	// then until the VM is ready.
	startTimeout = 3 * time.Second
)

// lifecycle takes one VM through its phases repeatedly, and injects events in each.
type lifecycle struct {
	flt *fleet
	prc *process
	rnd *rand.Rand
	end time.Time
	// queues has the events of each phase, the next one first. An event that was
	// injected goes to the end.
	queues map[phase][]event
	// limit is the limit of header bytes that should be in force after the last
	// events, and reloadTime how long that may take.
	limit      headerLimit
	reloadTime time.Duration
}

// newLifecycles returns a lifecycle for each VM, and distributes the events of each
// phase among them.
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

// run takes the VM through its phases until lfc.end. If the VM then has exited or was
// told to stop, it starts it again, for at most 2*exitTimeout, to leave it serving.
func (lfc *lifecycle) run(ctx context.Context) {
	deadline := lfc.end.Add(2 * exitTimeout)
	for ctx.Err() == nil && (time.Now().Before(lfc.end) || time.Now().Before(deadline) && (lfc.prc.stopRequested() || lfc.prc.hasExited())) {
		lfc.stop()
		lfc.start()
	}
	lfc.restoreLinks()
}

// stop tells the VM to stop, if no event has done so, and waits until it has exited.
func (lfc *lifecycle) stop() {
	if !lfc.prc.stopRequested() {
		sig := stopSignals[lfc.rnd.IntN(len(stopSignals))]
		lfc.flt.rep.faultf("%s: %s", lfc.prc.set.Name, sig)
		lfc.prc.signal(sig)
	}
	lfc.injectNext(phaseStopRequested, eventDelay)
	lfc.prc.waitUntil(exitTimeout, func() bool { return !lfc.prc.acceptsConns() })
	lfc.injectNext(phasePortClosed, pollInterval)
	lfc.prc.awaitExit()
}

// start starts the VM, with its links restored and its first settings.
func (lfc *lifecycle) start() {
	lfc.restoreLinks()
	lfc.prc.writeSettings(lowLimitSettings)
	lfc.limit, lfc.reloadTime = lowLimit, 0
	lfc.flt.rep.check(lfc.prc.start())
	lfc.prc.waitUntil(startTimeout, lfc.prc.acceptsConns)
	lfc.injectNext(phasePortOpen, startingEventDelay)
	lfc.restoreLinks()
	ready := func() bool { return getStatus(lfc.prc.set.ReadyAddress, "/") == http.StatusOK }
	if lfc.prc.stopRequested() || !lfc.prc.waitUntil(startTimeout, ready) {
		return // The VM isn't ready while the store fails.
	}
	lfc.check(phasePortOpen)
	lfc.injectNext(phaseReady, eventDelay)
	if !lfc.prc.stopRequested() {
		lfc.check(phaseReady)
	}
}

// restoreLinks removes the faults of the links to the store and from other VMs.
func (lfc *lifecycle) restoreLinks() {
	lfc.prc.store.setFaults(linkFaults{})
	lfc.prc.peers.setFaults(linkFaults{})
}

// probeClient opens a new connection for each request.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// getStatus sends a GET request to a VM and returns the status of the response, 0 if
// there is none.
func getStatus(address, path string) (status int) {
	res, _ := playground.SendRequest(context.Background(), probeClient, address, http.MethodGet, path, "probe", "", requestTimeout)
	return res.Status
}

// injectNext injects the next event of a phase after a random delay of at most
// maxDelay: once, twice in quick succession, or together with a random event. It injects
// none after lfc.end, or if the process has exited.
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

// inject injects an event. In phasePortClosed, it sends the signal repeatedly, so that
// some arrive just before the process exits.
func (lfc *lifecycle) inject(pha phase, evt event) {
	if evt.act != nil {
		evt.act(lfc.prc)
	}
	if evt.signal != 0 {
		lfc.prc.waitUntil(exitTimeout, func() bool { lfc.prc.signal(evt.signal); return pha != phasePortClosed })
	}
}

// expectLimit records which limit should be in force after two events. It is unknown
// if they change the settings file differently, since they run concurrently.
func (lfc *lifecycle) expectLimit(one, two event) {
	lfc.reloadTime = max(one.reloadTime, two.reloadTime)
	for _, evt := range []event{one, two} {
		if evt.limitAfter != unchangedLimit {
			lfc.limit = evt.limitAfter
		}
	}
	if one.reloadTime > 0 && two.reloadTime > 0 && one.name != two.name {
		lfc.limit = unknownLimit
	}
}

// check checks, once a change of the settings file must be in force, that the VM
// responds, and that it refuses a long request head exactly if lfc.limit is lowLimit.
func (lfc *lifecycle) check(pha phase) {
	time.Sleep(lfc.reloadTime)
	status := getStatus(lfc.prc.set.CallerAddress, "/recipes/"+strings.Repeat("x", longHeadBytes))
	refused := status == http.StatusRequestHeaderFieldsTooLarge
	if !lfc.prc.hasExited() && (status == 0 || lfc.limit != unknownLimit && refused != (lfc.limit == lowLimit)) {
		lfc.flt.rep.violationf("%s, %s, answered %d to a long request head and should have %s settings in force", lfc.prc.set.Name, pha, status, lfc.limit)
	}
}
