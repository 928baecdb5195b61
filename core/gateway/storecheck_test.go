package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// starters are VMs of several failure domains, which have all just started unless a test says otherwise.
type starters struct {
	now  clock.Instant
	macs map[string]*Machine
	rows []table.Row[fleet.Row]
	// silent holds the VMs that get no message.
	silent map[string]bool
}

// newStarters returns VMs that are listed in the era after a restore, and know nothing else.
func newStarters(count int) *starters {
	sts := &starters{now: processStart, macs: make(map[string]*Machine), silent: make(map[string]bool)}
	for num := range count {
		name := fmt.Sprint("v", num)
		vmm := member.VM{ID: name + ".r", Address: fmt.Sprint("127.0.0.1:", num+1), FailureDomain: fmt.Sprint("d", num)}
		sts.rows = append(sts.rows, table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: revision.Join(eraAfter, uint64(num+1)), Value: fleet.Row{VM: vmm, Name: name}})
		sts.macs[vmm.ID] = New(Settings{Name: name, Self: vmm, Policy: policy()}, rand.New(rand.NewPCG(uint64(num), 1)))
	}
	return sts
}

func (sts *starters) at(num int) *Machine { return sts.macs[fmt.Sprintf("v%d.r", num)] }

// step delivers an event to a VM, and the messages that follow.
func (sts *starters) step(mac *Machine, evt Event) {
	for _, act := range mac.Step(sts.now, evt) {
		snd, isSend := act.(Send)
		if to := sts.macs[snd.To]; isSend && to != nil && !sts.silent[snd.To] && !sts.silent[mac.set.Self.ID] {
			sts.step(to, Received{From: mac.set.Self.ID, Message: snd.Message})
		}
	}
}

// read lets a VM read the platform in the era after a restore, where the store holds a configuration.
func (sts *starters) read(mac *Machine, con *Config) {
	rev := revision.Join(eraAfter, 40)
	sts.step(mac, FleetRead{RequestedAt: clock.MomentOf(sts.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: rev, Rows: sts.rows}})
	sts.step(mac, TargetsRead{RequestedAt: clock.MomentOf(sts.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: rev}})
	sts.step(mac, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: con, Revision: rev})
}

// advance lets time pass for some VMs, each of which reads that nothing has changed.
func (sts *starters) advance(dur time.Duration, macs ...*Machine) {
	for end := sts.now.Add(dur); sts.now.Before(end); {
		sts.now = sts.now.Add(TickInterval)
		for _, mac := range macs {
			sts.step(mac, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Revision: revision.Join(eraAfter, 40)})
			sts.step(mac, Ticked{})
		}
	}
}

// TestVMThatStartsAfterARestoreLearnsWhatTheStoreHasLost starts a VM that reads an earlier configuration than the one in
// force from a restored store, while another VM knows that one. The VM that starts must not rely on the store, or a key that
// the later one has withdrawn would work there.
func TestVMThatStartsAfterARestoreLearnsWhatTheStoreHasLost(t *testing.T) {
	sts := newStarters(2)
	early, late := NewConfig(5, content()), NewConfig(7, content())
	old, young := sts.at(0), sts.at(1)
	old.restores.check.Settle(bootstrap.NeverRestored)
	sts.step(old, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: late, Revision: revision.Join(eraBefore, 90)})
	sts.read(old, early)
	known := sts.now
	sts.now = sts.now.Add(time.Second)
	sts.read(young, early)
	if young.synced() || young.Ready() || young.configConfirmedAt.Known() {
		t.Error("the VM relies on the store before it has asked another VM")
	}
	sts.advance(TickInterval, young)
	if young.version() != 7 || young.configConfirmedAt != clock.MomentOf(known) || !young.Ready() {
		t.Errorf("version %d counts as confirmed %v after the restore, want version 7 as confirmed before it; outcome %q", young.version(), young.configConfirmedAt.AgeOr(neverAge, known), young.restores.check.Outcome())
	}
	sts.advance(time.Second, young, old)
	if young.configConfirmedAt != clock.MomentOf(known) {
		t.Error("reads of the earlier configuration confirm the later one")
	}
}

