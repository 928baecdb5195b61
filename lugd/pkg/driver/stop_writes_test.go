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

// minStopTime is the time in which the balancer notices a stop.
const minStopTime = 2200 * time.Millisecond

// rolesHeld returns how many duties the store says that a VM holds.
func (sto *memoryStore) rolesHeld(id string) (sum int) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for num := range fleet.TokenServers {
		if row, _ := sto.fleet.Get(fleet.TokenServerName(num)); row.Value.Holder == id && !row.Value.Released {
			sum++
		}
	}
	return sum
}

// isListed reports whether the store lists a VM.
func (sto *memoryStore) isListed(id string) bool {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	_, listed := sto.fleet.Get(fleet.VMName(strings.TrimSuffix(id, ".r")))
	return listed
}

// setWriteDelay makes writes of objects late.
func (sto *memoryStore) setWriteDelay(writeDelay func(name string) time.Duration) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.writeDelay = writeDelay
}

// TestCalmFarewellTakesOneCallAnObject stops each VM of a fleet, whatever it does for
// the others, at a store that is quick or slow. Calls are priced: there is to be one
// for its place on the list and one for each duty, and none that the store turns away.
func TestGracefulStopMakesOneCallPerObject(t *testing.T) {
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
					for range sto.rolesHeld(id) {
						want = append(want, "write done")
					}
					var mut sync.Mutex
					var got []string
					net.onWrite = func(vm, what, outcome string) {
						mut.Lock()
						defer mut.Unlock()
						if vm == id {
							got = append(got, what+" "+outcome)
						}
					}
					sto.setWriteDelay(func(string) time.Duration { return slow })
					net.drivers[id].Step(gateway.StopBegan{})
					time.Sleep(2 * minStopTime)
					mut.Lock()
					defer mut.Unlock()
					slices.Sort(got)
					if !slices.Equal(got, want) {
						t.Errorf("calls %q, want %q", got, want)
					}
					if sto.isListed(id) || sto.rolesHeld(id) > 0 {
						t.Errorf("listed %v, with %d duties", sto.isListed(id), sto.rolesHeld(id))
					}
				})
			})
		}
	}
}

// TestLostFarewellIsRepeated has the store not carry out, for too long, the first
// writes that a VM makes in its stop. The VM is to be off the list before it ends.
func TestLostStopWritesAreRetried(t *testing.T) {
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
				sto.setWriteDelay(func(name string) time.Duration {
					if first[name] || time.Since(began) > time.Second || !strings.HasPrefix(name, prefix) {
						return 0
					}
					first[name] = true
					return 3 * minStopTime / 2
				})
				net.drivers[id].Step(gateway.StopBegan{})
				// The first writes are carried out in the second half of this time.
				for _, what := range []string{"at its end", "later"} {
					time.Sleep(minStopTime)
					if sto.isListed(id) || sto.rolesHeld(id) > 0 {
						t.Errorf("%s: listed %v, with %d duties", what, sto.isListed(id), sto.rolesHeld(id))
					}
				}
			})
		})
	}
}

// TestWriteUnderWayAtTheStopIsUndone begins the stop of a VM when it has just asked to
// be listed, or for a duty, or to state who is busy, and has that take effect in the
// stop.
func TestWriteInFlightAtStopIsUndone(t *testing.T) {
	const lateWriteDelay = 400 * time.Millisecond
	for _, one := range []struct {
		event, prefix string
		// landed reports whether an object of the VM shows that the write took effect.
		applied func(row fleet.Row) bool
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
				sto, events := newMemoryStore(), make(chan string, 100)
				net := &network{delay: time.Millisecond, onEvent: func(vm, event string) {
					if event == one.event {
						events <- vm
					}
				}}
				var stopBegan time.Time
				sto.setWriteDelay(func(name string) time.Duration {
					if strings.HasPrefix(name, one.prefix) && (stopBegan.IsZero() || time.Since(stopBegan) < lateWriteDelay/2) {
						return lateWriteDelay
					}
					return 0
				})
				startFleet(ctx, sto, net, 9, 0)
				var id string
				select {
				case id = <-events:
				case <-time.After(20 * time.Second):
					t.Fatal("no VM asks")
				}
				time.Sleep(time.Millisecond) // What follows is to reach the store after it.
				net.drivers[id].Step(gateway.StopBegan{})
				sto.mut.Lock()
				stopBegan = time.Now()
				sto.mut.Unlock()
				applied, released := false, false
				for time.Since(stopBegan) < minStopTime {
					time.Sleep(time.Millisecond)
					sto.mut.Lock()
					for _, row := range sto.fleet.Rows() {
						applied = applied || (row.Value.VM.ID == id || row.Value.Holder == id) && one.applied(row.Value)
						released = released || row.Value.Holder == id && row.Value.Released
					}
					sto.mut.Unlock()
				}
				if !applied {
					t.Fatal("the write did not take effect in the stop")
				}
				if sto.isListed(id) || sto.rolesHeld(id) > 0 {
					t.Errorf("listed %v, with %d duties", sto.isListed(id), sto.rolesHeld(id))
				}
				if one.released && !released {
					t.Error("the duty was not released")
				}
			})
		})
	}
}
