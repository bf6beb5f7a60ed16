package suspicion

import (
	"cmp"
	"time"

	"rooktrestle/internal/control/estimate"
)

const (
	pathFailuresPerRequest = 2.0  // failures against a path, for each request in flight over it, until it is unusable
	minLatencyRise         = 0.01 // weight of response times above a path's least: wide requests end with slow ones
)

// MaxTypicalOverdue is how many requests in flight beyond the typical latency make a path unresponsive.
const MaxTypicalOverdue = 8

// SlowFactor is how many times the median of the servers' service times counts as slow.
const SlowFactor = 2.5

// Path is how requests over the network path to a zone end. A zone whose servers all fail at once is more likely to be
// cut off than down, and one half-open request at a time tells.
type Path struct {
	Record
	MinLatency float64 // least response time, microseconds, slowly rising; 0: none yet
}

// Usable reports whether requests may go over the path. Failures come back before answers, so the more requests are in
// flight, the more failures are needed.
func (p *Path) Usable() bool {
	return p.Penalty < max(MaxPenalty, pathFailuresPerRequest*float64(len(p.InFlight))) && !p.Unresponsive && !p.Slow
}

// AllowsHalfOpen reports whether a half-open request may go over the path: it is usable, or none is in flight and
// one is due.
func (p *Path) AllowsHalfOpen(now time.Duration) bool {
	return p.Usable() || len(p.InFlight) == 0 && now >= p.NextHalfOpen
}

// RecordFailure counts a failure over the path.
func (p *Path) RecordFailure() { p.Penalty++ }

// RecordReachable notes that something came back over the path, if only an error.
func (p *Path) RecordReachable() { p.Penalty = 0 }

// RecordAnswer notes an answer that took so many microseconds.
func (p *Path) RecordAnswer(now time.Duration, took float64) {
	p.Penalty = 0
	p.LastSuccess = now
	p.MinLatency = min(took, (1-minLatencyRise)*cmp.Or(p.MinLatency, took)+minLatencyRise*took)
}

// Assess decides whether the path is unresponsive or slow, by the latency over all servers and the median of their
// service times in microseconds. May hurt where the servers of another zone are the better ones, however far.
func (p *Path) Assess(now time.Duration, latency *estimate.Latency, medianServiceTime float64) {
	p.Unresponsive = p.Stalled(now, latency.Overdue()) >= MaxPenalty ||
		p.Stalled(now, latency.Typical()) >= MaxTypicalOverdue
	p.Slow = medianServiceTime > 0 && p.MinLatency > SlowFactor*medianServiceTime
}
