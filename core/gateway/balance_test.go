package gateway

import (
	"fmt"
	"testing"
	"time"

	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// The service of these tests has 70 targets in four partitions, all of which another VM places.
const (
	manyTargets    = 70
	manyPartitions = 4
)

// balancedVM returns a VM that has learned that all partitions are busy and that the last one is idle.
func balancedVM(t *testing.T) *vm {
	t.Helper()
	vmm := newVM(t).load().placedByOther()
	var rows []table.Row[registry.Entry]
	for num := range manyTargets {
		rows = append(rows, table.Row[registry.Entry]{Name: fmt.Sprint("m", num), Revision: 10, Value: registry.Entry{
			Service: "svc", Address: fmt.Sprint("10.0.1.", num, ":80"), FailureDomain: "a", Slots: 3,
		}})
	}
	vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 10, Rows: rows}})
	if got := len(vmm.mac.services["svc"].partitions); got != manyPartitions {
		t.Fatalf("%d partitions", got)
	}
	vmm.tellLoads("other.r", balance.LoadOf(2, 1), balance.LoadOf(0, 1))
	return vmm
}

// tellLoads has a placer answer a request in every partition, with the load busy, and last in the last one.
func (vmm *vm) tellLoads(placer string, busy, last balance.Load) {
	for told := 0; told < 1<<manyPartitions-1; {
		qry := vmm.query(vmm.arrive("/open/x", ""))
		loa := busy
		if qry.Partition == manyPartitions-1 {
			loa = last
		}
		vmm.step(Received{From: placer, Message: placement.Answer{Number: qry.Number, Reason: placement.NoTargetLeft, Load: loa}})
		told |= 1 << qry.Partition
	}
}

// query returns the query for a target that is sent.
func (vmm *vm) query(acts []Action) placement.Query {
	vmm.t.Helper()
	qry, found := queryIn(acts)
	if !found {
		vmm.t.Fatalf("no placer is queried: %+v", acts)
	}
	return qry
}

func queryIn(acts []Action) (placement.Query, bool) {
	for _, act := range acts {
		if snd, ok := act.(Send); ok {
			if qry, is := snd.Message.(placement.Query); is {
				return qry, true
			}
		}
	}
	return placement.Query{}, false
}

// shareOfLast returns the share of requests for which the last partition is chosen. It is a quarter without
// any preference, and seven sixteenths with one.
func (vmm *vm) shareOfLast() float64 {
	const requests = 1000
	last := 0
	for range requests {
		if vmm.mac.services["svc"].chooser.Choose(vmm.now, 0) == manyPartitions-1 {
			last++
		}
	}
	return float64(last) / requests
}

func (vmm *vm) checkPreference(what string, want bool) {
	vmm.t.Helper()
	if got := vmm.shareOfLast(); (got > 0.34) != want {
		vmm.t.Errorf("%s: the idle partition is asked for a share of %.2f", what, got)
	}
}

// TestLessLoadedPartitionIsAsked guards against asking partitions at random while their loads are known, and
// against asking only the idle one.
func TestLessLoadedPartitionIsAsked(t *testing.T) {
	vmm := balancedVM(t)
	asked := 0
	for range 400 {
		qry := vmm.query(vmm.arrive("/open/x", ""))
		loa := balance.LoadOf(2, 1)
		if qry.Partition == manyPartitions-1 {
			loa = balance.LoadOf(0, 1)
			asked++
		}
		vmm.step(Received{From: "other.r", Message: placement.Answer{Number: qry.Number, Reason: placement.NoTargetLeft, Load: loa}})
	}
	if asked < 130 || asked > 240 {
		t.Errorf("the idle partition is asked for %d of 400 requests, want about 175", asked)
	}
	vmm.now = vmm.now.Add(3 * time.Second)
	vmm.checkPreference("loads old", false)
}

// TestChangeOfPlacerForgetsLoads guards against going by the loads that the former placer told.
func TestChangeOfPlacerForgetsLoads(t *testing.T) {
	vmm := balancedVM(t)
	vmm.restartOther()
	vmm.checkPreference("after the change", false)
	vmm.tellLoads("other.next", balance.LoadOf(2, 1), balance.LoadOf(0, 1))
	vmm.checkPreference("told by the new placer", true)
}

