package fleet

import (
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
)

// Capacity is the least fraction of its capacity that a server has at now.
func (f *Fleet) Capacity(s *Server, now time.Duration) float64 {
	return f.Options.SlowStart.Capacity(&s.SlowStart, now)
}

// SlowStartAllows reports whether a server that may be warming up may be sent one more part.
func (f *Fleet) SlowStartAllows(s *Server, now time.Duration) bool {
	return f.Options.SlowStart.Allows(&s.SlowStart, now, estimate.Duration(f.partWork()))
}

// RecordSend counts a request of a class sent to a server.
func (f *Fleet) RecordSend(s *Server, class int, now time.Duration) {
	s.RecordSend(class, now)
	f.Options.SlowStart.RecordSend(&s.SlowStart, now)
}

// EarnSlowStart gives servers that warm up their parts of the own flow since the last call: what a warm one gets, by
// capacity. Where clients are few, the limits of the slow start suffice.
func (f *Fleet) EarnSlowStart(now, passed time.Duration) {
	f.Demand.Decay(passed, f.Options.Objective)
	if f.Extrapolates() || !slices.ContainsFunc(f.Servers, func(s *Server) bool { return f.Capacity(s, now) < 1 }) {
		return
	}
	warm := 0.0
	for _, s := range f.Servers {
		if s.Listed && s.Healthy() {
			warm += f.Capacity(s, now)
		}
	}
	owed := f.Demand.Owed(passed, f.Options.Objective, warm)
	for _, s := range f.Servers {
		f.Options.SlowStart.AddCredit(&s.SlowStart, now, owed)
	}
}
