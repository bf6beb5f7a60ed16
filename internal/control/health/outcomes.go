package health

import (
	"math"
	"time"
)

// outcomeWindow counts successes and failures with exponential decay.
type outcomeWindow struct {
	successes float64 // decayed count
	failures  float64 // decayed count
	updatedAt time.Time
}

// decay applies the decay up to now.
func (w *outcomeWindow) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(w.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	w.successes *= factor
	w.failures *= factor
	w.updatedAt = now
}

func (w *outcomeWindow) total() float64 { return w.successes + w.failures }

// failureRate returns the fraction of failures; 0 if there are no outcomes.
func (w *outcomeWindow) failureRate() float64 { return w.failures / max(1e-9, w.total()) }

// subtract removes the counts of another window, which are included in this one.
func (w *outcomeWindow) subtract(other *outcomeWindow) {
	w.successes = max(0, w.successes-other.successes)
	w.failures = max(0, w.failures-other.failures)
}

// clear resets the counts.
func (w *outcomeWindow) clear() {
	w.successes = 0
	w.failures = 0
}

// RecordOutcome records the outcome of an attempt, sent at the given time, of a part of a class. Outcomes of unlisted
// servers and unknown classes are ignored.
func (t *Table) RecordOutcome(now time.Time, id ID, class int, outcome Outcome, sent time.Time) {
	t.advance(now)
	i, ok := t.index[id]
	if !ok || class < 0 || class >= len(t.fleet) {
		return
	}
	t.partsEnded[class]++
	switch outcome {
	case Success:
		t.recordSuccess(i, class)
	case Failure:
		t.recordFailure(i, class)
	case ConnectFailure:
		t.recordConnectFailure(i)
	}
	server := t.servers[i]
	classState := &server.classes[class]
	if classState.ejected && !sent.Before(classState.ejectedAt) {
		t.recordHalfOpenOutcome(i, class, outcome)
	} else if !server.unreachableAt.IsZero() && classState.halfOpen && outcome != Success {
		classState.halfOpen = false
		classState.nextHalfOpen = t.now.Add(t.rules.HalfOpenDelay)
		t.markDirty(i)
	}
}

// windows returns the outcomes of a class at one server and at all servers, decayed to now.
func (t *Table) windows(s *server, class int) (own, fleet *outcomeWindow) {
	own = &s.classes[class].outcomeWindow
	fleet = &t.fleet[class]
	own.decay(t.now, t.rules.OutcomeHalfLife)
	fleet.decay(t.now, t.rules.OutcomeHalfLife)
	return own, fleet
}

func (t *Table) recordSuccess(i, class int) {
	server := t.servers[i]
	own, fleet := t.windows(server, class)
	own.successes++
	fleet.successes++
	server.connectFailures = 0
	server.checkRecoveries = 0
	if !server.unreachableAt.IsZero() {
		t.markReachable(i)
	}
	if t.now.Sub(server.lastSuccess) > t.rules.AnswerValidity/2 { // Usable may depend on the last answer
		t.markDirty(i)
	}
	server.lastSuccess = t.now
}

func (t *Table) recordFailure(i, class int) {
	server := t.servers[i]
	own, fleet := t.windows(server, class)
	own.failures++
	fleet.failures++
	server.connectFailures = 0
	if !server.classes[class].ejected && t.failsTooOften(server, class) {
		t.markDirty(i)
	}
}

func (t *Table) recordConnectFailure(i int) {
	server := t.servers[i]
	server.connectFailures++
	if server.connectFailures < t.rules.MaxConnectFailures {
		return
	}
	if server.unreachableAt.IsZero() {
		t.markDirty(i)
	}
	server.unreachableAt = t.now
	server.lastUnreachable = t.now
}

// markReachable makes an unreachable server reachable again, and starts the recovery ramp.
func (t *Table) markReachable(i int) {
	server := t.servers[i]
	server.unreachableAt = time.Time{}
	server.recoveryStart = t.now
	for class := range server.classes {
		classState := &server.classes[class]
		classState.halfOpen = classState.halfOpen && classState.ejected
	}
	t.markDirty(i)
}

// failsTooOften reports whether a server's failure rate in a class is high enough for an ejection. It uses the lower
// confidence bound of the rate, so that a few failed parts do not eject a server, and compares it with the rate of the
// other servers, so that a fault common to all ejects none.
func (t *Table) failsTooOften(server *server, class int) bool {
	own, fleet := t.windows(server, class)
	if own.total() < t.rules.MinOutcomes {
		return false
	}
	rate := wilsonLowerBound(own.failures, own.total())
	others := *fleet
	others.subtract(own)
	othersRate := 0.0
	if others.total() >= 1 {
		othersRate = others.failures / others.total()
	}
	peerLimit := min(t.rules.EjectPeerRatio*othersRate, maxPeerLimit)
	return rate >= t.rules.EjectFailureRate && rate >= peerLimit
}

// maxPeerLimit caps the failure rate that EjectPeerRatio requires, so that a server can be ejected however many parts
// fail at the others.
const maxPeerLimit = 1 - 1e-9

// wilsonLowerBound returns the lower bound of the Wilson score interval (Wilson 1927) for failures out of n, one-sided
// at 95%.
func wilsonLowerBound(failures, n float64) float64 {
	const z = 1.645 // standard normal quantile of 95%
	if n <= 0 {
		return 0
	}
	p := failures / n
	return (p + z*z/(2*n) - z*math.Sqrt(max(0, p*(1-p)/n+z*z/(4*n*n)))) / (1 + z*z/n)
}
