package fleet

import (
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
)

// Server stores the measurements of one server.
type Server struct {
	suspicion.Server
	estimate.Averages
	SlowStart slowstart.Server
	Listed    bool // in service
	Measured  bool // latency and service time were measured at this server

	ReportedAt       time.Duration // clock time of the last load report; 0: never
	ReportedInFlight float64       // requests in flight by that report; negative: not reported
	ProbedQueue      float64       // queue length by the last probe that reported it
	ProbedQueueAt    time.Duration // clock time of that probe
	QueueWasLong     bool          // by the last gossip observation sent or received
}

// RecordLoad records a load report: the queue length and the number of requests in flight; a negative number stands
// for one that was not reported.
func (s *Server) RecordLoad(now time.Duration, queue, inFlight float64) {
	if s.ReportedAt == 0 {
		s.SetQueue(queue)
	} else {
		s.RecordQueue(queue)
	}
	s.ReportedAt = now
	s.ReportedInFlight = inFlight
}

// Restart discards what was measured of the server's previous process; random is a random number from 0 to 1. The new
// process started with an empty queue: if it were assumed to be as busy as the mean of the others, it would be avoided
// while these are full.
func (s *Server) Restart(started time.Duration, random float64) {
	s.SlowStart.Restart(started, random)
	s.Server.Restart()
	s.Measured = false
	s.Queue = 0
	s.ReportedInFlight = -1
	s.ReportedAt = started
}

// inFlightSince returns the number of requests in flight by the last load report, plus those sent since the report.
// known is false if no report with such a number was received after since.
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
