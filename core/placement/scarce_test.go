package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/admission"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/retrybudget"
)

// The load of the simulated scarce service: targets, slots, and organisations, of which the first has hotFactor times the
// rate of each other one; and how long targets take to refuse a request.
const (
	scarceTargets = 42
	scarceSlots   = 2
	organisations = 40
	hotFactor     = 5
	refuseTime    = 5 * time.Millisecond
	scarceStep    = 5 * time.Millisecond
)

// scarceKind is one kind of request to the scarce service.
type scarceKind struct {
	route        string
	median, goal time.Duration
	priority     int
}

var scarceKinds = []scarceKind{
	{"list", 72 * time.Millisecond, 400 * time.Millisecond, 0},
	{"read", 140 * time.Millisecond, 700 * time.Millisecond, 1},
	{"write", 180 * time.Millisecond, 900 * time.Millisecond, 0},
	{"report", 230 * time.Millisecond, 1200 * time.Millisecond, 2},
}

// scarceCount counts the requests of a kind, a priority or an organisation by what their callers got.
type scarceCount struct{ asked, inGoal, late, refused int }

func (cnt scarceCount) share() float64 { return float64(cnt.inGoal) / float64(max(cnt.asked, 1)) }

func (cnt scarceCount) String() string {
	return fmt.Sprintf("%.3f in goal (%d asked, %d late, %d refused)", cnt.share(), cnt.asked, cnt.late, cnt.refused)
}

// scarceRequest is one request on its way.
type scarceRequest struct {
	kind    scarceKind
	caller  int
	arrived clock.Instant
	tried   []string
	sent    int
	waits   retrybudget.Waits
	// counts is where the request is counted.
	counts map[string]*scarceCount
}

// scarceLoad simulates a placer, its targets and their callers.
type scarceLoad struct {
	rnd    *rand.Rand
	now    clock.Instant
	placer *Placer
	next   uint64
	// free holds when each slot of each target becomes free, and events what happens later.
	free   map[string][]clock.Instant
	events []scarceEvent
	// refuseShare is the share of requests that targets refuse now.
	refuseShare float64
	attempts    int
	// older is set if queries tell no organisation, as those of older builds.
	older  bool
	counts map[string]*scarceCount
}

type scarceEvent struct {
	at clock.Instant
	do func()
}

func newScarceLoad(seed uint64) *scarceLoad {
	rnd := rand.New(rand.NewPCG(seed, 7))
	sca := &scarceLoad{rnd: rnd, now: clock.At(time.Hour), free: make(map[string][]clock.Instant)}
	sca.placer = newPlacer(rnd, retrybudget.New(sca.now, 10*time.Second, 0.2*0.92, 98*0.92))
	var tgs []health.Target
	for num := range scarceTargets {
		tgt := health.Target{ID: fmt.Sprintf("t%02d", num), FailureDomain: string(rune('a' + num%3)), Slots: scarceSlots}
		tgs = append(tgs, tgt)
		sca.free[tgt.ID] = make([]clock.Instant, scarceSlots)
	}
	sca.placer.SetTargets(sca.now, tgs)
	return sca
}

// count counts a request under its kind, priority and organisation.
func (sca *scarceLoad) count(req *scarceRequest, add func(cnt *scarceCount)) {
	caller := "others"
	if req.caller == 0 {
		caller = "hot organisation"
	}
	for _, key := range []string{"all", req.kind.route, fmt.Sprint("priority ", req.kind.priority), caller, fmt.Sprint("organisation ", req.caller)} {
		if req.counts[key] == nil {
			req.counts[key] = new(scarceCount)
		}
		add(req.counts[key])
	}
}

func (sca *scarceLoad) after(dur time.Duration, do func()) {
	sca.events = append(sca.events, scarceEvent{at: sca.now.Add(dur), do: do})
}

