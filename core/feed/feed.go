// Package feed decides from whom a VM learns what the platform holds: it reads
// the platform itself, or follows another VM of its failure domain that does.
package feed

import (
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

const (
	// askInterval is how often a follower asks what is new and how fresh it is.
	askInterval = 300 * time.Millisecond
	// silentTime is how long the VM that is followed may be silent.
	silentTime = 700 * time.Millisecond
	// WatchTime is how long a reading VM lets the platform wait for a change.
	WatchTime = 700 * time.Millisecond
	// lostTime is how long a reading VM may have had no answer of the platform
	// until its followers read it themselves.
	lostTime = WatchTime + 350*time.Millisecond
	// regainedTime is the same until a VM that reads for itself follows again.
	regainedTime = WatchTime + 200*time.Millisecond
	// spreadTime spreads the VMs that begin to read at once.
	spreadTime = 200 * time.Millisecond
	// helpInterval is how often a VM that is cut off from the platform asks
	// others.
	helpInterval = 500 * time.Millisecond
	// failedTime is how long a VM that failed is not followed.
	failedTime = 3 * time.Second
	// candidates is the number of VMs of a failure domain that others follow.
	candidates = 2
)

// Ask asks the VM that is followed what is new since some revisions.
type Ask struct {
	Number uint64
	// Config, Targets and Fleet are the revisions that the asking VM holds.
	Config, Targets, Fleet uint64
}

// Send sends an Ask to the VM with an ID.
type Send struct {
	To  string
	Ask Ask
}

// Follower decides whom its VM follows. It is not safe for concurrent use.
type Follower struct {
	self   member.VM
	rnd    *rand.Rand
	view   member.View
	number uint64
	// followed is the ID of the VM that is followed; empty while the VM reads
	// the platform itself.
	followed string
	// tried is the VM that a reading VM would rather follow.
	tried    string
	asked    clock.Instant
	answered clock.Instant
	// sent has when the asks were sent that may still be answered.
	sent map[uint64]clock.Instant
	// failed has until when VMs are not followed.
	failed map[string]clock.Instant
	spread time.Duration
}

// New returns a follower that begins by reading the platform itself.
func New(self member.VM, rnd *rand.Rand) *Follower {
	return &Follower{
		self: self, rnd: rnd, sent: make(map[uint64]clock.Instant), failed: make(map[string]clock.Instant),
		spread: time.Duration(rnd.Int64N(int64(spreadTime))),
	}
}

// Reading reports whether the VM is to read the platform itself.
func (fol *Follower) Reading() bool { return fol.followed == "" }

// Followed returns the ID of the VM that is followed, or nothing.
func (fol *Follower) Followed() string { return fol.followed }

// SetView takes a newer list of the VMs.
func (fol *Follower) SetView(vie member.View) { fol.view = vie }

// First reports whether this VM is the one of its failure domain that reads
// for the others.
func (fol *Follower) First() bool {
	first := fol.ranked()
	return len(first) > 0 && first[0].ID == fol.self.ID
}

func (fol *Follower) ranked() []member.VM {
	return member.Ranked(fol.view.Domain(fol.self.FailureDomain), "feed/"+fol.self.FailureDomain, candidates)
}

// candidate returns the VM to follow, or nothing where this VM is to read.
func (fol *Follower) candidate(now clock.Instant) string {
	for _, vmm := range fol.ranked() {
		if vmm.ID == fol.self.ID {
			return ""
		}
		if until, failed := fol.failed[vmm.ID]; !failed || !now.Before(until) {
			return vmm.ID
		}
	}
	return ""
}

// Tick returns the asks that are due. held are the revisions that the VM holds,
// and contact is how long ago the platform last answered it, if it reads.
func (fol *Follower) Tick(now clock.Instant, held Ask, contact time.Duration) []Send {
	if fol.followed != "" && now.Since(fol.answered) > silentTime+fol.spread {
		fol.fail(now, fol.followed)
	}
	to := fol.candidate(now)
	if fol.followed != "" && fol.followed != to && to != "" {
		fol.followed = "" // The ranking has changed; read until the new one answers.
	}
	if to == "" {
		fol.followed, fol.tried = "", ""
		return fol.seekHelp(now, held, contact)
	}
	if fol.tried != to {
		fol.answered = now
	} else if now.Since(fol.asked) < askInterval {
		return nil
	}
	if fol.followed == "" && fol.tried == to && now.Since(fol.answered) > silentTime+fol.spread {
		fol.fail(now, to)
		return nil
	}
	fol.tried = to
	return []Send{fol.ask(now, to, held)}
}

// seekHelp asks another VM where this one has no answer of the platform.
func (fol *Follower) seekHelp(now clock.Instant, held Ask, contact time.Duration) []Send {
	others := fol.view.VMs()
	if contact <= lostTime || len(others) < 2 || now.Since(fol.asked) < helpInterval {
		return nil
	}
	to := others[fol.rnd.IntN(len(others))].ID
	if to == fol.self.ID {
		return nil
	}
	return []Send{fol.ask(now, to, held)}
}

func (fol *Follower) ask(now clock.Instant, to string, held Ask) Send {
	fol.asked = now
	fol.number++
	fol.forget(now)
	fol.sent[fol.number] = now
	held.Number = fol.number
	return Send{To: to, Ask: held}
}

// forget drops asks whose answers would prove nothing any more.
func (fol *Follower) forget(now clock.Instant) {
	for num, at := range fol.sent {
		if now.Since(at) > 2*time.Second {
			delete(fol.sent, num)
		}
	}
}

func (fol *Follower) fail(now clock.Instant, id string) {
	fol.failed[id] = now.Add(failedTime + time.Duration(fol.rnd.Int64N(int64(failedTime))))
	fol.followed = ""
	fol.tried = ""
}

// Answered takes the answer to the ask of a number: how long ago the platform
// last answered the other VM. It returns when the ask was sent, from which what
// the other VM says of ages is counted.
func (fol *Follower) Answered(now clock.Instant, from string, number uint64, contact time.Duration) (sent clock.Instant, known bool) {
	sent, found := fol.sent[number]
	if !found {
		return clock.Instant{}, false
	}
	delete(fol.sent, number)
	if from != fol.tried {
		return sent, true
	}
	switch {
	case contact > lostTime+fol.spread:
		fol.fail(now, from)
	case fol.followed == from:
		fol.answered = now
	case contact <= regainedTime:
		fol.followed = from
		fol.answered = now
	}
	return sent, true
}
