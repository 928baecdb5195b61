// Package feed decides how a VM learns what the platform's store holds: either it reads the
// platform itself, or it follows another VM of its failure domain, which passes on what it reads.
package feed

import (
	"math/rand/v2"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

const (
	// queryInterval is how often a follower queries the followed VM for changes and for the
	// age of what that VM holds.
	queryInterval = 300 * time.Millisecond
	// silenceTimeout is how long the followed VM may fail to answer before it is no longer
	// followed.
	silenceTimeout = 700 * time.Millisecond
	// WatchTimeout is how long a VM that reads the platform lets a watch of the configuration
	// wait for a change. While nothing changes, the platform answers only that often.
	WatchTimeout = 700 * time.Millisecond
	// staleAge is how long ago the platform may have last answered the followed VM. If it
	// is longer ago, the followers of that VM read the platform themselves.
	staleAge = WatchTimeout + 350*time.Millisecond
	// freshAge is how long ago the platform may have last answered a VM that another one
	// begins to follow. A VM whose last answer is between freshAge and staleAge old keeps its
	// followers and gets no new ones.
	freshAge = WatchTimeout + 200*time.Millisecond
	// maxJitter bounds the random part of the time-outs of a VM, so that the VMs of a
	// failure domain do not begin to read all at once.
	maxJitter = 200 * time.Millisecond
	// fallbackInterval is how often a VM that cannot reach the platform queries another VM.
	fallbackInterval = 500 * time.Millisecond
	// silentPause is how long a VM that did not answer, or has exited, is neither followed nor
	// queried as the one to follow. stalePause is the same for a VM that the platform has not
	// answered for staleAge. Each is extended by a random time of up to the same length.
	silentPause = 3 * time.Second
	stalePause  = 300 * time.Millisecond
	// candidateCount is the number of VMs of a failure domain that others may follow.
	candidateCount = 2
	// Where they find no VM to follow, the candidates of a failure domain read the platform
	// at once, the others of its first standbyCount VMs after standbyReadDelay, and the rest
	// after otherReadDelay. A short outage of the platform, or the loss of the VM that reads,
	// thus makes only a few VMs read.
	standbyCount     = 4
	standbyReadDelay = 250 * time.Millisecond
	otherReadDelay   = 700 * time.Millisecond
	// startReadDelay is how long a VM that has just started looks for one to follow. It is shorter,
	// since the VM cannot serve without a configuration.
	startReadDelay = 400 * time.Millisecond
)

// Query asks another VM, usually the followed one, for the changes since the revisions that the
// sender holds.
type Query struct {
	// Number identifies the Query. It grows with every Query of the sender.
	Number uint64
	// Config is the version of the configuration, and Targets and Fleet are the revisions that the sender holds.
	Config, Targets, Fleet uint64
	// KnowsEras is set if the sender distinguishes the eras of the store; see package revision.
	KnowsEras bool
	// KnowsDrains is set if the sender keeps to the drains of failure domains and wants to be told them.
	KnowsDrains bool
	// Starting is set if the sender has just started and asks several VMs what the store may have lost. It knows bootstrap.Newcomer.
	Starting bool
	// KnowsDepartures is set if such a sender also wants to be told which targets have left.
	KnowsDepartures bool
}

// Send is a Query that has to be sent to the VM with the ID To.
type Send struct {
	To    string
	Query Query
}

// Selector decides which VM its own VM follows, if any. It is not safe for concurrent use.
type Selector struct {
	self member.VM
	rnd  *rand.Rand
	view member.View
	// ranked lists the first standbyCount VMs of the failure domain.
	ranked []member.VM
	number uint64
	// followed is the ID of the followed VM, empty if there is none. lastUsableAt is when that
	// VM last answered without being stale.
	followed     string
	lastUsableAt clock.Instant
	// started is set once the VM knows a list of VMs, and sought once it knows one that it may follow.
	started, sought bool
	// readFrom is when this VM begins to read the platform itself, unless it follows
	// another VM by then.
	readFrom clock.Instant
	// queried is the ID of the VM that is being queried: the followed one, or one that this VM
	// prefers to follow. answeredAt is when that VM last answered, or was first queried, and
	// queriedAt when the last Query was sent to any VM.
	queried    string
	queriedAt  clock.Instant
	answeredAt clock.Instant
	// sent maps the numbers of unanswered queries to when they were sent.
	sent map[uint64]clock.Instant
	// excluded maps IDs of VMs to the time until which they are not followed.
	excluded map[string]clock.Instant
	// jitter is a random time up to maxJitter, drawn once. It extends silenceTimeout and
	// staleAge where they decide whether another VM can be followed.
	jitter time.Duration
}

// New returns a selector of a VM that knows no other VM yet.
func New(self member.VM, rnd *rand.Rand) *Selector {
	return &Selector{
		self: self, rnd: rnd, sent: make(map[uint64]clock.Instant), excluded: make(map[string]clock.Instant),
		jitter: time.Duration(rnd.Int64N(int64(maxJitter))),
	}
}

// Reading reports whether the VM has to read the platform itself. Before it knows the list of VMs it has
// to read that alone.
func (sel *Selector) Reading(now clock.Instant) bool {
	return sel.started && sel.followed == "" && !now.Before(sel.readFrom)
}

// Followed returns the ID of the followed VM, or "" if there is none.
func (sel *Selector) Followed() string { return sel.followed }

// SetView replaces the list of VMs. The key by which it ranks them, "feed/" and the failure domain, is
// also in Machine.monitored of core/gateway, which must find the same first VM.
func (sel *Selector) SetView(now clock.Instant, vie member.View) {
	sel.view = vie
	sel.ranked = member.Ranked(vie.Domain(sel.self.FailureDomain), "feed/"+sel.self.FailureDomain, standbyCount)
	for id := range sel.excluded {
		if _, listed := vie.VM(id); !listed {
			delete(sel.excluded, id)
		}
	}
	found := !sel.sought && sel.candidate(now) != ""
	if !sel.started || found && now.Before(sel.readFrom) {
		// When all VMs start for the first time, the list is empty at first.
		sel.readFrom = now.Add(startReadDelay + sel.jitter)
	}
	sel.started, sel.sought = true, sel.sought || found
	if sel.isCandidate() && now.Before(sel.readFrom) {
		sel.readFrom = now // Others expect this VM to read.
	}
}

// isCandidate reports whether other VMs may follow this one.
func (sel *Selector) isCandidate() bool {
	for _, vmm := range sel.ranked[:min(candidateCount, len(sel.ranked))] {
		if vmm.ID == sel.self.ID {
			return true
		}
	}
	return false
}

// HandleUnasked processes an update from a VM that was not queried for it. If it is the one that this VM
// wants to follow, that one can answer by now: the next Tick queries it, and this VM waits for the answer.
func (sel *Selector) HandleUnasked(now clock.Instant, from string) {
	if sel.followed != "" || from != sel.queried {
		return
	}
	sel.queriedAt = clock.Instant{}
	if now.Before(sel.readFrom) {
		sel.readFrom = clock.Later(sel.readFrom, now.Add(standbyReadDelay))
	}
}

// IsPrimary reports whether this VM ranks first in its failure domain and thus reads the platform
// for the other VMs.
func (sel *Selector) IsPrimary() bool {
	return len(sel.ranked) > 0 && sel.ranked[0].ID == sel.self.ID
}

// readDelay returns how long this VM looks for another VM to follow before it reads the platform
// itself.
func (sel *Selector) readDelay() time.Duration {
	isSelf := func(vmm member.VM) bool { return vmm.ID == sel.self.ID }
	switch at := slices.IndexFunc(sel.ranked, isSelf); {
	case at < 0:
		return otherReadDelay
	case at < candidateCount:
		return 0
	}
	return standbyReadDelay
}

// candidate returns the ID of the VM to follow, or "" if this VM has to read the platform itself.
func (sel *Selector) candidate(now clock.Instant) string {
	for _, vmm := range sel.ranked[:min(candidateCount, len(sel.ranked))] {
		if vmm.ID == sel.self.ID {
			return ""
		}
		if until, excluded := sel.excluded[vmm.ID]; !excluded || !now.Before(until) {
			return vmm.ID
		}
	}
	return ""
}

// Tick returns the queries that are due. held contains the revisions that this VM holds, and
// contact is how long ago the platform last answered a read of the configuration by this VM.
func (sel *Selector) Tick(now clock.Instant, held Query, contact time.Duration) []Send {
	if sel.queried != "" && now.Since(sel.answeredAt) > silenceTimeout+sel.jitter {
		sel.exclude(now, sel.queried, silentPause)
	}
	// While another VM is queried, the followed one is not, so it has to be checked apart.
	if sel.followed != "" && now.Since(sel.lastUsableAt) > silenceTimeout+sel.jitter {
		sel.stopFollowing(now)
	}
	to := sel.candidate(now)
	switch {
	case to == "":
		sel.queried = ""
		if sel.followed != "" {
			sel.stopFollowing(now)
		}
		return sel.queryAnyVM(now, held, contact)
	case sel.queried != to:
		sel.answeredAt = now
	case now.Since(sel.queriedAt) < queryInterval:
		return nil
	}
	sel.queried = to
	return []Send{sel.query(now, to, held)}
}

// queryAnyVM queries a random VM if the platform has not answered this VM for more than staleAge.
func (sel *Selector) queryAnyVM(now clock.Instant, held Query, contact time.Duration) []Send {
	others := sel.view.VMs()
	if contact <= staleAge || len(others) < 2 || now.Since(sel.queriedAt) < fallbackInterval {
		return nil
	}
	to := others[sel.rnd.IntN(len(others))].ID
	if to == sel.self.ID {
		return nil
	}
	return []Send{sel.query(now, to, held)}
}

// Ask returns a query to a VM that is not to be followed. Its answer is handled like any other.
func (sel *Selector) Ask(now clock.Instant, to string, held Query) Send {
	return sel.numbered(now, to, held)
}

func (sel *Selector) query(now clock.Instant, to string, held Query) Send {
	sel.queriedAt = now
	return sel.numbered(now, to, held)
}

// numbered gives a query the next number, and records when it is sent.
func (sel *Selector) numbered(now clock.Instant, to string, held Query) Send {
	sel.number++
	sel.dropOldQueries(now)
	sel.sent[sel.number] = now
	held.Number, held.KnowsEras = sel.number, true
	return Send{To: to, Query: held}
}

// dropOldQueries forgets queries that were sent more than 2 s ago. That is longer than silenceTimeout
// with its jitter, after which a VM that does not answer is given up.
func (sel *Selector) dropOldQueries(now clock.Instant) {
	for num, at := range sel.sent {
		if now.Since(at) > 2*time.Second {
			delete(sel.sent, num)
		}
	}
}

// exclude keeps a VM from being followed for a pause, plus a random time of up to the same length.
func (sel *Selector) exclude(now clock.Instant, id string, pause time.Duration) {
	sel.excluded[id] = now.Add(pause + time.Duration(sel.rnd.Int64N(int64(pause))))
	sel.queried = ""
	if sel.followed == id {
		sel.stopFollowing(now)
	}
}

// HandleVMExit processes that a VM has exited: if it is the followed or the queried one, it is
// excluded.
func (sel *Selector) HandleVMExit(now clock.Instant, id string) {
	if id == sel.queried || id == sel.followed {
		sel.exclude(now, id, silentPause)
	}
}

// stopFollowing stops following the current VM, if any. This VM reads the platform itself after readDelay.
func (sel *Selector) stopFollowing(now clock.Instant) {
	sel.followed = ""
	sel.readFrom = now.Add(sel.readDelay())
}

// HandleUpdate processes the answer to the Query with the given number. contact is how long ago the
// platform last answered the VM from. HandleUpdate returns when the Query was sent: the ages in
// the answer are counted from that instant, so that network delay makes them greater, never less.
// known is false if the Query is not known, or was answered before.
func (sel *Selector) HandleUpdate(now clock.Instant, from string, number uint64, contact time.Duration) (sent clock.Instant, known bool) {
	sent, found := sel.sent[number]
	if !found {
		return clock.Instant{}, false
	}
	delete(sel.sent, number)
	if from != sel.queried {
		return sent, true
	}
	if contact > staleAge+sel.jitter {
		sel.exclude(now, from, stalePause)
		return sent, true
	}
	sel.answeredAt = now
	if contact <= freshAge {
		sel.followed = from
	}
	if sel.followed == from {
		sel.lastUsableAt = now
	}
	return sent, true
}
