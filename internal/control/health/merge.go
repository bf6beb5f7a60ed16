package health

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// How facts merge. The first row that holds decides the state; docs/health.md has the same table with reasons.
//
//	roster: gone                          out
//	roster: drains                        draining
//	a source's last word: maint           out
//	a source's last word: drain           draining
//	a source's weight, still valid: 0     draining
//	checks down, parts find no connection out
//	checks down, holds a block alone      in service, last resort
//	checks down, checks doubted           as if there were none
//	checks down, or flapping              out
//	parts find no connection              in service, last resort, with trials
//	parts of a class fail                 in service, that class shunned, with trials, within the limit of its blocks
//	otherwise                             in service
//
// A good check never outweighs failing parts, for no row asks whether a check is good.

// shareSteps is how finely shares are told: each telling costs a list.
const shareSteps = 20

// rampFrom is the share a server begins with when it comes back.
const rampFrom = 0.25

// settle concludes on one server.
func (t *Table) settle(i int) {
	n := t.nodes[i]
	down, why := t.byChecks(n)
	down = t.flaps(n, down, &why)
	admin, adminBy := t.admin(n)
	adminOut := n.Draining || admin != AdminUnset
	t.count(n, t.hasCheck(n) && !adminOut, down && !adminOut)
	doubted := down && t.doubted
	dead := !n.deadAt.IsZero()
	if dead && t.now.Sub(n.deadAt) > t.rules.MaxHalfOpenDelay && down {
		dead = false // old news: it may be tried again where it is the last
	}
	if fit := !adminOut && !(down && !doubted) && !dead; fit != n.fit {
		n.fit = fit
		t.touchNeighbours(i)
	}
	for of := range n.classes {
		t.eject(i, of, adminOut || down && !doubted)
	}
	c := Decision{TrafficFraction: 1, Usable: true}
	served := !n.lastGood.IsZero() && t.now.Sub(n.lastGood) <= t.rules.AnswerValidity && !dead
	switch {
	case n.Draining:
		c.State, c.Cause = Draining, "the roster: it drains"
	case admin == Maintenance:
		c.State, c.Cause = OutOfService, adminBy
	case admin == Drain:
		c.State, c.Cause = Draining, adminBy
	case down && dead && !doubted:
		c.State, c.Cause = OutOfService, why+"; and parts find no connection"
	case down && !doubted && t.alone(i) >= 0:
		c.EjectedClasses, c.Contradictory, c.Usable = AllClasses, served, served
		c.Cause = fmt.Sprintf("%s; but it holds block %d alone", why, t.alone(i))
	case down && !doubted:
		c.State, c.Cause, c.Contradictory = OutOfService, why, served
	case dead:
		c.EjectedClasses, c.Usable, c.Cause = AllClasses, false, "parts find no connection"
	default:
		var of []string
		for k := range n.classes {
			if n.classes[k].ejected {
				c.EjectedClasses |= 1 << k
				of = append(of, fmt.Sprint(k))
			} else if n.classes[k].limited {
				c.Cause, c.Contradictory = fmt.Sprintf("parts of class %d fail, but its blocks have no others", k), true
			}
		}
		if c.EjectedClasses != 0 {
			c.Cause, c.Contradictory = "parts fail, of class "+strings.Join(of, ", "), t.hasCheck(n) && !down
		}
		if doubted {
			c.Cause, c.Contradictory = strings.TrimPrefix(c.Cause+"; ", "; ")+why+"; but checks are doubted", true
			c.Usable = n.lastGood.After(n.lastDead)
		}
	}
	if c.State != InService {
		c.Usable = false
		for k := range n.classes { // whoever held a grant has forgotten it with the server
			n.classes[k].granted = false
		}
	}
	c.TrafficFraction = max(1, math.Round(t.shareOf(n)*shareSteps)) / shareSteps
	for k := range n.checks {
		if m := n.checks[k].maxConn; m > 0 && t.valid(&n.checks[k]) && (c.MaxInFlight == 0 || m < c.MaxInFlight) {
			c.MaxInFlight = m
		}
	}
	t.tell(i, c, t.trials(n, c))
	t.arm(i, c)
}