// usesKeys reports whether a VM serves requests with keys.
func (sts *starters) usesKeys(mac *Machine) bool {
	return mac.synced() && mac.Ready() && mac.configConfirmedAt.Within(mac.set.Policy.RevokeTime, sts.now)
}

// TestVMWithoutListedPeersUsesNoKeyAfterARestore starts a VM after a restore to a copy that lists no other VM, though one lives that knows
// a later configuration. It is listed again a second later. The VM that starts must not use a key by the earlier configuration until then.
func TestVMWithoutListedPeersUsesNoKeyAfterARestore(t *testing.T) {
	sts := newStarters(2)
	young, old, rows := sts.at(0), sts.at(1), sts.rows
	old.restores.check.Settle(bootstrap.NeverRestored)
	sts.step(old, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: NewConfig(7, content()), Revision: revision.Join(eraBefore, 90)})
	sts.read(old, NewConfig(5, content()))
	sts.rows = rows[:1]
	sts.read(young, NewConfig(5, content()))
	for range 20 {
		sts.advance(TickInterval, young, old)
		if sts.usesKeys(young) {
			t.Fatalf("the VM uses keys by version %d, outcome %q", young.version(), young.restores.check.Outcome())
		}
	}
	rev := revision.Join(eraAfter, 41)
	rows[1].Revision = rev
	sts.step(young, FleetRead{RequestedAt: clock.MomentOf(sts.now), Update: table.Delta[fleet.Row]{Revision: rev, Rows: rows[1:]}})
	sts.advance(time.Second, young, old)
	if young.version() != 7 || young.restores.check.Outcome() != bootstrap.Answered {
		t.Errorf("version %d, outcome %q", young.version(), young.restores.check.Outcome())
	}
}

// TestVMThatReadsAnEmptyListAfterARestoreUsesNoKey starts a VM after a restore to a copy of before any VM was listed. One that knows that a key was
// withdrawn stands still for as long as a VM may, so that it is not on the list for 5 s. The VM that starts took its fleet for a
// new one after 3 s, and served the key.
func TestVMThatReadsAnEmptyListAfterARestoreUsesNoKey(t *testing.T) {
	sts := newStarters(1)
	sts.rows = nil
	mac := sts.at(0)
	sts.read(mac, NewConfig(5, content()))
	for range int(7 * time.Second / TickInterval) {
		sts.advance(TickInterval, mac)
		if sts.usesKeys(mac) {
			t.Fatalf("the VM uses keys, outcome %q", mac.restores.check.Outcome())
		}
	}
}

// TestVMsThatAllStartInTheGapUseNoKeyUntilTheOperatorWrites starts all VMs of a fleet after a restore, as after the loss of all. Nobody
// knows more than the store, which may have lost the withdrawal of a key: keys must not be used until the operator has written again, but
// at once then. Routes without keys must be served within the time for which callers are queued.
func TestVMsThatAllStartInTheGapUseNoKeyUntilTheOperatorWrites(t *testing.T) {
	sts := newStarters(30)
	var macs []*Machine
	for num := range 30 {
		macs = append(macs, sts.at(num))
		sts.read(sts.at(num), NewConfig(5, content()))
	}
	sts.advance(maxQueueTime, macs...)
	for num, mac := range macs {
		if sts.usesKeys(mac) || !mac.usesConfig() {
			t.Fatalf("VM %d uses keys: %v, the configuration: %v; outcome %q", num, sts.usesKeys(mac), mac.usesConfig(), mac.restores.check.Outcome())
		}
	}
	sts.advance(6*time.Second, macs...)
	for num, mac := range macs {
		if sts.usesKeys(mac) {
			t.Fatalf("VM %d uses keys by what a restored store shows; outcome %q", num, mac.restores.check.Outcome())
		}
		sts.step(mac, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: NewConfig(7, content()), Revision: revision.Join(eraAfter, 50)})
		if !sts.usesKeys(mac) || mac.restores.check.Outcome() != bootstrap.Rewritten {
			t.Errorf("VM %d does not use keys though the operator has written; outcome %q", num, mac.restores.check.Outcome())
		}
	}
}

