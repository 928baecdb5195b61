package driver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

var errDown = errors.New("the store is down")

// answerDelay is how long the store takes to answer a call.
const answerDelay = 4 * time.Millisecond

// memoryStore is an in-memory Platform that counts the calls that would be billed.
type memoryStore struct {
	mut     sync.Mutex
	down    bool
	billed  int
	fleet   *table.Table[fleet.Row]
	changed chan struct{}
	// refuses reports whether a write of the named object is rejected; nil rejects none.
	refuses func(name string) bool
	// writeDelay returns how long after its arrival a write of the named object takes
	// effect; nil stands for at once.
	writeDelay func(name string) time.Duration
}

func newMemoryStore() *memoryStore {
	sto := &memoryStore{fleet: table.New[fleet.Row](), changed: make(chan struct{})}
	sto.fleet.Apply(table.Delta[fleet.Row]{Whole: true, Revision: 1})
	return sto
}

func (sto *memoryStore) setDown(down bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.down = down
}

func (sto *memoryStore) calls() int {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.billed
}

// call counts a call if it is billed, and fails while the store is down.
func (sto *memoryStore) call(ctx context.Context, billed bool) error {
	Sleep(ctx, answerDelay)
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if billed {
		sto.billed++
	}
	if sto.down {
		return errDown
	}
	return ctx.Err()
}

// Write implements Platform.
func (sto *memoryStore) Write(ctx context.Context, name string, row fleet.Row, revision uint64) error {
	return sto.change(ctx, name, revision, table.Delta[fleet.Row]{Rows: []table.Row[fleet.Row]{{Name: name, Value: row}}})
}

// Delete implements Platform.
func (sto *memoryStore) Delete(ctx context.Context, name string, revision uint64) error {
	return sto.change(ctx, name, revision, table.Delta[fleet.Row]{Removed: []string{name}})
}

