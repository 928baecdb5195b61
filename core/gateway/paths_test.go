package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// severedLength is how long VMs are without paths to the targets.
	severedLength = 10 * time.Second
	// answerTime is how long requests may take that have arrived by then.
	answerTime = 2 * time.Second
	// minSeveredShare is the least share of the requests at VMs without paths that must be served, of the share
	// that the other VMs serve.
	minSeveredShare = 2.0 / 3
	// minOthersServed is the least share that the other VMs must serve.
	minOthersServed = 0.9
	// blameTime is how long after VMs lost their paths targets may still be suspected by what these VMs report.
	blameTime = 1500 * time.Millisecond
)

// playSevered plays a fleet some of whose VMs lose their paths to all targets.
func playSevered(seed uint64, mode pathFault) *fleetSim {
	rnd := rand.New(rand.NewPCG(seed, 6))
	vms, tgs := 6+rnd.IntN(30), 6+rnd.IntN(12)
	sim := startFleetSim(rnd, vms, tgs, 20+rnd.IntN(30))
	sim.steady = true
	at := simLoadAfter + 4*time.Second
	sim.schedule(at, fmt.Sprintf("sever %s %d", mode, 1+rnd.IntN(vms*2/3)))
	sim.run(at + severedLength)
	sim.perSecond = 0
	sim.run(at + severedLength + answerTime)
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

// TestTargetsAreNotBlamedByVMsWithoutPaths looks for targets that are suspected by what VMs without paths
// report, and for contents that are suspected to crash targets although no target has crashed.
func TestTargetsAreNotBlamedByVMsWithoutPaths(t *testing.T) {
	forSevered(t, func(t *testing.T, sim *fleetSim) {
		for _, vmm := range sim.vms {
			if suspected, quarantined, _ := vmm.mac.contents.book.Sizes(); suspected+quarantined > 0 {
				t.Errorf("%s suspects %d contents and has %d in quarantine", vmm.name, suspected, quarantined)
			}
		}
		for _, sus := range sim.suspicions {
			if after := sus.at.Sub(sim.severedAt); after > blameTime && sim.severed[sim.vm(sus.vm).name] != "" {
				t.Errorf("%v after the paths were lost, a placer suspects %s by what %s reports", after, sus.target, sus.vm)
			}
		}
	})
}

// TestTargetsGetNoMoreThanTheyAnnounceThroughOtherVMs plays random announcements beside random exits, cuts and
// losses, while VMs lose their paths to all targets and find them again.
func TestTargetsGetNoMoreThanTheyAnnounceThroughOtherVMs(t *testing.T) {
	for seed := range uint64(randomFleets) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 7))
			vms, tgs := 3+rnd.IntN(40), 2+rnd.IntN(20)
			sim := startFleetSim(rnd, vms, tgs, 10+rnd.IntN(60))
			var script []string
			for range 4 + rnd.IntN(24) {
				at := simLoadAfter + time.Duration(rnd.Int64N(int64(randomLength-simLoadAfter)))
				line := randomLine(rnd, vms, tgs)
				if rnd.IntN(3) == 0 {
					mode := []pathFault{pathHangs, pathResets, pathRefuses}[rnd.IntN(3)]
					line = []string{"mend", fmt.Sprintf("sever %s %d", mode, 1+rnd.IntN(vms))}[min(rnd.IntN(3), 1)]
				}
				script = append(script, sim.schedule(at, line))
			}
			sim.run(randomLength)
			if out := sim.broken(); len(out) > 0 {
				slices.Sort(script)
				t.Errorf("%s\nscript:\n%s", strings.Join(out, "\n"), strings.Join(script, "\n"))
			}
		})
	}
}
