package suspicion

import (
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
)

// slowSamples is how many of its last responses must be slow for a server to count as slow; one may be missing.
const slowSamples = 4

// Server is how requests to one server end: all of them, those of each class, and those over the path to its zone. One
// class may be lost at a server that answers the others.
type Server struct {
	Record
	PerClass []Record
	Path     *Path
	Remote   bool             // in another zone: failures count against the path too
	Recent   estimate.Samples // response times as measured, microseconds
	Lost     int              // requests in flight taken for lost, as of the last Assess

	ProbeFailed     bool // the last probe brought an error or nothing
	ProbeUnanswered bool // the last probe brought nothing
}

// RecordSend adds a request of a class, sent at now.
func (s *Server) RecordSend(class int, now time.Duration) {
	s.Sent(now)
	s.Path.Sent(now)
	s.PerClass[class].Sent(now)
}

// RecordEnd takes the request of a class that was sent at sent from those in flight.
func (s *Server) RecordEnd(class int, sent time.Duration) {
	s.Ended(sent)
	s.Path.Ended(sent)
	s.PerClass[class].Ended(sent)
}

// Healthy reports whether the server may be trusted.
func (s *Server) Healthy() bool {
	return s.Penalty == 0 && !s.Unresponsive && !s.Slow && s.Path.Usable()
}

// HealthyFor reports whether the server may be trusted with a class of requests.
func (s *Server) HealthyFor(class int) bool {
	return s.Healthy() && s.PerClass[class].Penalty == 0 && !s.PerClass[class].Unresponsive
}

// Fault is the record that makes the server unhealthy for a class, or nil if it is healthy.
func (s *Server) Fault(class int) *Record {
	switch {
	case !s.Healthy():
		return &s.Record
	case !s.HealthyFor(class):
		return &s.PerClass[class]
	}
	return nil
}

// PenaltyFor is the penalty of the server and of a class there.
func (s *Server) PenaltyFor(class int) float64 { return s.Penalty + s.PerClass[class].Penalty }

// RecordAnswer notes an answer that took so many microseconds.
func (s *Server) RecordAnswer(now time.Duration, took float64) {
	s.Path.RecordAnswer(now, took)
	s.Recent.Add(took)
	s.LastSuccess = now
	s.ProbeFailed = false
	s.ProbeUnanswered = false
	s.RecordSuccess()
}

// RecordClassFailure holds a failure against a class, and unless the server has answered others since then, against the
// server. Half-open requests of the class are interval microseconds apart, and further each time: a server may lose
// most of a class, and each half-open request costs its overdue time.
func (s *Server) RecordClassFailure(class int, now, since time.Duration, interval float64) {
	s.PerClass[class].RecordFailure(now, interval)
	if s.LastSuccess <= since {
		s.RecordServerFailure(now, interval)
	}
}

// RecordServerFailure holds a failure against the server, and against the path to another zone.
func (s *Server) RecordServerFailure(now time.Duration, interval float64) {
	if s.Remote {
		s.Path.RecordFailure()
	}
	s.Penalize(now, interval)
}

// Conditions are those under which a server is assessed.
type Conditions struct {
	Overdue           float64 // response time beyond which a request is overdue there, microseconds
	MedianServiceTime float64 // of all servers, microseconds
	Warm              bool    // only a warm server may count as slow
	ProbesShared      bool    // clients share what their probes show: only then an unanswered probe counts
}

// Assess decides whether the server and its classes are unresponsive or slow.
func (s *Server) Assess(now time.Duration, c Conditions) {
	s.Unresponsive = s.Stalled(now, c.Overdue) > 0 || s.ProbeUnanswered && c.ProbesShared
	s.Lost = 0
	for i := range s.PerClass {
		class := &s.PerClass[i]
		stalled := class.Stalled(now, c.Overdue)
		class.Unresponsive = stalled > 0
		s.Lost += stalled
	}
	s.Slow = c.Warm && len(s.Recent) >= slowSamples-1 &&
		slices.Min(s.Recent.Last(slowSamples)) > SlowFactor*c.MedianServiceTime
}

// RecentMean is the mean of the last responses by which a server counts as slow, in microseconds; 0: none.
func (s *Server) RecentMean() float64 { return s.Recent.Mean(slowSamples) }

// Restart forgets what an earlier process of the server showed.
func (s *Server) Restart() {
	s.Recent = nil
	s.Penalty = 0
	for i := range s.PerClass {
		s.PerClass[i].Forget()
	}
}
