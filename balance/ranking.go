package balance

import (
	"math"

	"rooktrestle/internal/control/suspicion"
)

// The C3 rank. docs/design.md names every departure from it and says when it acts.
const (
	rankExponent     = 3   // b of the rank
	latencySmoothing = 0.3 // weight of a new response or service time
	queueSmoothing   = 0.7 // of a reported queue: reports are scarce, so each counts for more
	reportLifetime   = 3   // shortest objectives in which a reported queue goes two thirds of the way to the mean
)

// averages are C3's moving averages of a server.
type averages struct {
	latency     float64 // R: response time, microseconds
	serviceTime float64 // S: service time, microseconds
	queue       float64 // q: reported queue length
}

// rank is C3's: R - S + (1 + os n + q)^b S. The S of a server that warms up is stretched by the fraction of its
// capacity that it has, so that it ranks by what it can do now.
func (b *Balancer) rank(s *server) float64 {
	mean := b.averagesOf(s)
	capacity := b.capacity(s)
	outstanding := float64(len(s.InFlight)-s.stalled) * min(maxExtrapolated, float64(b.settings.Instances))
	queue := 1 + outstanding + mean.queue
	return mean.latency - mean.serviceTime + math.Pow(queue, rankExponent)*mean.serviceTime/capacity
}

// averagesOf are a server's own averages, or while it is unmeasured the mean of the known ones. A reported queue goes
// toward that mean with its age: one balancer of many may have heard of it many queues ago.
func (b *Balancer) averagesOf(s *server) averages {
	mean := b.fleetAverages
	if s.measured {
		mean.latency, mean.serviceTime = s.latency, s.serviceTime
	}
	if s.reportedAt > 0 {
		age := micros(b.now-s.reportedAt) / (reportLifetime * micros(b.minObjective))
		mean.queue += (s.queue - mean.queue) * math.Exp(-age)
	}
	return mean
}

// pullBack moves the losers' averages half way to the winner's. Only candidates: a server that answers nothing must not
// come to look like one that does.
func (b *Balancer) pullBack(winner *server, candidates []*server) {
	mean := b.averagesOf(winner)
	for _, s := range candidates {
		if s != winner && s.measured {
			s.averages = averages{(s.latency + mean.latency) / 2, (s.serviceTime + mean.serviceTime) / 2,
				(s.queue + mean.queue) / 2}
		}
	}
}

// recordAnswer takes a response time into a server's averages.
func (b *Balancer) recordAnswer(s *server, took float64, parts int) {
	s.path.RecordAnswer(b.now, took)
	s.recent.Add(took)
	least := s.recent.Min()
	if !s.measured {
		s.averages = averages{took, least, b.averagesOf(s).queue}
		s.measured = true
	} else {
		s.latency += latencySmoothing * (took - s.latency)
		s.serviceTime += latencySmoothing * (least - s.serviceTime)
	}
	s.LastSuccess, s.probeFailed, s.probeUnanswered = b.now, false, false
	b.demand.Answered++
	b.recentAnswers.Add(b.now, b.now-answerRatePeriod*b.minObjective)
	s.RecordSuccess()
	b.latency.Record(took, parts)
}

// recordUnanswered takes the time of an attempt that was not answered: its answer would have taken longer, so the
// average may only rise.
func (b *Balancer) recordUnanswered(s *server, took float64, parts int) {
	if s.measured && took > s.latency {
		s.latency += latencySmoothing * (took - s.latency)
	}
	if took > b.latency.Mean && s.healthy() {
		b.latency.Record(took, parts)
	}
	if took > suspicion.SlowFactor*b.serviceTimeMedian() {
		s.recent.Add(took) // or a server so slow that none of its answers is waited for never shows it
	}
}
