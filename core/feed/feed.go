// Package feed decides from whom a VM learns what the platform holds: it reads
// the platform itself, or follows another VM of its failure domain that does.
package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

const (
	// askInterval is how often a follower asks what is new and how fresh it is.
	askInterval = 300 * time.Millisecond
	// silentTime is how long the VM that is followed may be silent.
	silentTime = 700 * time.Millisecond
	// WatchTimeout is how long a reading VM lets the platform wait for a change.
	WatchTimeout = 700 * time.Millisecond
	// lostTime is how long a reading VM may have had no answer of the platform
	// until its followers read it themselves.
	lostTime = WatchTimeout + 350*time.Millisecond
	// regainedTime is the same until a VM that reads for itself follows again.
	regainedTime = WatchTimeout + 200*time.Millisecond
	// spreadTime spreads the VMs that begin to read at once.
	spreadTime = 200 * time.Millisecond
	// helpInterval is how often a VM that is cut off from the platform asks
	// others.
	helpInterval = 500 * time.Millisecond
	// silentPause is how long a VM that was silent is not asked again, and
	// stalePause how long one is not that the platform does not answer. Both
	// are spread by as much again.
	silentPause = 3 * time.Second
	stalePause  = 300 * time.Millisecond
	// candidates is the number of VMs of a failure domain that others follow.
	candidates = 2
	// standIns of a failure domain read the platform if they find no other VM to
	// follow for seekTime, the rest if they find none for longSeekTime. A short
	// outage of the platform, or the loss of the VM that reads, thus leaves most
	// VMs as they are.
	standIns     = 4
	seekTime     = 250 * time.Millisecond
	longSeekTime = 700 * time.Millisecond
)

// Query asks the VM that is followed what is new since some revisions.
type Query struct {
	Number uint64
	// Config, Targets and Fleet are the revisions that the asking VM holds.
	Config, Targets, Fleet uint64
}

// Send sends an Ask to the VM with an ID.
type Send struct {
	To    string
	Query Query
}

// Follower decides whom its VM follows. It is not safe for concurrent use.
type Follower struct {
	self member.VM
	rnd  *rand.Rand
	view member.View
	// ranks has the first VMs of the failure domain in view.
	ranks  []member.VM
	number uint64
	// followed is the ID of the VM that is followed; empty while there is none.
	// fresh is when it last answered with news that were not stale.
	followed string
	fresh    clock.Instant
	// readFrom is from when the VM reads the platform itself, unless it follows
	// another by then.
	readFrom clock.Instant
	// tried is the VM that is asked: the one that is followed, or one that this
	// VM would rather follow. answered is when it last answered, or was first
	// asked.
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
func (fol *Follower) Reading(now clock.Instant) bool {
	return fol.followed == "" && !now.Before(fol.readFrom)
}

// Followed returns the ID of the VM that is followed, or nothing.
func (fol *Follower) Followed() string { return fol.followed }

// SetView takes a newer list of the VMs.
func (fol *Follower) SetView(vie member.View) {
	fol.view = vie
	fol.ranks = member.Ranked(vie.Domain(fol.self.FailureDomain), "feed/"+fol.self.FailureDomain, standIns)
	for id := range fol.failed {
		if _, listed := vie.VM(id); !listed {
			delete(fol.failed, id)
		}
	}
}

// IsPrimary reports whether this VM is the one of its failure domain that reads
// for the others.
func (fol *Follower) IsPrimary() bool {
	return len(fol.ranks) > 0 && fol.ranks[0].ID == fol.self.ID
}

// patience returns how long the VM looks for another one to follow before it
// reads the platform itself.
func (fol *Follower) patience() time.Duration {
	isSelf := func(vmm member.VM) bool { return vmm.ID == fol.self.ID }
	switch at := slices.IndexFunc(fol.ranks, isSelf); {
	case at < 0:
		return longSeekTime
	case at < candidates:
		return 0
	}
	return seekTime
}

// candidate returns the VM to follow, or nothing where this VM is to read.
func (fol *Follower) candidate(now clock.Instant) string {
	for _, vmm := range fol.ranks[:min(candidates, len(fol.ranks))] {
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
func (fol *Follower) Tick(now clock.Instant, held Query, contact time.Duration) []Send {
	if fol.tried != "" && now.Since(fol.answered) > silentTime+fol.spread {
		fol.fail(now, fol.tried, silentPause)
	}
	// While others are tried, the one that is followed is not asked.
	if fol.followed != "" && now.Since(fol.fresh) > silentTime+fol.spread {
		fol.lose(now)
	}
	to := fol.candidate(now)
	switch {
	case to == "":
		fol.tried = ""
		if fol.followed != "" {
			fol.lose(now)
		}
		return fol.seekHelp(now, held, contact)
	case fol.tried != to:
		fol.answered = now
	case now.Since(fol.asked) < askInterval:
		return nil
	}
	fol.tried = to
	return []Send{fol.ask(now, to, held)}
}

// seekHelp asks another VM where this one has no answer of the platform.
func (fol *Follower) seekHelp(now clock.Instant, held Query, contact time.Duration) []Send {
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

func (fol *Follower) ask(now clock.Instant, to string, held Query) Send {
	fol.asked = now
	fol.number++
	fol.forget(now)
	fol.sent[fol.number] = now
	held.Number = fol.number
	return Send{To: to, Query: held}
}

// forget drops asks whose answers would prove nothing any more.
func (fol *Follower) forget(now clock.Instant) {
	for num, at := range fol.sent {
		if now.Since(at) > 2*time.Second {
			delete(fol.sent, num)
		}
	}
}

// fail notes that a VM cannot be followed for a pause.
func (fol *Follower) fail(now clock.Instant, id string, pause time.Duration) {
	fol.failed[id] = now.Add(pause + time.Duration(fol.rnd.Int64N(int64(pause))))
	fol.tried = ""
	if fol.followed == id {
		fol.lose(now)
	}
}

// HandleVMExit takes note of a VM that has ended.
func (fol *Follower) HandleVMExit(now clock.Instant, id string) {
	if id == fol.tried || id == fol.followed {
		fol.fail(now, id, silentPause)
	}
}

// lose ends the following of a VM.
func (fol *Follower) lose(now clock.Instant) {
	fol.followed = ""
	fol.readFrom = now.Add(fol.patience())
}

// HandleUpdate takes the answer to the ask of a number: how long ago the platform
// last answered the other VM. It returns when the ask was sent, from which what
// the other VM says of ages is counted.
func (fol *Follower) HandleUpdate(now clock.Instant, from string, number uint64, contact time.Duration) (sent clock.Instant, known bool) {
	sent, found := fol.sent[number]
	if !found {
		return clock.Instant{}, false
	}
	delete(fol.sent, number)
	if from != fol.tried {
		return sent, true
	}
	if contact > lostTime+fol.spread {
		fol.fail(now, from, stalePause)
		return sent, true
	}
	fol.answered = now
	if contact <= regainedTime {
		fol.followed = from
	}
	if fol.followed == from {
		fol.fresh = now
	}
	return sent, true
}
