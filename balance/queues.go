package balance

import (
	"cmp"

	"rooktrestle/internal/control/estimate"
)

// partWork is a high estimate of a part's work: at most the mean latency, which grows with queues.
func (b *Balancer) partWork() float64 {
	return min(b.latency.Mean, maxWorkSpread*cmp.Or(b.medianServiceTime, b.latency.Mean))
}

// drainTime is how long a server takes to work off a queue.
func (b *Balancer) drainTime(queue float64) float64 { return queue * b.partWork() / assumedConcurrency }

// isLongQueue reports whether a queue's delay takes a good share of the shortest objective.
func (b *Balancer) isLongQueue(queue float64) bool {
	return b.drainTime(queue) >= longQueueDelay*micros(b.minObjective)
}

// backlogged reports whether a server has a long queue, by what is known of it, or with time of the others. The last
// report of a long one counts only for so long: where no reports come it would for good.
func (b *Balancer) backlogged(s *server) bool {
	reported := s.queueWasLong && b.now-s.reportedAt < reportLifetime*b.minObjective
	return reported || b.isLongQueue(b.averagesOf(s).queue)
}

// queueDelay is how long a part waits at a server before it is begun, where queues are shared by gossip.
func (b *Balancer) queueDelay(s *server) float64 {
	if !b.settings.GossipEnabled() {
		return 0
	}
	return b.drainTime(b.averagesOf(s).queue)
}

// observedQueueDelay is how long a part waits at the servers with long queues, by what probes showed lately; measured is
// false where too few did. It is fresh where responses are old: one of many balancers has few, and after a jam none.
func (b *Balancer) observedQueueDelay() (delay float64, measured bool) {
	var queues []float64
	for _, s := range b.endpoints {
		if s.listed && b.now-s.probedQueueAt < answerRatePeriod*b.minObjective {
			queues = append(queues, s.probedQueue)
		}
	}
	measured = len(queues) >= minReports && b.settings.Instances > maxExtrapolated
	return b.drainTime(estimate.Quantile(queues, longQueueQuantile)), measured
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
	if s.reportedAt == 0 {
		s.queue = queue
	}
	s.queue += queueSmoothing * (queue - s.queue)
	// Keep off while more than an objective's worth of parts waits. Guards a shard whose replicas are all crowded,
	// which the fleet's state does not show. May hurt where servers have many cores.
	excess := b.drainTime(queue) - micros(b.minObjective)*admissionShare
	s.avoidUntil = max(s.avoidUntil, b.now+duration(excess))
	s.reportedAt, s.reportedInFlight = b.now, report.InFlight
}
