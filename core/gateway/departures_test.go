package gateway

import (
	"testing"
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// readTargets lets a VM read targets of one service with the given names, in an era of the store.
func (sts *starters) readTargets(mac *Machine, rev uint64, names ...string) {
	del := table.Delta[registry.Entry]{Whole: true, Revision: rev}
	for _, name := range names {
		ent := registry.Entry{Service: "recipes", Address: name, Slots: 1, Born: time.UnixMilli(1000)}
		del.Rows = append(del.Rows, table.Row[registry.Entry]{Name: name, Revision: rev, Value: ent})
	}
	sts.step(mac, TargetsRead{RequestedAt: clock.MomentOf(sts.now), Update: del})
}

// uses reports whether a VM sends requests to a target.
func uses(mac *Machine, target string) bool {
	_, found := mac.registry.Entry(target)
	return found
}

// sawTargetLeave returns VMs of which the second one relies on the store and has seen that the target "left" is gone.
func sawTargetLeave() *starters {
	sts := newStarters(2)
	old := sts.at(1)
	old.restores.check.Settle(bootstrap.NeverRestored)
	sts.step(old, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: NewConfig(5, content()), Revision: revision.Join(eraBefore, 90)})
	sts.readTargets(old, revision.Join(eraBefore, 90), "left", "stays")
	sts.now = sts.now.Add(time.Second)
	sts.readTargets(old, revision.Join(eraBefore, 91), "stays")
	return sts
}

// TestVMThatStartsInTheGapUsesNoTargetThatHadLeft starts a VM at a store that was restored from a copy which still has a target that had
// left. The VM that starts sent it requests until the store removed the entry again (case 15 of review/): another VM must tell it, also if a
// record in the store already proves the configuration.
func TestVMThatStartsInTheGapUsesNoTargetThatHadLeft(t *testing.T) {
	for _, out := range []bootstrap.Outcome{bootstrap.Answered, bootstrap.Recorded} {
		sts := sawTargetLeave()
		young, old := sts.at(0), sts.at(1)
		sts.read(old, NewConfig(5, content()))
		sts.readTargets(old, revision.Join(eraAfter, 41), "left", "stays")
		if out == bootstrap.Recorded {
			sts.rows = append(sts.rows, table.Row[fleet.Row]{Name: fleet.ProofName, Revision: revision.Join(eraAfter, 35), Value: fleet.Row{Holder: "v1.r", Era: eraAfter}})
		}
		sts.read(young, NewConfig(5, content()))
		sts.readTargets(young, revision.Join(eraAfter, 41), "left", "stays")
		sts.advance(2*TickInterval, young, old)
		if got := young.restores.check.Outcome(); got != out {
			t.Errorf("outcome %q, want %q", got, out)
		}
		if uses(young, "left") || !uses(young, "stays") {
			t.Errorf("%s: uses the target that had left: %v, the one that stays: %v", out, uses(young, "left"), uses(young, "stays"))
		}
	}
}

// TestVMThatStartedShortlyBeforeARestoreAsksWhoHadLeft restores the store under a VM that has started after a target had left. It has lived
// through the restore, but does not know the target, which looks like a new one to it.
func TestVMThatStartedShortlyBeforeARestoreAsksWhoHadLeft(t *testing.T) {
	sts := sawTargetLeave()
	young, old := sts.at(0), sts.at(1)
	young.restores.check.Settle(bootstrap.NeverRestored)
	sts.step(young, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: NewConfig(5, content()), Revision: revision.Join(eraBefore, 92)})
	sts.readTargets(young, revision.Join(eraBefore, 92), "stays")
	sts.now = sts.now.Add(time.Second)
	for _, mac := range []*Machine{young, old} {
		sts.read(mac, NewConfig(5, content()))
		sts.readTargets(mac, revision.Join(eraAfter, 41), "left", "stays")
	}
	sts.advance(2*TickInterval, young, old)
	if uses(young, "left") || !uses(young, "stays") {
		t.Errorf("uses the target that had left: %v, the one that stays: %v", uses(young, "left"), uses(young, "stays"))
	}
}

// TestVMThatHasRunForLongAsksNobodyWhoHadLeft restores the store under VMs that have run for longer than its copy can be old. They know
// what has left, and a restore is not to make all VMs of a large fleet ask each other.
func TestVMThatHasRunForLongAsksNobodyWhoHadLeft(t *testing.T) {
	sts := sawTargetLeave()
	old := sts.at(1)
	sts.now = sts.now.Add(copyAge)
	sts.read(old, NewConfig(5, content()))
	for _, act := range old.Step(sts.now, Ticked{}) {
		if snd, isSend := act.(Send); isSend && snd.To == "v0.r" {
			t.Errorf("the VM sends %+v", snd.Message)
		}
	}
}