func (sto *memoryStore) change(ctx context.Context, name string, revision uint64, del table.Delta[fleet.Row]) error {
	if err := sto.call(ctx, true); err != nil {
		return err
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.writeDelay != nil {
		wait := sto.writeDelay(name)
		sto.mut.Unlock()
		time.Sleep(wait) // The write takes effect even if its caller has timed out.
		sto.mut.Lock()
	}
	if sto.refuses != nil && sto.refuses(name) {
		return errDown
	}
	if row, _ := sto.fleet.Get(name); row.Revision != revision {
		return fmt.Errorf("%s has revision %d, not %d", name, row.Revision, revision)
	}
	del.Since = sto.fleet.Revision()
	del.Revision = del.Since + 1
	for num := range del.Rows {
		del.Rows[num].Revision = del.Revision
	}
	sto.fleet.Apply(del)
	close(sto.changed)
	sto.changed = make(chan struct{})
	return nil
}

// Config implements Platform.
func (sto *memoryStore) Unread() int { return 0 }

func (sto *memoryStore) Config() Source[*gateway.Config] {
	return &fixedSource[*gateway.Config]{sto: sto, rows: []table.Row[*gateway.Config]{{Name: "main", Revision: 1, Value: gateway.NewConfig(1, config.Content{})}}}
}

// Targets implements Platform.
func (sto *memoryStore) Targets() Source[registry.Entry] {
	return &fixedSource[registry.Entry]{sto: sto}
}

// Fleet implements Platform.
func (sto *memoryStore) Fleet() Source[fleet.Row] { return (*fleetSource)(sto) }

// Drains implements Platform.
func (sto *memoryStore) Drains() Source[drain.Entry] { return &fixedSource[drain.Entry]{sto: sto} }

// fixedSource is a Source whose objects never change.
type fixedSource[T any] struct {
	sto  *memoryStore
	rows []table.Row[T]
}

func (fxs *fixedSource[T]) List(ctx context.Context, allowStale bool) (table.Delta[T], error) {
	return table.Delta[T]{Whole: true, Revision: 1, Rows: slices.Clone(fxs.rows)}, fxs.sto.call(ctx, !allowStale)
}

func (fxs *fixedSource[T]) Watch(ctx context.Context, since uint64, wait time.Duration) (table.Delta[T], error) {
	err := fxs.sto.call(ctx, true)
	if err == nil {
		Sleep(ctx, wait)
	}
	return table.Delta[T]{Since: since, Revision: since}, err
}

// fleetSource is the Source of a store's fleet objects.
type fleetSource memoryStore

func (fls *fleetSource) List(ctx context.Context, allowStale bool) (table.Delta[fleet.Row], error) {
	sto := (*memoryStore)(fls)
	if err := sto.call(ctx, !allowStale); err != nil {
		return table.Delta[fleet.Row]{}, err
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return table.Delta[fleet.Row]{Whole: true, Revision: sto.fleet.Revision(), Rows: sto.fleet.Rows()}, nil
}

func (fls *fleetSource) Watch(ctx context.Context, since uint64, wait time.Duration) (table.Delta[fleet.Row], error) {
	sto := (*memoryStore)(fls)
	if err := sto.call(ctx, true); err != nil {
		return table.Delta[fleet.Row]{}, err
	}
	sto.mut.Lock()
	changed, revision := sto.changed, sto.fleet.Revision()
	sto.mut.Unlock()
	if revision == since {
		select {
		case <-changed:
		case <-ctx.Done():
			return table.Delta[fleet.Row]{}, ctx.Err()
		case <-time.After(wait):
		}
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.fleet.Since(since), nil
}

// network carries messages between drivers in memory. A VM that sends to an earlier run of a VM is told
// which run has replaced it.
type network struct {
	mut     sync.Mutex
	drivers map[string]*Driver
	delay   time.Duration
	// onEvent is called for each event that a machine logs, and onWrite with the outcome
	// of each write or delete; either may be nil.
	onEvent func(vm, event string)
	onWrite func(vm, what, outcome string)
}

// memoryTransport sends the messages of one VM over a network.
type memoryTransport struct {
	net  *network
	from string
}

func (mtr memoryTransport) Send(to string, msg any) {
	time.AfterFunc(mtr.net.delay, func() {
		mtr.net.mut.Lock()
		dri, self := mtr.net.drivers[to], mtr.net.drivers[mtr.from]
		mtr.net.mut.Unlock()
		switch {
		case self == nil || self.ctx.Err() != nil:
		case dri != nil && dri.ctx.Err() == nil:
			dri.Received(mtr.from, msg)
		default:
			if suc, found := mtr.net.successor(to); found {
				time.AfterFunc(mtr.net.delay, func() { self.PeerExited(to, suc) })
			}
		}
	})
}

// successor returns the run that has replaced the one with the given ID.
func (net *network) successor(id string) (member.VM, bool) {
	net.mut.Lock()
	defer net.mut.Unlock()
	for other, dri := range net.drivers {
		if other != id && member.Name(other) == member.Name(id) && dri.ctx.Err() == nil {
			return dri.self, true
		}
	}
	return member.VM{}, false
}

// testMetrics counts nothing, but calls the hooks of a network.
type testMetrics struct {
	net *network
	vm  string
}

// Event implements metrics.
func (met testMetrics) Event(name string) {
	if met.net.onEvent != nil {
		met.net.onEvent(met.vm, name)
	}
}

// PlatformCall implements metrics.
func (met testMetrics) PlatformCall(_, what, outcome string) {
	if met.net.onWrite != nil && (what == "write" || what == "delete") {
		met.net.onWrite(met.vm, what, outcome)
	}
}

// startFleet runs VMs in three failure domains until ctx is done. It pauses after starting
// each of them.
func startFleet(ctx context.Context, sto *memoryStore, net *network, vms int, pause time.Duration) {
	startRuns(ctx, sto, net, vms, pause, "r")
}

// startRuns is startFleet for VMs whose IDs end in the name of the run.
func startRuns(ctx context.Context, sto *memoryStore, net *network, vms int, pause time.Duration, run string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	net.mut.Lock()
	net.drivers = make(map[string]*Driver)
	net.mut.Unlock()
	for num := range vms {
		name := fmt.Sprintf("vm-%d", num+1)
		self := member.VM{ID: name + "." + run, Address: name, FailureDomain: fmt.Sprintf("domain-%d", num%3+1), Capacity: 1}
		set := gateway.Settings{Name: name, Self: self, Policy: gateway.Policy{
			RevokeTime: 5 * time.Second, RewriteTime: 8 * time.Second, RetryShare: 0.2, RetryExtra: 64, RetryWindow: 10 * time.Second, Quota: quota.Policy{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
		}}
		dri := New(ctx, set, sto, newClock(func() time.Duration { return 0 }), testMetrics{net: net, vm: self.ID}, log, 0)
		dri.mac = gateway.New(set, rand.New(rand.NewPCG(uint64(num), 1)))
		dri.SetTransport(memoryTransport{net: net, from: self.ID})
		net.mut.Lock()
		net.drivers[self.ID] = dri
		net.mut.Unlock()
		go dri.Run()
		Sleep(ctx, pause)
	}
}

// TestOutagesCauseFewPlatformCalls counts the billed calls of a fleet to the platform: at
// its start, and in a short outage until the fleet has settled again. It guards against VMs
// that go on reading the platform themselves instead of following the few that read it for
// the others.
func TestOutagesCauseFewPlatformCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			vms = 16
			// startPause lets all VMs start within 0.3 s.
			startPause = 20 * time.Millisecond
			// perSecond allows for three VMs that read for the others, each about three
			// times a second.
			perSecond = 10
		)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sto := newMemoryStore()
		began, before := time.Now(), 0
		check := func(what string, perVM float64) {
			t.Helper()
			sum := sto.calls()
			if most := int(perSecond*time.Since(began).Seconds() + perVM*vms); sum-before > most {
				t.Errorf("%s: %d VMs made %d calls, want %d at most", what, vms, sum-before, most)
			}
			began, before = time.Now(), sum
		}
		startFleet(ctx, sto, &network{delay: time.Millisecond}, vms, startPause)
		time.Sleep(3 * time.Second)
		check("start", 4.5)
		sto.setDown(true)
		time.Sleep(1500 * time.Millisecond)
		sto.setDown(false)
		time.Sleep(4 * time.Second)
		check("outage of 1.5 s", 6)
	})
}
