package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/registry"
)

const (
	// heartbeatTime is how often a target writes its entry.
	heartbeatTime = 1500 * time.Millisecond
	// lingerSpread is how long beyond drainTime a target that leaves may still serve.
	lingerSpread = 6 * time.Second
	// maxWriteDelay is the longest time after which a write of a target reaches the store.
	maxWriteDelay = 5 * time.Second
)

// TestTargetsThatLeaveGetNoRequest plays fleets whose targets say that they leave, by their entry, by their
// responses or by both, and start again under their names, while writes of entries are late.
func TestTargetsThatLeaveGetNoRequest(t *testing.T) {
	playScripts(t, "testdata/leaving", func(*fleetSim, *datadriven.TestData) {})
}

// TestTargetsThatLeaveGetNoRequestInRandomFleets plays that at random, beside crashes, requests that crash
// targets, exits and cuts of VMs and outages of the store.
func TestTargetsThatLeaveGetNoRequestInRandomFleets(t *testing.T) {
	for _, seed := range append(formerSeeds, seeds(randomFleets)...) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 4))
			tgs := 4 + rnd.IntN(20)
			sim := startFleetSim(rnd, 3+rnd.IntN(40), tgs, 10+rnd.IntN(60))
			sim.mostCrashed = tgs * 100 // Another test bounds the crashes.
			sim.crashNotice = randomLength
			var script []string
			for range 10 + rnd.IntN(40) {
				at := simLoadAfter + time.Duration(rnd.Int64N(int64(randomLength-simLoadAfter)))
				script = append(script, sim.schedule(at, randomRegistrationLine(rnd, len(sim.vms), tgs)))
			}
			sim.at(sim.started.Add(randomLength), sim.endFaults)
			sim.run(randomLength + settleTime + calmTime)
			out := sim.broken()
			if float64(sim.servedCalm) < minCalmServed*float64(sim.sentCalm) {
				out = append(out, fmt.Sprintf("%d of %d requests were served once the faults were over", sim.servedCalm, sim.sentCalm))
			}
			if len(out) > 0 {
				slices.Sort(script)
				t.Errorf("%s\nscript:\n%s", strings.Join(out, "\n"), strings.Join(script, "\n"))
			}
		})
	}
}

// formerSeeds are those of fleets in which a target that had left got a request.
var formerSeeds = []uint64{83, 123, 206, 227, 234, 250, 279, 289, 291, 345, 377, 383}

// seeds returns the numbers below cnt.
func seeds(cnt uint64) []uint64 {
	var out []uint64
	for seed := range cnt {
		out = append(out, seed)
	}
	return out
}

// randomRegistrationLine returns a random line of a script in which targets leave and start again.
func randomRegistrationLine(rnd *rand.Rand, vms, tgs int) string {
	one, vmm := fmt.Sprint("t", rnd.IntN(tgs)), fmt.Sprint("vm", rnd.IntN(vms))
	delay := time.Duration(rnd.Int64N(int64(maxWriteDelay)))
	lines := []string{
		"restart-target " + one, fmt.Sprint("restart-target ", one, " ", delay), fmt.Sprint("late-write ", one, " ", delay), fmt.Sprint("late-write ", one, " ", delay),
		"withdraw " + one, "withdraw " + one + " unsaid", "withdraw " + one + " silently", "withdraw " + one + " unsaid silently", fmt.Sprint("withdraw ", one, " late ", delay), fmt.Sprint("late-registrations ", delay),
		"crash " + one, "restart " + vmm, "restart placer", "cut " + vmm, "join " + vmm, "store-away on", "store-away off", "store-away off",
		"lose-reports on", "lose-reports off", "crasher one 1 /open/x", "crasher one 0 /open/x",
	}
	return lines[rnd.IntN(len(lines))]
}