// TestVMsThatAllStartLongAfterARestoreServeSoon starts all VMs of a fleet long after a restore, as after the loss of all. A VM of before has
// recorded that the store holds the newest configuration, so they must serve at once, without a question.
func TestVMsThatAllStartLongAfterARestoreServeSoon(t *testing.T) {
	sts := newStarters(30)
	sts.rows = append(sts.rows, table.Row[fleet.Row]{Name: fleet.ProofName, Revision: revision.Join(eraAfter, 35), Value: fleet.Row{Holder: "v0.before", Era: eraAfter}})
	for num := range 30 {
		mac := sts.at(num)
		sts.read(mac, NewConfig(5, content()))
		sts.advance(TickInterval, mac)
		if !sts.usesKeys(mac) || mac.restores.check.Outcome() != bootstrap.Recorded {
			t.Errorf("VM %d is not in sync; outcome %q", num, mac.restores.check.Outcome())
		}
	}
}

// TestProofsOfAnotherTimeProveNothing starts VMs at a restored store that shows a proof of the era before, or one that was recorded after
// this VM had read the configuration. Neither says that the configuration that was read is the newest.
func TestProofsOfAnotherTimeProveNothing(t *testing.T) {
	for _, row := range []table.Row[fleet.Row]{
		{Revision: revision.Join(eraAfter, 35), Value: fleet.Row{Era: eraBefore}},
		{Revision: revision.Join(eraAfter, 45), Value: fleet.Row{Era: eraAfter}},
	} {
		sts := newStarters(1)
		row.Name, row.Value.Holder = fleet.ProofName, "v0.before"
		sts.rows = append(sts.rows, row)
		mac := sts.at(0)
		sts.read(mac, NewConfig(5, content()))
		sts.advance(time.Second, mac)
		if sts.usesKeys(mac) {
			t.Errorf("the proof %+v counts; outcome %q", row, mac.restores.check.Outcome())
		}
		sts.step(mac, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Revision: revision.Join(eraAfter, 46)})
		sts.advance(TickInterval, mac)
		if current := row.Value.Era == eraAfter; sts.usesKeys(mac) != current {
			t.Errorf("after a later read the proof %+v counts: %v", row, !current)
		}
	}
}

// TestFleetThatStartsForTheFirstTimeServesAtOnce starts a VM of a new fleet at a store that was restored before. Nothing was in force that
// the store could have lost.
func TestFleetThatStartsForTheFirstTimeServesAtOnce(t *testing.T) {
	sts := newStarters(2)
	mac := sts.at(0)
	mac.set.FirstStart = true
	sts.read(mac, NewConfig(5, content()))
	sts.advance(TickInterval, mac)
	if !sts.usesKeys(mac) || mac.restores.check.Outcome() != bootstrap.FirstStart {
		t.Errorf("the VM does not serve; outcome %q", mac.restores.check.Outcome())
	}
}

// recorded returns the proof among actions, or nil.
func recorded(acts []Action) *Write {
	for _, act := range acts {
		if wrt, isWrite := act.(Write); isWrite && wrt.Name == fleet.ProofName {
			return &wrt
		}
	}
	return nil
}

