package health

import (
	"math"
	"time"
)

// fractionInterval is how often a traffic fraction that has not reached its target is updated.
const fractionInterval = 100 * time.Millisecond

const (
	// expiryMargin is added to an expiry time, so that the evidence has expired when the timer fires.
	expiryMargin = time.Millisecond
	// flapReuseMargin is added to the time when the flap penalty reaches FlapReuse, against rounding errors.
	flapReuseMargin = 10 * time.Millisecond
	// fractionTolerance is the difference up to which a fraction counts as equal to its target.
	fractionTolerance = 1e-9
)

// earliest is the earliest of the times added to it; zero if there are none.
type earliest struct{ time.Time }

func (e *earliest) add(at time.Time) {
	if e.IsZero() || at.Before(e.Time) {
		e.Time = at
	}
}

// scheduleUpdate sets the timer for the next update of a server that is needed without new evidence, because evidence
// expires or a value depends on the time.
func (t *Table) scheduleUpdate(index int, decision *Decision) {
	server := t.servers[index]
	var next earliest
	t.scheduleChecks(server, &next)
	t.scheduleHalfOpen(server, decision, &next)
	fractionMoves := math.Abs(server.fraction-t.targetFraction(server)) > fractionTolerance
	if !server.recoveryStart.IsZero() || fractionMoves {
		next.add(t.now.Add(fractionInterval))
	}
	if decision.Contradictory && decision.State == InService && t.lastAnswerValid(server) {
		next.add(server.lastSuccess.Add(t.rules.AnswerValidity + expiryMargin))
	}
	for class := range server.classes {
		if server.classes[class].ejectionBlocked {
			next.add(t.now.Add(t.rules.OutcomeHalfLife / 4))
		}
	}
	if next.IsZero() {
		t.timers.Cancel(index)
	} else {
		t.timers.Set(index, next.Time)
	}
}

// scheduleChecks adds when a result that affects the decision expires, and when the suppression of flapping ends.
func (t *Table) scheduleChecks(server *server, next *earliest) {
	for i := range server.checks {
		check := &server.checks[i]
		validity := t.checks[check.config].Validity
		expires := validity > 0 && t.valid(check)
		if expires && (check.down || check.degraded || check.weight >= 0 || check.maxConn >= 0) {
			next.add(check.resultAt.Add(validity + expiryMargin))
		}
	}
	if server.suppressed {
		halfLives := math.Log2(max(1, server.flapPenalty/t.rules.FlapReuse))
		untilReuse := time.Duration(float64(t.rules.FlapHalfLife) * halfLives)
		next.add(t.now.Add(untilReuse + flapReuseMargin))
	}
}

// scheduleHalfOpen adds when a half-open request may be due, and when unreachability may expire.
func (t *Table) scheduleHalfOpen(server *server, decision *Decision, next *earliest) {
	nextPoll := t.now.Add(halfOpenPollInterval)
	if decision.EjectedClasses != 0 && decision.State == InService {
		for class := range server.classes {
			classState := &server.classes[class]
			lastResort := decision.EjectedClasses == AllClasses && !t.rules.nonIdempotent(class)
			if !classState.halfOpen && (classState.ejected || lastResort) {
				next.add(later(classState.nextHalfOpen, nextPoll))
			}
		}
	}
	if !server.unreachableAt.IsZero() {
		next.add(later(server.unreachableAt.Add(t.rules.MaxHalfOpenDelay+expiryMargin), nextPoll))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
