package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/clock"
)

// TestVMThatStartsAsksBeforeItReliesOnTheStore guards against a VM that relies on a restored store though another one could
// have told it what the store has lost, and against one that waits for VMs that cannot know more. It runs the scripts in
// testdata:
//   - "start vms=a,b,c" begins the check of a VM that knows these others.
//   - "list vms=a,b" replaces the others.
//   - "tick for=TIME" lets time pass in steps of 50 ms, and prints who was asked and the outcome at the end.
//   - "newcomer vms=a,b" delivers the answers of VMs that have just started, too, and "answer" that of one that knows more.
func TestVMThatStartsAsksBeforeItReliesOnTheStore(t *testing.T) {
	const step, timeout = 50 * time.Millisecond, 5 * time.Second
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var chk *Check
		var others []string
		now := clock.At(time.Hour)
		vms := func(dat *datadriven.TestData) []string {
			var txt string
			dat.MaybeScanArgs(t, "vms", &txt)
			return strings.FieldsFunc(txt, func(one rune) bool { return one == ',' })
		}
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			switch dat.Cmd {
			case "start":
				chk, others = New(rand.New(rand.NewPCG(1, 2))), vms(dat)
			case "list":
				others = vms(dat)
			case "newcomer":
				for _, id := range vms(dat) {
					chk.KnowsNoMore(id)
				}
			case "answer":
				return fmt.Sprintln("settled:", chk.Settle(Answered))
			case "tick":
				var txt string
				dat.ScanArgs(t, "for", &txt)
				dur, err := time.ParseDuration(txt)
				if err != nil {
					t.Fatal(err)
				}
				asked := make(map[string]int)
				for end := now.Add(dur); now.Before(end); now = now.Add(step) {
					for _, id := range chk.Tick(now, others, timeout) {
						asked[id]++
					}
				}
				var out []string
				for id, cnt := range asked {
					out = append(out, fmt.Sprintf("%s %d", id, cnt))
				}
				slices.Sort(out)
				return fmt.Sprintf("asked: %s\noutcome: %s\n", strings.Join(out, ", "), chk.Outcome())
			default:
				t.Fatalf("command %q does not exist", dat.Cmd)
			}
			return ""
		})
	})
}

// TestManyNewcomersAskFew starts a VM in a fleet of 800 that have all just started. It must not ask all of them.
func TestManyNewcomersAskFew(t *testing.T) {
	var others []string
	for num := range 800 {
		others = append(others, fmt.Sprint("vm-", num))
	}
	chk := New(rand.New(rand.NewPCG(1, 2)))
	now, cnt := clock.At(time.Hour), 0
	for ; !chk.Settled(); now = now.Add(50 * time.Millisecond) {
		for _, id := range chk.Tick(now, others, 5*time.Second) {
			cnt++
			chk.KnowsNoMore(id)
		}
	}
	if took := now.Since(clock.At(time.Hour)); cnt > 40 || took > 500*time.Millisecond || chk.Outcome() != Newcomers {
		t.Errorf("asked %d VMs in %v, outcome %q", cnt, took, chk.Outcome())
	}
}
