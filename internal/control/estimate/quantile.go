package estimate

import "slices"

// Median returns the upper median of values, or 0 if there are none. It sorts values.
func Median(values []float64) float64 { return Quantile(values, 0.5) }

// Quantile returns the q-quantile (0 <= q < 1) of values, or 0 if there are none. It sorts values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)))]
}
