package gateway

import (
	"testing"

	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/table"
)

// restartOther lists another run of the VM that places requests.
func (vmm *vm) restartOther(revision uint64) {
	row := otherRow(revision)
	row.Value.VM.ID = "other.next"
	vmm.step(FleetRead{Asked: vmm.now, News: table.Delta[fleet.Row]{Since: revision - 1, Revision: revision, Rows: []table.Row[fleet.Row]{row}}})
}

// asked reports whether a VM is asked for a place.
func asked(acts []Action, vmm string) bool {
	for _, act := range acts {
		if snd, ok := act.(Send); ok && snd.To == vmm {
			_, is := snd.Message.(placement.Ask)
			return is
		}
	}
	return false
}

// TestSuccessorOfASilentPlacerIsAsked lets a placer end without an answer and
// another run of it be listed, before and after the ask is given up.
func TestSuccessorOfASilentPlacerIsAsked(t *testing.T) {
	for _, one := range []struct {
		name string
		play func(vmm *vm)
	}{
		{"listed before the ask is given up", func(vmm *vm) {
			vmm.restartOther(8)
			vmm.mustDispatch(vmm.wait(placeTime + TickInterval))
		}},
		{"listed after that", func(vmm *vm) {
			vmm.mustDispatch(vmm.wait(placeTime + TickInterval))
			vmm.restartOther(8)
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			vmm := newVM(t).load().ledByOther()
			if !asked(vmm.arrive("/open/x", ""), "other.r") {
				t.Fatal("the placer is not asked")
			}
			one.play(vmm)
			if !asked(vmm.arrive("/open/y", ""), "other.next") {
				t.Error("the new placer is not asked")
			}
		})
	}
}
