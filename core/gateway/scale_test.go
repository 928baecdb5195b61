package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

// The size of the fleet for which the software is designed.
const (
	fullScaleVMs      = 810
	fullScaleServices = 150
	fullScaleTargets  = 8600
	fullScaleDomains  = 10
)

// newFullScale returns a machine that knows a fleet of the full design size.
func newFullScale() (*Machine, clock.Instant) {
	now := clock.At(time.Hour)
	var vms []table.Row[fleet.Row]
	for num := range fullScaleVMs {
		name := fmt.Sprint("vm-", num)
		vmm := member.VM{ID: name + ".r", FailureDomain: fmt.Sprint("domain-", num%fullScaleDomains)}
		vms = append(vms, table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: uint64(num + 1), Value: fleet.Row{VM: vmm, Name: name}})
	}
	mac := New(Settings{Name: "vm-0", Self: vms[0].Value.VM, Policy: policy()}, rand.New(rand.NewPCG(1, 1)))
	mac.Step(now, FleetRead{RequestedAt: clock.MomentOf(now), Update: table.Delta[fleet.Row]{Whole: true, Revision: fullScaleVMs, Rows: vms}})
	var con config.Content
	for num := range fullScaleServices {
		con.Services = append(con.Services, config.Service{Name: fmt.Sprint("service-", num)})
	}
	mac.Step(now, ConfigRead{RequestedAt: clock.MomentOf(now), Update: NewConfig(1, con)})
	var rows []table.Row[registry.Entry]
	for num := range fullScaleTargets {
		rows = append(rows, fullScaleTarget(num, uint64(num+1)))
	}
	mac.Step(now, TargetsRead{RequestedAt: clock.MomentOf(now), Update: table.Delta[registry.Entry]{Whole: true, Revision: fullScaleTargets, Rows: rows}})
	return mac, now
}

func fullScaleTarget(num int, revision uint64) table.Row[registry.Entry] {
	return table.Row[registry.Entry]{Name: fmt.Sprint("target-", num), Revision: revision, Value: registry.Entry{
		Service: fmt.Sprint("service-", num%fullScaleServices), Address: "10.0.0.1:80", Slots: int(revision%2) + 3,
	}}
}

// BenchmarkTargetChange changes one target in a fleet of the full design size.
func BenchmarkTargetChange(b *testing.B) {
	mac, now := newFullScale()
	revision := uint64(fullScaleTargets)
	for b.Loop() {
		revision++
		mac.Step(now, TargetsRead{RequestedAt: clock.MomentOf(now), Update: table.Delta[registry.Entry]{
			Since: revision - 1, Revision: revision, Rows: []table.Row[registry.Entry]{fullScaleTarget(7, revision)},
		}})
	}
}

// BenchmarkTick delivers ticks in a fleet of the full design size.
func BenchmarkTick(b *testing.B) {
	mac, now := newFullScale()
	for b.Loop() {
		now = now.Add(TickInterval)
		mac.Step(now, Ticked{})
	}
}
