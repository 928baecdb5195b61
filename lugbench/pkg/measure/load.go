package measure

import (
	"fmt"
	"io"
	"time"

	"marigoldlug.example/core/request"
	"marigoldlug.example/lugbench/pkg/runner"
)

// loadTime is how long the load of one experiment lasts after the warm-up.
const loadTime = 20 * time.Second

// looseRates keeps rate limits out of the way of what is measured.
const looseRates = 10

// service sums up how callers fared.
type service struct {
	sent, good int
	attempts   int
	reasons    map[request.Reason]int
	latencies  []float64
	orgs       map[string]*share
}

type share struct {
	sent, good int
	latencies  []float64
}

func newService() *service {
	return &service{reasons: make(map[request.Reason]int), orgs: make(map[string]*share)}
}

func (svc *service) add(out *runner.Outcome) {
	org := svc.orgs[out.Organisation]
	if org == nil {
		org = new(share)
		svc.orgs[out.Organisation] = org
	}
	svc.sent++
	org.sent++
	svc.attempts += out.Attempts
	if out.Status != 200 {
		svc.reasons[out.Reason]++
		return
	}
	svc.good++
	org.good++
	ms := float64(out.Ended-out.Began) / float64(time.Millisecond)
	svc.latencies = append(svc.latencies, ms)
	org.latencies = append(org.latencies, ms)
}

// worst returns the organisation with the least share of good answers.
func (svc *service) worst() (name string, part float64) {
	part = 2
	for org, shr := range svc.orgs {
		if one := float64(shr.good) / float64(shr.sent); one < part || one == part && org < name {
			name, part = org, one
		}
	}
	return name, part
}

// LoadReport measures how callers fare at several loads.
func LoadReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		dep.RateFactor = looseRates
		var rows []string
		for _, load := range []float64{0.5, 0.7, 0.85, 1, 1.5} {
			for _, vrt := range Variants() {
				rows = append(rows, loadRow(dep, vrt, load, seeds))
			}
		}
		if _, err := fmt.Fprintf(out, "\nLoad, %s, %d VMs, %d seeds\n", dep.Name, fleetVMs, seeds); err != nil {
			return err
		}
		titles := "load\tvariant\tgood %\tworst org %\tp50 ms\tp99 ms\tattempts/request\trate\toverloaded\tother"
		if err := table(out, titles, rows); err != nil {
			return err
		}
	}
	return nil
}

func loadRow(dep runner.Deployment, vrt Variant, load float64, seeds int) string {
	sums := make([]*service, seeds)
	parallel(seeds, func(num int) {
		sums[num] = newService()
		fle := newFleet(dep, vrt, uint64(num+1))
		fle.Load(load, warmUp+loadTime)
		fle.Run(warmUp)
		fle.OnDone(sums[num].add)
		fle.Run(loadTime)
	})
	all := merge(sums)
	_, worst := all.worst()
	other := all.sent - all.good - all.reasons[request.RateExceeded] - all.reasons[request.Overloaded]
	return fmt.Sprintf("%.2f\t%s\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%d\t%d\t%d", load, vrt.Name,
		100*float64(all.good)/float64(all.sent), 100*worst,
		quantile(all.latencies, 0.5), quantile(all.latencies, 0.99), float64(all.attempts)/float64(all.sent),
		all.reasons[request.RateExceeded], all.reasons[request.Overloaded], other)
}

func merge(sums []*service) *service {
	all := newService()
	for _, one := range sums {
		all.sent += one.sent
		all.good += one.good
		all.attempts += one.attempts
		all.latencies = append(all.latencies, one.latencies...)
		for rsn, cnt := range one.reasons {
			all.reasons[rsn] += cnt
		}
		for name, shr := range one.orgs {
			if all.orgs[name] == nil {
				all.orgs[name] = new(share)
			}
			org := all.orgs[name]
			org.sent += shr.sent
			org.good += shr.good
			org.latencies = append(org.latencies, shr.latencies...)
		}
	}
	return all
}
