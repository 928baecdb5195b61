package gateway

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

// twins are the VM that reads the platform and one that follows it.
type twins struct {
	now            clock.Instant
	source, reader *Machine
	// lose reports whether news to the reader are lost.
	lose func(news Update) bool
	// news are those that reached the reader.
	news []Update
}

func newTwins(t *testing.T) *twins {
	t.Helper()
	twn := &twins{now: clock.At(time.Hour)}
	var rows []table.Row[fleet.Row]
	var vms []member.VM
	for num, name := range []string{"one", "two"} {
		vmm := member.VM{ID: name + ".r", Address: fmt.Sprint("127.0.0.1:", num+1), FailureDomain: "a"}
		vms = append(vms, vmm)
		rows = append(rows, table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: uint64(num + 1), Value: fleet.Row{VM: vmm, Name: name}})
	}
	first := member.Ranked(vms, "feed/a", 1)[0]
	for num, vmm := range vms {
		mac := New(Settings{Name: rows[num].Value.Name, Self: vmm, Policy: terms()}, rand.New(rand.NewPCG(uint64(num), 1)))
		mac.Step(twn.now, FleetRead{RequestedAt: twn.now, Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: rows}})
		if vmm == first {
			twn.source = mac
		} else {
			twn.reader = mac
		}
	}
	twn.source.Step(twn.now, TargetsRead{RequestedAt: twn.now, Update: table.Delta[registry.Entry]{Whole: true, Revision: 9}})
	return twn
}

// pass lets time pass, in which messages arrive at once and the platform tells
// the source that nothing else has changed.
func (twn *twins) pass(dur time.Duration) {
	for end := twn.now.Add(dur); twn.now.Before(end); twn.now = twn.now.Add(TickInterval) {
		twn.carry(twn.source, twn.source.Step(twn.now, ConfigRead{RequestedAt: twn.now}))
		twn.carry(twn.source, twn.source.Step(twn.now, TargetsRead{RequestedAt: twn.now, Update: table.Delta[registry.Entry]{Since: 9, Revision: 9}}))
		twn.carry(twn.source, twn.source.Step(twn.now, FleetRead{RequestedAt: twn.now, Update: table.Delta[fleet.Row]{Since: 5, Revision: 5}}))
		twn.carry(twn.source, twn.source.Step(twn.now, Ticked{}))
		twn.carry(twn.reader, twn.reader.Step(twn.now, Ticked{}))
	}
}

func (twn *twins) config(version uint64, con config.Content) {
	twn.carry(twn.source, twn.source.Step(twn.now, ConfigRead{RequestedAt: twn.now, Update: NewConfig(version, con)}))
}

func (twn *twins) carry(from *Machine, acts []Action) {
	for _, act := range acts {
		snd, ok := act.(Send)
		if !ok {
			continue
		}
		to := twn.source
		if from == twn.source {
			to = twn.reader
			if news, isNews := snd.Message.(Update); isNews {
				if twn.lose != nil && twn.lose(news) {
					continue
				}
				twn.news = append(twn.news, news)
			}
		}
		twn.carry(to, to.Step(twn.now, Received{From: from.set.Self.ID, Message: snd.Message}))
	}
}

// manyRoutes returns a content of many routes, one of which goes to a service.
func manyRoutes(service string) config.Content {
	con := content()
	for num := range 40 {
		con.Routes = append(con.Routes, config.Route{Name: fmt.Sprintf("route-%02d", num), PathPrefix: fmt.Sprintf("/%d/", num), Service: "svc", MaxAttempts: 1})
	}
	con.Routes[3].Service = service
	return con
}

