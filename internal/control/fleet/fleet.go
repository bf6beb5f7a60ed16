// Package fleet estimates response times, queue lengths and request rates, over all servers and of each one, from the
// answers, load reports and probes that one of several instances observes. It does no I/O and reads no clock: the
// caller passes the time. Times of type float64 are in microseconds.
package fleet

import (
	"cmp"
	"math"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
)

// MaxExtrapolated is the largest number of instances for which the requests of one are representative of all: one of
// many observes too little of what the others send.
const MaxExtrapolated = 4

const (
	answerPeriods      = 2    // shortest latency objectives over which the rate of answers is measured
	reportLifetime     = 3    // shortest objectives: time constant with which a reported queue decays to the mean
	assumedConcurrency = 4    // parts that a server is assumed to process at once: high, as reports may be delayed
	maxWorkFactor      = 2.0  // upper limit of a part's estimated work, as a multiple of the median service time
	longQueueDelay     = 0.2  // fraction of the shortest objective from which on a queue's delay counts as long
	longQueueQuantile  = 0.75 // quantile of the recently probed queues that a wide query is assumed to meet
	minSamples         = 4    // probed queues, or recent answers, needed for an estimate over all servers
)

// Options describe a fleet and the instances that send to it.
type Options struct {
	Instances    int           // that send to the servers, this one included; at least 1
	Objective    time.Duration // shortest latency objective
	ProbesShared bool          // the instances share the results of their probes
	SlowStart    slowstart.Limits
}

// Fleet stores one instance's estimates of the servers. Make it with New; it is not safe for concurrent use.
type Fleet struct {
	estimate.Latency                  // over all servers
	Servers           []*Server       // maintained by the owner, in a deterministic order
	Averages          estimate.Mean   // over the measured servers, as of the last Assess
	RecentAnswers     estimate.Window // when parts were answered recently
	Demand            slowstart.Demand
	MedianServiceTime float64 // of the servers, as of the last Assess, microseconds; 0: unknown
	Options           Options
	RemotePaths       []*suspicion.Path // to the other zones
}

// New returns a Fleet with the estimates that apply before any measurement.
func New(options Options) Fleet {
	return Fleet{Latency: estimate.NewLatency(estimate.Microseconds(options.Objective)), Options: options}
}

// Extrapolates reports whether there are so few instances that the requests of this one are representative of all.
func (f *Fleet) Extrapolates() bool { return f.Options.Instances <= MaxExtrapolated }

// Assess updates the estimates and decides which servers and paths are unresponsive or slow. Call it once a turn.
func (f *Fleet) Assess(now time.Duration) {
	f.RecentAnswers.Since(now - f.answerPeriod())
	f.Averages = f.meanAverages()
	f.MedianServiceTime = f.medianServiceTime()
	for _, s := range f.Servers {
		capacity := f.Capacity(s, now)
		s.Assess(now, suspicion.Conditions{
			Overdue:           f.Overdue() / capacity,
			MedianServiceTime: f.MedianServiceTime,
			Warm:              capacity == 1,
			ProbesShared:      f.Options.ProbesShared,
		})
	}
	// If all servers of another zone show the same fault, it is assumed to be one of the network path to that zone,
	// which is cut, slow, or loses all messages. Its servers are avoided together, and one part at a time tests the
	// path.
	for _, path := range f.RemotePaths {
		path.Assess(now, &f.Latency, f.MedianServiceTime)
	}
}

// meanAverages returns the mean over the measured servers; if none was measured yet, the shortest objective.
func (f *Fleet) meanAverages() estimate.Mean {
	objective := estimate.Microseconds(f.Options.Objective)
	mean := estimate.Mean{Averages: estimate.Averages{Latency: objective, ServiceTime: objective}}
	for _, s := range f.Servers {
		if s.Measured && s.Listed {
			mean.Add(s.Averages)
		}
	}
	return mean
}

// medianServiceTime returns the median of the servers' service times, each the minimum of recent response times:
// hardly any answer arrives sooner.
func (f *Fleet) medianServiceTime() float64 {
	var times []float64
	for _, s := range f.Servers {
		if s.Listed && len(s.Recent) > 0 && s.Path.Usable() {
			times = append(times, s.Recent.Min())
		}
	}
	return estimate.Median(times)
}

// AveragesOf returns a server's own averages, or while it is unmeasured the mean over the measured servers. A reported
// queue decays toward that mean with its age: with many instances, a report may be older than the time in which many
// such queues are drained.
func (f *Fleet) AveragesOf(s *Server, now time.Duration) estimate.Averages {
	mean := f.Averages.Averages
	if s.Measured {
		mean.Latency = s.Latency
		mean.ServiceTime = s.ServiceTime
	}
	if s.ReportedAt > 0 {
		age := estimate.Microseconds(now-s.ReportedAt) / (reportLifetime * estimate.Microseconds(f.Options.Objective))
		mean.Queue += (s.Queue - mean.Queue) * math.Exp(-age)
	}
	return mean
}

