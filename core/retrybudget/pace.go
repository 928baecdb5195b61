package retrybudget

import (
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// burstShare is the share of the window's attempts that may be made at once after a quiet time. The others
	// are spread over the window, so that an incident nearly as long as the window has some until its end.
	burstShare = 0.3
	// minBurst is how many attempts may be made at once at least. A target that refuses or fails ends as many
	// requests at once as it has room for, and each of them is to get another attempt.
	minBurst = 8
	// assuredShare is the share of the pace that is assured to the kinds of claims, by assuredParts, and maxAssured
	// how many attempts a kind saves up of it.
	assuredShare = 0.3
	maxAssured   = 2
	// maxWait bounds the waits, so that none is too long to be computed with.
	maxWait = time.Minute
)

// assuredParts is how each kind shares in what is assured. The highest priority needs little, since nothing is kept from
// it; the others get more, the more urgent they are.
var assuredParts = [kinds]float64{1. / 9, 3. / 9, 2. / 9, 1. / 9, 1. / 9, 1. / 9}

// pace spreads attempts over the window: a token bucket of which less urgent claims leave a part to the more urgent
// ones, and a small one for each kind of claims. Budget.paced decides which claims must keep to it.
type pace struct {
	// tokens is how many attempts may be made at once, as of filledAt, depth the most of them, and perSecond
	// the rate at which they accrue.
	tokens, depth, perSecond float64
	filledAt                 clock.Instant
	// fullAt is when the bucket was last full.
	fullAt clock.Instant
	// assured holds the tokens of each kind alone.
	assured [kinds]float64
	// promised holds the latest time at which a claim of each kind was told to come back.
	promised [kinds]clock.Instant
}

// newPace returns a pace without tokens: another VM may have made all that may be made at once.
func newPace(now clock.Instant) pace { return pace{filledAt: now, fullAt: now} }

// refill adds what has accrued since the last time. allowed is how many attempts the window may have, and length that
// for which they are counted.
func (pac *pace) refill(now clock.Instant, allowed float64, length time.Duration) {
	full := pac.depth > 0 && pac.tokens >= pac.depth
	pac.depth = min(allowed, max(burstShare*allowed, minBurst))
	pac.perSecond = allowed / length.Seconds()
	if now.Mono-pac.fullAt.Mono < length {
		// What was made at once since then is missing in the rest of the window. A small budget that may be
		// made at once altogether accrues again within two windows.
		pac.perSecond = max(allowed-pac.depth, allowed/2) / length.Seconds()
	}
	if full {
		pac.tokens, pac.fullAt = pac.depth, now
	}
	accrued := pac.perSecond * max(now.Mono-pac.filledAt.Mono, 0).Seconds()
	pac.filledAt = now
	common := (1 - assuredShare) * accrued
	for num := range pac.assured {
		sum := pac.assured[num] + assuredShare*assuredParts[num]*accrued
		pac.assured[num] = min(sum, maxAssured)
		common += sum - pac.assured[num] // What a kind does not use is left to all.
	}
	pac.tokens = min(pac.tokens+common, pac.depth)
	if pac.tokens == pac.depth {
		pac.fullAt = now
	}
}

// take takes the token of a claim, if there is one for it.
func (pac *pace) take(cla Claim) bool {
	switch {
	case pac.tokens-1 >= cla.reserve()*pac.depth:
		pac.tokens--
	case pac.assured[cla.kind()] >= 1:
		pac.assured[cla.kind()]--
	default:
		return false
	}
	return true
}

// wait returns the time until there is a token for a claim, if no other one takes it.
func (pac *pace) wait(cla Claim) time.Duration {
	if pac.perSecond <= 0 {
		return maxWait
	}
	least := cla.reserve()*pac.depth + 1
	common := (least - pac.tokens) / ((1 - assuredShare) * pac.perSecond)
	if least > pac.depth {
		common = maxWait.Seconds() // The bucket is too small for the claim.
	}
	assured := (1 - pac.assured[cla.kind()]) / (assuredShare * assuredParts[cla.kind()] * pac.perSecond)
	sec := max(min(common, assured, maxWait.Seconds()), 0)
	return time.Duration(sec * float64(time.Second))
}

// promise returns the time after which a claim is to come back: after wait, and after those of its kind that were
// told so before. It is kept free for the claim if it is most at the most.
func (pac *pace) promise(now clock.Instant, cla Claim, wait, most time.Duration) time.Duration {
	if pac.perSecond <= 0 {
		return wait
	}
	spacing := time.Duration(float64(time.Second) / ((1 - assuredShare) * pac.perSecond))
	at := clock.Later(now.Add(wait), pac.promised[cla.kind()].Add(spacing))
	wait = at.Mono - now.Mono
	if wait <= most {
		pac.promised[cla.kind()] = at
	}
	return wait
}