func TestFollowersAreToldWhatChanged(t *testing.T) {
	twn := newTwins(t)
	twn.config(1, manyRoutes("svc"))
	twn.pass(2 * time.Second)
	if twn.reader.version() != 1 || twn.reader.follower.Followed() != twn.source.set.Self.ID {
		t.Fatalf("the reader holds version %d and follows %q", twn.reader.version(), twn.reader.follower.Followed())
	}
	twn.news = nil
	twn.config(2, manyRoutes("new"))
	twn.pass(time.Second)
	if twn.reader.version() != 2 || twn.reader.config.Snapshot.Service("new") == nil {
		t.Fatalf("the reader holds version %d", twn.reader.version())
	}
	got := make(map[string]config.Route)
	for _, rou := range twn.reader.config.Content.Routes {
		got[rou.Name] = rou
	}
	for _, rou := range manyRoutes("new").Routes {
		if !reflect.DeepEqual(got[rou.Name], rou) {
			t.Errorf("the reader holds %+v, want %+v", got[rou.Name], rou)
		}
	}
	if len(twn.reader.before) > 0 {
		t.Error("a VM that nobody follows keeps former configurations")
	}
	for _, news := range twn.news {
		if news.Config != nil {
			t.Error("a configuration with one change travelled whole")
		}
	}
	// A change of most objects travels whole.
	twn.config(3, content())
	twn.pass(time.Second)
	if twn.reader.version() != 3 || len(twn.reader.config.Content.Routes) != len(content().Routes) {
		t.Errorf("the reader holds version %d with %d routes", twn.reader.version(), len(twn.reader.config.Content.Routes))
	}
}

// TestLostNewsProveNothing loses the message that brings a configuration. Later
// ones must not make the old one pass for the newest.
func TestLostNewsProveNothing(t *testing.T) {
	twn := newTwins(t)
	twn.config(1, manyRoutes("svc"))
	twn.pass(2 * time.Second)
	lost := twn.now
	losses := 1
	twn.lose = func(news Update) bool {
		losses--
		return losses >= 0 && (news.Config != nil || news.Patch != nil)
	}
	twn.config(2, manyRoutes("new"))
	for range 40 {
		twn.pass(TickInterval)
		if age := twn.reader.ages(twn.now).Config; twn.reader.version() == 1 && age < twn.now.Since(lost) {
			t.Fatalf("%v after the loss the old configuration passes for the newest of %v ago", twn.now.Since(lost), age)
		}
	}
	if twn.reader.version() != 2 {
		t.Error("the lost configuration was not sent again")
	}
}

// TestLostNewsAreSentAgainWhileOthersGoOn loses the message that brings a
// configuration, and one that brings a VM, while the list of VMs changes all the
// time.
func TestLostNewsAreSentAgainWhileOthersGoOn(t *testing.T) {
	twn := newTwins(t)
	twn.config(1, manyRoutes("svc"))
	twn.pass(2 * time.Second)
	losses := 0
	twn.lose = func(news Update) bool {
		first := news.Config != nil || news.Patch != nil
		if !first || losses > 0 {
			return false
		}
		losses++
		return true
	}
	twn.config(2, manyRoutes("new"))
	revision := uint64(5)
	list := func(num int) {
		revision++
		name := fmt.Sprint("vm-", num)
		row := table.Row[fleet.Row]{Name: fleet.VMName(name), Revision: revision, Value: fleet.Row{VM: member.VM{ID: name + ".r", FailureDomain: "b"}, Name: name}}
		twn.carry(twn.source, twn.source.Step(twn.now, FleetRead{RequestedAt: twn.now, Update: table.Delta[fleet.Row]{Since: revision - 1, Revision: revision, Rows: []table.Row[fleet.Row]{row}}}))
	}
	for num := range 30 {
		if num == 1 {
			lost := twn.lose
			twn.lose = func(news Update) bool { return !news.Fleet.Empty() }
			list(num)
			twn.lose = lost
		} else {
			list(num)
		}
		twn.now = twn.now.Add(TickInterval)
		twn.carry(twn.source, twn.source.Step(twn.now, ConfigRead{RequestedAt: twn.now}))
		twn.carry(twn.source, twn.source.Step(twn.now, Ticked{}))
		twn.carry(twn.reader, twn.reader.Step(twn.now, Ticked{}))
	}
	if losses != 1 || twn.reader.version() != 2 {
		t.Errorf("1.5 s after %d losses the reader holds version %d", losses, twn.reader.version())
	}
	if got := twn.reader.fleet.View().Size(); got < 30 {
		t.Errorf("the reader knows %d VMs, want 30 at least", got)
	}
}
