package fleet

import (
	"cmp"
	"time"

	"rooktrestle/internal/control/estimate"
)

// partWork is a high estimate of a part's work: at most the mean latency, which grows with queues.
func (f *Fleet) partWork() float64 {
	return min(f.Mean, maxWorkFactor*cmp.Or(f.MedianServiceTime, f.Mean))
}

// DrainTime is how long a server takes to work off a queue.
func (f *Fleet) DrainTime(queue float64) float64 { return queue * f.partWork() / assumedConcurrency }

// IsLongQueue reports whether a queue's delay takes a good share of the shortest latency objective.
func (f *Fleet) IsLongQueue(queue float64) bool {
	return f.DrainTime(queue) >= longQueueDelay*estimate.Microseconds(f.Options.Objective)
}

// Backlogged reports whether a server has a long queue, by what is known of it, or with time of the others. The last
// report of a long one counts only for so long: where no reports come it would for good.
func (f *Fleet) Backlogged(s *Server, now time.Duration) bool {
	reported := s.QueueWasLong && now-s.ReportedAt < reportLifetime*f.Options.Objective
	return reported || f.IsLongQueue(f.AveragesOf(s, now).Queue)
}

// QueueDelay is how long a part waits at a server before it is begun, where clients share what they know of queues;
// else 0.
func (f *Fleet) QueueDelay(s *Server, now time.Duration) float64 {
	if !f.Options.ProbesShared {
		return 0
	}
	return f.DrainTime(f.AveragesOf(s, now).Queue)
}

// ObservedQueueDelay is how long a part waits at the servers with long queues, by what probes showed lately;
// measured is false where too few did. It is fresh where responses are old: one of many clients has few, and after
// a jam none.
func (f *Fleet) ObservedQueueDelay(now time.Duration) (delay float64, measured bool) {
	var queues []float64
	for _, s := range f.Servers {
		if s.Listed && now-s.ProbedQueueAt < f.answerPeriod() {
			queues = append(queues, s.ProbedQueue)
		}
	}
	measured = len(queues) >= minReports && !f.Extrapolates()
	return f.DrainTime(estimate.Quantile(queues, longQueueQuantile)), measured
}
