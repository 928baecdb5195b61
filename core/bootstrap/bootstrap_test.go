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

// TestVMThatStartsReliesOnTheStoreByAProofAlone guards against a VM that relies on a restored store since that lists no other
// VM, or since none has answered: another one may know what the store has lost. It runs the scripts in testdata:
//   - "start vms=a,b,c" begins the check of a VM that knows these others.
//   - "list vms=a,b" replaces the others.
//   - "tick for=TIME" lets time pass in steps of 50 ms, and prints who was asked and the outcome at the end.
//   - "newcomer vms=a,b" delivers the answers of VMs that have just started, too, and "answer" that of one that knows more.
func TestVMThatStartsReliesOnTheStoreByAProofAlone(t *testing.T) {
	const step = 50 * time.Millisecond
	lim := Limits{Silence: 5 * time.Second, Rewrite: 8 * time.Second}
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var chk *Check
		var others []string
		now := clock.At(0)
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
					for _, id := range chk.Tick(now, others, lim) {
						asked[id]++
					}
				}
				var out []string
				for id, cnt := range asked {
					out = append(out, fmt.Sprintf("%s %d", id, cnt))
				}
				slices.Sort(out)
				return fmt.Sprintf("asked: %s\nsearched: %t\noutcome: %s\n", strings.Join(out, ", "), chk.Searched(), chk.Outcome())
			default:
				t.Fatalf("command %q does not exist", dat.Cmd)
			}
			return ""
		})
	})
}

// TestManyNewcomersAskFew starts a VM in a fleet of 800 that have all just started. It must not ask all of them, neither at once nor
// while it waits for the operators.
func TestManyNewcomersAskFew(t *testing.T) {
	var others []string
	for num := range 800 {
		others = append(others, fmt.Sprint("vm-", num))
	}
	lim := Limits{Silence: 5 * time.Second, Rewrite: 8 * time.Second}
	chk := New(rand.New(rand.NewPCG(1, 2)))
	now, cnt := clock.At(0), 0
	for ; !chk.Searched(); now = now.Add(50 * time.Millisecond) {
		for _, id := range chk.Tick(now, others, lim) {
			cnt++
			chk.KnowsNoMore(id)
		}
	}
	if took := now.Since(clock.At(0)); cnt > 40 || took > 500*time.Millisecond || chk.Settled() {
		t.Errorf("asked %d VMs in %v, outcome %q", cnt, took, chk.Outcome())
	}
	for ; !chk.Settled(); now = now.Add(50 * time.Millisecond) {
		cnt += len(chk.Tick(now, others, lim))
	}
	if took := now.Since(clock.At(0)); cnt > 200 || took > 8200*time.Millisecond || chk.Outcome() != Waited {
		t.Errorf("asked %d VMs in %v, outcome %q", cnt, took, chk.Outcome())
	}
}
