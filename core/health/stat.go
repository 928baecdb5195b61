package health

import (
	"math"
	"slices"
)

func meanDeviation(vals []float64) (mean, deviation float64) {
	if len(vals) == 0 {
		return 0, 0
	}
	for _, val := range vals {
		mean += val
	}
	mean /= float64(len(vals))
	for _, val := range vals {
		deviation += (val - mean) * (val - mean)
	}
	return mean, math.Sqrt(deviation / float64(len(vals)))
}

// median returns the middle of vals, which it sorts, and 0 for none.
func median(vals []float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[len(vals)/2]
}
