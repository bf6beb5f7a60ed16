package fleet

import (
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
)

// Server is what is known of one server.
type Server struct {
	suspicion.Server
	estimate.Averages
	SlowStart slowstart.Server
	Listed    bool // in service
	Measured  bool // the averages of latency and service time are its own

	ReportedAt       time.Duration // of the last load report; 0: never
	ReportedInFlight float64       // negative: not reported
	ProbedQueue      float64       // by the last probe that showed it
	ProbedQueueAt    time.Duration
	QueueWasLong     bool // by the last gossip sent or received
}

// RecordLoad takes in a load report of a queue and a number of requests in flight, which may be negative: none.
func (s *Server) RecordLoad(now time.Duration, queue, inFlight float64) {
	if s.ReportedAt == 0 {
		s.SetQueue(queue)
	} else {
		s.RecordQueue(queue)
	}
	s.ReportedAt = now
	s.ReportedInFlight = inFlight
}

// Restart forgets what an earlier process of the server showed; random is a random number from 0 to 1. The new one had
// nothing in flight when it began: taken for as busy as the mean of the others, it would be avoided while these are
// full.
func (s *Server) Restart(started time.Duration, random float64) {
	s.SlowStart.Restart(started, random)
	s.Server.Restart()
	s.Measured = false
	s.Queue = 0
	s.ReportedInFlight = -1
	s.ReportedAt = started
}

// inFlightSince is the number of requests in flight by the last load report, and those sent since then. known is false
// if there was no such report after since.
func (s *Server) inFlightSince(since time.Duration) (inFlight float64, known bool) {
	if s.ReportedInFlight < 0 || s.ReportedAt <= 0 || s.ReportedAt <= since {
		return 0, false
	}
	inFlight = s.ReportedInFlight
	for _, sent := range s.InFlight {
		if sent > s.ReportedAt {
			inFlight++
		}
	}
	return inFlight, true
}
