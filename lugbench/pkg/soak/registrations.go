package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// maxWriteDelay is the longest time after which the store carries out a late write of a target.
	maxWriteDelay = 3 * time.Second
	// heartbeatTime is how long after the last late write the target writes its entry again.
	heartbeatTime = 1500 * time.Millisecond
)

// withdrawEntry lets a target that leaves say so by its entry, or remove that, or do neither.
func (flt *fleet) withdrawEntry(rnd *rand.Rand, num int) {
	flt.registering.Lock()
	defer flt.registering.Unlock()
	tgt, address := flt.pgr.Targets[num], flt.targetProxies[num].address()
	flt.rep.check(tgt.RegisterLate(address, randomDelay(rnd)))
	switch rnd.IntN(3) {
	case 0:
		flt.rep.check(tgt.Register(address, true))
	case 1:
		tgt.Deregister()
	}
}

// startAgain starts another run of a target under its name. Its entry is written late, as is one of the run
// before.
func (flt *fleet) startAgain(rnd *rand.Rand, num int) {
	tgt, address := flt.pgr.Targets[num], flt.targetProxies[num].address()
	before, first := randomDelay(rnd), randomDelay(rnd)
	flt.rep.check(tgt.RegisterLate(address, before))
	tgt.Restart()
	flt.rep.check(tgt.RegisterLate(address, first))
	time.AfterFunc(max(before, first)+heartbeatTime, func() { flt.register(num) })
}

// register writes the present entry of a target.
func (flt *fleet) register(num int) {
	flt.registering.Lock()
	defer flt.registering.Unlock()
	tgt := flt.pgr.Targets[num]
	flt.rep.check(tgt.Register(flt.targetProxies[num].address(), tgt == flt.leavingTarget))
}

func randomDelay(rnd *rand.Rand) time.Duration { return randomTime(rnd, maxWriteDelay) }