// TestVMThatLivedThroughARestoreRecordsItsProof restores the store under a VM that was in sync. Once the store holds what the VM knows, the VM
// must record so, or else VMs that start when all others are lost would wait for operators who have nothing to write. It must not
// do so before, nor may a VM that had long not been confirmed, and may have missed what was lost.
func TestVMThatLivedThroughARestoreRecordsItsProof(t *testing.T) {
	for _, tst := range []struct {
		name   string
		before time.Duration
		stored uint64
		want   bool
	}{
		{"in sync, nothing lost", 2 * time.Second, 7, true},
		{"in sync, a version lost", 2 * time.Second, 5, false},
		{"not confirmed for long", time.Minute, 7, false},
	} {
		sts := newStarters(1)
		mac := sts.at(0)
		mac.Step(sts.now, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: NewConfig(7, content()), Revision: revision.Join(eraTold0(), 90)})
		sts.now = sts.now.Add(tst.before)
		sts.read(mac, NewConfig(tst.stored, content()))
		if wrt := recorded(mac.Step(sts.now, Ticked{})); (wrt != nil) != tst.want || wrt != nil && wrt.Row.Era != eraAfter {
			t.Errorf("%s: recorded %+v", tst.name, wrt)
		}
		if recorded(mac.Step(sts.now.Add(TickInterval), Ticked{})) != nil {
			t.Errorf("%s: recorded again at once", tst.name)
		}
	}
}

// eraTold0 returns the era of a store that was never restored.
func eraTold0() revision.Era { return revision.EraTold(0) }

// TestVMThatStartsBesideOlderProgramsUsesNoKey starts a VM after a restore whose others are of a program without eras. They prove nothing
// and do not know the question: routes without keys must be served soon, and keys used once operators had the time to write again.
func TestVMThatStartsBesideOlderProgramsUsesNoKey(t *testing.T) {
	sts := newStarters(2)
	young, old := sts.at(0), sts.at(1).set.Self.ID
	sts.silent[old] = true
	sts.read(young, NewConfig(5, content()))
	advance := func(dur time.Duration) {
		for end := sts.now.Add(dur); sts.now.Before(end); {
			sts.now = sts.now.Add(TickInterval)
			young.Step(sts.now, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Revision: revision.Join(eraAfter, 40)})
			for _, act := range young.Step(sts.now, Ticked{}) {
				if snd, isSend := act.(Send); isSend && snd.To == old {
					if qry, isQuery := snd.Message.(feed.Query); isQuery {
						young.Step(sts.now, Received{From: old, Message: Update{Number: qry.Number, Version: 5}})
					}
				}
			}
		}
	}
	advance(maxQueueTime)
	if sts.usesKeys(young) || !young.usesConfig() {
		t.Errorf("uses keys: %v, the configuration: %v; outcome %q", sts.usesKeys(young), young.usesConfig(), young.restores.check.Outcome())
	}
	advance(young.set.Policy.RewriteTime)
	if !sts.usesKeys(young) {
		t.Errorf("the VM is not in sync; outcome %q", young.restores.check.Outcome())
	}
}

// TestVMThatStartsCutFromOthersWaits starts a VM after a restore that reaches none of the others. It must not handle requests by what
// the store shows for the revoke time, nor use keys for the time that operators have to write again, but must do so then.
func TestVMThatStartsCutFromOthersWaits(t *testing.T) {
	sts := newStarters(3)
	young := sts.at(0)
	sts.silent["v1.r"], sts.silent["v2.r"] = true, true
	sts.read(young, NewConfig(5, content()))
	pol := young.set.Policy
	sts.advance(pol.RevokeTime-TickInterval, young)
	if young.usesConfig() {
		t.Error("the VM handles requests by the store's configuration though the others may know more")
	}
	sts.advance(pol.RewriteTime-pol.RevokeTime, young)
	if !young.usesConfig() || sts.usesKeys(young) {
		t.Errorf("uses the configuration: %v, keys: %v", young.usesConfig(), sts.usesKeys(young))
	}
	sts.advance(3*TickInterval, young)
	if !sts.usesKeys(young) || young.restores.check.Outcome() != bootstrap.Waited {
		t.Errorf("the VM does not serve after the time that operators have; outcome %q", young.restores.check.Outcome())
	}
}