// TestSilentPlacerForgetsLoads guards against preferring a partition for a load from before its placer fell
// silent.
func TestSilentPlacerForgetsLoads(t *testing.T) {
	vmm := balancedVM(t)
	for silenced := 0; silenced < 1<<manyPartitions-1; {
		acts := vmm.arrive("/open/x", "")
		if qry, sent := queryIn(acts); sent {
			silenced |= 1 << qry.Partition
			vmm.mustDispatch(vmm.advanceOffline(placementTimeout + TickInterval))
		}
	}
	vmm.now = vmm.now.Add(placerBackoff)
	vmm.checkPreference("after the silence", false)
}

// TestPlacerWithoutTargetsTellsNoLoad guards against taking the answer of a placer that does not know the
// targets yet for an idle partition, and against refusing the request.
func TestPlacerWithoutTargetsTellsNoLoad(t *testing.T) {
	vmm := newVM(t).load()
	ans := vmm.mac.answer(vmm.now, "other.r", placement.Query{Service: "unknown", Number: 5})
	if ans.Reason != placement.NoTargetsKnown || ans.Load.Known() {
		t.Errorf("answered %+v", ans)
	}
	vmm = balancedVM(t)
	vmm.restartOther()
	qry := vmm.query(vmm.arrive("/open/x", ""))
	vmm.mustDispatch(vmm.step(Received{From: "other.next", Message: placement.Answer{Number: qry.Number, Reason: placement.NoTargetsKnown}}))
	vmm.checkPreference("nothing known", false)
}

// TestOlderPlacerIsAskedAsBefore guards against preferring or sparing partitions whose placer is an older program, which
// tells no load.
func TestOlderPlacerIsAskedAsBefore(t *testing.T) {
	vmm := balancedVM(t)
	vmm.restartOther()
	vmm.tellLoads("other.next", 0, 0)
	vmm.checkPreference("answers without load", false)
}

// TestOneOtherPartitionIsAskedBeforeARefusal guards against refusing a request while another partition may have
// room, against asking more than one other, and against asking those that have just had no room.
func TestOneOtherPartitionIsAskedBeforeARefusal(t *testing.T) {
	vmm := balancedVM(t)
	full := func(acts []Action) (int, []Action) {
		qry := vmm.query(acts)
		return qry.Partition, vmm.step(Received{From: "other.r", Message: placement.Answer{Number: qry.Number, Reason: placement.NoRoom, RetryAfter: time.Second, Load: balance.LoadOf(3, 1)}})
	}
	seen := make(map[int]bool)
	for range manyPartitions / 2 {
		first, acts := full(vmm.arrive("/open/x", ""))
		second, acts := full(acts)
		if first == second || seen[first] || seen[second] {
			t.Errorf("asked %d and %d after %v", first, second, seen)
		}
		seen[first], seen[second] = true, true
		if ref := vmm.mustRefuse(acts, request.Overloaded, verdict.NotRun); ref.RetryAfter <= 0 {
			t.Errorf("refused with %+v", ref)
		}
	}
	_, acts := full(vmm.arrive("/open/x", ""))
	vmm.mustRefuse(acts, request.Overloaded, verdict.NotRun) // All partitions are known to be full.
	vmm.now = vmm.now.Add(time.Second)
	_, acts = full(vmm.arrive("/open/x", ""))
	if _, sent := queryIn(acts); !sent {
		t.Error("no other partition is asked a second later")
	}
}

// TestLoadOfTargetsIsShownToOperators guards against load columns and gauges that leave out requests of other VMs at
// the targets that a VM places.
func TestLoadOfTargetsIsShownToOperators(t *testing.T) {
	vmm := newVM(t).load()
	dis := vmm.mustDispatch(vmm.arrive("/open/x", ""))
	vmm.step(Received{From: "other.r", Message: placement.Track{Attempts: []placement.RunningAttempt{{
		Service: "svc", Number: 7, Target: dis.Target.ID, Route: "open", TimeLeft: time.Second,
	}}}})
	for _, tgt := range vmm.mac.Targets(vmm.now) {
		if want := map[bool]int{true: 2}[tgt.ID == dis.Target.ID]; tgt.Requests != want || tgt.Slots != 3 {
			t.Errorf("%s: %d requests of %d slots, want %d", tgt.ID, tgt.Requests, tgt.Slots, want)
		}
	}
	loa := vmm.mac.Status(vmm.now).Loads["svc"]
	if loa.Mean != 2.0/12 || loa.Busiest != 2.0/3 {
		t.Errorf("got %+v, want 2 requests at one of four targets with three slots", loa)
	}
}
