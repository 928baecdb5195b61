package measure

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/lugbench/pkg/runner"
)

// The size to design for.
const (
	goalNodes         = 810
	goalTargets       = 8600
	goalServices      = 150
	goalRoutes        = 8000
	goalOrganisations = 69000
	goalRate          = 230000.0
)

// CapacityReport measures what one VM spends on control as the fleet, the
// targets and the load grow, and the size of a whole configuration.
func CapacityReport(out io.Writer, seeds int) error {
	var rows []string
	for _, vms := range []int{24, 48, 96, 192} {
		for seed := range seeds {
			rows = append(rows, fleetCost(vms, 0, uint64(seed+1)))
		}
	}
	for _, perSecond := range []float64{25, 50, 100} {
		rows = append(rows, fleetCost(48, perSecond, 1))
	}
	if _, err := fmt.Fprintf(out, "\nControl of one VM, 3 failure domains, idle and under load\n"); err != nil {
		return err
	}
	if err := table(out, "VMs\treq/s/VM\tmsg/s/VM\tB/s/VM\tplatform calls/s\tCPU us/s/VM", rows); err != nil {
		return err
	}
	if err := viewReport(out); err != nil {
		return err
	}
	return configReport(out)
}

// viewReport measures what one change of the view costs.
func viewReport(out io.Writer) error {
	var rows []string
	for _, vms := range []int{24, 48, 96, 192} {
		quiet, change := viewCost(vms, false), viewCost(vms, true)
		rows = append(rows, fmt.Sprintf("%d\t%.0f\t%.0f", vms,
			float64(change.Messages-quiet.Messages)/float64(vms), float64(change.Bytes-quiet.Bytes)/float64(vms)))
	}
	if _, err := fmt.Fprintf(out, "\nOne change of the view\n"); err != nil {
		return err
	}
	return table(out, "VMs\tmsg/VM\tB/VM", rows)
}

// viewCost counts the messages of ten seconds in which a VM joins or none does.
func viewCost(vms int, join bool) runner.Stats {
	fle := runner.NewFleet(runner.Kelanisaru(), runner.Options{Seed: 1, VMs: vms, Lease: lease, Threshold: 12, OnlyRates: true})
	fle.Run(warmUp)
	before := fle.Stats
	if join {
		fle.Join()
	}
	fle.Run(2 * lease)
	return runner.Stats{Messages: fle.Stats.Messages - before.Messages, Bytes: fle.Stats.Bytes - before.Bytes}
}

// fleetCost measures a fleet that serves perSecond requests a second on each
// VM.
func fleetCost(vms int, perSecond float64, seed uint64) string {
	const span = 20 * time.Second
	dep := runner.Kelanisaru()
	dep.RateFactor = looseRates
	fle := runner.NewFleet(dep, runner.Options{Seed: seed, VMs: vms, Lease: lease, Threshold: 12, OnlyRates: true})
	if perSecond > 0 {
		load := perSecond * float64(vms) / dep.Demand(1)
		fle.Load(load, warmUp+span)
	}
	fle.Run(warmUp)
	before, began := fle.Stats, time.Now()
	fle.Run(span)
	elapsed := time.Since(began)
	per := span.Seconds() * float64(vms)
	sts := fle.Stats
	return fmt.Sprintf("%d\t%.0f\t%.1f\t%.0f\t%.1f\t%.0f", vms, perSecond,
		float64(sts.Messages-before.Messages)/per, float64(sts.Bytes-before.Bytes)/per,
		float64(sts.PlatformCalls-before.PlatformCalls)/span.Seconds(), float64(elapsed.Microseconds())/per)
}

// wholeConfig returns a configuration of a part of the size to design for.
func wholeConfig(part float64) config.Content {
	var con config.Content
	for num := range int(goalOrganisations * part) {
		name := fmt.Sprintf("organisation-%05d", num)
		con.Organisations = append(con.Organisations, config.Organisation{
			Name: name, Weight: 1, Created: 1, Changed: 1, Limit: rate.Limit{Rate: rate.RequestsPerSecond(3), Burst: rate.Requests(10)},
		})
		con.Keys = append(con.Keys, config.Key{ID: "key-" + name, Organisation: name, Digest: config.DigestOf(name)})
	}
	targets := int(goalTargets * part / goalServices)
	for num := range goalServices {
		svc := config.Service{Name: fmt.Sprintf("service-%03d", num), HealthyFloor: 0.7}
		for wrk := range max(targets, 1) {
			svc.Targets = append(svc.Targets, config.Target{
				Name: fmt.Sprintf("worker-%03d", wrk), Address: fmt.Sprintf("10.%d.%d.%d:8080", num, wrk/250, wrk%250+1),
				FailureDomain: fmt.Sprintf("domain-%d", wrk%10), Slots: 4, Connections: 400,
			})
		}
		con.Services = append(con.Services, svc)
	}
	for num := range int(goalRoutes * part) {
		con.Routes = append(con.Routes, config.Route{
			Name: fmt.Sprintf("route-%04d", num), Host: fmt.Sprintf("host-%03d.example", num%400), PathPrefix: fmt.Sprintf("/area-%d/part", num),
			Access: config.AccessKeyed, Service: fmt.Sprintf("service-%03d", num%goalServices), Timeout: time.Second, MaxAttempts: 2,
		})
	}
	return con
}

