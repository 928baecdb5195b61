// Package path tells whether a VM reaches the targets of a service. That is a fact about the network
// between the two, which says nothing of the targets: they may work well for other VMs.
package path

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

const (
	// A service counts as lost once connections have failed in a row at lostShare of its targets, but at
	// minLost at least and maxLost at most: some of its targets may be down. It counts as found again once
	// foundCount connections in a row have succeeded. A service with fewer targets needs all of them.
	lostShare  = 0.67
	minLost    = 5
	maxLost    = 12
	foundCount = 2
	// firstProbes is how many targets are probed first. Others follow only if these all fail.
	firstProbes = 3
	// failureTime is how long a failed connection counts.
	failureTime = 3 * time.Second
	// doubtInterval is the least time between two rounds of probes for a service that is in doubt.
	doubtInterval = 300 * time.Millisecond
	// minLostInterval and maxLostInterval bound the time between two rounds of probes for a lost service. It
	// grows by lostIntervalFactor each round.
	minLostInterval    = 400 * time.Millisecond
	maxLostInterval    = 1500 * time.Millisecond
	lostIntervalFactor = 1.2
)

// Doubt is how strongly a sign speaks against the paths to a service.
type Doubt uint8

const (
	// None means that nothing speaks against the paths.
	None Doubt = iota
	// Slow means that a target took long to answer. It is the path less often than the target, which is
	// probed alone.
	Slow
	// Unanswered means that the network did not deliver: several targets are probed at once.
	Unanswered
)

// Book holds what one VM knows of its paths. It is not safe for concurrent use.
type Book struct {
	services map[string]*service
}

type service struct {
	// failed holds when the last connection to a target failed, for the targets at which none has
	// succeeded since.
	failed map[string]clock.Instant
	// lost is set while the VM reaches no target of the service, and reached holds the targets that it has
	// reached since a connection last failed.
	lost    bool
	reached map[string]bool
	// doubt is the strongest sign since the VM last reached a target, and suspect the target of the last sign.
	doubt   Doubt
	suspect string
	// probedAt is when targets were last probed, and interval is the time until a lost service is probed again.
	probedAt clock.Instant
	interval time.Duration
	// widened is set once more than firstProbes targets have been probed since the VM last reached one, and
	// widenedAt is when that last happened.
	widened   bool
	widenedAt clock.Instant
	// reachedAt is when a target was last reached.
	reachedAt clock.Instant
}

// NewBook returns a book that takes all paths to work.
func NewBook() *Book { return &Book{services: make(map[string]*service)} }

// Lost reports whether the VM reaches no target of a service.
func (bok *Book) Lost(name string) bool {
	svc := bok.services[name]
	return svc != nil && svc.lost
}

// Doubtful reports whether something speaks against the paths to a service.
func (bok *Book) Doubtful(name string) bool {
	svc := bok.services[name]
	return svc != nil && svc.doubt != None
}

func (bok *Book) service(name string) *service {
	svc := bok.services[name]
	if svc == nil {
		svc = &service{failed: make(map[string]clock.Instant), reached: make(map[string]bool)}
		bok.services[name] = svc
	}
	return svc
}

// Doubted records a sign against the paths to a service, seen at one of its targets.
func (bok *Book) Doubted(name, target string, doubt Doubt) {
	svc := bok.service(name)
	if doubt >= svc.doubt {
		svc.doubt, svc.suspect = doubt, target
	}
}

// Responded records that a target has answered. That clears doubts, but does not find a lost service:
// connections may live on while new ones fail.
func (bok *Book) Responded(now clock.Instant, name string) {
	svc := bok.service(name)
	svc.reachedAt = now
	if !svc.lost {
		svc.clear()
	}
}

// ReachedSince reports whether a target of a service was reached since a time.
func (bok *Book) ReachedSince(at clock.Instant, name string) bool {
	svc := bok.services[name]
	return svc != nil && at.Before(svc.reachedAt)
}

func (svc *service) clear() {
	clear(svc.failed)
	clear(svc.reached)
	svc.doubt, svc.suspect, svc.interval, svc.widened = None, "", 0, false
}

// lostCount returns at how many of a service's targets connections must fail until it counts as lost.
func lostCount(targets int) int {
	cnt := int(math.Ceil(lostShare * float64(targets)))
	return min(max(cnt, minLost), maxLost, targets)
}

