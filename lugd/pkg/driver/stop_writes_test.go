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

// minStopTime is the shortest time that a graceful stop takes: within it the load
// balancer notices that the VM stops.
const minStopTime = 2200 * time.Millisecond

// rolesHeld returns how many token server roles a VM holds, according to the store.
func (sto *memoryStore) rolesHeld(id string) (sum int) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for num := range fleet.TokenServerCount {
		if row, _ := sto.fleet.Get(fleet.TokenServerName(num)); row.Value.Holder == id && !row.Value.Released {
			sum++
		}
	}
	return sum
}

// isListed reports whether a VM is on the fleet list in the store.
func (sto *memoryStore) isListed(id string) bool {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	_, listed := sto.fleet.Get(fleet.VMName(strings.TrimSuffix(id, ".r")))
	return listed
}

// setWriteDelay delays the effect of writes by writeDelay of the object's name.
func (sto *memoryStore) setWriteDelay(writeDelay func(name string) time.Duration) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.writeDelay = writeDelay
}

// TestGracefulStopMakesOneCallPerObject stops one VM of a fleet, each VM in a run of its
// own and whatever its roles, with a fast and with a slow store. Calls to the store are
// billed: the stop must make one for the VM's entry on the fleet list and one for each
// token server role that it holds, and the store must reject none.
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
						t.Errorf("listed: %v, token server roles held: %d", sto.isListed(id), sto.rolesHeld(id))
					}
				})
			})
		}
	}
}

// TestLostStopWritesAreRetried delays the first writes of a graceful stop (those to token
// server roles, that to the VM's entry on the fleet list, or both) until after the stop
// has ended. Retries must release the roles and take the VM off the list before the stop
// ends, and the late effect of the first writes must not undo this.
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
				// The first writes take effect during the second sleep.
				for _, what := range []string{"at the end of the stop", "later"} {
					time.Sleep(minStopTime)
					if sto.isListed(id) || sto.rolesHeld(id) > 0 {
						t.Errorf("%s: listed: %v, token server roles held: %d", what, sto.isListed(id), sto.rolesHeld(id))
					}
				}
			})
		})
	}
}

// TestWriteInFlightAtStopIsUndone starts the graceful stop of a VM just after the VM has
// sent a write (to enlist, to claim a token server role, or to store its busy
// organisations) that takes effect only during the stop. The VM must not stay listed or
// keep a role.
func TestWriteInFlightAtStopIsUndone(t *testing.T) {
	const lateWriteDelay = 400 * time.Millisecond
	for _, one := range []struct {
		event, prefix string
		// applied reports whether an object of the VM shows that the write took effect.
		applied func(row fleet.Row) bool
		// released is set if the VM holds a token server role that it must release while
		// it is still listed, so that its successor can serve at once.
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
					t.Fatal("no VM sent the write")
				}
				time.Sleep(time.Millisecond) // The writes of the stop must reach the store after this one.
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
					t.Fatal("the write did not take effect during the stop")
				}
				if sto.isListed(id) || sto.rolesHeld(id) > 0 {
					t.Errorf("listed: %v, token server roles held: %d", sto.isListed(id), sto.rolesHeld(id))
				}
				if one.released && !released {
					t.Error("the token server role was not released")
				}
			})
		})
	}
}
