package measure

import (
	"fmt"
	"io"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/lugbench/pkg/runner"
)

// noiseTime is how long each noisy run lasts.
const noiseTime = 120 * time.Second

// noise is a state in which healthy targets may be taken for failing ones.
type noise struct {
	name string
	// start brings the noise about and returns the targets that do fail.
	start func(fle *runner.Fleet, dep runner.Deployment) []string
}

func noises() []noise {
	return []noise{
		{"healthy", func(*runner.Fleet, runner.Deployment) []string { return nil }},
		{"one flaps 4 s", func(fle *runner.Fleet, dep runner.Deployment) []string {
			target := fle.TargetOf(dep.Services[1].Name, 2)
			fle.SetFault(target, runner.Fault{Name: "flap", FailShare: 1, Period: 4 * time.Second})
			return []string{target}
		}},
		{"domain cut from 3 targets", func(fle *runner.Fleet, dep runner.Deployment) []string {
			for num := range 3 {
				fle.SetFault(fle.TargetOf(dep.Services[1].Name, num), runner.Fault{Name: "cut", Cut: []string{"domain-1"}})
			}
			return nil
		}},
		{"all slow 3x", func(fle *runner.Fleet, dep runner.Deployment) []string {
			for num := range dep.Services[1].Workers {
				fle.SetFault(fle.TargetOf(dep.Services[1].Name, num), runner.Fault{Name: "slow", Slowdown: 3})
			}
			return nil
		}},
		{"all fail 20%", func(fle *runner.Fleet, dep runner.Deployment) []string {
			for num := range dep.Services[1].Workers {
				fle.SetFault(fle.TargetOf(dep.Services[1].Name, num), runner.Fault{Name: "fail", FailShare: 0.2})
			}
			return nil
		}},
	}
}

// noisy returns the false ejections an hour and the share of good answers.
func noisy(dep runner.Deployment, vrt Variant, noi noise, seeds int) (perHour, good float64) {
	dep.RateFactor = looseRates
	ejections := make([]float64, seeds)
	sums := make([]*service, seeds)
	parallel(seeds, func(num int) {
		fle := newFleet(dep, vrt, uint64(num+1))
		sums[num] = newService()
		fle.Load(usualLoad*0.85, warmUp+noiseTime)
		fle.Run(warmUp)
		faulty := noi.start(fle, dep)
		fle.OnDone(sums[num].add)
		before := fle.FalseEjections(faulty...)
		fle.Run(noiseTime)
		ejections[num] = fle.FalseEjections(faulty...) - before
	})
	sum := 0.0
	for _, one := range ejections {
		sum += one
	}
	all := merge(sums)
	return sum / (float64(seeds) * noiseTime.Hours()), float64(all.good) / float64(all.sent)
}

// NoiseReport measures false ejections of healthy targets.
func NoiseReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		var rows []string
		for _, noi := range noises() {
			for _, vrt := range Variants() {
				perHour, good := noisy(dep, vrt, noi, seeds)
				rows = append(rows, fmt.Sprintf("%s\t%s\t%.2f\t%.2f", noi.name, vrt.Name, perHour, 100*good))
			}
		}
		if _, err := fmt.Fprintf(out, "\nFalse ejections, %s, %d VMs, load 60%%, %d runs of %v\n", dep.Name, fleetVMs, seeds, noiseTime); err != nil {
			return err
		}
		if err := table(out, "state\tvariant\tfalse ejections/h\tgood %", rows); err != nil {
			return err
		}
	}
	return nil
}

// thresholds are the points of the curve between quick and careful.
var thresholds = []health.Threshold{health.ThresholdQuick, 9, health.ThresholdBalanced, 16, health.ThresholdCareful}

// Point is one point of the curve.
type Point struct {
	Threshold health.Threshold
	// Detect is the 99th percentile of the seconds to detect a target that
	// fails 10% of its requests.
	Detect float64
	// PerHour is the false ejections an hour while another target flaps.
	PerHour float64
}

// Curve measures the points between quick and careful for a deployment.
func Curve(dep runner.Deployment, seeds int) []Point {
	var out []Point
	for _, thr := range thresholds {
		vrt := Variant{Name: "pool", Threshold: thr}
		times := make([]float64, seeds)
		parallel(seeds, func(num int) {
			times[num] = detect(dep, vrt, runner.Fault{Name: "fail10%", FailShare: 0.1}, uint64(num+1)).Time
		})
		perHour, _ := noisy(dep, vrt, noises()[1], seeds)
		out = append(out, Point{Threshold: thr, Detect: quantile(times, 0.99), PerHour: perHour})
	}
	return out
}

// CurveReport prints the curve between quick and careful.
func CurveReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		var rows []string
		for _, pnt := range Curve(dep, seeds) {
			rows = append(rows, fmt.Sprintf("%.0f\t%s\t%.2f", pnt.Threshold, seconds(pnt.Detect), pnt.PerHour))
		}
		if _, err := fmt.Fprintf(out, "\nEjection threshold, %s, %d VMs, %d seeds\n", dep.Name, fleetVMs, seeds); err != nil {
			return err
		}
		if err := table(out, "threshold\tdetect fail10% p99 s\tfalse ejections/h (one flaps)", rows); err != nil {
			return err
		}
	}
	return nil
}
