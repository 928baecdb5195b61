// Package soak runs a fleet of lugd processes on loopback, injects faults from
// outside, and checks by what callers and targets observe that the fleet keeps
// its promises.
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
	// faultFreeTime is how long the fleet runs without faults, once before they are
	// injected and once after.
	faultFreeTime = 4 * time.Second
	// requestTimeout is the timeout that callers state with each request.
	requestTimeout = 2 * time.Second
	// revokeTime is how long a route may still be served after its withdrawal; it is the
	// default of lugd's revoke-time.
	revokeTime = 5 * time.Second
	// leaveTolerance is how long a target may still get requests after its registry entry
	// was marked as leaving.
	leaveTolerance = 2 * time.Second
	// isolationTime is how long one VM is isolated at the end of the soak, while a
	// route is withdrawn and a target leaves.
	isolationTime = 8 * time.Second
	// meanLatency is the mean time that targets take for a request.
	meanLatency = 30 * time.Millisecond
	// exitTimeout is how long a process may take to exit.
	exitTimeout = 4 * time.Second
)

// Settings are the size of the fleet, the load, and the faults of a soak.
type Settings struct {
	// Program is the path of lugd.
	Program string
	// Seed determines which faults are injected.
	Seed    uint64
	VMs     int
	Targets int
	// PerSecond is the number of requests sent each second, besides those of the
	// organisation with a small quota.
	PerSecond int
	// FaultTime is how long faults are injected.
	FaultTime time.Duration
	// Restores is set if the store is restored from backups while faults are injected.
	Restores bool
	// Production is the path of the lugd that VMs run at first; empty for Program. VMs are replaced by ones
	// that run Program, one after the other, while faults are injected.
	Production string
	// Logs is the directory to which the logs of VMs are written; empty for none.
	Logs string
}

// fleet is the VMs, the store and the targets of a soak.
type fleet struct {
	set Settings
	rnd *rand.Rand
	rep *Report
	// pgr has the store and the targets. targetProxies has one proxy for each target,
	// through which VMs reach it.
	pgr           *playground.Playground
	targetProxies []*proxy
	// dir is the directory of the settings files of the VMs.
	dir string
	vms []*process
	// lifecycleVMs go through their phases and are only stopped gracefully. faultVMs are
	// also paused and killed, and their links to the store and from other VMs fail.
	lifecycleVMs, faultVMs []*process
	// covered has the covered cells as keys. A cell is an event in a phase; it is covered
	// if the event was injected for that phase.
	covered sync.Map
	// withdrawnAt has the time of each withdrawal of a route, by the route's path
	// prefix.
	withdrawnAt map[string]time.Time
	// operating is held while an operator writes, and during a restore of the store.
	operating sync.Mutex
	// drained is the failure domain that an operator drains.
	drained drainedDomain
	// storeFaults records when the store was away or being restored.
	storeFaults spans
	// registering is held while a target is registered after a crash, or leaves at the end of the soak.
	registering sync.Mutex
	// leavingTarget is the target that left at the end of the soak, at leftAt.
	leavingTarget *targetfake.Target
	leftAt        time.Time
	// isolatedVM is the VM that was isolated at that time: it cannot know that the
	// target has left.
	isolatedVM *process
}

// Run starts a fleet, sends requests while it injects faults, and reports what was
// observed.
func Run(ctx context.Context, set Settings) (*Report, error) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // Temporary files that are left do no harm.
	pgr, err := playground.Start(ctx, playground.Settings{Targets: set.Targets, Latency: meanLatency, Log: io.Discard, Note: firstNote})
	if err != nil {
		return nil, err
	}
	defer pgr.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rep := &Report{seed: set.Seed}
	flt := &fleet{set: set, rnd: rand.New(rand.NewPCG(set.Seed, set.Seed)), rep: rep, pgr: pgr, dir: dir, withdrawnAt: make(map[string]time.Time)}
	defer flt.close()
	if err := flt.start(ctx); err != nil {
		return nil, err
	}
	load := &load{flt: flt}
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wgr sync.WaitGroup
	wgr.Go(func() { load.sendAtRate(sendCtx, set.PerSecond, load.send) })
	wgr.Go(func() { load.sendAtRate(sendCtx, smallPerSecond, load.sendSmall) })
	wgr.Go(func() { load.sendAtRate(sendCtx, slowPerSecond, load.sendSlow) })
	wgr.Go(func() { load.sendAtRate(sendCtx, uploadsPerSecond, load.sendUploads) })
	time.Sleep(faultFreeTime)
	announceCtx, stopAnnouncing := context.WithTimeout(sendCtx, set.FaultTime)
	for stream := range uint64(announcementStreams) {
		wgr.Go(func() { flt.announce(announceCtx, stream) })
	}
	wgr.Go(func() { flt.drain(announceCtx) })
	wgr.Go(func() { load.sendAtRate(announceCtx, earlyPerSecond, load.sendEarly) })
	if set.Restores {
		wgr.Go(func() {
			restoreCtx, stopRestoring := context.WithTimeout(announceCtx, max(set.FaultTime-leaseTime, 0))
			defer stopRestoring()
			flt.restoreStore(restoreCtx)
		})
	}
	if set.Production != "" {
		flt.scheduleUpgrades(time.Now())
		wgr.Go(func() { flt.upgrade(announceCtx) })
	}
	for num := range crashStreams {
		wgr.Go(func() { load.sendCrashes(sendCtx, num) })
	}
	flt.injectFaults(ctx)
	stopAnnouncing()
	load.afterFaults.Store(true)
	time.Sleep(faultFreeTime)
	load.afterFaults.Store(false)
	flt.runIsolation(ctx)
	stop()
	wgr.Wait()
	rep.coverage = flt.coverage()
	rep.verify(flt)
	return rep, nil
}

