// Package warmup decides how many requests targets may be sent with regard to their start: a target is cold for a
// time after it, and crashes if it gets more requests than it tolerates then.
package warmup

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// window is the time over which the requests to a cold target are limited.
	window = time.Second
	// unseenShare is the share of the limit that the placer sends to a target in a window, also while the target does not
	// seem to be cold: it may have turned cold, which its registration shows later. The rest is for VMs that place
	// without the placer, and for requests that arrive closer together than they were sent.
	unseenShare = 0.7
	// firstShare is the share of the limit for a placer in its first window, before which another one may have sent
	// unseenShare.
	firstShare = 0.3
	// aloneShare is the share of the limit of which VMs take a part that place without the placer. They take half of
	// it together, see localLimitShare of core/gateway; the rest is for the placer, which other VMs may still reach.
	aloneShare = 0.5
	// burstTime is the time whose requests a cold target may get at once, beside one request, after it got fewer. It
	// equals limitBurst of core/placement, which is for limits that targets announce.
	burstTime = 500 * time.Millisecond
)

// Policy says how much more than its rate a cold target may get in a window. The zero Policy sets no limit.
type Policy struct {
	// Excess is a factor of the rate, and Slack a number of requests beyond that.
	Excess, Slack float64
}

// Limit is what one target may get. The zero Limit is none.
type Limit struct {
	// Rate is the rate at which the placer sends requests to a target that is known to be cold.
	Rate rate.PerSecond
	// Most is the most requests that a cold target may get in a window.
	Most rate.Tokens
}

// Limit returns the limit of targets that tolerate per while they are cold; 0 stands for no limit. An excess below 1
// lowers Most, but not Rate.
func (pol Policy) Limit(per rate.PerSecond) Limit {
	if per <= 0 || pol == (Policy{}) {
		return Limit{}
	}
	sustained := per.Float() * max(pol.Excess, 1)
	return Limit{Rate: rate.RequestsPerSecond(sustained), Most: rate.Requests(per.Float()*pol.Excess + pol.Slack)}
}

// Limited reports whether there is a limit.
func (lim Limit) Limited() bool { return lim != (Limit{}) }

// PlacerRate returns the rate at which the placer may send requests to a target for longer than a window. cold is set
// while the target is known to be cold.
func (lim Limit) PlacerRate(cold bool) rate.PerSecond {
	if cold {
		return lim.Rate
	}
	return rate.RequestsPerSecond(lim.Most.Float() * unseenShare / window.Seconds())
}

// AloneRate returns the rate of which VMs that place without the placer take a part, whether the target seems cold or not.
func (lim Limit) AloneRate() rate.PerSecond {
	return rate.RequestsPerSecond(lim.Most.Float() * aloneShare / window.Seconds())
}

// Allowance counts what a placer may send to one target. It is not safe for concurrent use.
type Allowance struct {
	// cold is what the target may get while it is known to be cold; nil at other times.
	cold *rate.Bucket
	// sent holds when requests were sent in the last window, the earliest first.
	sent []clock.Instant
	// startedAt is since when sent holds all requests. Before that another placer may have sent some.
	startedAt clock.Instant
}

// NewAllowance returns the allowance of a target to which others may have sent requests until startedAt.
func NewAllowance(startedAt clock.Instant) *Allowance { return &Allowance{startedAt: startedAt} }

// Wait returns the time until the target may get a request, 0 if it may get one now. cold is set while the target is
// known to be cold.
func (alw *Allowance) Wait(now clock.Instant, cold bool, lim Limit) time.Duration {
	alw.forget(now)
	wait := alw.windowWait(now, lim)
	if !cold {
		alw.cold = nil
		return wait
	}
	if alw.cold == nil {
		alw.cold = rate.NewBucket(now.Mono, rate.Request)
	}
	return max(wait, alw.cold.Wait(now.Mono, lim.Rate, burstTime))
}

// Take records that the target gets a request.
func (alw *Allowance) Take(now clock.Instant) {
	alw.sent = append(alw.sent, now)
	if alw.cold != nil {
		alw.cold.Take(rate.Request)
	}
}

// forget drops the requests that were sent before the window.
func (alw *Allowance) forget(now clock.Instant) {
	cnt := 0
	for cnt < len(alw.sent) && now.Mono-alw.sent[cnt].Mono >= window {
		cnt++
	}
	alw.sent = slices.Delete(alw.sent, 0, cnt)
}

// windowWait returns the time until fewer requests than allowed were sent in the last window. The allowed number is that of
// firstShare within a window of startedAt, then that of unseenShare.
func (alw *Allowance) windowWait(now clock.Instant, lim Limit) time.Duration {
	most := max(int(lim.Most.Float()*unseenShare), 1)
	began := max(alw.startedAt.Mono+window-now.Mono, 0)
	if early := int(lim.Most.Float() * firstShare); began > 0 && len(alw.sent) >= early {
		return began
	}
	if len(alw.sent) < most {
		return 0
	}
	return max(alw.sent[len(alw.sent)-most].Mono+window-now.Mono, time.Millisecond)
}
