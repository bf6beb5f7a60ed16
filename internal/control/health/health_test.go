package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const search, correction = 0, 1

// world is a fleet in virtual time: parts are placed by the conclusions, as the decisions on a query would, and
// end as the servers do. Four blocks round a ring, two holders each, unless told otherwise.
type world struct {
	t      *testing.T
	tab    *Table
	now    time.Time
	rng    *rand.Rand
	nodes  []ID
	reach  int
	fails  map[ID]float64 // share of parts that fail
	dead   map[ID]bool    // connections refused
	trial  map[ID]uint64  // grants in hand
	sent   map[ID]int     // since the last reset
	failed map[ID]int     // of these
	log    []string       // conclusions told
	checks map[ID]Report  // what the check of each finds, every 200 ms
	silent map[ID]bool    // no check is made
	state  map[ID]Conclusion
}

func newWorld(t *testing.T, nodes, reach int) *world {
	t.Helper()
	tab, err := New(Defaults(2, 1<<correction), []Source{{Name: "http", Fall: 2, Rise: 1, Valid: 2 * time.Second}}, origin)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, tab: tab, now: origin, rng: rand.New(rand.NewPCG(5, 6)), reach: reach, fails: map[ID]float64{}, dead: map[ID]bool{},
		trial: map[ID]uint64{}, sent: map[ID]int{}, failed: map[ID]int{}, checks: map[ID]Report{}, silent: map[ID]bool{}, state: map[ID]Conclusion{}}
	var list []Node
	for i := range nodes {
		id := ID(fmt.Sprintf("n%d", i))
		w.nodes = append(w.nodes, id)
		var blocks []int
		for j := range reach {
			blocks = append(blocks, (i-j+nodes)%nodes)
		}
		list = append(list, Node{ID: id, Blocks: blocks})
		w.checks[id] = Report{Oper: Up, Weight: -1, MaxConn: -1}
	}
	tab.Roster(w.now, list, true)
	w.take()
	return w
}

func (w *world) take() {
	for _, c := range w.tab.Changes(w.now) {
		w.state[c.ID] = c.Conclusion
		w.trial[c.ID] |= c.Trial
		w.trial[c.ID] &= c.Shun
		if c.Told {
			w.log = append(w.log, fmt.Sprintf("%v %s %v %s", w.now.Sub(origin), c.ID, c.State, c.Cause))
		}
	}
}

// part sends one part of a class to a holder of a block, by the rules of the choice: who is not shunned, else who
// is; trials first. It says where it went; "" for nowhere.
func (w *world) part(block, of int) ID {
	var sound, last []ID
	for j := range w.reach {
		id := w.nodes[(block+j)%len(w.nodes)]
		c := w.state[id]
		switch {
		case c.State != InService:
		case c.Shun>>of&1 == 1:
			if w.trial[id]>>of&1 == 1 {
				w.trial[id] &^= 1 << of
				return w.send(id, of)
			}
			last = append(last, id)
		default:
			sound = append(sound, id)
		}
	}
	if len(sound) == 0 {
		sound = last
	}
	if len(sound) == 0 {
		return ""
	}
	return w.send(sound[w.rng.IntN(len(sound))], of)
}

func (w *world) send(id ID, of int) ID {
	w.sent[id]++
	r := Good
	switch {
	case w.dead[id]:
		r = Unreached
	case w.rng.Float64() < w.fails[id]:
		r = Bad
	}
	if r != Good {
		w.failed[id]++
	}
	w.tab.Outcome(w.now, id, of, r, w.now)
	return id
}

// run lets time pass in steps of 10 ms, with so many searches' parts a second on each block, and a correction for
// each four of them.
func (w *world) run(d time.Duration, rate float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		if w.now.Sub(origin)%(200*time.Millisecond) == 0 {
			for _, id := range w.nodes {
				if !w.silent[id] {
					w.tab.Check(w.now, id, 0, w.checks[id])
				}
			}
		}
		for b := range w.nodes {
			if w.rng.Float64() < rate/100 {
				w.part(b, search)
			}
			if w.rng.Float64() < rate/400 {
				w.part(b, correction)
			}
		}
		w.take()
	}
}

func (w *world) reset() { w.sent, w.failed, w.log = map[ID]int{}, map[ID]int{}, nil }

func (w *world) share(id ID) float64 {
	all := 0
	for _, n := range w.sent {
		all += n
	}
	return float64(w.sent[id]) / float64(max(1, all))
}

