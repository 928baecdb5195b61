package drain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// TestBookKeepsDrains plays what VMs read from the store and tell each other, and prints what is drained then, at the
// VM that the line names. It guards against drains that are lost or that stay.
func TestBookKeepsDrains(t *testing.T) {
	datadriven.RunTest(t, "testdata/book", func(t *testing.T, dat *datadriven.TestData) string {
		books := map[string]*Book{}
		var out strings.Builder
		for line := range strings.SplitSeq(dat.Input, "\n") {
			words := strings.Fields(line)
			off, err := time.ParseDuration(words[0])
			if err != nil {
				t.Fatal(err)
			}
			name, verb, args := words[1], words[2], words[3:]
			if books[name] == nil {
				books[name] = NewBook()
			}
			bok := books[name]
			step(t, books, bok, clock.At(time.Hour+off), verb, args)
			fmt.Fprintf(&out, "%s:", name)
			for _, dom := range bok.Domains() {
				fmt.Fprintf(&out, " %s", dom.Name)
				if dom.Retained {
					out.WriteString(" (retained)")
				}
			}
			for _, chg := range bok.TakeChanges() {
				fmt.Fprintf(&out, ", %+v", chg)
			}
			out.WriteString("\n")
		}
		return out.String()
	})
}

// step carries out "list ERA/REVISION DOMAIN...", "watch ERA/SINCE ERA/REVISION [+DOMAIN | -DOMAIN]...", "told BY" or "tick".
func step(t *testing.T, books map[string]*Book, bok *Book, now clock.Instant, verb string, args []string) {
	switch verb {
	case "list":
		del := table.Delta[Entry]{Whole: true, Revision: parseRevision(t, args[0])}
		for _, domain := range args[1:] {
			del.Rows = append(del.Rows, table.Row[Entry]{Name: domain, Revision: del.Revision})
		}
		bok.Apply(now, del)
	case "watch":
		del := table.Delta[Entry]{Since: parseRevision(t, args[0]), Revision: parseRevision(t, args[1])}
		for _, arg := range args[2:] {
			if domain, found := strings.CutPrefix(arg, "-"); found {
				del.Removed = append(del.Removed, domain)
			} else {
				del.Rows = append(del.Rows, table.Row[Entry]{Name: arg[1:], Revision: del.Revision})
			}
		}
		bok.Apply(now, del)
	case "told":
		bok.Learn(now, books[args[0]].Report(now))
	case "tick":
		bok.Tick(now)
	default:
		t.Fatalf("unknown verb %s", verb)
	}
}

func parseRevision(t *testing.T, txt string) uint64 {
	era, num, _ := strings.Cut(txt, "/")
	one, err := strconv.ParseUint(era, 10, 64)
	two, err2 := strconv.ParseUint(num, 10, 64)
	if err != nil || err2 != nil {
		t.Fatalf("%s is not ERA/REVISION", txt)
	}
	return revision.Join(revision.Era(one), two)
}

// TestReportsHoldTheWholeSet guards against a VM that needs every report: the last one alone must do.
func TestReportsHoldTheWholeSet(t *testing.T) {
	now := clock.At(time.Hour)
	one, two := NewBook(), NewBook()
	one.Apply(now, table.Delta[Entry]{Whole: true, Revision: 3, Rows: []table.Row[Entry]{{Name: "a", Revision: 2}, {Name: "b", Revision: 3}}})
	one.Apply(now, table.Delta[Entry]{Since: 3, Revision: 5, Rows: []table.Row[Entry]{{Name: "c", Revision: 5}}, Removed: []string{"a"}})
	two.Learn(now, one.Report(now))
	if rep := two.Report(now); !slices.Equal(rep.Shown, []string{"b", "c"}) || rep.Revision != 5 {
		t.Errorf("%+v", rep)
	}
}