// tell notes a conclusion and passes on what is new of it.
func (t *Table) tell(i int, c Decision, trial uint64) {
	n := t.nodes[i]
	old := n.said
	told := !n.saidOnce || old.State != c.State || old.EjectedClasses != c.EjectedClasses || old.Cause != c.Cause || old.MaxInFlight != c.MaxInFlight
	if told || trial != 0 || old.TrafficFraction != c.TrafficFraction || old.Usable != c.Usable {
		t.changes = append(t.changes, Change{ID: n.ID, Decision: c, HalfOpenClasses: trial, Notable: told && (n.saidOnce || c.Cause != ""), PreviousState: old.State})
		n.said, n.saidOnce = c, true
		return
	}
	n.said = c
}

// valid says whether what a check said still counts.
func (t *Table) valid(c *check) bool {
	return !c.heard.IsZero() && t.now.Sub(c.heard) <= t.sources[c.source].Validity
}

func (t *Table) hasCheck(n *node) bool {
	for k := range n.checks {
		if t.valid(&n.checks[k]) {
			return true
		}
	}
	return false
}

// byChecks says whether a check that counts has a server down, and which.
func (t *Table) byChecks(n *node) (bool, string) {
	for k := range n.checks {
		if c := &n.checks[k]; c.down && t.valid(c) {
			why := "check " + t.sources[c.source].Name + ": down"
			if c.why != "" {
				why += " (" + c.why + ")"
			}
			return true, why
		}
	}
	return false, ""
}

// flaps damps: each change of the checks' verdict adds to a penalty that fades. Beyond FlapSuppress the server stays
// down until it has faded to FlapReuse. Guards against a list that changes with every check.
func (t *Table) flaps(n *node, down bool, why *string) bool {
	if d := t.now.Sub(n.flapAt); d > 0 {
		n.penalty *= math.Exp2(-float64(d) / float64(t.rules.FlapHalfLife))
	}
	n.flapAt = t.now
	if down != n.wasDown {
		n.wasDown = down
		n.penalty = min(n.penalty+1, 2*t.rules.FlapSuppress)
		if !down {
			n.ramp = t.now
		}
	}
	switch {
	case n.penalty >= t.rules.FlapSuppress:
		n.held = true
	case n.penalty <= t.rules.FlapReuse:
		n.held = false
	}
	if n.held { // whatever they say just now: it is told once
		*why = "its checks flap"
	}
	return down || n.held
}

// admin is the strongest administrative word on a server, and whose it is. These do not age: a drain that is no
// longer repeated is a drain still, until its source says ready.
func (t *Table) admin(n *node) (word AdminState, by string) {
	for k := range n.checks {
		c := &n.checks[k]
		w := c.admin
		if w != Maintenance && c.weight == 0 && t.valid(c) {
			w = Drain
		}
		if (w == Drain || w == Maintenance) && w > word {
			word, by = w, "check "+t.sources[c.source].Name+": "+w.String()
			if c.weight == 0 && c.admin != w {
				by = "check " + t.sources[c.source].Name + ": weight 0"
			}
			if c.why != "" {
				by += " (" + c.why + ")"
			}
		}
	}
	return word, by
}

// count keeps the numbers from which checks are doubted.
func (t *Table) count(n *node, checked, failing bool) {
	failing = failing && checked
	if checked != n.counted {
		n.counted = checked
		t.checked += map[bool]int{true: 1, false: -1}[checked]
	}
	if failing != n.failing {
		n.failing = failing
		t.failing += map[bool]int{true: 1, false: -1}[failing]
	}
	if float64(t.failing) > t.rules.PanicThreshold*float64(t.checked) || t.doubted {
		if t.doubtAt.IsZero() {
			t.doubtAt = t.now
		}
	}
}

// doubtPace is how often doubts in checks are looked at while most of them fail.
const doubtPace = 100 * time.Millisecond