// Checks that are all good do not keep parts at a server that fails them: its share falls under 2%, what is sent
// there are trials by what may run twice, and it is back within 10 s of being sound.
func TestGoodChecksDoNotOutweighFailingParts(t *testing.T) {
	for _, rate := range []float64{10, 40, 200} {
		w := newWorld(t, 4, 2)
		w.run(5*time.Second, rate)
		w.fails["n1"] = 0.8
		w.run(3*time.Second, rate)
		w.reset()
		w.run(60*time.Second, rate)
		if s := w.share("n1"); s > 0.02 {
			t.Errorf("rate %v: the failing server has %.1f%% of the parts", rate, 100*s)
		}
		if w.state["n1"].Shun&(1<<search|1<<correction) != 1<<search|1<<correction || !strings.Contains(w.state["n1"].Cause, "parts fail") {
			t.Errorf("rate %v: %+v", rate, w.state["n1"])
		}
		w.fails["n1"] = 0
		begin := w.now
		for w.state["n1"].Shun != 0 && w.now.Sub(begin) < 10*time.Second {
			w.run(100*time.Millisecond, rate)
		}
		if took := w.now.Sub(begin); took >= 10*time.Second {
			t.Errorf("rate %v: still out %v after it is sound", rate, took)
		}
		w.run(5*time.Second, rate)
		w.reset()
		if w.run(10*time.Second, rate); w.share("n1") < 0.15 {
			t.Errorf("rate %v: back with %.1f%% of the parts", rate, 100*w.share("n1"))
		}
	}
}

// No correction is a trial while a class that may run twice can tell.
func TestTrialsAreNotOfWhatMustNotRunTwice(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.run(3*time.Second, 50)
	w.fails["n2"] = 1
	w.run(3*time.Second, 50)
	for range 3000 {
		w.run(10*time.Millisecond, 50)
		if w.trial["n2"]>>correction&1 == 1 {
			t.Fatal("a correction may be risked")
		}
	}
	if w.trial["n2"] == 0 && w.sent["n2"] == 0 {
		t.Error("no trial at all")
	}
}

// Corrections are rare: those that did well until the fault keep nobody from leaving the server with the first class
// that shows it.
func TestRareCorrectionsLeaveWithTheOthers(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.run(20*time.Second, 40)
	if n := w.tab.nodes[1].classes[correction]; n.good < w.tab.rules.Volume || n.bad > 0 {
		t.Fatalf("no good record before: %+v", n)
	}
	w.fails["n1"] = 0.8
	for w.state["n1"].Shun&(1<<search) == 0 {
		w.run(10*time.Millisecond, 40)
	}
	if w.state["n1"].Shun&(1<<correction) == 0 {
		t.Errorf("%+v", w.state["n1"])
	}
}

// Ejections stop where a block would keep too few holders, and failures that all share eject nobody.
func TestEjectionsAreLimited(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.run(3*time.Second, 50)
	w.fails["n0"], w.fails["n1"] = 0.9, 0.9 // together they hold a block
	w.run(5*time.Second, 50)
	out := 0
	for _, id := range []ID{"n0", "n1"} {
		if w.state[id].Shun&1 == 1 {
			out++
		} else if !strings.Contains(w.state[id].Cause, "no others") || w.tab.Usable(0, search) != 0 {
			t.Errorf("%s: %+v, %d usable", id, w.state[id], w.tab.Usable(0, search))
		}
	}
	if out != 1 {
		t.Errorf("%d of two holders of a block were ejected", out)
	}
	w = newWorld(t, 6, 3)
	w.run(3*time.Second, 50)
	for _, id := range w.nodes {
		w.fails[id] = 0.6
	}
	w.run(10*time.Second, 50)
	for _, id := range w.nodes {
		if w.state[id].Shun != 0 {
			t.Errorf("%s was ejected while all fail alike", id)
		}
	}
}

// A bad check takes a server out, but not the last holder of a block; that one is named with the reason, and parts
// that find no connection take it out after all.
func TestBadChecksLeaveTheLastHolder(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.checks["n1"] = Report{Failed: true, Why: "status 500"}
	w.run(time.Second, 20)
	if w.state["n1"].State != Out || !strings.Contains(w.state["n1"].Cause, "status 500") {
		t.Errorf("%+v", w.state["n1"])
	}
	w.checks["n2"] = Report{Failed: true, Why: "refused"} // block 1 is held by n1 and n2
	w.run(time.Second, 20)
	for _, id := range []ID{"n1", "n2"} {
		if c := w.state[id]; c.State != InService || c.Shun != Everything || !strings.Contains(c.Cause, "alone") {
			t.Errorf("%s: %+v", id, c)
		}
	}
	if w.tab.Usable(1, search) == 0 {
		t.Error("parts are answered there, and nothing is usable")
	}
	w.dead["n1"], w.dead["n2"] = true, true
	w.run(2*time.Second, 20)
	if w.state["n1"].State != Out || w.state["n2"].State != Out || w.tab.Usable(1, search) != 0 {
		t.Errorf("%+v %+v", w.state["n1"], w.state["n2"])
	}
	w.dead["n1"] = false
	w.checks["n1"] = Report{Oper: Up, Weight: -1, MaxConn: -1}
	w.run(time.Second, 0) // nothing is sent: the check alone brings it back
	if w.state["n1"].State != InService || w.tab.Usable(1, search) != 1 {
		t.Errorf("%+v", w.state["n1"])
	}
}

