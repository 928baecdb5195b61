package path

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

// TestPathsAreLostAndFound records connections and signs in a book, and prints what then holds and how
// many targets are probed. The service has five targets unless a line says otherwise.
func TestPathsAreLostAndFound(t *testing.T) {
	datadriven.RunTest(t, "testdata/book", func(t *testing.T, dat *datadriven.TestData) string {
		bok, rnd, targets := NewBook(), rand.New(rand.NewPCG(1, 1)), 5
		var out strings.Builder
		for line := range strings.SplitSeq(dat.Input, "\n") {
			words := strings.Fields(line)
			sec, err := strconv.ParseFloat(words[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			now := clock.At(time.Hour + time.Duration(sec*float64(time.Second)))
			tgs := numberedTargets(targets)
			switch words[1] {
			case "targets":
				if targets, err = strconv.Atoi(words[2]); err != nil {
					t.Fatal(err)
				}
				continue
			case "fail":
				bok.Failed(now, "svc", words[2], tgs)
			case "connect":
				bok.Connected(now, "svc", words[2], targets)
			case "respond":
				bok.Responded(now, "svc")
			case "slow":
				bok.Doubted("svc", words[2], Slow)
			case "unanswered":
				bok.Doubted("svc", words[2], Unanswered)
			case "tick":
			default:
				t.Fatalf("unknown verb %q", words[1])
			}
			fmt.Fprintf(&out, "lost %t, failed %v, probes %d\n", bok.Lost("svc"), bok.FailedTargets("svc"), len(bok.Probes(now, rnd, "svc", tgs)))
		}
		return out.String()
	})
}

// numberedTargets returns t0, t1 and so on.
func numberedTargets(cnt int) []health.Target {
	var tgs []health.Target
	for num := range cnt {
		tgs = append(tgs, health.Target{ID: fmt.Sprint("t", num)})
	}
	return tgs
}

// TestProbesDoNotMultiply probes a service of which half of the targets are down, as after crashes. The results of probes must not
// lead to ever more of them.
func TestProbesDoNotMultiply(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	bok, now := NewBook(), clock.At(time.Hour)
	var tgs []health.Target
	down := make(map[string]bool)
	for num := range 20 {
		id := fmt.Sprint("t", num)
		tgs, down[id] = append(tgs, health.Target{ID: id}), num%2 == 0
	}
	var running []health.Target
	probes := 0
	for range 2000 {
		now = now.Add(2 * time.Millisecond)
		done := running
		running = nil
		for _, tgt := range append(done, tgs[rnd.IntN(len(tgs))]) {
			if down[tgt.ID] {
				bok.Failed(now, "svc", tgt.ID, tgs)
			} else {
				bok.Connected(now, "svc", tgt.ID, len(tgs))
			}
			running = append(running, bok.Probes(now, rnd, "svc", tgs)...)
		}
		if probes += len(running); probes > 1000 {
			t.Fatalf("%d probes by %v", probes, now)
		}
	}
}
