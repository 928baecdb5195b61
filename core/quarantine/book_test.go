package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

// script is a book with a keeper, on which the lines of a test script act.
type script struct {
	now clock.Instant
	bok *Book
	kee *Keeper
}

func newScript() *script {
	bok := NewBook()
	return &script{now: clock.At(time.Hour), bok: bok, kee: NewKeeper(bok)}
}

// contentOf returns the fingerprint of a content by its name in a script.
func contentOf(name string) request.Fingerprint {
	return request.FingerprintOf("GET", "h", "/"+name, nil)
}

// addEnd records that a VM has observed the end of a run under a content.
func addEnd(bok *Book, now clock.Instant, fpr request.Fingerprint, end End) {
	bok.Merge(now, bok.EndReport(now, fpr, end))
}

// runOf returns the run with a name such as "t1" or "t1.5", its start time after the dot.
func runOf(t *testing.T, name string) health.Run {
	target, born, _ := strings.Cut(name, ".")
	run := health.Run{Target: target}
	if born != "" {
		if _, err := fmt.Sscan(born, &run.Born); err != nil {
			t.Fatal(err)
		}
	}
	return run
}

// do carries out one line and returns what it yields, if anything.
func (scr *script) do(t *testing.T, line string) string {
	words := strings.Fields(line)
	if len(words) == 0 {
		return ""
	}
	args := words[1:]
	switch words[0] {
	case "after":
		dur, err := time.ParseDuration(args[0])
		if err != nil {
			t.Fatal(err)
		}
		scr.now = scr.now.Add(dur)
	case "end", "separate-end":
		addEnd(scr.bok, scr.now, contentOf(args[0]), End{Run: runOf(t, args[1]), Separate: words[0] == "separate-end"})
	case "clear":
		scr.bok.Clear(scr.now, contentOf(args[0]))
	case "merge-into":
		other := newScript()
		for _, one := range strings.Split(strings.Join(args[1:], " "), ";") {
			other.do(t, one)
		}
		scr.bok.Merge(scr.now, other.bok.Report(other.now, contentOf(args[0])))
	case "behind":
		// A VM that does not know that the content was cleared reports an end.
		age, err := time.ParseDuration(args[2])
		if err != nil {
			t.Fatal(err)
		}
		scr.bok.Merge(scr.now, Report{Content: contentOf(args[0]), Ends: []End{{Run: runOf(t, args[1]), Separate: true, Age: age}}})
	case "forget":
		scr.bok.Forget(scr.now)
	case "stored":
		scr.bok.MarkStored([]Report{{Content: contentOf(args[0])}})
	case "state":
		return fmt.Sprintf("%s: %v, %d\n", args[0], scr.bok.State(contentOf(args[0])), scr.bok.Count(contentOf(args[0])))
	case "keeper":
		scr.kee.Begin(scr.now, args[0] == "settled")
	case "ask":
		allowed := scr.kee.Allow(scr.now, args[1], Ask{Number: 1, TimeLeft: time.Second, Known: scr.bok.Report(scr.now, contentOf(args[0]))})
		return fmt.Sprintf("%s for %s: %v\n", args[0], args[1], allowed)
	case "ended":
		scr.kee.Ended(args[0], 1)
	case "exited":
		scr.kee.ForgetVM(args[0])
	case "tick":
		fpr, counted := scr.kee.Tick(scr.now)
		return fmt.Sprintf("trial counted: %v, trials %d\n", counted, scr.bok.Report(scr.now, fpr).Trials)
	case "read":
		scr.kee.NoteStored(scr.now, []Report{scr.bok.Report(scr.now, contentOf(args[0]))})
	case "trial":
		return fmt.Sprintf("%s may be tried: %v\n", args[0], scr.kee.TakeTrial(contentOf(args[0])))
	default:
		t.Fatalf("unknown line %q", line)
	}
	return ""
}

