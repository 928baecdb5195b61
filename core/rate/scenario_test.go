package rate

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScenarios runs the scripts in testdata. The commands are:
//
//	fleet vms=N rate=N burst=N seed=N   starts VMs in one view
//	load vm=ID,...|all persecond=N ms=N sends requests to VMs in turn
//	run ms=N                            lets time pass
//	exclude vm=ID [cut]                 drops a VM from the view; cut keeps it ignorant
//	limit rate=N burst=N                sets another limit and tells every VM but those cut
//	kill|pause|wake vm=ID
//	held                                prints the shares in requests a second and requests
//	result                              prints what was admitted and whether it fits the limit
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		scr := &script{}
		datadriven.RunTest(t, path, scr.run)
	})
}

type script struct {
	*world
	acc      *accountant
	refused  int
	broken   error
	ignorant map[string]bool
}

func argument(t *testing.T, dat *datadriven.TestData, name string) int {
	t.Helper()
	var val int
	dat.ScanArgs(t, name, &val)
	return val
}

func identifiers(dat *datadriven.TestData) []string {
	for _, arg := range dat.CmdArgs {
		if arg.Key == "vm" {
			return arg.Vals
		}
	}
	return nil
}

func limitOf(t *testing.T, dat *datadriven.TestData) Limit {
	t.Helper()
	return Limit{
		Rate:  RequestsPerSecond(float64(argument(t, dat, "rate"))),
		Burst: Requests(float64(argument(t, dat, "burst"))),
	}
}

func (scr *script) run(t *testing.T, dat *datadriven.TestData) string {
	switch dat.Cmd {
	case "fleet":
		scr.start(t, dat)
	case "load":
		scr.load(t, dat)
	case "run":
		scr.advance(time.Duration(argument(t, dat, "ms")) * time.Millisecond)
	case "exclude":
		id := identifiers(dat)[0]
		scr.ignorant[id] = dat.HasArg("cut")
		scr.changeView(nil, []string{id})
		scr.tell()
	case "limit":
		lim := limitOf(t, dat)
		scr.changeLimit(orgName, lim)
		scr.tell()
		// Every VM holds the new limit now: from here on, and for windows that
		// begin here, it is the bound. Earlier windows had the one before.
		scr.acc = &accountant{lim: lim, at: scr.now}
	case "kill":
		scr.vm(identifiers(dat)[0]).dead = true
	case "pause", "wake":
		scr.vm(identifiers(dat)[0]).paused = dat.Cmd == "pause"
	case "held":
		return scr.held()
	case "result":
		return scr.result()
	default:
		t.Fatalf("command %q does not exist", dat.Cmd)
	}
	return ""
}

func (scr *script) start(t *testing.T, dat *datadriven.TestData) {
	t.Helper()
	lim := limitOf(t, dat)
	*scr = script{world: newWorld(uint64(argument(t, dat, "seed")), argument(t, dat, "vms"), map[string]Limit{orgName: lim})}
	scr.acc = &accountant{lim: lim}
	scr.ignorant = make(map[string]bool)
	scr.onDecided = func(_ *simVM, _ string, dec Decided) {
		if !dec.Admitted {
			scr.refused++
		} else if err := scr.acc.admit(scr.now); err != nil && scr.broken == nil {
			scr.broken = err
		}
	}
}

// tell gives the newest head to every VM that may know of it.
func (scr *script) tell() {
	for _, vmm := range scr.vms {
		if !vmm.dead && !vmm.paused && !scr.ignorant[vmm.ID] {
			scr.adopt(vmm)
		}
	}
}

func (scr *script) load(t *testing.T, dat *datadriven.TestData) {
	t.Helper()
	ids := identifiers(dat)
	if ids[0] == "all" {
		ids = nil
		for _, vmm := range scr.vms {
			ids = append(ids, vmm.ID)
		}
	}
	gap := time.Second / time.Duration(argument(t, dat, "persecond"))
	num := 0
	for end := scr.now + time.Duration(argument(t, dat, "ms"))*time.Millisecond; scr.now < end; num++ {
		scr.arrive(scr.vm(ids[num%len(ids)]), orgName)
		scr.advance(gap)
	}
}

func (scr *script) held() string {
	out := ""
	for _, vmm := range scr.vms {
		share, tokens := vmm.led.Held(scr.instant(), orgName)
		out += fmt.Sprintf("%s: rate %.1f, burst %.1f, tokens %.1f\n", vmm.ID, share.Rate.Float(), share.Burst.Float(), tokens.Float())
	}
	return out
}

func (scr *script) result() string {
	out := fmt.Sprintf("admitted %d, refused %d, ", scr.acc.admitted, scr.refused)
	scr.acc.admitted, scr.refused = 0, 0
	if scr.broken != nil {
		return out + scr.broken.Error() + "\n"
	}
	return out + "within the limit\n"
}
