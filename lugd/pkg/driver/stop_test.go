package driver

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
)

// TestStopOfTokenServer stops a VM that is a token server while the store works, is down or
// rejects writes. The VM must be off the fleet list before it exits, and another VM must
// take over the role of token server, at the latest when its lease would have expired.
// Time is virtual.
func TestStopOfTokenServer(t *testing.T) {
	const (
		vms = 9
		// stopTime is the shortest time that a graceful stop takes: within it the load
		// balancer notices that the VM stops.
		stopTime = 2200 * time.Millisecond
	)
	for _, one := range []struct {
		name string
		// down is how long the store is down from the start of the stop.
		down time.Duration
		// refuses reports whether the store rejects a write of the named object when the
		// given time has passed since the stop began.
		refuses func(name string, since time.Duration) bool
		// most is how long the role may stay vacant. VMs that read the store may
		// back off for 1.2 s after it was down.
		most time.Duration
	}{
		{"the store answers", 0, nil, 600 * time.Millisecond},
		{"the store is down when the stop begins", time.Second, nil, fleet.LeaseTime},
		{"the store rejects the first releases", 0, func(name string, since time.Duration) bool {
			return strings.HasPrefix(name, "duty.") && since < 400*time.Millisecond
		}, 1200 * time.Millisecond},
		{"the store rejects the first removals from the list", 0, func(name string, since time.Duration) bool {
			return strings.HasPrefix(name, "vm.") && since < time.Second
		}, 600 * time.Millisecond},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				sto := newMemoryStore()
				var mut sync.Mutex
				served := make(map[string]time.Time)
				net := &network{delay: time.Millisecond, onEvent: func(vm, event string) {
					mut.Lock()
					defer mut.Unlock()
					if event == "serveTokens" {
						served[vm] = time.Now()
					}
				}}
				startFleet(ctx, sto, net, vms, 20*time.Millisecond)
				time.Sleep(4 * time.Second)
				sto.mut.Lock()
				row, _ := sto.fleet.Get(fleet.TokenServerName(0))
				holder, began := row.Value.Holder, time.Now()
				sto.refuses = func(name string) bool { return one.refuses != nil && one.refuses(name, time.Since(began)) }
				sto.mut.Unlock()
				if holder == "" {
					t.Fatal("no VM holds the role of token server 0")
				}
				sto.setDown(one.down > 0)
				net.drivers[holder].Step(gateway.StopBegan{})
				time.Sleep(one.down)
				sto.setDown(false)
				time.Sleep(stopTime - one.down)
				net.disconnect(holder)
				sto.mut.Lock()
				defer sto.mut.Unlock()
				if row, listed := sto.fleet.Get(fleet.VMName(strings.TrimSuffix(holder, ".r"))); listed {
					t.Errorf("the VM is still listed: %+v", row)
				}
				sto.mut.Unlock()
				time.Sleep(fleet.LeaseTime - stopTime)
				sto.mut.Lock()
				mut.Lock()
				defer mut.Unlock()
				row, _ = sto.fleet.Get(fleet.TokenServerName(0))
				at, serves := served[row.Value.Holder]
				if row.Value.Holder == holder || !serves || at.Sub(began) > one.most {
					t.Errorf("%s holds the role of %s, and serves after %v: %v", row.Value.Holder, holder, at.Sub(began), serves)
				}
			})
		})
	}
}
