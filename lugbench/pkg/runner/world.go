// Package runner drives the decision machines of many VMs in one thread and in
// virtual time, against small fakes of the platform, the network, targets and
// callers.
package runner

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"marigoldlug.example/core/clock"
)

// happening is something that is due at a time.
type happening struct {
	at  time.Duration
	seq uint64
	do  func()
}

type agenda []happening

func (age agenda) Len() int { return len(age) }

func (age agenda) Less(one, two int) bool {
	if age[one].at != age[two].at {
		return age[one].at < age[two].at
	}
	return age[one].seq < age[two].seq
}

func (age agenda) Swap(one, two int) { age[one], age[two] = age[two], age[one] }

// Push adds a happening; it is called by package heap.
func (age *agenda) Push(val any) {
	if hap, ok := val.(happening); ok {
		*age = append(*age, hap)
	}
}

// Pop removes the last happening; it is called by package heap.
func (age *agenda) Pop() any {
	old := *age
	last := old[len(old)-1]
	*age = old[:len(old)-1]
	return last
}

// World holds the virtual time and what is due.
type World struct {
	now    time.Duration
	seq    uint64
	agenda agenda
	rnd    *rand.Rand
}

// NewWorld returns a world at time 0 whose chances follow from seed.
func NewWorld(seed uint64) *World {
	// Time 0 is left out, since the zero instant means never.
	return &World{now: time.Second, rnd: rand.New(rand.NewPCG(seed, seed^0x5bd1e995))}
}

// Now returns the virtual time.
func (wor *World) Now() time.Duration { return wor.now }

func (wor *World) instant() clock.Instant { return clock.At(wor.now) }

// After does something after a time.
func (wor *World) After(dur time.Duration, do func()) {
	wor.seq++
	heap.Push(&wor.agenda, happening{at: wor.now + max(dur, 0), seq: wor.seq, do: do})
}

// Run lets time pass.
func (wor *World) Run(dur time.Duration) {
	end := wor.now + dur
	for len(wor.agenda) > 0 && wor.agenda[0].at <= end {
		hap, ok := heap.Pop(&wor.agenda).(happening)
		if !ok {
			return
		}
		wor.now = hap.at
		hap.do()
	}
	wor.now = end
}
