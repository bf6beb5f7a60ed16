package balance

import (
	"math"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/suspicion"
)

// The C3 rank. docs/design.md names every departure from it and says when it acts.
const (
	rankExponent   = 3 // b of the rank
	reportLifetime = 3 // shortest objectives in which a reported queue goes two thirds of the way to the mean
)

// rank is C3's: R - S + (1 + os n + q)^b S. The S of a server that warms up is stretched by the fraction of its
// capacity that it has, so that it ranks by what it can do now.
func (b *Balancer) rank(s *server) float64 {
	mean := b.averagesOf(s)
	capacity := b.capacity(s)
	outstanding := float64(len(s.InFlight)-s.Lost) * min(maxExtrapolated, float64(b.settings.Instances))
	queue := 1 + outstanding + mean.Queue
	return mean.Latency - mean.ServiceTime + math.Pow(queue, rankExponent)*mean.ServiceTime/capacity
}

// averagesOf are a server's own averages, or while it is unmeasured the mean of the known ones. A reported queue goes
// toward that mean with its age: one balancer of many may have heard of it many queues ago.
func (b *Balancer) averagesOf(s *server) estimate.Averages {
	mean := b.fleetAverages.Averages
	if s.measured {
		mean.Latency, mean.ServiceTime = s.Latency, s.ServiceTime
	}
	if s.reportedAt > 0 {
		age := micros(b.now-s.reportedAt) / (reportLifetime * micros(b.minObjective))
		mean.Queue += (s.Queue - mean.Queue) * math.Exp(-age)
	}
	return mean
}

// pullBack moves the losers' averages half way to the winner's. Only candidates: a server that answers nothing must
// not come to look like one that does.
func (b *Balancer) pullBack(winner *server, candidates []*server) {
	mean := b.averagesOf(winner)
	for _, s := range candidates {
		if s != winner && s.measured {
			s.Latency = (s.Latency + mean.Latency) / 2
			s.ServiceTime = (s.ServiceTime + mean.ServiceTime) / 2
			s.Queue = (s.Queue + mean.Queue) / 2
		}
	}
}

// recordAnswer takes a response time into a server's averages.
func (b *Balancer) recordAnswer(s *server, took float64, parts int) {
	s.RecordAnswer(b.now, took)
	if s.measured {
		s.Averages.Record(took, s.Recent.Min())
	} else {
		s.Averages = estimate.Averages{Latency: took, ServiceTime: s.Recent.Min(), Queue: b.averagesOf(s).Queue}
		s.measured = true
	}
	b.demand.Answered++
	b.fleet.RecordAnswer(b.now, took, parts)
}

// recordUnanswered takes the time of an attempt that was not answered: its answer would have taken longer.
func (b *Balancer) recordUnanswered(s *server, took float64, parts int) {
	if s.measured {
		s.RecordUnanswered(took)
	}
	if took > b.fleet.Mean && s.Healthy() {
		b.fleet.Record(took, parts)
	}
	if took > suspicion.SlowFactor*estimate.Median(b.serviceTimes()) {
		s.Recent.Add(took) // or a server so slow that none of its answers is waited for never shows it
	}
}

// recordLoad takes a load report into a server's averages.
func (b *Balancer) recordLoad(s *server, report *LoadReport) {
	if report == nil {
		return
	}
	queue := max(0, report.Queue)
	if report.Queue < 0 {
		queue = max(0, report.InFlight)
	}
	s.RecordQueue(queue, s.reportedAt == 0)
	// Keep off while more than an objective's worth of parts waits. Guards a shard whose replicas are all crowded,
	// which the fleet's state does not show. May hurt where servers have many cores.
	excess := b.fleet.DrainTime(queue) - micros(b.minObjective)*admissionShare
	s.avoidUntil = max(s.avoidUntil, b.now+duration(excess))
	s.reportedAt, s.reportedInFlight = b.now, report.InFlight
}
