package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

func view(cnt int) member.View {
	var vms []member.VM
	for num := range cnt {
		vms = append(vms, member.VM{ID: fmt.Sprintf("vm-%d.r", num), FailureDomain: "a"})
	}
	return member.NewView(1, vms)
}

// newSelector returns the selector of a VM that ranks third or lower in its failure domain, and the
// ID of the VM that ranks first.
func newSelector(t *testing.T) (sel *Selector, primary string) {
	t.Helper()
	vie := view(5)
	primary = member.Ranked(vie.VMs(), "feed/a", 1)[0].ID
	for _, vmm := range vie.VMs() {
		if vmm.ID != primary && vmm.ID != member.Ranked(vie.VMs(), "feed/a", 2)[1].ID {
			sel = New(vmm, rand.New(rand.NewPCG(1, 1)))
			sel.SetView(clock.At(time.Hour), vie)
			return sel, primary
		}
	}
	t.Fatal("no VM ranks third or lower")
	return nil, ""
}

const tick = 50 * time.Millisecond

// run calls Tick for a period and answers the queries to the VMs in contact, which maps them to the
// age of their last contact with the platform. It returns the time and the number of queries.
func run(sel *Selector, now clock.Instant, dur time.Duration, contact map[string]time.Duration) (clock.Instant, int) {
	queries := 0
	for end := now.Add(dur); now.Before(end); now = now.Add(tick) {
		for _, snd := range sel.Tick(now, Query{}, time.Hour) {
			queries++
			if age, alive := contact[snd.To]; alive {
				sel.HandleUpdate(now.Add(time.Millisecond), snd.To, snd.Query.Number, age)
			}
		}
	}
	return now, queries
}

// TestFollowsThePrimaryOfItsDomain checks that a VM follows the first VM of its failure domain with
// few queries, or else every VM would load the platform. Once the platform answers no VM any more, it
// must read the platform itself, or else it would go on with data that nobody renews.
func TestFollowsThePrimaryOfItsDomain(t *testing.T) {
	sel, primary := newSelector(t)
	now, queries := run(sel, clock.At(time.Hour), 3*time.Second, map[string]time.Duration{primary: 100 * time.Millisecond})
	if sel.Reading(now) || sel.Followed() != primary {
		t.Fatalf("follows %q, reading %v", sel.Followed(), sel.Reading(now))
	}
	if queries > 12 {
		t.Errorf("%d queries in 3 s", queries)
	}
	// The platform no longer answers the followed VM, nor any other.
	stale := map[string]time.Duration{}
	for _, vmm := range view(5).VMs() {
		stale[vmm.ID] = 2 * time.Second
	}
	if now, _ = run(sel, now, time.Second, stale); !sel.Reading(now) {
		t.Error("still follows a VM that the platform does not answer")
	}
}

// TestSilentPrimaryIsNotFollowed checks that a VM which does not answer any more is not followed, or
// else its followers would learn of no change. Once it answers again it must be followed again, or else
// a short silence would change for good which VMs read the platform.
func TestSilentPrimaryIsNotFollowed(t *testing.T) {
	sel, primary := newSelector(t)
	now, _ := run(sel, clock.At(time.Hour), 2*time.Second, map[string]time.Duration{primary: 0})
	now, _ = run(sel, now, 1200*time.Millisecond, nil)
	if sel.Followed() == primary {
		t.Fatal("still follows a silent VM")
	}
	// It follows the VM again once that answers.
	run(sel, now, 10*time.Second, map[string]time.Duration{primary: 0})
	if sel.Followed() != primary {
		t.Errorf("follows %q after %q answers again", sel.Followed(), primary)
	}
}

// TestPrimaryReadsAndQueriesOthersWhenCutOff checks that the first VM of a failure domain reads the
// platform, and also queries other VMs while the platform does not answer it. It must, or else it
// would learn of no change, although other VMs may still reach the platform.
func TestPrimaryReadsAndQueriesOthersWhenCutOff(t *testing.T) {
	vie := view(5)
	self := member.Ranked(vie.VMs(), "feed/a", 1)[0]
	sel := New(self, rand.New(rand.NewPCG(1, 1)))
	sel.SetView(clock.At(time.Hour), vie)
	now := clock.At(time.Hour)
	if snds := sel.Tick(now, Query{}, 100*time.Millisecond); len(snds) > 0 || !sel.Reading(now) {
		t.Fatalf("the primary does not read the platform, or sends queries: %v", snds)
	}
	_, queries := run(sel, now, 3*time.Second, nil)
	if queries == 0 || !sel.Reading(now) {
		t.Errorf("%d queries while the platform does not answer, reading %v", queries, sel.Reading(now))
	}
}

// TestAnswersAreDatedByTheirQuery checks that the age of an answer is counted from when its Query
// was sent, so that network delay makes it older, and that an answer is accepted only once, or else
// outdated objects would count as confirmed later than they were.
func TestAnswersAreDatedByTheirQuery(t *testing.T) {
	sel, primary := newSelector(t)
	now := clock.At(time.Hour)
	snds := sel.Tick(now, Query{}, 0)
	if len(snds) != 1 || snds[0].To != primary {
		t.Fatalf("want one query to the primary, got %v", snds)
	}
	sent, known := sel.HandleUpdate(now.Add(400*time.Millisecond), primary, snds[0].Query.Number, 0)
	if !known || sent != now {
		t.Errorf("dated %v, want when the query was sent, %v", sent, now)
	}
	if _, again := sel.HandleUpdate(now.Add(500*time.Millisecond), primary, snds[0].Query.Number, 0); again {
		t.Error("a repeated answer was accepted")
	}
}

