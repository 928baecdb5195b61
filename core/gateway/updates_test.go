package gateway

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

// pair is a VM that reads the platform, the followed one, and one that follows it, the follower.
type pair struct {
	now                clock.Instant
	followed, follower *Machine
	// rows are those of both in the list of VMs.
	rows []table.Row[fleet.Row]
	// lose reports whether an update to the follower is lost.
	lose func(update Update) bool
	// loseDrains reports whether a report of drains to the follower is lost; nil if none is.
	loseDrains func() bool
	// updates holds the updates that reached the follower.
	updates []Update
}

func newPair(t *testing.T) *pair {
	t.Helper()
	pai := &pair{now: processStart}
	var rows []table.Row[fleet.Row]
	var vms []member.VM
	for num, name := range []string{"one", "two"} {
		vmm := member.VM{ID: name + ".r", Address: fmt.Sprint("127.0.0.1:", num+1), FailureDomain: "a"}
		vms = append(vms, vmm)
		rows = append(rows, table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: uint64(num + 1), Value: fleet.Row{VM: vmm, Name: name}})
	}
	pai.rows = rows
	first := member.Ranked(vms, "feed/a", 1)[0]
	for num, vmm := range vms {
		mac := New(Settings{Name: rows[num].Value.Name, Self: vmm, Policy: policy()}, rand.New(rand.NewPCG(uint64(num), 1)))
		mac.restores.check.Settle(bootstrap.NeverRestored) // Both have run since before any restore.
		mac.Step(pai.now, FleetRead{RequestedAt: clock.MomentOf(pai.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: rows}})
		if vmm == first {
			pai.followed = mac
		} else {
			pai.follower = mac
		}
	}
	pai.followed.Step(pai.now, TargetsRead{RequestedAt: clock.MomentOf(pai.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 9}})
	return pai
}

// advance advances the time. Messages are delivered at once, and the platform tells the followed VM
// that nothing has changed.
func (pai *pair) advance(dur time.Duration) {
	for end := pai.now.Add(dur); pai.now.Before(end); pai.now = pai.now.Add(TickInterval) {
		pai.deliver(pai.followed, pai.followed.Step(pai.now, ConfigRead{RequestedAt: clock.MomentOf(pai.now)}))
		pai.deliver(pai.followed, pai.followed.Step(pai.now, TargetsRead{RequestedAt: clock.MomentOf(pai.now), Update: table.Delta[registry.Entry]{Since: 9, Revision: 9}}))
		pai.deliver(pai.followed, pai.followed.Step(pai.now, FleetRead{RequestedAt: clock.MomentOf(pai.now), Update: table.Delta[fleet.Row]{Since: 5, Revision: 5}}))
		pai.deliver(pai.followed, pai.followed.Step(pai.now, Ticked{}))
		pai.deliver(pai.follower, pai.follower.Step(pai.now, Ticked{}))
	}
}

func (pai *pair) config(version uint64, con config.Content) {
	pai.deliver(pai.followed, pai.followed.Step(pai.now, ConfigRead{RequestedAt: clock.MomentOf(pai.now), Update: NewConfig(version, con)}))
}

func (pai *pair) deliver(from *Machine, acts []Action) {
	for _, act := range acts {
		snd, ok := act.(Send)
		if !ok {
			continue
		}
		to := pai.followed
		if from == pai.followed {
			to = pai.follower
			if _, isReport := snd.Message.(drain.Report); isReport && pai.loseDrains != nil && pai.loseDrains() {
				continue
			}
			if update, isUpdate := snd.Message.(Update); isUpdate {
				if pai.lose != nil && pai.lose(update) {
					continue
				}
				pai.updates = append(pai.updates, update)
			}
		}
		pai.deliver(to, to.Step(pai.now, Received{From: from.set.Self.ID, Message: snd.Message}))
	}
}

// manyRoutes returns a content of many routes, one of which leads to the given service.
func manyRoutes(service string) config.Content {
	con := content()
	for num := range 40 {
		con.Routes = append(con.Routes, config.Route{Name: fmt.Sprintf("route-%02d", num), PathPrefix: fmt.Sprintf("/%d/", num), Service: "svc", MaxAttempts: 1})
	}
	con.Routes[3].Service = service
	return con
}

// TestFollowersReceiveChanges changes the configuration of the followed VM. The follower must get a
// small change as a patch that leads to the same configuration, and a large one as a whole
// configuration.
func TestFollowersReceiveChanges(t *testing.T) {
	pai := newPair(t)
	pai.config(1, manyRoutes("svc"))
	pai.advance(2 * time.Second)
	if pai.follower.version() != 1 || pai.follower.selector.Followed() != pai.followed.set.Self.ID {
		t.Fatalf("the follower holds version %d and follows %q", pai.follower.version(), pai.follower.selector.Followed())
	}
	pai.updates = nil
	pai.config(2, manyRoutes("new"))
	pai.advance(time.Second)
	if pai.follower.version() != 2 || pai.follower.config.Snapshot.Service("new") == nil {
		t.Fatalf("the follower holds version %d", pai.follower.version())
	}
	got := make(map[string]config.Route)
	for _, rou := range pai.follower.config.Content.Routes {
		got[rou.Name] = rou
	}
	for _, rou := range manyRoutes("new").Routes {
		if !reflect.DeepEqual(got[rou.Name], rou) {
			t.Errorf("the follower holds %+v, want %+v", got[rou.Name], rou)
		}
	}
	if len(pai.follower.formerConfigs) > 0 {
		t.Error("a VM without followers keeps former configurations")
	}
	for _, update := range pai.updates {
		if update.Config != nil {
			t.Error("a configuration with one change was sent as a whole")
		}
	}
	// A change of most objects is sent as a whole configuration.
	pai.config(3, content())
	pai.advance(time.Second)
	if pai.follower.version() != 3 || len(pai.follower.config.Content.Routes) != len(content().Routes) {
		t.Errorf("the follower holds version %d with %d routes", pai.follower.version(), len(pai.follower.config.Content.Routes))
	}
}

