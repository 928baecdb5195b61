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

// disconnect removes a VM from the network: it neither receives nor sends from then on.
func (net *network) disconnect(id string) {
	net.mut.Lock()
	defer net.mut.Unlock()
	delete(net.drivers, id)
}

// TestFollowersStayFreshWhenReaderExits ends the VM that reads the platform for the others
// of its failure domain, after a graceful stop or without one, and with the store up or
// down at that moment. The configuration of every other VM must have been confirmed less
// than maxConfigAge ago, plus the time for which the store is down. Time is virtual.
func TestFollowersStayFreshWhenReaderExits(t *testing.T) {
	const (
		vms = 9
		// maxConfigAge is how soon a configuration must be in force everywhere.
		maxConfigAge = 2 * time.Second
		stopTime     = 2200 * time.Millisecond
	)
	for _, one := range []struct {
		name string
		// stop is set if the VM stops gracefully before it exits.
		stop bool
		// down is how long the store is down after the VM has exited.
		down time.Duration
	}{
		{"after a graceful stop", true, 0},
		{"without a stop", false, 0},
		{"after a graceful stop, store down", true, time.Second},
		{"without a stop, store down", false, time.Second},
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
				exited.WithMachine(func(mac *gateway.Machine, _ clock.Instant) { exited.setReading(gateway.SetReading{}) })
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
					t.Errorf("a VM holds a configuration that was last confirmed %v ago", oldest)
				}
			})
		})
	}
}