func (sca *scarceLoad) place(req *scarceRequest) {
	sca.next++
	aid := AttemptID{VM: fmt.Sprint("vm", req.caller%8), Number: sca.next}
	goal := req.arrived.Add(req.kind.goal)
	left := goal.Mono - sca.now.Mono
	caller := uint16(req.caller + 1)
	if sca.older {
		caller = 0
	}
	ans := sca.placer.Place(sca.now, aid, Criteria{
		Route: req.kind.route, Domain: "a", Retry: req.sent > 0, Priority: req.kind.priority, Tried: req.tried,
		TimeToGoal: max(left, 0), TimeLeft: left + 2*req.kind.goal, Caller: caller,
	})
	if ans.Target == "" {
		waits, may := req.waits.With(sca.now, ans.RetryAfter, goal)
		if ans.Reason == NoRetry && may {
			req.waits = waits
			sca.after(ans.RetryAfter, func() { sca.place(req) })
			return
		}
		sca.count(req, func(cnt *scarceCount) { cnt.refused++ })
		return
	}
	if req.sent > 0 {
		sca.attempts++
	}
	req.sent++
	req.tried = append(req.tried, ans.Target)
	sca.run(req, aid, ans.Target)
}

// run lets a target refuse or serve a request.
func (sca *scarceLoad) run(req *scarceRequest, aid AttemptID, target string) {
	if sca.rnd.Float64() < sca.refuseShare {
		sca.after(refuseTime, func() {
			sca.placer.Ended(sca.now, aid, health.Shed)
			if req.sent >= 6 {
				sca.count(req, func(cnt *scarceCount) { cnt.refused++ })
				return
			}
			sca.place(req)
		})
		return
	}
	slot := 0
	for num, at := range sca.free[target] {
		if at.Before(sca.free[target][slot]) {
			slot = num
		}
	}
	begin := clock.Later(sca.now, sca.free[target][slot])
	end := begin.Add(time.Duration(float64(req.kind.median) * math.Exp(0.25*sca.rnd.NormFloat64())))
	sca.free[target][slot] = end
	sca.after(end.Mono-sca.now.Mono, func() {
		sca.placer.Ended(sca.now, aid, health.Success)
		if sca.now.Mono-req.arrived.Mono > req.kind.goal {
			sca.count(req, func(cnt *scarceCount) { cnt.late++ })
			return
		}
		sca.count(req, func(cnt *scarceCount) { cnt.inGoal++ })
	})
}

// play sends requests for a time, and then others that are not counted until the first ones have ended. load is the share of
// the capacity that the kinds need at equal rates, and burst the factor by which the least urgent kind comes more often.
func (sca *scarceLoad) play(dur time.Duration, load, burst float64) {
	counts := make(map[string]*scarceCount)
	sca.counts = counts
	sca.send(dur, load, burst)
	sca.counts = make(map[string]*scarceCount)
	sca.send(2*time.Second, load, burst)
	sca.counts = counts
}

func (sca *scarceLoad) send(dur time.Duration, load, burst float64) {
	work := 0.0
	for _, knd := range scarceKinds {
		work += 1.032 * knd.median.Seconds() // The mean is above the median.
	}
	perKind := load * scarceTargets * scarceSlots / work
	for end := sca.now.Add(dur); sca.now.Before(end); sca.now = sca.now.Add(scarceStep) {
		slices.SortStableFunc(sca.events, func(one, two scarceEvent) int { return int(one.at.Mono - two.at.Mono) })
		for len(sca.events) > 0 && !sca.now.Before(sca.events[0].at) {
			evt := sca.events[0]
			sca.events = sca.events[1:]
			evt.do()
		}
		sca.placer.Tick(sca.now)
		for _, knd := range scarceKinds {
			rate := perKind
			if knd.priority == 2 {
				rate *= burst
			}
			for mean := rate * scarceStep.Seconds(); mean > 0; mean-- {
				if sca.rnd.Float64() >= mean {
					continue
				}
				req := &scarceRequest{kind: knd, arrived: sca.now, counts: sca.counts, caller: max(sca.rnd.IntN(organisations+hotFactor-1)-hotFactor+1, 0)}
				sca.count(req, func(cnt *scarceCount) { cnt.asked++ })
				sca.place(req)
			}
		}
	}
}

// report logs what callers got.
func (sca *scarceLoad) report(t *testing.T, title string) {
	for _, key := range []string{"all", "list", "read", "write", "report", "priority 0", "priority 1", "priority 2", "hot organisation", "others"} {
		if cnt := sca.counts[key]; cnt != nil {
			t.Logf("%s: %s: %v", title, key, *cnt)
		}
	}
}

// checkFloor fails the test if a kind or an organisation is served less than a quarter as often as all.
func (sca *scarceLoad) checkFloor(t *testing.T, title string) {
	t.Helper()
	for key, cnt := range sca.counts {
		if cnt.asked >= 20 && cnt.share() < 0.25*sca.counts["all"].share() {
			t.Errorf("%s: %s: %v, all %v", title, key, *cnt, *sca.counts["all"])
		}
	}
}

