package suspicion

import (
	"cmp"
	"time"

	"rooktrestle/internal/control/estimate"
)

const (
	pathFailuresPerRequest = 2.0  // failures over a path, per request in flight over it, that make it unusable
	minLatencyRise         = 0.01 // weight of times above MinLatency: low, as wide queries end with slow answers
)

// MinStalledRequests is the minimum number of requests in flight for longer than the typical latency that makes a path
// unresponsive.
const MinStalledRequests = 8

// SlowFactor is the multiple of the median of the servers' service times beyond which a target counts as slow.
const SlowFactor = 2.5

// Path records how requests over the network path to a zone end. A zone whose servers all fail at once is more likely
// to be cut off than down; one half-open request at a time tests the path.
type Path struct {
	Record
	MinLatency float64 // minimum response time in microseconds, which rises slowly if all are longer; 0: none yet
}

// Usable reports whether requests may be sent over the path. Failures arrive before answers, so the number of failures
// that make the path unusable grows with the number of requests in flight.
func (p *Path) Usable() bool {
	return p.Penalty < max(MaxPenalty, pathFailuresPerRequest*float64(len(p.InFlight))) && !p.Unresponsive && !p.Slow
}

// AllowsHalfOpen reports whether a half-open request may be sent over the path: the path is usable, or no request is in
// flight over it and the next half-open request is due.
func (p *Path) AllowsHalfOpen(now time.Duration) bool {
	return p.Usable() || len(p.InFlight) == 0 && now >= p.NextHalfOpen
}

// RecordFailure counts a failure over the path.
func (p *Path) RecordFailure() { p.Penalty++ }

// RecordReachable records that a response arrived over the path, even if it was an error.
func (p *Path) RecordReachable() { p.Penalty = 0 }

// RecordAnswer records an answer with its response time in microseconds.
func (p *Path) RecordAnswer(now time.Duration, responseTime float64) {
	p.Penalty = 0
	p.LastSuccess = now
	p.MinLatency = min(responseTime, (1-minLatencyRise)*cmp.Or(p.MinLatency, responseTime)+minLatencyRise*responseTime)
}

// Assess decides whether the path is unresponsive or slow, by the latency over all servers and the median of their
// service times in microseconds. A path counts as slow even if the servers of its zone are the better choice despite
// the distance.
func (p *Path) Assess(now time.Duration, latency *estimate.Latency, medianServiceTime float64) {
	p.Unresponsive = p.Stalled(now, latency.Overdue()) >= MaxPenalty ||
		p.Stalled(now, latency.Typical()) >= MinStalledRequests
	p.Slow = medianServiceTime > 0 && p.MinLatency > SlowFactor*medianServiceTime
}
