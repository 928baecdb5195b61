package gateway

import (
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// The eras before and after a restore of the store.
const (
	eraBefore revision.Era = 2
	eraAfter  revision.Era = 3
)

// readIn returns the read of a configuration in an era, of the version before if con is nil.
func readIn(era revision.Era, at clock.Instant, con *Config) ConfigRead {
	return ConfigRead{RequestedAt: clock.MomentOf(at), Update: con, Revision: revision.Join(era, 40)}
}

// sent returns the messages among actions by receiver.
func sent(acts []Action) map[string]any {
	out := make(map[string]any)
	for _, act := range acts {
		if snd, ok := act.(Send); ok {
			out[snd.To] = snd.Message
		}
	}
	return out
}

// TestEarlierConfigurationOfARestoredStoreConfirmsNothing restores the store to an earlier version than the one in
// force. That must stay in force, but not count as confirmed until the store has it or a later one: otherwise a key
// that the lost seconds had withdrawn would go on working.
func TestEarlierConfigurationOfARestoredStoreConfirmsNothing(t *testing.T) {
	pai := newPair(t)
	mac, now := pai.followed, pai.now
	mac.Step(now, readIn(eraBefore, now, NewConfig(7, content())))
	later := now.Add(time.Second)
	mac.Step(later, readIn(eraAfter, later, NewConfig(5, content())))
	mac.Step(later, readIn(eraAfter, later, nil))
	if mac.version() != 7 || mac.configConfirmedAt != clock.MomentOf(now) {
		t.Errorf("version %d counts as confirmed %v ago, want version 7 as confirmed before the restore", mac.version(), mac.configConfirmedAt.AgeOr(neverAge, later))
	}
	mac.Step(later, ConfigRead{RequestedAt: clock.MomentOf(later), Revision: revision.Join(eraAfter, 41), Absent: true})
	if mac.configConfirmedAt != clock.MomentOf(now) {
		t.Error("a store without a configuration confirms one")
	}
	mac.Step(later, readIn(eraBefore, later, nil))
	if mac.configConfirmedAt != clock.MomentOf(now) {
		t.Error("a read of the era before confirms the configuration")
	}
	mac.Step(later, readIn(eraAfter, later, NewConfig(7, content())))
	if mac.version() != 7 || mac.configConfirmedAt != clock.MomentOf(later) {
		t.Error("the version that the operator has written again is not confirmed")
	}
}

// TestConfigurationThatTheStoreHasLostIsOffered restores the store to an earlier version than the one in force. The VMs
// that read for other failure domains must be sent the later one, since they may have started meanwhile, and so must a
// followed VM that tells of an earlier version.
func TestConfigurationThatTheStoreHasLostIsOffered(t *testing.T) {
	pai := newPair(t)
	mac, now := pai.followed, pai.now
	other := vmRow("other", "b", revision.Join(eraBefore, 6))
	list := table.Delta[fleet.Row]{Whole: true, Revision: revision.Join(eraBefore, 6), Rows: []table.Row[fleet.Row]{vmRow("one", "a", 1), vmRow("two", "a", 2), other}}
	mac.Step(now, FleetRead{RequestedAt: clock.MomentOf(now), Update: list})
	mac.Step(now, readIn(eraBefore, now, NewConfig(7, content())))
	acts := sent(mac.Step(now, readIn(eraAfter, now, NewConfig(5, content()))))
	if upd, ok := acts[other.Value.VM.ID].(Update); !ok || upd.Config == nil || upd.Config.Version != 7 || len(acts) != 1 {
		t.Fatalf("sent %+v", acts)
	}
	now = now.Add(offerInterval)
	acts = sent(mac.Step(now, Received{From: "new.r", Message: Update{Number: 1, Era: eraAfter, Version: 5}}))
	if upd, ok := acts["new.r"].(Update); !ok || upd.Config == nil || upd.Config.Version != 7 {
		t.Errorf("sent %+v", acts)
	}
	pai.follower.Step(now, Received{From: mac.set.Self.ID, Message: acts["new.r"]})
	if pai.follower.version() != 7 {
		t.Error("the configuration that was offered is not taken")
	}
}

// TestVMThatIsOfferedAConfigurationGoesOnReading offers the configuration to a VM that has just started and has not got the list
// of VMs from the store yet. It must go on reading the list, or it would never learn of the targets, the drains and the other VMs.
func TestVMThatIsOfferedAConfigurationGoesOnReading(t *testing.T) {
	now := clock.At(time.Hour)
	mac := newStarters(1).at(0)
	mac.Step(now, Ticked{})
	mac.Step(now, Received{From: "other.r", Message: Update{Version: 7, Config: NewConfig(7, content())}})
	mac.Step(now, Ticked{})
	if mac.version() != 7 || mac.reading == nil || !mac.reading.On {
		t.Errorf("version %d is in force, reading: %+v", mac.version(), mac.reading)
	}
}

func vmRow(name, domain string, rev uint64) table.Row[fleet.Row] {
	row := fleet.Row{Name: name}
	row.VM.ID, row.VM.FailureDomain = name+".r", domain
	return table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: rev, Value: row}
}

