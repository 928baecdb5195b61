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

// The bounds that targets and operators expect, whoever places the requests.
const (
	// limitWindow is the time in which a target gets no more than limitFactor times what its limit
	// allows, and limitSlack requests more, from VMs that have heard of the limit noticeTime before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	noticeTime  = 500 * time.Millisecond
	// stableTime is how long after a cut VMs are not held to the limits of targets.
	stableTime = 3 * time.Second
	// drainTime is how long after a VM has heard that a target leaves requests may arrive at the VM that
	// it still sends there.
	drainTime = 2 * time.Second
	// pauseSlack is how many requests a VM may send to a target that wants none from it.
	pauseSlack = 2
)

// TestTargetsGetNoMoreThanTheyAnnounce plays fleets of machines whose targets announce limits, leave
// and refuse with a time to return after, while VMs exit and lose messages. Each script must end
// without a broken bound.
func TestTargetsGetNoMoreThanTheyAnnounce(t *testing.T) {
	playScripts(t, "testdata/announcements", func(*fleetSim, *datadriven.TestData) {})
}

// playScripts plays the scripts of a directory. prepare sets what a script expects besides.
func playScripts(t *testing.T, dir string, prepare func(sim *fleetSim, dat *datadriven.TestData)) {
	t.Helper()
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		var sim *fleetSim
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			switch dat.Cmd {
			case "fleet":
				sim = newFleetSim(t, dat)
				return ""
			case "run":
				prepare(sim, dat)
				return sim.play(t, dat)
			}
			t.Fatalf("unknown command %s", dat.Cmd)
			return ""
		})
	})
}

// TestTargetsGetNoMoreThanTheyAnnounceInRandomFleets plays random announcements beside random exits, cuts
// and losses.
func TestTargetsGetNoMoreThanTheyAnnounceInRandomFleets(t *testing.T) {
	for seed := range uint64(randomFleets) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 2))
			tgs := 2 + rnd.IntN(20)
			sim := startFleetSim(rnd, 3+rnd.IntN(40), tgs, 10+rnd.IntN(60))
			var script []string
			for range 4 + rnd.IntN(24) {
				at := simLoadAfter + time.Duration(rnd.Int64N(int64(randomLength-simLoadAfter)))
				line := randomLine(rnd, len(sim.vms), tgs)
				script = append(script, fmt.Sprint(at, " ", line))
				sim.at(sim.started.Add(at), func() { _ = sim.do(strings.Fields(line)[0], strings.Fields(line)[1:]) }) // The placer may be down.
			}
			sim.run(randomLength)
			if out := sim.broken(); len(out) > 0 {
				slices.Sort(script)
				t.Errorf("%s\nscript:\n%s", strings.Join(out, "\n"), strings.Join(script, "\n"))
			}
		})
	}
}

const (
	// randomFleets is the number of fleets that are played, and randomLength for how long.
	randomFleets = 40
	randomLength = 40 * time.Second
)

// randomLine returns a random line of a script.
func randomLine(rnd *rand.Rand, vms, tgs int) string {
	tgt, vmm := fmt.Sprint("t", rnd.IntN(tgs)), fmt.Sprint("vm", rnd.IntN(vms))
	if rnd.IntN(6) == 0 {
		tgt = "all"
	}
	if rnd.IntN(2) == 0 {
		vmm = "placer"
	}
	one := fmt.Sprint("t", rnd.IntN(tgs))
	lines := []string{
		fmt.Sprintf("limit %s %.2f", tgt, 4*rnd.Float64()), fmt.Sprintf("limit %s %.2f", tgt, 20*rnd.Float64()), "limit " + tgt + " 0",
		"unlimit " + tgt, "leave " + one, fmt.Sprintf("refuse %s %dms %dms", tgt, rnd.IntN(5000), rnd.IntN(5000)),
		"restart " + vmm, "restart " + vmm, "cut " + vmm, "join " + vmm, "join " + vmm, "lose-reports on", "lose-reports off", "restart-target " + one,
	}
	return lines[rnd.IntN(len(lines))]
}

// newFleetSim builds the fleet that a script describes.
func newFleetSim(t *testing.T, dat *datadriven.TestData) *fleetSim {
	vms, tgs, perSecond, seed := 8, 4, 30, 1
	for name, dst := range map[string]*int{"vms": &vms, "targets": &tgs, "rate": &perSecond, "seed": &seed} {
		if dat.HasArg(name) {
			dat.ScanArgs(t, name, dst)
		}
	}
	return startFleetSim(rand.New(rand.NewPCG(uint64(seed), 1)), vms, tgs, perSecond)
}

