package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/balance"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/retrybudget"
)

// The times of the play. Requests take playMedian with a log-normal deviation of playDeviation.
const (
	playMedian    = 280 * time.Millisecond
	playDeviation = 0.25
	playGoal      = 500 * time.Millisecond
	playDeadline  = 2 * time.Second
	playWarmUp    = 2 * time.Second
	tickEvery     = 100 * time.Millisecond
	// slowOdds is how many messages there are for each one that takes 20 to 60 ms instead of 0.5 to 2 ms.
	slowOdds = 25
	// queueLimit is the most requests, per slot, that a target takes without shedding.
	queueLimit = 3
	// drawnTargets is the number of targets for one partition, as in core/gateway.
	drawnTargets = 32
	// keptTime is how long a connection is kept without requests.
	keptTime = 9 * time.Second
)

// way is a way to choose partitions.
type way struct {
	name string
	// learns is set if loads are learned, least if the least loaded partition is taken instead of the better
	// of two, other if another one is asked before a refusal, and single if one placer has all targets.
	learns, least, other, single bool
	// local is set if all VMs place without placers.
	local bool
	// even is set if failure domains have as many VMs as targets, in proportion, and cold if the play is counted
	// from the start of all VMs on.
	even, cold bool
}

// play simulates VMs, placers and targets in virtual time.
type play struct {
	way     way
	rnd     *rand.Rand
	now     clock.Instant
	events  events
	seq     int
	vms     []*playVM
	placers []*placement.Placer
	parts   [][]health.Target
	tgs     map[string]*playTarget
	free    int
	number  uint64
	until   clock.Instant
	from    clock.Instant
	gap     time.Duration
	domains []string
	// counted by the play from playWarmUp on
	sent, refused, refusedFree int
	waits                      []time.Duration
	perSecond                  []float64
	// far counts the requests that went to another failure domain, and opened those for which the VM had no
	// connection to the target that it could reuse.
	far, opened int
	// queries counts the queries to placers.
	queries int
}

type playVM struct {
	id, domain string
	chooser    *balance.Chooser
	local      []*placement.Placer
	// used holds when the VM last had a response of each target.
	used map[string]clock.Instant
}

type playTarget struct {
	health.Target
	running int
	queue   []func()
	// second and all count the requests of the present second and of the play.
	second, all int
}

type event struct {
	at  clock.Instant
	seq int
	do  func()
}

type events []event

func (evs events) Len() int { return len(evs) }

func (evs events) Less(one, two int) bool {
	return evs[one].at.Before(evs[two].at) || evs[one].at == evs[two].at && evs[one].seq < evs[two].seq
}
func (evs events) Swap(one, two int) { evs[one], evs[two] = evs[two], evs[one] }
func (evs *events) Push(val any)     { *evs = append(*evs, val.(event)) } //nolint:forcetypeassert // heap.Push passes on what it is given.

func (evs *events) Pop() any {
	last := len(*evs) - 1
	out := (*evs)[last]
	*evs = (*evs)[:last]
	return out
}

func (ply *play) after(dur time.Duration, do func()) {
	ply.seq++
	heap.Push(&ply.events, event{at: ply.now.Add(dur), seq: ply.seq, do: do})
}

// delay returns how long a message takes.
func (ply *play) delay() time.Duration {
	if ply.rnd.IntN(slowOdds) == 0 {
		return 20*time.Millisecond + time.Duration(ply.rnd.Int64N(int64(40*time.Millisecond)))
	}
	return 500*time.Microsecond + time.Duration(ply.rnd.Int64N(int64(1500*time.Microsecond)))
}

