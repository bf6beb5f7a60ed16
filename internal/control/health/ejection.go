package health

import "time"

// classState is the evidence on a server from the parts of one class.
type classState struct {
	outcomeWindow
	ejected         bool
	ejectionBlocked bool // it fails too often, but its shards lack other replicas
	ejectedAt       time.Time
	ejections       int       // consecutive ejections, each soon after the previous readmission
	readmittedAt    time.Time // time of the last readmission

	halfOpen             bool // a half-open request is granted, and may be in flight
	halfOpenAt           time.Time
	nextHalfOpen         time.Time // earliest time of the next grant
	halfOpenResetAt      time.Time // time of the last failed half-open request, or of the ejection
	partsAtHalfOpenReset float64   // Table.partsEnded of the class at that time
	successRun           int       // consecutive successful half-open requests
}

const (
	// halfOpenPollInterval is how often a server is updated while half-open requests wait for parts elsewhere.
	halfOpenPollInterval = 50 * time.Millisecond
	// An ejection within repeatEjectionFactor times MaxHalfOpenDelay after a readmission counts as repeated.
	repeatEjectionFactor = 10
	// More doublings would exceed every limit on the delay of a repeated ejection, or overflow it.
	maxDelayDoublings              = 10
	maxNonIdempotentDelayDoublings = 4
	// nonIdempotentReturnSuccesses caps ReturnSuccesses for non-idempotent classes, whose requests are rare.
	nonIdempotentReturnSuccesses = 2
)

// updateEjection ejects a server from a class if it fails too often, or sets ejectionBlocked if its shards lack other
// replicas.
func (t *Table) updateEjection(index, class int) {
	server := t.servers[index]
	classState := &server.classes[class]
	if classState.ejected || !t.failsTooOften(server, class) {
		return
	}
	if !t.mayEject(index, class) {
		classState.ejectionBlocked = true
		return
	}
	t.ejectClass(index, class)
	// Eject non-idempotent classes too, even if they have succeeded so far: their requests are rare, so it would take
	// long until their own failure rate shows the fault.
	for other := range server.classes {
		if t.rules.nonIdempotent(other) && !server.classes[other].ejected && t.mayEject(index, other) {
			t.ejectClass(index, other)
		}
	}
}

// doubledDelay returns HalfOpenDelay doubled the given number of times, at most MaxHalfOpenDelay.
func (t *Table) doubledDelay(times int) time.Duration {
	return min(t.rules.HalfOpenDelay<<min(times, maxDelayDoublings), t.rules.MaxHalfOpenDelay)
}

// ejectClass ejects a server from a class.
func (t *Table) ejectClass(index, class int) {
	classState := &t.servers[index].classes[class]
	repeatPeriod := repeatEjectionFactor * t.rules.MaxHalfOpenDelay
	if classState.readmittedAt.IsZero() || t.now.Sub(classState.readmittedAt) > repeatPeriod {
		classState.ejections = 0
	}
	delay := t.doubledDelay(classState.ejections)
	if t.rules.nonIdempotent(class) {
		delay = t.nonIdempotentDelay(classState)
	}
	classState.ejections++
	classState.ejected = true
	classState.ejectedAt = t.now
	classState.halfOpen = false
	classState.nextHalfOpen = t.now.Add(delay)
	t.resetHalfOpen(classState, class)
	t.markShardReplicasDirty(index)
}

// resetHalfOpen restarts the counts of successful half-open requests and of parts elsewhere, after an ejection or a
// failed half-open request.
func (t *Table) resetHalfOpen(c *classState, class int) {
	c.successRun = 0
	c.halfOpenResetAt = t.now
	c.partsAtHalfOpenReset = t.partsEnded[class]
}

// nonIdempotentDelay returns the delay to the next half-open request of a non-idempotent class.
func (t *Table) nonIdempotentDelay(c *classState) time.Duration {
	return t.rules.NonIdempotentDelay << min(c.ejections, maxNonIdempotentDelayDoublings)
}

