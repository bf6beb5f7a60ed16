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

// fleet is a fleet in virtual time: parts are placed by the conclusions, as the decisions on a query would, and
// end as the servers do. Four blocks round a ring, two holders each, unless told otherwise.
type fleet struct {
	t           *testing.T
	table       *Table
	now         time.Time
	rng         *rand.Rand
	ids         []ID
	replicas    int
	failureRate map[ID]float64     // share of parts that fail
	unreachable map[ID]bool        // connections refused
	halfOpen    map[ID]uint64      // grants in hand
	sent        map[ID]int         // since the last reset
	failed      map[ID]int         // of these
	notable     []string           // conclusions told
	checks      map[ID]CheckResult // what the check of each finds, every 200 ms
	unchecked   map[ID]bool        // no check is made
	decisions   map[ID]Decision
}

func newFleet(t *testing.T, nodes, reach int) *fleet {
	t.Helper()
	tab, err := New(Defaults(2, 1<<correction), []CheckConfig{{Name: "http", Fall: 2, Rise: 1, Validity: 2 * time.Second}}, origin)
	if err != nil {
		t.Fatal(err)
	}
	w := &fleet{t: t, table: tab, now: origin, rng: rand.New(rand.NewPCG(5, 6)), replicas: reach, failureRate: map[ID]float64{}, unreachable: map[ID]bool{},
		halfOpen: map[ID]uint64{}, sent: map[ID]int{}, failed: map[ID]int{}, checks: map[ID]CheckResult{}, unchecked: map[ID]bool{}, decisions: map[ID]Decision{}}
	var list []Server
	for i := range nodes {
		id := ID(fmt.Sprintf("n%d", i))
		w.ids = append(w.ids, id)
		var blocks []int
		for j := range reach {
			blocks = append(blocks, (i-j+nodes)%nodes)
		}
		list = append(list, Server{ID: id, Shards: blocks})
		w.checks[id] = CheckResult{Oper: Up, Weight: -1, MaxConn: -1}
	}
	tab.UpdateEndpoints(w.now, list, true)
	w.takeChanges()
	return w
}

func (w *fleet) takeChanges() {
	for _, c := range w.table.Changes(w.now) {
		w.decisions[c.ID] = c.Decision
		w.halfOpen[c.ID] |= c.HalfOpenClasses
		w.halfOpen[c.ID] &= c.EjectedClasses
		if c.Notable {
			w.notable = append(w.notable, fmt.Sprintf("%v %s %v %s", w.now.Sub(origin), c.ID, c.State, c.Cause))
		}
	}
}

