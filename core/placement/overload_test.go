package placement

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

// requestKind describes one kind of request to a simulated service.
type requestKind struct {
	route                  string
	median, goal, deadline time.Duration
	perSecond              float64
}

// kindCount counts the requests of one kind. Lost ones were placed and not answered by their deadline,
// late ones were answered after their latency goal.
type kindCount struct{ asked, refused, lost, late int }

// inGoal returns the number of requests that were answered within their latency goal.
func (cnt kindCount) inGoal() int { return cnt.asked - cnt.refused - cnt.lost - cnt.late }

// mixedLoad plays several kinds of requests at once.
type mixedLoad struct {
	*simulation
	counts map[string]*kindCount
}

func (mix *mixedLoad) send(knd requestKind) {
	mix.next++
	cnt := mix.counts[knd.route]
	if cnt == nil {
		cnt = new(kindCount)
		mix.counts[knd.route] = cnt
	}
	cnt.asked++
	aid := AttemptID{VM: "vm", Number: mix.next}
	ans := mix.placer.Place(mix.now, aid, Criteria{Route: knd.route, Domain: "a", TimeToGoal: knd.goal, TimeLeft: knd.deadline})
	if ans.Target == "" {
		cnt.refused++
		return
	}
	mix.median = knd.median
	end, outcome := mix.nextSlot(ans.Target).Add(mix.drawDuration()), health.Success
	switch took := end.Mono - mix.now.Mono; {
	case took > knd.deadline:
		cnt.lost++
		end, outcome = mix.now.Add(knd.deadline), health.Overdue // The target drops a request that is given up.
	case took > knd.goal:
		cnt.late++
	}
	mix.busyUntil[ans.Target] = append(mix.busyUntil[ans.Target], end)
	mix.ends = append(mix.ends, scheduledEnd{at: end, attempt: aid, outcome: outcome})
}

// nextSlot returns when the next slot of a target becomes free for a further request: when so many of
// its requests have ended that one slot is left.
func (mix *mixedLoad) nextSlot(id string) clock.Instant {
	mix.busyUntil[id] = slices.DeleteFunc(mix.busyUntil[id], func(end clock.Instant) bool { return !mix.now.Before(end) })
	ends := slices.SortedFunc(slices.Values(mix.busyUntil[id]), func(one, two clock.Instant) int { return cmp.Compare(one.Mono, two.Mono) })
	if len(ends) < mix.slots {
		return mix.now
	}
	return ends[len(ends)-mix.slots]
}

// play sends the kinds of requests for a time, in steps of 10 ms.
func (mix *mixedLoad) play(dur time.Duration, kinds []requestKind) {
	const step = 10 * time.Millisecond
	for end := mix.now.Add(dur); mix.now.Before(end); {
		for _, knd := range kinds {
			if mix.rnd.Float64() < knd.perSecond*step.Seconds() {
				mix.send(knd)
			}
		}
		mix.run(step, 0, 0, nil)
	}
}

// TestOverloadedServiceAnswersInTime plays a service of four targets that is asked for half as much
// again as it can do, by long and short requests. What it accepts must be answered within the latency
// goal, as far as one can tell, and the rest be refused on arrival: a queue that is longer than the
// goal only makes all wait. No kind may be answered less than a quarter as often as all, also one
// without history whose deadline is close.
func TestOverloadedServiceAnswersInTime(t *testing.T) {
	long := requestKind{route: "read", median: 600 * time.Millisecond, goal: 1500 * time.Millisecond, deadline: 3 * time.Second, perSecond: 45}
	short := requestKind{route: "publish", median: 380 * time.Millisecond, goal: time.Second, deadline: 2500 * time.Millisecond, perSecond: 25}
	added := requestKind{route: "added", median: 600 * time.Millisecond, goal: 950 * time.Millisecond, deadline: 950 * time.Millisecond, perSecond: 3}
	for seed := range uint64(5) {
		mix := &mixedLoad{
			simulation: newSimulation(seed, scenario{targets: 4, slots: 6, deviation: 0.3, episode: time.Second}), counts: make(map[string]*kindCount),
		}
		mix.play(5*time.Second, []requestKind{long, short})
		mix.counts = make(map[string]*kindCount)
		mix.play(20*time.Second, []requestKind{long, short, added})
		asked, accepted, inGoal := 0, 0, 0
		for _, cnt := range mix.counts {
			asked, accepted, inGoal = asked+cnt.asked, accepted+cnt.asked-cnt.refused, inGoal+cnt.inGoal()
		}
		for route, cnt := range mix.counts {
			if float64(cnt.inGoal())/float64(cnt.asked) < 0.25*float64(inGoal)/float64(asked) {
				t.Errorf("seed %d: %s: %d of %d requests were answered within the goal, of all %d of %d", seed, route, cnt.inGoal(), cnt.asked, inGoal, asked)
			}
		}
		if float64(inGoal) < 0.9*float64(accepted) {
			t.Errorf("seed %d: %d of %d accepted requests were answered within the goal", seed, inGoal, accepted)
		}
		const work = 1.07 * (45*0.6 + 25*0.38 + 3*0.6) // Slots that the whole load needs.
		if possible := 24 / work; float64(inGoal) < 0.85*possible*float64(asked) {
			t.Errorf("seed %d: %d of %d requests were answered within the goal, %.2f of them are possible", seed, inGoal, asked, possible)
		}
	}
}