// domain simulates the VMs of a failure domain, which follow one another or read the platform.
type domain struct {
	now  clock.Instant
	sels map[string]*Selector
	// contact maps each VM to when the platform last answered it.
	contact map[string]clock.Instant
	// down is set while the platform answers no VM.
	down bool
	// exited is the VM that answers no Query, and cutOff the one that the platform does not
	// answer.
	exited, cutOff string
	// readSteps is the number of steps in which a VM read the platform, summed over all VMs.
	readSteps int
}

func newDomain(cnt int) *domain {
	dom := &domain{now: clock.At(time.Hour), sels: make(map[string]*Selector), contact: make(map[string]clock.Instant)}
	vie := view(cnt)
	for num, vmm := range vie.VMs() {
		sel := New(vmm, rand.New(rand.NewPCG(uint64(num), 1)))
		sel.SetView(clock.At(time.Hour), vie)
		dom.sels[vmm.ID] = sel
		dom.contact[vmm.ID] = dom.now
	}
	return dom
}

// advance runs the VMs for a period in steps of tick. The platform answers each reading VM once
// per WatchTimeout.
func (dom *domain) advance(dur time.Duration) {
	for end := dom.now.Add(dur); dom.now.Before(end); dom.now = dom.now.Add(tick) {
		for id, sel := range dom.sels {
			if id == dom.exited {
				continue
			}
			if sel.Reading(dom.now) {
				dom.readSteps++
				if !dom.down && id != dom.cutOff && dom.now.Since(dom.contact[id]) >= WatchTimeout {
					dom.contact[id] = dom.now
				}
			}
			for _, snd := range sel.Tick(dom.now, Query{}, dom.now.Since(dom.contact[id])) {
				if snd.To != dom.exited {
					sel.HandleUpdate(dom.now, snd.To, snd.Query.Number, dom.now.Since(dom.contact[snd.To]))
				}
			}
		}
	}
}

// TestShortOutageMakesFewVMsRead stops the platform for a short time, and later the VM that reads.
// Few VMs may begin to read the platform, or else all would load it at once. In a longer outage the
// VMs must try to read it themselves, for at least a third of the time on average, or else they would
// depend on one VM that may be the only one cut off.
func TestShortOutageMakesFewVMsRead(t *testing.T) {
	const vms = 30
	dom := newDomain(vms)
	dom.advance(3 * time.Second)
	// most is the allowed number of steps in 6 s in which a VM reads, on average.
	check := func(what string, most float64) {
		t.Helper()
		if readSteps := float64(dom.readSteps) / vms; readSteps > most {
			t.Errorf("%s: each VM reads for %.1f of %d steps", what, readSteps, 6*time.Second/tick)
		}
	}
	dom.readSteps = 0
	dom.down = true
	dom.advance(1300 * time.Millisecond)
	dom.down = false
	dom.advance(4700 * time.Millisecond)
	check("outage of 1.3 s", 12)
	dom.readSteps = 0
	dom.exited = member.Ranked(view(vms).VMs(), "feed/a", 1)[0].ID
	dom.advance(6 * time.Second)
	check("the reading VM exits", 12)
	dom.readSteps = 0
	dom.down = true
	dom.advance(3 * time.Second)
	if dom.readSteps < vms*int(time.Second/tick) {
		t.Errorf("in an outage of 3 s the VMs read for %d steps in all, want them to try to read the platform themselves", dom.readSteps)
	}
}

// TestVMsReadIfNoVMCanBeFollowed cuts the first VM off from the platform. The others then follow
// the second one. When that exits too, all must read the platform themselves, or else they would
// learn of no change.
func TestVMsReadIfNoVMCanBeFollowed(t *testing.T) {
	const vms = 10
	dom := newDomain(vms)
	ranked := member.Ranked(view(vms).VMs(), "feed/a", 2)
	dom.cutOff = ranked[0].ID
	dom.advance(3 * time.Second)
	dom.exited = ranked[1].ID
	dom.advance(2500 * time.Millisecond)
	for id, sel := range dom.sels {
		if id != dom.exited && !sel.Reading(dom.now) {
			t.Errorf("%s does not read the platform and follows %q", id, sel.Followed())
		}
	}
}

// TestExitedVMIsNotFollowed checks that a follower stops following and querying a VM as soon as it
// learns that the VM has exited, without waiting for silenceTimeout, or else it would learn of no
// change until then.
func TestExitedVMIsNotFollowed(t *testing.T) {
	sel, primary := newSelector(t)
	now, _ := run(sel, clock.At(time.Hour), 2*time.Second, map[string]time.Duration{primary: 0})
	sel.HandleVMExit(now, primary)
	if sel.Followed() == primary {
		t.Error("still follows a VM that has exited")
	}
	for _, snd := range sel.Tick(now, Query{}, 0) {
		if snd.To == primary {
			t.Error("still queries a VM that has exited")
		}
	}
}
