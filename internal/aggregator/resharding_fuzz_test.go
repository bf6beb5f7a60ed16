package aggregator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/control/shardmap"
)

// correction is the class of the harness that is non-idempotent.
const correction = 1

// FuzzResharding takes random steps: maps that change, servers that answer, fail, reject, contradict the map or stay
// unresponsive. Each request receives one final answer; a correction that may have run is never sent again; a part has
// one attempt in flight at a time; a complete answer covers its view; no state is left at the end.
func FuzzResharding(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(9), uint16(1500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		z := &reshardingFuzz{
			reshardingHarness: newReshardingHarness(t),
			rng:               rand.New(rand.NewPCG(seed, 6)),
			mayHaveRun:        map[string]bool{},
			classes:           map[string]int{},
			seen:              map[AttemptID]bool{},
		}
		for range steps % 2500 {
			z.step()
			z.checkAttempts()
		}
		z.endEverything()
		z.checkAnswers()
		z.assertNoState()
	})
}

type reshardingFuzz struct {
	*reshardingHarness
	rng        *rand.Rand
	requests   int             // so far
	classes    map[string]int  // of the requests, by id
	mayHaveRun map[string]bool // requests of which a part may have run, by id
	seen       map[AttemptID]bool
}

// requestID returns the id of the request that an attempt belongs to.
func requestID(c OutgoingAttempt) string {
	id, _, _ := strings.Cut(c.Name, ".")
	return id
}

func (z *reshardingFuzz) step() {
	z.now = z.now.Add(time.Duration(z.rng.IntN(40)) * time.Millisecond)
	switch roll := z.rng.IntN(12); {
	case roll < 3:
		z.sendRequest()
	case roll < 8 && len(z.attempts) > 0:
		z.endRandomAttempt()
	case roll == 8:
		z.turn(ShardMapOffered{Source: "test"})
	default:
		z.reshard()
	}
	z.turn()
}

func (z *reshardingFuzz) sendRequest() {
	z.requests++
	id := fmt.Sprintf("q%d", z.requests)
	z.classes[id] = z.rng.IntN(2)
	key := ""
	if z.classes[id] == correction {
		key = []string{"c@2000", "o@2000", "x@2000"}[z.rng.IntN(3)]
	}
	z.requestShards(id, z.classes[id], key)
}

// endRandomAttempt ends one of the attempts in flight.
func (z *reshardingFuzz) endRandomAttempt() {
	c := z.takeAttempt(z.rng.IntN(len(z.attempts)))
	z.turn(AttemptEnded{Attempt: c.Attempt, Err: z.randomResult(c), Value: fmt.Sprint(c.Shard)})
}

func (z *reshardingFuzz) randomResult(c OutgoingAttempt) error {
	switch roll := z.rng.IntN(8); {
	case slices.Contains(z.canceled, c.Attempt):
		z.mayHaveRun[requestID(c)] = true
		return &AttemptError{Progress: Written, Canceled: true}
	case roll == 0:
		z.mayHaveRun[requestID(c)] = true
		return &AttemptError{Progress: Written}
	case roll == 1:
		return &AttemptError{Progress: NotConnected}
	case roll < 5:
		return mapRejection(shardmap.Mismatch(1+z.rng.IntN(2)), z.shardMap.Epoch+shardmap.Epoch(z.rng.IntN(3)))
	}
	z.mayHaveRun[requestID(c)] = true
	return nil
}

// reshard moves, splits or merges shards, where the planner allows it.
func (z *reshardingFuzz) reshard() {
	var ids []shardmap.ID
	for shard := range z.shardMap.All {
		ids = append(ids, shard.ID)
	}
	var plan *shardmap.Plan
	var err error
	id := ids[z.rng.IntN(len(ids))]
	switch z.rng.IntN(3) {
	case 0:
		servers := [][]string{{"a", "b"}, {"c", "d"}, {"b", "c"}}[z.rng.IntN(3)]
		plan, err = shardmap.PlanMigration(z.shardMap, id, servers, shardmap.Timing{})
	case 1:
		at := []shardmap.Key{"d@2000", "p@2000", "t@2000"}[z.rng.IntN(3)]
		plan, err = shardmap.PlanSplit(z.shardMap, id, []shardmap.Key{at}, shardmap.Timing{})
	default:
		i := z.rng.IntN(len(ids))
		plan, err = shardmap.PlanMerge(z.shardMap, []shardmap.ID{ids[i], ids[(i+1)%len(ids)]}, shardmap.Timing{})
	}
	if err == nil {
		z.applyPlan(plan, nil)
	}
}

// checkAttempts checks the attempts in flight.
func (z *reshardingFuzz) checkAttempts() {
	z.t.Helper()
	inFlight := map[string]bool{}
	for _, c := range z.attempts {
		if id := requestID(c); !z.seen[c.Attempt] && z.classes[id] == correction && z.mayHaveRun[id] {
			z.t.Fatalf("correction %s is sent again after it may have run", id)
		}
		z.seen[c.Attempt] = true
		if inFlight[c.Name] {
			z.t.Fatalf("two attempts of %s are in flight", c.Name)
		}
		inFlight[c.Name] = true
	}
}

// endEverything ends all attempts in flight, and lets all deadlines expire.
func (z *reshardingFuzz) endEverything() {
	for range 500 {
		z.now = z.now.Add(20 * time.Millisecond)
		z.turn(ShardMapOffered{Source: "test"})
		for len(z.attempts) > 0 {
			c := z.takeAttempt(0)
			z.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written, Canceled: true}})
		}
	}
}

// checkAnswers checks that each request has one final answer that is allowed.
func (z *reshardingFuzz) checkAnswers() {
	z.t.Helper()
	for i := range z.requests {
		id := fmt.Sprintf("q%d", i+1)
		final := z.answer(id)
		if final.Status == StatusServed && final.Complete && final.AnsweredWeight < 0.999 {
			z.t.Fatalf("%s: complete, with %v of the weight", id, final.AnsweredWeight)
		}
		if final.Status == StatusRejected && z.classes[id] == correction && z.mayHaveRun[id] {
			z.t.Fatalf("%s is rejected, and may have run", id)
		}
	}
}
