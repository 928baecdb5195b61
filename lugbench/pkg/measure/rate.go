package measure

import (
	"fmt"
	"io"
	"time"

	"marigoldlug.example/core/request"
	"marigoldlug.example/lugbench/pkg/runner"
)

// Bucket is the exact limit of one organisation, as a single VM that saw every
// request would apply it.
type bucket struct {
	rate, burst float64
	tokens      float64
	at          time.Duration
	level       float64
	over        float64
	// fit counts the requests that the exact limit admits and that ended, and
	// admitted those that the fleet admitted.
	fit, admitted int
}

// offer counts a request and reports whether the limit has room for it.
func (buc *bucket) offer(now time.Duration) bool {
	elapsed := (now - buc.at).Seconds()
	buc.tokens = min(buc.burst, buc.tokens+buc.rate*elapsed)
	buc.level = max(0, buc.level-buc.rate*elapsed)
	buc.at = now
	if buc.tokens < 1 {
		return false
	}
	buc.tokens--
	return true
}

// admit counts an admitted request against every window.
func (buc *bucket) admit() {
	buc.level++
	buc.over = max(buc.over, buc.level-buc.burst)
}

// rateCase is one load on the limits of organisations.
type rateCase struct {
	name string
	// use is the part of its rate that each organisation sends.
	use float64
	// noisy multiplies what the first organisation sends.
	noisy float64
	// event happens after the warm-up.
	event func(fle *runner.Fleet)
}

func rateCases() []rateCase {
	quiet := func(*runner.Fleet) {}
	return []rateCase{
		{"steady 50%", 0.5, 1, quiet},
		{"steady 90%", 0.9, 1, quiet},
		{"steady 99%", 0.99, 1, quiet},
		{"one at 10x", 0.8, 10, quiet},
		{"VM crash 80%", 0.8, 1, func(fle *runner.Fleet) { fle.Kill(3) }},
		{"home crash 80%", 0.8, 1, func(fle *runner.Fleet) { fle.KillHome("org-1") }},
		{"platform away 80%", 0.8, 1, func(fle *runner.Fleet) { fle.SetPlatformAway(true); fle.Kill(3) }},
	}
}

// RateReport measures wrongful refusals and overshoot of rate limits.
func RateReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		var rows []string
		for _, cas := range rateCases() {
			for _, static := range []bool{true, false} {
				rows = append(rows, rateRow(dep, cas, static, seeds))
			}
		}
		if _, err := fmt.Fprintf(out, "\nRate limits, %s, %d VMs, %d seeds\n", dep.Name, fleetVMs, seeds); err != nil {
			return err
		}
		titles := "case\tway\trequests\twrongly refused %\tof small orgs %\toverspent requests\twait p50 ms\twait p99 ms\tB/s/VM"
		if err := table(out, titles, rows); err != nil {
			return err
		}
	}
	return nil
}

// rateResult sums up one run.
type rateResult struct {
	sent, wrong           int
	sentSmall, wrongSmall int
	over                  float64
	waits                 []float64
	bytes                 float64
}

// smallShare is the share of the load below which an organisation is small.
const smallShare = 0.1

func runRate(dep runner.Deployment, cas rateCase, static bool, seed uint64) rateResult {
	fle := runner.NewFleet(dep, runner.Options{Seed: seed, VMs: fleetVMs, Lease: lease, Threshold: 12, StaticRates: static, OnlyRates: true})
	var res rateResult
	buckets := make(map[string]*bucket)
	for _, org := range dep.Organisations {
		lim := dep.Limit(org)
		buckets[org.Name] = &bucket{rate: lim.Rate.Float(), burst: lim.Burst.Float(), tokens: lim.Burst.Float()}
	}
	measuring := false
	fle.OnArrival(func(out *runner.Outcome) { out.Fits = buckets[out.Organisation].offer(fle.Now()) })
	fle.OnAdmitted(func(out *runner.Outcome) {
		buckets[out.Organisation].admit()
		res.waits = append(res.waits, float64(fle.Now()-out.Began)/float64(time.Millisecond))
	})
	fle.OnDone(func(out *runner.Outcome) {
		if !measuring {
			return
		}
		res.sent++
		buc := buckets[out.Organisation]
		if out.Fits {
			buc.fit++
		}
		if out.Reason != request.RateExceeded {
			buc.admitted++
		}
		if dep.Share(out.Organisation) < smallShare {
			res.sentSmall++
		}
	})
	for num, org := range dep.Organisations {
		perSecond := dep.Limit(org).Rate.Float() * cas.use
		if num == 0 {
			perSecond *= cas.noisy
		}
		fle.Stream(org.Name, dep.Services[0].Name, perSecond, warmUp+loadTime)
	}
	fle.Run(warmUp)
	measuring = true
	before := fle.Stats.Bytes
	cas.event(fle)
	fle.Run(loadTime / 2)
	for name, buc := range buckets {
		res.over = max(res.over, buc.over)
		// Under excess the two admit different requests; only fewer is wrongful.
		wrong := max(buc.fit-buc.admitted, 0)
		res.wrong += wrong
		if dep.Share(name) < smallShare {
			res.wrongSmall += wrong
		}
	}
	res.bytes = float64(fle.Stats.Bytes-before) / (loadTime / 2).Seconds() / fleetVMs
	return res
}

func rateRow(dep runner.Deployment, cas rateCase, static bool, seeds int) string {
	results := make([]rateResult, seeds)
	parallel(seeds, func(num int) { results[num] = runRate(dep, cas, static, uint64(num+1)) })
	var all rateResult
	for _, res := range results {
		all.sent += res.sent
		all.wrong += res.wrong
		all.sentSmall += res.sentSmall
		all.wrongSmall += res.wrongSmall
		all.over = max(all.over, res.over)
		all.waits = append(all.waits, res.waits...)
		all.bytes += res.bytes / float64(seeds)
	}
	way := "moved"
	if static {
		way = "1/N"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.0f", cas.name, way, all.sent,
		100*float64(all.wrong)/float64(max(all.sent, 1)), 100*float64(all.wrongSmall)/float64(max(all.sentSmall, 1)),
		max(all.over, 0), quantile(all.waits, 0.5), quantile(all.waits, 0.99), all.bytes)
}