// TestAnswersOfVMsThatMayHaveMissedARestoreProveNothing lets VMs answer one that starts after a restore: one that has not heard of the restore, and one
// that was not in sync when the store was restored. What they know is taken, but the store must not count as proven by it.
func TestAnswersOfVMsThatMayHaveMissedARestoreProveNothing(t *testing.T) {
	for _, upd := range []Update{
		{Era: eraBefore, Version: 5, Ages: Ages{Config: time.Second}},
		{Era: eraAfter, Version: 5, Ages: Ages{Config: time.Minute}},
	} {
		sts := newStarters(2)
		young, old := sts.at(0), sts.at(1).set.Self.ID
		sts.silent[old] = true
		sts.read(young, NewConfig(5, content()))
		sts.now = sts.now.Add(TickInterval)
		for _, act := range young.Step(sts.now, Ticked{}) {
			if snd, isSend := act.(Send); isSend && snd.To == old {
				if qry, isQuery := snd.Message.(feed.Query); isQuery {
					upd.Number = qry.Number
				}
			}
		}
		young.Step(sts.now, Received{From: old, Message: upd})
		if upd.Number == 0 || sts.usesKeys(young) || young.restores.check.Settled() {
			t.Errorf("%+v counts as a proof", upd)
		}
	}
}

// TestVMThatStartsWithoutARestoreAsksNobody starts a VM at a store that was never restored, or tells no eras. It must rely on the
// store at once, and send no question: a start is not to take longer on calm days.
func TestVMThatStartsWithoutARestoreAsksNobody(t *testing.T) {
	for _, era := range []revision.Era{0, revision.EraTold(0)} {
		sts := newStarters(3)
		mac := sts.at(0)
		mac.Step(sts.now, FleetRead{RequestedAt: clock.MomentOf(sts.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: revision.Join(era, 9), Rows: sts.rows}})
		mac.Step(sts.now, TargetsRead{RequestedAt: clock.MomentOf(sts.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: revision.Join(era, 9)}})
		acts := mac.Step(sts.now, ConfigRead{RequestedAt: clock.MomentOf(sts.now), Update: NewConfig(5, content()), Revision: revision.Join(era, 9)})
		acts = append(acts, mac.Step(sts.now, Ticked{})...)
		asked := slices.ContainsFunc(acts, func(act Action) bool {
			snd, isSend := act.(Send)
			_, isQuery := snd.Message.(feed.Query)
			return isSend && isQuery
		})
		if asked || !mac.synced() || !mac.Ready() {
			t.Errorf("in era %d the VM asked: %v, is in sync: %v", era, asked, mac.synced())
		}
	}
}

// TestKeeperThatARestoredListShowsAloneWaits starts a VM at a store that was restored from a copy which lists it alone. The keeper that the store
// has lost may still have an attempt of a suspected content under way, so the VM must not allow another one at once.
func TestKeeperThatARestoredListShowsAloneWaits(t *testing.T) {
	for _, restored := range []bool{true, false} {
		sts := newStarters(1)
		mac := sts.at(0)
		era := eraTold0()
		if restored {
			era = eraAfter
		}
		sts.step(mac, FleetRead{RequestedAt: clock.MomentOf(sts.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: revision.Join(era, 40), Rows: sts.rows}})
		con, kee := request.FingerprintOf("GET", "h", "/", nil), mac.contents.keeper
		mac.contents.book.Merge(sts.now, quarantine.Report{Content: con, Ends: []quarantine.End{{Run: health.Run{Target: "t", Born: 5}}}})
		ask := quarantine.Ask{Number: 1, TimeLeft: time.Second, Known: quarantine.Report{Content: con}}
		if got := kee.Allow(sts.now, mac.set.Self.ID, ask); got == restored {
			t.Errorf("restored %v: allowed at once: %v", restored, got)
		}
		sts.now = sts.now.Add(2 * time.Second)
		if !kee.Allow(sts.now, mac.set.Self.ID, ask) {
			t.Errorf("restored %v: not allowed later", restored)
		}
	}
}
