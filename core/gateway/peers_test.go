package gateway

import (
	"testing"

	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// restartOther lists another run of the VM that places requests.
func (vmm *vm) restartOther(revision uint64) {
	row := otherRow(revision)
	row.Value.VM.ID = "other.next"
	vmm.step(FleetRead{RequestedAt: vmm.now, Update: table.Delta[fleet.Row]{Since: revision - 1, Revision: revision, Rows: []table.Row[fleet.Row]{row}}})
}

// queriesPlacer reports whether a VM is asked for a place.
func queriesPlacer(acts []Action, vmm string) bool {
	for _, act := range acts {
		if snd, ok := act.(Send); ok && snd.To == vmm {
			_, is := snd.Message.(placement.Query)
			return is
		}
	}
	return false
}

// TestSuccessorOfAnUnresponsivePlacerIsQueried lets a placer end without an answer and
// another run of it be listed, before and after the ask is given up.
func TestSuccessorOfAnUnresponsivePlacerIsQueried(t *testing.T) {
	for _, one := range []struct {
		name string
		play func(vmm *vm)
	}{
		{"listed before the qry is given up", func(vmm *vm) {
			vmm.restartOther(8)
			vmm.mustDispatch(vmm.advanceOffline(placementTimeout + TickInterval))
		}},
		{"listed after that", func(vmm *vm) {
			vmm.mustDispatch(vmm.advanceOffline(placementTimeout + TickInterval))
			vmm.restartOther(8)
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			vmm := newVM(t).load().placedByOther()
			if !queriesPlacer(vmm.arrive("/open/x", ""), "other.r") {
				t.Fatal("the placer is not asked")
			}
			one.play(vmm)
			if !queriesPlacer(vmm.arrive("/open/y", ""), "other.next") {
				t.Error("the new placer is not asked")
			}
		})
	}
}

// TestPlacerThatKnowsNoTargets asks a VM for a place that has just started, knows
// the configuration but no target, or knows other targets. It does not speak for the
// fleet: the VM that asks places the request by what it knows itself.
func TestPlacerThatKnowsNoTargets(t *testing.T) {
	for _, one := range []struct {
		name string
		know func(placer *vm)
	}{
		{"it knows nothing", func(*vm) {}},
		{"it knows the configuration", func(placer *vm) { placer.config(1, content()) }},
		{"it knows targets of another service", func(placer *vm) {
			placer.config(1, content())
			placer.step(TargetsRead{RequestedAt: placer.now, Update: table.Delta[registry.Entry]{Whole: true, Revision: 9, Rows: []table.Row[registry.Entry]{
				{Name: "t4", Revision: 5, Value: registry.Entry{Service: "new", Address: "10.0.0.4:80", FailureDomain: "a", Slots: 3}},
			}}})
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			placer := newVM(t)
			one.know(placer)
			vmm := newVM(t).load().placedByOther()
			qry := sentMessages(vmm.arrive("/open/x", ""))[0]
			answers := sentMessages(placer.step(Received{From: "asker.r", Message: qry}))
			if len(answers) != 1 {
				t.Fatalf("the placer answers %v", answers)
			}
			vmm.mustDispatch(vmm.step(Received{From: "other.r", Message: answers[0]}))
		})
	}
}

// TestNoTargetIsRefused asks for a place where neither VM knows a target.
func TestNoTargetIsRefused(t *testing.T) {
	placer := newVM(t)
	vmm := newVM(t)
	vmm.config(1, content())
	vmm.step(TargetsRead{RequestedAt: vmm.now, Update: table.Delta[registry.Entry]{Whole: true, Revision: 9}})
	vmm.placedByOther()
	qry := sentMessages(vmm.arrive("/open/x", ""))[0]
	answers := sentMessages(placer.step(Received{From: "asker.r", Message: qry}))
	vmm.mustRefuse(vmm.step(Received{From: "other.r", Message: answers[0]}), request.NoTarget, verdict.NotRun)
}