// newPlay returns a play of a service under a load, as a share of its capacity. Most targets and few of the
// VMs are in the first failure domain.
func newPlay(one way, seed uint64, vms, tgs, slots int, load float64, length time.Duration) *play {
	ply := &play{
		way: one, rnd: rand.New(rand.NewPCG(seed, 9)), now: clock.At(time.Hour), tgs: make(map[string]*playTarget), free: tgs * slots,
		domains: []string{"a", "a", "a", "a", "a", "b", "b", "b", "c", "c"},
	}
	warmUp := playWarmUp
	if one.cold {
		warmUp = 0
	}
	ply.from = ply.now.Add(warmUp)
	ply.until = ply.from.Add(length)
	cnt := 1
	for !one.single && cnt*drawnTargets < tgs {
		cnt *= 2
	}
	ply.parts = make([][]health.Target, cnt)
	for num := range tgs {
		tgt := health.Target{ID: fmt.Sprint("t", num), Address: fmt.Sprint(num), FailureDomain: ply.domains[num%len(ply.domains)], Slots: slots}
		at := ply.rnd.IntN(cnt)
		ply.parts[at] = append(ply.parts[at], tgt)
		ply.tgs[tgt.ID] = &playTarget{Target: tgt}
	}
	for num := range cnt {
		ply.placers = append(ply.placers, ply.placer(num, false))
	}
	for num := range vms {
		vmm := &playVM{id: fmt.Sprint("vm", num), domain: ply.vmDomain(num), chooser: balance.New(ply.rnd, cnt), used: make(map[string]clock.Instant)}
		for num, list := range ply.parts {
			vmm.chooser.SetTargets(num, len(list), len(list)*slots)
			if one.local {
				vmm.local = append(vmm.local, ply.placer(num, true))
			}
		}
		ply.vms = append(ply.vms, vmm)
	}
	mean := playMedian.Seconds() * math.Exp(playDeviation*playDeviation/2)
	ply.gap = time.Duration(mean / float64(tgs*slots) / load * float64(time.Second))
	ply.after(0, ply.arrive)
	ply.after(0, ply.tick)
	ply.after(warmUp, ply.second)
	return ply
}

func (ply *play) vmDomain(num int) string {
	dom := ply.domains[num%len(ply.domains)]
	if other, swapped := map[string]string{"a": "c", "c": "a"}[dom]; swapped && !ply.way.even {
		return other
	}
	return dom
}

func (ply *play) placer(part int, alone bool) *placement.Placer {
	bud, bok := retrybudget.New(ply.now, 10*time.Second, 1, 100), announcement.NewBook()
	lim := placement.NewFleetLimiter()
	if alone {
		lim = placement.NewShareLimiter(ply.rnd, func() float64 { return 1 }, func(clock.Instant) bool { return false })
	}
	pla := placement.New(ply.rnd, bud, bok, lim)
	pla.SetTargets(ply.now, ply.parts[part])
	return pla
}

func (ply *play) run() *play {
	for len(ply.events) > 0 && ply.now.Before(ply.until) {
		next := heap.Pop(&ply.events).(event) //nolint:forcetypeassert // Only events are pushed.
		ply.now = next.at
		next.do()
	}
	return ply
}

func (ply *play) tick() {
	ply.after(tickEvery, ply.tick)
	for _, pla := range ply.placers {
		pla.Tick(ply.now)
	}
	for _, vmm := range ply.vms {
		for _, pla := range vmm.local {
			pla.Tick(ply.now)
		}
	}
}

// second ends the count of a second.
func (ply *play) second() {
	ply.after(time.Second, ply.second)
	most, sum := 0, 0
	for _, tgt := range ply.tgs {
		most, sum = max(most, tgt.second), sum+tgt.second
		tgt.all += tgt.second
		tgt.second = 0
	}
	if ply.from.Before(ply.now) {
		ply.perSecond = append(ply.perSecond, float64(most*len(ply.tgs))/float64(sum))
		return
	}
	for _, tgt := range ply.tgs {
		tgt.all = 0
	}
}

func (ply *play) counted() bool { return !ply.now.Before(ply.from) }

func (ply *play) arrive() {
	ply.after(time.Duration(ply.rnd.ExpFloat64()*float64(ply.gap)), ply.arrive)
	vmm := ply.vms[ply.rnd.IntN(len(ply.vms))]
	if ply.counted() {
		ply.sent++
	}
	ply.ask(vmm, ply.choose(vmm), !ply.way.other, 0)
}

func (ply *play) choose(vmm *playVM) int {
	if !ply.way.least {
		return vmm.chooser.Choose(ply.now, 0)
	}
	best, least := vmm.chooser.Choose(ply.now, 0), math.Inf(1)
	for num := range ply.parts {
		if load, known := vmm.chooser.Estimate(ply.now, num); known && load < least {
			best, least = num, load
		}
	}
	return best
}

// ask has a request placed in a partition. asked is set if no other one may be asked.
func (ply *play) ask(vmm *playVM, part int, asked bool, shed int) {
	ply.number++
	aid := placement.AttemptID{VM: vmm.id, Number: ply.number}
	cri := placement.Criteria{Route: "r", Domain: vmm.domain, Idempotent: true, TimeToGoal: playGoal, TimeLeft: playDeadline}
	if ply.way.local {
		ply.answered(vmm, vmm.local[part], part, asked, shed, vmm.local[part].Place(ply.now, aid, cri), aid)
		return
	}
	vmm.chooser.Sent(part)
	if ply.counted() {
		ply.queries++
	}
	pla := ply.placers[part]
	ply.after(ply.delay(), func() {
		ans := pla.Place(ply.now, aid, cri)
		ans.Load = pla.Load(ply.now)
		ply.after(ply.delay(), func() {
			if ply.way.learns {
				vmm.chooser.Learn(ply.now, part, ans.Load)
			}
			ply.answered(vmm, pla, part, asked, shed, ans, aid)
		})
	})
}