// doubt decides whether checks are doubted: most of them fail, and of those servers some, in the last moments, have
// answered parts that were sent to them. Guards against a check system that is itself broken. The doubt ends when
// most are well again.
func (t *Table) doubt() {
	if t.doubtAt.IsZero() || t.now.Before(t.doubtAt) {
		return
	}
	t.doubtAt = time.Time{}
	most := float64(t.failing) > t.rules.PanicThreshold*float64(t.checked)
	if !most && !t.doubted {
		return
	}
	doubted := false
	if most {
		well, ill := 0, 0
		for _, n := range t.nodes {
			switch {
			case n == nil || !n.failing:
			case n.lastDead.After(n.lastGood):
				ill++
			case t.now.Sub(n.lastGood) <= t.rules.AnswerValidity:
				well++
			}
		}
		// Once doubted, a lull in which nothing is sent is no reason to believe them; that parts find no
		// connection at most of these servers is.
		doubted = 2*ill <= t.failing && (t.doubted || 2*well >= t.failing)
		t.doubtAt = t.now.Add(doubtPace)
	}
	if doubted != t.doubted {
		t.doubted = doubted
		for i := range t.nodes {
			t.touch(i)
		}
	}
}

// alone returns a block of which no other holder is fit, or -1.
func (t *Table) alone(i int) int {
	for _, b := range t.nodes[i].Shards {
		others := false
		for _, o := range t.holders[b] {
			others = others || o != i && t.nodes[o].fit
		}
		if !others {
			return b
		}
	}
	return -1
}

// shareOf moves a server's share towards what its sources say, and after a return up from a quarter.
func (t *Table) shareOf(n *node) float64 {
	aim := t.aimOf(n)
	if !n.ramp.IsZero() {
		d := float64(t.now.Sub(n.ramp)) / float64(t.rules.RecoveryRamp)
		if d >= 1 {
			n.ramp = time.Time{}
		} else if was := rampFrom + (1-rampFrom)*max(0, d); aim > was {
			n.share, n.shareAt = was, t.now
			return was
		}
	}
	step := float64(t.now.Sub(n.shareAt)) / float64(t.rules.WeightRiseTime)
	n.shareAt = t.now
	if aim > n.share {
		n.share = min(aim, n.share+step)
	} else {
		n.share = max(aim, n.share-3*step)
	}
	return n.share
}

// arm sets the time of the next look at a server: what ends by itself then.
func (t *Table) arm(i int, c Decision) {
	n := t.nodes[i]
	var next time.Time
	by := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for k := range n.checks {
		if ch := &n.checks[k]; t.valid(ch) && (ch.down || ch.degraded || ch.weight >= 0 || ch.maxConn >= 0) {
			by(ch.heard.Add(t.sources[ch.source].Validity + time.Millisecond))
		}
	}
	if n.held {
		by(t.now.Add(time.Duration(float64(t.rules.FlapHalfLife)*math.Log2(max(1, n.penalty/t.rules.FlapReuse))) + 10*time.Millisecond))
	}
	if !n.ramp.IsZero() || math.Abs(n.share-t.aimOf(n)) > 1e-9 {
		by(t.now.Add(100 * time.Millisecond))
	}
	if c.EjectedClasses != 0 && c.State == InService {
		for k := range n.classes {
			if cl := &n.classes[k]; !cl.granted && (cl.ejected || c.EjectedClasses == AllClasses && t.rules.NonIdempotent>>k&1 == 0) {
				by(maxTime(cl.next, t.now.Add(trialLook)))
			}
		}
	}
	if !n.deadAt.IsZero() {
		by(maxTime(n.deadAt.Add(t.rules.MaxHalfOpenDelay+time.Millisecond), t.now.Add(trialLook)))
	}
	// The end of its last answer's time may change what it is taken for.
	if c.Contradictory && c.State == InService && t.now.Sub(n.lastGood) <= t.rules.AnswerValidity {
		by(n.lastGood.Add(t.rules.AnswerValidity + time.Millisecond))
	}
	for k := range n.classes {
		if n.classes[k].limited {
			by(t.now.Add(t.rules.OutcomeHalfLife / 4))
		}
	}
	if next.IsZero() {
		t.timers.Cancel(i)
	} else {
		t.timers.Set(i, next)
	}
}

// degradedShare is that of a server that calls itself degraded: Envoy would leave it where others have room.
const degradedShare = 0.25

// aimOf is the share that a server's sources give it: the least of them.
func (t *Table) aimOf(n *node) float64 {
	aim := 1.0
	for k := range n.checks {
		c := &n.checks[k]
		if !t.valid(c) {
			continue
		}
		if c.weight > 0 {
			aim = min(aim, c.weight)
		}
		if c.degraded {
			aim = min(aim, degradedShare)
		}
	}
	return aim
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