// TestEndsOfRunsAreCountedByContent records ends of runs, answers, reports of other VMs and the decisions of
// the keeper, and prints the state of contents.
func TestEndsOfRunsAreCountedByContent(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			scr := newScript()
			var out strings.Builder
			for line := range strings.SplitSeq(dat.Input, "\n") {
				out.WriteString(scr.do(t, line))
			}
			return out.String()
		})
	})
}

// TestReportsAreCombinedInAnyOrder merges reports in several orders, some twice.
func TestReportsAreCombinedInAnyOrder(t *testing.T) {
	fpr := contentOf("a")
	one, two, three := health.Run{Target: "1"}, health.Run{Target: "2"}, health.Run{Target: "3"}
	rps := []Report{
		{Content: fpr, Epoch: 1, Ends: []End{{Run: one}, {Run: two, Separate: true}}},
		{Content: fpr, Epoch: 1, Ends: []End{{Run: one, Separate: true}}, Trials: 1},
		{Content: fpr, Ends: []End{{Run: three, Separate: true, Age: time.Minute}}, Trials: 2},
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2, 1}, {2, 0, 0, 1}} {
		bok := NewBook()
		for _, num := range order {
			bok.Merge(clock.At(time.Hour), rps[num])
		}
		got := bok.Report(clock.At(time.Hour), fpr)
		if bok.Count(fpr) != 2 || len(got.Ends) != 2 || got.Epoch != 1 || got.Trials != 1 {
			t.Errorf("order %v: count %d of %+v", order, bok.Count(fpr), got)
		}
	}
}

// TestFullBookKeepsWhatIsQuarantined fills a book with suspected contents beside a quarantined one.
func TestFullBookKeepsWhatIsQuarantined(t *testing.T) {
	scr := newScript()
	for num := range provenEnds {
		addEnd(scr.bok, scr.now, contentOf("bad"), End{Run: health.Run{Target: fmt.Sprint(num)}, Separate: true})
	}
	for num := range maxEntries + 100 {
		scr.now = scr.now.Add(time.Millisecond)
		addEnd(scr.bok, scr.now, contentOf(fmt.Sprint("other", num)), End{Run: health.Run{Target: "t"}})
	}
	suspected, quarantined, dropped := scr.bok.Sizes()
	if suspected != maxEntries-1 || quarantined != 1 || dropped != 101 {
		t.Errorf("%d suspected, %d quarantined, %d dropped", suspected, quarantined, dropped)
	}
	if got := scr.bok.State(contentOf("other0")); got != Clear {
		t.Errorf("the oldest suspected content is %v", got)
	}
	if got := len(scr.bok.Stored(scr.now)); got != 1 {
		t.Errorf("%d contents are to be stored, want the quarantined one", got)
	}
}

// TestContentThatIsClearedOftenStaysClear lets more runs end under a content that many callers ask for than a
// book keeps, each followed by an answer. Two books exchange late reports all the while.
func TestContentThatIsClearedOftenStaysClear(t *testing.T) {
	fpr, now := contentOf("hot"), clock.At(time.Hour)
	one, two := NewBook(), NewBook()
	var late Report
	for num := range 4 * maxEnds {
		now = now.Add(5 * time.Second)
		addEnd(one, now, fpr, End{Run: health.Run{Target: fmt.Sprint("a", num)}, Separate: true})
		addEnd(two, now, fpr, End{Run: health.Run{Target: fmt.Sprint("b", num)}})
		reported := two.Report(now, fpr)
		one.Merge(now, reported)
		one.Clear(now, fpr)
		one.Merge(now, late)
		two.Merge(now, one.Report(now, fpr))
		one.Merge(now, two.Report(now, fpr))
		late = reported.WithAge(5 * time.Second)
		if one.State(fpr) != Clear || two.State(fpr) != Clear {
			t.Fatalf("after %d answers: %v and %v", num+1, one.State(fpr), two.State(fpr))
		}
	}
	if one.Merge(now, two.Report(now, fpr)) || two.Merge(now, one.Report(now, fpr)) {
		t.Error("the books still have news for each other")
	}
}