// TestScarceCapacityGoesToTheMostUrgent plays a service at 70 to 130% of its capacity, with and without a burst of the least
// urgent kind. The urgent must be served, nobody starved, what is accepted be answered in time, and the organisation
// with five times the rate of the others must not be served more often than they are.
func TestScarceCapacityGoesToTheMostUrgent(t *testing.T) {
	for num, one := range []struct{ load, burst float64 }{{0.7, 1}, {0.7, 2.5}, {1, 2.5}, {1.3, 1}, {1.3, 2.5}} {
		sca := newScarceLoad(uint64(num))
		sca.play(4*time.Second, 0.7, 1)
		sca.play(8*time.Second, one.load, one.burst)
		title := fmt.Sprintf("load %.1f, burst %.1f", one.load, one.burst)
		sca.report(t, title)
		sca.checkFloor(t, title)
		all, most, least := *sca.counts["all"], *sca.counts["priority 0"], *sca.counts["priority 2"]
		if most.share() < 0.95 || least.share() > most.share()+0.02 {
			t.Errorf("%s: priority 0: %v, priority 2: %v", title, most, least)
		}
		if all.late > all.asked/50 {
			t.Errorf("%s: %v", title, all)
		}
		if hot, others := *sca.counts["hot organisation"], *sca.counts["others"]; hot.share() > others.share()+0.03 {
			t.Errorf("%s: hot organisation: %v, others: %v", title, hot, others)
		}
	}
}

// TestRefusalsOfAllTargets plays 8.5 s in which all targets refuse 55% of what they get. The budget must hold, the most urgent must
// be served more often than the least, and each priority more often than by first attempts alone.
func TestRefusalsOfAllTargets(t *testing.T) {
	sca := newScarceLoad(3)
	sca.play(12*time.Second, 0.6, 1)
	sca.refuseShare, sca.attempts = 0.55, 0
	sca.play(6500*time.Millisecond, 0.6, 1) // And 2 s more, which are not counted.
	sca.refuseShare = 0
	sca.report(t, "incident")
	t.Logf("%d further attempts", sca.attempts)
	sca.checkFloor(t, "incident")
	most, least := *sca.counts["priority 0"], *sca.counts["priority 2"]
	middle := *sca.counts["priority 1"]
	if most.share() < middle.share() || middle.share() < least.share()-0.03 || most.share() < least.share()+0.05 || least.share() < 0.42 {
		t.Errorf("priority 0: %v, 1: %v, 2: %v", most, middle, least)
	}
	if bound := 0.2*float64(sca.counts["all"].asked)*10/6.5 + 98; float64(sca.attempts) > bound {
		t.Errorf("%d further attempts, %.0f are allowed", sca.attempts, bound)
	}
}

// TestLargeResponsesStayInTheirFailureDomain places requests with large responses while the targets of their failure domain
// are busier than others. They must stay there as long as they are answered in time, and go elsewhere else; others go to the
// target that is less busy.
func TestLargeResponsesStayInTheirFailureDomain(t *testing.T) {
	for _, one := range []struct {
		large  bool
		beside int
		want   string
	}{{false, 3, "far"}, {true, 0, "near"}, {true, 3, "near"}, {true, 9, "far"}} {
		now := clock.At(time.Hour)
		pla := newPlacer(rand.New(rand.NewPCG(1, 1)), retrybudget.New(now, 10*time.Second, 0.2, 64))
		pla.SetTargets(now, []health.Target{{ID: "near", FailureDomain: "a", Slots: 4}, {ID: "far", FailureDomain: "b", Slots: 4}})
		number := uint64(0)
		for range 40 {
			for _, id := range []string{"near", "far"} {
				number++
				pla.Track(now, "vm", RunningAttempt{Number: number, Target: id, Route: "r", TimeLeft: deadline})
				pla.Ended(now.Add(median), AttemptID{VM: "vm", Number: number}, health.Success)
			}
			now = now.Add(median)
		}
		for range one.beside {
			number++
			pla.Track(now, "vm", RunningAttempt{Number: number, Target: "near", Route: "r", TimeLeft: deadline})
		}
		ans := pla.Place(now, AttemptID{VM: "vm", Number: number + 1}, Criteria{
			Route: "r", Domain: "a", Idempotent: true, TimeToGoal: 2 * median, TimeLeft: deadline, LargeResponse: one.large,
		})
		if ans.Target != one.want {
			t.Errorf("large %v, beside %d: placed %+v, want %s", one.large, one.beside, ans, one.want)
		}
	}
}

