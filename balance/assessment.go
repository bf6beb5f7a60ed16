package balance

import (
	"slices"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/suspicion"
)

// slowSamples is how many of its last responses must be slow for a server to count as slow.
const slowSamples = 4

// assessServers looks for servers and paths that are unresponsive or slow, whatever makes them so.
func (b *Balancer) assessServers() {
	b.recentAnswers.Since(b.now - answerRatePeriod*b.minObjective)
	b.fleetAverages = b.meanAverages()
	b.medianServiceTime = b.serviceTimeMedian() // for this turn: no answer comes in before the next
	for _, s := range b.endpoints {
		b.assess(s)
	}
	// What is bad with a whole other zone is bad with the path there, whatever it is: cut, slow, or all lost. Its
	// servers are avoided together and one part at a time tests the path.
	for zone, path := range b.paths {
		if zone != b.settings.Zone {
			path.Assess(b.now, &b.latency, b.medianServiceTime)
		}
	}
}

func (b *Balancer) assess(s *server) {
	capacity := b.capacity(s)
	overdue := b.latency.Overdue() / capacity
	s.Unresponsive = s.Stalled(b.now, overdue) > 0 || s.probeUnanswered && b.settings.GossipEnabled()
	s.stalled = 0
	for i := range s.perClass {
		class := &s.perClass[i]
		stalled := class.Stalled(b.now, overdue)
		class.Unresponsive, s.stalled = stalled > 0, s.stalled+stalled
	}
	s.Slow = capacity == 1 && len(s.recent) >= slowSamples-1 &&
		slices.Min(s.recent.Last(slowSamples)) > suspicion.SlowFactor*b.medianServiceTime
}

// meanAverages is the mean over the measured servers.
func (b *Balancer) meanAverages() averages {
	n, mean := 0.0, averages{latency: micros(b.minObjective), serviceTime: micros(b.minObjective)}
	for _, s := range b.endpoints {
		if s.measured && s.listed {
			n++
			mean.latency += (s.latency - mean.latency) / n
			mean.serviceTime += (s.serviceTime - mean.serviceTime) / n
			mean.queue += (s.queue - mean.queue) / n
		}
	}
	return mean
}

// serviceTimeMedian is the median of the servers' service times: no answer comes sooner.
func (b *Balancer) serviceTimeMedian() float64 {
	var times []float64
	for _, s := range b.endpoints {
		if s.listed && len(s.recent) > 0 && s.path.Usable() {
			times = append(times, s.recent.Min())
		}
	}
	return estimate.Median(times)
}
