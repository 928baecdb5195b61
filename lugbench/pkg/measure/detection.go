// Package measure runs experiments with the runner and prints their figures.
package measure

import (
	"math"
	"slices"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/lugbench/pkg/runner"
)

const (
	fleetVMs  = 40
	lease     = 5 * time.Second
	warmUp    = 8 * time.Second
	watchTime = 40 * time.Second
	// usualLoad is the part of all slots that is in use.
	usualLoad = 0.7
)

// Variant is one way of judging targets.
type Variant struct {
	Name      string
	Alone     bool
	Threshold health.Threshold
}

// Variants returns the baseline and the pool.
func Variants() []Variant {
	return []Variant{
		{Name: "alone", Alone: true, Threshold: health.ThresholdBalanced},
		{Name: "pool", Threshold: health.ThresholdBalanced},
	}
}

// FaultKind is a fault of one target and whether it is a hard one.
type FaultKind struct {
	Fault runner.Fault
	Hard  bool
}

// Faults returns the kinds of faults of one target.
func Faults() []FaultKind {
	return []FaultKind{
		{runner.Fault{Name: "refuse", Refuse: true}, true},
		{runner.Fault{Name: "hang", Hang: true}, false},
		{runner.Fault{Name: "slow5x", Slowdown: 5}, false},
		{runner.Fault{Name: "fail50%", FailShare: 0.5}, false},
		{runner.Fault{Name: "fail10%", FailShare: 0.1}, false},
		{runner.Fault{Name: "flap4s", FailShare: 1, Period: 4 * time.Second}, false},
	}
}

func newFleet(dep runner.Deployment, vrt Variant, seed uint64) *runner.Fleet {
	return runner.NewFleet(dep, runner.Options{
		Seed: seed, VMs: fleetVMs, Alone: vrt.Alone, Threshold: vrt.Threshold, Lease: lease,
	})
}

// Detection is the result of one fault in one fleet.
type Detection struct {
	// Time is how long the fleet went on sending work; infinite when it did so
	// to the end.
	Time float64
	// FalseEjections counts healthy targets taken out of use, averaged over VMs.
	FalseEjections float64
	Failed, Sent   int
}

// detect runs one fault and watches how long work goes on being sent.
func detect(dep runner.Deployment, vrt Variant, fau runner.Fault, seed uint64) Detection {
	fle := newFleet(dep, vrt, seed)
	tal := &tally{}
	fle.OnDone(tal.add)
	fle.Load(usualLoad, warmUp+watchTime)
	fle.Run(warmUp + time.Duration(seed%7)*100*time.Millisecond)
	service := dep.Services[int(seed)%len(dep.Services)]
	target := fle.TargetOf(service.Name, int(seed))
	fle.SetFault(target, fau)
	began := fle.Now()
	fle.Run(watchTime - time.Second)
	return Detection{
		Time:           fle.LeftAlone(target, began).Seconds(),
		FalseEjections: fle.FalseEjections(target),
		Failed:         tal.failed, Sent: tal.sent,
	}
}

// tally counts outcomes as callers saw them.
type tally struct {
	sent, failed int
}

func (tal *tally) add(out *runner.Outcome) {
	tal.sent++
	if out.Status >= 500 {
		tal.failed++
	}
}

// quantile returns a quantile of values, which it sorts.
func quantile(vals []float64, share float64) float64 {
	if len(vals) == 0 {
		return math.NaN()
	}
	slices.Sort(vals)
	idx := int(math.Ceil(share*float64(len(vals)))) - 1
	return vals[min(max(idx, 0), len(vals)-1)]
}
