// Package soak runs the real programs as processes on loopback, injects faults
// from outside, and checks from what callers and targets see that the fleet
// keeps its promises.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/lugbench/pkg/targetfake"
)

const (
	// calmTime is how long the fleet runs without faults before and after.
	calmTime = 4 * time.Second
	// requestTime is the time that callers allow.
	requestTime = 2 * time.Second
	// revokeTime is how long after its withdrawal a route may work, and
	// drainTime how long a target that leaves may get requests.
	revokeTime = 5 * time.Second
	drainTime  = 2 * time.Second
	// farewellTime is how long a VM is cut off at last, while a route is
	// withdrawn and a target leaves.
	farewellTime = 8 * time.Second
	workTime     = 30 * time.Millisecond
	// graceTime is how long a process may take to end.
	graceTime = 4 * time.Second
)

// Settings say what is run, and for how long.
type Settings struct {
	Program   string
	Seed      uint64
	VMs       int
	Targets   int
	PerSecond int
	// Span is how long faults are injected.
	Span time.Duration
	// Logs is a folder for the logs of VMs; empty for none.
	Logs string
}

// fleet is what a soak runs.
type fleet struct {
	set Settings
	rnd *rand.Rand
	rep *Report
	// pgr has the store and the targets, and wires the proxies before the latter.
	pgr   *playground.Playground
	wires []*proxy
	// folder has the settings files of the VMs.
	folder string
	vms    []*process
	// living are the VMs that go through their phases, and may only be stopped as
	// planned; the others are paused and killed.
	living, others []*process
	// covered has the cells of events that came.
	covered sync.Map
	// withdrawn has when routes were taken away, by the paths that they served.
	withdrawn map[string]time.Time
	// leaver is the target that left, and left when it did.
	leaver *targetfake.Target
	left   time.Time
	// cutOff is the VM that was cut off meanwhile; it cannot know.
	cutOff *process
}

// Run starts a fleet, injects faults and reports what was seen.
func Run(ctx context.Context, set Settings) (*Report, error) {
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // What is left does no harm.
	pgr, err := playground.Start(ctx, playground.Settings{Targets: set.Targets, Latency: workTime, Log: io.Discard, Note: firstNote})
	if err != nil {
		return nil, err
	}
	defer pgr.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rep := &Report{seed: set.Seed}
	flt := &fleet{set: set, rnd: rand.New(rand.NewPCG(set.Seed, set.Seed)), rep: rep, pgr: pgr, folder: folder, withdrawn: make(map[string]time.Time)}
	defer flt.close()
	if err := flt.start(ctx); err != nil {
		return nil, err
	}
	load := &load{flt: flt}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var wgr sync.WaitGroup
	wgr.Go(func() { load.repeat(sending, set.PerSecond, load.send) })
	wgr.Go(func() { load.repeat(sending, smallPerSecond, load.sendSmall) })
	time.Sleep(calmTime)
	flt.shake(ctx)
	load.calm.Store(true)
	time.Sleep(calmTime)
	load.calm.Store(false)
	flt.farewell(ctx)
	stop()
	wgr.Wait()
	rep.cells = flt.cells()
	rep.judge(flt)
	return rep, nil
}

func (flt *fleet) start(ctx context.Context) error {
	for num, tgt := range flt.pgr.Targets {
		prx, err := newProxy(ctx, flt.pgr.TargetAddresses[num])
		if err == nil {
			err = tgt.Register(prx.address(), false)
		}
		if err != nil {
			return err
		}
		flt.wires = append(flt.wires, prx)
	}
	for num := range flt.set.VMs {
		set, err := playground.VMSettings(num, flt.pgr.StoreAddress)
		store, storeErr := newProxy(ctx, flt.pgr.StoreAddress)
		peers, peersErr := newProxy(ctx, set.PeerAddress)
		if err := errors.Join(err, storeErr, peersErr); err != nil {
			return err
		}
		prc := &process{flt: flt, set: set, file: filepath.Join(flt.folder, set.Name), store: store, peers: peers, idle: make(chan *conn, maxIdle)}
		prc.writeSettings(narrowFile)
		if err := prc.start(); err != nil {
			return err
		}
		flt.vms = append(flt.vms, prc)
	}
	flt.rnd.Shuffle(len(flt.vms), func(one, two int) { flt.vms[one], flt.vms[two] = flt.vms[two], flt.vms[one] })
	few := (len(flt.vms) + 2) / 3
	flt.others, flt.living = flt.vms[:few], flt.vms[few:]
	return nil
}

// The paths of routes that are taken away: one while faults are injected, one
// at last, while a VM is cut off.
const (
	sparePath = "/spare/"
	latePath  = "/late/"
)

// firstNote adds these routes, and an organisation that is to stay within a
// small share, to the note of the playground.
var firstNote = strings.NewReplacer(
	"organisations: [", fmt.Sprintf("organisations: [{name: %s, rate: %d, burst: %d}, ", smallName, smallRate, smallBurst),
	"keys: [", fmt.Sprintf("keys: [{organisation: %s, secret: %s}, ", smallName, smallKey),
).Replace(playground.Note) + spareRoute("spare", sparePath) + spareRoute("late", latePath)

func spareRoute(name, path string) string {
	return fmt.Sprintf("    - {name: %s, pathPrefix: %s, service: recipes, idempotent: true, timeout: 2s, latencyGoal: 500ms, maxAttempts: 2}\n", name, path)
}