// mayEject reports whether each shard of a server would still have enough replicas if the server were ejected from a
// class.
func (t *Table) mayEject(index, class int) bool {
	for _, shard := range t.servers[index].Shards {
		all := 0
		remaining := 0
		for _, other := range t.replicas[shard] {
			server := t.servers[other]
			if server.Draining {
				continue
			}
			all++
			if other != index && server.available && !server.classes[class].ejected {
				remaining++
			}
		}
		if remaining < 1 || float64(remaining) < float64(all)*(1-t.rules.MaxEjectedFraction) {
			return false
		}
	}
	return true
}

// recordHalfOpenOutcome records the outcome of a part that was sent after the ejection.
func (t *Table) recordHalfOpenOutcome(index, class int, outcome Outcome) {
	classState := &t.servers[index].classes[class]
	nonIdempotent := t.rules.nonIdempotent(class)
	classState.halfOpen = false
	classState.nextHalfOpen = t.now.Add(t.rules.HalfOpenInterval)
	t.markDirty(index)
	switch outcome {
	case Success:
		classState.successRun++
		required := t.rules.ReturnSuccesses
		if nonIdempotent {
			required = min(required, nonIdempotentReturnSuccesses)
		}
		if classState.successRun >= required {
			t.readmit(index, class)
		}
	case Neutral:
	default:
		t.resetHalfOpen(classState, class)
		if nonIdempotent {
			classState.nextHalfOpen = t.now.Add(t.nonIdempotentDelay(classState))
		}
	}
}

// readmit ends a server's ejection from a class, clears the class's outcomes and starts the recovery ramp. The
// readmission of an idempotent class includes the ejected non-idempotent classes, since these have no half-open
// requests while an idempotent class is ejected.
func (t *Table) readmit(index, class int) {
	server := t.servers[index]
	for other := range server.classes {
		classState := &server.classes[other]
		readmitTogether := classState.ejected && t.rules.nonIdempotent(other) && !t.rules.nonIdempotent(class)
		if other != class && !readmitTogether {
			continue
		}
		classState.ejected = false
		classState.readmittedAt = t.now
		own, fleet := t.windows(server, other)
		fleet.subtract(own)
		own.clear()
	}
	server.recoveryStart = t.now
	t.markShardReplicasDirty(index)
}

// grantHalfOpen grants the half-open requests that are due, one part for each class, and returns their classes (bit c:
// class c).
func (t *Table) grantHalfOpen(server *server, decision *Decision) (granted uint64) {
	if decision.State != InService || decision.EjectedClasses == 0 {
		return 0
	}
	lastResort := decision.EjectedClasses == AllClasses && !server.unreachableAt.IsZero()
	grantValidity := repeatEjectionFactor * t.rules.MaxHalfOpenDelay
	for class := range server.classes {
		classState := &server.classes[class]
		// A grant may remain unused; it expires and is then repeated.
		pending := classState.halfOpen && t.now.Sub(classState.halfOpenAt) < grantValidity
		if pending || t.now.Before(classState.nextHalfOpen) {
			continue
		}
		allowed := lastResort && !t.rules.nonIdempotent(class)
		if classState.ejected {
			allowed = t.mayHalfOpen(server, class)
		}
		if allowed {
			classState.halfOpen = true
			classState.halfOpenAt = t.now
			granted |= 1 << class
		}
	}
	return granted
}

// mayHalfOpen reports whether an ejected class may have a half-open request. A non-idempotent class may not while an
// idempotent one is ejected: it is readmitted with that class. After a failed half-open request the next one waits
// until HalfOpenTraffic parts of the class have ended, or for MaxHalfOpenDelay, so that half-open requests stay a small
// fraction of all parts.
func (t *Table) mayHalfOpen(s *server, class int) bool {
	if t.rules.nonIdempotent(class) {
		return !t.idempotentClassEjected(s)
	}
	c := &s.classes[class]
	enoughParts := t.partsEnded[class]-c.partsAtHalfOpenReset >= t.rules.HalfOpenTraffic
	maxDelayElapsed := t.now.Sub(c.halfOpenResetAt) >= t.rules.MaxHalfOpenDelay
	return c.successRun > 0 || enoughParts || maxDelayElapsed
}

func (t *Table) idempotentClassEjected(s *server) bool {
	for class := range s.classes {
		if s.classes[class].ejected && !t.rules.nonIdempotent(class) {
			return true
		}
	}
	return false
}
