package placement

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
)

// How targets fail grayly is taken as a chain of two states. The values are
// starting points that the evidence outweighs.
const (
	// sickenRate and recoverRate are how often a sound target turns sick and a
	// sick one sound, each second.
	sickenRate  = 0.08
	recoverRate = 0.35
	// sickFails is the part of its requests that a sick target fails.
	sickFails = 0.7
	// soundFails is the part of its requests that a sound target fails.
	soundFails = 0.02
	minBelief  = 0.001
	maxBelief  = 0.995
)

// restBelief is the belief about a target of which nothing has been heard.
const restBelief = sickenRate / (sickenRate + recoverRate)

// belief is the probability that a target is sick.
type belief struct {
	sick float64
	at   clock.Instant
}

// now returns the belief at a time at which nothing new was heard.
func (bel belief) now(now clock.Instant) float64 {
	return drift(bel.sick, now.Mono-bel.at.Mono)
}

// drift moves a belief towards rest over a time.
func drift(sick float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return sick
	}
	return restBelief + (sick-restBelief)*math.Exp(-(sickenRate+recoverRate)*elapsed.Seconds())
}

// weigh takes evidence that is likelier by a factor where the target is sick,
// and that tells of a time in the past.
func (bel *belief) weigh(now clock.Instant, factor float64, past time.Duration) {
	sick := bel.now(now)
	// The time of the evidence and now are apart, in which the target may have
	// turned: the belief that it leads to drifts for that long.
	bel.sick = clamp(drift(update(sick, factor), past))
	bel.at = now
}

// update returns a belief after evidence that is likelier by a factor.
func update(sick, factor float64) float64 {
	odds := sick / (1 - sick) * factor
	return odds / (1 + odds)
}

func clamp(sick float64) float64 { return min(max(sick, minBelief), maxBelief) }

// The factors of what became of attempts.
const (
	failedFactor = sickFails / soundFails
	// erredFactor is that of an answer by which the target says that it failed,
	// as sound ones do for some requests.
	erredFactor   = 4
	successFactor = (1 - sickFails) / (1 - soundFails)
	// unreachableFactor is that of an attempt for which no connection could be
	// opened.
	unreachableFactor = 200
)

// waitingFactor is that of a request without answer, of which a part of those
// at sound targets would still be without one.
func waitingFactor(outlasts float64) float64 {
	return (sickFails + (1-sickFails)*outlasts) / max(outlasts, lostShare)
}
