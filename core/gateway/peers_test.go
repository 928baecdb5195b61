package gateway

import (
	"testing"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// restartOther lists a new run of the other VM, which is the placer.
func (vmm *vm) restartOther() {
	const revision = 8
	row := otherRow(revision)
	row.Value.VM.ID = "other.next"
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Since: revision - 1, Revision: revision, Rows: []table.Row[fleet.Row]{row}}})
}

// queriesPlacer reports whether the given VM is queried for a placement.
func queriesPlacer(acts []Action, vmm string) bool {
	for _, act := range acts {
		if snd, ok := act.(Send); ok && snd.To == vmm {
			_, is := snd.Message.(placement.Query)
			return is
		}
	}
	return false
}

// TestSuccessorOfAnUnresponsivePlacerIsQueried ends a placer before it answers and lists a new run
// of it, before or after the query times out. The new run must be queried, although the former one
// did not answer, or else requests would be placed without the placer until placerBackoff is over.
func TestSuccessorOfAnUnresponsivePlacerIsQueried(t *testing.T) {
	for _, one := range []struct {
		name string
		run  func(vmm *vm)
	}{
		{"listed before the query times out", func(vmm *vm) {
			vmm.restartOther()
			vmm.mustDispatch(vmm.advanceOffline(placementTimeout + TickInterval))
		}},
		{"listed after the query timed out", func(vmm *vm) {
			vmm.mustDispatch(vmm.advanceOffline(placementTimeout + TickInterval))
			vmm.restartOther()
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			vmm := newVM(t).load().placedByOther()
			if !queriesPlacer(vmm.arrive("/open/x", ""), "other.r") {
				t.Fatal("the placer was not queried")
			}
			one.run(vmm)
			if !queriesPlacer(vmm.arrive("/open/y", ""), "other.next") {
				t.Error("the new run of the placer was not queried")
			}
		})
	}
}

// TestPlacerThatKnowsNoTargets queries a placer that has just started and knows nothing, only the
// configuration, or only targets of another service. What it lacks says nothing about the fleet:
// the VM that queries it must place the request by itself, or else a request would be refused although
// there are targets.
func TestPlacerThatKnowsNoTargets(t *testing.T) {
	for _, one := range []struct {
		name  string
		learn func(placer *vm)
	}{
		{"it knows nothing", func(*vm) {}},
		{"it knows the configuration", func(placer *vm) { placer.config(1, content()) }},
		{"it knows targets of another service", func(placer *vm) {
			placer.config(1, content())
			placer.step(TargetsRead{RequestedAt: clock.MomentOf(placer.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 9, Rows: []table.Row[registry.Entry]{
				{Name: "t4", Revision: 5, Value: registry.Entry{Service: "new", Address: "10.0.0.4:80", FailureDomain: "a", Slots: 3}},
			}}})
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			placer := newVM(t)
			one.learn(placer)
			vmm := newVM(t).load().placedByOther()
			qry := sentMessages(vmm.arrive("/open/x", ""))[0]
			answers := sentMessages(placer.step(Received{From: "asker.r", Message: qry}))
			if len(answers) != 1 {
				t.Fatalf("the placer answered %v", answers)
			}
			vmm.mustDispatch(vmm.step(Received{From: "other.r", Message: answers[0]}))
		})
	}
}

// TestNoTargetIsRefused requests a placement where neither VM knows a target. The request must be
// refused as one that has not run, or else its caller could not know that a retry is safe.
func TestNoTargetIsRefused(t *testing.T) {
	placer := newVM(t)
	vmm := newVM(t)
	vmm.config(1, content())
	vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 9}})
	vmm.placedByOther()
	qry := sentMessages(vmm.arrive("/open/x", ""))[0]
	answers := sentMessages(placer.step(Received{From: "asker.r", Message: qry}))
	vmm.mustRefuse(vmm.step(Received{From: "other.r", Message: answers[0]}), request.NoTarget, verdict.NotRun)
}
