package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/warmup"
)

// The setting of the plays with drains.
const (
	simDrainTime = 5 * time.Second
	// simReadDelay is the longest time until a VM knows a drain.
	simReadDelay = 3 * time.Second
	simColdStart = 3 * time.Second
	simColdRate  = 2.1
	// simColdNotice is the longest time after which the entry of a target shows that it has turned cold.
	simColdNotice = 2300 * time.Millisecond
)

var simWarmup = warmup.Policy{Excess: 1.5, Slack: 8}

// simDomains is the state of the failure domains of a fleetSim; nil if there is just one.
type simDomains struct {
	sim      *fleetSim
	count    int
	revision uint64
	drained  map[string]bool
	// drainedAt holds when each domain was drained; absent unless it is.
	drainedAt map[string]time.Time
	late      []string
}

// of returns the failure domain of a VM or target, which it takes from the number in its name.
func (dms *simDomains) of(name string) string {
	if dms == nil {
		return "a"
	}
	num, _ := strconv.Atoi(strings.TrimLeft(name, "vmt"))
	return string(rune('a' + num%dms.count))
}

func (dms *simDomains) content() config.Content {
	con := simContent()
	if dms != nil {
		con.Services = []config.Service{{Name: "new"}, {Name: "svc", ColdStart: simColdStart, ColdRate: rate.RequestsPerSecond(simColdRate)}}
	}
	return con
}

// sync delivers the drains to a VM.
func (dms *simDomains) sync(vmm *simVM) {
	if dms == nil {
		return
	}
	del := table.Delta[drain.Entry]{Whole: true, Revision: dms.revision}
	for _, domain := range sortedNames(dms.drained) {
		del.Rows = append(del.Rows, table.Row[drain.Entry]{Name: domain, Revision: dms.revision})
	}
	vmm.step(DrainsRead{Update: del})
}

// set drains a domain or ends that. Each VM learns of it after a random time.
func (dms *simDomains) set(domain string, drained bool) {
	dms.revision++
	if delete(dms.drained, domain); drained {
		dms.drained[domain], dms.drainedAt[domain] = true, dms.sim.now
	} else {
		delete(dms.drainedAt, domain)
	}
	for _, vmm := range dms.sim.vms {
		dms.sim.after(time.Duration(dms.sim.rnd.Int64N(int64(simReadDelay))), func() {
			if vmm.mac != nil {
				dms.sync(vmm)
			}
		})
	}
}

// turnCold lets a target turn cold, which its entry shows later.
func (dms *simDomains) turnCold(tgt *simTarget) {
	sim := dms.sim
	tgt.coldFrom = append(tgt.coldFrom, sim.now)
	until := sim.now.Add(simColdStart)
	sim.after(time.Duration(sim.rnd.Int64N(int64(simColdNotice))), func() {
		tgt.entry.Warming = until.Sub(sim.now)
		sim.register(tgt)
	})
}

// check notes the requests that arrived at targets of drained domains later than they may.
func (dms *simDomains) check() {
	for _, tgt := range dms.sim.tgs {
		at, drained := dms.drainedAt[tgt.entry.FailureDomain]
		if num := len(tgt.arrivals); drained && num > 0 && tgt.arrivals[num-1].at.Sub(at) > simDrainTime {
			dms.late = append(dms.late, fmt.Sprintf("%s got a request %v after its drain", tgt.name, tgt.arrivals[num-1].at.Sub(at)))
		}
	}
	dms.sim.after(TickInterval, dms.check)
}

// mostWhileCold returns the most requests that any target got in a second while it was cold.
func (dms *simDomains) mostWhileCold() (most int, target string) {
	for _, tgt := range dms.sim.past {
		for _, from := range tgt.coldFrom {
			var cold []time.Time
			for _, arr := range tgt.arrivals {
				if !arr.at.Before(from) && arr.at.Before(from.Add(simColdStart)) {
					cold = append(cold, arr.at)
				}
			}
			for num, at := range cold {
				in := slices.IndexFunc(cold, func(one time.Time) bool { return one.Sub(at) >= time.Second })
				if in < 0 {
					in = len(cold)
				}
				if in-num > most {
					most, target = in-num, tgt.name
				}
			}
		}
	}
	return most, target
}

