package placement

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one answer in the estimates.
	sampleWeight = 0.05
	// reliableCount is the number of answers from which an estimate can be relied
	// on.
	reliableCount = 8
	minDeviation  = 0.22
	maxDeviation  = 0.9
	// initialDeviation is assumed of a route of which nothing is known.
	initialDeviation = 0.7
	// tailShare of the answers take tailFactor times as long as others.
	tailShare  = 0.015
	tailFactor = 3.0
	// lostShare is the part of requests of sound targets that are never
	// answered.
	lostShare = 0.001
	// The deviations above the usual time until which an answer is waited for
	// alone: that of a first attempt, and of one that tries a target that is
	// likely sick. At limitDevs an attempt may be replaced by another. spareDevs
	// are those for which time is left if a request is sent again.
	hedgeDevs   = 0.8
	trialDevs   = 0.5
	replaceDevs = 2.3
	retryDevs   = 1.3
	// goalShare is the part of its aim that a request of an unknown route is
	// taken to last.
	goalShare = 0.35
)

// latency estimates how long the requests of one route take at a usual target:
// their logarithms are taken to be distributed normally, with a few far slower.
type latency struct {
	// mean and deviation are those of the logarithm of seconds.
	mean, deviation float64
	count           int
}

// newLatency returns the estimate for a route whose answers are wanted within
// aim, where nothing else is known of the service.
func newLatency(goal time.Duration) *latency {
	return &latency{mean: math.Log(max(goal.Seconds(), 0.01) * goalShare), deviation: initialDeviation}
}

// forNewRoute returns the estimate for a route that is new to a service with the given
// estimate for all its routes.
func (lat *latency) forNewRoute() *latency {
	return &latency{mean: lat.mean, deviation: initialDeviation}
}

// reliable reports whether the estimate can be relied on.
func (lat *latency) reliable() bool { return lat.count >= reliableCount }

// add takes the time that a request took at a target of usual speed.
func (lat *latency) add(took time.Duration) {
	lat.count++
	weight := max(sampleWeight, 1/float64(lat.count+1))
	diff := math.Log(max(took.Seconds(), 1e-4)) - lat.mean
	// What lies far off says little of the usual time.
	diff = min(max(diff, -3*lat.deviation), 3*lat.deviation)
	lat.mean += weight * diff
	variance := lat.deviation * lat.deviation
	variance += weight * (diff*diff - variance)
	lat.deviation = min(max(math.Sqrt(variance), minDeviation), maxDeviation)
}

// addCensored takes a request that would have taken longer than dur at a target
// of usual speed, if it was to be answered at all; likely is the probability of
// that. Without these, the estimate would be that of the requests that were
// answered before they were given up.
func (lat *latency) addCensored(dur time.Duration, probability float64) {
	devs := (math.Log(max(dur.Seconds(), 1e-4)) - lat.mean) / lat.deviation
	devs = min(max(devs, -3), 3)
	// The mean of the normal distribution above a number of deviations.
	above := math.Exp(-devs*devs/2) / math.Sqrt(2*math.Pi) / normalTail(devs)
	weight := sampleWeight * probability
	variance := lat.deviation * lat.deviation
	lat.mean += weight * lat.deviation * above
	variance += weight * variance * devs * above
	lat.deviation = min(max(math.Sqrt(variance), minDeviation), maxDeviation)
}

// median returns the time that half of the requests exceed.
func (lat *latency) median() time.Duration {
	return time.Duration(math.Exp(lat.mean) * float64(time.Second))
}

// survival returns the part of requests that take longer than dur at a target
// that is slower than usual by a factor.
func (lat *latency) survival(dur time.Duration, slowdown float64) float64 {
	sec := dur.Seconds() / slowdown
	if sec <= 1e-4 {
		return 1
	}
	bulk := normalTail((math.Log(sec) - lat.mean) / lat.deviation)
	tail := normalTail((math.Log(sec/tailFactor) - lat.mean) / lat.deviation)
	return lostShare + (1-lostShare)*((1-tailShare)*bulk+tailShare*tail)
}

// normalTail returns the part of a normal distribution above a number of deviations.
func normalTail(devs float64) float64 { return 0.5 * math.Erfc(devs/math.Sqrt2) }

// latestRetry returns how much of the time left may pass until a request is sent again
// that is then to be answered in time, and half of it at least.
func (lat *latency) latestRetry(left time.Duration) time.Duration {
	return max(left-lat.timeAt(retryDevs, 1), left/2)
}

// hedgeAfter returns how long the answer of a request is waited for until another
// target is sent it too: longer than most take, but not than they do at a target
// that is likely sick, which a trial shows.
func (lat *latency) hedgeAfter(cri Criteria, slowdown float64, trial bool) time.Duration {
	switch {
	case !lat.reliable() || cri.Retry:
		return lat.timeAt(replaceDevs, slowdown)
	case trial:
		return lat.timeAt(trialDevs, slowdown)
	}
	return lat.timeAt(hedgeDevs, slowdown)
}

// timeAt returns the time that lies a number of deviations above the usual one.
func (lat *latency) timeAt(devs, slowdown float64) time.Duration {
	return time.Duration(math.Exp(lat.mean+devs*lat.deviation) * slowdown * float64(time.Second))
}
