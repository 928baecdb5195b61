package runner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/health"
)

// TestScenarios runs the scripts in testdata. The commands are:
//
//	fleet deployment=NAME vms=N seed=N     starts a fleet
//	load share=F for=TIME               sends requests of all organisations
//	excess organisation=O service=S persecond=N for=TIME
//	fault target=ID kind=KIND              gives a target a fault
//	pause|wake|kill vm=N, join             changes VMs
//	isolate|oneway vm=N, heal              cuts a VM off, both ways or inbound
//	platform away|back
//	withdraw key=ORGANISATION|target=ID    writes a release
//	run time=TIME
//	ejected service=NAME                   prints what most VMs have ejected
//	members                                prints the view that most VMs hold
//	check                                  prints what did not hold
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		scr := &script{}
		datadriven.RunTest(t, path, scr.run)
	})
}

type script struct {
	fle *Fleet
	obs *Observer
}

var faultKinds = map[string]Fault{
	"none":   {},
	"refuse": {Name: "refuse", Refuse: true},
	"hang":   {Name: "hang", Hang: true},
	"reset":  {Name: "reset", Reset: true},
	"slow":   {Name: "slow", Slowdown: 5},
	"fail":   {Name: "fail", FailShare: 1},
	"fail10": {Name: "fail10", FailShare: 0.1},
	"flap":   {Name: "flap", FailShare: 1, Period: 4 * time.Second},
	"cut":    {Name: "cut", Cut: []string{"domain-1"}},
	"cold":   {Name: "cold", Slowdown: 5, ColdFor: 5 * time.Second},
}

func whole(t *testing.T, dat *datadriven.TestData, name string) int {
	t.Helper()
	var val int
	dat.ScanArgs(t, name, &val)
	return val
}

func word(t *testing.T, dat *datadriven.TestData, name string) string {
	t.Helper()
	var val string
	dat.ScanArgs(t, name, &val)
	return val
}

func span(t *testing.T, dat *datadriven.TestData, name string) time.Duration {
	t.Helper()
	dur, err := time.ParseDuration(word(t, dat, name))
	if err != nil {
		t.Fatal(err)
	}
	return dur
}

func (scr *script) run(t *testing.T, dat *datadriven.TestData) string {
	switch dat.Cmd {
	case "fleet":
		scr.start(t, dat)
	case "load":
		var share float64
		if _, err := fmt.Sscan(word(t, dat, "share"), &share); err != nil {
			t.Fatal(err)
		}
		scr.fle.Load(share, scr.fle.Now()+span(t, dat, "for"))
	case "excess":
		scr.fle.Stream(word(t, dat, "organisation"), word(t, dat, "service"), float64(whole(t, dat, "persecond")), scr.fle.Now()+span(t, dat, "for"))
	case "fault":
		kind := word(t, dat, "kind")
		fau, found := faultKinds[kind]
		if !found {
			t.Fatalf("fault %q does not exist", kind)
		}
		scr.fle.SetFault(word(t, dat, "target"), fau)
	case "run":
		scr.fle.Run(span(t, dat, "time"))
	case "withdraw":
		if dat.HasArg("key") {
			scr.obs.WithdrawKey(word(t, dat, "key"))
		} else {
			scr.obs.WithdrawTarget(word(t, dat, "target"))
		}
	case "platform":
		scr.fle.SetPlatformAway(dat.HasArg("away"))
	case "ejected":
		return scr.ejected(word(t, dat, "service"))
	case "members":
		return scr.members()
	case "check":
		return scr.check()
	default:
		scr.change(t, dat)
	}
	return ""
}

func (scr *script) start(t *testing.T, dat *datadriven.TestData) {
	t.Helper()
	for _, dep := range Deployments() {
		if dep.Name == word(t, dat, "deployment") {
			scr.fle = NewFleet(dep, Options{
				Seed: uint64(whole(t, dat, "seed")), VMs: whole(t, dat, "vms"), Lease: 5 * time.Second, Threshold: health.ThresholdBalanced,
			})
			scr.obs = Observe(scr.fle)
			return
		}
	}
	t.Fatal("the deployment does not exist")
}

// change changes VMs and the links between them.
func (scr *script) change(t *testing.T, dat *datadriven.TestData) {
	t.Helper()
	fle := scr.fle
	switch dat.Cmd {
	case "pause", "wake":
		fle.Pause(whole(t, dat, "vm"), dat.Cmd == "pause")
	case "kill":
		fle.Kill(whole(t, dat, "vm"))
	case "join":
		fle.Join()
	case "isolate", "oneway":
		for other := range fle.Size() {
			fle.Cut(other, whole(t, dat, "vm"), true)
			if dat.Cmd == "isolate" {
				fle.Cut(whole(t, dat, "vm"), other, true)
			}
		}
	case "heal":
		clear(fle.cut)
	default:
		t.Fatalf("command %q does not exist", dat.Cmd)
	}
}

// ejected lists the targets that more than half of the live VMs do not use.
func (scr *script) ejected(service string) string {
	counts := make(map[string]int)
	live := 0
	for _, vmm := range scr.fle.vms {
		if vmm.dead {
			continue
		}
		live++
		for _, id := range vmm.mac.Ejected(scr.fle.instant(), service) {
			counts[id]++
		}
	}
	var out strings.Builder
	for _, id := range scr.fle.order {
		if 2*counts[id] > live {
			fmt.Fprintln(&out, id)
		}
	}
	if out.Len() == 0 {
		return "none\n"
	}
	return out.String()
}

func (scr *script) members() string {
	for num, vmm := range scr.fle.vms {
		if !vmm.dead && !vmm.paused {
			_, vie := scr.fle.Held(num)
			return fmt.Sprintln(vie.Size())
		}
	}
	return "none\n"
}

func (scr *script) check() string {
	broken := scr.obs.Broken()
	if len(broken) == 0 {
		return "all holds\n"
	}
	return strings.Join(broken, "\n") + "\n"
}
