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

// pair returns a follower that is not the first of its failure domain, and the
// ID of the one that is.
func pair(t *testing.T) (fol *Follower, first string) {
	t.Helper()
	vie := view(5)
	first = member.Ranked(vie.VMs(), "feed/a", 1)[0].ID
	for _, vmm := range vie.VMs() {
		if vmm.ID != first && vmm.ID != member.Ranked(vie.VMs(), "feed/a", 2)[1].ID {
			fol = New(vmm, rand.New(rand.NewPCG(1, 1)))
			fol.SetView(vie)
			return fol, first
		}
	}
	t.Fatal("no follower")
	return nil, ""
}

const tick = 50 * time.Millisecond

// run steps the follower and answers its asks to the given VMs.
func run(fol *Follower, now clock.Instant, dur time.Duration, contact map[string]time.Duration) (clock.Instant, int) {
	asks := 0
	for end := now.Add(dur); now.Before(end); now = now.Add(tick) {
		for _, snd := range fol.Tick(now, Query{}, time.Hour) {
			asks++
			if age, alive := contact[snd.To]; alive {
				fol.HandleUpdate(now.Add(time.Millisecond), snd.To, snd.Query.Number, age)
			}
		}
	}
	return now, asks
}

func TestFollowsTheFirstOfItsDomain(t *testing.T) {
	fol, first := pair(t)
	now, asks := run(fol, clock.At(time.Hour), 3*time.Second, map[string]time.Duration{first: 100 * time.Millisecond})
	if fol.Reading(now) || fol.Followed() != first {
		t.Fatalf("follows %q, reading %v", fol.Followed(), fol.Reading(now))
	}
	if asks > 12 {
		t.Errorf("%d asks in 3 s", asks)
	}
	// The platform no longer answers the one that is followed, nor any other.
	stale := map[string]time.Duration{}
	for _, vmm := range view(5).VMs() {
		stale[vmm.ID] = 2 * time.Second
	}
	if now, _ = run(fol, now, time.Second, stale); !fol.Reading(now) {
		t.Error("follows a VM that the platform does not answer")
	}
}

func TestReadsWhereTheFirstIsSilent(t *testing.T) {
	fol, first := pair(t)
	now, _ := run(fol, clock.At(time.Hour), 2*time.Second, map[string]time.Duration{first: 0})
	now, _ = run(fol, now, 1200*time.Millisecond, nil)
	if fol.Followed() == first {
		t.Fatal("still follows a silent VM")
	}
	// It follows again once somebody answers.
	run(fol, now, 10*time.Second, map[string]time.Duration{first: 0})
	if fol.Followed() != first {
		t.Errorf("follows %q once %q answers again", fol.Followed(), first)
	}
}

func TestFirstReadsAndSeeksHelpWhenCutOff(t *testing.T) {
	vie := view(5)
	self := member.Ranked(vie.VMs(), "feed/a", 1)[0]
	fol := New(self, rand.New(rand.NewPCG(1, 1)))
	fol.SetView(vie)
	now := clock.At(time.Hour)
	if snds := fol.Tick(now, Query{}, 100*time.Millisecond); len(snds) > 0 || !fol.Reading(now) {
		t.Fatalf("the first VM asks %v", snds)
	}
	_, asks := run(fol, now, 3*time.Second, nil)
	if asks == 0 || !fol.Reading(now) {
		t.Errorf("%d asks while the platform does not answer, reading %v", asks, fol.Reading(now))
	}
}

// TestAnswersAreDatedByTheirAsk checks that the time on the way counts against
// the freshness of an answer.
func TestAnswersAreDatedByTheirAsk(t *testing.T) {
	fol, first := pair(t)
	now := clock.At(time.Hour)
	snds := fol.Tick(now, Query{}, 0)
	if len(snds) != 1 || snds[0].To != first {
		t.Fatalf("got %v", snds)
	}
	sent, known := fol.HandleUpdate(now.Add(400*time.Millisecond), first, snds[0].Query.Number, 0)
	if !known || sent != now {
		t.Errorf("dated %v, want when the ask was sent, %v", sent, now)
	}
	if _, again := fol.HandleUpdate(now.Add(500*time.Millisecond), first, snds[0].Query.Number, 0); again {
		t.Error("an answer counts twice")
	}
}

