package estimate

import "math"

// The estimate before anything was measured, as ratios.
const (
	InitialMean      = 0.25 // of the shortest latency objective: the mean response time
	InitialDeviation = 0.25 // of that mean: the mean deviation
)

// TailFactor is by how many mean deviations the slowest response is late, times ln of the number of responses.
const TailFactor = 1.2

const (
	maxSmoothing      = 0.05 // weight of one response time, at most
	requestSmoothing  = 0.5  // weight of all response times of one request together, at most
	overdueDeviations = 3.0  // mean deviations beyond the mean at which an attempt is overdue
	forgetting        = 0.3  // share of the excess that Forget takes away
)

// Latency estimates the response times over all servers, in microseconds.
type Latency struct {
	Mean      float64
	Deviation float64 // mean absolute deviation
}

// NewLatency returns the estimate before anything was measured, by the shortest latency objective in microseconds.
func NewLatency(objective float64) Latency {
	return Latency{Mean: objective * InitialMean, Deviation: objective * InitialMean * InitialDeviation}
}

// Record takes in the response time of one of the parts of a request. Each request counts about the same: its parts
// come in by their times, and the last of a wide one, its slowest, would outweigh all others.
func (l *Latency) Record(took float64, parts int) {
	weight := min(maxSmoothing, requestSmoothing/float64(max(1, parts)))
	l.Deviation += weight * (math.Abs(took-l.Mean) - l.Deviation)
	l.Mean += weight * (took - l.Mean)
}

// Forget moves the mean toward a floor and shrinks the deviation, for when no new responses will correct them.
func (l *Latency) Forget(floor float64) {
	l.Mean += forgetting * (floor - l.Mean)
	l.Deviation -= forgetting * l.Deviation
}

// Overdue is the response time beyond which an attempt is overdue.
func (l *Latency) Overdue() float64 { return l.Mean + overdueDeviations*l.Deviation }

// Typical is the response time within which most attempts end: one deviation beyond the mean.
func (l *Latency) Typical() float64 { return l.Mean + l.Deviation }

// TailDeviations says by how many deviations the slowest of parts responses is beyond the mean, where the fraction
// optional of the slowest is not waited for: of m times with an exponential tail the one with k beyond it lies about
// ln m/(k+1) deviations out.
func TailDeviations(parts int, optional float64) float64 {
	m := float64(max(1, parts))
	return TailFactor * math.Log(m/(1+math.Floor(m*optional)))
}
