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
	// queryInterval is how often a follower asks what is new and how fresh it is.
	queryInterval = 300 * time.Millisecond
	// silenceTimeout is how long the VM that is followed may be silent.
	silenceTimeout = 700 * time.Millisecond
	// WatchTimeout is how long a reading VM lets the platform wait for a change.
	WatchTimeout = 700 * time.Millisecond
	// staleAge is how long a reading VM may have had no answer of the platform
	// until its followers read it themselves.
	staleAge = WatchTimeout + 350*time.Millisecond
	// freshAge is the same until a VM that reads for itself follows again.
	freshAge = WatchTimeout + 200*time.Millisecond
	// maxJitter spreads the VMs that begin to read at once.
	maxJitter = 200 * time.Millisecond
	// fallbackInterval is how often a VM that is cut off from the platform asks
	// others.
	fallbackInterval = 500 * time.Millisecond
	// silentPause is how long a VM that was silent is not asked again, and
	// stalePause how long one is not that the platform does not answer. Both
	// are spread by as much again.
	silentPause = 3 * time.Second
	stalePause  = 300 * time.Millisecond
	// candidateCount is the number of VMs of a failure domain that others follow.
	candidateCount = 2
	// standbyCount of a failure domain read the platform if they find no other VM to
	// follow for seekTime, the rest if they find none for longSeekTime. A short
	// outage of the platform, or the loss of the VM that reads, thus leaves most
	// VMs as they are.
	standbyCount     = 4
	standbyReadDelay = 250 * time.Millisecond
	otherReadDelay   = 700 * time.Millisecond
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
	// ranked has the first VMs of the failure domain in view.
	ranked []member.VM
	number uint64
	// followed is the ID of the VM that is followed; empty while there is none.
	// fresh is when it last answered with news that were not stale.
	followed string
	freshAt  clock.Instant
	// readFrom is from when the VM reads the platform itself, unless it follows
	// another by then.
	readFrom clock.Instant
	// queried is the VM that is asked: the one that is followed, or one that this
	// VM would rather follow. answered is when it last answered, or was first
	// asked.
	queried    string
	queriedAt  clock.Instant
	answeredAt clock.Instant
	// sent has when the asks were sent that may still be answered.
	sent map[uint64]clock.Instant
	// excluded has until when VMs are not followed.
	excluded map[string]clock.Instant
	jitter   time.Duration
}

// New returns a follower that begins by reading the platform itself.
func New(self member.VM, rnd *rand.Rand) *Follower {
	return &Follower{
		self: self, rnd: rnd, sent: make(map[uint64]clock.Instant), excluded: make(map[string]clock.Instant),
		jitter: time.Duration(rnd.Int64N(int64(maxJitter))),
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
	fol.ranked = member.Ranked(vie.Domain(fol.self.FailureDomain), "feed/"+fol.self.FailureDomain, standbyCount)
	for id := range fol.excluded {
		if _, listed := vie.VM(id); !listed {
			delete(fol.excluded, id)
		}
	}
}

// IsPrimary reports whether this VM is the one of its failure domain that reads
// for the others.
func (fol *Follower) IsPrimary() bool {
	return len(fol.ranked) > 0 && fol.ranked[0].ID == fol.self.ID
}

// readDelay returns how long the VM looks for another one to follow before it
// reads the platform itself.
func (fol *Follower) readDelay() time.Duration {
	isSelf := func(vmm member.VM) bool { return vmm.ID == fol.self.ID }
	switch at := slices.IndexFunc(fol.ranked, isSelf); {
	case at < 0:
		return otherReadDelay
	case at < candidateCount:
		return 0
	}
	return standbyReadDelay
}

// candidate returns the VM to follow, or nothing where this VM is to read.
func (fol *Follower) candidate(now clock.Instant) string {
	for _, vmm := range fol.ranked[:min(candidateCount, len(fol.ranked))] {
		if vmm.ID == fol.self.ID {
			return ""
		}
		if until, excluded := fol.excluded[vmm.ID]; !excluded || !now.Before(until) {
			return vmm.ID
		}
	}
	return ""
}

// Tick returns the asks that are due. held are the revisions that the VM holds,
// and contact is how long ago the platform last answered it, if it reads.
func (fol *Follower) Tick(now clock.Instant, held Query, contact time.Duration) []Send {
	if fol.queried != "" && now.Since(fol.answeredAt) > silenceTimeout+fol.jitter {
		fol.exclude(now, fol.queried, silentPause)
	}
	// While others are tried, the one that is followed is not asked.
	if fol.followed != "" && now.Since(fol.freshAt) > silenceTimeout+fol.jitter {
		fol.stopFollowing(now)
	}
	to := fol.candidate(now)
	switch {
	case to == "":
		fol.queried = ""
		if fol.followed != "" {
			fol.stopFollowing(now)
		}
		return fol.queryAnyVM(now, held, contact)
	case fol.queried != to:
		fol.answeredAt = now
	case now.Since(fol.queriedAt) < queryInterval:
		return nil
	}
	fol.queried = to
	return []Send{fol.query(now, to, held)}
}

// queryAnyVM asks another VM where this one has no answer of the platform.
func (fol *Follower) queryAnyVM(now clock.Instant, held Query, contact time.Duration) []Send {
	others := fol.view.VMs()
	if contact <= staleAge || len(others) < 2 || now.Since(fol.queriedAt) < fallbackInterval {
		return nil
	}
	to := others[fol.rnd.IntN(len(others))].ID
	if to == fol.self.ID {
		return nil
	}
	return []Send{fol.query(now, to, held)}
}

func (fol *Follower) query(now clock.Instant, to string, held Query) Send {
	fol.queriedAt = now
	fol.number++
	fol.dropOldQueries(now)
	fol.sent[fol.number] = now
	held.Number = fol.number
	return Send{To: to, Query: held}
}

// dropOldQueries drops asks whose answers would prove nothing any more.
func (fol *Follower) dropOldQueries(now clock.Instant) {
	for num, at := range fol.sent {
		if now.Since(at) > 2*time.Second {
			delete(fol.sent, num)
		}
	}
}

// exclude notes that a VM cannot be followed for a pause.
func (fol *Follower) exclude(now clock.Instant, id string, pause time.Duration) {
	fol.excluded[id] = now.Add(pause + time.Duration(fol.rnd.Int64N(int64(pause))))
	fol.queried = ""
	if fol.followed == id {
		fol.stopFollowing(now)
	}
}

// HandleVMExit takes note of a VM that has ended.
func (fol *Follower) HandleVMExit(now clock.Instant, id string) {
	if id == fol.queried || id == fol.followed {
		fol.exclude(now, id, silentPause)
	}
}

// stopFollowing ends the following of a VM.
func (fol *Follower) stopFollowing(now clock.Instant) {
	fol.followed = ""
	fol.readFrom = now.Add(fol.readDelay())
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
	if from != fol.queried {
		return sent, true
	}
	if contact > staleAge+fol.jitter {
		fol.exclude(now, from, stalePause)
		return sent, true
	}
	fol.answeredAt = now
	if contact <= freshAge {
		fol.followed = from
	}
	if fol.followed == from {
		fol.freshAt = now
	}
	return sent, true
}