// changeRegistration carries out one line of a script: "restart-target TARGET [DELAY]", where the first write of
// the new run reaches the store after the delay; "withdraw TARGET [unsaid] [silently | late DELAY]", with which the
// target leaves; "late-write TARGET DELAY", after which the store carries out a write of the present entry; and
// "late-registrations MAXIMUM", for the delay with which targets register that start again after a crash.
func (sim *fleetSim) changeRegistration(verb string, args []string) error {
	var delay time.Duration
	if last := args[len(args)-1]; strings.HasSuffix(last, "s") && last != "silently" {
		var err error
		if delay, err = time.ParseDuration(last); err != nil {
			return err
		}
	}
	if verb == "late-registrations" {
		sim.registrationSpread = delay
		return nil
	}
	tgt := sim.target(args[0])
	if tgt == nil {
		return errors.New("no such target")
	}
	switch verb {
	case "restart-target":
		ent := sim.startUnregistered(args[0]).entry
		sim.after(delay, func() { sim.writeLate(tgt.name, ent) })
	case "withdraw":
		sim.withdraw(tgt, args[1:], delay)
	case "late-write":
		if ent, registered := sim.entries[tgt.name]; registered {
			sim.after(delay, func() { sim.writeLate(tgt.name, ent) })
		}
	}
	return nil
}

// put changes an entry in the store, or removes it.
func (sim *fleetSim) put(name string, ent registry.Entry, present bool) {
	if was, registered := sim.entries[name]; registered == present && was == ent {
		return
	}
	delete(sim.entries, name)
	if present {
		sim.entries[name] = ent
	}
	sim.revision++
	sim.changed()
}

// register writes the entry of a target, unless another run has taken its place or it has withdrawn.
func (sim *fleetSim) register(tgt *simTarget) {
	if tgt.up && !tgt.withdrawn {
		sim.put(tgt.name, tgt.entry, true)
	}
}

// registerLate registers a target after a random time.
func (sim *fleetSim) registerLate(tgt *simTarget) {
	sim.after(time.Duration(sim.rnd.Int64N(int64(sim.registrationSpread)+1)), func() { sim.register(tgt) })
}

// withdraw lets a target leave: it says so in its responses, unless it leaves that unsaid, and by its entry or,
// silently, by removing that, after a delay. It exits some time after that.
func (sim *fleetSim) withdraw(tgt *simTarget, how []string, delay time.Duration) {
	if tgt.exiting {
		return
	}
	tgt.exiting, tgt.leaving = true, !slices.Contains(how, "unsaid")
	sim.after(delay, func() {
		if !tgt.up {
			return
		}
		tgt.entry.Leaving, tgt.withdrawn = true, slices.Contains(how, "silently")
		sim.put(tgt.name, tgt.entry, !tgt.withdrawn)
	})
	sim.after(delay+drainTime+time.Duration(sim.rnd.Int64N(int64(lingerSpread))), func() {
		if !tgt.up {
			return
		}
		sim.stopTarget(tgt.name)
		sim.put(tgt.name, registry.Entry{}, false)
		sim.after(heartbeatTime, func() { sim.startTarget(fmt.Sprintf("%s.%d", strings.SplitN(tgt.name, ".", 2)[0], sim.seq)) })
	})
}

// writeLate carries out a write of a target that has been under way for long. The target writes its present
// entry with its next heartbeat; without one the late entry expires.
func (sim *fleetSim) writeLate(name string, ent registry.Entry) {
	sim.put(name, ent, true)
	sim.after(heartbeatTime, func() {
		if tgt := sim.target(name); tgt != nil {
			sim.register(tgt)
		}
	})
	sim.after(entryTime, func() {
		if sim.entries[name] == ent && (sim.target(name) == nil || sim.target(name).withdrawn) {
			sim.put(name, registry.Entry{}, false)
		}
	})
}

// noteLeaving records which targets the VM has learned from the store to leave. It can miss only the entries
// that it has seen.
func (vmm *simVM) noteLeaving() {
	id := vmm.mac.set.Self.ID
	for _, tgt := range vmm.sim.tgs {
		ent, registered := vmm.sim.entries[tgt.name]
		own := registered && ent.Born.Equal(tgt.born)
		shown := own && ent.Leaving || !registered && tgt.withdrawn && tgt.shownTo[id]
		if _, known := tgt.shownLeaving[id]; shown && !known {
			tgt.shownLeaving[id] = vmm.sim.now
		}
		tgt.shownTo[id] = tgt.shownTo[id] || own
	}
}

// sentAfterShown returns a line on the first request that a VM received later than drainTime after it had
// learned from the store that the target leaves, and that reached the target.
func (tgt *simTarget) sentAfterShown() string {
	for _, arr := range tgt.arrivals {
		if shown, found := tgt.shownLeaving[arr.vm]; found && arr.sentAt.Sub(shown) > drainTime {
			return fmt.Sprintf("%s: got a request that %s received %v after it learned from the store that the target leaves", tgt.name, arr.vm, arr.sentAt.Sub(shown))
		}
	}
	return ""
}
