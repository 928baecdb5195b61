package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	// severedLength is how long VMs are without paths to the targets.
	severedLength = 10 * time.Second
	// minSeveredShare is the least share of the requests at VMs without paths that must be served, of the share
	// that the other VMs serve.
	minSeveredShare = 2.0 / 3
	// minOthersServed is the least share that the other VMs must serve.
	minOthersServed = 0.9
)

// playSevered plays a fleet some of whose VMs lose their paths to all targets.
func playSevered(seed uint64, mode pathFault) *fleetSim {
	rnd := rand.New(rand.NewPCG(seed, 6))
	vms, tgs := 6+rnd.IntN(30), 6+rnd.IntN(12)
	sim := startFleetSim(rnd, vms, tgs, 20+rnd.IntN(30))
	at := simLoadAfter + 4*time.Second
	sim.schedule(at, fmt.Sprintf("sever %s %d", mode, 1+rnd.IntN(vms*2/3)))
	sim.run(at + severedLength)
	return sim
}

func forSevered(t *testing.T, check func(t *testing.T, sim *fleetSim)) {
	t.Helper()
	for _, mode := range []pathFault{pathHangs, pathResets, pathRefuses} {
		for seed := range uint64(randomFleets / 4) {
			t.Run(fmt.Sprint(mode, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				check(t, playSevered(seed, mode))
			})
		}
	}
}

// TestCallersOfVMsWithoutPathsToTargetsAreServed counts the requests from stableTime after VMs lost their
// paths to all targets.
func TestCallersOfVMsWithoutPathsToTargetsAreServed(t *testing.T) {
	forSevered(t, func(t *testing.T, sim *fleetSim) {
		at, others := sim.atSevered, sim.atOthers
		t.Logf("severed VMs %d: served %+v, others %+v", len(sim.severed), at, others)
		if float64(at.served)*float64(others.sent) < minSeveredShare*float64(others.served)*float64(at.sent) {
			t.Errorf("VMs without paths served %d of %d requests, the others %d of %d", at.served, at.sent, others.served, others.sent)
		}
		if float64(others.served) < minOthersServed*float64(others.sent) {
			t.Errorf("the other VMs served %d of %d requests", others.served, others.sent)
		}
	})
}

// TestTargetsAreNotBlamedByVMsWithoutPaths looks for contents that are suspected to crash targets although
// no target has crashed.
func TestTargetsAreNotBlamedByVMsWithoutPaths(t *testing.T) {
	forSevered(t, func(t *testing.T, sim *fleetSim) {
		for _, vmm := range sim.vms {
			if suspected, quarantined, _ := vmm.mac.contents.book.Sizes(); suspected+quarantined > 0 {
				t.Errorf("%s suspects %d contents and has %d in quarantine", vmm.name, suspected, quarantined)
			}
			for _, par := range vmm.mac.services["svc"].partitions {
				if par.central != nil && par.placer == vmm.mac.set.Self.ID {
					if list := par.central.Suspected(sim.instant()); len(list) > 0 {
						t.Errorf("the placer suspects %s", strings.Join(list, ", "))
					}
				}
			}
		}
	})
}
