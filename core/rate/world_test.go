package rate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

const testLease = 2 * time.Second

// world runs ledgers in virtual time over a network that loses, repeats and
// delays messages.
type world struct {
	rnd    *rand.Rand
	now    time.Duration
	vms    []*simVM
	heads  []simHead
	net    []packet
	nextVM int
	nextID uint64
	faults netFaults
	// cut holds the directions in which no message passes.
	cut map[[2]string]bool
	// delay is the time one way.
	delay     time.Duration
	messages  int
	onDecided func(vmm *simVM, organisation string, dec Decided)
}

type netFaults struct {
	loss, repeat, late float64
}

type simHead struct {
	fleet  Fleet
	limits map[string]Allowance
}

type simVM struct {
	member.VM
	led  *Ledger
	head int
	// proved is the last moment at which a majority of the view could still
	// vouch for the head that the VM holds.
	proved time.Duration
	dead   bool
	paused bool
	asked  map[uint64]string
}

type packet struct {
	at       time.Duration
	seq      uint64
	from, to string
	msg      Message
}

func newWorld(seed uint64, vms int, limits map[string]Limit) *world {
	wor := &world{rnd: rand.New(rand.NewPCG(seed, 7)), cut: make(map[[2]string]bool), delay: 1500 * time.Microsecond}
	alws := make(map[string]Allowance)
	for organisation, lim := range limits {
		alws[organisation] = Allowance{Limit: lim, Created: 1, Changed: 1}
	}
	var members []member.VM
	for range vms {
		members = append(members, wor.newVM().VM)
	}
	wor.heads = []simHead{{}, {fleet: Fleet{Version: 1, View: member.NewView(1, members), LimitsVersion: 1}, limits: alws}}
	for _, vmm := range wor.vms {
		wor.adopt(vmm)
	}
	return wor
}

func (wor *world) instant() clock.Instant { return clock.At(wor.now) }

func (wor *world) newVM() *simVM {
	wor.nextVM++
	vmm := &simVM{
		VM:    member.VM{ID: fmt.Sprintf("vm-%02d", wor.nextVM), FailureDomain: fmt.Sprint(wor.nextVM % 3)},
		asked: make(map[uint64]string),
	}
	vmm.led = NewLedger(vmm.ID, testLease, func(organisation string) (Allowance, bool) {
		alw, found := wor.heads[vmm.head].limits[organisation]
		return alw, found
	})
	wor.vms = append(wor.vms, vmm)
	return vmm
}

func (wor *world) newest() simHead { return wor.heads[len(wor.heads)-1] }

// adopt gives a VM the newest head.
func (wor *world) adopt(vmm *simVM) {
	vmm.head = len(wor.heads) - 1
	vmm.proved = wor.now
	vmm.led.Adopt(wor.instant(), wor.newest().fleet)
	wor.collect(vmm)
}

func (wor *world) changeView(added []member.VM, removed []string) {
	hea := wor.newest()
	version := hea.fleet.Version + 1
	hea.fleet = Fleet{Version: version, View: hea.fleet.View.With(version, added, removed), LimitsVersion: hea.fleet.LimitsVersion}
	wor.heads = append(wor.heads, hea)
}

func (wor *world) changeLimit(organisation string, lim Limit) {
	hea := wor.newest()
	limits := make(map[string]Allowance)
	for name, alw := range hea.limits {
		limits[name] = alw
	}
	hea.fleet.Version++
	hea.fleet.LimitsVersion = hea.fleet.Version
	alw := limits[organisation]
	alw.Limit, alw.Changed = lim, hea.fleet.Version
	limits[organisation] = alw
	hea.limits = limits
	wor.heads = append(wor.heads, hea)
}

func (wor *world) vm(id string) *simVM {
	idx := slices.IndexFunc(wor.vms, func(vmm *simVM) bool { return vmm.ID == id })
	if idx < 0 {
		panic("no VM " + id)
	}
	return wor.vms[idx]
}

// acts reports whether the lease of a VM permits it to admit requests.
func (wor *world) acts(vmm *simVM) bool {
	return !vmm.dead && !vmm.paused && vmm.head > 0 && wor.now-vmm.proved < testLease
}

