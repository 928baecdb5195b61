package placement

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
)

// Gray failures are modelled as a Markov chain with two states: a healthy target answers nearly all
// requests, and a sick one fails most of them. The values are priors that the evidence outweighs.
const (
	// sickRate and recoveryRate are the rates, per second, at which a healthy target turns sick and
	// a sick one healthy.
	sickRate     = 0.08
	recoveryRate = 0.35
	// sickFailShare is the share of its requests that a sick target fails.
	sickFailShare = 0.7
	// healthyFailShare is the share of its requests that a healthy target fails.
	healthyFailShare = 0.02
	// minBelief and maxBelief bound a belief. At 0 or 1 no evidence could change it any more.
	minBelief = 0.001
	maxBelief = 0.995
)

// stationaryBelief is the belief that a target approaches without evidence: the share of time that it
// spends sick under the rates above.
const stationaryBelief = sickRate / (sickRate + recoveryRate)

// belief is the estimated probability that a target is sick, as of the last evidence.
type belief struct {
	sick float64
	asOf clock.Instant
}

// now returns the belief at a time, if there was no evidence since asOf.
func (bel belief) now(now clock.Instant) float64 {
	return decay(bel.sick, now.Mono-bel.asOf.Mono)
}

// decay returns a belief after a time without evidence: it approaches stationaryBelief.
func decay(sick float64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return sick
	}
	return stationaryBelief + (sick-stationaryBelief)*math.Exp(-(sickRate+recoveryRate)*elapsed.Seconds())
}

// observe updates the belief by evidence. factor is its Bayes factor: how much likelier the evidence
// is if the target is sick than if it is healthy. age is how long ago the target was in the state that
// the evidence tells of.
func (bel *belief) observe(now clock.Instant, factor float64, age time.Duration) {
	sick := bel.now(now)
	// The target may have changed its state since then, so the resulting belief decays by age.
	bel.sick = clamp(decay(update(sick, factor), age))
	bel.asOf = now
}

// update returns a belief after evidence with the given Bayes factor.
func update(sick, factor float64) float64 {
	odds := sick / (1 - sick) * factor
	return odds / (1 + odds)
}

func clamp(sick float64) float64 { return min(max(sick, minBelief), maxBelief) }

// The Bayes factors of the outcomes of attempts.
const (
	failedFactor = sickFailShare / healthyFailShare
	// serverErrorFactor is low, since healthy targets too answer some requests with a server error.
	serverErrorFactor = 4
	successFactor     = (1 - sickFailShare) / (1 - healthyFailShare)
	// unreachableFactor is that of an attempt for which no connection could be opened.
	unreachableFactor = 200
)

// pendingFactor returns the Bayes factor of a request without response. survival is the share of
// requests at healthy targets that are still without response after the same time.
func pendingFactor(survival float64) float64 {
	return (sickFailShare + (1-sickFailShare)*survival) / max(survival, lostShare)
}
