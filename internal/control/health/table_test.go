package health

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func TestTable_Facts_NameEverySource(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.checks["n1"] = CheckResult{Failed: true, Reason: "status 500"}
	f.run(time.Second, 50)
	text := fmt.Sprintf("%+v", f.table.Facts(f.now, "n1"))
	for _, part := range []string{"roster", "check http", "down (status 500)", "parts of class 0"} {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in %s", part, text)
		}
	}
}

func TestNew_RejectsInvalidRules(t *testing.T) {
	for name, invalidate := range map[string]func(*Rules){
		"no class":                         func(r *Rules) { r.Classes = 0 },
		"no half-life":                     func(r *Rules) { r.OutcomeHalfLife = 0 },
		"all replicas may be ejected":      func(r *Rules) { r.MaxEjectedFraction = 1 },
		"ejection without failures":        func(r *Rules) { r.EjectFailureRate = 0 },
		"panic without failing checks":     func(r *Rules) { r.PanicThreshold = 0 },
		"longest delay under the interval": func(r *Rules) { r.MaxHalfOpenDelay = 1 },
		"reuse above suppression":          func(r *Rules) { r.FlapReuse = 9 },
		"return without successes":         func(r *Rules) { r.ReturnSuccesses = 0 },
		"weights that jump":                func(r *Rules) { r.WeightRiseTime = 0 },
		"a failure rate of no outcomes":    func(r *Rules) { r.MinOutcomes = 0 },
		"no ratio to the other servers":    func(r *Rules) { r.EjectPeerRatio = 0 },
	} {
		rules := Defaults(2, 0)
		invalidate(&rules)
		if _, err := New(rules, nil, origin); err == nil {
			t.Errorf("%s: accepted: %+v", name, rules)
		}
	}
	withoutRise := []CheckConfig{{Name: "x", Fall: 1, Rise: 0, Validity: 1}}
	if _, err := New(Defaults(2, 0), withoutRise, origin); err == nil {
		t.Error("a check without rise was accepted")
	}
}

// checkedTable gives a table random evidence and checks the decisions after each step.
type checkedTable struct {
	t       *testing.T
	rng     *rand.Rand
	table   *Table
	now     time.Time
	ids     []ID
	drain   map[ID]AdminState // the last state that the agent check has set
	weight0 map[ID]bool       // the agent check's last weight is 0
}

// The checks of a checkedTable, by index.
const agentCheck, httpCheck = 0, 1

// FuzzTable checks with random evidence that drained servers are never in service, traffic fractions are within bounds,
// no shard loses all its replicas to ejections, and half-open requests are granted only for ejected classes.
func FuzzTable(f *testing.F) {
	f.Add(uint64(1), uint16(400))
	f.Add(uint64(77), uint16(1500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		checks := []CheckConfig{
			agentCheck: {Name: "a", Fall: 1, Rise: 1, Validity: time.Second, IgnoreFailures: true},
			httpCheck:  {Name: "h", Fall: 2, Rise: 2, Validity: 3 * time.Second},
		}
		table, err := New(Defaults(2, 1<<correction), checks, origin)
		if err != nil {
			t.Fatal(err)
		}
		c := &checkedTable{
			t:       t,
			rng:     rand.New(rand.NewPCG(seed, 2)),
			table:   table,
			now:     origin,
			ids:     []ID{"a", "b", "c", "d", "e", "f"},
			drain:   map[ID]AdminState{},
			weight0: map[ID]bool{},
		}
		for i := range c.ids {
			c.updateEndpoint(i, inUse)
		}
		for range steps % 3000 {
			c.step()
		}
	})
}

// step records a check, an endpoint update or a few outcomes, and checks the decisions.
func (c *checkedTable) step() {
	c.now = c.now.Add(time.Duration(c.rng.IntN(300)) * time.Millisecond)
	i := c.rng.IntN(len(c.ids))
	switch c.rng.IntN(6) {
	case 0, 1:
		c.recordCheck(c.ids[i])
	case 2:
		c.updateEndpoint(i, drainState(c.rng.IntN(8) == 0))
	default:
		for range 5 {
			class := c.rng.IntN(2)
			outcome := Outcome(c.rng.IntN(4))
			sent := c.now.Add(-time.Duration(c.rng.IntN(400)) * time.Millisecond)
			c.table.RecordOutcome(c.now, c.ids[i], class, outcome, sent)
		}
	}
	for _, change := range c.table.Changes(c.now) {
		c.checkChange(change)
	}
	for i, id := range c.ids {
		c.checkDecision(i, id)
	}
}

// drainState is whether a server drains by the endpoint list.
type drainState bool

const (
	inUse  drainState = false
	drains drainState = true
)

func (c *checkedTable) updateEndpoint(i int, draining drainState) {
	n := len(c.ids)
	shards := []int{i, (i + 1) % n, (i + 2) % n}
	c.table.UpdateEndpoints(c.now, []Server{{ID: c.ids[i], Draining: draining == drains, Shards: shards}})
}

func (c *checkedTable) recordCheck(id ID) {
	result := CheckResult{
		Failed:  c.rng.IntN(3) == 0,
		Oper:    OperState(c.rng.IntN(3)),
		Weight:  -1,
		MaxConn: c.rng.IntN(4) - 1,
	}
	check := c.rng.IntN(2)
	if c.rng.IntN(4) == 0 {
		result.Weight = float64(1+c.rng.IntN(4)) / 4
	}
	if check == agentCheck && c.rng.IntN(12) == 0 {
		result.Weight = 0
	}
	if check == agentCheck && !result.Failed && c.rng.IntN(6) == 0 {
		result.Admin = AdminState(1 + c.rng.IntN(3))
		c.drain[id] = result.Admin
	}
	if check == agentCheck && !result.Failed && result.Weight >= 0 {
		c.weight0[id] = result.Weight == 0
	}
	c.table.RecordCheck(c.now, id, check, result)
}

func (c *checkedTable) checkChange(change Change) {
	c.t.Helper()
	switch {
	case change.TrafficFraction < 0.05 || change.TrafficFraction > 1:
		c.t.Fatalf("traffic fraction %v", change.TrafficFraction)
	case change.HalfOpenClasses&^change.EjectedClasses != 0, change.HalfOpenClasses != 0 && change.State != InService:
		c.t.Fatalf("half-open request granted for a class that is not ejected: %+v", change)
	case change.State != InService && change.Usable:
		c.t.Fatalf("usable although not in service: %+v", change)
	}
}

// checkDecision checks the decision on a server, and the replicas of the shard with the same index.
func (c *checkedTable) checkDecision(i int, id ID) {
	c.t.Helper()
	d, ok := c.table.Decision(id)
	if !ok {
		c.t.Fatalf("%s is not listed", id)
	}
	if (c.drain[id] > Ready || c.weight0[id]) && d.State == InService {
		c.t.Fatalf("%s is in service although drained: %+v", id, d)
	}
	available := 0
	remaining := 0
	for _, other := range c.table.replicas[i] {
		s := c.table.servers[other]
		if !s.available {
			continue
		}
		available++
		if !s.classes[search].ejected {
			remaining++
		}
	}
	ejected := d.State == InService && d.EjectedClasses != 0 && d.EjectedClasses != AllClasses
	if ejected && remaining == 0 && available == len(c.table.replicas[i]) {
		c.t.Fatalf("shard %d lost all its replicas to ejections", i)
	}
}