// Connected records that a connection to a target was opened, and reports whether the service is found
// again by that. targets is the number of targets of the service.
func (bok *Book) Connected(now clock.Instant, name, target string, targets int) (found bool) {
	svc := bok.service(name)
	svc.reachedAt = now
	if !svc.lost {
		svc.clear()
		return false
	}
	svc.reached[target] = true
	if len(svc.reached) < min(foundCount, targets) {
		return false
	}
	svc.lost = false
	svc.clear()
	return true
}

// Failed records that no connection to a target could be opened, and reports whether the service is lost by
// that. tgs are the targets of the service; a target that is none of them any more is no evidence that those are lost.
func (bok *Book) Failed(now clock.Instant, name, target string, tgs []health.Target) (lost bool) {
	svc := bok.service(name)
	clear(svc.reached)
	svc.expire(now)
	svc.failed[target] = now
	bok.Doubted(name, target, Unanswered)
	if svc.lost || len(tgs) == 0 || svc.failedAmong(tgs) < lostCount(len(tgs)) {
		return false
	}
	svc.lost, svc.interval = true, minLostInterval
	return true
}

// expire forgets the failures that count no longer.
func (svc *service) expire(now clock.Instant) {
	maps.DeleteFunc(svc.failed, func(_ string, at clock.Instant) bool { return now.Since(at) > failureTime })
}

// failedAmong returns at how many of some targets connections failed lately. That may be less than the number of entries in
// failed, which also has targets that the service has no longer.
func (svc *service) failedAmong(tgs []health.Target) int {
	cnt := 0
	for _, tgt := range tgs {
		if _, failed := svc.failed[tgt.ID]; failed {
			cnt++
		}
	}
	return cnt
}

// FailedTargets returns the sorted targets at which connections failed lately, also of those that the service has no longer.
func (bok *Book) FailedTargets(name string) []string {
	svc := bok.services[name]
	if svc == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(svc.failed))
}

// Probes returns the targets of a service to which the VM should open a connection now, to learn whether
// it reaches them.
func (bok *Book) Probes(now clock.Instant, rnd *rand.Rand, name string, tgs []health.Target) []health.Target {
	svc := bok.services[name]
	if svc == nil || svc.doubt == None || len(tgs) == 0 {
		return nil
	}
	svc.expire(now)
	failed := svc.failedAmong(tgs)
	// missing is at how many more targets connections must fail until the service is lost. It is not positive if targets have
	// left the service since connections last failed.
	missing := lostCount(len(tgs)) - failed
	interval, count := doubtInterval, firstProbes
	switch {
	case svc.lost:
		interval, count = svc.interval, foundCount
	case svc.doubt == Slow:
		count = 1
	case failed >= min(firstProbes, len(tgs)) && missing > 0 && !svc.widened && svc.mayWiden(now):
		svc.widened, svc.probedAt, svc.widenedAt = true, now, now
		return svc.choose(rnd, tgs, missing)
	}
	if svc.probedAt != (clock.Instant{}) && now.Since(svc.probedAt) < interval {
		return nil
	}
	svc.probedAt = now
	if svc.lost {
		svc.interval = min(time.Duration(float64(svc.interval)*lostIntervalFactor), maxLostInterval)
	}
	return svc.choose(rnd, tgs, count)
}

// mayWiden reports whether the last time that more targets were probed is long enough ago. Where some targets are down and others
// not, successes take back what has failed; without a least time, each few failures would then lead to more probes than they
// came from.
func (svc *service) mayWiden(now clock.Instant) bool {
	return svc.widenedAt == (clock.Instant{}) || now.Since(svc.widenedAt) >= doubtInterval
}

// choose returns cnt targets at random: of a lost service any, else those at which no connection has failed, the
// suspect first.
func (svc *service) choose(rnd *rand.Rand, tgs []health.Target, cnt int) []health.Target {
	var out []health.Target
	for _, at := range rnd.Perm(len(tgs)) {
		_, failed := svc.failed[tgs[at].ID]
		switch {
		case failed && !svc.lost:
		case tgs[at].ID == svc.suspect:
			out = slices.Insert(out, 0, tgs[at])
		default:
			out = append(out, tgs[at])
		}
	}
	return out[:min(cnt, len(out))]
}
