package health

import "time"

const (
	// recoveryMinFraction is the fraction of its traffic with which a server begins after its return.
	recoveryMinFraction = 0.25
	// degradedFraction is that of a server that calls itself degraded. Envoy would not use it where others have
	// capacity.
	degradedFraction = 0.25
	// fallSpeed is how many times faster than it rises a fraction falls.
	fallSpeed = 3
)

// nextFraction moves a server's traffic fraction towards its target, and after a return up from recoveryMinFraction.
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
		server.fraction = max(target, server.fraction-fallSpeed*step)
	}
	return server.fraction
}

// advanceRecovery returns the traffic fraction that a server may have so soon after its return; recovering is false
// if it has recovered by now.
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

// targetFraction returns the smallest traffic fraction that a server's valid checks give it.
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

// maxInFlight returns the smallest limit of parts in flight that a server's valid checks give it; 0: none.
func (t *Table) maxInFlight(s *server) (limit int) {
	for i := range s.checks {
		check := &s.checks[i]
		if check.maxConn > 0 && t.valid(check) && (limit == 0 || check.maxConn < limit) {
			limit = check.maxConn
		}
	}
	return limit
}
