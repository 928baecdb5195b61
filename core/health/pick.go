package health

import (
	"slices"

	"marigoldlug.example/core/clock"
)

// Wish says what a request needs of its target.
type Wish struct {
	Service string
	// Tried lists targets that the request has been sent to already.
	Tried []string
	// Avoid is a failure domain to avoid where possible.
	Avoid string
	// Near is the failure domain to prefer among targets that are as good.
	Near string
	// Careful is set for requests that cannot be repeated.
	Careful bool
}

// The ranks of targets: a target of a lower rank is chosen only where there is
// none of a higher one.
const (
	rankEjected = iota
	rankLeaving
	rankAvoided
	rankShedding
	rankSameDomain
	rankBest
)

// Pick chooses a target: among those of the best rank, the less loaded of two
// random ones.
func (pol *Pool) Pick(now clock.Instant, wis Wish) (Target, bool) {
	svc := pol.services[wis.Service]
	if svc == nil {
		return Target{}, false
	}
	var best []*pooled
	bestRank := -1
	allowed := svc.avoidable(now)
	for _, tgt := range svc.targets {
		if slices.Contains(wis.Tried, tgt.ID) {
			continue
		}
		rank := tgt.rank(now, wis, allowed[tgt.ID])
		if rank > bestRank {
			best, bestRank = best[:0], rank
		}
		if rank == bestRank {
			best = append(best, tgt)
		}
	}
	if len(best) == 0 {
		return Target{}, false
	}
	return pol.choose(best, wis).Target, true
}

func (tgt *pooled) rank(now clock.Instant, wis Wish, avoidable bool) int {
	switch {
	case tgt.ejectedAt(now):
		return rankEjected
	case now.Before(tgt.leaving):
		return rankLeaving
	case avoidable && now.Before(tgt.avoided):
		return rankAvoided
	case tgt.shed != (clock.Instant{}) && now.Mono-tgt.shed.Mono < shedTime:
		return rankShedding
	case tgt.FailureDomain == wis.Avoid:
		return rankSameDomain
	}
	return rankBest
}

// avoidable returns the targets that the VM may avoid by itself: ejected and
// avoided targets together never leave fewer than the floor.
func (svc *service) avoidable(now clock.Instant) map[string]bool {
	left := len(svc.targets) - svc.floor - len(svc.ejections(now))
	var out map[string]bool
	for _, tgt := range svc.targets {
		if left <= 0 {
			break
		}
		if !tgt.ejectedAt(now) && now.Before(tgt.avoided) {
			if out == nil {
				out = make(map[string]bool)
			}
			out[tgt.ID] = true
			left--
		}
	}
	return out
}

// choose takes the less loaded of random candidates. A target that is back in
// part is skipped in proportion, and by requests that cannot be repeated.
func (pol *Pool) choose(tgs []*pooled, wis Wish) *pooled {
	var best *pooled
	for range choices {
		tgt := tgs[pol.rnd.IntN(len(tgs))]
		if tgt.percent < 100 && (wis.Careful && tgt.percent < minPercentTry || pol.rnd.IntN(100) >= tgt.percent) {
			tgt = tgs[pol.rnd.IntN(len(tgs))]
		}
		if best == nil || tgt.occupancy() < best.occupancy() {
			best = tgt
		}
	}
	return best
}

// occupancy is the part of the target's slots that this VM uses. What the whole
// fleet uses changes faster than it can be told.
func (tgt *pooled) occupancy() float64 {
	return float64(tgt.outstanding) / float64(max(tgt.Slots, 1))
}
