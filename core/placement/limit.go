package placement

import (
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/rate"
)

const (
	// minRate is the lowest rate at which a target that announces a limit gets requests: only by a
	// response can it tell that its limit has ended.
	minRate = rate.PerSecond(rate.Request / 4)
	// limitBurst is the time whose requests a target that announces a limit may get at once, beside one
	// request, after it got fewer.
	limitBurst = 500 * time.Millisecond
	// shareInterval is the time for which a VM that places by itself draws how many requests it may send
	// to a target.
	shareInterval = time.Second
	// maxLimitRetry is the longest time after which a caller is told to return that is refused for the
	// limits of targets.
	maxLimitRetry = 5 * time.Second
)

// Announcements tells what targets announce about the requests that they take.
type Announcements interface {
	Limit(run health.Run) announcement.Limit
	Leaving(run health.Run) bool
}

// Limiter decides when a target that announces a limit, or that may be cold, gets its next request.
type Limiter interface {
	// wait returns the time until the target may get a request, 0 if it may get one now.
	wait(now clock.Instant, alw *allowance, per rate.PerSecond) time.Duration
	// take records that the target gets a request.
	take(alw *allowance)
	// warmupWait is like wait with regard to the target's start, and warmupTake like take.
	warmupWait(now clock.Instant, tgt *target) time.Duration
	warmupTake(now clock.Instant, tgt *target)
}

// allowance is what a Limiter keeps of one target.
type allowance struct {
	// bucket is that of a fleetLimiter.
	bucket *rate.Bucket
	// tokens is what a shareLimiter may still send in the interval with the number interval.
	tokens   rate.Tokens
	interval int64
}

func newAllowance(now clock.Instant) *allowance {
	return &allowance{bucket: rate.NewBucket(now.Mono, 0), interval: -1}
}

// fleetLimiter is the Limiter of the placer, which places the requests of all VMs: a token bucket that
// is empty at first, since the placer before may have spent what is allowed.
type fleetLimiter struct{}

// NewFleetLimiter returns the limiter of a VM that places the requests of the whole fleet.
func NewFleetLimiter() Limiter { return fleetLimiter{} }

func (fleetLimiter) wait(now clock.Instant, alw *allowance, per rate.PerSecond) time.Duration {
	return alw.bucket.Wait(now.Mono, per, limitBurst)
}

func (fleetLimiter) take(alw *allowance) { alw.bucket.Take(rate.Request) }

func (fleetLimiter) warmupWait(now clock.Instant, tgt *target) time.Duration {
	return tgt.warmup.Wait(now, now.Before(tgt.WarmAt), tgt.Warmup)
}

func (fleetLimiter) warmupTake(now clock.Instant, tgt *target) { tgt.warmup.Take(now) }

// shareLimiter is the Limiter of a VM that places by itself, as all other VMs may do at the same time.
// Each draws at random how many requests it may send in an interval, so that all together send their
// share on average, and nothing is saved up that all could spend at once.
type shareLimiter struct {
	rnd *rand.Rand
	// share returns the share of a limit that this VM may use.
	share func() float64
	// starting reports whether this VM has just started. It then limits only targets that are known to be cold: VMs that
	// start together all place alone for a moment, and limits for all targets would refuse much that these can serve.
	starting func(now clock.Instant) bool
}

// NewShareLimiter returns the limiter of a VM that places its own requests alone. share returns the
// share of a limit that it may use, and starting whether it has just started.
func NewShareLimiter(rnd *rand.Rand, share func() float64, starting func(now clock.Instant) bool) Limiter {
	return &shareLimiter{rnd: rnd, share: share, starting: starting}
}

func (shl *shareLimiter) wait(now clock.Instant, alw *allowance, per rate.PerSecond) time.Duration {
	interval := int64(now.Mono / shareInterval)
	if alw.interval != interval {
		alw.interval = interval
		mean := per.Float() * shl.share() * shareInterval.Seconds()
		alw.tokens = rate.Tokens(int64(mean+shl.rnd.Float64())) * rate.Request
	}
	if alw.tokens >= rate.Request {
		return 0
	}
	return max(time.Duration(interval+1)*shareInterval-now.Mono, time.Millisecond)
}

func (*shareLimiter) take(alw *allowance) { alw.tokens -= rate.Request }

func (shl *shareLimiter) warmupWait(now clock.Instant, tgt *target) time.Duration {
	if !now.Before(tgt.WarmAt) && shl.starting(now) {
		return 0
	}
	if tgt.warmupShare == nil {
		tgt.warmupShare = newAllowance(now)
	}
	return shl.wait(now, tgt.warmupShare, tgt.Warmup.AloneRate())
}

func (shl *shareLimiter) warmupTake(_ clock.Instant, tgt *target) {
	if tgt.warmupShare != nil {
		shl.take(tgt.warmupShare)
	}
}

// limitWait returns the limit that a target announces, and how long it takes until the target may get
// a request; 0 if it may get one now.
func (pla *Placer) limitWait(now clock.Instant, tgt *target) (announcement.Limit, time.Duration) {
	lim := pla.announcements.Limit(health.RunOf(tgt.Target))
	if !lim.Limited {
		tgt.allowance = nil
		return lim, 0
	}
	if tgt.allowance == nil {
		tgt.allowance = newAllowance(now)
	}
	return lim, pla.limiter.wait(now, tgt.allowance, max(lim.Rate, minRate))
}

// warmupWait returns how long it takes until a target may get a request with regard to its start, and at which rate
// it gets them.
func (pla *Placer) warmupWait(now clock.Instant, tgt *target) (time.Duration, rate.PerSecond) {
	if !tgt.Warmup.Limited() {
		return 0, 0
	}
	return pla.limiter.warmupWait(now, tgt), tgt.Warmup.PlacerRate(now.Before(tgt.WarmAt))
}

// spend records that a target gets a request, where its rate is limited.
func (pla *Placer) spend(now clock.Instant, tgt *target) {
	if tgt.allowance != nil {
		pla.limiter.take(tgt.allowance)
	}
	if tgt.Warmup.Limited() {
		pla.limiter.warmupTake(now, tgt)
	}
}

// limitRetry returns when a caller may return that is refused since the targets which have room
// announce limits or may be cold. sum is the sum of their rates. Callers that are refused one after
// the other return at the pace at which the targets take requests.
func (pla *Placer) limitRetry(now clock.Instant, wait time.Duration, sum rate.PerSecond) time.Duration {
	pace := rate.Wait(max(sum, minRate), rate.Request)
	at := clock.Later(now.Add(wait), pla.limitRetryAt.Add(pace))
	if latest := now.Add(maxLimitRetry); latest.Before(at) {
		at = latest
	}
	pla.limitRetryAt = at
	return at.Mono - now.Mono
}
