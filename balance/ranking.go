package balance

import (
	"math"

	"rooktrestle/internal/control/fleet"
)

// The C3 rank. docs/decisions-design.md names every departure from it and says when it acts.
const (
	rankExponent = 3 // b of the rank
)

// rank is C3's: R - S + (1 + os n + q)^b S. The S of a server that warms up is stretched by the fraction of
// its capacity that it has, so that it ranks by what it can do now.
func (b *Balancer) rank(s *server) float64 {
	mean := b.fleet.AveragesOf(&s.Server, b.now)
	capacity := b.fleet.Capacity(&s.Server, b.now)
	outstanding := float64(len(s.InFlight)-s.Lost) * min(fleet.MaxExtrapolated, float64(b.settings.Instances))
	queue := 1 + outstanding + mean.Queue
	return mean.Latency - mean.ServiceTime + math.Pow(queue, rankExponent)*mean.ServiceTime/capacity
}

// pullBack moves the losers' averages half way to the winner's. Only candidates: a server that answers
// nothing must not come to look like one that does.
func (b *Balancer) pullBack(winner *server, candidates []*server) {
	mean := b.fleet.AveragesOf(&winner.Server, b.now)
	for _, server := range candidates {
		if server != winner && server.Measured {
			server.Latency = (server.Latency + mean.Latency) / 2
			server.ServiceTime = (server.ServiceTime + mean.ServiceTime) / 2
			server.Queue = (server.Queue + mean.Queue) / 2
		}
	}
}

// recordLoad takes a load report into a server's averages.
func (b *Balancer) recordLoad(server *server, report *LoadReport) {
	if report == nil {
		return
	}
	queue := max(0, report.Queue)
	if report.Queue < 0 {
		queue = max(0, report.InFlight)
	}
	// Keep off while more than an objective's worth of parts waits. Guards a shard whose replicas are all
	// crowded, which the fleet's state does not show. May hurt where servers have many cores.
	excess := b.fleet.DrainTime(queue) - micros(b.minObjective)*admissionFraction
	server.avoidUntil = max(server.avoidUntil, b.now+duration(excess))
	server.RecordLoad(b.now, queue, report.InFlight)
}
