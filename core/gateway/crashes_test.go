package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRequestsThatCrashTargetsAreNotSentOn plays fleets of machines and requests that crash the targets
// that run them, beside exits, cuts, losses and targets that end for other reasons. Each script must end
// without a broken bound.
func TestRequestsThatCrashTargetsAreNotSentOn(t *testing.T) {
	playScripts(t, "testdata/crashes", func(sim *fleetSim, dat *datadriven.TestData) {
		sim.mostCrashed, sim.crashNotice = provenCrashes, noticeTime
		if dat.HasArg("notice") {
			var txt string
			dat.ScanArgs(t, "notice", &txt)
			sim.crashNotice, _ = time.ParseDuration(txt)
		}
		if dat.HasArg("crashed") {
			dat.ScanArgs(t, "crashed", &sim.mostCrashed)
		}
	})
}

const (
	// maxLateRetries is how often a request may be sent to targets later than stableTime after it has crashed
	// provenCrashes of them.
	maxLateRetries = 3
	// settleTime is how long after the last fault requests are not counted, calmTime for how long they are
	// then, and minCalmServed the least share of them that must be served.
	settleTime    = 8 * time.Second
	calmTime      = 8 * time.Second
	minCalmServed = 0.9
	// maxCrashers is the greatest number of requests that crash targets at a time in random fleets.
	maxCrashers = 4
)

// TestRequestsThatCrashTargetsAreNotSentOnInRandomFleets plays such requests beside random exits, cuts,
// losses, outages of the store, resets, crashes and releases of targets.
func TestRequestsThatCrashTargetsAreNotSentOnInRandomFleets(t *testing.T) {
	for seed := range uint64(randomFleets) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 3))
			tgs := 6 + rnd.IntN(20)
			sim := startFleetSim(rnd, 3+rnd.IntN(40), tgs, 10+rnd.IntN(60))
			var script []string
			for num := range rnd.IntN(maxCrashers + 1) {
				at := simLoadAfter + time.Duration(rnd.Int64N(int64(randomLength/2)))
				path := []string{"/open/x", "/once/x"}[rnd.IntN(2)]
				script = append(script, sim.schedule(at, fmt.Sprintf("crasher c%d %.2f %s", num, 0.2+5*rnd.Float64(), path)))
			}
			for range 4 + rnd.IntN(24) {
				at := simLoadAfter + time.Duration(rnd.Int64N(int64(randomLength-simLoadAfter)))
				script = append(script, sim.schedule(at, randomCrashLine(rnd, len(sim.vms), tgs)))
			}
			sim.at(sim.started.Add(randomLength), sim.endFaults)
			sim.run(randomLength + settleTime + calmTime)
			out := append(sim.sentOnTooOften(), sim.faults...)
			if float64(sim.servedCalm) < minCalmServed*float64(sim.sentCalm) {
				out = append(out, fmt.Sprintf("%d of %d other requests were served once the faults were over", sim.servedCalm, sim.sentCalm))
			}
			if len(out) > 0 {
				slices.Sort(script)
				t.Errorf("%s\nscript:\n%s", strings.Join(out, "\n"), strings.Join(script, "\n"))
			}
		})
	}
}

// TestInnocentRequestsAreNotQuarantinedWhileMessagesAreSlow plays four requests that crash targets, beside
// crashes for other reasons, while messages between VMs are slow so that placers often do not answer in time.
func TestInnocentRequestsAreNotQuarantinedWhileMessagesAreSlow(t *testing.T) {
	const faultInterval = 700 * time.Millisecond
	for seed := range uint64(randomFleets) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 5))
			tgs := 6 + rnd.IntN(20)
			sim := startFleetSim(rnd, 3+rnd.IntN(40), tgs, 10+rnd.IntN(60))
			sim.schedule(simLoadAfter, "slow-peers on")
			for num := range maxCrashers {
				sim.schedule(simLoadAfter+time.Duration(num)*2*time.Second, fmt.Sprintf("crasher c%d 3 /open/x", num))
			}
			for at := simLoadAfter; at < randomLength; at += faultInterval {
				line := []string{fmt.Sprint("crash t", rnd.IntN(tgs)), "crash all", "lose-reports most"}[min(rnd.IntN(5), 2)]
				if rnd.IntN(2) == 0 {
					sim.schedule(at, line)
				}
			}
			sim.run(randomLength)
			for _, fault := range sim.faults {
				if strings.Contains(fault, "quarantined") {
					t.Error(fault)
				}
			}
		})
	}
}

// endFaults ends all faults and begins to count requests after settleTime.
func (sim *fleetSim) endFaults() {
	for _, line := range []string{"lose-reports off", "store-away off", "slow-crashes off", "slow-peers off"} {
		_ = sim.do(strings.Fields(line)[0], strings.Fields(line)[1:]) // These lines are well-formed.
	}
	for _, vmm := range sim.vms {
		sim.cut[vmm.name] = false
	}
	for _, tgt := range slices.Clone(sim.tgs) {
		if tgt.silent {
			sim.startTarget(tgt.name)
		}
	}
	sim.calmFrom = sim.now.Add(settleTime)
}

// schedule plays a line of a script at a time, and returns both.
func (sim *fleetSim) schedule(at time.Duration, line string) string {
	sim.at(sim.started.Add(at), func() { _ = sim.do(strings.Fields(line)[0], strings.Fields(line)[1:]) }) // The placer may be down.
	return fmt.Sprint(at, " ", line)
}

// randomCrashLine returns a random line of a script with faults of VMs, of the store and of targets.
func randomCrashLine(rnd *rand.Rand, vms, tgs int) string {
	vmm := fmt.Sprint("vm", rnd.IntN(vms))
	if rnd.IntN(2) == 0 {
		vmm = "placer"
	}
	var some []string
	for range 1 + rnd.IntN(3) {
		some = append(some, fmt.Sprint("t", rnd.IntN(tgs)))
	}
	names := strings.Join(some, " ")
	lines := []string{
		"restart " + vmm, "restart " + vmm, "restart-all", "cut " + vmm, "join " + vmm, "join " + vmm, "lose-reports most", "lose-reports off", "lose-reports off",
		"store-away on", "store-away off", "store-away off", "crash " + names, "reset " + names, "reset all", "silence " + some[0], "exit " + some[0], "crash all",
		"slow-crashes on", "slow-crashes off", "slow-peers on", "slow-peers off",
	}
	return lines[rnd.IntN(len(lines))]
}

// sentOnTooOften returns a line for each request that was sent on to targets although it had crashed
// provenCrashes of them stableTime before.
func (sim *fleetSim) sentOnTooOften() []string {
	var out []string
	for _, cra := range sim.crashers {
		if late := cra.lateArrivals(stableTime); len(late) > maxLateRetries {
			out = append(out, fmt.Sprintf("%s: was sent to targets %d times later than %v after it had crashed %d; it crashed %d", cra.name, len(late), stableTime, provenCrashes, len(cra.crashed)))
		}
	}
	return out
}
