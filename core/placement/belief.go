package placement

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
)

// How targets fail grayly is taken as a chain of two states. The values are
// starting points that the evidence outweighs.
const (
	// sickRate and recoverRate are how often a sound target turns sick and a
	// sick one sound, each second.
	sickRate     = 0.08
	recoveryRate = 0.35
	// sickFailShare is the part of its requests that a sick target fails.
	sickFailShare = 0.7
	// healthyFailShare is the part of its requests that a sound target fails.
	healthyFailShare = 0.02
	minBelief        = 0.001
	maxBelief        = 0.995
)

// stationaryBelief is the belief about a target of which nothing has been heard.
const stationaryBelief = sickRate / (sickRate + recoveryRate)

// belief is the probability that a target is sick.
type belief struct {
	sick float64
	asOf clock.Instant
}

// now returns the belief at a time at which nothing new was heard.
func (bel belief) now(now clock.Instant) float64 {
	return decay(bel.sick, now.Mono-bel.asOf.Mono)
}

// decay moves a belief towards rest over a time.
func decay(sick float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return sick
	}
	return stationaryBelief + (sick-stationaryBelief)*math.Exp(-(sickRate+recoveryRate)*elapsed.Seconds())
}

// observe takes evidence that is likelier by a factor where the target is sick,
// and that tells of a time in the past.
func (bel *belief) observe(now clock.Instant, factor float64, age time.Duration) {
	sick := bel.now(now)
	// The time of the evidence and now are apart, in which the target may have
	// turned: the belief that it leads to drifts for that long.
	bel.sick = clamp(decay(update(sick, factor), age))
	bel.asOf = now
}

// update returns a belief after evidence that is likelier by a factor.
func update(sick, factor float64) float64 {
	odds := sick / (1 - sick) * factor
	return odds / (1 + odds)
}

func clamp(sick float64) float64 { return min(max(sick, minBelief), maxBelief) }

// The factors of what became of attempts.
const (
	failedFactor = sickFailShare / healthyFailShare
	// serverErrorFactor is that of an answer by which the target says that it failed,
	// as sound ones do for some requests.
	serverErrorFactor = 4
	successFactor     = (1 - sickFailShare) / (1 - healthyFailShare)
	// unreachableFactor is that of an attempt for which no connection could be
	// opened.
	unreachableFactor = 200
)

// pendingFactor is that of a request without answer, of which a part of those
// at sound targets would still be without one.
func pendingFactor(survival float64) float64 {
	return (sickFailShare + (1-sickFailShare)*survival) / max(survival, lostShare)
}
