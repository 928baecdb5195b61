package measure

import (
	"fmt"
	"io"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/lugbench/pkg/runner"
)

// ReleaseReport measures how long a release takes to be in force on every VM,
// when the VM that wrote it tells the watchers and when nobody does.
func ReleaseReport(out io.Writer, seeds int) error {
	var rows []string
	for _, vms := range []int{12, 48, 192} {
		for _, told := range []bool{true, false} {
			times := make([]float64, seeds)
			parallel(seeds, func(num int) { times[num] = releaseTime(vms, told, uint64(num+1)) })
			way := "told"
			if !told {
				way = "found by reading"
			}
			rows = append(rows, fmt.Sprintf("%d\t%s\t%.2f\t%.2f", vms, way, quantile(times, 0.5), quantile(times, 1)))
		}
	}
	if _, err := fmt.Fprintf(out, "\nA release in force on every VM, %d seeds\n", seeds); err != nil {
		return err
	}
	return table(out, "VMs\tway\tp50 s\tworst s", rows)
}

func releaseTime(vms int, told bool, seed uint64) float64 {
	const step = 10 * time.Millisecond
	fle := runner.NewFleet(runner.Kelanisaru(), runner.Options{Seed: seed, VMs: vms, Lease: lease, Threshold: 12, OnlyRates: true})
	fle.Run(warmUp + time.Duration(seed)*70*time.Millisecond)
	began := fle.Now()
	version := fle.Write(func(con config.Content) config.Content {
		con.Keys = con.Keys[1:]
		return con
	})
	if told {
		fle.Tell()
	}
	for fle.Now()-began < 2*lease {
		fle.Run(step)
		if fle.AllHold(version) {
			return (fle.Now() - began).Seconds()
		}
	}
	return (2 * lease).Seconds()
}
