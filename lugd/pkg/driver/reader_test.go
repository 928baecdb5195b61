package driver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/member"
)

// disconnect takes a VM off the network: it hears nothing and says nothing from then on.
func (net *network) disconnect(id string) {
	net.mut.Lock()
	defer net.mut.Unlock()
	delete(net.drivers, id)
}

// TestFollowersOfAVMThatEndsStayFresh ends the VM that reads the platform for others
// of its failure domain, in virtual time: after a planned stop, at once, and together
// with the store. The others are to hold what the platform held less than freshTime
// ago, but for the time in which it is down.
func TestFollowersStayFreshWhenReaderExits(t *testing.T) {
	const (
		vms = 9
		// freshTime is how soon a configuration is to be in force everywhere.
		maxConfigAge = 2 * time.Second
		stopTime     = 2200 * time.Millisecond
	)
	for _, one := range []struct {
		name string
		// stop is set where the VM stops before it ends.
		stop bool
		// down is how long the store is down from its end.
		down time.Duration
	}{
		{"after a planned stop", true, 0},
		{"at once", false, 0},
		{"after a planned stop, and the store is down", true, time.Second},
		{"at once, and the store is down", false, time.Second},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				sto, net := newMemoryStore(), &network{delay: time.Millisecond}
				startFleet(ctx, sto, net, vms, 20*time.Millisecond)
				time.Sleep(4 * time.Second)
				var list []member.VM
				for _, dri := range net.drivers {
					list = append(list, dri.self)
				}
				vie := member.NewView(1, list)
				primary := member.Ranked(vie.Domain("domain-1"), "feed/domain-1", 1)[0].ID
				if one.stop {
					net.drivers[primary].Step(gateway.StopBegan{})
					time.Sleep(stopTime)
				}
				exited := net.drivers[primary]
				net.disconnect(primary)
				exited.Machine(func(mac *gateway.Machine, _ clock.Instant) { exited.setReading(gateway.SetReading{}) })
				sto.setDown(one.down > 0)
				time.AfterFunc(one.down, func() { sto.setDown(false) })
				oldest := time.Duration(0)
				for range 80 {
					time.Sleep(gateway.TickInterval)
					for _, dri := range net.drivers {
						sta, _ := dri.Status()
						oldest = max(oldest, sta.Ages.Config)
					}
				}
				if oldest > maxConfigAge+one.down {
					t.Errorf("a VM holds what was the newest %v ago", oldest)
				}
			})
		})
	}
}
