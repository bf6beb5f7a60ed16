package balance

import (
	"math"

	"rooktrestle/internal/control/fleet"
)

// Parameters of the C3 rank. docs/decisions-design.md lists every deviation from C3 and when it applies.
const (
	rankExponent = 3 // exponent b of the rank
)

// rank returns the C3 rank R - S + (1 + os n + q)^b S of a server, with latency R, service time S, os own
// requests in flight, n balancers and queue q. While it warms up, the last S is divided by its capacity.
func (b *Balancer) rank(s *server) float64 {
	mean := b.fleet.AveragesOf(&s.Server, b.now)
	capacity := b.fleet.Capacity(&s.Server, b.now)
	outstanding := float64(len(s.InFlight)-s.Lost) * min(fleet.MaxExtrapolated, float64(b.settings.Instances))
	queue := 1 + outstanding + mean.Queue
	return mean.Latency - mean.ServiceTime + math.Pow(queue, rankExponent)*mean.ServiceTime/capacity
}

// pullBack moves the averages of the other candidates half way toward the winner's. A server that is not
// chosen gives no answers that would update its averages, so without the pull-back it could be avoided long
// after it has become fast again. Servers that are not candidates stay unchanged: an unresponsive server must
// not come to look like a responsive one.
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

// recordLoad updates a server's averages by a load report.
func (b *Balancer) recordLoad(server *server, report *LoadReport) {
	if report == nil {
		return
	}
	queue := max(0, report.Queue)
	if report.Queue < 0 {
		queue = max(0, report.InFlight)
	}
	// Avoid the server until the queue drains within admissionFraction of the objective. Guards shards whose
	// replicas are all overloaded, which fleet-wide means hide. May avoid many-core servers for too long.
	excess := b.fleet.DrainTime(queue) - micros(b.minObjective)*admissionFraction
	server.avoidUntil = max(server.avoidUntil, b.now+duration(excess))
	server.RecordLoad(b.now, queue, report.InFlight)
}
