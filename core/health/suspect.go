package health

import (
	"math"

	"marigoldlug.example/core/clock"
)

// suspect is the evidence on one target.
type suspect struct {
	// lately and moment are decayed counts.
	lately, moment counts
	decayed        clock.Instant
	// domains has the evidence by failure domain of the reporting VMs.
	domains map[string]*evidence
	// blame is the decayed evidence by reporting VM.
	blame map[string]float64

	ejected bool
	until   clock.Instant
	times   int
	// back is when the last ejection ended.
	back clock.Instant
}

// counts are decayed numbers of attempts.
type counts struct {
	ok, bad, slow float64
}

func (cts *counts) scale(factor float64) {
	cts.ok *= factor
	cts.bad *= factor
	cts.slow *= factor
}

func (cts *counts) add(other counts) {
	cts.ok += other.ok
	cts.bad += other.bad
	cts.slow += other.slow
}

// rates returns the shares of bad and slow attempts, drawn towards the least
// rates where there are few.
func (cts *counts) rates() (bad, slow float64) {
	bad = (cts.bad + minBadRate*priorCounts) / (cts.ok + cts.bad + priorCounts)
	slow = (cts.slow + minSlowRate*priorCounts) / (cts.ok + priorCounts)
	return bad, slow
}

// evidence holds two CUSUM statistics: sums of logarithms of likelihood ratios
// that never fall below 0.
type evidence struct {
	bad, slow float64
}

func (sus *suspect) decay(now clock.Instant) {
	elapsed := now.Mono - sus.decayed.Mono
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(evidenceTime))
	sus.lately.scale(factor)
	sus.moment.scale(math.Exp(-float64(elapsed) / float64(momentTime)))
	for id := range sus.blame {
		sus.blame[id] *= factor
	}
	sus.decayed = now
}

// cusum adds hits and misses to a statistic that tests a rate of hits of high
// against one of low.
func cusum(stat float64, hits, misses int, low, high, top float64) float64 {
	stat += float64(hits)*math.Log(high/low) + float64(misses)*math.Log((1-high)/(1-low))
	return min(max(stat, 0), top)
}

func (sus *suspect) ejectedAt(now clock.Instant) bool { return sus.ejected && now.Before(sus.until) }

// exceeds reports whether there are far more bad attempts, or far more slow
// ones, than the median of the others.
func (cts *counts) exceeds(others []counts) bool {
	bads := make([]float64, 0, len(others))
	slows := make([]float64, 0, len(others))
	for _, one := range others {
		bads = append(bads, one.bad)
		slows = append(slows, one.slow)
	}
	return cts.bad > standOutFactor*median(bads)+standOutCount || cts.slow > standOutFactor*median(slows)+standOutCount
}

// sums returns the evidence of all failure domains, and the most that one of
// them gives.
func (sus *suspect) sums() (sum, first float64) {
	for _, evi := range sus.domains {
		one := evi.bad + evi.slow
		sum += one
		first = max(first, one)
	}
	return sum, first
}

func (sus *suspect) topBlame() float64 {
	var top, sum float64
	for _, one := range sus.blame {
		top = max(top, one)
		sum += one
	}
	if sum == 0 {
		return 0
	}
	return top / sum
}

func (sus *suspect) eject(now clock.Instant) {
	if now.Mono-sus.back.Mono > forgiveTime {
		sus.times = 0
	}
	sus.times++
	sus.ejected = true
	sus.until = now.Add(min(baseEjection<<min(sus.times-1, 10), maxEjection))
	clear(sus.domains)
	clear(sus.blame)
}

// percent returns the share of its usual traffic that a target may get. After
// an ejection it rises from a trickle of real requests to the whole.
func (sus *suspect) percent(now clock.Instant) int {
	if sus.ejectedAt(now) {
		return 0
	}
	if sus.times == 0 {
		return 100
	}
	share := float64(now.Mono-sus.back.Mono) / float64(rampTime)
	if share >= 1 {
		return 100
	}
	return max(firstPercent, int(100*share))
}
