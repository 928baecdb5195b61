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
	// limitBurst is the time whose requests a target may get at once, beside one request, after it got
	// fewer.
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

// Limiter decides when a target that announces a limit gets its next request.
type Limiter interface {
	// wait returns the time until the target may get a request, 0 if it may get one now.
	wait(now clock.Instant, alw *allowance, per rate.PerSecond) time.Duration
	// take records that the target gets a request.
	take(alw *allowance)
}

// allowance is what a Limiter keeps of one target.
type allowance struct {
	// tokens is what the target may get at once, as of refilledAt. remainder is what rate.Accrue carries
	// over.
	tokens     rate.Tokens
	remainder  uint64
	refilledAt clock.Instant
	// interval is the number of the interval for which tokens was drawn, of a shareLimiter.
	interval int64
}

// fleetLimiter is the Limiter of the placer, which places the requests of all VMs: a token bucket that
// is empty at first, since the placer before may have spent what is allowed.
type fleetLimiter struct{}

// NewFleetLimiter returns the limiter of a VM that places the requests of the whole fleet.
func NewFleetLimiter() Limiter { return fleetLimiter{} }

func (fleetLimiter) wait(now clock.Instant, alw *allowance, per rate.PerSecond) time.Duration {
	var tok rate.Tokens
	tok, alw.remainder = rate.Accrue(per, now.Mono-alw.refilledAt.Mono, alw.remainder)
	burst, _ := rate.Accrue(per, limitBurst, 0)
	alw.tokens = min(alw.tokens+tok, burst+rate.Request)
	alw.refilledAt = now
	if alw.tokens >= rate.Request {
		return 0
	}
	return max(rate.Wait(per, rate.Request-alw.tokens), time.Millisecond)
}

func (fleetLimiter) take(alw *allowance) { alw.tokens -= rate.Request }

// shareLimiter is the Limiter of a VM that places by itself, as all other VMs may do at the same time.
// Each draws at random how many requests it may send in an interval, so that all together send their
// share on average, and nothing is saved up that all could spend at once.
type shareLimiter struct {
	rnd *rand.Rand
	// share returns the share of a limit that this VM may use.
	share func() float64
}

// NewShareLimiter returns the limiter of a VM that places its own requests alone. share returns the
// share of a limit that it may use.
func NewShareLimiter(rnd *rand.Rand, share func() float64) Limiter {
	return &shareLimiter{rnd: rnd, share: share}
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

// limitWait returns the limit that a target announces, and how long it takes until the target may get
// a request; 0 if it may get one now.
func (pla *Placer) limitWait(now clock.Instant, tgt *target) (announcement.Limit, time.Duration) {
	lim := pla.announcements.Limit(health.RunOf(tgt.Target))
	if !lim.Limited {
		tgt.allowance = nil
		return lim, 0
	}
	if tgt.allowance == nil {
		tgt.allowance = &allowance{refilledAt: now, interval: -1}
	}
	return lim, pla.limiter.wait(now, tgt.allowance, max(lim.Rate, minRate))
}

// limitRetry returns when a caller may return that is refused since the targets which have room
// announce limits, together sum. Callers that are refused one after the other return at the pace at
// which the targets take requests.
func (pla *Placer) limitRetry(now clock.Instant, wait time.Duration, sum rate.PerSecond) time.Duration {
	pace := rate.Wait(max(sum, minRate), rate.Request)
	at := clock.Later(now.Add(wait), pla.limitRetryAt.Add(pace))
	if latest := now.Add(maxLimitRetry); latest.Before(at) {
		at = latest
	}
	pla.limitRetryAt = at
	return at.Mono - now.Mono
}