// startDrainSim starts a fleet with targets in three failure domains.
func startDrainSim(seed uint64, vms, tgs, perSecond int) *fleetSim {
	sim := emptyFleetSim(rand.New(rand.NewPCG(seed, 11)), perSecond)
	sim.policy.DrainTime, sim.policy.Warmup, sim.slots = simDrainTime, simWarmup, 2
	sim.domains = &simDomains{sim: sim, count: 3, revision: 1, drained: make(map[string]bool), drainedAt: make(map[string]time.Time)}
	sim.begin(vms, tgs)
	sim.after(0, sim.domains.check)
	return sim
}

// restartPlacer restarts the placer of a partition, and returns how many requests it had.
func (sim *fleetSim) restartPlacer(t *testing.T) int {
	name, err := sim.named("placer")
	if err != nil {
		t.Error(err)
		return 0
	}
	cnt := len(sim.vm(name + ".").callers)
	if err := sim.restart(name); err != nil {
		t.Error(err)
	}
	return cnt
}

// TestDrainsAndReturnsAtLoad drains a failure domain and takes it back while its targets are cold and others turn cold
// unseen, with placers that change and VMs that restart. It guards against requests at drained targets, more requests at
// cold targets than they may get, and callers that are refused for that.
func TestDrainsAndReturnsAtLoad(t *testing.T) {
	const length, drainAt, returnAt, mostRefused = 20 * time.Second, 5 * time.Second, 13 * time.Second, 0.002
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			sim := startDrainSim(seed, 24, 231, 400)
			dms, lost := sim.domains, 0
			sim.at(sim.started.Add(drainAt), func() { dms.set("b", true) })
			sim.at(sim.started.Add(returnAt-300*time.Millisecond), func() {
				for _, tgt := range sim.tgs {
					if tgt.entry.FailureDomain == "b" {
						dms.turnCold(tgt)
					}
				}
			})
			sim.at(sim.started.Add(returnAt), func() { dms.set("b", false) })
			for at := simLoadAfter + time.Second; at < length; at += 1700 * time.Millisecond {
				sim.at(sim.started.Add(at), func() { dms.turnCold(sim.tgs[sim.rnd.IntN(len(sim.tgs))]) })
				if seed%2 == 1 {
					sim.at(sim.started.Add(at), func() { lost += sim.restartPlacer(t) })
				}
			}
			sim.run(length)
			most, target := dms.mostWhileCold()
			if limit := simColdRate*simWarmup.Excess + simWarmup.Slack; float64(most) > limit {
				t.Errorf("%s got %d requests in a second while it was cold, allowed are %v", target, most, limit)
			}
			if len(dms.late) > 0 {
				t.Error(strings.Join(dms.late, "\n"))
			}
			t.Logf("sent %d, served %d, refused %d, failed %d; at most %d requests in a second at a cold target", sim.sent, sim.served, sim.refused, sim.failed, most)
			if float64(sim.refused) > mostRefused*float64(sim.sent) || sim.failed != lost {
				t.Errorf("of %d requests %d were refused and %d failed, of which %d were at VMs that exited", sim.sent, sim.refused, sim.failed, lost)
			}
		})
	}
}

// TestColdTargetsKeepToTheirLimitInABurst plays more requests than targets may get that may have turned cold, while targets
// do so unseen, placers change, and VMs place alone since answers of placers are late. It guards against a target that gets
// more than it tolerates.
func TestColdTargetsKeepToTheirLimitInABurst(t *testing.T) {
	const length = 12 * time.Second
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			sim := startDrainSim(seed, 12, 24, 220)
			dms := sim.domains
			for at := simLoadAfter + time.Second; at < length; at += 500 * time.Millisecond {
				sim.at(sim.started.Add(at), func() { dms.turnCold(sim.tgs[sim.rnd.IntN(len(sim.tgs))]) })
			}
			for at := simLoadAfter + time.Second; at < length; at += 1900 * time.Millisecond {
				sim.schedule(at, []string{"restart placer", "slow-peers on", "slow-peers off"}[sim.rnd.IntN(3)])
			}
			sim.run(length)
			most, target := dms.mostWhileCold()
			t.Logf("sent %d, served %d, refused %d, failed %d; at most %d requests in a second at a cold target", sim.sent, sim.served, sim.refused, sim.failed, most)
			if limit := simColdRate*simWarmup.Excess + simWarmup.Slack; float64(most) > limit {
				t.Errorf("%s got %d requests in a second while it was cold, allowed are %v", target, most, limit)
			}
		})
	}
}
