package admission

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
)

// meter is a sum in which what was added fades.
type meter struct {
	sum  float64
	asOf clock.Instant
}

// at returns the sum. What was added the given time ago counts for 1/e.
func (met *meter) at(now clock.Instant, fade time.Duration) float64 {
	return met.sum * math.Exp(-max(now.Mono-met.asOf.Mono, 0).Seconds()/fade.Seconds())
}

func (met *meter) add(now clock.Instant, val float64, fade time.Duration) {
	met.sum, met.asOf = met.at(now, fade)+val, now
}

// tally counts requests and those of them that were admitted.
type tally struct{ asked, admitted meter }

func (tal *tally) count(now clock.Instant, admitted bool) {
	tal.asked.add(now, 1, shareTime)
	if admitted {
		tal.admitted.add(now, 1, shareTime)
	}
}

// share returns the share of requests that were admitted lately, 1 while too few are known.
func (tal *tally) share(now clock.Instant) float64 {
	asked := tal.asked.at(now, shareTime)
	if asked < minAsked {
		return 1
	}
	return tal.admitted.at(now, shareTime) / asked
}
