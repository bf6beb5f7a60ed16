package fleet

import (
	"cmp"
	"time"

	"rooktrestle/internal/control/estimate"
)

// partWork is a high estimate of a part's work: a multiple of the median service time, but at most the mean latency,
// which also includes time in queues.
func (f *Fleet) partWork() float64 {
	return min(f.Mean, maxWorkFactor*cmp.Or(f.MedianServiceTime, f.Mean))
}

// DrainTime is how long a server takes to process all parts of a queue.
func (f *Fleet) DrainTime(queue float64) float64 { return queue * f.partWork() / assumedConcurrency }

// IsLongQueue reports whether a queue's drain time is at least longQueueDelay of the shortest latency objective.
func (f *Fleet) IsLongQueue(queue float64) bool {
	return f.DrainTime(queue) >= longQueueDelay*estimate.Microseconds(f.Options.Objective)
}

// Backlogged reports whether a server has a long queue: by its AveragesOf, or because the last gossip reported one.
// The latter expires after reportLifetime; without further reports it would otherwise count for good.
func (f *Fleet) Backlogged(s *Server, now time.Duration) bool {
	reported := s.QueueWasLong && now-s.ReportedAt < reportLifetime*f.Options.Objective
	return reported || f.IsLongQueue(f.AveragesOf(s, now).Queue)
}

// QueueDelay is how long a part waits in a server's queue, if the instances share the results of their probes; else 0.
func (f *Fleet) QueueDelay(s *Server, now time.Duration) float64 {
	if !f.Options.ProbesShared {
		return 0
	}
	return f.DrainTime(f.AveragesOf(s, now).Queue)
}

// ObservedQueueDelay is how long a part waits at the servers with long queues, by the queues that recent probes
// reported; measured is false if there are too few of these. Probes are current where response times are not: one of
// many instances receives few answers, and after congestion none.
func (f *Fleet) ObservedQueueDelay(now time.Duration) (delay float64, measured bool) {
	var queues []float64
	for _, s := range f.Servers {
		if s.Listed && now-s.ProbedQueueAt < f.answerPeriod() {
			queues = append(queues, s.ProbedQueue)
		}
	}
	measured = len(queues) >= minSamples && !f.Extrapolates()
	return f.DrainTime(estimate.Quantile(queues, longQueueQuantile)), measured
}
