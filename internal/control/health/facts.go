package health

import (
	"fmt"
	"time"
)

// Fact is one piece of evidence, as status pages and scripts show it.
type Fact struct {
	Source    string        `json:"source"`
	Finding   string        `json:"says"`
	Age       time.Duration `json:"age_ns"`   // noAge if it does not age
	Validity  time.Duration `json:"valid_ns"` // how long it counts; 0: until it is replaced
	Effective bool          `json:"counts"`   // whether it affects the decision
}

// noAge is the Fact.Age of a fact that does not age.
const noAge time.Duration = -1

// Facts returns the evidence on a server; nil if it is not listed.
func (t *Table) Facts(now time.Time, id ID) (facts []Fact) {
	t.advance(now)
	index, ok := t.index[id]
	if !ok {
		return nil
	}
	server := t.servers[index]
	facts = append(facts, server.endpointFact())
	for i := range server.checks {
		facts = append(facts, t.checkFact(&server.checks[i]))
	}
	for class := range server.classes {
		classState := &server.classes[class]
		classState.decay(t.now, t.rules.OutcomeHalfLife)
		if classState.total() >= minOutcomesShown || classState.ejected {
			facts = append(facts, t.classFact(class, classState))
		}
	}
	if server.connectFailures > 0 {
		facts = append(facts, Fact{
			Source:    "connections",
			Finding:   "none found, lately",
			Age:       t.now.Sub(server.unreachableAt),
			Effective: !server.unreachableAt.IsZero(),
		})
	}
	return facts
}

// minOutcomesShown is the decayed number of outcomes from which Facts includes a class.
const minOutcomesShown = 0.5

// endpointFact returns the server's state in the endpoint list as a fact.
func (s *server) endpointFact() Fact {
	fact := Fact{Source: "roster", Finding: "listed", Age: noAge, Effective: true}
	if s.Draining {
		fact.Finding = "drains"
	}
	return fact
}

// checkFact returns the state of a check as a fact.
func (t *Table) checkFact(check *checkState) Fact {
	config := &t.checks[check.config]
	fact := Fact{
		Source:    "check " + config.Name,
		Finding:   check.condition(),
		Age:       t.now.Sub(check.resultAt),
		Validity:  config.Validity,
		Effective: t.valid(check) || check.adminState() > Ready,
	}
	if check.resultAt.IsZero() {
		fact.Age = noAge
	}
	if check.admin != AdminUnset {
		fact.Finding += " " + check.admin.String()
	}
	if check.weight >= 0 {
		fact.Finding += " " + percent(check.weight)
	}
	if check.degraded {
		fact.Finding += " degraded"
	}
	if check.reason != "" {
		fact.Finding += " (" + check.reason + ")"
	}
	return fact
}

// condition summarizes the check's results in a word or two.
func (c *checkState) condition() string {
	switch {
	case c.resultAt.IsZero():
		return "nothing yet"
	case c.down:
		return "down"
	case c.failureRun > 0:
		return "failing"
	}
	return "up"
}

// classFact returns the outcomes of a class as a fact.
func (t *Table) classFact(class int, c *classState) Fact {
	finding := percent(c.failureRate()) + " of parts fail"
	if c.ejected {
		finding += ", ejected"
	}
	return Fact{
		Source:    fmt.Sprintf("parts of class %d", class),
		Finding:   finding,
		Age:       t.now.Sub(c.updatedAt),
		Validity:  t.rules.OutcomeHalfLife,
		Effective: true,
	}
}

// percent formats a fraction as a whole percentage.
func percent(fraction float64) string { return fmt.Sprintf("%.0f%%", fraction*100) }
