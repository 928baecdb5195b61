package runner

import (
	"math"
	"time"
)

// Fault is a way in which a target misbehaves.
type Fault struct {
	// Name identifies the fault in reports.
	Name string
	// Refuse rejects every connection.
	Refuse bool
	// Hang accepts requests and never answers.
	Hang bool
	// Reset runs requests and breaks the connection before it answers.
	Reset bool
	// FailShare is the share of requests that fail.
	FailShare float64
	// Slowdown multiplies the service time; 0 means 1.
	Slowdown float64
	// Period alternates between faulty and healthy with this period.
	Period time.Duration
	// Cut lists the failure domains of VMs that cannot reach the target.
	Cut []string
	// ColdFor is how long after its start a target needs Slowdown times as long.
	ColdFor time.Duration
}

// simTarget is a worker with slots.
type simTarget struct {
	id      string
	domain  string
	service string
	slots   int
	running int
	mean    time.Duration
	sigma   float64
	fault   Fault
	since   time.Duration
	// dispatched counts the attempts sent to the target, by window.
	dispatched map[int]int
	runs       map[uint64]int
	shed       int
}

func (tgt *simTarget) setFault(now time.Duration, fau Fault) {
	tgt.fault, tgt.since = fau, now
}

// faulty reports whether the fault is active at a time.
func (tgt *simTarget) faulty(now time.Duration) bool {
	switch {
	case tgt.fault.Name == "":
		return false
	case tgt.fault.Period > 0:
		return (now-tgt.since)/tgt.fault.Period%2 == 0
	case tgt.fault.ColdFor > 0:
		return now-tgt.since < tgt.fault.ColdFor
	}
	return true
}

// serviceTime draws how long a request takes: log-normal around the mean.
func (fle *Fleet) serviceTime(tgt *simTarget) time.Duration {
	factor := math.Exp(tgt.sigma*fle.rnd.NormFloat64() - tgt.sigma*tgt.sigma/2)
	if tgt.faulty(fle.now) && tgt.fault.Slowdown > 0 {
		factor *= tgt.fault.Slowdown
	}
	return time.Duration(float64(tgt.mean) * factor)
}