// renew extends the lease of every VM for whose head a majority of its view
// still vouches, as if no VM were ever cut off from that majority.
func (wor *world) renew() {
	for _, vmm := range wor.vms {
		vie := wor.heads[vmm.head].fleet.View
		vouching := 0
		for _, other := range wor.vms {
			if _, found := vie.VM(other.ID); found && !other.dead && other.head <= vmm.head {
				vouching++
			}
		}
		if vouching >= vie.Majority() {
			vmm.proved = wor.now
		}
	}
}

func (wor *world) collect(vmm *simVM) {
	for _, out := range vmm.led.Take() {
		switch out := out.(type) {
		case Send:
			wor.post(vmm.ID, out)
		case Decided:
			organisation := vmm.asked[out.Request]
			delete(vmm.asked, out.Request)
			wor.decided(vmm, organisation, out)
		}
	}
}

func (wor *world) decided(vmm *simVM, organisation string, dec Decided) {
	if dec.Admitted && !wor.acts(vmm) {
		dec.Admitted = false // The lease is checked again right before dispatch.
	}
	wor.onDecided(vmm, organisation, dec)
}

func (wor *world) post(from string, snd Send) {
	wor.messages++
	if wor.cut[[2]string{from, snd.To}] || wor.rnd.Float64() < wor.faults.loss {
		return
	}
	copies := 1
	if wor.rnd.Float64() < wor.faults.repeat {
		copies = 2
	}
	for range copies {
		delay := wor.delay + time.Duration(wor.rnd.Int64N(int64(time.Millisecond)))
		if wor.rnd.Float64() < wor.faults.late {
			delay += time.Duration(wor.rnd.Int64N(int64(3 * time.Second)))
		}
		wor.nextID++
		wor.net = append(wor.net, packet{at: wor.now + delay, seq: wor.nextID, from: from, to: snd.To, msg: snd.Message})
	}
}

// arrive sends a request to a VM.
func (wor *world) arrive(vmm *simVM, organisation string) {
	if !wor.acts(vmm) {
		return
	}
	wor.nextID++
	dec, decided := vmm.led.Admit(wor.instant(), organisation, wor.nextID)
	if decided {
		wor.decided(vmm, organisation, dec)
	} else {
		vmm.asked[wor.nextID] = organisation
	}
	wor.collect(vmm)
}

// advance runs the network and the ticks up to a time.
func (wor *world) advance(dur time.Duration) {
	const step = time.Millisecond
	const tick = 50 * time.Millisecond
	for end := wor.now + dur; wor.now < end; {
		wor.now += step
		wor.renew()
		wor.deliver()
		if wor.now%tick == 0 {
			for _, vmm := range wor.vms {
				if !vmm.dead && !vmm.paused {
					vmm.led.Tick(wor.instant())
					wor.collect(vmm)
				}
			}
		}
	}
}

func (wor *world) deliver() {
	var due, rest []packet
	for _, pck := range wor.net {
		if pck.at <= wor.now {
			due = append(due, pck)
		} else {
			rest = append(rest, pck)
		}
	}
	wor.net = rest
	slices.SortFunc(due, func(one, two packet) int {
		if one.at != two.at {
			return int(one.at - two.at)
		}
		return int(one.seq) - int(two.seq)
	})
	for _, pck := range due {
		vmm := wor.vm(pck.to)
		switch {
		case vmm.dead:
		case vmm.paused:
			pck.at = wor.now + 10*time.Millisecond
			wor.net = append(wor.net, pck)
		default:
			vmm.led.Receive(wor.instant(), pck.from, pck.msg)
			wor.collect(vmm)
		}
	}
}

// accountant checks that admitted requests stay within rate and burst over
// every window.
type accountant struct {
	lim      Limit
	level    float64
	at       time.Duration
	admitted int
	worst    float64
}

func (acc *accountant) decay(now time.Duration) {
	acc.level = max(0, acc.level-acc.lim.Rate.Float()*(now-acc.at).Seconds())
	acc.at = now
}

func (acc *accountant) admit(now time.Duration) error {
	acc.decay(now)
	acc.level++
	acc.admitted++
	acc.worst = max(acc.worst, acc.level)
	if acc.level > acc.lim.Burst.Float()+1e-6 {
		return fmt.Errorf("at %v the organisation is %.3f requests above its burst of %v", now, acc.level-acc.lim.Burst.Float(), acc.lim.Burst.Float())
	}
	return nil
}
