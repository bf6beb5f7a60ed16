package fleet

import (
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
)

// Capacity is the least fraction of its full capacity that a server has at now: 1 unless it is warming up.
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

// AccrueSlowStartCredit credits servers that are warming up with a share of this instance's own traffic in the elapsed
// time: the share of a warm server, scaled by their capacity. If instances are few, the limits of the slow start
// suffice.
func (f *Fleet) AccrueSlowStartCredit(now, elapsed time.Duration) {
	f.Demand.Decay(elapsed, f.Options.Objective)
	if f.Extrapolates() || !slices.ContainsFunc(f.Servers, func(s *Server) bool { return f.Capacity(s, now) < 1 }) {
		return
	}
	warmServers := 0.0 // the combined capacity, in warm servers
	for _, s := range f.Servers {
		if s.Listed && s.Healthy() {
			warmServers += f.Capacity(s, now)
		}
	}
	credit := f.Demand.AccruedCredit(elapsed, f.Options.Objective, warmServers)
	for _, s := range f.Servers {
		f.Options.SlowStart.AddCredit(&s.SlowStart, now, credit)
	}
}
