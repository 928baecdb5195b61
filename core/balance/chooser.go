package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// fadeTime is the time in which the difference between what is known of a partition and the mean of the
	// service fades to 1/e. Requests that ended meanwhile have made room, and other VMs have used it.
	fadeTime = 400 * time.Millisecond
	// minGain is the least difference of loads for which the second partition drawn is preferred to the
	// first: a smaller one is lost in the rounding of loads and in what other VMs send meanwhile.
	minGain = 1.0 / loadSteps
	// crowdedGap is by how much the load of a partition with all slots in use must be below that of one that
	// refused a request for the partition to be asked as well. Without it an overloaded service would be queried
	// twice for each request that it refuses.
	crowdedGap = 0.1
	// meanWeight is the weight of one load in the moving average over the partitions.
	meanWeight = 0.1
)

// partition is what a Chooser knows of one partition.
type partition struct {
	targets, slots int
	// load is the load that the placer told at learnedAt; unknown if it has told none since Forget.
	load      Load
	learnedAt clock.Instant
	// sent counts the queries since then.
	sent int
	// fullUntil is the time until which the partition is taken to have no room for requests of the priority
	// fullFor and lower ones, that is, of greater numbers.
	fullUntil clock.Instant
	fullFor   int
}

// full reports whether the partition is known to have no room for requests of a priority.
func (par *partition) full(now clock.Instant, priority int) bool {
	return now.Before(par.fullUntil) && priority >= par.fullFor
}

// Chooser chooses among the partitions of one service for one VM. It is not safe for concurrent use.
type Chooser struct {
	rnd        *rand.Rand
	partitions []partition
	// mean is the moving average of the loads that placers told, in requests per slot, once anyKnown is set.
	mean     float64
	anyKnown bool
	// name is that of this VM, and vms the number of VMs.
	name string
	vms  int
	// subset tells which partitions this VM prefers; nil if it prefers none.
	subset []bool
	// others is the same average over the partitions that this VM does not prefer, once othersKnown is set.
	others      float64
	othersKnown bool
}

// New returns a chooser for a number of partitions, at least one, of which nothing is known.
func New(rnd *rand.Rand, partitions int) *Chooser {
	return &Chooser{rnd: rnd, partitions: make([]partition, partitions)}
}

// SetTargets sets how many targets a partition has, and how many slots they have together.
func (cho *Chooser) SetTargets(number, targets, slots int) {
	par := &cho.partitions[number]
	changed := par.targets != targets
	par.targets, par.slots = targets, slots
	if changed {
		cho.updateSubset()
	}
}

// Learn records the load that the placer of a partition tells. An older program tells none, which leaves
// what is known to fade.
func (cho *Chooser) Learn(now clock.Instant, number int, loa Load) {
	if !loa.Known() {
		return
	}
	par := &cho.partitions[number]
	par.load, par.learnedAt, par.sent = loa, now, 0
	if !cho.anyKnown {
		cho.mean, cho.anyKnown = loa.Share(), true
	}
	cho.mean += meanWeight * (loa.Share() - cho.mean)
	if cho.prefers(number) {
		return
	}
	if !cho.othersKnown {
		cho.others, cho.othersKnown = loa.Share(), true
	}
	cho.others += meanWeight * (loa.Share() - cho.others)
}

// Refused records that a placer had no room for a request of a priority, and after which time it expects
// some.
func (cho *Chooser) Refused(now clock.Instant, number, priority int, retryAfter time.Duration) {
	par := &cho.partitions[number]
	if par.full(now, priority) {
		return
	}
	par.fullUntil, par.fullFor = now.Add(min(retryAfter, fadeTime)), priority
}

// Sent records that a partition is asked for a target.
func (cho *Chooser) Sent(number int) { cho.partitions[number].sent++ }

// Forget drops what is known of a partition, because another VM places its requests from now on, or
// because its placer is silent.
func (cho *Chooser) Forget(number int) {
	par := &cho.partitions[number]
	par.load, par.sent, par.fullUntil = 0, 0, clock.Instant{}
}