// TestLostUpdateConfirmsNothing loses the update with a new configuration. Later updates must not
// make the follower take its old configuration for the newest.
func TestLostUpdateConfirmsNothing(t *testing.T) {
	pai := newPair(t)
	pai.config(1, manyRoutes("svc"))
	pai.advance(2 * time.Second)
	lost := pai.now
	losses := 1
	pai.lose = func(update Update) bool {
		losses--
		return losses >= 0 && (update.Config != nil || update.Patch != nil)
	}
	pai.config(2, manyRoutes("new"))
	for range 40 {
		pai.advance(TickInterval)
		if age := pai.follower.ages(pai.now).Config; pai.follower.version() == 1 && age < pai.now.Since(lost) {
			t.Fatalf("%v after the loss, the old configuration counts as confirmed %v ago", pai.now.Since(lost), age)
		}
	}
	if pai.follower.version() != 2 {
		t.Error("the lost configuration was not sent again")
	}
}

// TestLostUpdatesAreResentDuringOtherChanges loses an update with a configuration, and one with a
// VM, while the list of VMs changes all the time. Both must be sent again, although other changes
// are always in transit.
func TestLostUpdatesAreResentDuringOtherChanges(t *testing.T) {
	pai := newPair(t)
	pai.config(1, manyRoutes("svc"))
	pai.advance(2 * time.Second)
	losses := 0
	pai.lose = func(update Update) bool {
		first := update.Config != nil || update.Patch != nil
		if !first || losses > 0 {
			return false
		}
		losses++
		return true
	}
	pai.config(2, manyRoutes("new"))
	revision := uint64(5)
	list := func(num int) {
		revision++
		name := fmt.Sprint("vm-", num)
		row := table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: revision, Value: fleet.Row{VM: member.VM{ID: name + ".r", FailureDomain: "b"}, Name: name}}
		pai.deliver(pai.followed, pai.followed.Step(pai.now, FleetRead{RequestedAt: clock.MomentOf(pai.now), Update: table.Delta[fleet.Row]{Since: revision - 1, Revision: revision, Rows: []table.Row[fleet.Row]{row}}}))
	}
	for num := range 30 {
		if num == 1 {
			lost := pai.lose
			pai.lose = func(update Update) bool { return !update.Fleet.Empty() }
			list(num)
			pai.lose = lost
		} else {
			list(num)
		}
		pai.now = pai.now.Add(TickInterval)
		pai.deliver(pai.followed, pai.followed.Step(pai.now, ConfigRead{RequestedAt: clock.MomentOf(pai.now)}))
		pai.deliver(pai.followed, pai.followed.Step(pai.now, Ticked{}))
		pai.deliver(pai.follower, pai.follower.Step(pai.now, Ticked{}))
	}
	if losses != 1 || pai.follower.version() != 2 {
		t.Errorf("1.5 s after %d losses the follower holds version %d", losses, pai.follower.version())
	}
	if got := pai.follower.fleet.View().Size(); got < 30 {
		t.Errorf("the follower knows %d VMs, want 30 at least", got)
	}
}

// TestWhatWasNeverConfirmedIsNotPassedOnAsConfirmed lets a VM answer a follower whose targets and list of VMs may be seconds old, since the
// store has only listed them cheaply. The follower must not take them for confirmed: it would go by a list that lacks holders of roles
// as if its lease were good.
func TestWhatWasNeverConfirmedIsNotPassedOnAsConfirmed(t *testing.T) {
	pai := newPair(t)
	pai.followed.targetsConfirmedAt, pai.followed.registry = clock.Moment{}, registry.New()
	pai.followed.Step(pai.now, TargetsRead{Update: table.Delta[registry.Entry]{Whole: true, Revision: 9}})
	held := pai.followed.fleet.ConfirmedAt()
	pai.followed.fleet = fleet.New(pai.followed.set.Self, pai.followed.set.Name)
	pai.followed.Step(pai.now, FleetRead{Update: table.Delta[fleet.Row]{Whole: true, Revision: 6, Rows: pai.rows}})
	pai.config(1, content())
	for range 20 {
		pai.now = pai.now.Add(TickInterval)
		pai.deliver(pai.followed, pai.followed.Step(pai.now, ConfigRead{RequestedAt: clock.MomentOf(pai.now)}))
		pai.deliver(pai.follower, pai.follower.Step(pai.now, Ticked{}))
	}
	mac := pai.follower
	if !mac.configConfirmedAt.Known() {
		t.Fatal("the follower was not answered")
	}
	if mac.targetsConfirmedAt.Known() || mac.fleet.ConfirmedAt() != held {
		t.Errorf("the targets count as confirmed: %t; the list of VMs: %+v, want %+v", mac.targetsConfirmedAt.Known(), mac.fleet.ConfirmedAt(), held)
	}
}