// All checks fail at once while parts are answered: service goes on, at every moment.
func TestBrokenChecksDoNotEmptyTheFleet(t *testing.T) {
	w := newWorld(t, 8, 2)
	w.run(2*time.Second, 20)
	for _, id := range w.nodes {
		w.checks[id] = Report{Failed: true, Why: "no answer"}
	}
	for range 1000 {
		w.run(10*time.Millisecond, 20)
		for b := range w.nodes {
			if w.tab.Usable(b, search) == 0 {
				t.Fatalf("%v: block %d has nobody left", w.now.Sub(origin), b)
			}
		}
	}
	if !w.tab.Doubted() {
		t.Error("the checks are believed")
	}
	w.run(10*time.Second, 0) // a lull is no reason to believe them
	for _, id := range w.nodes {
		if c := w.state[id]; c.State != InService || !strings.Contains(c.Cause, "doubted") {
			t.Fatalf("%s: %+v", id, c)
		}
	}
	for _, id := range w.nodes {
		w.checks[id] = Report{Oper: Up, Weight: -1, MaxConn: -1}
	}
	w.run(time.Second, 20)
	if w.tab.Doubted() {
		t.Error("the checks are well and still doubted")
	}
}

// What drains by any source gets nothing from the very call on that takes the word, whatever else says up, and
// though it holds a block alone. The word stays when it is no longer repeated.
func TestDrainsHold(t *testing.T) {
	for name, r := range map[string]Report{
		"drain": {Admin: Drain, Weight: -1, MaxConn: -1}, "maint": {Admin: Maint, Oper: Up, Weight: -1, MaxConn: -1},
		"404": {Admin: Drain, Oper: Up, Weight: -1, MaxConn: -1}, "weight 0": {Oper: Up, Weight: 0, MaxConn: -1},
	} {
		w := newWorld(t, 4, 2)
		w.checks["n0"] = Report{Failed: true}
		w.run(2*time.Second, 20)
		w.silent["n1"] = true
		w.tab.Check(w.now, "n1", 0, r)
		w.take()
		w.reset()
		if name != "weight 0" { // a weight ages as any other word
			w.run(20*time.Second, 20)
		}
		w.run(time.Second, 20)
		if w.sent["n1"] != 0 || w.state["n1"].State == InService || w.tab.Usable(1, search) != 1 {
			t.Errorf("%s: %d parts, %+v", name, w.sent["n1"], w.state["n1"])
		}
		w.silent["n1"] = false
		w.checks["n1"] = Report{Admin: Ready, Oper: Up, Weight: 1, MaxConn: -1}
		if w.run(time.Second, 20); w.state["n1"].State != InService {
			t.Errorf("%s: ready and not back: %+v", name, w.state["n1"])
		}
	}
	w := newWorld(t, 4, 2)
	w.tab.Roster(w.now, []Node{{ID: "n3", Drain: true, Blocks: []int{3, 2}}}, false)
	w.run(time.Second, 20)
	if w.sent["n3"] != 0 {
		t.Error("parts at a server that the roster drains")
	}
	w.tab.Roster(w.now, []Node{{ID: "n3", Gone: true}}, false)
	if w.take(); w.state["n3"].State != Out || w.tab.Len() != 3 {
		t.Errorf("%+v", w.state["n3"])
	}
}

// A check that changes its mind all the time takes the server out until it is quiet, and is not told each time.
func TestFlappingIsDamped(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.run(time.Second, 20)
	w.reset()
	for i := range 60 {
		w.checks["n1"] = Report{Oper: Oper(1 + i%2), Weight: -1, MaxConn: -1}
		w.run(500*time.Millisecond, 20)
	}
	told := 0
	for _, line := range w.log {
		if strings.Contains(line, " n1 ") {
			told++
		}
	}
	if told > 14 || w.state["n1"].State != Out {
		t.Errorf("told %d times in 30 s: %v", told, w.state["n1"])
	}
	w.checks["n1"] = Report{Oper: Up, Weight: -1, MaxConn: -1}
	if w.run(50*time.Second, 20); w.state["n1"].State != InService {
		t.Errorf("quiet and still out: %+v", w.state["n1"])
	}
}

