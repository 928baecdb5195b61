// Package soak runs the real programs as processes on loopback, injects faults
// from outside, and checks from what callers and targets see that the fleet
// keeps its promises.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugctl/pkg/release"
	"marigoldlug.example/platform/pkg/objects"
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
	// slots is what a target runs at a time.
	slots = 3
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
	set      Settings
	rnd      *rand.Rand
	store    *storefake.Store
	releases *release.Applier
	targets  []*targetfake.Target
	wires    []*proxy
	vms      []*process
	closers  []func()

	mut sync.Mutex
	// told lists the faults that were injected.
	told []string
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
	flt := &fleet{set: set, rnd: rand.New(rand.NewPCG(set.Seed, set.Seed)), store: storefake.New(), withdrawn: make(map[string]time.Time)}
	defer flt.close()
	if err := flt.start(ctx); err != nil {
		return nil, err
	}
	rep := &Report{seed: set.Seed}
	load := newLoad(flt, rep)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		load.run(ctx)
		close(done)
	}()
	time.Sleep(calmTime)
	if err := flt.shake(ctx); err != nil {
		return nil, err
	}
	load.calm.Store(true)
	time.Sleep(calmTime)
	load.calm.Store(false)
	if err := flt.farewell(ctx); err != nil {
		return nil, err
	}
	cancel()
	<-done
	rep.faults = flt.told
	rep.judge(flt)
	return rep, nil
}

// serve runs a handler at an address of its own, and returns that.
func (flt *fleet) serve(han http.Handler) (string, error) {
	address, closeServer, err := playground.Serve(han)
	if err == nil {
		flt.closers = append(flt.closers, closeServer)
	}
	return address, err
}

func (flt *fleet) start(ctx context.Context) error {
	address, err := flt.serve(flt.store)
	if err != nil {
		return err
	}
	for num := range flt.set.Targets {
		tgt := targetfake.New(fmt.Sprintf("worker-%d", num+1), "recipes", fmt.Sprintf("domain-%d", num%3+1), slots, objects.Names(), flt.store)
		tgt.SetFaults(targetfake.Faults{Latency: workTime})
		at, err := flt.serve(tgt)
		if err != nil {
			return err
		}
		prx, err := flt.proxy(at)
		if err != nil {
			return err
		}
		if err := tgt.Register(prx.address(), false); err != nil {
			return err
		}
		flt.targets, flt.wires = append(flt.targets, tgt), append(flt.wires, prx)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	flt.releases = release.New(objects.NewReleases(objects.New(address, log)), time.Now)
	if _, err := flt.releases.Apply(ctx, []byte(firstNote), "soak"); err != nil {
		return err
	}
	for num := range flt.set.VMs {
		set, err := playground.VMSettings(num, address)
		if err != nil {
			return err
		}
		prc := &process{program: flt.set.Program, set: set, logs: flt.set.Logs}
		if prc.store, err = flt.proxy(address); err != nil {
			return err
		}
		if prc.peers, err = flt.proxy(set.PeerAddress); err != nil {
			return err
		}
		if err := prc.start(); err != nil {
			return err
		}
		flt.vms = append(flt.vms, prc)
	}
	return nil
}

// proxy puts a proxy in front of a server until the soak ends.
func (flt *fleet) proxy(server string) (*proxy, error) {
	prx, err := newProxy(server)
	if err == nil {
		flt.closers = append(flt.closers, prx.close)
	}
	return prx, err
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
		prc.end()
	}
	for _, one := range flt.closers {
		one()
	}
}

func (flt *fleet) tell(format string, args ...any) {
	flt.mut.Lock()
	defer flt.mut.Unlock()
	flt.told = append(flt.told, fmt.Sprintf(format, args...))
}