// start starts the VMs, with proxies between them, the store and the targets, and
// divides them at random: a third of them, rounded up, are faultVMs, the others
// lifecycleVMs.
func (flt *fleet) start(ctx context.Context) error {
	for num, tgt := range flt.pgr.Targets {
		prx, err := newProxy(ctx, flt.pgr.TargetAddresses[num])
		if err == nil {
			tgt.OnCrash(func() { flt.crashTarget(ctx, tgt, prx) })
			err = tgt.Register(prx.address(), false)
		}
		if err != nil {
			return err
		}
		flt.targetProxies = append(flt.targetProxies, prx)
	}
	for num := range flt.set.VMs {
		set, err := playground.VMSettings(num, flt.pgr.StoreAddress)
		store, storeErr := newProxy(ctx, flt.pgr.StoreAddress)
		peers, peersErr := newProxy(ctx, set.PeerAddress)
		if err := errors.Join(err, storeErr, peersErr); err != nil {
			return err
		}
		prc := &process{flt: flt, set: set, settingsFile: filepath.Join(flt.dir, set.Name), store: store, peers: peers, idleConns: make(chan *conn, maxIdleConns)}
		prc.writeSettings(lowLimitSettings)
		if err := prc.start(); err != nil {
			return err
		}
		flt.vms = append(flt.vms, prc)
	}
	flt.rnd.Shuffle(len(flt.vms), func(one, two int) { flt.vms[one], flt.vms[two] = flt.vms[two], flt.vms[one] })
	faultCount := (len(flt.vms) + 2) / 3
	flt.faultVMs, flt.lifecycleVMs = flt.vms[:faultCount], flt.vms[faultCount:]
	return nil
}

// The path prefixes of the routes that are withdrawn: one while faults are injected,
// and one at the end, while a VM is isolated.
const (
	sparePath = "/spare/"
	latePath  = "/late/"
)

// firstNote is the playground's release note with these routes and an organisation
// that has a small quota.
var firstNote = strings.NewReplacer(
	"organisations: [", fmt.Sprintf("organisations: [{name: %s, rate: %d, burst: %d}, ", smallOrganisation, smallRate, smallBurst),
	"keys: [", fmt.Sprintf("keys: [{organisation: %s, secret: %s}, ", smallOrganisation, smallKey),
).Replace(playground.Note) + extraRoute("spare", sparePath) + extraRoute("late", latePath)

// extraRoute returns the line of a release note that adds a route.
func extraRoute(name, path string) string {
	return fmt.Sprintf("    - {name: %s, pathPrefix: %s, service: recipes, idempotent: true, timeout: 2s, latencyGoal: 500ms, maxAttempts: 2}\n", name, path)
}

// close kills the VMs and waits until they have exited.
func (flt *fleet) close() {
	for _, prc := range flt.vms {
		prc.signal(syscall.SIGKILL)
		<-prc.run.Load().exited
	}
}

