package health

import (
	"fmt"
	"time"
)

// trialLook is how often a trial that waits for parts elsewhere is looked at.
const trialLook = 50 * time.Millisecond

// soonAfter is how many times the longest wait after a return another ejection counts as the next of a row.
const soonAfter = 10

// eject ejects a server from a class, or lets it back without a trial where the ejection has lost its ground.
// out: the server is out for another reason, and its parts tell nothing more.
func (t *Table) eject(i, of int, out bool) {
	n := t.nodes[i]
	c := &n.classes[of]
	c.limited = false
	if out || c.ejected || !t.fails(n, of) {
		return
	}
	if !t.mayEject(i, of) {
		c.limited = true
		return
	}
	t.ejected(i, of)
	// What must not run twice is not risked where other classes fail, though it has done well so far: it is rare, and
	// would take long to show that it fails, too.
	for k := range n.classes {
		if t.rules.NonIdempotent>>k&1 == 1 && !n.classes[k].ejected && t.mayEject(i, k) {
			t.ejected(i, k)
		}
	}
}

func (t *Table) ejected(i, of int) {
	c := &t.nodes[i].classes[of]
	if c.back.IsZero() || t.now.Sub(c.back) > soonAfter*t.rules.MaxHalfOpenDelay {
		c.times = 0
	}
	wait := min(t.rules.HalfOpenDelay<<min(c.times, 10), t.rules.MaxHalfOpenDelay)
	if t.rules.NonIdempotent>>of&1 == 1 {
		wait = t.rules.NonIdempotentDelay << min(c.times, 4)
	}
	c.times++
	c.ejected, c.since, c.run, c.granted = true, t.now, 0, false
	c.next, c.badAt, c.mark = t.now.Add(wait), t.now, t.parts[of]
	t.touchNeighbours(i)
}

// mayEject says whether each block of a server keeps enough holders for a class without it.
func (t *Table) mayEject(i, of int) bool {
	for _, b := range t.nodes[i].Shards {
		all, left := 0, 0
		for _, o := range t.holders[b] {
			m := t.nodes[o]
			if m.Draining {
				continue
			}
			all++
			if o != i && m.fit && !m.classes[of].ejected {
				left++
			}
		}
		if left < 1 || float64(left) < float64(all)*(1-t.rules.MaxEjectedFraction) {
			return false
		}
	}
	return true
}

// trialEnded takes what a part showed that was sent after the ejection.
func (t *Table) trialEnded(i, of int, r Outcome) {
	n := t.nodes[i]
	c := &n.classes[of]
	c.granted = false
	t.touch(i)
	switch r {
	case Success:
		c.run++
		c.next = t.now.Add(t.rules.HalfOpenInterval)
		if c.run >= t.rules.ReturnSuccesses || t.rules.NonIdempotent>>of&1 == 1 && c.run >= 2 {
			t.returned(i, of)
		}
	case Neutral:
		c.next = t.now.Add(t.rules.HalfOpenInterval)
	default:
		c.run, c.badAt, c.mark = 0, t.now, t.parts[of]
		c.next = t.now.Add(t.rules.HalfOpenInterval)
		if t.rules.NonIdempotent>>of&1 == 1 {
			c.next = t.now.Add(t.rules.NonIdempotentDelay << min(c.times, 4))
		}
	}
}

// returned lets a server back to a class, with a clean sheet and a small share at first. Classes that may not be
// tried on their own account come back with one that could.
func (t *Table) returned(i, of int) {
	n := t.nodes[i]
	for k := range n.classes {
		c := &n.classes[k]
		if k != of && !(c.ejected && t.rules.NonIdempotent>>k&1 == 1 && t.rules.NonIdempotent>>of&1 == 0) {
			continue
		}
		c.ejected, c.back = false, t.now
		t.fleet[k].fade(t.now, t.rules.OutcomeHalfLife)
		c.fade(t.now, t.rules.OutcomeHalfLife)
		t.fleet[k].good, t.fleet[k].bad = max(0, t.fleet[k].good-c.good), max(0, t.fleet[k].bad-c.bad)
		c.good, c.bad = 0, 0
	}
	n.ramp = t.now
	t.touchNeighbours(i)
}

