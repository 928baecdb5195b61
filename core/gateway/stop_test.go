package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/table"
)

// storeCalls returns a description of the writes and deletes that a machine requests of the store. A
// release names the organisations that are busy, unless all are.
func storeCalls(acts []Action) string {
	var out []string
	for _, act := range acts {
		switch act := act.(type) {
		case Delete:
			out = append(out, fmt.Sprintf("delist %s at %d", act.Name, act.Revision))
		case Write:
			what := "state"
			switch {
			case act.Row.Holder == "":
				what = "list"
			case act.Row.Released && act.Row.Busy.All:
				what = "release"
			case act.Row.Released:
				what = "release (" + strings.Join(act.Row.Busy.Names, " ") + ")"
			}
			out = append(out, fmt.Sprintf("%s %s at %d", what, act.Name, act.Revision))
		}
	}
	return strings.Join(out, ", ")
}

// tokenServerRow returns the row that says who holds a token server.
func tokenServerRow(num int, row fleet.Row, revision uint64) table.Row[fleet.Row] {
	return table.Row[fleet.Row]{Name: fleet.TokenServerName(num), Revision: revision, Value: row}
}

// ownRow returns the row that lists the VM under test.
func (vmm *vm) ownRow(revision uint64) table.Row[fleet.Row] {
	return table.Row[fleet.Row]{Name: fleet.VMName("vm"), Revision: revision, Value: fleet.Row{VM: vmm.mac.set.Self, Name: "vm"}}
}

// otherRow returns the row that lists another VM.
func otherRow(revision uint64) table.Row[fleet.Row] {
	return table.Row[fleet.Row]{Name: fleet.VMName("other"), Revision: revision, Value: fleet.Row{
		VM: member.VM{ID: "other.r", Address: "127.0.0.1:2", FailureDomain: "a"}, Name: "other",
	}}
}

// list delivers changes to the fleet's list and then a tick.
func (vmm *vm) list(since, revision uint64, rows ...table.Row[fleet.Row]) []Action {
	acts := vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: since, Revision: revision, Rows: rows}})
	return append(acts, vmm.advanceOffline(TickInterval)...)
}

// released delivers a list in which the token servers of the VM are released.
func (vmm *vm) released() []Action {
	var rows []table.Row[fleet.Row]
	for num := range fleet.TokenServerCount {
		rows = append(rows, tokenServerRow(num, fleet.Row{Holder: vmm.mac.set.Self.ID, Released: true}, 7))
	}
	return vmm.list(6, 7, rows...)
}

// TestStopAndTheStore plays through what the store may answer to a stopping VM, and when. The VM
// must release whatever the list says that it holds.
func TestStopAndTheStore(t *testing.T) {
	self := newVM(t).mac.set.Self.ID
	for _, one := range []struct {
		name string
		run  func(vmm *vm) []Action
		want string
	}{
		{"starting, before anything is known", func(vmm *vm) []Action {
			return append(vmm.step(StopBegan{}), vmm.advanceOffline(time.Second)...)
		}, ""},
		{"starting, the list arrives while stopping", func(vmm *vm) []Action {
			acts := vmm.step(StopBegan{})
			acts = append(acts, vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: []table.Row[fleet.Row]{otherRow(3)}}})...)
			return append(acts, vmm.advanceOffline(3*time.Second)...)
		}, ""},
		{"starting, its listing takes effect while stopping", func(vmm *vm) []Action {
			vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: []table.Row[fleet.Row]{otherRow(3)}}})
			if got := storeCalls(vmm.advanceOffline(TickInterval)); got != "list vm.vm at 0" {
				t.Fatalf("wrote %q at its start", got)
			}
			vmm.step(StopBegan{})
			return vmm.list(5, 6, vmm.ownRow(6))
		}, "delist vm.vm at 6"},
		{"serving, stop begins", func(vmm *vm) []Action {
			return append(vmm.load().step(StopBegan{}), vmm.advanceOffline(TickInterval)...)
		}, "release duty.quota-0 at 6, release duty.quota-1 at 6, release duty.quota-2 at 6"},
		{"stopping, the store accepts the releases", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			return vmm.released()
		}, "delist vm.vm at 2"},
		{"stopping, the store does not apply the releases", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.advanceOffline(releaseRetryInterval + TickInterval)
			return vmm.advanceOffline(delistDelay - 2*releaseRetryInterval)
		}, ""},
		{"stopping, the store applies no release for long", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.advanceOffline(2*releaseRetryInterval + TickInterval)
			return vmm.advanceOffline(delistDelay - 2*releaseRetryInterval)
		}, "delist vm.vm at 2"},
		{"serving, stop begins twice", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			return append(vmm.step(StopBegan{}), vmm.advanceOffline(TickInterval)...)
		}, ""},
		{"stopping, the store does not apply the delisting", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.released()
			return vmm.advanceOffline(releaseRetryInterval + TickInterval)
		}, "delist vm.vm at 2"},
		{"stopping, its row was written again", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.released()
			return vmm.list(7, 8, vmm.ownRow(8))
		}, "delist vm.vm at 8"},
		{"stopping, a release conflicts with a change of the busy organisations", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			return vmm.list(6, 7, tokenServerRow(1, fleet.Row{Holder: self, Busy: quota.Busy{Names: []string{"org"}}}, 7))
		}, "release (org) duty.quota-1 at 7"},
		{"stopping, the store accepts all but one release", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			free := fleet.Row{Holder: self, Released: true}
			vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{
				Since: 6, Revision: 7, Rows: []table.Row[fleet.Row]{tokenServerRow(1, free, 7), tokenServerRow(2, free, 7)}, Removed: []string{fleet.VMName("vm")},
			}})
			return vmm.advanceOffline(releaseRetryInterval + TickInterval)
		}, "release duty.quota-0 at 6"},
		{"stopping, a claim takes effect late", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.released()
			return vmm.list(7, 8, tokenServerRow(2, fleet.Row{Holder: self, Busy: quota.Busy{All: true}}, 8))
		}, "release duty.quota-2 at 8"},
		{"stopping, a token server becomes vacant", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.released()
			vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: 7, Revision: 8, Removed: []string{fleet.VMName("vm")}}})
			return vmm.advanceOffline(3 * time.Second)
		}, ""},
		{"stopping, the store is reachable again", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.advanceOffline(8 * time.Second)
			vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 9, Rows: []table.Row[fleet.Row]{otherRow(3)}}})
			return vmm.advanceOffline(3 * time.Second)
		}, ""},
		{"stopping, another run of the VM is listed", func(vmm *vm) []Action {
			vmm.load().step(StopBegan{})
			vmm.released()
			row := vmm.ownRow(8)
			row.Value.VM.ID = "vm.next"
			return append(vmm.list(7, 8, row), vmm.advanceOffline(2*time.Second)...)
		}, ""},
	} {
		t.Run(one.name, func(t *testing.T) {
			if got := storeCalls(one.run(newVM(t))); got != one.want {
				t.Errorf("wrote %q, want %q", got, one.want)
			}
		})
	}
}