// shake injects faults, several at a time, until the span is over, and takes
// every fault back.
func (flt *fleet) shake(ctx context.Context) error {
	end := time.Now().Add(flt.set.Span)
	var wgr sync.WaitGroup
	errs := make(chan error, 1000)
	withdraw := time.Now().Add(flt.set.Span / 2)
	for time.Now().Before(end) && ctx.Err() == nil {
		inject, dur := flt.pick()
		wgr.Go(func() {
			if err := inject(dur); err != nil {
				errs <- err
			}
		})
		time.Sleep(time.Duration(200+flt.rnd.IntN(1000)) * time.Millisecond)
		if withdraw.Before(time.Now()) {
			withdraw = end.Add(time.Hour)
			flt.store.SetFaults(storefake.Faults{})
			if err := flt.withdraw(ctx, 1, "spare", sparePath); err != nil {
				return err
			}
		}
	}
	wgr.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// pick draws a fault and how long it lasts.
func (flt *fleet) pick() (inject func(dur time.Duration) error, dur time.Duration) {
	dur = time.Duration(300+flt.rnd.IntN(2500)) * time.Millisecond
	prc := flt.vms[flt.rnd.IntN(len(flt.vms))]
	num := flt.rnd.IntN(len(flt.targets))
	faults := []func(dur time.Duration) error{
		func(time.Duration) error { return flt.restart(prc, syscall.SIGKILL) },
		func(time.Duration) error { return flt.restart(prc, syscall.SIGTERM) },
		func(dur time.Duration) error { return flt.pause(prc, dur) },
		func(dur time.Duration) error { return flt.harm(prc.store, "store of "+prc.set.Name, dur) },
		func(dur time.Duration) error { return flt.harm(prc.peers, "peers of "+prc.set.Name, dur) },
		func(dur time.Duration) error { return flt.harm(flt.wires[num], flt.targets[num].ID(), dur) },
		func(dur time.Duration) error { return flt.sicken(flt.targets[num], dur) },
		func(dur time.Duration) error { return flt.breakStore(dur) },
	}
	return faults[flt.rnd.IntN(len(faults))], dur
}

func (flt *fleet) restart(prc *process, sig syscall.Signal) error {
	flt.tell("%s: %s", prc.set.Name, sig)
	return prc.restart(sig, graceTime)
}

func (flt *fleet) pause(prc *process, dur time.Duration) error {
	flt.tell("%s: paused for %v", prc.set.Name, dur)
	prc.signal(syscall.SIGSTOP)
	time.Sleep(dur)
	prc.signal(syscall.SIGCONT)
	return nil
}

// harm treats the connections through a proxy badly for a time.
func (flt *fleet) harm(prx *proxy, what string, dur time.Duration) error {
	wires := []wire{{delay: 100 * time.Millisecond}, {muteUp: true}, {muteDown: true}, {muteUp: true, muteDown: true}, {reset: true}}
	wir := wires[int(dur/time.Millisecond)%len(wires)]
	flt.tell("%s: %+v for %v", what, wir, dur)
	prx.set(wir)
	time.Sleep(dur)
	prx.set(wire{})
	return nil
}

func (flt *fleet) sicken(tgt *targetfake.Target, dur time.Duration) error {
	flt.tell("%s: sick for %v", tgt.ID(), dur)
	tgt.SetFaults(targetfake.Faults{Latency: workTime, HangShare: 0.4, FailShare: 0.2, CutShare: 0.1})
	time.Sleep(dur)
	tgt.SetFaults(targetfake.Faults{Latency: workTime})
	return nil
}

func (flt *fleet) breakStore(dur time.Duration) error {
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
	flt.tell("store: %+v for %v", fls, dur)
	flt.store.SetFaults(fls)
	time.Sleep(dur)
	flt.store.SetFaults(storefake.Faults{})
	flt.store.Compact()
	return nil
}

// withdraw takes a route away by a note against a version.
func (flt *fleet) withdraw(ctx context.Context, base int, name, path string) error {
	doc := fmt.Sprintf("release: without-%s\nbase: %d\nwithdrawn: {routes: [%s]}\n", name, base, name)
	if _, err := flt.releases.Apply(ctx, []byte(doc), "soak"); err != nil {
		return err
	}
	flt.tell("route %s withdrawn", name)
	flt.mut.Lock()
	defer flt.mut.Unlock()
	flt.withdrawn[path] = time.Now()
	return nil
}

// farewell cuts one VM off from the platform and from what others tell it, takes
// a route away and lets a target leave.
func (flt *fleet) farewell(ctx context.Context) error {
	prc := flt.vms[flt.rnd.IntN(len(flt.vms))]
	num := flt.rnd.IntN(len(flt.targets))
	flt.tell("%s: cut off for %v, %s leaves", prc.set.Name, farewellTime, flt.targets[num].ID())
	cut := wire{muteUp: true, muteDown: true}
	prc.store.set(cut)
	prc.peers.set(cut)
	flt.cutOff = prc
	if err := flt.withdraw(ctx, 2, "late", latePath); err != nil {
		return err
	}
	if err := flt.targets[num].Register(flt.wires[num].address(), true); err != nil {
		return err
	}
	flt.leaver, flt.left = flt.targets[num], time.Now()
	time.Sleep(farewellTime)
	return nil
}

// withdrawnAt returns when the route of a path was taken away, and whether it
// was.
func (flt *fleet) withdrawnAt(path string) (time.Time, bool) {
	flt.mut.Lock()
	defer flt.mut.Unlock()
	at, gone := flt.withdrawn[path]
	return at, gone
}
