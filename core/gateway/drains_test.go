package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
)

// drainedVM is a VM that keeps to drains, with one target in each of the failure domains a and b.
type drainedVM struct {
	*vm

	revision uint64
}

func newDrainedVM(t *testing.T) *drainedVM {
	t.Helper()
	vmm := &drainedVM{vm: newVM(t), revision: 1}
	vmm.mac.set.Policy.DrainTime, vmm.mac.set.Policy.Warmup = simDrainTime, simWarmup
	return vmm
}

// know delivers all objects but the drains.
func (vmm *drainedVM) know() {
	self := vmm.mac.set.Self
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: []table.Row[fleet.Row]{
		{Name: fleet.VMName("vm"), Revision: 2, Value: fleet.Row{VM: self, Name: "vm"}},
	}}})
	con := (&simDomains{}).content()
	vmm.step(ConfigRead{RequestedAt: clock.MomentOf(vmm.now), Update: NewConfig(1, con)})
	var rows []table.Row[registry.Entry]
	for _, domain := range []string{"a", "b"} {
		rows = append(rows, table.Row[registry.Entry]{Name: "t" + domain, Revision: 3, Value: registry.Entry{
			Service: "svc", Address: "t" + domain + ":80", FailureDomain: domain, Slots: 2, Born: time.UnixMilli(7),
		}})
	}
	vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 5, Rows: rows}})
}

// drain delivers the drained domains.
func (vmm *drainedVM) drain(domains ...string) []Action {
	vmm.revision++
	del := table.Delta[drain.Entry]{Whole: true, Revision: vmm.revision}
	for _, domain := range domains {
		del.Rows = append(del.Rows, table.Row[drain.Entry]{Name: domain, Revision: vmm.revision})
	}
	return vmm.mac.Step(vmm.now, DrainsRead{Update: del})
}

// arrive delivers a request with the ID 1, and returns its dispatch or refusal.
func (vmm *drainedVM) arrive() (*Dispatch, *Refuse) {
	return decisionsOf(vmm.mac.Step(vmm.now, Arrived{Request: request.Request{ID: 1, Host: "h", Path: "/open/x", Timeout: time.Second}}))
}

func decisionsOf(acts []Action) (dis *Dispatch, ref *Refuse) {
	for _, act := range acts {
		switch act := act.(type) {
		case Dispatch:
			dis = &act
		case Refuse:
			ref = &act
		}
	}
	return dis, ref
}

// TestVMWaitsForTheDrains guards against a VM that serves before it knows which domains are drained.
func TestVMWaitsForTheDrains(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	if vmm.mac.Ready() {
		t.Error("the VM is ready")
	}
	if dis, ref := vmm.arrive(); dis != nil || ref != nil {
		t.Errorf("the request was not queued: %+v, %+v", dis, ref)
	}
	vmm.drain("b")
	dis, _ := decisionsOf(vmm.mac.Step(vmm.now, Ticked{}))
	if !vmm.mac.Ready() || dis == nil || dis.Target.ID != "ta" {
		t.Errorf("ready %t, sent %+v", vmm.mac.Ready(), dis)
	}
}

// TestVMRefusesWhileItDoesNotKnowTheDrains guards against requests that are queued for longer than 0.5 s.
func TestVMRefusesWhileItDoesNotKnowTheDrains(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	_, _ = vmm.arrive()
	vmm.now = vmm.now.Add(maxQueueTime)
	if _, ref := decisionsOf(vmm.mac.Step(vmm.now, Ticked{})); ref == nil || ref.Refusal.RetryAfter <= 0 {
		t.Errorf("got %+v", ref)
	}
}

// TestVMWithoutTheSettingNeedsNoDrains guards against a change where the platform has no drains.
func TestVMWithoutTheSettingNeedsNoDrains(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.mac.set.Policy.DrainTime = 0
	vmm.know()
	acts := vmm.mac.Step(vmm.now.Add(time.Second), Ticked{})
	if !vmm.mac.Ready() {
		t.Error("the VM is not ready")
	}
	for _, act := range acts {
		if set, is := act.(SetReading); is && set.Drains {
			t.Error("the VM reads drains")
		}
	}
}

// TestPartitionsStayThroughADrain guards against placers that lose what they know of the targets that stay.
func TestPartitionsStayThroughADrain(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain()
	before := vmm.mac.services["svc"].partitions[0]
	vmm.drain("b")
	if after := vmm.mac.services["svc"].partitions[0]; after != before || len(after.targets) != 1 {
		t.Errorf("the partition was replaced: %t, with %d targets", after != before, len(after.targets))
	}
}