// changePlacer replaces the placer by one that knows nothing but the attempts that run.
func (sca *scarceLoad) changePlacer() {
	old := sca.placer
	sca.placer = newPlacer(sca.rnd, retrybudget.New(sca.now, 10*time.Second, 0.2*0.92, 98*0.92))
	var tgs []health.Target
	for _, tgt := range old.targets {
		tgs = append(tgs, tgt.Target)
	}
	sca.placer.SetTargets(sca.now, tgs)
	for _, tgt := range old.targets {
		for _, att := range tgt.running {
			sca.placer.Track(sca.now, att.id.VM, RunningAttempt{
				Number: att.id.Number, Target: tgt.ID, Route: att.route, Age: sca.now.Since(att.began), TimeLeft: att.deadline.Mono - sca.now.Mono,
			})
		}
	}
}

// TestPlacerChangesHalfway replaces the placer in the middle of an overload, and in the middle of an incident in which targets
// refuse 55%. The successor must not overload the targets, starve nobody, and keep to the retry budget together with the first.
func TestPlacerChangesHalfway(t *testing.T) {
	for _, refuseShare := range []float64{0, 0.55} {
		sca := newScarceLoad(5)
		load := 1.2 * (1 - refuseShare)
		sca.play(10*time.Second, load, 1)
		sca.refuseShare, sca.attempts = refuseShare, 0
		sca.after(2*time.Second, sca.changePlacer)
		sca.play(6*time.Second, load, 1)
		title := fmt.Sprintf("%.2f refused, another placer", refuseShare)
		sca.report(t, title)
		sca.checkFloor(t, title)
		all, most := *sca.counts["all"], *sca.counts["priority 0"]
		if all.late > all.asked/20 || refuseShare == 0 && most.share() < 0.9 {
			t.Errorf("%s: %v, priority 0 %v", title, all, most)
		}
		if bound := 0.2*float64(all.asked)*10/6 + 98; float64(sca.attempts) > bound {
			t.Errorf("%s: %d further attempts, %.0f are allowed", title, sca.attempts, bound)
		}
	}
}

// TestRequestsOfOlderBuildsCompete plays an overload in which no query tells an organisation, as those of older builds. Priorities
// must hold all the same, and nobody be starved.
func TestRequestsOfOlderBuildsCompete(t *testing.T) {
	sca := newScarceLoad(6)
	sca.older = true
	sca.play(4*time.Second, 0.7, 1)
	sca.play(8*time.Second, 1.3, 1)
	sca.checkFloor(t, "older builds")
	most, least := *sca.counts["priority 0"], *sca.counts["priority 2"]
	if most.share() < 0.95 || least.share() > most.share() {
		t.Errorf("priority 0: %v, priority 2: %v", most, least)
	}
}

// TestNoPlaceForALowerRankAlone guards against a request that is refused while one of a lower rank would be placed, with random
// loads of the targets and different estimates of latency.
func TestNoPlaceForALowerRankAlone(t *testing.T) {
	sca := newScarceLoad(8)
	sca.play(2*time.Second, 0.7, 1)
	found, refused := 0, 0
	for range 30 {
		sca.send(100*time.Millisecond, 0.5+sca.rnd.Float64(), 2)
		sca.placer.updateMaxWait(sca.now)
		for _, knd := range scarceKinds {
			lat := sca.placer.latencies[knd.route]
			cri := Criteria{Route: knd.route, Domain: "a", TimeToGoal: knd.goal, TimeLeft: 3 * knd.goal}
			lower := true
			for rnk := admission.Rank(0); rnk <= 3; rnk++ {
				best, _ := sca.placer.choose(sca.now, "vm", cri, rnk, lat)
				if best.target != nil && !lower {
					t.Errorf("%s: rank %d finds a target, and the one before it none", knd.route, rnk)
				}
				lower = best.target != nil
				if lower {
					found++
				} else {
					refused++
				}
			}
		}
	}
	if found == 0 || refused == 0 {
		t.Errorf("%d found a target, %d none", found, refused)
	}
}
