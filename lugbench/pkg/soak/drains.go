package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/pkg/driver"
	"marigoldlug.example/platform/pkg/objects"
)

const (
	// drainStream separates the random numbers of drains from those of other streams.
	drainStream = 1 << 35
	// drainTime is the domain-drain-time of VMs: how long requests may be sent to the targets of a failure domain that
	// was drained. While the store is unstable they may for unstableDrainTime.
	drainTime         = 5 * time.Second
	unstableDrainTime = 10 * time.Second
	// drainedShare is the share of the time with faults for which a failure domain is drained.
	drainedShare = 0.8
	// touchTime is how long a VM must have run and reached the store and others to be held to a drain.
	touchTime = 3 * time.Second
)

// drainedDomain is the failure domain that an operator drains while faults are injected.
type drainedDomain struct {
	name string
	span span
}

// drain drains a random failure domain, and takes it back before the faults end.
func (flt *fleet) drain(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(flt.set.Seed, drainStream))
	domain := flt.pgr.Targets[rnd.IntN(len(flt.pgr.Targets))].FailureDomain()
	flt.operate(func() {
		_, err := flt.pgr.Store.Put(objects.KindDrains, domain, struct{}{})
		flt.rep.check(err)
		flt.drained = drainedDomain{name: domain, span: span{from: time.Now()}}
	})
	flt.rep.faultf("%s drained", domain)
	driver.Sleep(ctx, time.Duration(drainedShare*float64(flt.set.FaultTime)))
	flt.operate(func() {
		flt.drained.span.until = time.Now()
		flt.pgr.Store.Remove(objects.KindDrains, domain)
	})
	flt.rep.faultf("%s taken back", domain)
}

// operate calls a function while the store is not being restored.
func (flt *fleet) operate(write func()) {
	flt.operating.Lock()
	defer flt.operating.Unlock()
	write()
}

// verifyDrain checks that VMs sent nothing to the targets of the drained failure domain.
func (rep *Report) verifyDrain(flt *fleet) {
	reqs := make(map[string]sentRequest)
	for _, req := range rep.requests {
		reqs[req.id] = req
	}
	for _, tgt := range flt.pgr.Targets {
		if tgt.FailureDomain() != flt.drained.name {
			continue
		}
		for _, arr := range tgt.Arrivals() {
			rep.verifyUndrained(flt, tgt, arr, reqs[arr.Request])
		}
	}
}

// verifyUndrained checks that a request did not reach a target too long after its failure domain was drained.
func (rep *Report) verifyUndrained(flt *fleet, tgt *targetfake.Target, arr targetfake.Arrival, req sentRequest) {
	drn := flt.drained.span
	bound := drainTime
	if flt.storeFaults.overlaps(drn.from, arr.At) {
		bound = unstableDrainTime
	}
	if arr.At.Sub(drn.from) <= bound || arr.At.After(drn.until) || req.vm == nil || !req.run.isPresent(flt.set) || req.outOfTouch(arr.At) {
		return
	}
	rep.violationf("%s got %s of %s %v after its failure domain was drained", tgt.ID(), arr.Request, req.vm.set.Name, arr.At.Sub(drn.from))
}

// isPresent reports whether a VM is of the present program, which keeps to drains, and not of Settings.Production.
func (run *programRun) isPresent(set Settings) bool { return run.program == set.Program }

// outOfTouch reports whether the VM of a request had just started, was paused, or was cut off from the store or from others,
// at a time or shortly before.
func (req sentRequest) outOfTouch(at time.Time) bool {
	from := at.Add(-touchTime)
	return req.run.startedAt.After(from) || req.vm.unstable(at) || req.vm.store.faulty.overlaps(from, at)
}

// drainFlags returns the flags by which a program keeps to drains. Those of Settings.Production do not know them.
func (set Settings) drainFlags(program string) []string {
	if program != set.Program {
		return nil
	}
	return []string{"--domain-drain-time=" + drainTime.String()}
}