// TestRequestIsNotSentAfterADrain guards against a connection that was opened before the drain and used after it.
func TestRequestIsNotSentAfterADrain(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain("a")
	dis, _ := vmm.arrive()
	if dis == nil || !vmm.mac.MaySend(vmm.now, 1, dis.Attempt) {
		t.Fatalf("not sent: %+v", dis)
	}
	vmm.drain("a", "b")
	if vmm.mac.MaySend(vmm.now, 1, dis.Attempt) {
		t.Error("the request may still be sent")
	}
}

// TestRequestIsNotForwardedAfterADrain guards against a VM that sends requests of one that does not know the drain. The
// refusal must say that the target is why, so that the request is not tried there through other VMs.
func TestRequestIsNotForwardedAfterADrain(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain("b")
	_, _, rej := vmm.mac.MayForward(vmm.now, Forwarding{Service: "svc", Run: health.Run{Target: "tb", Born: 7}})
	if rej == nil || rej.Outcome != health.Shed {
		t.Errorf("got %+v", rej)
	}
}

// TestRequestsAreRefusedAtOnceWhileAllIsDrained guards against callers that wait in vain.
func TestRequestsAreRefusedAtOnceWhileAllIsDrained(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain("a", "b")
	if _, ref := vmm.arrive(); ref == nil || ref.Refusal.RetryAfter <= 0 || ref.Refusal.Detail != "all targets are in drained failure domains" {
		t.Errorf("got %+v", ref)
	}
}

// TestTargetsAreColdAfterADrain guards against a domain whose targets get their full load at once though they may have
// started again meanwhile.
func TestTargetsAreColdAfterADrain(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain("b")
	vmm.now = vmm.now.Add(time.Minute)
	vmm.drain()
	tgs := vmm.mac.services["svc"].targets()
	at := slices.IndexFunc(tgs, func(tgt health.Target) bool { return tgt.ID == "tb" })
	if at < 0 || tgs[at].WarmAt != vmm.now.Add(simColdStart) {
		t.Errorf("got %+v at %v", tgs, vmm.now)
	}
}

// TestDrainIsLoggedOnce guards against a log line for every read or report.
func TestDrainIsLoggedOnce(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	cnt := 0
	for range 3 {
		for _, act := range vmm.drain("b") {
			if ent, is := act.(LogEntry); is && ent.Event == "domainDrained" {
				cnt++
			}
		}
	}
	if cnt != 1 {
		t.Errorf("logged %d times", cnt)
	}
}

// TestFollowerIsToldTheWholeSetEachTime guards against a follower that misses a drain for good after a lost frame, and
// against frames that an older one does not know.
func TestFollowerIsToldTheWholeSetEachTime(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain("b")
	told := func(knows bool) (reports []drain.Report) {
		for _, act := range vmm.mac.Step(vmm.now, Received{From: "other.1", Message: feed.Query{Number: 1, KnowsEras: true, KnowsDrains: knows}}) {
			if snd, is := act.(Send); is {
				if rep, is := snd.Message.(drain.Report); is {
					reports = append(reports, rep)
				}
			}
		}
		return reports
	}
	for range 2 {
		if reps := told(true); len(reps) != 1 || !slices.Equal(reps[0].Shown, []string{"b"}) {
			t.Errorf("told %+v", reps)
		}
	}
	if reps := told(false); len(reps) != 0 {
		t.Errorf("an older program was told %+v", reps)
	}
}

// TestVMDoesNotFollowOneThatDoesNotTellDrains guards against a VM that learns of no drain since it follows one of an older
// program.
func TestVMDoesNotFollowOneThatDoesNotTellDrains(t *testing.T) {
	for _, tells := range []bool{true, false} {
		self := member.VM{ID: "a1.1", Address: "a1", FailureDomain: "a"}
		mac := New(Settings{Name: "a1", Self: self, Policy: Policy{DrainTime: simDrainTime}}, rand.New(rand.NewPCG(1, 1)))
		var rows []table.Row[fleet.Row]
		for _, name := range []string{"a1", "o1", "o2", "o3", "o4", "o5", "o6"} {
			rows = append(rows, table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: 2, Value: fleet.Row{VM: member.VM{ID: name + ".1", Address: name, FailureDomain: "a"}, Name: name}})
		}
		now := clock.At(time.Hour)
		mac.Step(now, FleetRead{RequestedAt: clock.MomentOf(now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: rows}})
		if mac.selector.IsPrimary() {
			t.Fatal("the VM follows none; it needs another name")
		}
		followed := false
		for range 40 {
			for _, act := range mac.Step(now, Ticked{}) {
				snd, is := act.(Send)
				qry, asks := snd.Message.(feed.Query)
				if !is || !asks {
					continue
				}
				if tells {
					mac.Step(now, Received{From: snd.To, Message: drain.Report{Revision: 4}})
				}
				mac.Step(now, Received{From: snd.To, Message: Update{Number: qry.Number}})
			}
			followed = followed || mac.selector.Followed() != ""
			now = now.Add(TickInterval)
		}
		if followed != tells {
			t.Errorf("the other tells drains: %t, is followed: %t", tells, followed)
		}
	}
}