// TestProofsOfProgramsWithoutErasProveNothing follows a VM whose program knows no eras, once this VM knows one. Such a VM
// goes on from revisions that a restored store has given out again. What it tells must not count as confirmed, and it
// must not be followed, or else this VM would not read the store itself.
func TestProofsOfProgramsWithoutErasProveNothing(t *testing.T) {
	pai := newPair(t)
	pai.config(1, content())
	pai.advance(2 * time.Second)
	if pai.follower.selector.Followed() == "" {
		t.Fatal("a VM without eras is not followed while none is known")
	}
	pai.follower.noteEra(pai.now, eraBefore)
	known := pai.now
	pai.advance(3 * time.Second)
	if pai.follower.selector.Followed() != "" || !pai.follower.reading.On {
		t.Errorf("follows %q, reads the store: %v", pai.follower.selector.Followed(), pai.follower.reading.On)
	}
	for name, at := range map[string]clock.Moment{"configuration": pai.follower.configConfirmedAt, "targets": pai.follower.targetsConfirmedAt, "list of VMs": pai.follower.fleet.ConfirmedAt()} {
		if ins, confirmed := at.Instant(); confirmed && known.Before(ins) {
			t.Errorf("the %s counts as confirmed %v after an era was known", name, ins.Since(known))
		}
	}
}

// TestReadsOfAnEarlierEraConfirmNothing reads targets and VMs in an earlier era than the copies are of. Neither the
// copies nor the times of their confirmation may change.
func TestReadsOfAnEarlierEraConfirmNothing(t *testing.T) {
	pai := newPair(t)
	mac, now := pai.followed, pai.now
	now = now.Add(time.Second)
	rows := []table.Row[fleet.Row]{vmRow("one", "a", revision.Join(eraAfter, 2)), vmRow("two", "a", revision.Join(eraAfter, 3))}
	mac.Step(now, TargetsRead{RequestedAt: clock.MomentOf(now), Update: table.Delta[registry.Entry]{Whole: true, Revision: revision.Join(eraAfter, 3)}})
	mac.Step(now, FleetRead{RequestedAt: clock.MomentOf(now), Update: table.Delta[fleet.Row]{Whole: true, Revision: revision.Join(eraAfter, 3), Rows: rows}})
	later := now.Add(time.Second)
	mac.Step(later, TargetsRead{RequestedAt: clock.MomentOf(later), Update: table.Delta[registry.Entry]{Whole: true, Revision: revision.Join(eraBefore, 90)}})
	mac.Step(later, FleetRead{RequestedAt: clock.MomentOf(later), Update: table.Delta[fleet.Row]{Whole: true, Revision: revision.Join(eraBefore, 90)}})
	if mac.targetsConfirmedAt != clock.MomentOf(now) || mac.fleet.ConfirmedAt() != clock.MomentOf(now) || mac.fleet.View().Size() != 2 {
		t.Errorf("targets count as confirmed %v and VMs %v before", mac.targetsConfirmedAt.AgeOr(neverAge, later), mac.fleet.ConfirmedAt().AgeOr(neverAge, later))
	}
}
