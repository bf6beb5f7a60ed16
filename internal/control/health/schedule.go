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
	s := t.servers[index]
	var next earliest
	t.scheduleChecks(s, &next)
	t.scheduleHalfOpen(s, decision, &next)
	fractionMoves := math.Abs(s.fraction-t.targetFraction(s)) > fractionTolerance
	if !s.recoveryStart.IsZero() || fractionMoves {
		next.add(t.now.Add(fractionInterval))
	}
	if decision.Contradictory && decision.State == InService && t.answersCount(s) {
		next.add(s.lastSuccess.Add(t.rules.AnswerValidity + expiryMargin))
	}
	for class := range s.classes {
		if s.classes[class].ejectionBlocked {
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
func (t *Table) scheduleChecks(s *server, next *earliest) {
	for i := range s.checks {
		check := &s.checks[i]
		if t.valid(check) && (check.down || check.degraded || check.weight >= 0 || check.maxConn >= 0) {
			next.add(check.resultAt.Add(t.checks[check.config].Validity + expiryMargin))
		}
	}
	if s.suppressed {
		halfLives := math.Log2(max(1, s.flapPenalty/t.rules.FlapReuse))
		untilReuse := time.Duration(float64(t.rules.FlapHalfLife) * halfLives)
		next.add(t.now.Add(untilReuse + flapReuseMargin))
	}
}

// scheduleHalfOpen adds when a half-open request may be due.
func (t *Table) scheduleHalfOpen(s *server, decision *Decision, next *earliest) {
	soon := t.now.Add(halfOpenPollInterval)
	if decision.EjectedClasses != 0 && decision.State == InService {
		for class := range s.classes {
			c := &s.classes[class]
			lastResort := decision.EjectedClasses == AllClasses && !t.rules.nonIdempotent(class)
			if !c.halfOpen && (c.ejected || lastResort) {
				next.add(later(c.nextHalfOpen, soon))
			}
		}
	}
	if !s.unreachableAt.IsZero() {
		next.add(later(s.unreachableAt.Add(t.rules.MaxHalfOpenDelay+expiryMargin), soon))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
