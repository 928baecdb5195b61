package placement

import (
	"math"
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// sampleWeight is the weight of one response in the moving averages of the estimate.
	sampleWeight = 0.05
	// reliableCount is the number of responses from which on an estimate is reliable.
	reliableCount = 8
	// minDeviation and maxDeviation bound the estimated standard deviation of the logarithm.
	minDeviation = 0.22
	maxDeviation = 0.9
	// initialDeviation is the standard deviation of the logarithm that is assumed for a new route.
	initialDeviation = 0.7
	// tailShare is the share of responses that take tailFactor times as long as the others.
	tailShare  = 0.015
	tailFactor = 3.0
	// lostShare is the share of requests to healthy targets that never get a response.
	lostShare = 0.001
	// goalShare is the assumed median of a service without responses, as a share of the time that
	// newLatency is given.
	goalShare = 0.35
)

// latency estimates how long the requests of one route take at a target of average speed. The times
// are taken to be log-normally distributed, with a small share of much slower ones.
type latency struct {
	// mean and deviation are the mean and standard deviation of the logarithm of the time in seconds.
	mean, deviation float64
	// count is the number of responses in the estimate.
	count int
	// goal is the time that the last request of the route had until its latency goal when it was placed
	// first, at goalAt; 0 if the route has none.
	goal   time.Duration
	goalAt clock.Instant
}

// newLatency returns the first estimate for a service, derived from the time left of its first
// request: the time to its latency goal if the request is placed here (Place), and the time to its
// deadline if another placer placed it (Track). At least 10 ms are assumed. A route without latency
// goal has no time left to it, so its first estimate in Place is a median of 3.5 ms.
func newLatency(timeLeft time.Duration) *latency {
	return &latency{mean: math.Log(max(timeLeft.Seconds(), 0.01) * goalShare), deviation: initialDeviation}
}

// forNewRoute returns the first estimate for another route of the service, where lat is the estimate
// for all its routes together.
func (lat *latency) forNewRoute() *latency {
	return &latency{mean: lat.mean, deviation: initialDeviation}
}

// reliable reports whether the estimate is based on enough responses.
func (lat *latency) reliable() bool { return lat.count >= reliableCount }

// add updates the estimate by the time that a request took, converted to a target of average speed.
// Times below 0.1 ms count as 0.1 ms here and in addCensored, since the logarithm of 0 is infinite.
func (lat *latency) add(took time.Duration) {
	lat.count++
	weight := max(sampleWeight, 1/float64(lat.count+1))
	diff := math.Log(max(took.Seconds(), 1e-4)) - lat.mean
	// Outliers say little about the median, so their influence is bounded.
	diff = min(max(diff, -3*lat.deviation), 3*lat.deviation)
	lat.mean += weight * diff
	variance := lat.deviation * lat.deviation
	variance += weight * (diff*diff - variance)
	lat.deviation = min(max(math.Sqrt(variance), minDeviation), maxDeviation)
}

// addCensored updates the estimate by a right-censored sample: a request that was given up after dur,
// converted to a target of average speed. probability is the chance that a response would have come
// later at all. Without these samples the estimate would be too low, since it would count only the
// requests that were answered before they were given up.
func (lat *latency) addCensored(dur time.Duration, probability float64) {
	devs := (math.Log(max(dur.Seconds(), 1e-4)) - lat.mean) / lat.deviation
	devs = min(max(devs, -3), 3)
	// The mean of the standard normal distribution truncated to values above devs.
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

// survival returns the share of requests that take longer than dur at a target with the given
// slowdown: the survival function of the distribution. All requests take longer than 0.1 ms.
func (lat *latency) survival(dur time.Duration, slowdown float64) float64 {
	sec := dur.Seconds() / slowdown
	if sec <= 1e-4 {
		return 1
	}
	bulk := normalTail((math.Log(sec) - lat.mean) / lat.deviation)
	tail := normalTail((math.Log(sec/tailFactor) - lat.mean) / lat.deviation)
	return lostShare + (1-lostShare)*((1-tailShare)*bulk+tailShare*tail)
}

// orElse returns the estimate if it is reliable, else another one: a route without history likely takes
// as long as the others.
func (lat *latency) orElse(other *latency) *latency {
	if lat.reliable() {
		return lat
	}
	return other
}

// late reports whether a request that waits for a slot for the given time will likely be answered after
// its deadline by a target with the given slowdown.
func (lat *latency) late(timeLeft, queueWait time.Duration, slowdown float64) bool {
	most := maxLateShare
	if queueWait > 0 {
		most = maxQueuedLateShare
	}
	return lat.reliable() && lat.survival(timeLeft-queueWait, slowdown) > most
}

// balanceSlowdowns keeps the mean of the targets' slowdowns at 1, on the logarithmic scale, without
// changing the time that is expected at any target. Otherwise the slowdowns of all could rise together
// while the estimates of the routes fall, or the other way round.
func (pla *Placer) balanceSlowdowns() {
	if len(pla.targets) == 0 || pla.overall == nil {
		return
	}
	sum := 0.0
	for _, tgt := range pla.targets {
		sum += math.Log(tgt.measuredSlowdown)
	}
	mean := sum / float64(len(pla.targets))
	for _, tgt := range pla.targets {
		tgt.measuredSlowdown = min(max(tgt.measuredSlowdown/math.Exp(mean), minSlowdown), maxSlowdown)
	}
	pla.overall.mean += mean
	for _, lat := range pla.latencies {
		lat.mean += mean
	}
}

// normalTail returns the share of a normal distribution that lies more than devs standard deviations
// above its mean.
func normalTail(devs float64) float64 { return 0.5 * math.Erfc(devs/math.Sqrt2) }

// timeAt returns the time that lies devs standard deviations above the median on the logarithmic
// scale, at a target with the given slowdown.
func (lat *latency) timeAt(devs, slowdown float64) time.Duration {
	return time.Duration(math.Exp(lat.mean+devs*lat.deviation) * slowdown * float64(time.Second))
}
