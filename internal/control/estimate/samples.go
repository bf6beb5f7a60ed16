package estimate

import "slices"

// maxSamples is the number of samples that are retained.
const maxSamples = 8

// Samples are the last measured values, oldest first, at most maxSamples of them.
type Samples []float64

// Add adds a value and drops the oldest beyond maxSamples.
func (s *Samples) Add(value float64) {
	*s = append(*s, value)
	if len(*s) > maxSamples {
		*s = (*s)[1:]
	}
}

// Last returns the last n values, or all if there are fewer. The caller must not modify the slice.
func (s Samples) Last(n int) []float64 { return s[max(0, len(s)-n):] }

// Mean returns the mean of the last n values, or 0 if there are none.
func (s Samples) Mean(n int) (mean float64) {
	last := s.Last(n)
	for _, value := range last {
		mean += value / float64(len(last))
	}
	return mean
}

// Max returns the greatest value, or 0 if there are none.
func (s Samples) Max() (greatest float64) {
	for _, value := range s {
		greatest = max(greatest, value)
	}
	return greatest
}

// Min returns the least value. There must be one.
func (s Samples) Min() float64 { return slices.Min(s) }
