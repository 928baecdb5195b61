package measure

import (
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"

	"marigoldlug.example/lugbench/pkg/runner"
)

// workers is how many experiments run at a time.
const workers = 5

// parallel runs do for every number below cnt.
func parallel(cnt int, do func(num int)) {
	var wgr sync.WaitGroup
	next := make(chan int)
	for range workers {
		wgr.Go(func() {
			for num := range next {
				do(num)
			}
		})
	}
	for num := range cnt {
		next <- num
	}
	close(next)
	wgr.Wait()
}

// seconds shows a time, or that it was not seen.
func seconds(val float64) string {
	if math.IsNaN(val) || val > watchTime.Seconds() {
		return fmt.Sprintf(">%.0f", watchTime.Seconds())
	}
	return fmt.Sprintf("%.2f", val)
}

// table writes rows under titles.
func table(out io.Writer, titles string, rows []string) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([]string{titles}, rows...) {
		if _, err := fmt.Fprintln(tab, row); err != nil {
			return err
		}
	}
	return tab.Flush()
}

// DetectionReport measures the time to detect each kind of fault.
func DetectionReport(out io.Writer, seeds int) error {
	for _, dep := range runner.Deployments() {
		var rows []string
		for _, kind := range Faults() {
			for _, vrt := range Variants() {
				rows = append(rows, detectionRow(dep, vrt, kind, seeds))
			}
		}
		if _, err := fmt.Fprintf(out, "\nDetection, %s, %d VMs, load %.0f%%, %d seeds\n", dep.Name, fleetVMs, 100*usualLoad, seeds); err != nil {
			return err
		}
		if err := table(out, "fault\tvariant\tp50 s\tp99 s\tfalse ejections/h\tfailed %", rows); err != nil {
			return err
		}
	}
	return nil
}

func detectionRow(dep runner.Deployment, vrt Variant, kind FaultKind, seeds int) string {
	res := make([]Detection, seeds)
	parallel(seeds, func(num int) { res[num] = detect(dep, vrt, kind.Fault, uint64(num+1)) })
	var times []float64
	falseEjections, failed, sent := 0.0, 0, 0
	for _, one := range res {
		times = append(times, one.Time)
		falseEjections += one.FalseEjections
		failed += one.Failed
		sent += one.Sent
	}
	hours := float64(seeds) * (warmUp + watchTime).Hours()
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%.1f\t%.2f", kind.Fault.Name, vrt.Name,
		seconds(quantile(times, 0.5)), seconds(quantile(times, 0.99)), falseEjections/hours, 100*float64(failed)/float64(sent))
}
