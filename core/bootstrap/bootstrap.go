// Package bootstrap decides when a VM that has just started may rely on the platform's store. A store that was restored from
// a copy shows what has since been replaced, such as a configuration with a withdrawn key. VMs that knew the newest one
// before still do, so a VM that starts asks them first.
package bootstrap

import (
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// askInterval is the time between two rounds of questions, and askCount how many VMs are asked in each.
	askInterval = 100 * time.Millisecond
	askCount    = 8
	// silentTime is how long a VM may take to answer until it counts as silent.
	silentTime = 300 * time.Millisecond
	// newcomersTime is how long a VM asks while all that answer have just started, too. It is shorter than the time for which
	// callers are queued at a VM that has just started.
	newcomersTime = 400 * time.Millisecond
)

// Outcome is why a VM may rely on the store.
type Outcome string

// The outcomes. Unsettled is that of a VM that may not rely on the store yet.
const (
	Unsettled Outcome = ""
	// NeverRestored: the store has never been restored.
	NeverRestored Outcome = "neverRestored"
	// Answered: a VM that knew the newest configuration has told it.
	Answered Outcome = "answered"
	// Alone: no other VM is listed.
	Alone Outcome = "alone"
	// Newcomers: all VMs that could be asked know no more, mostly since they have just started, too.
	Newcomers Outcome = "newcomers"
	// GaveUp: some VM did not answer until the time was over.
	GaveUp Outcome = "gaveUp"
)

// Newcomer answers the query of a VM that has just started: so has the sender, which knows no more than the store.
type Newcomer struct{}

// Check finds out whether its VM may rely on the store. It is not safe for concurrent use.
type Check struct {
	rnd     *rand.Rand
	outcome Outcome
	// began is when the first question was due, and askedAt when the last round was sent; zero before.
	began, askedAt clock.Instant
	// waiting holds when VMs were asked that have not answered since.
	waiting map[string]clock.Instant
	// newcomers holds the VMs that know no more than the store.
	newcomers map[string]bool
}

// New returns the check of a VM that has just started.
func New(rnd *rand.Rand) *Check {
	return &Check{rnd: rnd, waiting: make(map[string]clock.Instant), newcomers: make(map[string]bool)}
}

// Outcome returns why the VM may rely on the store, or Unsettled.
func (chk *Check) Outcome() Outcome { return chk.outcome }

// Settled reports whether the VM may rely on the store.
func (chk *Check) Settled() bool { return chk.outcome != Unsettled }

// Settle ends the check, unless it has ended before, and reports whether it did so.
func (chk *Check) Settle(out Outcome) bool {
	if chk.Settled() {
		return false
	}
	*chk = Check{outcome: out}
	return true
}

// KnowsNoMore processes the answer of a VM that cannot tell more than the store: it has just started, too, or is of an older program.
func (chk *Check) KnowsNoMore(id string) {
	if chk.Settled() {
		return
	}
	delete(chk.waiting, id)
	chk.newcomers[id] = true
}

// Tick returns the VMs to ask now. others lists all VMs but this one, and timeout bounds the time for which VMs that do not
// answer are waited for. It settles the check if there is nobody to ask.
func (chk *Check) Tick(now clock.Instant, others []string, timeout time.Duration) []string {
	if chk.Settled() {
		return nil
	}
	if chk.began == (clock.Instant{}) {
		chk.began = now
	}
	if out := chk.judge(now, others, timeout); out != Unsettled {
		chk.Settle(out)
		return nil
	}
	if chk.askedAt != (clock.Instant{}) && now.Since(chk.askedAt) < askInterval {
		return nil
	}
	chk.askedAt = now
	return chk.choose(now, others)
}

// judge returns the outcome if nobody is left to ask, or the time is over.
func (chk *Check) judge(now clock.Instant, others []string, timeout time.Duration) Outcome {
	elapsed := now.Since(chk.began)
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
	case len(others) == 0:
		return Alone
	case newcomers == len(others), newcomers > 0 && silent == 0 && elapsed >= newcomersTime:
		return Newcomers
	case elapsed >= timeout:
		return GaveUp
	}
	return Unsettled
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
