package driver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
)

// TestFirstStartMakesFewCalls starts all VMs for the first time, when the store lists none. Most of them
// must only list themselves and follow another one, or else the store is called several times by each.
func TestFirstStartMakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A VM that many others query at once needs as long to answer as answerLag.
		const vms, callsPerVM, readerCalls, answerLag = 120, 2, 30, 150 * time.Millisecond
		sto, net := newMemoryStore(), &network{delay: answerLag}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		startFleet(ctx, sto, net, vms, 300*time.Millisecond/vms)
		time.Sleep(2 * time.Second)
		if calls := sto.calls(); calls > callsPerVM*vms+6*readerCalls {
			t.Errorf("%d VMs made %d calls", vms, calls)
		}
		for id, dri := range net.drivers {
			if sta, ready := dri.Status(); !ready || sta.Reading && sta.Follows != "" {
				t.Errorf("%s: ready %v, %+v", id, ready, sta)
			}
		}
	})
}

// TestFleetReturnsAfterTheLossOfAll ends all VMs at once and starts them again a second later, within
// 0.3 s and in any order, when the list of VMs still names the earlier runs. Within a second of the last
// start every VM must know a configuration that is confirmed, and every token server must serve, or else
// callers are refused for longer the more VMs there are; and the VMs must not all read the platform.
func TestFleetReturnsAfterTheLossOfAll(t *testing.T) {
	for _, vms := range []int{12, 48, 120} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReturn(t, vms) })
		})
	}
}

func checkReturn(t *testing.T, vms int) {
	const (
		startSpan = 300 * time.Millisecond
		// most is how long after the start of the last VM the fleet may take to be back.
		most = time.Second
		// callsPerVM bounds the billed calls in the first two seconds, one of which lists the VM, and
		// readerCalls those of each of the three VMs that read for the others, and its stand-in.
		callsPerVM, readerCalls = 1.5, 30
	)
	sto, net := newMemoryStore(), &network{delay: time.Millisecond}
	first, killAll := context.WithCancel(t.Context())
	startFleet(first, sto, net, vms, startSpan/time.Duration(vms))
	time.Sleep(8 * time.Second)
	killAll()
	time.Sleep(time.Second)
	second, stop := context.WithCancel(t.Context())
	defer stop()
	var mut sync.Mutex
	serving := make(map[string]time.Time)
	net.onEvent = func(vm, event string) {
		if event == "serveTokens" {
			mut.Lock()
			serving[vm] = time.Now()
			mut.Unlock()
		}
	}
	before := sto.calls()
	startRuns(second, sto, net, vms, startSpan/time.Duration(vms), "r2")
	began := time.Now()
	known := time.Duration(0)
	for range int(2 * time.Second / gateway.TickInterval) {
		time.Sleep(gateway.TickInterval)
		for _, dri := range net.drivers {
			dri.WithMachine(func(mac *gateway.Machine, now clock.Instant) {
				if sta := mac.Status(now); sta.Version == 0 || sta.Ages.Config > 5*time.Second {
					known = time.Since(began)
				}
			})
		}
	}
	if known > most {
		t.Errorf("%d VMs: all know a confirmed configuration only %v after the last start", vms, known)
	}
	mut.Lock()
	defer mut.Unlock()
	last := time.Duration(0)
	for _, at := range serving {
		last = max(last, at.Sub(began))
	}
	if len(serving) != fleet.TokenServerCount || last > most {
		t.Errorf("%d VMs: %d token servers serve, the last one %v after the last start", vms, len(serving), last)
	}
	if calls := sto.calls() - before; float64(calls) > callsPerVM*float64(vms)+6*readerCalls {
		t.Errorf("%d VMs made %d calls", vms, calls)
	}
	t.Logf("%d VMs: configuration after %v, token servers after %v, %d calls", vms, known, last, sto.calls()-before)
}