// RecordAnswer records the response time of one part of a query; parts is the number of parts of the query.
func (f *Fleet) RecordAnswer(s *Server, now time.Duration, responseTime float64, parts int) {
	s.RecordAnswer(now, responseTime)
	if s.Measured {
		s.Averages.Record(responseTime, s.Recent.Min())
	} else {
		queue := f.AveragesOf(s, now).Queue
		s.Averages = estimate.Averages{Latency: responseTime, ServiceTime: s.Recent.Min(), Queue: queue}
		s.Measured = true
	}
	f.Demand.Answered++
	f.RecentAnswers.Add(now, now-f.answerPeriod())
	f.Record(responseTime, parts)
}

// RecordUnanswered records how long an attempt was in flight that ended without an answer: its answer would have taken
// longer.
func (f *Fleet) RecordUnanswered(s *Server, elapsed float64, parts int) {
	if s.Measured {
		s.RecordUnanswered(elapsed)
	}
	if elapsed > f.Mean && s.Healthy() {
		f.Record(elapsed, parts)
	}
	if elapsed > suspicion.SlowFactor*f.medianServiceTime() {
		s.Recent.Add(elapsed) // else a server whose attempts are all canceled would never count as slow
	}
}

// answerPeriod is the time over which the rate of answers is measured, and for which load reports count as fresh.
func (f *Fleet) answerPeriod() time.Duration { return answerPeriods * f.Options.Objective }

// InitialMean is the mean response time that is assumed before any measurement.
func (f *Fleet) InitialMean() float64 {
	return estimate.Microseconds(f.Options.Objective) * estimate.InitialMean
}

// SlowestResponseTime is the expected response time of the slowest part, which is the given number of mean deviations
// beyond the mean.
func (f *Fleet) SlowestResponseTime(deviations float64) float64 {
	return f.Mean + deviations*f.Deviation
}

// SlowestResponseTimeWithQueue is the response time of the slowest part where long queues delay parts by delay. A
// measured mean above the initial one counts only if enough answers are as fresh as the probed queues: a few delayed
// parts are not representative of the others.
func (f *Fleet) SlowestResponseTimeWithQueue(deviations, delay float64) float64 {
	mean := f.Mean
	if len(f.RecentAnswers) < minSamples {
		mean = min(mean, f.InitialMean())
	}
	// delay is the longQueueQuantile of the delays. The slowest part's delay is derived from it by assuming the same
	// exponential tail as that of response times.
	delay *= max(1, deviations/estimate.TailFactor/-math.Log(1-longQueueQuantile))
	return mean + deviations*min(f.Deviation, mean*estimate.InitialDeviation) + delay
}

// ExpectedResponseTime estimates by Little's law how long a new query of a class will take: the requests in flight at
// healthy servers, divided by the rate at which these answer. The number in flight falls as soon as less is sent, so
// rejections do not cause further rejections. That number is the median of fresh load reports, each plus the requests
// sent since, because a few servers may have most of the requests; or that extrapolated from own requests, if it is
// greater. If there are many instances and no fresh reports, measured is false and the result is slowest, the recent
// response time of the slowest part. Each healthy server is assumed to have the capacity of at least one core.
func (f *Fleet) ExpectedResponseTime(
	now time.Duration, class, parts int, slowest float64,
) (expected float64, measured bool) {
	instances := float64(f.Options.Instances)
	own := 0.0
	capacity := 0.0
	var reports []float64
	for _, s := range f.Servers {
		if !s.Listed || !s.HealthyFor(class) {
			continue
		}
		capacity += f.Capacity(s, now)
		own += float64(len(s.InFlight) - s.Lost)
		if inFlight, known := s.inFlightSince(now - f.answerPeriod()); known {
			reports = append(reports, inFlight)
		}
	}
	if reports == nil && instances > MaxExtrapolated {
		return slowest, false
	}
	capacity = max(capacity, 1)
	rate := instances * float64(len(f.RecentAnswers)) / estimate.Microseconds(f.answerPeriod()) / capacity
	rate = max(rate, 1/cmp.Or(f.MedianServiceTime, f.Mean))
	inFlight := max(min(instances, MaxExtrapolated)*own/capacity, estimate.Median(reports))
	return (inFlight + float64(parts)/capacity) / rate * slowest / f.Mean, true
}

// ForgetExcess moves the estimates toward those of an idle fleet. Call it when a query is rejected, as rejected
// queries bring no answers that would correct the estimates.
func (f *Fleet) ForgetExcess() { f.Forget(min(f.MedianServiceTime, f.InitialMean())) }
