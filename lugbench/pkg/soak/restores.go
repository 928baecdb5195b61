package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/lugd/pkg/driver"
	"marigoldlug.example/platform/pkg/objects"
)

const (
	// restoreStream separates the random numbers of restores of the store from those of other streams.
	restoreStream = 1 << 34
	// meanRestoreInterval is the mean time between two restores.
	meanRestoreInterval = 3 * time.Second
	// leaseTime is for how long a role may grant nothing after a restore; the last restore is as long before the
	// faults end.
	leaseTime = 5050 * time.Millisecond
	// maxBackupAge is how old a backup is at most when the store is restored from it, and maxAwayTime for how long
	// the store is away before that.
	maxBackupAge = 3 * time.Second
	maxAwayTime  = time.Second
	// maxRedoTime is when the operator and the targets have written again what was lost, and expiryTime when the
	// entry of a target expires that has not written it again.
	maxRedoTime = 1500 * time.Millisecond
	expiryTime  = 3 * heartbeatTime
	// standstillStream separates the random numbers of standstills from those of other streams, and maxStandstill is for how long a VM
	// that knows what the store has lost stands still at most.
	standstillStream = 1 << 37
	maxStandstill    = 4 * time.Second
)

// The kinds of objects that others than VMs write, and write again after a restore.
const (
	configKind   = "config"
	releasesKind = "releases"
	targetsKind  = objects.KindTargets
	drainsKind   = objects.KindDrains
)

// restoreStore restores the store from a backup at random times, sometimes twice in a row, until ctx is done.
func (flt *fleet) restoreStore(ctx context.Context) {
	rnd, still := rand.New(rand.NewPCG(flt.set.Seed, restoreStream)), rand.New(rand.NewPCG(flt.set.Seed, standstillStream))
	for {
		driver.Sleep(ctx, time.Duration(rnd.ExpFloat64()*float64(meanRestoreInterval)))
		if ctx.Err() != nil {
			return
		}
		if still.IntN(2) == 0 {
			prc := flt.faultVMs[still.IntN(len(flt.faultVMs))]
			from, dur := randomTime(still, maxBackupAge), randomTime(still, maxStandstill)
			time.AfterFunc(from, func() { prc.pause(dur) })
		}
		flt.restoreOnce(ctx, rnd)
	}
}

// restoreOnce takes a backup, lets the store go on for a while, takes it away and restores it. Operators write nothing
// meanwhile; their last writes may be lost. Every other time a VM is killed then and starts again.
func (flt *fleet) restoreOnce(ctx context.Context, rnd *rand.Rand) {
	sto := flt.pgr.Store
	bak := sto.Backup()
	driver.Sleep(ctx, randomTime(rnd, maxBackupAge))
	flt.operating.Lock()
	defer flt.operating.Unlock()
	flt.storeFaults.set(true)
	defer flt.storeFaults.set(false)
	sto.SetFaults(storefake.Faults{Reset: true})
	time.Sleep(randomTime(rnd, maxAwayTime))
	lost := sto.Backup()
	times := 1 + rnd.IntN(2)
	for range times {
		sto.Restore(bak)
	}
	sto.SetFaults(storefake.Faults{})
	flt.rep.faultf("the store is restored %d times, from revision %d to %d", times, lost.Revision(), bak.Revision())
	for _, name := range storefake.Lost(targetsKind, lost, bak) {
		wait := randomTime(rnd, maxRedoTime)
		if lost.Spec(targetsKind, name) == nil {
			wait = expiryTime
		}
		time.AfterFunc(wait, func() { sto.Redo(targetsKind, name, lost, bak) })
	}
	var wgr sync.WaitGroup
	defer wgr.Wait()
	if rnd.IntN(2) == 0 {
		prc := flt.faultVMs[rnd.IntN(len(flt.faultVMs))]
		wgr.Go(func() { prc.restart(syscall.SIGKILL) }) // It starts while the store lacks what was lost.
	}
	time.Sleep(randomTime(rnd, maxRedoTime))
	for _, kind := range []string{configKind, releasesKind, drainsKind} {
		for _, name := range storefake.Lost(kind, lost, bak) {
			sto.Redo(kind, name, lost, bak)
		}
	}
}

func randomTime(rnd *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(limit)))
}
