// Package fleet estimates response times, queues and rates of all servers together and of each, from the answers, load
// reports and probes that one of many clients sees. It does no I/O and reads no clock: each call is given the time.
// Times that are floating-point numbers are in microseconds.
package fleet

import (
	"cmp"
	"math"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
)

// MaxExtrapolated is the largest number of clients for which the requests of one stand for those of all: one of
// many knows little of the others.
const MaxExtrapolated = 4

const (
	answerPeriods      = 2    // shortest latency objectives over which the rate of answers is taken
	reportLifetime     = 3    // shortest objectives in which a reported queue goes two thirds of the way to the mean
	assumedConcurrency = 4    // parts that a server is taken to serve at once: many, as reports may be late
	maxWorkFactor      = 2.0  // a part's work is taken as at most this multiple of the median service time
	longQueueDelay     = 0.2  // of the shortest objective: a queue with a longer delay is long
	longQueueQuantile  = 0.75 // quantile of the queues lately reported that a wide request meets
	minReports         = 4    // least number of servers whose queues, or of answers whose times, stand for all
)

// Options describe a fleet and its clients.
type Options struct {
	Instances    int           // clients that send to the servers, this one included; at least 1
	Objective    time.Duration // shortest latency objective
	ProbesShared bool          // the clients share what their probes show
	SlowStart    slowstart.Limits
}

// Fleet is what one client knows of the servers. Make it with New; it is not safe for concurrent use.
type Fleet struct {
	estimate.Latency                  // of all servers
	Servers           []*Server       // the owner keeps it up to date, in an order that does not depend on chance
	Averages          estimate.Mean   // over the measured servers, as of the last Assess
	RecentAnswers     estimate.Window // when parts were answered lately
	Demand            slowstart.Demand
	MedianServiceTime float64 // of the servers, as of the last Assess, microseconds; 0: not known
	Options           Options
	RemotePaths       []*suspicion.Path // to the other zones
}

// New returns the estimates before anything was measured.
func New(options Options) Fleet {
	return Fleet{Latency: estimate.NewLatency(estimate.Microseconds(options.Objective)), Options: options}
}

// Extrapolates reports whether clients are so few that own requests stand for those of all.
func (f *Fleet) Extrapolates() bool { return f.Options.Instances <= MaxExtrapolated }

// Assess brings the estimates up to date and decides which servers and paths are unresponsive or slow. Call it
// once a turn.
func (f *Fleet) Assess(now time.Duration) {
	f.RecentAnswers.Since(now - f.answerPeriod())
	f.Averages = f.meanAverages()
	f.MedianServiceTime = f.serviceTime()
	for _, s := range f.Servers {
		capacity := f.Capacity(s, now)
		s.Assess(now, suspicion.Conditions{
			Overdue:           f.Overdue() / capacity,
			MedianServiceTime: f.MedianServiceTime,
			Warm:              capacity == 1,
			ProbesShared:      f.Options.ProbesShared,
		})
	}
	// A fault that all servers of another zone show is one of the path there: it is cut, slow, or loses everything.
	// The servers are avoided together, and one part at a time tests the path.
	for _, path := range f.RemotePaths {
		path.Assess(now, &f.Latency, f.MedianServiceTime)
	}
}

// meanAverages are those over the measured servers; before any was measured, the shortest objective.
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

// serviceTime is the median of the servers' service times: no answer comes sooner.
func (f *Fleet) serviceTime() float64 {
	var times []float64
	for _, s := range f.Servers {
		if s.Listed && len(s.Recent) > 0 && s.Path.Usable() {
			times = append(times, s.Recent.Min())
		}
	}
	return estimate.Median(times)
}

// AveragesOf are a server's own averages, or while it is unmeasured the mean of the known ones. A reported queue goes
// toward that mean with its age: one client of many may have heard of it many queues ago.
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

// RecordAnswer takes in the response time of one of the parts of a request.
func (f *Fleet) RecordAnswer(s *Server, now time.Duration, took float64, parts int) {
	s.RecordAnswer(now, took)
	if s.Measured {
		s.Averages.Record(took, s.Recent.Min())
	} else {
		queue := f.AveragesOf(s, now).Queue
		s.Averages = estimate.Averages{Latency: took, ServiceTime: s.Recent.Min(), Queue: queue}
		s.Measured = true
	}
	f.Demand.Answered++
	f.RecentAnswers.Add(now, now-f.answerPeriod())
	f.Record(took, parts)
}

// RecordUnanswered takes in the time of an attempt that was not answered: its answer would have taken longer.
func (f *Fleet) RecordUnanswered(s *Server, took float64, parts int) {
	if s.Measured {
		s.RecordUnanswered(took)
	}
	if took > f.Mean && s.Healthy() {
		f.Record(took, parts)
	}
	if took > suspicion.SlowFactor*f.serviceTime() {
		s.Recent.Add(took) // or a server so slow that none of its answers is waited for never shows it
	}
}

// answerPeriod is the time over which the rate of answers is taken, and for which reports count as fresh.
func (f *Fleet) answerPeriod() time.Duration { return answerPeriods * f.Options.Objective }

// InitialMean is the mean response time before anything was measured.
func (f *Fleet) InitialMean() float64 {
	return estimate.Microseconds(f.Options.Objective) * estimate.InitialMean
}

// SlowestResponseTime is the response time of the slowest of several parts, so many deviations beyond the mean.
func (f *Fleet) SlowestResponseTime(deviations float64) float64 {
	return f.Mean + deviations*f.Deviation
}

// SlowestResponseTimeWithQueue is the response time of the slowest part where the long queues are delay long. Own responses count
// while they are as fresh as the queues reported; a few stuck parts say nothing of the others.
func (f *Fleet) SlowestResponseTimeWithQueue(deviations, delay float64) float64 {
	mean := f.Mean
	if len(f.RecentAnswers) < minReports {
		mean = min(mean, f.InitialMean())
	}
	// The delay is a quantile; that of the slowest part has the same exponential tail.
	delay *= max(1, deviations/estimate.TailFactor/-math.Log(1-longQueueQuantile))
	return mean + deviations*min(f.Deviation, mean*estimate.InitialDeviation) + delay
}

// ExpectedResponseTime is how long a new request of a class may take by Little's law: the requests in flight at healthy
// servers, divided by the rate at which these answer. What is in flight falls as soon as less is sent, so
// rejections do not cause further rejections. The number in flight is the median of fresh load reports, as a few
// servers may hold most of the requests, with what was sent since; or own requests, where clients are few. Where
// neither is known measured is false, and the result is slowest, the recent response time of the slowest part.
// Each healthy server is taken to be worth at least one core.
func (f *Fleet) ExpectedResponseTime(now time.Duration, class, parts int, slowest float64) (took float64, measured bool) {
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

// ForgetExcess moves the estimates toward those of an idle fleet, for when requests are rejected and bring no answers.
func (f *Fleet) ForgetExcess() { f.Forget(min(f.MedianServiceTime, f.InitialMean())) }