func (ply *play) answered(vmm *playVM, pla *placement.Placer, part int, asked bool, shed int, ans placement.Answer, aid placement.AttemptID) {
	if ans.Target == "" {
		vmm.chooser.Refused(ply.now, part, 0, ans.RetryAfter)
		if next, found := vmm.chooser.Other(ply.now, 0, part); found && !asked {
			ply.ask(vmm, next, true, shed)
			return
		}
		ply.refuse()
		return
	}
	ply.after(ply.delay(), func() { ply.reach(vmm, pla, ply.tgs[ans.Target], asked, shed, aid) })
}

func (ply *play) refuse() {
	if !ply.counted() {
		return
	}
	ply.refused++
	if ply.free > 0 {
		ply.refusedFree++
	}
}

// reach delivers a request to a target.
func (ply *play) reach(vmm *playVM, pla *placement.Placer, tgt *playTarget, asked bool, shed int, aid placement.AttemptID) {
	end := func(out health.Outcome) {
		dur := 2 * ply.delay()
		if ply.way.local {
			dur /= 2
		}
		ply.after(dur, func() { pla.Ended(ply.now, aid, out) })
	}
	tgt.second++
	ply.countPath(vmm, tgt)
	if tgt.running+len(tgt.queue) >= queueLimit*tgt.Slots {
		end(health.Shed)
		if shed < 2 {
			ply.ask(vmm, ply.choose(vmm), asked, shed+1)
		} else {
			ply.refuse()
		}
		return
	}
	at := ply.now
	start := func() {
		tgt.running++
		ply.free--
		if ply.counted() {
			ply.waits = append(ply.waits, ply.now.Mono-at.Mono)
		}
		ply.after(time.Duration(float64(playMedian)*math.Exp(playDeviation*ply.rnd.NormFloat64())), func() {
			tgt.running--
			ply.free++
			end(health.Success)
			vmm.used[tgt.ID] = ply.now
			if len(tgt.queue) > 0 {
				next := tgt.queue[0]
				tgt.queue = tgt.queue[1:]
				next()
			}
		})
	}
	if tgt.running < tgt.Slots {
		start()
		return
	}
	tgt.queue = append(tgt.queue, start)
}

func (ply *play) countPath(vmm *playVM, tgt *playTarget) {
	if !ply.counted() {
		return
	}
	if vmm.domain != tgt.FailureDomain {
		ply.far++
	}
	if at, known := vmm.used[tgt.ID]; !known || ply.now.Since(at) > keptTime {
		ply.opened++
	}
}

// result is what a play shows: the shares of requests that were refused, and refused while another target
// had a free slot, the 99th percentile of the wait for a slot, the most requests at a target to the mean, in a
// second on average and over the play, and, per request, those sent to another failure domain, those without a
// kept connection, and the queries.
type result struct {
	refused, refusedFree float64
	wait                 time.Duration
	second, all          float64
	far, opened, queries float64
}

func (ply *play) result() result {
	slices.Sort(ply.waits)
	most, sum := 0, 0
	for _, tgt := range ply.tgs {
		most, sum = max(most, tgt.all), sum+tgt.all
	}
	perSecond := 0.0
	for _, val := range ply.perSecond {
		perSecond += val / float64(len(ply.perSecond))
	}
	return result{
		refused: float64(ply.refused) / float64(ply.sent), refusedFree: float64(ply.refusedFree) / float64(ply.sent),
		wait: ply.waits[len(ply.waits)*99/100].Round(time.Millisecond), second: perSecond, all: float64(most*len(ply.tgs)) / float64(sum),
		far: float64(ply.far) / float64(ply.sent), opened: float64(ply.opened) / float64(ply.sent), queries: float64(ply.queries) / float64(ply.sent),
	}
}

// String returns the result as columns of a table.
func (res result) String() string {
	return fmt.Sprintf("%.4f | %.4f | %v | %.2f | %.2f | %.2f | %.2f | %.3f", res.refused, res.refusedFree, res.wait, res.second, res.all, res.far, res.opened, res.queries)
}
