package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The request classes of the tests. Corrections are non-idempotent.
const search, correction = 0, 1

// upResult is the result of a successful check without a weight or a limit of connections.
var upResult = CheckResult{Oper: Up, Weight: -1, MaxConn: -1}

// fleet simulates servers in virtual time: parts are sent according to the table's decisions, as by the balancer, and
// their outcomes follow the configured faults. There are as many shards as servers, each with a number of replicas on
// consecutive servers.
type fleet struct {
	table       *Table
	now         time.Time
	rng         *rand.Rand
	ids         []ID
	replicas    int                // of each shard
	failureRate map[ID]float64     // of parts
	unreachable map[ID]bool        // connections fail
	halfOpen    map[ID]uint64      // granted classes that have not been used
	sent        map[ID]int         // parts, since resetCounts
	notable     []string           // notable changes, since resetCounts
	checks      map[ID]CheckResult // result of the check of each server, every checkInterval
	unchecked   map[ID]bool        // the server is not checked
	decisions   map[ID]Decision
}

const (
	tick          = 10 * time.Millisecond
	checkInterval = 200 * time.Millisecond
)

func newFleet(t *testing.T, servers, replicas int) *fleet {
	t.Helper()
	checks := []CheckConfig{{Name: "http", Fall: 2, Rise: 1, Validity: 2 * time.Second}}
	table, err := New(Defaults(2, 1<<correction), checks, origin)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		table:       table,
		now:         origin,
		rng:         rand.New(rand.NewPCG(5, 6)),
		replicas:    replicas,
		failureRate: map[ID]float64{},
		unreachable: map[ID]bool{},
		halfOpen:    map[ID]uint64{},
		sent:        map[ID]int{},
		checks:      map[ID]CheckResult{},
		unchecked:   map[ID]bool{},
		decisions:   map[ID]Decision{},
	}
	var list []Server
	for i := range servers {
		id := ID(fmt.Sprintf("n%d", i))
		f.ids = append(f.ids, id)
		var shards []int
		for j := range replicas {
			shards = append(shards, (i-j+servers)%servers)
		}
		list = append(list, Server{ID: id, Shards: shards})
		f.checks[id] = upResult
	}
	table.ReplaceEndpoints(f.now, list)
	f.applyChanges()
	return f
}

// applyChanges calls Changes and applies the decisions to the parts sent later.
func (f *fleet) applyChanges() {
	for _, change := range f.table.Changes(f.now) {
		f.decisions[change.ID] = change.Decision
		f.halfOpen[change.ID] |= change.HalfOpenClasses
		f.halfOpen[change.ID] &= change.EjectedClasses
		if change.Notable {
			line := fmt.Sprintf("%v %s %v %s", f.now.Sub(origin), change.ID, change.State, change.Cause)
			f.notable = append(f.notable, line)
		}
	}
}

// sendPart sends one part of a class to a replica of a shard, as the balancer does: as a half-open request if one is
// granted, else to a server that is not ejected, else to one that is.
func (f *fleet) sendPart(shard, class int) {
	var candidates, lastResorts []ID
	for j := range f.replicas {
		id := f.ids[(shard+j)%len(f.ids)]
		d := f.decisions[id]
		switch {
		case d.State != InService:
		case d.EjectedClasses>>class&1 == 0:
			candidates = append(candidates, id)
		case f.halfOpen[id]>>class&1 == 1:
			f.halfOpen[id] &^= 1 << class
			f.sendTo(id, class)
			return
		default:
			lastResorts = append(lastResorts, id)
		}
	}
	if len(candidates) == 0 {
		candidates = lastResorts
	}
	if len(candidates) > 0 {
		f.sendTo(candidates[f.rng.IntN(len(candidates))], class)
	}
}

func (f *fleet) sendTo(id ID, class int) {
	f.sent[id]++
	outcome := Success
	switch {
	case f.unreachable[id]:
		outcome = ConnectFailure
	case f.rng.Float64() < f.failureRate[id]:
		outcome = Failure
	}
	f.table.RecordOutcome(f.now, id, class, outcome, f.now)
}

// run advances time by a duration and sends to each shard parts of searches at a rate per second, and of corrections at
// a quarter of it.
func (f *fleet) run(duration time.Duration, rate float64) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(origin)%checkInterval == 0 {
			f.runChecks()
		}
		for shard := range f.ids {
			if f.rng.Float64() < rate*tick.Seconds() {
				f.sendPart(shard, search)
			}
			if f.rng.Float64() < rate/4*tick.Seconds() {
				f.sendPart(shard, correction)
			}
		}
		f.applyChanges()
	}
}

func (f *fleet) runChecks() {
	for _, id := range f.ids {
		if !f.unchecked[id] {
			f.table.RecordCheck(f.now, id, 0, f.checks[id])
		}
	}
}

func (f *fleet) resetCounts() {
	clear(f.sent)
	f.notable = nil
}

// trafficShare returns a server's share of all parts since resetCounts.
func (f *fleet) trafficShare(id ID) float64 {
	total := 0
	for _, parts := range f.sent {
		total += parts
	}
	return float64(f.sent[id]) / float64(max(1, total))
}
