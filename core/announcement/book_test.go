package announcement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/rate"
)

// TestBookKeepsWhatTargetsAnnounce records responses and reports in the book of a VM, in any order, and
// prints what then holds for a run of a target.
func TestBookKeepsWhatTargetsAnnounce(t *testing.T) {
	datadriven.RunTest(t, "testdata/book", func(t *testing.T, dat *datadriven.TestData) string {
		bok := NewBook()
		var out strings.Builder
		for line := range strings.SplitSeq(dat.Input, "\n") {
			scr := newScriptLine(t, line)
			run := health.Run{Target: "t", Born: int64(scr.number("born", 1))}
			switch scr.verb {
			case "hear":
				ann := Announcement{
					Limit: scr.limit(), Leaving: scr.has("leaving"), LimitUnreadable: scr.has("unreadable"),
					RetryAfter: time.Duration(scr.number("retry", 0) * float64(time.Second)),
				}
				changed, _ := bok.Hear(scr.now, scr.now.Add(-scr.seconds("sent", 0.1)), run, ann)
				fmt.Fprintf(&out, "changed %t, ", changed)
			case "learn":
				changed := bok.Learn(scr.now, Report{Run: run, Limit: scr.limit(), Leaving: scr.has("leaving"), SentAge: scr.seconds("sent", 0.1), HeardAge: scr.seconds("heard", 0)})
				fmt.Fprintf(&out, "changed %t, ", changed)
			case "inherit":
				changed := bok.Inherit(scr.now, run, health.Run{Target: "t", Born: 1}, scr.now.Add(-scr.seconds("started", 0)))
				fmt.Fprintf(&out, "changed %t, ", changed)
			case "confirm":
				bok.Confirm(scr.now)
			case "forget":
				bok.Forget(scr.now, map[health.Run]bool{run: scr.has("registered")})
			}
			fmt.Fprintf(&out, "limit %s, leaving %t, paused %v\n", bok.Limit(run), bok.Leaving(run), bok.Paused(scr.now, run))
		}
		return out.String()
	})
}

// scriptLine is a line "SECONDS VERB [NAME[=NUMBER]]...".
type scriptLine struct {
	now  clock.Instant
	verb string
	args map[string]float64
}

func newScriptLine(t *testing.T, line string) scriptLine {
	words := strings.Fields(line)
	scr := scriptLine{verb: words[1], args: make(map[string]float64)}
	var sec float64
	if _, err := fmt.Sscan(words[0], &sec); err != nil {
		t.Fatal(err)
	}
	scr.now = clock.At(time.Hour + time.Duration(sec*float64(time.Second)))
	for _, word := range words[2:] {
		name, val, _ := strings.Cut(word, "=")
		num := 1.0
		if val != "" {
			if _, err := fmt.Sscan(val, &num); err != nil {
				t.Fatal(err)
			}
		}
		scr.args[name] = num
	}
	return scr
}

func (scr scriptLine) has(name string) bool {
	_, found := scr.args[name]
	return found
}

func (scr scriptLine) number(name string, missing float64) float64 {
	if scr.has(name) {
		return scr.args[name]
	}
	return missing
}

func (scr scriptLine) seconds(name string, missing float64) time.Duration {
	return time.Duration(scr.number(name, missing) * float64(time.Second))
}

func (scr scriptLine) limit() Limit {
	if !scr.has("limit") {
		return Limit{}
	}
	return Limit{Limited: true, Rate: rate.RequestsPerSecond(scr.args["limit"])}
}