// sendPart sends one part of a class to a holder of a block, by the rules of the choice: who is not shunned, else who
// is; trials first. It says where it went; "" for nowhere.
func (w *fleet) sendPart(block, of int) ID {
	var sound, last []ID
	for j := range w.replicas {
		id := w.ids[(block+j)%len(w.ids)]
		c := w.decisions[id]
		switch {
		case c.State != InService:
		case c.EjectedClasses>>of&1 == 1:
			if w.halfOpen[id]>>of&1 == 1 {
				w.halfOpen[id] &^= 1 << of
				return w.sendTo(id, of)
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
	return w.sendTo(sound[w.rng.IntN(len(sound))], of)
}

func (w *fleet) sendTo(id ID, of int) ID {
	w.sent[id]++
	r := Success
	switch {
	case w.unreachable[id]:
		r = ConnectFailure
	case w.rng.Float64() < w.failureRate[id]:
		r = Failure
	}
	if r != Success {
		w.failed[id]++
	}
	w.table.RecordOutcome(w.now, id, of, r, w.now)
	return id
}

// run lets time pass in steps of 10 ms, with so many searches' parts a second on each block, and a correction for
// each four of them.
func (w *fleet) run(d time.Duration, rate float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		if w.now.Sub(origin)%(200*time.Millisecond) == 0 {
			for _, id := range w.ids {
				if !w.unchecked[id] {
					w.table.RecordCheck(w.now, id, 0, w.checks[id])
				}
			}
		}
		for b := range w.ids {
			if w.rng.Float64() < rate/100 {
				w.sendPart(b, search)
			}
			if w.rng.Float64() < rate/400 {
				w.sendPart(b, correction)
			}
		}
		w.takeChanges()
	}
}

func (w *fleet) resetCounts() { w.sent, w.failed, w.notable = map[ID]int{}, map[ID]int{}, nil }

func (w *fleet) trafficShare(id ID) float64 {
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
		w := newFleet(t, 4, 2)
		w.run(5*time.Second, rate)
		w.failureRate["n1"] = 0.8
		w.run(3*time.Second, rate)
		w.resetCounts()
		w.run(60*time.Second, rate)
		if s := w.trafficShare("n1"); s > 0.02 {
			t.Errorf("rate %v: the failing server has %.1f%% of the parts", rate, 100*s)
		}
		if w.decisions["n1"].EjectedClasses&(1<<search|1<<correction) != 1<<search|1<<correction || !strings.Contains(w.decisions["n1"].Cause, "parts fail") {
			t.Errorf("rate %v: %+v", rate, w.decisions["n1"])
		}
		w.failureRate["n1"] = 0
		begin := w.now
		for w.decisions["n1"].EjectedClasses != 0 && w.now.Sub(begin) < 10*time.Second {
			w.run(100*time.Millisecond, rate)
		}
		if took := w.now.Sub(begin); took >= 10*time.Second {
			t.Errorf("rate %v: still out %v after it is sound", rate, took)
		}
		w.run(5*time.Second, rate)
		w.resetCounts()
		if w.run(10*time.Second, rate); w.trafficShare("n1") < 0.15 {
			t.Errorf("rate %v: back with %.1f%% of the parts", rate, 100*w.trafficShare("n1"))
		}
	}
}

// No correction is a trial while a class that may run twice can tell.
func TestTrialsAreNotOfWhatMustNotRunTwice(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.run(3*time.Second, 50)
	w.failureRate["n2"] = 1
	w.run(3*time.Second, 50)
	for range 3000 {
		w.run(10*time.Millisecond, 50)
		if w.halfOpen["n2"]>>correction&1 == 1 {
			t.Fatal("a correction may be risked")
		}
	}
	if w.halfOpen["n2"] == 0 && w.sent["n2"] == 0 {
		t.Error("no trial at all")
	}
}

// Corrections are rare: those that did well until the fault keep nobody from leaving the server with the first class
// that shows it.
func TestRareCorrectionsLeaveWithTheOthers(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.run(20*time.Second, 40)
	if n := w.table.servers[1].classes[correction]; n.successes < w.table.rules.MinOutcomes || n.failures > 0 {
		t.Fatalf("no good record before: %+v", n)
	}
	w.failureRate["n1"] = 0.8
	for w.decisions["n1"].EjectedClasses&(1<<search) == 0 {
		w.run(10*time.Millisecond, 40)
	}
	if w.decisions["n1"].EjectedClasses&(1<<correction) == 0 {
		t.Errorf("%+v", w.decisions["n1"])
	}
}

// Ejections stop where a block would keep too few holders, and failures that all share eject nobody.
func TestEjectionsAreLimited(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.run(3*time.Second, 50)
	w.failureRate["n0"], w.failureRate["n1"] = 0.9, 0.9 // together they hold a block
	w.run(5*time.Second, 50)
	out := 0
	for _, id := range []ID{"n0", "n1"} {
		if w.decisions[id].EjectedClasses&1 == 1 {
			out++
		} else if !strings.Contains(w.decisions[id].Cause, "no others") || w.table.UsableReplicas(0, search) != 0 {
			t.Errorf("%s: %+v, %d usable", id, w.decisions[id], w.table.UsableReplicas(0, search))
		}
	}
	if out != 1 {
		t.Errorf("%d of two holders of a block were ejected", out)
	}
	w = newFleet(t, 6, 3)
	w.run(3*time.Second, 50)
	for _, id := range w.ids {
		w.failureRate[id] = 0.6
	}
	w.run(10*time.Second, 50)
	for _, id := range w.ids {
		if w.decisions[id].EjectedClasses != 0 {
			t.Errorf("%s was ejected while all fail alike", id)
		}
	}
}

// A bad check takes a server out, but not the last holder of a block; that one is named with the reason, and parts
// that find no connection take it out after all.
func TestBadChecksLeaveTheLastHolder(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.checks["n1"] = CheckResult{Failed: true, Reason: "status 500"}
	w.run(time.Second, 20)
	if w.decisions["n1"].State != OutOfService || !strings.Contains(w.decisions["n1"].Cause, "status 500") {
		t.Errorf("%+v", w.decisions["n1"])
	}
	w.checks["n2"] = CheckResult{Failed: true, Reason: "refused"} // block 1 is held by n1 and n2
	w.run(time.Second, 20)
	for _, id := range []ID{"n1", "n2"} {
		if c := w.decisions[id]; c.State != InService || c.EjectedClasses != AllClasses || !strings.Contains(c.Cause, "alone") {
			t.Errorf("%s: %+v", id, c)
		}
	}
	if w.table.UsableReplicas(1, search) == 0 {
		t.Error("parts are answered there, and nothing is usable")
	}
	w.unreachable["n1"], w.unreachable["n2"] = true, true
	w.run(2*time.Second, 20)
	if w.decisions["n1"].State != OutOfService || w.decisions["n2"].State != OutOfService || w.table.UsableReplicas(1, search) != 0 {
		t.Errorf("%+v %+v", w.decisions["n1"], w.decisions["n2"])
	}
	w.unreachable["n1"] = false
	w.checks["n1"] = CheckResult{Oper: Up, Weight: -1, MaxConn: -1}
	w.run(time.Second, 0) // nothing is sent: the check alone brings it back
	if w.decisions["n1"].State != InService || w.table.UsableReplicas(1, search) != 1 {
		t.Errorf("%+v", w.decisions["n1"])
	}
}

// All checks fail at once while parts are answered: service goes on, at every moment.
func TestBrokenChecksDoNotEmptyTheFleet(t *testing.T) {
	w := newFleet(t, 8, 2)
	w.run(2*time.Second, 20)
	for _, id := range w.ids {
		w.checks[id] = CheckResult{Failed: true, Reason: "no answer"}
	}
	for range 1000 {
		w.run(10*time.Millisecond, 20)
		for b := range w.ids {
			if w.table.UsableReplicas(b, search) == 0 {
				t.Fatalf("%v: block %d has nobody left", w.now.Sub(origin), b)
			}
		}
	}
	if !w.table.ChecksSuspect() {
		t.Error("the checks are believed")
	}
	w.run(10*time.Second, 0) // a lull is no reason to believe them
	for _, id := range w.ids {
		if c := w.decisions[id]; c.State != InService || !strings.Contains(c.Cause, "doubted") {
			t.Fatalf("%s: %+v", id, c)
		}
	}
	for _, id := range w.ids {
		w.checks[id] = CheckResult{Oper: Up, Weight: -1, MaxConn: -1}
	}
	w.run(time.Second, 20)
	if w.table.ChecksSuspect() {
		t.Error("the checks are well and still doubted")
	}
}

// What drains by any source gets nothing from the very call on that takes the word, whatever else says up, and
// though it holds a block alone. The word stays when it is no longer repeated.
func TestDrainsHold(t *testing.T) {
	for name, r := range map[string]CheckResult{
		"drain": {Admin: Drain, Weight: -1, MaxConn: -1}, "maint": {Admin: Maintenance, Oper: Up, Weight: -1, MaxConn: -1},
		"404": {Admin: Drain, Oper: Up, Weight: -1, MaxConn: -1}, "weight 0": {Oper: Up, Weight: 0, MaxConn: -1},
	} {
		w := newFleet(t, 4, 2)
		w.checks["n0"] = CheckResult{Failed: true}
		w.run(2*time.Second, 20)
		w.unchecked["n1"] = true
		w.table.RecordCheck(w.now, "n1", 0, r)
		w.takeChanges()
		w.resetCounts()
		if name != "weight 0" { // a weight ages as any other word
			w.run(20*time.Second, 20)
		}
		w.run(time.Second, 20)
		if w.sent["n1"] != 0 || w.decisions["n1"].State == InService || w.table.UsableReplicas(1, search) != 1 {
			t.Errorf("%s: %d parts, %+v", name, w.sent["n1"], w.decisions["n1"])
		}
		w.unchecked["n1"] = false
		w.checks["n1"] = CheckResult{Admin: Ready, Oper: Up, Weight: 1, MaxConn: -1}
		if w.run(time.Second, 20); w.decisions["n1"].State != InService {
			t.Errorf("%s: ready and not back: %+v", name, w.decisions["n1"])
		}
	}
	w := newFleet(t, 4, 2)
	w.table.UpdateEndpoints(w.now, []Server{{ID: "n3", Draining: true, Shards: []int{3, 2}}}, false)
	w.run(time.Second, 20)
	if w.sent["n3"] != 0 {
		t.Error("parts at a server that the roster drains")
	}
	w.table.UpdateEndpoints(w.now, []Server{{ID: "n3", Removed: true}}, false)
	if w.takeChanges(); w.decisions["n3"].State != OutOfService || w.table.Len() != 3 {
		t.Errorf("%+v", w.decisions["n3"])
	}
}

// A check that changes its mind all the time takes the server out until it is quiet, and is not told each time.
func TestFlappingIsDamped(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.run(time.Second, 20)
	w.resetCounts()
	for i := range 60 {
		w.checks["n1"] = CheckResult{Oper: OperState(1 + i%2), Weight: -1, MaxConn: -1}
		w.run(500*time.Millisecond, 20)
	}
	told := 0
	for _, line := range w.notable {
		if strings.Contains(line, " n1 ") {
			told++
		}
	}
	if told > 14 || w.decisions["n1"].State != OutOfService {
		t.Errorf("told %d times in 30 s: %v", told, w.decisions["n1"])
	}
	w.checks["n1"] = CheckResult{Oper: Up, Weight: -1, MaxConn: -1}
	if w.run(50*time.Second, 20); w.decisions["n1"].State != InService {
		t.Errorf("quiet and still out: %+v", w.decisions["n1"])
	}
}

// A weight takes its time; what is told of it stays rare; maxconn counts while it is valid.
func TestWeightsMoveSlowly(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.run(time.Second, 20)
	w.checks["n1"] = CheckResult{Oper: Up, Weight: 0.25, MaxConn: 7}
	w.run(200*time.Millisecond, 20)
	if c := w.decisions["n1"]; c.TrafficFraction < 0.7 || c.MaxInFlight != 7 {
		t.Errorf("%+v", c)
	}
	if w.run(2*time.Second, 20); w.decisions["n1"].TrafficFraction != 0.25 {
		t.Errorf("share %v", w.decisions["n1"].TrafficFraction)
	}
	w.checks["n1"] = CheckResult{Oper: Up, Weight: 1, MaxConn: -1}
	if w.run(2*time.Second, 20); w.decisions["n1"].TrafficFraction > 0.75 || w.decisions["n1"].TrafficFraction < 0.5 {
		t.Errorf("share %v after 2 s", w.decisions["n1"].TrafficFraction)
	}
	w.checks["n1"] = CheckResult{Oper: Up, Weight: 1, MaxConn: -1, Degraded: true}
	if w.run(3*time.Second, 20); math.Abs(w.decisions["n1"].TrafficFraction-degradedFraction) > 0.01 {
		t.Errorf("share %v of a degraded server", w.decisions["n1"].TrafficFraction)
	}
	w.unchecked["n1"] = true
	if w.run(10*time.Second, 20); w.decisions["n1"].TrafficFraction < 0.999 || w.decisions["n1"].MaxInFlight != 0 {
		t.Errorf("%+v", w.decisions["n1"])
	}
}

// A server that is dead for parts comes back by a trial, though no check speaks of it.
func TestDeadServersComeBack(t *testing.T) {
	w := newFleet(t, 4, 2)
	for _, id := range w.ids {
		w.unchecked[id] = true
	}
	w.run(time.Second, 50)
	w.unreachable["n1"] = true
	w.run(2*time.Second, 50)
	w.resetCounts()
	w.run(20*time.Second, 50)
	if c := w.decisions["n1"]; c.EjectedClasses != AllClasses || c.Usable || w.trafficShare("n1") > 0.02 {
		t.Errorf("%+v, %.1f%% of the parts", c, 100*w.trafficShare("n1"))
	}
	w.unreachable["n1"] = false
	if w.run(2*time.Second, 50); w.decisions["n1"].EjectedClasses != 0 || !w.decisions["n1"].Usable {
		t.Errorf("%+v", w.decisions["n1"])
	}
}

// Facts name every source with its age.
func TestFacts(t *testing.T) {
	w := newFleet(t, 4, 2)
	w.checks["n1"] = CheckResult{Failed: true, Reason: "status 500"}
	w.run(time.Second, 50)
	text := fmt.Sprintf("%+v", w.table.Facts(w.now, "n1"))
	for _, part := range []string{"roster", "check http", "down (status 500)", "parts of class 0"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in %s", part, text)
		}
	}
}

