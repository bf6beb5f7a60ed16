package suspicion

import (
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
)

// slowSamples is the number of last responses that must all be slow for a server to count as slow; one fewer suffices
// if no more were measured.
const slowSamples = 4

// Server records how requests to one server end: all of them, those of each class, and those over the path to its zone.
// A server may lose the requests of one class and answer those of the others.
type Server struct {
	Record
	PerClass []Record
	Path     *Path
	Remote   bool             // in another zone: failures also count against the path
	Recent   estimate.Samples // response times, not averaged, microseconds
	Lost     int              // number of requests in flight that are presumed lost, as of the last Assess

	ProbeFailed     bool // the last probe returned an error or was not answered
	ProbeUnanswered bool // the last probe was not answered
}

// RecordSend adds a request of a class, sent at now.
func (s *Server) RecordSend(class int, now time.Duration) {
	s.Sent(now)
	s.Path.Sent(now)
	s.PerClass[class].Sent(now)
}

// RecordEnd removes the request of a class that was sent at sent from those in flight.
func (s *Server) RecordEnd(class int, sent time.Duration) {
	s.Ended(sent)
	s.Path.Ended(sent)
	s.PerClass[class].Ended(sent)
}

// Healthy reports whether the server has no penalty and is neither unresponsive nor slow, and its path is usable.
func (s *Server) Healthy() bool {
	return s.Penalty == 0 && !s.Unresponsive && !s.Slow && s.Path.Usable()
}

// HealthyFor reports whether the server is healthy, and a class of requests there has no penalty and is not
// unresponsive.
func (s *Server) HealthyFor(class int) bool {
	return s.Healthy() && s.PerClass[class].Penalty == 0 && !s.PerClass[class].Unresponsive
}

// Fault returns the record because of which the server is unhealthy for a class, or nil if it is healthy.
func (s *Server) Fault(class int) *Record {
	switch {
	case !s.Healthy():
		return &s.Record
	case !s.HealthyFor(class):
		return &s.PerClass[class]
	}
	return nil
}

// PenaltyFor returns the sum of the penalties of the server and of one class there.
func (s *Server) PenaltyFor(class int) float64 { return s.Penalty + s.PerClass[class].Penalty }

// RecordAnswer records an answer with its response time in microseconds.
func (s *Server) RecordAnswer(now time.Duration, responseTime float64) {
	s.Path.RecordAnswer(now, responseTime)
	s.Recent.Add(responseTime)
	s.LastSuccess = now
	s.ProbeFailed = false
	s.ProbeUnanswered = false
	s.RecordSuccess()
}

// RecordClassFailure counts a failure against a class and, unless the server answered a request after the time since,
// against the server. Half-open requests of the class are interval microseconds apart, and further apart with each
// failure: a server may lose most requests of a class, and each lost half-open request delays its query by the overdue
// time.
func (s *Server) RecordClassFailure(class int, now, since time.Duration, interval float64) {
	s.PerClass[class].RecordFailure(now, interval)
	if s.LastSuccess <= since {
		s.RecordServerFailure(now, interval)
	}
}

// RecordServerFailure counts a failure against the server and, if it is in another zone, against the path.
func (s *Server) RecordServerFailure(now time.Duration, interval float64) {
	if s.Remote {
		s.Path.RecordFailure()
	}
	s.Penalize(now, interval)
}

// Conditions are the parameters of Server.Assess.
type Conditions struct {
	Overdue           float64 // response time beyond which a request to this server is overdue, microseconds
	MedianServiceTime float64 // of all servers, microseconds
	Warm              bool    // only a warm server may count as slow
	ProbesShared      bool    // instances share the results of probes: only then an unanswered probe counts
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

// RecentMean returns the mean of the last slowSamples response times in microseconds, or 0 if there are none.
func (s *Server) RecentMean() float64 { return s.Recent.Mean(slowSamples) }

// Restart discards the response times and penalties of the server's previous process.
func (s *Server) Restart() {
	s.Recent = nil
	s.Penalty = 0
	for i := range s.PerClass {
		s.PerClass[i].Forget()
	}
}
