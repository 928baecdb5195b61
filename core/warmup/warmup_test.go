package warmup

import (
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

var limit = Policy{Excess: 1.5, Slack: 8}.Limit(rate.RequestsPerSecond(2.1))

// greedy takes all that an allowance gives from one time to another, and returns when.
func greedy(alw *Allowance, from, to time.Duration, cold func(at time.Duration) bool) []time.Duration {
	var taken []time.Duration
	for at := from; at < to; at += 5 * time.Millisecond {
		for alw.Wait(clock.At(at), cold(at), limit) == 0 {
			alw.Take(clock.At(at))
			taken = append(taken, at)
		}
	}
	return taken
}

// mostInSecond returns the most times that lie within a second.
func mostInSecond(ats []time.Duration) int {
	most := 0
	for num, at := range ats {
		in := 0
		for _, other := range ats[num:] {
			if other-at < time.Second {
				in++
			}
		}
		most = max(most, in)
	}
	return most
}

// TestUnseenColdTargetsGetLessThanTheLimit guards against a target that gets more than it tolerates since its entry does
// not show yet that it has turned cold.
func TestUnseenColdTargetsGetLessThanTheLimit(t *testing.T) {
	taken := greedy(NewAllowance(clock.At(time.Hour)), time.Hour, time.Hour+5*time.Second, func(time.Duration) bool { return false })
	if most := mostInSecond(taken); most != 7 {
		t.Errorf("%d requests in a second, wanted are seven tenths of 11.15", most)
	}
}

// TestTargetsThatTurnColdKeepToTheLimit guards against a bucket that adds to what was sent just before.
func TestTargetsThatTurnColdKeepToTheLimit(t *testing.T) {
	for step := range 20 {
		turns := time.Hour + 2*time.Second + time.Duration(step)*50*time.Millisecond
		taken := greedy(NewAllowance(clock.At(time.Hour)), time.Hour, time.Hour+8*time.Second, func(at time.Duration) bool { return at >= turns })
		if most := mostInSecond(taken); most > 11 {
			t.Errorf("turned cold after %v: %d requests in a second", turns-time.Hour, most)
		}
		cold := 0
		for _, at := range taken {
			if at >= turns+time.Second && at < turns+5*time.Second {
				cold++
			}
		}
		if most := 4*2.1*1.5 + 0.5*2.1*1.5 + 1; float64(cold) > most {
			t.Errorf("%d requests in 4 s, allowed are %.1f: 2.1 a second with the excess of 1.5, and what the bucket holds", cold, most)
		}
	}
}

// TestTwoPlacersKeepToTheLimit guards against a new placer that sends as much as the one before did in the same second.
func TestTwoPlacersKeepToTheLimit(t *testing.T) {
	warm := func(time.Duration) bool { return false }
	for step := range 20 {
		changes := time.Hour + 2*time.Second + time.Duration(step)*50*time.Millisecond
		taken := greedy(NewAllowance(clock.At(time.Hour)), time.Hour, changes, warm)
		taken = append(taken, greedy(NewAllowance(clock.At(changes)), changes, changes+3*time.Second, warm)...)
		if most := mostInSecond(taken); most > 11 {
			t.Errorf("%d requests in a second around a change of the placer", most)
		}
	}
}

// TestNoLimitWithoutSettingOrRate guards against limits where the platform states none.
func TestNoLimitWithoutSettingOrRate(t *testing.T) {
	if (Policy{}).Limit(rate.RequestsPerSecond(2)).Limited() || (Policy{Excess: 1.5, Slack: 8}).Limit(0).Limited() {
		t.Error("there is a limit")
	}
}