// crowd is a failure domain whose VMs follow and read.
type crowd struct {
	now  clock.Instant
	fols map[string]*Follower
	// contact has when the platform last answered each VM.
	contact map[string]clock.Instant
	down    bool
	// dead is the VM that answers nothing, and refused the one that the platform
	// does not answer.
	dead, refused string
	// reads counts the VMs that read, by steps.
	reads int
}

func newCrowd(cnt int) *crowd {
	crw := &crowd{now: clock.At(time.Hour), fols: make(map[string]*Follower), contact: make(map[string]clock.Instant)}
	vie := view(cnt)
	for num, vmm := range vie.VMs() {
		fol := New(vmm, rand.New(rand.NewPCG(uint64(num), 1)))
		fol.SetView(vie)
		crw.fols[vmm.ID] = fol
		crw.contact[vmm.ID] = crw.now
	}
	return crw
}

// play passes time. Watches that wait are answered every WatchTime.
func (crw *crowd) play(dur time.Duration) {
	for end := crw.now.Add(dur); crw.now.Before(end); crw.now = crw.now.Add(tick) {
		for id, fol := range crw.fols {
			if id == crw.dead {
				continue
			}
			if fol.Reading(crw.now) {
				crw.reads++
				if !crw.down && id != crw.refused && crw.now.Since(crw.contact[id]) >= WatchTimeout {
					crw.contact[id] = crw.now
				}
			}
			for _, snd := range fol.Tick(crw.now, Query{}, crw.now.Since(crw.contact[id])) {
				if snd.To != crw.dead {
					fol.HandleUpdate(crw.now, snd.To, snd.Query.Number, crw.now.Since(crw.contact[snd.To]))
				}
			}
		}
	}
}

// TestShortOutageMakesFewVMsRead takes the platform away for a moment, and then
// the VM that reads.
func TestShortOutageMakesFewVMsRead(t *testing.T) {
	const vms = 30
	crw := newCrowd(vms)
	crw.play(3 * time.Second)
	// most is how many times a VM may read for a step, on average, in 6 s.
	check := func(what string, most float64) {
		t.Helper()
		if reads := float64(crw.reads) / vms; reads > most {
			t.Errorf("%s: each VM reads for %.1f of %d steps", what, reads, 6*time.Second/tick)
		}
	}
	crw.reads = 0
	crw.down = true
	crw.play(1300 * time.Millisecond)
	crw.down = false
	crw.play(4700 * time.Millisecond)
	check("outage of 1.3 s", 12)
	crw.reads = 0
	crw.dead = member.Ranked(view(vms).VMs(), "feed/a", 1)[0].ID
	crw.play(6 * time.Second)
	check("the reading VM ends", 12)
	crw.reads = 0
	crw.down = true
	crw.play(3 * time.Second)
	if crw.reads < vms*int(time.Second/tick) {
		t.Errorf("in an outage of 3 s the VMs read for %d steps in all, want them to look for a way of their own", crw.reads)
	}
}

// TestVMsReadWhereNobodyCanBeFollowed has the platform refuse the first VM while
// the second one, which the others follow then, ends.
func TestVMsReadWhereNobodyCanBeFollowed(t *testing.T) {
	const vms = 10
	crw := newCrowd(vms)
	first := member.Ranked(view(vms).VMs(), "feed/a", 2)
	crw.refused = first[0].ID
	crw.play(3 * time.Second)
	crw.dead = first[1].ID
	crw.play(2500 * time.Millisecond)
	for id, fol := range crw.fols {
		if id != crw.dead && !fol.Reading(crw.now) {
			t.Errorf("%s follows %q, which has ended", id, fol.Followed())
		}
	}
}

// TestEndedVMIsLeftAtOnce tells a follower that the VM that it follows has ended.
func TestEndedVMIsLeftAtOnce(t *testing.T) {
	fol, first := pair(t)
	now, _ := run(fol, clock.At(time.Hour), 2*time.Second, map[string]time.Duration{first: 0})
	fol.HandleVMExit(now, first)
	if fol.Followed() == first {
		t.Error("follows a VM that has ended")
	}
	for _, snd := range fol.Tick(now, Query{}, 0) {
		if snd.To == first {
			t.Error("asks a VM that has ended")
		}
	}
}
