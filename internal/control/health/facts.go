package health

import (
	"fmt"
	"time"
)

// Fact is one piece of evidence, for status pages and scripts.
type Fact struct {
	Source    string        `json:"source"`
	Finding   string        `json:"says"`
	Age       time.Duration `json:"age_ns"`   // negative: it does not age
	Validity  time.Duration `json:"valid_ns"` // how long it counts; 0: until it is taken back
	Effective bool          `json:"counts"`   // in the decision
}

// Facts returns the evidence on a server; nil if it is not listed.
func (t *Table) Facts(now time.Time, id ID) (facts []Fact) {
	t.advance(now)
	i, ok := t.index[id]
	if !ok {
		return nil
	}
	s := t.servers[i]
	roster := "listed"
	if s.Draining {
		roster = "drains"
	}
	facts = append(facts, Fact{Source: "roster", Finding: roster, Age: -1, Effective: true})
	for k := range s.checks {
		facts = append(facts, t.checkFact(&s.checks[k]))
	}
	for class := range s.classes {
		c := &s.classes[class]
		c.decay(t.now, t.rules.OutcomeHalfLife)
		if c.total() >= 0.5 || c.ejected {
			facts = append(facts, t.classFact(class, c))
		}
	}
	if s.connectFailures > 0 {
		facts = append(facts, Fact{Source: "connections", Finding: "none found, lately", Age: t.now.Sub(s.unreachableAt), Effective: !s.unreachableAt.IsZero()})
	}
	return facts
}

func (t *Table) checkFact(c *checkState) Fact {
	config := &t.checks[c.config]
	f := Fact{Source: "check " + config.Name, Age: t.now.Sub(c.resultAt), Validity: config.Validity, Effective: t.valid(c)}
	switch {
	case c.resultAt.IsZero():
		f.Finding, f.Age = "nothing yet", -1
	case c.down:
		f.Finding = "down"
	case c.failureRun > 0:
		f.Finding = "failing"
	default:
		f.Finding = "up"
	}
	if c.admin != AdminUnset {
		f.Finding += " " + c.admin.String()
		f.Effective = f.Effective || c.admin != Ready
	}
	if c.weight >= 0 {
		f.Finding += " " + percent(c.weight)
	}
	if c.degraded {
		f.Finding += " degraded"
	}
	if c.reason != "" {
		f.Finding += " (" + c.reason + ")"
	}
	return f
}

func (t *Table) classFact(class int, c *classState) Fact {
	says := percent(c.failures/max(1e-9, c.total())) + " of parts fail"
	if c.ejected {
		says += ", ejected"
	}
	return Fact{Source: fmt.Sprintf("parts of class %d", class), Finding: says, Age: t.now.Sub(c.updatedAt), Validity: t.rules.OutcomeHalfLife, Effective: true}
}

func percent(fraction float64) string { return fmt.Sprintf("%.0f%%", fraction*100) }
