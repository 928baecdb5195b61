package health

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

// The rules of Solo are those known from public service proxies.
const (
	soloConsecutive  = 5
	soloInterval     = 10 * time.Second
	soloMinRequests  = 20
	soloMinHosts     = 3
	soloDeviations   = 1.9
	soloBaseEjection = 30 * time.Second
	soloMaxEjection  = 300 * time.Second
	latencyWeight    = 0.1
)

// Solo judges targets by the traffic of one VM alone: power of two choices
// over outstanding requests, and ejection after consecutive failures or for an
// outlying success rate. It is the baseline against which Pool is measured.
type Solo struct {
	rnd      *rand.Rand
	services map[string]*soloService
	attempts *attempts
}

type soloService struct {
	floor   int
	targets []*soloTarget
	checked clock.Instant
}

type soloTarget struct {
	Target
	outstanding int
	consecutive int
	requests    int
	failures    int
	latency     time.Duration
	ejections   int
	ejected     bool
	until       clock.Instant
}

// NewSolo returns a Solo without services.
func NewSolo(rnd *rand.Rand) *Solo {
	return &Solo{rnd: rnd, services: make(map[string]*soloService), attempts: newAttempts()}
}

// SetService replaces the targets and the floor of a service and keeps what is
// known of the targets that stay.
func (sol *Solo) SetService(now clock.Instant, service string, floor int, tgs []Target) {
	old := sol.services[service]
	svc := &soloService{floor: floor, checked: now}
	for _, tgt := range tgs {
		one := &soloTarget{}
		if old != nil {
			if idx := slices.IndexFunc(old.targets, func(was *soloTarget) bool { return was.ID == tgt.ID }); idx >= 0 {
				one = old.targets[idx]
			}
		}
		one.Target = tgt
		svc.targets = append(svc.targets, one)
	}
	sol.services[service] = svc
}

// DropService forgets a service.
func (sol *Solo) DropService(service string) { delete(sol.services, service) }

// SetView does nothing: the VM judges alone.
func (sol *Solo) SetView(member.View) {}

// Receive does nothing: the VM judges alone.
func (sol *Solo) Receive(clock.Instant, string, Message) {}

// Take returns no messages: the VM judges alone.
func (sol *Solo) Take() []Send { return nil }

// Leaving does nothing: the baseline has no notion of it.
func (sol *Solo) Leaving(clock.Instant, string, string) {}

// Blind reports false: a VM alone cannot tell its own faults from others'.
func (sol *Solo) Blind(clock.Instant) bool { return false }

// Pick chooses a target that is not among those tried, preferring failure
// domains other than the one to avoid.
func (sol *Solo) Pick(now clock.Instant, wis Wish) (Target, bool) {
	svc := sol.services[wis.Service]
	if svc == nil {
		return Target{}, false
	}
	var best []*soloTarget
	bestRank := 0
	for _, tgt := range svc.targets {
		if slices.Contains(wis.Tried, tgt.ID) {
			continue
		}
		rank := 1
		if !tgt.ejectedAt(now) {
			rank += 2
		}
		if tgt.FailureDomain != wis.Avoid {
			rank++
		}
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
	one, two := best[sol.rnd.IntN(len(best))], best[sol.rnd.IntN(len(best))]
	if two.outstanding < one.outstanding || two.outstanding == one.outstanding && two.latency < one.latency {
		one = two
	}
	return one.Target, true
}

func (tgt *soloTarget) ejectedAt(now clock.Instant) bool { return tgt.ejected && now.Before(tgt.until) }

func (svc *soloService) target(id string) *soloTarget {
	idx := slices.IndexFunc(svc.targets, func(tgt *soloTarget) bool { return tgt.ID == id })
	if idx < 0 {
		return nil
	}
	return svc.targets[idx]
}

// Began counts an attempt sent to a target.
func (sol *Solo) Began(now clock.Instant, service, target string) Ticket {
	if _, tgt := sol.find(service, target); tgt != nil {
		tgt.outstanding++
	}
	return sol.attempts.begin(now, service, target)
}

func (sol *Solo) find(service, target string) (*soloService, *soloTarget) {
	svc := sol.services[service]
	if svc == nil {
		return nil, nil
	}
	return svc, svc.target(target)
}

// Answered counts the outcome of an attempt, once.
func (sol *Solo) Answered(now clock.Instant, tic Ticket, outcome Outcome) {
	att := sol.attempts.answer(tic)
	if att == nil {
		return
	}
	svc, tgt := sol.find(att.service, att.target)
	if tgt == nil || outcome == Canceled || outcome == Shed {
		return
	}
	tgt.requests++
	if !outcome.Bad() {
		tgt.consecutive = 0
		tgt.latency += time.Duration(latencyWeight * float64(now.Mono-att.began.Mono-tgt.latency))
		return
	}
	tgt.failures++
	tgt.consecutive++
	if tgt.consecutive >= soloConsecutive {
		svc.eject(now, tgt)
	}
}

// Ended counts the end of an attempt.
func (sol *Solo) Ended(now clock.Instant, tic Ticket, outcome Outcome) {
	att := sol.attempts.open[tic]
	if att == nil {
		return
	}
	sol.Answered(now, tic, outcome)
	delete(sol.attempts.open, tic)
	if _, tgt := sol.find(att.service, att.target); tgt != nil {
		tgt.outstanding = max(tgt.outstanding-1, 0)
	}
}

// Tick looks for targets with an outlying success rate.
func (sol *Solo) Tick(now clock.Instant) {
	for _, svc := range sol.services {
		if now.Since(svc.checked) >= soloInterval {
			svc.checked = now
			svc.judge(now)
		}
	}
}

func (svc *soloService) judge(now clock.Instant) {
	var rates []float64
	for _, tgt := range svc.targets {
		if tgt.requests >= soloMinRequests {
			rates = append(rates, tgt.successRate())
		}
	}
	mean, dev := meanDeviation(rates)
	for _, tgt := range svc.targets {
		if len(rates) >= soloMinHosts && tgt.requests >= soloMinRequests && tgt.successRate() < mean-soloDeviations*dev {
			svc.eject(now, tgt)
		}
		tgt.requests, tgt.failures = 0, 0
	}
}

func (tgt *soloTarget) successRate() float64 {
	return 1 - float64(tgt.failures)/float64(tgt.requests)
}

// eject takes the target out of use unless that would break the floor.
func (svc *soloService) eject(now clock.Instant, tgt *soloTarget) {
	inUse := 0
	for _, one := range svc.targets {
		if !one.ejectedAt(now) {
			inUse++
		}
	}
	tgt.consecutive = 0
	if tgt.ejectedAt(now) || inUse-1 < svc.floor {
		return
	}
	tgt.ejections++
	tgt.ejected = true
	tgt.until = now.Add(min(soloBaseEjection*time.Duration(tgt.ejections), soloMaxEjection))
}

// Ejected lists the targets of a service that are out of use.
func (sol *Solo) Ejected(now clock.Instant, service string) []string {
	var out []string
	if svc := sol.services[service]; svc != nil {
		for _, tgt := range svc.targets {
			if tgt.ejectedAt(now) {
				out = append(out, tgt.ID)
			}
		}
	}
	return out
}