// A weight takes its time; what is told of it stays rare; maxconn counts while it is valid.
func TestWeightsMoveSlowly(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.run(time.Second, 20)
	w.checks["n1"] = Report{Oper: Up, Weight: 0.25, MaxConn: 7}
	w.run(200*time.Millisecond, 20)
	if c := w.state["n1"]; c.Share < 0.7 || c.MaxOut != 7 {
		t.Errorf("%+v", c)
	}
	if w.run(2*time.Second, 20); w.state["n1"].Share != 0.25 {
		t.Errorf("share %v", w.state["n1"].Share)
	}
	w.checks["n1"] = Report{Oper: Up, Weight: 1, MaxConn: -1}
	if w.run(2*time.Second, 20); w.state["n1"].Share > 0.75 || w.state["n1"].Share < 0.5 {
		t.Errorf("share %v after 2 s", w.state["n1"].Share)
	}
	w.checks["n1"] = Report{Oper: Up, Weight: 1, MaxConn: -1, Degraded: true}
	if w.run(3*time.Second, 20); math.Abs(w.state["n1"].Share-degradedShare) > 0.01 {
		t.Errorf("share %v of a degraded server", w.state["n1"].Share)
	}
	w.silent["n1"] = true
	if w.run(10*time.Second, 20); w.state["n1"].Share < 0.999 || w.state["n1"].MaxOut != 0 {
		t.Errorf("%+v", w.state["n1"])
	}
}

// A server that is dead for parts comes back by a trial, though no check speaks of it.
func TestDeadServersComeBack(t *testing.T) {
	w := newWorld(t, 4, 2)
	for _, id := range w.nodes {
		w.silent[id] = true
	}
	w.run(time.Second, 50)
	w.dead["n1"] = true
	w.run(2*time.Second, 50)
	w.reset()
	w.run(20*time.Second, 50)
	if c := w.state["n1"]; c.Shun != Everything || c.Usable || w.share("n1") > 0.02 {
		t.Errorf("%+v, %.1f%% of the parts", c, 100*w.share("n1"))
	}
	w.dead["n1"] = false
	if w.run(2*time.Second, 50); w.state["n1"].Shun != 0 || !w.state["n1"].Usable {
		t.Errorf("%+v", w.state["n1"])
	}
}

// Facts name every source with its age.
func TestFacts(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.checks["n1"] = Report{Failed: true, Why: "status 500"}
	w.run(time.Second, 50)
	text := fmt.Sprintf("%+v", w.tab.Facts(w.now, "n1"))
	for _, part := range []string{"roster", "check http", "down (status 500)", "parts of class 0"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in %s", part, text)
		}
	}
}

func TestBadRules(t *testing.T) {
	for i, change := range []func(*Rules){
		func(r *Rules) { r.Classes = 0 }, func(r *Rules) { r.Half = 0 }, func(r *Rules) { r.EjectMost = 1 }, func(r *Rules) { r.Share = 0 },
		func(r *Rules) { r.Panic = 0 }, func(r *Rules) { r.TrialMost = 1 }, func(r *Rules) { r.FlapBack = 9 }, func(r *Rules) { r.Return = 0 },
		func(r *Rules) { r.WeightStep = 0 }, func(r *Rules) { r.Volume = 0 }, func(r *Rules) { r.Ratio = 0 },
	} {
		r := Defaults(2, 0)
		change(&r)
		if _, err := New(r, nil, origin); err == nil {
			t.Errorf("%d: %+v was taken", i, r)
		}
	}
	if _, err := New(Defaults(2, 0), []Source{{Name: "x", Fall: 1, Rise: 0, Valid: 1}}, origin); err == nil {
		t.Error("a source without rise was taken")
	}
}

