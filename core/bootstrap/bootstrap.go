// Package bootstrap decides when a VM that has just started may rely on the platform's store. A store that was restored from
// a copy shows what has since been replaced, such as a configuration with a withdrawn key. That it shows no other VM proves
// nothing either, since its list of VMs is as old as the rest. So a VM that starts relies on it only by a proof; see Outcome.
package bootstrap

import (
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// askInterval is the time between two rounds of questions, and askCount how many VMs are asked in each. Once nobody is
	// known that could tell more, the rounds are longAskInterval apart.
	askInterval     = 100 * time.Millisecond
	longAskInterval = 400 * time.Millisecond
	askCount        = 8
	// silentTime is how long a VM may take to answer until it counts as silent.
	silentTime = 300 * time.Millisecond
	// searchTime is how long a VM looks for one that knows more. It is shorter than the time for which callers are queued at
	// a VM that has just started.
	searchTime = 400 * time.Millisecond
)

// Outcome is what proves that a VM may rely on the store.
type Outcome string

// The outcomes. Unsettled is that of a VM that may not rely on the store yet.
const (
	Unsettled Outcome = ""
	// NeverRestored: the store has never been restored.
	NeverRestored Outcome = "neverRestored"
	// FirstStart: the whole fleet starts for the first time, as the settings say, so that no configuration was in force before.
	FirstStart Outcome = "firstStart"
	// Answered: a VM that relies on the store in its present era has told what it holds.
	Answered Outcome = "answered"
	// Recorded: a VM that relied on the store has recorded there, in its present era, that it holds the newest configuration.
	Recorded Outcome = "recorded"
	// Rewritten: the operator has written a configuration since the store was restored.
	Rewritten Outcome = "rewritten"
	// Waited: operators had the time to write again what the store has lost.
	Waited Outcome = "waited"
)

// Limits bound how long a VM that has no proof waits.
type Limits struct {
	// Silence is how long a VM that does not answer is taken for one that may know more.
	Silence time.Duration
	// Rewrite is how long after a restore operators may take to write again what the store has lost.
	Rewrite time.Duration
}

// Newcomer answers the query of a VM that has just started: so has the sender, which knows no more than the store.
type Newcomer struct{}

// Check finds out whether its VM may rely on the store. It is not safe for concurrent use.
type Check struct {
	rnd     *rand.Rand
	outcome Outcome
	// searched is set once nobody is known that could tell more.
	searched bool
	// began is when the first question was due, and askedAt when the last round was sent.
	began, askedAt clock.Moment
	// waiting holds when VMs were asked that have not answered since.
	waiting map[string]clock.Instant
	// newcomers holds the VMs that know no more than the store.
	newcomers map[string]bool
}

// New returns the check of a VM that has just started, or that learns of a later restore before its check has ended.
func New(rnd *rand.Rand) *Check {
	return &Check{rnd: rnd, waiting: make(map[string]clock.Instant), newcomers: make(map[string]bool)}
}

// Outcome returns what proves that the VM may rely on the store, or Unsettled.
func (chk *Check) Outcome() Outcome { return chk.outcome }

// Settled reports whether the VM may rely on the store.
func (chk *Check) Settled() bool { return chk.outcome != Unsettled }

// Searched reports whether the VM has looked for one that knows more than the store. Unless the check is settled it has
// found none, which is no proof: one that is not listed, or does not answer, may still know more.
func (chk *Check) Searched() bool { return chk.searched || chk.Settled() }

// Settle ends the check, unless it has ended before, and reports whether it did so.
func (chk *Check) Settle(out Outcome) bool {
	if chk.Settled() {
		return false
	}
	*chk = Check{outcome: out}
	return true
}

// KnowsNoMore processes the answer of a VM that proves nothing: it has just started, too, has not been confirmed lately, or is of
// an older program.
func (chk *Check) KnowsNoMore(id string) {
	if chk.Settled() {
		return
	}
	delete(chk.waiting, id)
	chk.newcomers[id] = true
}

// Tick returns the VMs to ask now. others lists all VMs but this one. Tick settles the check once lim.Rewrite has passed.
func (chk *Check) Tick(now clock.Instant, others []string, lim Limits) []string {
	if chk.Settled() {
		return nil
	}
	elapsed, begun := chk.began.Age(now)
	if !begun {
		chk.began = clock.MomentOf(now)
	}
	if elapsed >= lim.Rewrite {
		chk.Settle(Waited)
		return nil
	}
	chk.searched = chk.searched || chk.nobodyLeft(now, elapsed, others, lim.Silence)
	interval := askInterval
	if chk.searched {
		interval = longAskInterval
	}
	if age, asked := chk.askedAt.Age(now); asked && age < interval {
		return nil
	}
	chk.askedAt = clock.MomentOf(now)
	return chk.choose(now, others)
}

// nobodyLeft reports whether all VMs that could be asked know no more, or the time for which silent ones are waited for is over.
func (chk *Check) nobodyLeft(now clock.Instant, elapsed time.Duration, others []string, silence time.Duration) bool {
	silent, newcomers := 0, 0
	for _, id := range others {
		if at, waiting := chk.waiting[id]; waiting && now.Since(at) >= silentTime {
			silent++
		}
		if chk.newcomers[id] {
			newcomers++
		}
	}
	switch {
	case elapsed >= silence:
		return true
	case len(others) == 0:
		return elapsed >= searchTime
	case newcomers == len(others):
		return true
	}
	return newcomers > 0 && silent == 0 && elapsed >= searchTime
}

// choose returns askCount VMs at random, and records that they are asked. A VM that has just started is asked again, since it
// may know more by now.
func (chk *Check) choose(now clock.Instant, others []string) []string {
	var out []string
	for _, at := range chk.rnd.Perm(len(others)) {
		if len(out) == askCount {
			break
		}
		id := others[at]
		if _, waiting := chk.waiting[id]; !waiting {
			chk.waiting[id] = now
		}
		out = append(out, id)
	}
	return out
}
