package measure

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"marigoldlug.example/lugbench/pkg/runner"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// PlotThreshold draws how long detection takes at each ejection threshold, for
// both deployments, into a file whose ending names the format.
func PlotThreshold(file string, seeds int) error {
	plt := plot.New()
	plt.Title.Text = "A target that fails 10% of its requests"
	plt.X.Label.Text = "ejection threshold"
	plt.Y.Label.Text = "seconds to detect"
	plt.Y.Min = 0
	plt.Legend.Top = true
	plt.Legend.Left = true
	var lines []any
	for _, dep := range runner.Deployments() {
		var p50, p99 plotter.XYs
		for _, thr := range thresholds {
			times := make([]float64, seeds)
			parallel(seeds, func(num int) {
				vrt := Variant{Name: "pool", Threshold: thr}
				times[num] = detect(dep, vrt, runner.Fault{Name: "fail10%", FailShare: 0.1}, uint64(num+1)).Time
			})
			p50 = append(p50, plotter.XY{X: float64(thr), Y: quantile(times, 0.5)})
			p99 = append(p99, plotter.XY{X: float64(thr), Y: quantile(times, 0.99)})
		}
		lines = append(lines, dep.Name+" p50", p50, dep.Name+" p99", p99)
	}
	if err := plotutil.AddLinePoints(plt, lines...); err != nil {
		return err
	}
	return plt.Save(plotWidth, plotHeight, file)
}