func (flt *fleet) close() {
	for _, prc := range flt.vms {
		prc.signal(syscall.SIGKILL)
		<-prc.run.Load().ended
	}
}

// cells says which events have not come in which phases.
func (flt *fleet) cells() string {
	var open []string
	for _, pha := range phases {
		for _, evt := range events {
			if _, found := flt.covered.Load(pha.cell(evt)); !found {
				open = append(open, pha.cell(evt))
			}
		}
	}
	return fmt.Sprintf("%d of %d cells not covered: %s", len(open), len(phases)*len(events), strings.Join(open, ", "))
}

// shake injects faults, several at a time, and takes VMs through their lives,
// until the span is over, and takes every fault back.
func (flt *fleet) shake(ctx context.Context) {
	end := time.Now().Add(flt.set.Span)
	var wgr sync.WaitGroup
	for _, lif := range newLives(flt, flt.living, end) {
		wgr.Go(func() { lif.run(ctx) })
	}
	withdraw := time.Now().Add(flt.set.Span / 2)
	for time.Now().Before(end) && ctx.Err() == nil {
		inject, dur := flt.pick()
		wgr.Go(func() { inject(dur) })
		time.Sleep(time.Duration(200+flt.rnd.IntN(1000)) * time.Millisecond)
		if withdraw.Before(time.Now()) {
			withdraw = end.Add(time.Hour)
			flt.pgr.Store.SetFaults(storefake.Faults{})
			flt.withdraw(ctx, 1, "spare", sparePath)
		}
	}
	wgr.Wait()
}

// pick draws a fault and how long it lasts.
func (flt *fleet) pick() (inject func(dur time.Duration), dur time.Duration) {
	dur = time.Duration(300+flt.rnd.IntN(2500)) * time.Millisecond
	prc := flt.others[flt.rnd.IntN(len(flt.others))]
	num := flt.rnd.IntN(len(flt.pgr.Targets))
	faults := []func(dur time.Duration){
		func(time.Duration) { prc.restart(syscall.SIGKILL) },
		func(time.Duration) { prc.restart(syscall.SIGTERM) },
		prc.pause,
		func(dur time.Duration) { flt.harm(prc.store, "store of "+prc.set.Name, dur) },
		func(dur time.Duration) { flt.harm(prc.peers, "peers of "+prc.set.Name, dur) },
		func(dur time.Duration) { flt.harm(flt.wires[num], flt.pgr.Targets[num].ID(), dur) },
		func(dur time.Duration) { flt.sicken(flt.pgr.Targets[num], dur) },
		flt.breakStore,
	}
	return faults[flt.rnd.IntN(len(faults))], dur
}

// harm treats the connections through a proxy badly for a time.
func (flt *fleet) harm(prx *proxy, what string, dur time.Duration) {
	wires := []wire{{delay: 100 * time.Millisecond}, {muteUp: true}, {muteDown: true}, silence, {reset: true}}
	wir := wires[int(dur/time.Millisecond)%len(wires)]
	flt.rep.tell("%s: %+v for %v", what, wir, dur)
	prx.set(wir)
	time.Sleep(dur)
	prx.set(wire{})
}

func (flt *fleet) sicken(tgt *targetfake.Target, dur time.Duration) {
	flt.rep.tell("%s: sick for %v", tgt.ID(), dur)
	tgt.SetFaults(targetfake.Faults{Latency: workTime, HangShare: 0.4, FailShare: 0.2, CutShare: 0.1})
	time.Sleep(dur)
	tgt.SetFaults(targetfake.Faults{Latency: workTime})
}

func (flt *fleet) breakStore(dur time.Duration) {
	all := []storefake.Faults{
		{Silent: true},
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Reset: true},
		{Delay: 200 * time.Millisecond},
		{LoseAnswers: 3},
		{LateWrites: 3, LateTime: time.Second},
		{DeafWatches: true},
	}
	fls := all[int(dur/time.Millisecond)%len(all)]
	flt.rep.tell("store: %+v for %v", fls, dur)
	flt.pgr.Store.SetFaults(fls)
	time.Sleep(dur)
	flt.pgr.Store.SetFaults(storefake.Faults{})
	flt.pgr.Store.Compact()
}

// withdraw takes a route away by a note against a version.
func (flt *fleet) withdraw(ctx context.Context, base int, name, path string) {
	doc := fmt.Sprintf("release: without-%s\nbase: %d\nwithdrawn: {routes: [%s]}\n", name, base, name)
	_, err := flt.pgr.Releases.Apply(ctx, []byte(doc), "soak")
	flt.rep.check(err)
	flt.rep.tell("route %s withdrawn", name)
	flt.withdrawn[path] = time.Now()
}

// farewell cuts one VM off from the platform and from what others tell it, takes
// a route away and lets a target leave.
func (flt *fleet) farewell(ctx context.Context) {
	flt.cutOff = flt.vms[flt.rnd.IntN(len(flt.vms))]
	num := flt.rnd.IntN(len(flt.wires))
	flt.leaver = flt.pgr.Targets[num]
	flt.rep.tell("%s: cut off for %v, %s leaves", flt.cutOff.set.Name, farewellTime, flt.leaver.ID())
	flt.cutOff.store.set(silence)
	flt.cutOff.peers.set(silence)
	flt.withdraw(ctx, 2, "late", latePath)
	flt.rep.check(flt.leaver.Register(flt.wires[num].address(), true))
	flt.left = time.Now()
	time.Sleep(farewellTime)
}
