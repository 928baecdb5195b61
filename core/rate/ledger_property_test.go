package rate

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

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

const orgName = "studio"

// schedule draws what happens to a fleet.
type schedule struct {
	*world
	tst *rapid.T
	acc *accountant
}

func newSchedule(tst *rapid.T) *schedule {
	lim := Limit{
		Rate:  RequestsPerSecond(float64(rapid.IntRange(1, 400).Draw(tst, "rate"))),
		Burst: Requests(float64(rapid.IntRange(1, 200).Draw(tst, "burst"))),
	}
	vms := rapid.IntRange(2, 7).Draw(tst, "vms")
	sch := &schedule{tst: tst, acc: &accountant{lim: lim}}
	sch.world = newWorld(rapid.Uint64().Draw(tst, "seed"), vms, map[string]Limit{orgName: lim})
	sch.faults = netFaults{
		loss:   rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(tst, "loss"),
		repeat: rapid.SampledFrom([]float64{0, 0.2}).Draw(tst, "repeat"),
		late:   rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(tst, "late"),
	}
	sch.onDecided = func(_ *simVM, _ string, dec Decided) {
		if !dec.Admitted {
			return
		}
		if err := sch.acc.admit(sch.now); err != nil {
			tst.Fatal(err)
		}
	}
	return sch
}

func (sch *schedule) pick(label string) *simVM {
	return sch.vms[rapid.IntRange(0, len(sch.vms)-1).Draw(sch.tst, label)]
}

// settle narrows the accountant once no VM can act on a higher limit.
func (sch *schedule) settle() {
	top := Limit{}
	for _, vmm := range sch.vms {
		if sch.now-vmm.proved < testLease && !vmm.dead {
			lim := sch.heads[vmm.head].limits[orgName].Limit
			top = Limit{Rate: max(top.Rate, lim.Rate), Burst: max(top.Burst, lim.Burst)}
		}
	}
	if top != (Limit{}) && top != sch.acc.lim {
		sch.acc.decay(sch.now)
		if top.Rate < sch.acc.lim.Rate || top.Burst < sch.acc.lim.Burst {
			sch.acc.level = 0
		}
		sch.acc.lim = top
	}
}

func (sch *schedule) load() {
	skew := rapid.IntRange(1, len(sch.vms)).Draw(sch.tst, "skew")
	cnt := rapid.IntRange(1, 60).Draw(sch.tst, "requests")
	for range cnt {
		sch.settle()
		sch.arrive(sch.vms[sch.rnd.IntN(skew)], orgName)
		if sch.rnd.IntN(3) == 0 {
			sch.advance(time.Duration(1+sch.rnd.IntN(5)) * time.Millisecond)
		}
	}
}

// act draws one happening.
func (sch *schedule) act() {
	switch rapid.IntRange(0, 13).Draw(sch.tst, "act") {
	case 0, 1, 2, 3:
		sch.load()
	case 4:
		sch.advance(time.Duration(rapid.IntRange(1, 800).Draw(sch.tst, "ms")) * time.Millisecond)
	case 5:
		sch.advance(testLease + testLease/10)
	case 6, 7:
		if vmm := sch.pick("adopter"); !vmm.dead && !vmm.paused {
			sch.adopt(vmm)
		}
	case 8:
		for _, vmm := range sch.vms {
			if !vmm.dead && !vmm.paused {
				sch.adopt(vmm)
			}
		}
	case 9:
		sch.changeMembers()
	case 10:
		vmm := sch.pick("pausing")
		vmm.paused = !vmm.paused
	case 11:
		sch.pick("dying").dead = true
	case 12:
		one, two := sch.pick("from"), sch.pick("to")
		way := [2]string{one.ID, two.ID}
		sch.cut[way] = !sch.cut[way]
	case 13:
		lim := Limit{
			Rate:  RequestsPerSecond(float64(rapid.IntRange(1, 400).Draw(sch.tst, "new rate"))),
			Burst: Requests(float64(rapid.IntRange(1, 200).Draw(sch.tst, "new burst"))),
		}
		sch.changeLimit(orgName, lim)
	}
}

func (sch *schedule) changeMembers() {
	if rapid.Bool().Draw(sch.tst, "join") && len(sch.vms) < 12 {
		vmm := sch.newVM()
		sch.adopt(vmm)
		if rapid.Bool().Draw(sch.tst, "listed") {
			sch.changeView([]member.VM{vmm.VM}, nil)
		}
		return
	}
	// A view never drops half of the members at once; see docs/design.
	if vie := sch.newest().fleet.View; vie.Size() > 2 {
		sch.changeView(nil, []string{vie.VMs()[sch.rnd.IntN(vie.Size())].ID})
	}
}

// The fleet never admits more than rate and burst over any window, whatever is
// lost, late, repeated, paused, cut off or changed.
func TestLedgerNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(tst *rapid.T) {
		sch := newSchedule(tst)
		for range rapid.IntRange(1, 60).Draw(tst, "steps") {
			sch.settle()
			sch.act()
		}
	})
}
