package fence

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

// TestMain fixes the seed of the property tests, so that every run has the
// same verdict; -rapid.seed and -rapid.checks explore further.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

const testLease = 2 * time.Second

// simVM is a prover with clocks of its own.
type simVM struct {
	member.VM
	prv *Prover
	// offset is the difference of the VM's clocks from the world's time; stopped
	// is what its monotonic clock has lost while it was suspended.
	offset, stopped time.Duration
	paused          bool
	pausedAt        time.Duration
	noPlatform      bool
	wants           []Want
}

type simMessage struct {
	at       time.Duration
	from, to string
	msg      Message
}

// failer ends a test that has failed.
type failer interface {
	Fatalf(format string, args ...any)
}

// simWorld delivers messages in any order, at any time or never.
type simWorld struct {
	lease    time.Duration
	tst      failer
	now      time.Duration
	vms      []*simVM
	net      []simMessage
	heads    []Head
	views    map[uint64]member.View
	accepted map[uint64]time.Duration
	reads    []simRead
	rnd      *rand.Rand
	cut      map[[2]string]bool
	// away is set while the platform answers nobody.
	away bool
	// noisy makes messages late, repeated and lost.
	noisy bool
}

// simRead is a read of the platform whose answer is on its way.
type simRead struct {
	vmm   *simVM
	asked clock.Instant
	head  Head
}

func (wor *simWorld) instant(vmm *simVM) clock.Instant {
	at := wor.now + vmm.offset
	return clock.Instant{Mono: at - vmm.stopped, Wall: at}
}

func newSimWorld(tst failer, seed uint64, lease time.Duration, trust bool, domains int, listed []bool) *simWorld {
	wor := &simWorld{
		lease: lease, tst: tst, now: time.Hour, rnd: rand.New(rand.NewPCG(seed, 3)), views: make(map[uint64]member.View),
		accepted: make(map[uint64]time.Duration), cut: make(map[[2]string]bool),
	}
	var members []member.VM
	for num, isListed := range listed {
		vmm := &simVM{
			VM:     member.VM{ID: fmt.Sprintf("vm-%d", num), FailureDomain: fmt.Sprint(num % domains)},
			offset: time.Duration(num) * 7 * time.Minute,
		}
		vmm.prv = NewProver(vmm.VM, lease, trust)
		wor.vms = append(wor.vms, vmm)
		if isListed {
			members = append(members, vmm.VM)
		}
	}
	wor.views[1] = member.NewView(1, members)
	wor.heads = []Head{{Version: 1, Epoch: 1}}
	for _, vmm := range wor.vms {
		wor.hold(vmm, wor.heads[0])
	}
	return wor
}

// drawSimWorld returns a world of a few VMs, most of them listed in the view.
func drawSimWorld(tst *rapid.T) *simWorld {
	seed := rapid.Uint64().Draw(tst, "seed")
	rnd := rand.New(rand.NewPCG(seed, 4))
	listed := []bool{true}
	for range 2 + rnd.IntN(5) {
		listed = append(listed, rnd.IntN(4) > 0)
	}
	wor := newSimWorld(tst, seed, testLease, rnd.IntN(3) == 0, 1+rnd.IntN(3), listed)
	wor.noisy = true
	return wor
}

func (wor *simWorld) newest() Head { return wor.heads[len(wor.heads)-1] }

// prior returns the view before the one of an epoch.
func (wor *simWorld) prior(epoch uint64) member.View {
	var out member.View
	for _, hea := range wor.heads {
		if hea.Epoch < epoch {
			out = wor.views[hea.Epoch]
		}
	}
	return out
}

func (wor *simWorld) hold(vmm *simVM, hea Head) {
	vmm.prv.Hold(wor.instant(vmm), hea, wor.views[hea.Epoch], wor.prior(hea.Epoch))
	wor.collect(vmm)
}

func (wor *simWorld) collect(vmm *simVM) {
	for _, out := range vmm.prv.Take() {
		switch out := out.(type) {
		case Send:
			wor.post(vmm, out)
		case Want:
			vmm.wants = append(vmm.wants, out)
		case ReadPlatform:
			wor.reads = append(wor.reads, simRead{vmm: vmm, asked: wor.instant(vmm), head: wor.newest()})
		}
	}
	if acc := vmm.prv.Accepted(); acc > 0 {
		if _, known := wor.accepted[acc]; !known {
			wor.accepted[acc] = wor.now
		}
	}
}

// post sends a message that is mostly quick, sometimes late, twice or lost.
func (wor *simWorld) post(vmm *simVM, snd Send) {
	if wor.cut[[2]string{vmm.ID, snd.To}] {
		return
	}
	delay := time.Duration(wor.rnd.Int64N(int64(10 * time.Millisecond)))
	if !wor.noisy {
		wor.net = append(wor.net, simMessage{at: wor.now + delay, from: vmm.ID, to: snd.To, msg: snd.Message})
		return
	}
	if wor.rnd.IntN(40) == 0 {
		return
	}
	if wor.rnd.IntN(5) == 0 {
		delay += time.Duration(wor.rnd.Int64N(int64(2 * time.Second)))
	}
	sim := simMessage{at: wor.now + delay, from: vmm.ID, to: snd.To, msg: snd.Message}
	wor.net = append(wor.net, sim)
	if wor.rnd.IntN(10) == 0 {
		sim.at += time.Duration(wor.rnd.Int64N(int64(3 * time.Second)))
		wor.net = append(wor.net, sim)
	}
}