// newDrainedPair returns a pair of VMs that keep to drains, of which one follows the other.
func newDrainedPair(t *testing.T) *pair {
	t.Helper()
	pai := newPair(t)
	pai.followed.set.Policy.DrainTime, pai.follower.set.Policy.DrainTime = simDrainTime, simDrainTime
	pai.config(1, (&simDomains{}).content())
	pai.followed.Step(pai.now, DrainsRead{Update: table.Delta[drain.Entry]{Whole: true, Revision: 7}})
	pai.advance(2 * time.Second)
	if pai.follower.selector.Followed() == "" || !pai.follower.drainsKnown() {
		t.Fatalf("follows %q, drains known %t", pai.follower.selector.Followed(), pai.follower.drainsKnown())
	}
	return pai
}

// TestLostReportOfDrainsIsMadeGood guards against a follower that learns of a drain only with the next change.
func TestLostReportOfDrainsIsMadeGood(t *testing.T) {
	pai := newDrainedPair(t)
	losses := 2
	pai.loseDrains = func() bool {
		losses--
		return losses >= 0
	}
	del := table.Delta[drain.Entry]{Since: 7, Revision: 8, Rows: []table.Row[drain.Entry]{{Name: "b", Revision: 8}}}
	pai.deliver(pai.followed, pai.followed.Step(pai.now, DrainsRead{Update: del}))
	if pai.follower.drains.book.Drained("b") {
		t.Fatal("the first report was not lost")
	}
	pai.advance(time.Second)
	if !pai.follower.drains.book.Drained("b") {
		t.Error("the follower does not know the drain 1 s after two reports were lost")
	}
	if pai.follower.selector.Followed() == "" {
		t.Error("two lost reports make the follower read the store itself")
	}
}

// TestFieldsThatAnOlderProgramLeavesOutAreLearnedLater guards against a VM that keeps a configuration without the rate of
// cold targets, since it has got that version from a VM of an older program.
func TestFieldsThatAnOlderProgramLeavesOutAreLearnedLater(t *testing.T) {
	cold := func(mac *Machine) time.Duration { return mac.config.Snapshot.Service("svc").ColdStart }
	for _, byStore := range []bool{true, false} {
		pai := newDrainedPair(t)
		next := (&simDomains{}).content()
		pai.follower.Step(pai.now, Received{From: "old.1", Message: Update{Version: 2, Config: NewConfig(2, simContent())}})
		if pai.follower.version() != 2 || cold(pai.follower) != 0 {
			t.Fatal("the configuration of the older program is not in force")
		}
		if byStore {
			pai.follower.Step(pai.now, ConfigRead{RequestedAt: clock.MomentOf(pai.now), Update: NewConfig(2, next)})
		} else {
			pai.config(2, next)
			pai.advance(resendDelay + 400*time.Millisecond) // The next query after that asks for the whole of it.
		}
		if cold(pai.follower) != simColdStart || pai.follower.configPartial {
			t.Errorf("from the store %t: targets are cold for %v", byStore, cold(pai.follower))
		}
	}
}

// TestPlacerThatDoesNotKnowADrainIsAskedAgain guards against requests that are placed without the placer, and so refused
// for want of a share, since a placer of an older program chooses drained targets.
func TestPlacerThatDoesNotKnowADrainIsAskedAgain(t *testing.T) {
	vmm := newDrainedVM(t)
	vmm.know()
	vmm.drain("b")
	par := vmm.mac.services["svc"].partitions[0]
	par.placer = "old.1"
	vmm.mac.Step(vmm.now, Arrived{Request: request.Request{ID: 1, Host: "h", Path: "/open/x", Timeout: time.Second}})
	acts := vmm.mac.Step(vmm.now, Received{From: "old.1", Message: placement.Answer{Number: vmm.mac.number, Target: "tb"}})
	dis, _ := decisionsOf(acts)
	qry, asked := sent(acts)["old.1"].(placement.Query)
	if dis != nil || !asked || !slices.Contains(qry.Criteria.Tried, "tb") {
		t.Fatalf("sent %+v, asked %+v", dis, qry)
	}
	acts = vmm.mac.Step(vmm.now, Received{From: "old.1", Message: placement.Answer{Number: qry.Number, Target: "ta"}})
	if dis, _ := decisionsOf(acts); dis == nil || dis.Target.ID != "ta" {
		t.Errorf("sent %+v", dis)
	}
}
