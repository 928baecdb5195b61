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
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/registry"
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
	sts := &starters{now: clock.At(time.Hour), macs: make(map[string]*Machine), silent: make(map[string]bool)}
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
	sts.step(mac, FleetRead{RequestedAt: sts.now, Update: table.Delta[fleet.Row]{Whole: true, Revision: rev, Rows: sts.rows}})
	sts.step(mac, TargetsRead{RequestedAt: sts.now, Update: table.Delta[registry.Entry]{Whole: true, Revision: rev}})
	sts.step(mac, ConfigRead{RequestedAt: sts.now, Update: con, Revision: rev})
}

// advance lets time pass for some VMs, each of which reads that nothing has changed.
func (sts *starters) advance(dur time.Duration, macs ...*Machine) {
	for end := sts.now.Add(dur); sts.now.Before(end); {
		sts.now = sts.now.Add(TickInterval)
		for _, mac := range macs {
			sts.step(mac, ConfigRead{RequestedAt: sts.now, Revision: revision.Join(eraAfter, 40)})
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
	sts.step(old, ConfigRead{RequestedAt: sts.now, Update: late, Revision: revision.Join(eraBefore, 90)})
	sts.read(old, early)
	known := sts.now
	sts.now = sts.now.Add(time.Second)
	sts.read(young, early)
	if young.synced() || young.Ready() || young.configConfirmedAt != (clock.Instant{}) {
		t.Error("the VM relies on the store before it has asked another VM")
	}
	sts.advance(TickInterval, young)
	if young.version() != 7 || young.configConfirmedAt != known || !young.Ready() {
		t.Errorf("version %d counts as confirmed %v after the restore, want version 7 as confirmed before it; outcome %q", young.version(), young.configConfirmedAt.Since(known), young.restores.check.Outcome())
	}
	sts.advance(time.Second, young, old)
	if young.configConfirmedAt != known {
		t.Error("reads of the earlier configuration confirm the later one")
	}
}

// TestVMsThatAllStartAfterARestoreServeSoon starts all VMs of a fleet after a restore, as after the loss of all. Nobody knows more
// than the store, so they must rely on it within the time for which callers are queued.
func TestVMsThatAllStartAfterARestoreServeSoon(t *testing.T) {
	sts := newStarters(30)
	var macs []*Machine
	for num := range 30 {
		macs = append(macs, sts.at(num))
		sts.read(sts.at(num), NewConfig(5, content()))
	}
	sts.advance(maxQueueTime, macs...)
	for num, mac := range macs {
		if !mac.synced() || sts.now.Since(mac.configConfirmedAt) > TickInterval {
			t.Errorf("VM %d is not in sync; outcome %q", num, mac.restores.check.Outcome())
		}
	}
}

// TestVMThatStartsBesideOlderProgramsServesSoon starts a VM after a restore whose others are of a program without eras. They prove nothing
// and do not know the question, so the VM must not wait for the revoke time.
func TestVMThatStartsBesideOlderProgramsServesSoon(t *testing.T) {
	sts := newStarters(2)
	young, old := sts.at(0), sts.at(1).set.Self.ID
	sts.silent[old] = true
	sts.read(young, NewConfig(5, content()))
	for end := sts.now.Add(maxQueueTime); sts.now.Before(end); {
		sts.now = sts.now.Add(TickInterval)
		for _, act := range young.Step(sts.now, Ticked{}) {
			if snd, isSend := act.(Send); isSend && snd.To == old {
				if qry, isQuery := snd.Message.(feed.Query); isQuery {
					young.Step(sts.now, Received{From: old, Message: Update{Number: qry.Number, Version: 5}})
				}
			}
		}
	}
	if !young.synced() {
		t.Errorf("the VM is not in sync; outcome %q", young.restores.check.Outcome())
	}
}

// TestVMThatStartsCutFromOthersWaits starts a VM after a restore that reaches none of the others. Strict revocation goes first: it must not
// rely on the store for the revoke time, but must do so then.
func TestVMThatStartsCutFromOthersWaits(t *testing.T) {
	sts := newStarters(3)
	young := sts.at(0)
	sts.silent["v1.r"], sts.silent["v2.r"] = true, true
	sts.read(young, NewConfig(5, content()))
	revoke := young.set.Policy.RevokeTime
	sts.advance(revoke-TickInterval, young)
	if young.Ready() || young.configConfirmedAt != (clock.Instant{}) {
		t.Error("the VM relies on the store though the others may know more")
	}
	sts.advance(2*TickInterval, young)
	if !young.Ready() || young.restores.check.Outcome() != bootstrap.GaveUp {
		t.Errorf("the VM does not serve after the revoke time; outcome %q", young.restores.check.Outcome())
	}
}

// TestVMThatStartsWithoutARestoreAsksNobody starts a VM at a store that was never restored, or tells no eras. It must rely on the
// store at once, and send no question: a start is not to take longer on calm days.
func TestVMThatStartsWithoutARestoreAsksNobody(t *testing.T) {
	for _, era := range []revision.Era{0, revision.EraTold(0)} {
		sts := newStarters(3)
		mac := sts.at(0)
		mac.Step(sts.now, FleetRead{RequestedAt: sts.now, Update: table.Delta[fleet.Row]{Whole: true, Revision: revision.Join(era, 9), Rows: sts.rows}})
		mac.Step(sts.now, TargetsRead{RequestedAt: sts.now, Update: table.Delta[registry.Entry]{Whole: true, Revision: revision.Join(era, 9)}})
		acts := mac.Step(sts.now, ConfigRead{RequestedAt: sts.now, Update: NewConfig(5, content()), Revision: revision.Join(era, 9)})
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
