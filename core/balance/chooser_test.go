package balance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/clock"
)

const draws = 4000

func newChooser(targets ...int) *balance.Chooser {
	cho := balance.New(rand.New(rand.NewPCG(1, 1)), len(targets))
	for num, cnt := range targets {
		cho.SetTargets(num, cnt, 4*cnt)
	}
	return cho
}

// shares returns how often each of cnt partitions is chosen.
func shares(cho *balance.Chooser, now clock.Instant, cnt int) []float64 {
	out := make([]float64, cnt)
	for range draws {
		out[cho.Choose(now, 0)] += 1.0 / draws
	}
	return out
}

func checkShares(t *testing.T, what string, got []float64, want ...float64) {
	t.Helper()
	for num := range want {
		if math.Abs(got[num]-want[num]) > 0.04 {
			t.Errorf("%s: chosen with shares %.2f, want %.2f", what, got, want)
			return
		}
	}
}

// TestUnknownAndOldLoadsChangeNothing guards against preferring a partition for a load that is not known, as
// from an older program, or known from long ago, or told by a placer that was replaced.
func TestUnknownAndOldLoadsChangeNothing(t *testing.T) {
	now := clock.At(time.Hour)
	cho := newChooser(10, 30)
	checkShares(t, "nothing known", shares(cho, now, 2), 0.25, 0.75)
	cho.Learn(now, 0, balance.LoadOf(0, 40))
	checkShares(t, "one known", shares(cho, now, 2), 0.25, 0.75)
	cho.Learn(now, 1, balance.LoadOf(120, 120))
	checkShares(t, "both known", shares(cho, now, 2), 0.25+0.75*0.25, 0.75*0.75)
	checkShares(t, "both old", shares(cho, now.Add(3*time.Second), 2), 0.25, 0.75)
	cho.Learn(now, 1, 0)
	checkShares(t, "an older program answered", shares(cho, now, 2), 0.25+0.75*0.25, 0.75*0.75)
	cho.Forget(1)
	checkShares(t, "placer replaced", shares(cho, now, 2), 0.25, 0.75)
}

// TestVMsThatKnowTheSameLoadsSpread guards against all VMs that learned the same loads choosing the least loaded
// partition.
func TestVMsThatKnowTheSameLoadsSpread(t *testing.T) {
	now := clock.At(time.Hour)
	cho := newChooser(10, 10, 10, 10)
	for num := range 4 {
		cho.Learn(now, num, balance.LoadOf(10*num, 40))
	}
	checkShares(t, "loads of 0 to 3 quarters", shares(cho, now, 4), 7.0/16, 5.0/16, 3.0/16, 1.0/16)
}

// TestSentQueriesCount guards against sending everything to a partition until its placer answers.
func TestSentQueriesCount(t *testing.T) {
	now := clock.At(time.Hour)
	cho := newChooser(5, 5)
	cho.Learn(now, 0, balance.LoadOf(5, 20))
	cho.Learn(now, 1, balance.LoadOf(10, 20))
	for range 10 {
		cho.Sent(0)
	}
	checkShares(t, "ten queries to the less loaded one", shares(cho, now, 2), 0.25, 0.75)
}

// TestFullPartitionsAreNotAsked guards against asking a partition that has just had no room for the priority,
// and against taking it for full for higher priorities or for long.
func TestFullPartitionsAreNotAsked(t *testing.T) {
	now := clock.At(time.Hour)
	cho := newChooser(5, 5, 0)
	if next, found := cho.Other(now, 1, 0); next != 1 || !found {
		t.Errorf("got %d, %v, want the other partition with targets", next, found)
	}
	cho.Refused(now, 1, 1, time.Minute)
	for _, one := range []struct {
		at       clock.Instant
		priority int
		want     bool
	}{{now, 2, false}, {now, 1, false}, {now, 0, true}, {now.Add(time.Second), 1, true}} {
		if _, found := cho.Other(one.at, one.priority, 0); found != one.want {
			t.Errorf("priority %d at %v: got %v, want %v", one.priority, one.at, found, one.want)
		}
	}
	cho = newChooser(5, 5)
	for _, one := range []struct {
		refused, other int
		want           bool
	}{{25, 19, true}, {25, 24, false}, {60, 30, true}, {60, 58, false}} {
		cho.Learn(now, 0, balance.LoadOf(one.refused, 20))
		cho.Learn(now, 1, balance.LoadOf(one.other, 20))
		if _, found := cho.Other(now, 0, 0); found != one.want {
			t.Errorf("%d of 20 slots after %d refused: got %v, want %v", one.other, one.refused, found, one.want)
		}
	}
	for range 100 {
		if got := newChooser(5).Choose(now, 0); got != 0 {
			t.Fatalf("chose %d of one", got)
		}
	}
	if _, found := newChooser(5).Other(now, 0, 0); found {
		t.Error("found another one than the only partition")
	}
}

// TestLoadFitsOneByte guards against loads that take more than one byte in messages or are told as unknown.
func TestLoadFitsOneByte(t *testing.T) {
	for _, loa := range []balance.Load{balance.LoadOf(0, 9), balance.LoadOf(1000, 1), balance.LoadOf(0, 0), balance.Bounded(1 << 40)} {
		if !loa.Known() || loa > 127 {
			t.Errorf("load %d", loa)
		}
	}
	if got := balance.LoadOf(9, 9).Share(); got != 1 {
		t.Errorf("%g requests per slot, want 1", got)
	}
}
