package estimate

import (
	"cmp"
	"math"
	"time"
)

const (
	// MinReports is how many recent values stand for those of all servers.
	MinReports = 4
	// LongQueueQuantile is the quantile of the queues that a wide request meets.
	LongQueueQuantile = 0.75

	answerPeriods      = 2   // shortest latency objectives over which the rate of answers is taken
	assumedConcurrency = 4   // parts that a server is taken to serve at once: many, as reports may be late
	maxWorkSpread      = 2.0 // a part's mean work over the median service time, at most
	longQueueDelay     = 0.2 // of the shortest objective: a queue with a longer delay is long
)

// Fleet estimates the times and rates of all servers together, in microseconds. Make it with NewFleet.
type Fleet struct {
	Latency
	MedianServiceTime float64 // of the servers; 0: not known
	RecentAnswers     Window
	objective         time.Duration // shortest latency objective
}

// NewFleet returns the estimates before anything was measured, by the shortest latency objective.
func NewFleet(objective time.Duration) Fleet {
	return Fleet{Latency: NewLatency(Microseconds(objective)), objective: objective}
}

// RecordAnswer takes in the response time of one of the parts of a request.
func (f *Fleet) RecordAnswer(now time.Duration, took float64, parts int) {
	f.RecentAnswers.Add(now, now-f.AnswerPeriod())
	f.Record(took, parts)
}

// AnswerPeriod is the time over which the rate of answers is taken, and for which reports count as fresh.
func (f *Fleet) AnswerPeriod() time.Duration { return answerPeriods * f.objective }

// InitialMean is the mean response time before anything was measured.
func (f *Fleet) InitialMean() float64 { return Microseconds(f.objective) * InitialMean }

// PartWork is a high estimate of a part's work: at most the mean latency, which grows with queues.
func (f *Fleet) PartWork() float64 {
	return min(f.Mean, maxWorkSpread*cmp.Or(f.MedianServiceTime, f.Mean))
}

// DrainTime is how long a server takes to work off a queue.
func (f *Fleet) DrainTime(queue float64) float64 { return queue * f.PartWork() / assumedConcurrency }

// IsLongQueue reports whether a queue's delay takes a good share of the shortest latency objective.
func (f *Fleet) IsLongQueue(queue float64) bool {
	return f.DrainTime(queue) >= longQueueDelay*Microseconds(f.objective)
}

// Slowest is the response time of the slowest of parts responses, so many deviations beyond the mean.
func (f *Fleet) Slowest(deviations float64) float64 { return f.Mean + deviations*f.Deviation }

// SlowestWithQueue is the response time of the slowest part where the queues of LongQueueQuantile are delay long. Own
// responses count while they are as fresh as the queues reported; a few stuck parts say nothing of the others.
func (f *Fleet) SlowestWithQueue(deviations, delay float64) float64 {
	mean := f.Mean
	if len(f.RecentAnswers) < MinReports {
		mean = min(mean, f.InitialMean())
	}
	delay *= max(1, deviations/TailFactor/-math.Log(1-LongQueueQuantile)) // of the slowest part, with the same tail
	return mean + deviations*min(f.Deviation, mean*InitialDeviation) + delay
}

// Expected is how long a request of so many parts takes by Little's law: those in flight at each server over the rate
// at which it answers, from the own rate of answers extrapolated to so many instances. Each server is worth one core at
// least. capacity is the servers', in warm ones, and slowest what the slowest part takes when nothing changes.
func (f *Fleet) Expected(parts int, inFlight, capacity, instances, slowest float64) float64 {
	rate := instances * float64(len(f.RecentAnswers)) / Microseconds(f.AnswerPeriod()) / capacity
	rate = max(rate, 1/cmp.Or(f.MedianServiceTime, f.Mean))
	return (inFlight + float64(parts)/capacity) / rate * slowest / f.Mean
}

// ForgetExcess moves the estimates toward those of an idle fleet, for when requests are rejected and bring no answers.
func (f *Fleet) ForgetExcess() { f.Forget(min(f.MedianServiceTime, f.InitialMean())) }
