package health

import (
	"fmt"
	"math"
	"slices"
	"time"

	"rooktrestle/internal/control/timers"
)

// Table holds the evidence. It is owned by one goroutine. A server's evidence is dropped when the roster lists it
// no longer.
type Table struct {
	rules   Rules
	sources []CheckConfig
	nodes   []*node // by index; nil: free
	index   map[ID]int
	free    []int
	holders map[int][]int // of each block; one without any is dropped
	fleet   []window
	parts   []float64 // of each class, ended since the start
	timers  *timers.Wheel
	dirty   []int
	changes []Change

	checked, failing int // servers with a check that counts, and those of them that are down by it
	doubted          bool
	doubtAt          time.Time // next look whether checks are to be doubted; zero: no reason to look
	now              time.Time
}

// window is a share of failures over a time that fades.
type window struct {
	good, bad float64
	at        time.Time
}

func (w *window) fade(now time.Time, half time.Duration) {
	if d := now.Sub(w.at); d > 0 {
		f := math.Exp2(-float64(d) / float64(half))
		w.good, w.bad, w.at = w.good*f, w.bad*f, now
	}
}

// check is what one source said of one server.
type check struct {
	source    int
	heard     time.Time // last result that counts; zero: none
	good, bad int
	down      bool
	said      OperState
	admin     AdminState
	weight    float64
	maxConn   int
	degraded  bool
	why       string
}

// class is how a server does with one class of parts.
type class struct {
	window
	ejected, limited bool // limited: it would be ejected if its blocks had others
	since            time.Time
	granted          bool // a trial is out, or may be
	grantAt          time.Time
	next             time.Time
	badAt            time.Time // of the last bad trial, or the ejection
	mark             float64   // parts of the class ended by then
	run              int       // good trials in a row
	times            int       // ejections soon after each other
	back             time.Time // last return
}

type node struct {
	Server
	checks    []check
	classes   []class
	unreached int
	deadAt    time.Time // last time no connection was found, while it is taken for dead; zero: it is not
	lastDead  time.Time // the same, kept
	deadTimes int       // times that a check has ended that without an answer since
	lastGood  time.Time
	penalty   float64
	flapAt    time.Time
	held      bool // down for flapping
	wasDown   bool // by checks, before flapping
	share     float64
	shareAt   time.Time
	ramp      time.Time // of the last return; zero: none
	fit       bool      // counts for its blocks
	counted   bool      // in checked
	failing   bool      // in failing
	queued    bool
	said      Decision
	saidOnce  bool
}

// New returns an empty table.
func New(rules Rules, sources []CheckConfig, start time.Time) (*Table, error) {
	if err := rules.check(); err != nil {
		return nil, fmt.Errorf("health: %w", err)
	}
	for _, s := range sources {
		if err := s.check(); err != nil {
			return nil, fmt.Errorf("health: %w", err)
		}
	}
	return &Table{
		rules: rules, sources: sources, index: map[ID]int{}, holders: map[int][]int{}, fleet: make([]window, rules.Classes),
		parts: make([]float64, rules.Classes), timers: timers.NewWheel(start, 10*time.Millisecond), now: start,
	}, nil
}

// UpdateEndpoints takes word of the list: all servers there are, or with full false only those named.
func (t *Table) UpdateEndpoints(now time.Time, list []Server, full bool) {
	t.at(now)
	named := map[ID]bool{}
	for _, m := range list {
		named[m.ID] = true
		i, ok := t.index[m.ID]
		if m.Removed {
			if ok {
				t.remove(i)
			}
			continue
		}
		if !ok {
			i = t.add(m)
		}
		n := t.nodes[i]
		if !slices.Equal(n.Shards, m.Shards) {
			t.unlist(i)
			n.Shards = m.Shards
			t.list(i)
		}
		n.Draining = m.Draining
		t.touch(i)
	}
	if full {
		for i, n := range t.nodes {
			if n != nil && !named[n.ID] {
				t.remove(i)
			}
		}
	}
}

func (t *Table) add(m Server) int {
	n := &node{Server: m, classes: make([]class, t.rules.Classes), share: 1, shareAt: t.now}
	i := len(t.nodes)
	if k := len(t.free); k > 0 {
		i, t.free = t.free[k-1], t.free[:k-1]
		t.nodes[i] = n
	} else {
		t.nodes = append(t.nodes, n)
	}
	t.index[m.ID] = i
	t.list(i)
	return i
}

