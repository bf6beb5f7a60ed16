package estimate

import "math"

// The initial estimate, which applies before any measurement, as ratios.
const (
	InitialMean      = 0.25 // mean response time, as a fraction of the shortest latency objective
	InitialDeviation = 0.25 // mean deviation, as a fraction of InitialMean
)

// TailFactor times ln n is the number of mean deviations by which the slowest of n responses exceeds the mean.
const TailFactor = 1.2

const (
	maxSmoothing      = 0.05 // weight of one response time, at most
	querySmoothing    = 0.5  // total weight of the response times of one query, at most
	overdueDeviations = 3.0  // mean deviations beyond the mean at which an attempt is overdue
	forgetFraction    = 0.3  // fraction of the excess that Forget removes
)

// Latency estimates the response times over all servers, in microseconds.
type Latency struct {
	Mean      float64
	Deviation float64 // mean absolute deviation
}

// NewLatency returns the initial estimate for a shortest latency objective in microseconds.
func NewLatency(objective float64) Latency {
	return Latency{Mean: objective * InitialMean, Deviation: objective * InitialMean * InitialDeviation}
}

// Record adds the response time of one part of a query; parts is the number of parts of the query. Each query has about
// the same total weight: parts are recorded in the order of their response times, so the slowest parts of a wide query,
// recorded last, would otherwise outweigh all others.
func (l *Latency) Record(responseTime float64, parts int) {
	weight := min(maxSmoothing, querySmoothing/float64(max(1, parts)))
	l.Deviation += weight * (math.Abs(responseTime-l.Mean) - l.Deviation)
	l.Mean += weight * (responseTime - l.Mean)
}

// Forget moves the mean toward a floor and reduces the deviation. It is for times without new responses, which would
// correct them.
func (l *Latency) Forget(floor float64) {
	l.Mean += forgetFraction * (floor - l.Mean)
	l.Deviation -= forgetFraction * l.Deviation
}

// Overdue is the response time beyond which an attempt is overdue.
func (l *Latency) Overdue() float64 { return l.Mean + overdueDeviations*l.Deviation }

// Typical is the response time within which most attempts end: one deviation beyond the mean.
func (l *Latency) Typical() float64 { return l.Mean + l.Deviation }

// TailDeviations returns by how many mean deviations the slowest response that is needed exceeds the mean. Of the
// responses, one for each part, the slowest ones are not needed: the fraction optional of them. Of m times with an
// exponential tail, the one that k others exceed is about ln(m/(k+1)) deviations beyond the mean.
func TailDeviations(parts int, optional float64) float64 {
	m := float64(max(1, parts))
	return TailFactor * math.Log(m/(1+math.Floor(m*optional)))
}