// play schedules the lines of a script, each "TIME VERB ARGUMENTS", runs the fleet for a time and
// returns the bounds that were broken.
func (sim *fleetSim) play(t *testing.T, dat *datadriven.TestData) string {
	for line := range strings.SplitSeq(dat.Input, "\n") {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		at, err := time.ParseDuration(words[0])
		if err != nil {
			t.Fatal(err)
		}
		sim.at(sim.started.Add(at), func() {
			if err := sim.do(words[1], words[2:]); err != nil {
				t.Errorf("%s: %v", line, err)
			}
		})
	}
	length, served := 10*time.Second, 0.0
	if dat.HasArg("for") {
		var txt string
		dat.ScanArgs(t, "for", &txt)
		length, _ = time.ParseDuration(txt)
	}
	if dat.HasArg("served") {
		var txt string
		dat.ScanArgs(t, "served", &txt)
		if _, err := fmt.Sscan(txt, &served); err != nil {
			t.Fatal(err)
		}
	}
	sim.run(length)
	t.Logf("%d of %d served, %d refused, %d failed; %s", sim.served, sim.sent, sim.refused, sim.failed, sim.perTarget())
	out := sim.broken()
	if got := float64(sim.served) / float64(sim.sent); got < served {
		out = append(out, fmt.Sprintf("%d of %d requests were served, %d refused, %d failed", sim.served, sim.sent, sim.refused, sim.failed))
	}
	if len(out) == 0 {
		return "ok\n"
	}
	return strings.Join(out, "\n") + "\n"
}

// broken returns a line for each target and bound that was broken.
func (sim *fleetSim) broken() []string {
	var out []string
	for _, tgt := range sim.past {
		if line := tgt.overLimit(); line != "" {
			out = append(out, line)
		}
		for _, arr := range tgt.arrivals {
			if told, found := tgt.toldLeaving[arr.vm]; found && arr.sentAt.Sub(told) > drainTime {
				out = append(out, fmt.Sprintf("%s: got a request that %s received %v after it heard that the target leaves", tgt.name, arr.vm, arr.sentAt.Sub(told)))
				break
			}
		}
		if line := tgt.sentAfterShown(); line != "" {
			out = append(out, line)
		}
		for _, pau := range tgt.pauses {
			cnt := 0
			for _, arr := range tgt.arrivals {
				if arr.vm == pau.vm && arr.at.After(pau.from.Add(noticeTime)) && arr.at.Before(pau.until) {
					cnt++
				}
			}
			if cnt > pauseSlack {
				out = append(out, fmt.Sprintf("%s: got %d requests of %s, from which it wanted none for %v", tgt.name, cnt, pau.vm, pau.until.Sub(pau.from)))
				break
			}
		}
	}
	out = append(out, sim.crashedTooOften(sim.mostCrashed)...)
	return append(out, sim.faults...)
}

// overLimit returns a line on the first window in which the target got too many requests of VMs that
// had heard of its limit, or an empty one.
func (tgt *simTarget) overLimit() string {
	for first, arr := range tgt.arrivals {
		end := arr.at.Add(limitWindow)
		highest, limited := tgt.highestLimit(arr.at.Add(-noticeTime), end)
		if !limited {
			continue
		}
		cnt := 0
		for _, later := range tgt.arrivals[first:] {
			if !later.at.After(end) && !later.cutOff && tgt.knows(later, highest) {
				cnt++
			}
		}
		if most := limitFactor*highest*limitWindow.Seconds() + limitSlack; float64(cnt) > most {
			return fmt.Sprintf("%s: got %d requests in %v from VMs that had heard of its limit of %g a second, allowed %g", tgt.name, cnt, limitWindow, highest, most)
		}
	}
	return ""
}

// knows reports whether the VM that sent a request had heard noticeTime before of a limit that is no
// higher than the given one, and has not ended since.
func (tgt *simTarget) knows(arr arrival, highest float64) bool {
	for _, tld := range tgt.told[arr.vm] {
		ended := slices.ContainsFunc(tgt.limits[tld.number:], func(lim announcedLimit) bool { return !lim.limited && !lim.since.After(arr.at) })
		if arr.at.Sub(tld.at) >= noticeTime && !ended && tgt.limits[tld.number].rate <= highest {
			return true
		}
	}
	return false
}

// highestLimit returns the highest limit that the target announced in a time, and whether it announced
// one all the time.
func (tgt *simTarget) highestLimit(from, until time.Time) (highest float64, limited bool) {
	limited = len(tgt.limits) > 0 && !tgt.limits[0].since.After(from)
	for num, lim := range tgt.limits {
		ended := num+1 < len(tgt.limits) && !tgt.limits[num+1].since.After(from)
		if ended || !lim.since.Before(until) {
			continue
		}
		limited = limited && lim.limited
		highest = max(highest, lim.rate)
	}
	return highest, limited
}