// trials grants what is due: one part of a shunned class. A bad trial makes the next wait until so many parts of
// the class have ended elsewhere, or for the longest wait: trials must stay a small share of all parts.
func (t *Table) trials(n *node, c Decision) (grant uint64) {
	if c.State != InService || c.EjectedClasses == 0 {
		return 0
	}
	for k := range n.classes {
		cl := &n.classes[k]
		unsafe := t.rules.NonIdempotent>>k&1 == 1
		switch {
		// A grant that nobody came back from, for whatever reason, is given again.
		case cl.granted && t.now.Sub(cl.grantAt) < soonAfter*t.rules.MaxHalfOpenDelay || t.now.Before(cl.next):
		case cl.ejected:
			wait := cl.run == 0 && t.parts[k]-cl.mark < t.rules.HalfOpenTraffic && t.now.Sub(cl.badAt) < t.rules.MaxHalfOpenDelay
			// Another class can tell: it is tried, and this one comes back with it.
			if unsafe && t.othersEjected(n) || !unsafe && wait {
				continue
			}
			cl.granted, cl.grantAt = true, t.now
			grant |= 1 << k
		case c.EjectedClasses == AllClasses && !n.deadAt.IsZero() && !unsafe:
			cl.granted, cl.grantAt = true, t.now
			grant |= 1 << k
		}
	}
	return grant
}

// othersEjected says whether a class that may be tried is ejected, too.
func (t *Table) othersEjected(n *node) bool {
	for k := range n.classes {
		if n.classes[k].ejected && t.rules.NonIdempotent>>k&1 == 0 {
			return true
		}
	}
	return false
}

// Fact is one piece of evidence, for people and for scripts.
type Fact struct {
	Source string        `json:"source"`
	Says   string        `json:"says"`
	Age    time.Duration `json:"age_ns"`   // negative: it does not age
	Valid  time.Duration `json:"valid_ns"` // 0: until taken back
	Counts bool          `json:"counts"`
}

// Facts lists the evidence on a server.
func (t *Table) Facts(now time.Time, id ID) (facts []Fact) {
	t.at(now)
	i, ok := t.index[id]
	if !ok {
		return nil
	}
	n := t.nodes[i]
	roster := "listed"
	if n.Draining {
		roster = "drains"
	}
	facts = append(facts, Fact{Source: "roster", Says: roster, Age: -1, Counts: true})
	for k := range n.checks {
		c := &n.checks[k]
		src := t.sources[c.source]
		f := Fact{Source: "check " + src.Name, Age: t.now.Sub(c.heard), Valid: src.Validity, Counts: t.valid(c)}
		switch {
		case c.heard.IsZero():
			f.Says, f.Age = "nothing yet", -1
		case c.down:
			f.Says = "down"
		case c.bad > 0:
			f.Says = "failing"
		default:
			f.Says = "up"
		}
		if c.admin != AdminUnset {
			f.Says += " " + c.admin.String()
			f.Counts = f.Counts || c.admin != Ready
		}
		if c.weight >= 0 {
			f.Says += " " + percent(c.weight)
		}
		if c.degraded {
			f.Says += " degraded"
		}
		if c.why != "" {
			f.Says += " (" + c.why + ")"
		}
		facts = append(facts, f)
	}
	for k := range n.classes {
		c := &n.classes[k]
		c.fade(t.now, t.rules.OutcomeHalfLife)
		if c.good+c.bad < 0.5 && !c.ejected {
			continue
		}
		says := percent(c.bad/max(1e-9, c.good+c.bad)) + " of parts fail"
		if c.ejected {
			says += ", ejected"
		}
		facts = append(facts, Fact{Source: fmt.Sprintf("parts of class %d", k), Says: says, Age: t.now.Sub(c.at), Valid: t.rules.OutcomeHalfLife, Counts: true})
	}
	if n.unreached > 0 {
		facts = append(facts, Fact{Source: "connections", Says: "none found, lately", Age: t.now.Sub(n.deadAt), Counts: !n.deadAt.IsZero()})
	}
	return facts
}

func percent(v float64) string { return fmt.Sprintf("%.0f%%", v*100) }
