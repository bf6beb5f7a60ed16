package health

import "time"

// classState is how a server does with one class of parts.
type classState struct {
	outcomeWindow
	ejected         bool
	ejectionBlocked bool // it would be ejected if its shards had enough other replicas
	ejectedAt       time.Time
	ejections       int       // repeated, each soon after the last return
	readmittedAt    time.Time // last return

	halfOpen       bool // a half-open request is granted, and may be in flight
	halfOpenAt     time.Time
	nextHalfOpen   time.Time // not before
	setbackAt      time.Time // of the last failed half-open request, or the ejection
	partsAtSetback float64   // Table.partsEnded of the class by then
	successRun     int       // successful half-open requests in a row
}

const (
	// halfOpenPollInterval is how often a server is looked at while its half-open requests wait for parts elsewhere.
	halfOpenPollInterval = 50 * time.Millisecond
	// repeatEjectionFactor times MaxHalfOpenDelay after a return, another ejection still counts as repeated.
	repeatEjectionFactor = 10
	// Shifts by more would make the delays of repeated ejections longer than any limit, or overflow them.
	maxDelayDoublings              = 10
	maxNonIdempotentDelayDoublings = 4
	// nonIdempotentReturnSuccesses are enough to readmit a non-idempotent class, since its requests are rare.
	nonIdempotentReturnSuccesses = 2
)

// updateEjection ejects a server that may get requests from a class if it fails too often, or notes in ejectionBlocked
// that it must not.
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
	// Requests that must not run twice are not risked where other classes fail, even if they have succeeded so far:
	// they are rare, and it would take long until they show that they fail, too.
	for other := range server.classes {
		if t.rules.nonIdempotent(other) && !server.classes[other].ejected && t.mayEject(index, other) {
			t.ejectClass(index, other)
		}
	}
}

// doubledDelay is HalfOpenDelay, doubled so many times, but MaxHalfOpenDelay at most.
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
	t.setBack(classState, class)
	t.markNeighboursDirty(index)
}

// setBack notes an ejection or a failed half-open request: successes count anew, and so do parts elsewhere.
func (t *Table) setBack(c *classState, class int) {
	c.successRun = 0
	c.setbackAt = t.now
	c.partsAtSetback = t.partsEnded[class]
}

// nonIdempotentDelay is the time to the next half-open request of a class of which no part may run twice.
func (t *Table) nonIdempotentDelay(c *classState) time.Duration {
	return t.rules.NonIdempotentDelay << min(c.ejections, maxNonIdempotentDelayDoublings)
}

// mayEject reports whether each shard of a server keeps enough replicas for a class without it.
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
			if other != index && server.fit && !server.classes[class].ejected {
				remaining++
			}
		}
		if remaining < 1 || float64(remaining) < float64(all)*(1-t.rules.MaxEjectedFraction) {
			return false
		}
	}
	return true
}

// halfOpenEnded takes the outcome of a part that was sent after the ejection.
func (t *Table) halfOpenEnded(index, class int, outcome Outcome) {
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
		t.setBack(classState, class)
		if nonIdempotent {
			classState.nextHalfOpen = t.now.Add(t.nonIdempotentDelay(classState))
		}
	}
}

// readmit ends a server's ejection from a class. It begins without failures and with a small fraction of its traffic.
// Non-idempotent classes get no half-open requests while an idempotent class is ejected: they are readmitted with it.
func (t *Table) readmit(index, class int) {
	server := t.servers[index]
	for other := range server.classes {
		classState := &server.classes[other]
		withIt := classState.ejected && t.rules.nonIdempotent(other) && !t.rules.nonIdempotent(class)
		if other != class && !withIt {
			continue
		}
		classState.ejected = false
		classState.readmittedAt = t.now
		own, fleet := t.windows(server, other)
		fleet.subtract(own)
		own.clear()
	}
	server.recoveryStart = t.now
	t.markNeighboursDirty(index)
}

// grantHalfOpen grants the half-open requests that are due by a decision: one part of each such class (bit c: class c).
func (t *Table) grantHalfOpen(server *server, decision *Decision) (granted uint64) {
	if decision.State != InService || decision.EjectedClasses == 0 {
		return 0
	}
	lastResort := decision.EjectedClasses == AllClasses && !server.unreachableAt.IsZero()
	grantValidity := repeatEjectionFactor * t.rules.MaxHalfOpenDelay
	for class := range server.classes {
		classState := &server.classes[class]
		// A grant that was not used, for whatever reason, is repeated in the end.
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
// idempotent one is ejected, too: it is readmitted with that class. After a failed half-open request the next one waits
// until enough parts of the class have ended at other servers, or for MaxHalfOpenDelay, so that half-open requests stay
// a small fraction of all parts.
func (t *Table) mayHalfOpen(s *server, class int) bool {
	if t.rules.nonIdempotent(class) {
		return !t.idempotentClassEjected(s)
	}
	c := &s.classes[class]
	enoughElsewhere := t.partsEnded[class]-c.partsAtSetback >= t.rules.HalfOpenTraffic
	waitedLongest := t.now.Sub(c.setbackAt) >= t.rules.MaxHalfOpenDelay
	return c.successRun > 0 || enoughElsewhere || waitedLongest
}

func (t *Table) idempotentClassEjected(s *server) bool {
	for class := range s.classes {
		if s.classes[class].ejected && !t.rules.nonIdempotent(class) {
			return true
		}
	}
	return false
}