func (t *Table) list(i int) {
	n := t.nodes[i]
	for _, b := range n.Shards {
		t.holders[b] = append(t.holders[b], i)
	}
	t.touchNeighbours(i)
}

func (t *Table) unlist(i int) {
	t.touchNeighbours(i)
	for _, b := range t.nodes[i].Shards {
		if t.holders[b] = slices.DeleteFunc(t.holders[b], func(o int) bool { return o == i }); len(t.holders[b]) == 0 {
			delete(t.holders, b)
		}
	}
}

func (t *Table) remove(i int) {
	n := t.nodes[i]
	t.unlist(i)
	t.timers.Cancel(i)
	t.count(n, false, false)
	delete(t.index, n.ID)
	t.nodes[i] = nil
	t.free = append(t.free, i)
	t.changes = append(t.changes, Change{ID: n.ID, Decision: Decision{State: OutOfService, TrafficFraction: 1, Cause: "the roster: gone"}, Notable: true, PreviousState: n.said.State})
}

func (t *Table) at(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

func (t *Table) touch(i int) {
	if n := t.nodes[i]; n != nil && !n.queued {
		n.queued = true
		t.dirty = append(t.dirty, i)
	}
}

// touchNeighbours looks again at those who hold a block together with a server.
func (t *Table) touchNeighbours(i int) {
	for _, b := range t.nodes[i].Shards {
		for _, o := range t.holders[b] {
			t.touch(o)
		}
	}
}

// RecordCheck takes the result of one check of a server by a source.
func (t *Table) RecordCheck(now time.Time, id ID, source int, r CheckResult) {
	t.at(now)
	i, ok := t.index[id]
	if !ok || source < 0 || source >= len(t.sources) {
		return
	}
	n, src := t.nodes[i], t.sources[source]
	k := slices.IndexFunc(n.checks, func(c check) bool { return c.source == source })
	if k < 0 {
		k = len(n.checks)
		n.checks = append(n.checks, check{source: source, weight: -1, maxConn: -1})
	}
	c := &n.checks[k]
	if r.Failed && src.IgnoreFailures {
		return // no word is no word: what was said ends with its validity
	}
	c.heard = t.now
	if r.Reason != "" || !r.Failed {
		c.why = r.Reason
	}
	if r.Admin != AdminUnset {
		c.admin = r.Admin
	}
	if !r.Failed {
		c.degraded = r.Degraded
		if r.Weight >= 0 {
			c.weight = min(r.Weight, 1)
		}
		if r.MaxConn >= 0 {
			c.maxConn = r.MaxConn
		}
	}
	switch {
	case r.Failed:
		if c.good, c.bad = 0, c.bad+1; c.bad >= src.Fall || r.Immediate {
			c.down = true
		}
	case r.Oper == Down:
		c.good, c.bad, c.said, c.down = 0, c.bad+1, Down, true
	default:
		if r.Oper == Up {
			c.said = Up
		}
		// A word that does not name the state leaves it; a check that only finds the server well counts for rise.
		if c.bad, c.good = 0, c.good+1; c.good >= src.Rise && (r.Oper == Up || c.said != Down) {
			c.down = false
		}
	}
	// A check that got through later than any part says that there is somebody again. Guards a server to which
	// nothing is sent any more, because it was dead, against staying so for good. Each time it has to wait longer.
	if !c.down && !src.IgnoreFailures && !r.Failed && !n.deadAt.IsZero() &&
		t.now.Sub(n.deadAt) >= min(t.rules.HalfOpenDelay<<min(n.deadTimes, 10), t.rules.MaxHalfOpenDelay) {
		n.deadTimes++
		n.unreached = t.rules.MaxConnectFailures - 1
		t.undead(i)
	}
	t.touch(i)
}

// undead ends that a server is taken for dead.
func (t *Table) undead(i int) {
	n := t.nodes[i]
	n.deadAt, n.ramp = time.Time{}, t.now
	for k := range n.classes {
		n.classes[k].granted = n.classes[k].granted && n.classes[k].ejected
	}
	t.touch(i)
}

// RecordOutcome takes the end of an attempt of a real part: of which class, how it ended, and when it was sent.
func (t *Table) RecordOutcome(now time.Time, id ID, of int, r Outcome, sent time.Time) {
	t.at(now)
	i, ok := t.index[id]
	if !ok || of < 0 || of >= len(t.fleet) {
		return
	}
	n := t.nodes[i]
	c, all := &n.classes[of], &t.fleet[of]
	t.parts[of]++
	switch r {
	case Success:
		c.fade(t.now, t.rules.OutcomeHalfLife)
		all.fade(t.now, t.rules.OutcomeHalfLife)
		c.good, all.good = c.good+1, all.good+1
		if n.unreached, n.deadTimes = 0, 0; !n.deadAt.IsZero() {
			t.undead(i)
		}
		if t.now.Sub(n.lastGood) > t.rules.AnswerValidity/2 { // to be usable may hang on it
			t.touch(i)
		}
		n.lastGood = t.now
	case Failure:
		c.fade(t.now, t.rules.OutcomeHalfLife)
		all.fade(t.now, t.rules.OutcomeHalfLife)
		c.bad, all.bad = c.bad+1, all.bad+1
		n.unreached = 0
		if !c.ejected && t.fails(n, of) {
			t.touch(i)
		}
	case ConnectFailure:
		if n.unreached++; n.unreached >= t.rules.MaxConnectFailures {
			if n.deadAt.IsZero() {
				t.touch(i)
			}
			n.deadAt, n.lastDead = t.now, t.now
		}
	}
	if c.ejected && !sent.Before(c.since) {
		t.trialEnded(i, of, r)
	} else if !n.deadAt.IsZero() && c.granted && r != Success {
		c.granted, c.next = false, t.now.Add(t.rules.HalfOpenDelay)
		t.touch(i)
	}
}

// fails says whether a server fails too much of a class: by the lower confidence bound of its share, so that a
// few unlucky parts do not count, and against the others', so that what all suffer ejects nobody.
func (t *Table) fails(n *node, of int) bool {
	c := &n.classes[of]
	c.fade(t.now, t.rules.OutcomeHalfLife)
	all := &t.fleet[of]
	all.fade(t.now, t.rules.OutcomeHalfLife)
	if c.good+c.bad < t.rules.MinOutcomes {
		return false
	}
	low := wilson(c.bad, c.good+c.bad)
	good, bad := max(0, all.good-c.good), max(0, all.bad-c.bad)
	others := 0.0
	if good+bad >= 1 {
		others = bad / (good + bad)
	}
	return low >= t.rules.EjectFailureRate && low >= min(t.rules.EjectPeerRatio*others, 1-1e-9)
}

// wilson is the lower end of the Wilson score interval of bad out of n, one-sided at 95% (Wilson 1927).
func wilson(bad, n float64) float64 {
	const z = 1.645
	if n <= 0 {
		return 0
	}
	p := bad / n
	return (p + z*z/(2*n) - z*math.Sqrt(max(0, p*(1-p)/n+z*z/(4*n*n)))) / (1 + z*z/n)
}

// Changes settles what has come in and returns what has changed since the last call. The slice is the caller's.
func (t *Table) Changes(now time.Time) []Change {
	t.at(now)
	t.timers.Pop(t.now, t.touch)
	t.doubt()
	for len(t.dirty) > 0 {
		i := t.dirty[0]
		t.dirty = t.dirty[1:]
		if n := t.nodes[i]; n != nil {
			n.queued = false
			t.settle(i)
		}
	}
	out := t.changes
	t.changes = nil
	return out
}

// NextDeadline is when Changes should be called next if nothing comes in; ok is false if never.
func (t *Table) NextDeadline() (time.Time, bool) {
	at, ok := t.timers.Next()
	if !t.doubtAt.IsZero() && (!ok || t.doubtAt.Before(at)) {
		return t.doubtAt, true
	}
	return at, ok
}

// Decision is what was last concluded on a server.
func (t *Table) Decision(id ID) (Decision, bool) {
	i, ok := t.index[id]
	if !ok {
		return Decision{State: OutOfService, Cause: "not listed"}, false
	}
	return t.nodes[i].said, true
}

// UsableReplicas counts the holders of a block that may be expected to answer parts of a class.
func (t *Table) UsableReplicas(block, of int) (n int) {
	for _, i := range t.holders[block] {
		if t.nodes[i].usable(of) {
			n++
		}
	}
	return n
}

func (n *node) usable(of int) bool {
	return n.saidOnce && n.said.State == InService && n.said.Usable && !n.classes[of].ejected && !n.classes[of].limited
}

// Now is the latest time that the table was told.
func (t *Table) Now() time.Time { return t.now }

// Len is the number of servers listed.
func (t *Table) Len() int { return len(t.index) }

// ChecksSuspect says whether checks are doubted: so many fail while parts are answered that they must be wrong.
func (t *Table) ChecksSuspect() bool { return t.doubted }
