package measure

import (
	"fmt"
	"io"
	"time"

	"marigoldlug.example/lugbench/pkg/runner"
)

const (
	brownTime    = 10 * time.Second
	recoverTime  = 15 * time.Second
	goodputSpan  = 250 * time.Millisecond
	recoverShare = 0.95
)

// FairReport measures how organisations fare while one sends ten times its
// rate.
func FairReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		var rows []string
		for _, noisy := range []float64{1, 10} {
			sums := make([]*service, seeds)
			parallel(seeds, func(num int) { sums[num] = fair(dep, noisy, uint64(num+1)) })
			all := merge(sums)
			for _, org := range dep.Organisations {
				shr := all.orgs[org.Name]
				rows = append(rows, fmt.Sprintf("%.0fx\t%s\t%d\t%.2f\t%.0f\t%.0f", noisy, org.Name, shr.sent,
					100*float64(shr.good)/float64(shr.sent), quantile(shr.latencies, 0.5), quantile(shr.latencies, 0.99)))
			}
		}
		if _, err := fmt.Fprintf(out, "\nOne organisation at 10x its rate, %s, %d VMs, %d seeds\n", dep.Name, fleetVMs, seeds); err != nil {
			return err
		}
		if err := table(out, "org-1 sends\torganisation\trequests\tgood %\tp50 ms\tp99 ms", rows); err != nil {
			return err
		}
	}
	return nil
}

func fair(dep runner.Deployment, noisy float64, seed uint64) *service {
	sum := newService()
	fle := newFleet(dep, Variants()[1], seed)
	for num, org := range dep.Organisations {
		factor := 1.0
		if num == 0 {
			factor = noisy
		}
		for _, svc := range dep.Services {
			fle.Stream(org.Name, svc.Name, dep.Capacity(svc)*usualLoad*0.85*org.Share*factor, warmUp+loadTime)
		}
	}
	fle.Run(warmUp)
	fle.OnDone(sum.add)
	fle.Run(loadTime)
	return sum
}

// BrownOutReport measures how goodput returns after all targets of a service
// were ten times slower for ten seconds, and what retries add when every
// attempt fails.
func BrownOutReport(out io.Writer, seeds int) error {
	var rows []string
	for _, dep := range runner.Deployments() {
		for _, vrt := range Variants() {
			times := make([]float64, seeds)
			parallel(seeds, func(num int) { times[num] = brownOut(dep, vrt, uint64(num+1)) })
			extra := make([]float64, seeds)
			parallel(seeds, func(num int) { extra[num] = allFail(dep, vrt, uint64(num+1)) })
			rows = append(rows, fmt.Sprintf("%s\t%s\t%.2f\t%.2f\t%.3f", dep.Name, vrt.Name,
				quantile(times, 0.5), quantile(times, 1), quantile(extra, 0.5)))
		}
	}
	if _, err := fmt.Fprintf(out, "\nAfter a brown-out of %v at load %.0f%%, %d seeds\n", brownTime, 100*usualLoad, seeds); err != nil {
		return err
	}
	return table(out, "deployment\tvariant\tback to 95% p50 s\tworst s\truns/request when all fail", rows)
}

// brownOut returns the seconds from the end of the brown-out until goodput was
// back for good.
func brownOut(dep runner.Deployment, vrt Variant, seed uint64) float64 {
	dep.RateFactor = looseRates
	fle := newFleet(dep, vrt, seed)
	svc := dep.Services[1]
	good := make(map[int]int)
	fle.OnDone(func(out *runner.Outcome) {
		if out.Service == svc.Name && out.Status == 200 {
			good[int(fle.Now()/goodputSpan)]++
		}
	})
	fle.Load(usualLoad, warmUp+brownTime+recoverTime)
	fle.Run(warmUp)
	for num := range svc.Workers {
		fle.SetFault(fle.TargetOf(svc.Name, num), runner.Fault{Name: "brown", Slowdown: 10})
	}
	fle.Run(brownTime)
	for num := range svc.Workers {
		fle.SetFault(fle.TargetOf(svc.Name, num), runner.Fault{})
	}
	end := fle.Now()
	fle.Run(recoverTime - time.Second)
	usual := dep.Capacity(svc) * usualLoad * goodputSpan.Seconds()
	last := int(end / goodputSpan)
	// Goodput is back once the mean of a second is; single spans are noisy.
	const span = 4
	for at := last; at < int(fle.Now()/goodputSpan)-span; at++ {
		sum := 0
		for num := range span {
			sum += good[at+num]
		}
		if float64(sum) >= recoverShare*usual*span {
			return (time.Duration(at)*goodputSpan - end).Seconds()
		}
	}
	return recoverTime.Seconds()
}

// allFail returns the runs at targets for each request while every attempt at
// one service fails.
func allFail(dep runner.Deployment, vrt Variant, seed uint64) float64 {
	dep.RateFactor = looseRates
	fle := newFleet(dep, vrt, seed)
	svc := dep.Services[1]
	fle.Load(usualLoad/2, warmUp+loadTime)
	fle.Run(warmUp)
	for num := range svc.Workers {
		fle.SetFault(fle.TargetOf(svc.Name, num), runner.Fault{Name: "fail", FailShare: 1})
	}
	sent, runs := 0, 0
	fle.OnDone(func(out *runner.Outcome) {
		if out.Service == svc.Name {
			sent++
			runs += out.Runs
		}
	})
	fle.Run(loadTime / 2)
	return float64(runs) / float64(max(sent, 1))
}
