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
		for _, snd := range fol.Tick(now, Ask{}, time.Hour) {
			asks++
			if age, alive := contact[snd.To]; alive {
				fol.Answered(now.Add(time.Millisecond), snd.To, snd.Ask.Number, age)
			}
		}
	}
	return now, asks
}

func TestFollowsTheFirstOfItsDomain(t *testing.T) {
	fol, first := pair(t)
	now, asks := run(fol, clock.At(time.Hour), 3*time.Second, map[string]time.Duration{first: 100 * time.Millisecond})
	if fol.Reading() || fol.Followed() != first {
		t.Fatalf("follows %q, reading %v", fol.Followed(), fol.Reading())
	}
	if asks > 12 {
		t.Errorf("%d asks in 3 s", asks)
	}
	// The platform no longer answers the one that is followed, nor any other.
	stale := map[string]time.Duration{}
	for _, vmm := range view(5).VMs() {
		stale[vmm.ID] = 2 * time.Second
	}
	if _, _ = run(fol, now, time.Second, stale); !fol.Reading() {
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
	if snds := fol.Tick(now, Ask{}, 100*time.Millisecond); len(snds) > 0 || !fol.Reading() {
		t.Fatalf("the first VM asks %v", snds)
	}
	_, asks := run(fol, now, 3*time.Second, nil)
	if asks == 0 || !fol.Reading() {
		t.Errorf("%d asks while the platform does not answer, reading %v", asks, fol.Reading())
	}
}

// TestAnswersAreDatedByTheirAsk checks that the time on the way counts against
// the freshness of an answer.
func TestAnswersAreDatedByTheirAsk(t *testing.T) {
	fol, first := pair(t)
	now := clock.At(time.Hour)
	snds := fol.Tick(now, Ask{}, 0)
	if len(snds) != 1 || snds[0].To != first {
		t.Fatalf("got %v", snds)
	}
	sent, known := fol.Answered(now.Add(400*time.Millisecond), first, snds[0].Ask.Number, 0)
	if !known || sent != now {
		t.Errorf("dated %v, want when the ask was sent, %v", sent, now)
	}
	if _, again := fol.Answered(now.Add(500*time.Millisecond), first, snds[0].Ask.Number, 0); again {
		t.Error("an answer counts twice")
	}
}
