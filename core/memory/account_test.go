package memory

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
)

func at(sec float64) clock.Instant { return clock.At(time.Duration(sec * float64(time.Second))) }

// take fails the test unless a holder gets an amount.
func take(t *testing.T, acc *Account, now clock.Instant, hld *Holder, amount int64) {
	t.Helper()
	if vrd, _ := acc.Take(now, hld, amount); vrd != Granted {
		t.Fatalf("%d of %d are held, but the verdict on %d more is %v", acc.Held(), acc.Size(), amount, vrd)
	}
}

// TestTheOneWithMostForLeastProgressGivesBack guards against a crowd of clients that have stopped and push out
// others: of a stalled holder, an active one that has as much and a newcomer, the stalled one must give back.
func TestTheOneWithMostForLeastProgressGivesBack(t *testing.T) {
	acc := New(Limits{Size: 2000 << 10})
	stalled, active := acc.Open(at(0)), acc.Open(at(0))
	take(t, acc, at(0), stalled, 1000<<10)
	take(t, acc, at(0), active, 1000<<10)
	acc.Advance(at(0), stalled, 1000<<10)
	acc.Advance(at(9.9), active, 100<<10)
	newcomer := acc.Open(at(10))
	vrd, victim := acc.Take(at(10), newcomer, 64<<10)
	if vrd != Wait || victim != stalled {
		t.Fatalf("got %v, the stalled one %v, the active one %v", vrd, victim == stalled, victim == active)
	}
	if vrd, victim = acc.Take(at(10), newcomer, 64<<10); vrd != Wait || victim != nil {
		t.Errorf("before the stalled one has given back, another one must do so, too: %v", vrd)
	}
	if vrd, _ = acc.Take(at(10), stalled, 1); vrd != Refused {
		t.Errorf("a revoked holder got more: %v", vrd)
	}
	acc.Close(stalled)
	take(t, acc, at(10), newcomer, 64<<10)
}

// TestTheOneThatAsksIsRefusedIfItIsTheWorst guards against a holder that has most for the least progress and
// makes others give back theirs.
func TestTheOneThatAsksIsRefusedIfItIsTheWorst(t *testing.T) {
	acc := New(Limits{Size: 1000 << 10})
	worst, other := acc.Open(at(0)), acc.Open(at(0))
	take(t, acc, at(0), worst, 900<<10)
	take(t, acc, at(0), other, 100<<10)
	acc.Advance(at(10), other, 100<<10)
	if vrd, victim := acc.Take(at(10), worst, 50<<10); vrd != Refused || victim != nil {
		t.Errorf("got %v, %v", vrd, victim)
	}
}

// TestBoundIsNeverTakenAway guards against a request that was passed on and loses what it holds.
func TestBoundIsNeverTakenAway(t *testing.T) {
	acc := New(Limits{Size: 1000})
	bound, other := acc.Open(at(0)), acc.Open(at(0))
	take(t, acc, at(0), bound, 1000)
	acc.Bind(bound, 1000)
	if vrd, victim := acc.Take(at(60), other, 10); vrd != Refused || victim != nil {
		t.Errorf("got %v, %v", vrd, victim)
	}
	acc.Loosen(bound, 1000)
	if _, victim := acc.Take(at(60), other, 10); victim != bound {
		t.Error("what is loose again is not taken away")
	}
}

// TestReserveIsForSmallHolders guards against large requests that leave no room for ordinary ones, and against
// small ones that are refused for good while they could wait.
func TestReserveIsForSmallHolders(t *testing.T) {
	acc := New(Limits{Size: 1000, Reserve: 200, Small: 100})
	large := acc.Open(at(0))
	take(t, acc, at(0), large, 800)
	acc.Bind(large, 800)
	if vrd, _ := acc.Take(at(0), large, 1); vrd != Refused {
		t.Errorf("a large holder got a part of the reserve: %v", vrd)
	}
	if acc.TakeBound(large, 1) {
		t.Error("a large holder got a bound part of the reserve")
	}
	for range 2 {
		take(t, acc, at(0), acc.Open(at(0)), 100)
	}
	if vrd, _ := acc.Take(at(0), acc.Open(at(0)), 10); vrd == Granted {
		t.Error("more is held than there is")
	}
	if vrd, _ := acc.Take(at(60), acc.Open(at(0)), 100); vrd != Wait {
		t.Error("a newcomer does not get what small holders have without progress")
	}
}

// TestDiscardedIsHeldUntilItIsCollected guards against memory that is handed out again before the collector has freed it, and
// against a holder that is refused or made to give back while waiting would do.
func TestDiscardedIsHeldUntilItIsCollected(t *testing.T) {
	acc := New(Limits{Size: 1000})
	one, two := acc.Open(at(0)), acc.Open(at(0))
	take(t, acc, at(0), one, 1000)
	acc.Discard(one, 600)
	if vrd, victim := acc.Take(at(60), two, 500); vrd != Wait || victim != nil {
		t.Errorf("got %v, %v", vrd, victim)
	}
	acc.Collect(600)
	take(t, acc, at(60), two, 500)
}

// TestWhatIsHeldIsGivenBackOnce plays random steps, and guards against an account that exceeds its size, or
// that does not come back to zero once all holders are closed.
func TestWhatIsHeldIsGivenBackOnce(t *testing.T) {
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		acc := New(Limits{Size: 10_000, Reserve: 1000, Small: 300})
		var holders []*Holder
		for step := range 3000 {
			now := at(float64(step) / 100)
			if len(holders) < 50 {
				holders = append(holders, acc.Open(now))
			}
			num := rnd.IntN(len(holders))
			hld, amount := holders[num], rnd.Int64N(500)
			switch rnd.IntN(10) {
			case 0:
				acc.Close(hld)
				acc.Close(hld)
				holders = append(holders[:num], holders[num+1:]...)
			case 1:
				acc.Bind(hld, amount)
			case 2:
				acc.Loosen(hld, amount)
			case 3:
				acc.Give(hld, amount)
			case 4:
				acc.GiveBound(hld, amount)
			case 5:
				acc.TakeBound(hld, amount)
			case 6:
				acc.Discard(hld, amount)
			case 7:
				acc.Collect(amount)
			default:
				acc.Advance(now, hld, amount)
				if _, victim := acc.Take(now, hld, amount); victim == hld {
					t.Fatalf("seed %d: a holder was to give back for itself", seed)
				}
			}
			if acc.Held() < 0 || acc.Held() > acc.Size() {
				t.Fatalf("seed %d: %d are held", seed, acc.Held())
			}
		}
		for _, hld := range holders {
			acc.Close(hld)
		}
		acc.Collect(acc.Discarded())
		if acc.Held() != 0 {
			t.Fatalf("seed %d: %d are held by nobody", seed, acc.Held())
		}
	}
}