// Estimate returns the expected load of a partition as requests per slot, and whether anything is known of
// it. The load that was told last fades towards the mean of the service, and the queries since are added.
func (cho *Chooser) Estimate(now clock.Instant, number int) (float64, bool) {
	par := &cho.partitions[number]
	if !par.load.Known() {
		return 0, false
	}
	fade := math.Exp(-now.Since(par.learnedAt).Seconds() / fadeTime.Seconds())
	return cho.mean + fade*(par.load.Share()-cho.mean+float64(par.sent)/float64(max(par.slots, 1))), true
}

// Choose returns the partition for a request of a priority: the less loaded one of two that are drawn in
// proportion to their numbers of targets, or the first of them if too little is known of both. So VMs
// that know the same choose different partitions. If this VM prefers some partitions, the two are drawn from these
// unless they are much more loaded than the others.
func (cho *Chooser) Choose(now clock.Instant, priority int) int {
	if len(cho.partitions) == 1 {
		return 0
	}
	if cho.subset == nil || cho.rnd.Float64() < explorationShare {
		return cho.better(now, priority, cho.draw(cho.any), cho.draw(cho.any))
	}
	best := cho.better(now, priority, cho.draw(cho.prefers), cho.draw(cho.prefers))
	if cho.overflows(now, priority, best) {
		return cho.draw(func(number int) bool { return !cho.prefers(number) })
	}
	return best
}

func (*Chooser) any(int) bool { return true }

// overflows reports whether a preferred partition is full or much more loaded than the others.
func (cho *Chooser) overflows(now clock.Instant, priority, number int) bool {
	if cho.partitions[number].full(now, priority) {
		return true
	}
	load, known := cho.Estimate(now, number)
	return known && cho.othersKnown && load-cho.others > overflowGain
}

// Other returns a partition to ask after another one had no room for a request, chosen as Choose does, and
// false if there is none that is not known to be full. A negative number stands for a partition that the
// service no longer has.
func (cho *Chooser) Other(now clock.Instant, priority, refused int) (int, bool) {
	if len(cho.partitions) < 2 || refused < 0 {
		return 0, false
	}
	allowed := func(number int) bool { return number != refused }
	next := cho.better(now, priority, cho.draw(allowed), cho.draw(allowed))
	if !cho.open(now, priority, refused, next) {
		next = cho.firstOpen(now, priority, refused)
	}
	return next, next >= 0
}

// open reports whether a partition has targets and is not known to be full after another one had no room.
func (cho *Chooser) open(now clock.Instant, priority, refused, number int) bool {
	par := &cho.partitions[number]
	if par.targets == 0 || par.full(now, priority) {
		return false
	}
	load, known := cho.Estimate(now, number)
	limit, limitKnown := cho.Estimate(now, refused)
	return !known || !limitKnown || load < max(1, limit-crowdedGap)
}

// firstOpen returns the first open partition from a random one on; -1 if there is none.
func (cho *Chooser) firstOpen(now clock.Instant, priority, refused int) int {
	from := cho.rnd.IntN(len(cho.partitions))
	for off := range cho.partitions {
		num := (from + off) % len(cho.partitions)
		if num != refused && cho.open(now, priority, refused, num) {
			return num
		}
	}
	return -1
}

// better returns the second partition if it is known to be less loaded than the first, or if only the first is known to be
// full; else the first.
func (cho *Chooser) better(now clock.Instant, priority, first, second int) int {
	fullFirst, fullSecond := cho.partitions[first].full(now, priority), cho.partitions[second].full(now, priority)
	if fullFirst != fullSecond {
		if fullFirst {
			return second
		}
		return first
	}
	one, knownOne := cho.Estimate(now, first)
	two, knownTwo := cho.Estimate(now, second)
	if knownOne && knownTwo && one-two > minGain {
		return second
	}
	return first
}

// draw returns a random partition out of those that are allowed, in proportion to its number of targets. Without any
// target it returns the first one that is allowed, or 0.
func (cho *Chooser) draw(allowed func(number int) bool) int {
	all, first := 0, 0
	for num := len(cho.partitions) - 1; num >= 0; num-- {
		if allowed(num) {
			all += cho.partitions[num].targets
			first = num
		}
	}
	if all == 0 {
		return first
	}
	at := cho.rnd.IntN(all)
	for num, par := range cho.partitions {
		if !allowed(num) {
			continue
		}
		if at -= par.targets; at < 0 {
			return num
		}
	}
	return first
}
