package driver

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
)

// shortestStop is the time in which the balancer notices a stop.
const shortestStop = 2200 * time.Millisecond

// duties returns how many duties the store says that a VM holds.
func (sto *memoryStore) duties(id string) (sum int) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for num := range fleet.TokenServers {
		if row, _ := sto.fleet.Get(fleet.TokenServerName(num)); row.Value.Holder == id && !row.Value.Released {
			sum++
		}
	}
	return sum
}

// lists reports whether the store lists a VM.
func (sto *memoryStore) lists(id string) bool {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	_, listed := sto.fleet.Get(fleet.VMName(strings.TrimSuffix(id, ".r")))
	return listed
}

// setLate makes writes of objects late.
func (sto *memoryStore) setLate(late func(name string) time.Duration) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.late = late
}

// TestCalmFarewellTakesOneCallAnObject stops each VM of a fleet, whatever it does for
// the others, at a store that is quick or slow. Calls are priced: there is to be one
// for its place on the list and one for each duty, and none that the store turns away.
func TestCalmFarewellTakesOneCallAnObject(t *testing.T) {
	const vms = 9
	for _, slow := range []time.Duration{0, 200 * time.Millisecond} {
		for num := range vms {
			id := fmt.Sprintf("vm-%d.r", num+1)
			t.Run(fmt.Sprintf("%s/slow by %v", id, slow), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					sto, net := newMemoryStore(), &network{delay: time.Millisecond}
					startFleet(ctx, sto, net, vms, 20*time.Millisecond)
					time.Sleep(4 * time.Second)
					want := []string{"delete done"}
					for range sto.duties(id) {
						want = append(want, "write done")
					}
					var mut sync.Mutex
					var got []string
					net.called = func(vm, what, outcome string) {
						mut.Lock()
						defer mut.Unlock()
						if vm == id {
							got = append(got, what+" "+outcome)
						}
					}
					sto.setLate(func(string) time.Duration { return slow })
					net.drivers[id].Step(gateway.StopBegan{})
					time.Sleep(2 * shortestStop)
					mut.Lock()
					defer mut.Unlock()
					slices.Sort(got)
					if !slices.Equal(got, want) {
						t.Errorf("calls %q, want %q", got, want)
					}
					if sto.lists(id) || sto.duties(id) > 0 {
						t.Errorf("listed %v, with %d duties", sto.lists(id), sto.duties(id))
					}
				})
			})
		}
	}
}

// TestLostFarewellIsRepeated has the store not carry out, for too long, the first
// writes that a VM makes in its stop. The VM is to be off the list before it ends.
func TestLostFarewellIsRepeated(t *testing.T) {
	for _, prefix := range []string{"duty.", "vm.", ""} {
		t.Run("writes of "+prefix, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				sto, net := newMemoryStore(), &network{delay: time.Millisecond}
				startFleet(ctx, sto, net, 9, 20*time.Millisecond)
				time.Sleep(4 * time.Second)
				sto.mut.Lock()
				row, _ := sto.fleet.Get(fleet.TokenServerName(0))
				sto.mut.Unlock()
				id := row.Value.Holder
				first, began := make(map[string]bool), time.Now()
				sto.setLate(func(name string) time.Duration {
					if first[name] || time.Since(began) > time.Second || !strings.HasPrefix(name, prefix) {
						return 0
					}
					first[name] = true
					return 3 * shortestStop / 2
				})
				net.drivers[id].Step(gateway.StopBegan{})
				// The first writes are carried out in the second half of this time.
				for _, what := range []string{"at its end", "later"} {
					time.Sleep(shortestStop)
					if sto.lists(id) || sto.duties(id) > 0 {
						t.Errorf("%s: listed %v, with %d duties", what, sto.lists(id), sto.duties(id))
					}
				}
			})
		})
	}
}

// TestWriteUnderWayAtTheStopIsUndone begins the stop of a VM when it has just asked to
// be listed, or for a duty, or to state who is busy, and has that take effect in the
// stop.
func TestWriteUnderWayAtTheStopIsUndone(t *testing.T) {
	const lateTime = 400 * time.Millisecond
	for _, one := range []struct {
		event, prefix string
		// landed reports whether an object of the VM shows that the write took effect.
		landed func(row fleet.Row) bool
		// released is set where the VM has a duty and is still listed until it has
		// released that, so that its successor serves at once.
		released bool
	}{
		{"enlist", "vm.", func(row fleet.Row) bool { return row.Holder == "" }, false},
		{"claim", "duty.", func(row fleet.Row) bool { return !row.Released }, false},
		{"busyOrganisations", "duty.", func(row fleet.Row) bool { return !row.Released && row.Holder != "" && !row.Busy.All }, true},
	} {
		t.Run(one.event, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				sto, asks := newMemoryStore(), make(chan string, 100)
				net := &network{delay: time.Millisecond, noted: func(vm, event string) {
					if event == one.event {
						asks <- vm
					}
				}}
				var asked time.Time
				sto.setLate(func(name string) time.Duration {
					if strings.HasPrefix(name, one.prefix) && (asked.IsZero() || time.Since(asked) < lateTime/2) {
						return lateTime
					}
					return 0
				})
				startFleet(ctx, sto, net, 9, 0)
				var id string
				select {
				case id = <-asks:
				case <-time.After(20 * time.Second):
					t.Fatal("no VM asks")
				}
				time.Sleep(time.Millisecond) // What follows is to reach the store after it.
				net.drivers[id].Step(gateway.StopBegan{})
				sto.mut.Lock()
				asked = time.Now()
				sto.mut.Unlock()
				landed, released := false, false
				for time.Since(asked) < shortestStop {
					time.Sleep(time.Millisecond)
					sto.mut.Lock()
					for _, row := range sto.fleet.Rows() {
						landed = landed || (row.Value.VM.ID == id || row.Value.Holder == id) && one.landed(row.Value)
						released = released || row.Value.Holder == id && row.Value.Released
					}
					sto.mut.Unlock()
				}
				if !landed {
					t.Fatal("the write did not take effect in the stop")
				}
				if sto.lists(id) || sto.duties(id) > 0 {
					t.Errorf("listed %v, with %d duties", sto.lists(id), sto.duties(id))
				}
				if one.released && !released {
					t.Error("the duty was not released")
				}
			})
		})
	}
}
