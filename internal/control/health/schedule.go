package health

import (
	"math"
	"time"
)

// fractionInterval is how often a traffic fraction that is on its way to its target is updated.
const fractionInterval = 100 * time.Millisecond

const (
	// expiryMargin is added to a time until which something counts, so that it counts no longer by then.
	expiryMargin = time.Millisecond
	// flapReuseMargin is added to the time by which the penalty for flapping has decayed, for rounding errors.
	flapReuseMargin = 10 * time.Millisecond
	// fractionTolerance is by how much a fraction that has reached its target may differ from it.
	fractionTolerance = 1e-9
)

// earliest is the earliest of some times; zero: none.
type earliest struct{ time.Time }

func (e *earliest) add(at time.Time) {
	if e.IsZero() || at.Before(e.Time) {
		e.Time = at
	}
}

// scheduleUpdate sets the timer for when a server has to be decided on again though no evidence comes in: something
// expires, or proceeds with time, by then.
func (t *Table) scheduleUpdate(index int, decision *Decision) {
	server := t.servers[index]
	var next earliest
	t.scheduleChecks(server, &next)
	t.scheduleHalfOpen(server, decision, &next)
	fractionMoves := math.Abs(server.fraction-t.targetFraction(server)) > fractionTolerance
	if !server.recoveryStart.IsZero() || fractionMoves {
		next.add(t.now.Add(fractionInterval))
	}
	if decision.Contradictory && decision.State == InService && t.answersCount(server) {
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

// scheduleChecks adds when a result that matters loses its validity, and when suppression for flapping ends.
func (t *Table) scheduleChecks(server *server, next *earliest) {
	for i := range server.checks {
		check := &server.checks[i]
		if t.valid(check) && (check.down || check.degraded || check.weight >= 0 || check.maxConn >= 0) {
			next.add(check.resultAt.Add(t.checks[check.config].Validity + expiryMargin))
		}
	}
	if server.suppressed {
		halfLives := math.Log2(max(1, server.flapPenalty/t.rules.FlapReuse))
		untilReuse := time.Duration(float64(t.rules.FlapHalfLife) * halfLives)
		next.add(t.now.Add(untilReuse + flapReuseMargin))
	}
}

// scheduleHalfOpen adds when a half-open request may be due.
func (t *Table) scheduleHalfOpen(server *server, decision *Decision, next *earliest) {
	soon := t.now.Add(halfOpenPollInterval)
	if decision.EjectedClasses != 0 && decision.State == InService {
		for class := range server.classes {
			classState := &server.classes[class]
			lastResort := decision.EjectedClasses == AllClasses && !t.rules.nonIdempotent(class)
			if !classState.halfOpen && (classState.ejected || lastResort) {
				next.add(later(classState.nextHalfOpen, soon))
			}
		}
	}
	if !server.unreachableAt.IsZero() {
		next.add(later(server.unreachableAt.Add(t.rules.MaxHalfOpenDelay+expiryMargin), soon))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
