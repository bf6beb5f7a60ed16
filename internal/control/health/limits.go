package health

import "time"

const (
	// recoveryMinFraction is the traffic fraction of a server right after it is readmitted.
	recoveryMinFraction = 0.25
	// degradedFraction is the traffic fraction of a server that reports itself as degraded. Envoy sends to such a
	// server only if the others lack capacity.
	degradedFraction = 0.25
	// fallSpeedFactor is how many times faster a traffic fraction falls than it rises.
	fallSpeedFactor = 3
)

// nextFraction moves a server's traffic fraction towards its target. After a readmission the fraction is limited to a
// ramp that begins at recoveryMinFraction.
func (t *Table) nextFraction(server *server) float64 {
	target := t.targetFraction(server)
	step := float64(t.now.Sub(server.fractionAt)) / float64(t.rules.WeightRiseTime)
	server.fractionAt = t.now
	limit, recovering := t.advanceRecovery(server)
	switch {
	case recovering && target > limit:
		server.fraction = limit
	case target > server.fraction:
		server.fraction = min(target, server.fraction+step)
	default:
		server.fraction = max(target, server.fraction-fallSpeedFactor*step)
	}
	return server.fraction
}

// advanceRecovery returns the maximum traffic fraction of a server that was readmitted recently; recovering is false
// once the ramp is complete.
func (t *Table) advanceRecovery(server *server) (limit float64, recovering bool) {
	if server.recoveryStart.IsZero() {
		return 1, false
	}
	progress := float64(t.now.Sub(server.recoveryStart)) / float64(t.rules.RecoveryRamp)
	if progress >= 1 {
		server.recoveryStart = time.Time{}
		return 1, false
	}
	return recoveryMinFraction + (1-recoveryMinFraction)*max(0, progress), true
}

// targetFraction returns the smallest traffic fraction by a server's valid checks.
func (t *Table) targetFraction(server *server) float64 {
	target := 1.0
	for i := range server.checks {
		check := &server.checks[i]
		if !t.valid(check) {
			continue
		}
		if check.weight > 0 {
			target = min(target, check.weight)
		}
		if check.degraded {
			target = min(target, degradedFraction)
		}
	}
	return target
}

// maxInFlight returns the smallest limit of parts in flight by a server's valid checks; 0 if there is none.
func (t *Table) maxInFlight(s *server) (limit int) {
	for i := range s.checks {
		check := &s.checks[i]
		if check.maxConn > 0 && t.valid(check) && (limit == 0 || check.maxConn < limit) {
			limit = check.maxConn
		}
	}
	return limit
}
