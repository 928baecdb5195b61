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
	// phasePoll is how often it is looked whether the next phase has begun, and
	// how often signals are sent while a process ends.
	phasePoll = time.Millisecond
	// phaseDelay bounds how long after the begin of a phase its event comes;
	// startDelay is for VMs that start, which soon are ready.
	phaseDelay = 200 * time.Millisecond
	startDelay = 30 * time.Millisecond
	// againDelay bounds the time between two events in quick succession.
	againDelay = 20 * time.Millisecond
	// startTime bounds the wait for a VM that starts.
	startTime = 3 * time.Second
)

// life takes one VM through its phases again and again, with events in each.
type life struct {
	flt *fleet
	prc *process
	rnd *rand.Rand
	end time.Time
	// queues has the events of each phase, in the order in which they come again
	// and again.
	queues map[phase][]event
	// settings says what should be in force, and hold how long that may take.
	settings inForce
	hold     time.Duration
}

// newLives shares the cells out among the lives of some VMs.
func newLives(flt *fleet, vms []*process, end time.Time) []*life {
	var all []*life
	for num, prc := range vms {
		rnd, order := rand.New(rand.NewPCG(flt.set.Seed, uint64(num)+1)), rand.New(rand.NewPCG(flt.set.Seed, 0))
		lif := &life{flt: flt, prc: prc, rnd: rnd, end: end, queues: make(map[phase][]event)}
		for _, pha := range phases {
			for pos, evt := range order.Perm(len(events)) {
				if pos%len(vms) == num {
					lif.queues[pha] = append(lif.queues[pha], events[evt])
				}
			}
		}
		all = append(all, lif)
	}
	return all
}

// run takes the VM through its phases until the end, and leaves it serving, if it
// does not end by itself each time.
func (lif *life) run(ctx context.Context) {
	last := lif.end.Add(2 * graceTime)
	for ctx.Err() == nil && (time.Now().Before(lif.end) || time.Now().Before(last) && (lif.prc.toldToStop() || lif.prc.over())) {
		lif.stop()
		lif.start()
	}
	lif.regain()
}

// stop stops the VM, if no event has done so, and waits for its end.
func (lif *life) stop() {
	if !lif.prc.toldToStop() {
		sig := stopSignals[lif.rnd.IntN(len(stopSignals))]
		lif.flt.rep.tell("%s: %s", lif.prc.set.Name, sig)
		lif.prc.signal(sig)
	}
	lif.strike(stopping, phaseDelay)
	lif.prc.await(graceTime, func() bool { return !lif.prc.connects() })
	lif.strike(ending, phasePoll)
	lif.prc.awaitEnd()
}

// start starts the VM with what it had lost back in its place.
func (lif *life) start() {
	lif.regain()
	lif.prc.writeSettings(narrowFile)
	lif.settings, lif.hold = narrow, 0
	lif.flt.rep.check(lif.prc.start())
	lif.prc.await(startTime, lif.prc.connects)
	lif.strike(starting, startDelay)
	lif.regain()
	ready := func() bool { return get(lif.prc.set.ReadyAddress, "/") == http.StatusOK }
	if lif.prc.toldToStop() || !lif.prc.await(startTime, ready) {
		return // The store may be away.
	}
	lif.check(starting)
	lif.strike(serving, phaseDelay)
	if !lif.prc.toldToStop() {
		lif.check(serving)
	}
}

func (lif *life) regain() {
	lif.prc.store.set(wire{})
	lif.prc.peers.set(wire{})
}

// prober asks over a new connection each time.
var prober = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTime}

// get asks a VM; the status is 0 without an answer.
func get(address, path string) (status int) {
	res, _ := playground.Request(context.Background(), prober, address, http.MethodGet, path, "probe", "", requestTime)
	return res.Status
}

// strike makes the next event of a phase happen, some time after its begin: once,
// twice in quick succession, or with another one beside it.
func (lif *life) strike(pha phase, most time.Duration) {
	time.Sleep(time.Duration(lif.rnd.Int64N(int64(most))))
	if time.Now().After(lif.end) || lif.prc.over() {
		return
	}
	one, two := lif.queues[pha][0], event{name: "nothing"}
	switch lif.rnd.IntN(3) {
	case 0:
		two = one
	case 1:
		two = events[lif.rnd.IntN(len(events))]
	}
	lif.queues[pha] = append(lif.queues[pha][1:], one)
	lif.flt.covered.Store(pha.cell(one), true)
	lif.flt.rep.tell("%s, %s and %s", lif.prc.set.Name, pha.cell(one), two.name)
	lif.expect(one, two)
	var wgr sync.WaitGroup
	wgr.Go(func() { lif.happen(pha, one) })
	time.Sleep(time.Duration(lif.rnd.Int64N(int64(againDelay))))
	lif.happen(pha, two)
	wgr.Wait()
}

// happen makes an event happen. Signals are sent again and again to a process that
// ends, so that some come at its last moment.
func (lif *life) happen(pha phase, evt event) {
	if evt.act != nil {
		evt.act(lif.prc)
	}
	if evt.signal != 0 {
		lif.prc.await(graceTime, func() bool { lif.prc.signal(evt.signal); return pha != ending })
	}
}

// expect notes which settings should be in force after two events.
func (lif *life) expect(one, two event) {
	lif.hold = max(one.hold, two.hold)
	for _, evt := range []event{one, two} {
		if evt.after != asBefore {
			lif.settings = evt.after
		}
	}
	if one.hold > 0 && two.hold > 0 && one.name != two.name {
		lif.settings = unknown
	}
}

// check sees that the VM serves, and refuses a long head only with narrow settings.
func (lif *life) check(pha phase) {
	time.Sleep(lif.hold)
	status := get(lif.prc.set.CallerAddress, "/recipes/"+strings.Repeat("x", longHead))
	refused := status == http.StatusRequestHeaderFieldsTooLarge
	if !lif.prc.over() && (status == 0 || lif.settings != unknown && refused != (lif.settings == narrow)) {
		lif.flt.rep.breakf("%s, %s, answers %d to a long head and should have %s settings in force", lif.prc.set.Name, pha, status, lif.settings)
	}
}