func TestBadRules(t *testing.T) {
	for i, change := range []func(*Rules){
		func(r *Rules) { r.Classes = 0 }, func(r *Rules) { r.OutcomeHalfLife = 0 }, func(r *Rules) { r.MaxEjectedFraction = 1 }, func(r *Rules) { r.EjectFailureRate = 0 },
		func(r *Rules) { r.PanicThreshold = 0 }, func(r *Rules) { r.MaxHalfOpenDelay = 1 }, func(r *Rules) { r.FlapReuse = 9 }, func(r *Rules) { r.ReturnSuccesses = 0 },
		func(r *Rules) { r.WeightRiseTime = 0 }, func(r *Rules) { r.MinOutcomes = 0 }, func(r *Rules) { r.EjectPeerRatio = 0 },
	} {
		r := Defaults(2, 0)
		change(&r)
		if _, err := New(r, nil, origin); err == nil {
			t.Errorf("%d: %+v was taken", i, r)
		}
	}
	if _, err := New(Defaults(2, 0), []CheckConfig{{Name: "x", Fall: 1, Rise: 0, Validity: 1}}, origin); err == nil {
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
		sources := []CheckConfig{{Name: "a", Fall: 1, Rise: 1, Validity: time.Second, IgnoreFailures: true}, {Name: "h", Fall: 2, Rise: 2, Validity: 3 * time.Second}}
		tab, err := New(Defaults(2, 1<<correction), sources, origin)
		if err != nil {
			t.Fatal(err)
		}
		const n = 6
		id := func(i int) ID { return ID(rune('a' + i)) }
		now, drained := origin, map[ID]bool{}
		for i := range n {
			tab.UpdateEndpoints(now, []Server{{ID: id(i), Shards: []int{i, (i + 1) % n, (i + 2) % n}}}, false)
		}
		for range steps % 3000 {
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			who := rng.IntN(n)
			switch rng.IntN(6) {
			case 0, 1:
				r := CheckResult{Failed: rng.IntN(3) == 0, Oper: OperState(rng.IntN(3)), Weight: -1, MaxConn: rng.IntN(4) - 1}
				if rng.IntN(4) == 0 {
					r.Weight = float64(1+rng.IntN(4)) / 4
				}
				source := rng.IntN(2)
				if source == 0 && !r.Failed && rng.IntN(6) == 0 {
					r.Admin = AdminState(1 + rng.IntN(3))
					drained[id(who)] = r.Admin != Ready
				}
				tab.RecordCheck(now, id(who), source, r)
			case 2:
				drain := rng.IntN(8) == 0
				tab.UpdateEndpoints(now, []Server{{ID: id(who), Draining: drain, Shards: []int{who, (who + 1) % n, (who + 2) % n}}}, false)
			default:
				for range 5 {
					tab.RecordOutcome(now, id(who), rng.IntN(2), Outcome(rng.IntN(4)), now.Add(-time.Duration(rng.IntN(400))*time.Millisecond))
				}
			}
			for _, c := range tab.Changes(now) {
				switch {
				case c.TrafficFraction < 0.05 || c.TrafficFraction > 1:
					t.Fatalf("share %v", c.TrafficFraction)
				case c.HalfOpenClasses&^c.EjectedClasses != 0, c.HalfOpenClasses != 0 && c.State != InService:
					t.Fatalf("a trial of what is not shunned: %+v", c)
				case c.State != InService && c.Usable:
					t.Fatalf("%+v", c)
				}
			}
			for i := range n {
				c, ok := tab.Decision(id(i))
				if !ok {
					t.Fatalf("%s is not listed", id(i))
				}
				if drained[id(i)] && c.State == InService {
					t.Fatalf("%s drains and is in service: %+v", id(i), c)
				}
				fit, kept := 0, 0
				for _, o := range tab.replicas[i] {
					if m := tab.servers[o]; m.fit {
						if fit++; !m.classes[search].ejected {
							kept++
						}
					}
				}
				if c.State == InService && c.EjectedClasses != 0 && c.EjectedClasses != AllClasses && kept == 0 && fit == len(tab.replicas[i]) {
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
	tab, err := New(Defaults(3, 4), []CheckConfig{{Name: "h", Fall: 2, Rise: 1, Validity: 10 * time.Second}}, origin)
	if err != nil {
		b.Fatal(err)
	}
	ids := make([]ID, n)
	list := make([]Server, n)
	for i := range n {
		ids[i] = ID(fmt.Sprintf("server-%05d", i))
		list[i] = Server{ID: ids[i], Shards: []int{i, (i + 1) % n, (i + 2) % n, (i + 3) % n}}
	}
	tab.UpdateEndpoints(origin, list, true)
	tab.Changes(origin)
	now := origin
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := Success
		if i%100 == 0 {
			r = Failure
		}
		now = now.Add(10 * time.Microsecond)
		tab.RecordOutcome(now, ids[(i*7919)%n], i%3, r, now)
		if i%1000 == 999 {
			tab.Changes(now)
		}
	}
}

// The same servers, one check each in turn: a result, settled.
func BenchmarkChecks(b *testing.B) {
	const n = 10_000
	tab, _ := New(Defaults(3, 4), []CheckConfig{{Name: "h", Fall: 2, Rise: 1, Validity: time.Hour}}, origin)
	ids := make([]ID, n)
	list := make([]Server, n)
	for i := range n {
		ids[i] = ID(fmt.Sprintf("server-%05d", i))
		list[i] = Server{ID: ids[i], Shards: []int{i, (i + 1) % n, (i + 2) % n, (i + 3) % n}}
	}
	tab.UpdateEndpoints(origin, list, true)
	tab.Changes(origin)
	b.ReportAllocs()
	b.ResetTimer()
	now := origin
	for i := range b.N {
		now = now.Add(200 * time.Microsecond)
		tab.RecordCheck(now, ids[i%n], 0, CheckResult{Oper: Up, Weight: -1, MaxConn: -1})
		if i%10 == 9 {
			tab.Changes(now)
		}
	}
}
