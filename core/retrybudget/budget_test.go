package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
)

const (
	length = 10 * time.Second
	share  = 0.2
)

// mark is one request or one attempt beyond the first.
type mark struct {
	at    time.Duration
	retry bool
}

// worst returns by how many attempts the bound is exceeded at most in a window that ends at an attempt.
func worst(marks []mark, extra int) int {
	const requestsPerRetry = int(1 / share)
	most := -extra
	for num, end := range marks {
		if !end.retry {
			continue
		}
		over := -extra * requestsPerRetry
		for back := num; back >= 0 && marks[back].at > end.at-length; back-- {
			if marks[back].retry {
				over += requestsPerRetry
			} else {
				over--
			}
		}
		most = max(most, over)
	}
	return most
}

func randomClaim(rnd *rand.Rand) Claim {
	return Claim{Purpose: Purpose(rnd.IntN(3)), Priority: rnd.IntN(4), Late: rnd.IntN(2) == 0}
}

// playWindow plays 60 s of requests and of claims at random; change says how many there are in the next 2 s. The budget is a
// part of the bound, and a new one begins with the chance renew at each step. It returns all that was counted and allowed.
func playWindow(rnd *rand.Rand, extra int, renew, part float64, change func() (perStep, asks int)) (marks []mark, taken int) {
	now := clock.At(time.Hour + time.Duration(rnd.Int64N(int64(time.Second))))
	bud := New(now, length, share*part, float64(extra)*part)
	perStep, asks := change()
	for step := range 6000 {
		if step%200 == 0 {
			perStep, asks = change()
		}
		if rnd.Float64() < renew {
			bud = New(now, length, share*part, float64(extra)*part)
		}
		for range perStep {
			bud.CountRequest(now)
			marks = append(marks, mark{at: now.Mono})
		}
		for range asks {
			if bud.Take(now, randomClaim(rnd)) {
				taken++
				marks = append(marks, mark{at: now.Mono, retry: true})
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	return marks, taken
}

// TestBoundHoldsInEveryWindow asks for attempts in bursts and at random, while the load changes. No window may have more
// attempts than the bound, wherever it lies against the buckets.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	const extra = 40
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		marks, taken := playWindow(rnd, extra, 0, 1, func() (perStep, asks int) { return rnd.IntN(5), rnd.IntN(6) * rnd.IntN(3) })
		if over := worst(marks, extra); over > 0 || taken == 0 {
			t.Errorf("seed %d: %d attempts, a window exceeds the bound by a fifth of %d", seed, taken, over)
		}
	}
}

// placerPart is the part of the bound that core/gateway gives to a placer.
const placerPart = 0.85

// TestBoundHoldsWhenAnotherVMTakesOver plays a steady load whose budget is kept by one VM after the other. A successor that
// began with all that may be made at once would add it to what its predecessor has just spent.
func TestBoundHoldsWhenAnotherVMTakesOver(t *testing.T) {
	const extra = 40
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		marks, _ := playWindow(rnd, extra, 1./1200, placerPart, func() (perStep, asks int) { return 3, rnd.IntN(6) * rnd.IntN(3) })
		if over := worst(marks, extra); over > 0 {
			t.Errorf("seed %d: a window exceeds the bound by a fifth of %d attempts", seed, over)
		}
	}
}

// incident plays the refusal of 55% of all requests for a time: refused attempts ask again, up to six times. It
// returns how many attempts each priority got in each second.
func incident(bud *Budget, now clock.Instant, perSecond int, dur time.Duration) [][3]int {
	rnd := rand.New(rand.NewPCG(1, 1))
	out := make([][3]int, int(dur/time.Second)+1)
	for began := now; now.Mono-began.Mono < dur; now = now.Add(time.Second / time.Duration(perSecond)) {
		bud.CountRequest(now)
		cla := Claim{Priority: rnd.IntN(3)}
		for try := 0; try < 6 && rnd.Float64() < 0.55 && bud.Take(now, cla); try++ {
			out[(now.Mono-began.Mono)/time.Second][cla.Priority]++
		}
	}
	return out
}

// TestAnIncidentHasAttemptsUntilItsEnd plays an incident nearly as long as the window. The budget must not be spent in
// its first seconds, the most urgent must get the greatest part throughout, and no priority nothing.
func TestAnIncidentHasAttemptsUntilItsEnd(t *testing.T) {
	const perSecond, extra = 600, 98
	now := clock.At(time.Hour)
	bud := New(now, length, share, extra)
	for range 11 * perSecond {
		now = now.Add(time.Second / perSecond)
		bud.CountRequest(now)
	}
	seconds := incident(bud, now, perSecond, 8500*time.Millisecond)
	sums := [3]int{}
	for num, cnt := range seconds[:8] {
		if cnt[0]+cnt[1]+cnt[2] < perSecond/20 || cnt[0] < cnt[1] || cnt[0] < cnt[2] {
			t.Errorf("second %d: the priorities got %v attempts", num, cnt)
		}
		for pri := range sums {
			sums[pri] += cnt[pri]
		}
	}
	all := share*10*perSecond + extra
	if got := float64(sums[0] + sums[1] + sums[2]); got < 0.8*all || got > all {
		t.Errorf("%v of %v attempts were made", got, all)
	}
	if sums[0] < 2*sums[2] || float64(sums[2]) < all/100 {
		t.Errorf("the priorities got %v attempts", sums)
	}
}

// TestWaitTellsWhenAnAttemptIsAllowed empties the budget and comes back at the time that is told. Callers that are told
// the same time would find a single token, so each must be told a later one; and those that cannot wait take no turn.
func TestWaitTellsWhenAnAttemptIsAllowed(t *testing.T) {
	now := clock.At(time.Hour)
	bud := New(now, length, share, 60)
	for range 11 {
		now = now.Add(time.Second)
		for range 50 {
			bud.CountRequest(now)
		}
	}
	cla := Claim{Priority: 1}
	for bud.Take(now, cla) {
	}
	first := bud.Wait(now, cla, time.Second)
	if impatient := bud.Wait(now, cla, 0); impatient <= first {
		t.Errorf("the first is told %v, the second %v", first, impatient)
	}
	second := bud.Wait(now, cla, time.Second)
	if second <= first || second > 3*first+time.Second/2 {
		t.Errorf("the first is told %v, the next one that waits %v", first, second)
	}
	for _, wait := range []time.Duration{first, second} {
		if at := now.Add(wait + time.Millisecond); !bud.Take(at, cla) {
			t.Errorf("no attempt is allowed after %v", wait)
		}
	}
}

// TestNoKindGetsNothing lets the most urgent claims take all that they can get for a time. Each other kind must get an
// attempt all the same, also those whose reserve a small bucket never holds.
func TestNoKindGetsNothing(t *testing.T) {
	now := clock.At(time.Hour)
	bud := New(now, length, share, 40)
	got := make(map[int]int)
	for range 2500 {
		now = now.Add(10 * time.Millisecond)
		for range 3 {
			bud.CountRequest(now)
		}
		for bud.Take(now, Claim{}) {
		}
		for pri := range 3 {
			for _, pur := range []Purpose{AfterRefusal, Hedge} {
				if cla := (Claim{Purpose: pur, Priority: pri, Late: true}); bud.Take(now, cla) {
					got[cla.kind()]++
				}
			}
		}
	}
	for kind := range kinds {
		if kind != (Claim{}).kind() && got[kind] == 0 {
			t.Errorf("kind %d got none: %v", kind, got)
		}
	}
}