func heap() uint64 {
	runtime.GC()
	var sta runtime.MemStats
	runtime.ReadMemStats(&sta)
	return sta.HeapAlloc
}

// configReport measures the memory of a configuration and the time to look up
// and to change one key.
func configReport(out io.Writer) error {
	var rows []string
	for _, part := range []float64{0.25, 0.5, 1} {
		rows = append(rows, configRow(part))
	}
	if _, err := fmt.Fprintf(out, "\nConfiguration, parts of 69,000 organisations, 8,000 routes, 8,600 targets\n"); err != nil {
		return err
	}
	return table(out, "part\tmemory MB\tstored MB\tmanifest KB\tlookup ns\tone-key delta us\tdelta KB", rows)
}

func configRow(part float64) string {
	man, chunks := chunk.Build(wholeConfig(part))
	stored := 0
	for _, content := range chunks {
		stored += len(content)
	}
	before := heap()
	sna := decodeAll(man, chunks)
	memory := float64(heap()-before) / (1 << 20)
	lookup := lookupTime(sna, part)
	delta, size := deltaTime(sna, man, part)
	runtime.KeepAlive(sna)
	return fmt.Sprintf("%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.1f", part, memory, float64(stored)/(1<<20),
		float64(len(man.Encode()))/(1<<10), lookup, delta, size)
}

// decodeAll builds a snapshot from chunks, as a VM does.
func decodeAll(man chunk.Manifest, chunks map[chunk.ID][]byte) *config.Snapshot {
	var rpls []config.Replacement
	for _, plc := range man.Differing(chunk.NewManifest()) {
		if rpl, err := chunk.Decode(plc, chunks[plc.ID]); err == nil {
			rpls = append(rpls, rpl)
		}
	}
	return config.New(config.Content{}).With(rpls)
}

func lookupTime(sna *config.Snapshot, part float64) float64 {
	const rounds = 200000
	digests := make([]config.Digest, 0, 1000)
	paths := make([]string, 0, 1000)
	hosts := make([]string, 0, 1000)
	for num := range 1000 {
		digests = append(digests, config.DigestOf(fmt.Sprintf("organisation-%05d", num*int(goalOrganisations*part)/1000)))
		rou := num * int(goalRoutes*part) / 1000
		paths = append(paths, fmt.Sprintf("/area-%d/part/one/two", rou))
		hosts = append(hosts, fmt.Sprintf("host-%03d.example", rou%400))
	}
	began := time.Now()
	found := 0
	for num := range rounds {
		idx := num % 1000
		key := sna.Key(digests[idx])
		if rou := sna.Route(hosts[idx], paths[idx], "GET"); rou != nil && key != nil && sna.Organisation(key.Organisation) != nil {
			found++
		}
	}
	if found != rounds {
		return -1
	}
	return float64(time.Since(began).Nanoseconds()) / rounds
}

// deltaTime returns the microseconds to apply a change of one key that has been
// fetched, and the kilobytes fetched for it.
func deltaTime(sna *config.Snapshot, man chunk.Manifest, part float64) (micros, kilobytes float64) {
	con := wholeConfig(part)
	con.Keys = con.Keys[1:]
	next, chunks := chunk.Build(con)
	raw := next.Encode()
	began := time.Now()
	again, err := chunk.DecodeManifest(raw)
	if err != nil {
		return -1, -1
	}
	size := len(raw)
	var rpls []config.Replacement
	for _, plc := range again.Differing(man) {
		size += len(chunks[plc.ID])
		rpl, err := chunk.Decode(plc, chunks[plc.ID])
		if err != nil {
			return -1, -1
		}
		rpls = append(rpls, rpl)
	}
	runtime.KeepAlive(sna.With(rpls))
	return float64(time.Since(began).Microseconds()), float64(size) / (1 << 10)
}