// check fails if any VM acts on a head although a newer one has been accepted
// for longer than a lease.
func (wor *simWorld) check() {
	for _, vmm := range wor.vms {
		held := vmm.prv.Lease().Held()
		if vmm.paused || !vmm.prv.Lease().Active(wor.instant(vmm)) {
			continue
		}
		for version, at := range wor.accepted {
			if version > held && wor.now-at > wor.lease {
				wor.tst.Fatalf("%s acts on version %d although %d was accepted %v ago", vmm.ID, held, version, wor.now-at)
			}
		}
	}
}

func (wor *simWorld) vm(id string) *simVM {
	return wor.vms[slices.IndexFunc(wor.vms, func(vmm *simVM) bool { return vmm.ID == id })]
}

func (wor *simWorld) pick() *simVM {
	return wor.vms[wor.rnd.IntN(len(wor.vms))]
}

func (wor *simWorld) write() {
	hea := wor.newest()
	hea.Version++
	// A view changes only once the one before is accepted.
	_, settled := wor.accepted[hea.Epoch]
	if settled && wor.rnd.IntN(2) == 0 {
		vie := wor.views[hea.Epoch]
		var added []member.VM
		var removed []string
		for _, vmm := range wor.vms {
			_, listed := vie.VM(vmm.ID)
			switch {
			case wor.rnd.IntN(3) > 0:
			case listed && 2*(len(removed)+1) < vie.Size():
				removed = append(removed, vmm.ID)
			case !listed:
				added = append(added, vmm.VM)
			}
		}
		hea.Epoch = hea.Version
		wor.views[hea.Epoch] = vie.With(hea.Epoch, added, removed)
	}
	wor.heads = append(wor.heads, hea)
}

// run lets the fleet run for a while under the present cuts and faults.
func (wor *simWorld) run(dur time.Duration) {
	const step = 20 * time.Millisecond
	for end := wor.now + dur; wor.now < end; {
		wor.now += step
		wor.deliver()
		for _, vmm := range wor.vms {
			if !vmm.paused {
				vmm.prv.Tick(wor.instant(vmm))
				wor.collect(vmm)
				wor.loadOne(vmm)
			}
		}
		wor.check()
	}
}

// deliver delivers what is due, and reads of the platform.
func (wor *simWorld) deliver() {
	due := slices.Clone(wor.net)
	wor.net = wor.net[:0]
	for _, sim := range due {
		to := wor.vm(sim.to)
		switch {
		case sim.at > wor.now || to.paused:
			wor.net = append(wor.net, sim)
		default:
			to.prv.Receive(wor.instant(to), sim.from, sim.msg)
			wor.collect(to)
		}
	}
	for len(wor.reads) > 0 {
		wor.read()
	}
}

func (wor *simWorld) loadOne(vmm *simVM) {
	if len(vmm.wants) > 0 && wor.rnd.IntN(4) == 0 {
		want := vmm.wants[len(vmm.wants)-1]
		vmm.wants = nil
		wor.hold(vmm, want.Head)
	}
}

func (wor *simWorld) step() {
	switch wor.rnd.IntN(10) {
	case 0, 1, 2:
		wor.run(time.Duration(200+wor.rnd.IntN(3500)) * time.Millisecond)
	case 3, 4:
		wor.write()
	case 5:
		wor.pause(wor.pick())
	case 6:
		one, two := wor.pick(), wor.pick()
		way := [2]string{one.ID, two.ID}
		wor.cut[way] = !wor.cut[way]
	case 7:
		// Cuts one VM off from the platform and from a few others.
		vmm := wor.pick()
		vmm.noPlatform = !vmm.noPlatform
		for _, other := range wor.vms {
			if wor.rnd.IntN(2) == 0 {
				wor.cut[[2]string{vmm.ID, other.ID}] = vmm.noPlatform
				wor.cut[[2]string{other.ID, vmm.ID}] = vmm.noPlatform
			}
		}
	case 8:
		wor.away = !wor.away
	case 9:
		clear(wor.cut)
	}
	wor.check()
}

// pause suspends a VM or wakes it; its monotonic clock may stand still.
func (wor *simWorld) pause(vmm *simVM) {
	vmm.paused = !vmm.paused
	if vmm.paused {
		vmm.pausedAt = wor.now
		return
	}
	if wor.rnd.IntN(2) == 0 {
		vmm.stopped += wor.now - vmm.pausedAt
	}
}

func (wor *simWorld) read() {
	rea := wor.reads[0]
	wor.reads = wor.reads[1:]
	switch {
	case rea.vmm.paused:
		return
	case wor.away || rea.vmm.noPlatform:
		rea.vmm.prv.PlatformFailed(wor.rnd.Float64())
		return
	}
	hea := rea.head
	if !rea.vmm.prv.trustReads && wor.rnd.IntN(3) == 0 {
		hea = wor.heads[wor.rnd.IntN(len(wor.heads))]
	}
	rea.vmm.prv.PlatformRead(wor.instant(rea.vmm), rea.asked, hea)
	wor.collect(rea.vmm)
}

// No VM acts on a head for longer than a lease after a newer one has been
// accepted, whatever is lost, late, repeated, out of order, stale, paused or
// suspended.
func TestNoVMActsAgainstAnAcceptedHead(t *testing.T) {
	rapid.Check(t, func(tst *rapid.T) {
		wor := drawSimWorld(tst)
		for range 10 + wor.rnd.IntN(40) {
			wor.step()
		}
	})
}