// Random evidence: what drains is never in service, a share is within bounds, no block loses all its holders to
// ejections, grants are only of what is shunned and safe, and the fixed points of the table hold.
func FuzzTable(f *testing.F) {
	f.Add(uint64(1), uint16(400))
	f.Add(uint64(77), uint16(1500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 2))
		sources := []Source{{Name: "a", Fall: 1, Rise: 1, Valid: time.Second, Mute: true}, {Name: "h", Fall: 2, Rise: 2, Valid: 3 * time.Second}}
		tab, err := New(Defaults(2, 1<<correction), sources, origin)
		if err != nil {
			t.Fatal(err)
		}
		const n = 6
		id := func(i int) ID { return ID(rune('a' + i)) }
		now, drained := origin, map[ID]bool{}
		for i := range n {
			tab.Roster(now, []Node{{ID: id(i), Blocks: []int{i, (i + 1) % n, (i + 2) % n}}}, false)
		}
		for range steps % 3000 {
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			who := rng.IntN(n)
			switch rng.IntN(6) {
			case 0, 1:
				r := Report{Failed: rng.IntN(3) == 0, Oper: Oper(rng.IntN(3)), Weight: -1, MaxConn: rng.IntN(4) - 1}
				if rng.IntN(4) == 0 {
					r.Weight = float64(1+rng.IntN(4)) / 4
				}
				source := rng.IntN(2)
				if source == 0 && !r.Failed && rng.IntN(6) == 0 {
					r.Admin = Admin(1 + rng.IntN(3))
					drained[id(who)] = r.Admin != Ready
				}
				tab.Check(now, id(who), source, r)
			case 2:
				drain := rng.IntN(8) == 0
				tab.Roster(now, []Node{{ID: id(who), Drain: drain, Blocks: []int{who, (who + 1) % n, (who + 2) % n}}}, false)
			default:
				for range 5 {
					tab.Outcome(now, id(who), rng.IntN(2), Result(rng.IntN(4)), now.Add(-time.Duration(rng.IntN(400))*time.Millisecond))
				}
			}
			for _, c := range tab.Changes(now) {
				switch {
				case c.Share < 0.05 || c.Share > 1:
					t.Fatalf("share %v", c.Share)
				case c.Trial&^c.Shun != 0, c.Trial != 0 && c.State != InService:
					t.Fatalf("a trial of what is not shunned: %+v", c)
				case c.State != InService && c.Usable:
					t.Fatalf("%+v", c)
				}
			}
			for i := range n {
				c, ok := tab.Conclusion(id(i))
				if !ok {
					t.Fatalf("%s is not listed", id(i))
				}
				if drained[id(i)] && c.State == InService {
					t.Fatalf("%s drains and is in service: %+v", id(i), c)
				}
				fit, kept := 0, 0
				for _, o := range tab.holders[i] {
					if m := tab.nodes[o]; m.fit {
						if fit++; !m.classes[search].ejected {
							kept++
						}
					}
				}
				if c.State == InService && c.Shun != 0 && c.Shun != Everything && kept == 0 && fit == len(tab.holders[i]) {
					t.Fatalf("block %d lost all its holders to ejections", i)
				}
			}
		}
	})
}

// 10,000 servers, outcomes in turn, one in a hundred bad, and the changes taken each 1,000: what 100,000 outcomes a
// second cost. Run with -bench Outcomes -benchmem.
func BenchmarkOutcomes(b *testing.B) {
	const n = 10_000
	tab, err := New(Defaults(3, 4), []Source{{Name: "h", Fall: 2, Rise: 1, Valid: 10 * time.Second}}, origin)
	if err != nil {
		b.Fatal(err)
	}
	ids := make([]ID, n)
	list := make([]Node, n)
	for i := range n {
		ids[i] = ID(fmt.Sprintf("server-%05d", i))
		list[i] = Node{ID: ids[i], Blocks: []int{i, (i + 1) % n, (i + 2) % n, (i + 3) % n}}
	}
	tab.Roster(origin, list, true)
	tab.Changes(origin)
	now := origin
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := Good
		if i%100 == 0 {
			r = Bad
		}
		now = now.Add(10 * time.Microsecond)
		tab.Outcome(now, ids[(i*7919)%n], i%3, r, now)
		if i%1000 == 999 {
			tab.Changes(now)
		}
	}
}

// The same servers, one check each in turn: a result, settled.
func BenchmarkChecks(b *testing.B) {
	const n = 10_000
	tab, _ := New(Defaults(3, 4), []Source{{Name: "h", Fall: 2, Rise: 1, Valid: time.Hour}}, origin)
	ids := make([]ID, n)
	list := make([]Node, n)
	for i := range n {
		ids[i] = ID(fmt.Sprintf("server-%05d", i))
		list[i] = Node{ID: ids[i], Blocks: []int{i, (i + 1) % n, (i + 2) % n, (i + 3) % n}}
	}
	tab.Roster(origin, list, true)
	tab.Changes(origin)
	b.ReportAllocs()
	b.ResetTimer()
	now := origin
	for i := range b.N {
		now = now.Add(200 * time.Microsecond)
		tab.Check(now, ids[i%n], 0, Report{Oper: Up, Weight: -1, MaxConn: -1})
		if i%10 == 9 {
			tab.Changes(now)
		}
	}
}