// coverage returns a line that lists the cells that are not covered.
func (flt *fleet) coverage() string {
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

// injectFaults injects faults, several at a time, and takes lifecycleVMs through
// their phases, until Settings.FaultTime is over. It returns when every fault has
// been removed. Halfway it removes the store's faults, so that it can withdraw a route.
func (flt *fleet) injectFaults(ctx context.Context) {
	end := time.Now().Add(flt.set.FaultTime)
	var wgr sync.WaitGroup
	for _, lfc := range newLifecycles(flt, flt.lifecycleVMs, end) {
		wgr.Go(func() { lfc.run(ctx) })
	}
	withdraw := time.Now().Add(flt.set.FaultTime / 2)
	for time.Now().Before(end) && ctx.Err() == nil {
		inject, dur := flt.pickFault()
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

// pickFault draws a random fault and how long it lasts.
func (flt *fleet) pickFault() (inject func(dur time.Duration), dur time.Duration) {
	dur = time.Duration(300+flt.rnd.IntN(2500)) * time.Millisecond
	prc := flt.faultVMs[flt.rnd.IntN(len(flt.faultVMs))]
	num := flt.rnd.IntN(len(flt.pgr.Targets))
	faults := []func(dur time.Duration){
		func(time.Duration) { prc.restart(syscall.SIGKILL) },
		func(time.Duration) { prc.restart(syscall.SIGTERM) },
		prc.pause,
		func(dur time.Duration) { flt.injectLinkFaults(prc.store, "store of "+prc.set.Name, dur) },
		func(dur time.Duration) { flt.injectLinkFaults(prc.peers, "peers of "+prc.set.Name, dur) },
		func(dur time.Duration) { flt.injectLinkFaults(flt.targetProxies[num], flt.pgr.Targets[num].ID(), dur) },
		func(dur time.Duration) { flt.injectTargetFaults(flt.pgr.Targets[num], dur) },
		flt.injectStoreFaults,
	}
	return faults[flt.rnd.IntN(len(faults))], dur
}

// injectLinkFaults lets the connections through a proxy fail for a time. The milliseconds
// of dur pick the fault, not flt.rnd, from which injectFaults draws concurrently.
func (flt *fleet) injectLinkFaults(prx *proxy, what string, dur time.Duration) {
	all := []linkFaults{{delay: 100 * time.Millisecond}, {muteUp: true}, {muteDown: true}, dropBoth, {reset: true}}
	fls := all[int(dur/time.Millisecond)%len(all)]
	flt.rep.faultf("%s: %+v for %v", what, fls, dur)
	prx.setFaults(fls)
	time.Sleep(dur)
	prx.setFaults(linkFaults{})
}

// injectTargetFaults lets a target hang, fail or cut some of its requests for a time.
func (flt *fleet) injectTargetFaults(tgt *targetfake.Target, dur time.Duration) {
	flt.rep.faultf("%s: sick for %v", tgt.ID(), dur)
	tgt.SetFaults(targetfake.Faults{Latency: meanLatency, HangShare: 0.4, FailShare: 0.2, CutShare: 0.1})
	time.Sleep(dur)
	tgt.SetFaults(targetfake.Faults{Latency: meanLatency})
}

// injectStoreFaults lets the store fail for a time, and then compacts its history. The
// milliseconds of dur pick the fault, as in injectLinkFaults.
func (flt *fleet) injectStoreFaults(dur time.Duration) {
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
	flt.rep.faultf("store: %+v for %v", fls, dur)
	flt.storeFaults.set(true)
	flt.pgr.Store.SetFaults(fls)
	time.Sleep(dur)
	flt.pgr.Store.SetFaults(storefake.Faults{})
	flt.storeFaults.set(false)
	flt.pgr.Store.Compact()
}

// withdraw withdraws a route by a release note that is based on version base.
func (flt *fleet) withdraw(ctx context.Context, base int, name, path string) {
	flt.operating.Lock()
	defer flt.operating.Unlock()
	doc := fmt.Sprintf("release: without-%s\nbase: %d\nwithdrawn: {routes: [%s]}\n", name, base, name)
	_, err := flt.pgr.Releases.Apply(ctx, []byte(doc), "soak")
	flt.rep.check(err)
	flt.rep.faultf("route %s withdrawn", name)
	flt.withdrawnAt[path] = time.Now()
}

// runIsolation isolates one VM from the platform and from other VMs' connections to
// it, withdraws a route and lets a target leave.
func (flt *fleet) runIsolation(ctx context.Context) {
	flt.isolatedVM = flt.vms[flt.rnd.IntN(len(flt.vms))]
	num := flt.rnd.IntN(len(flt.targetProxies))
	leaving := flt.pgr.Targets[num]
	flt.rep.faultf("%s: isolated for %v, %s leaves", flt.isolatedVM.set.Name, isolationTime, leaving.ID())
	flt.isolatedVM.store.setFaults(dropBoth)
	flt.isolatedVM.peers.setFaults(dropBoth)
	flt.withdraw(ctx, 2, "late", latePath)
	flt.registering.Lock()
	flt.leavingTarget = leaving
	flt.rep.check(leaving.Register(flt.targetProxies[num].address(), true))
	flt.leftAt = time.Now()
	flt.registering.Unlock()
	time.Sleep(isolationTime)
}
