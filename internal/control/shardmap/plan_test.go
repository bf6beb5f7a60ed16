package shardmap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// planRun carries out random plans whose steps interleave, and checks every epoch.
type planRun struct {
	t       *testing.T
	rng     *rand.Rand
	views   *Views
	m       *Map
	running []*runningPlan
}

type runningPlan struct {
	plan *Plan
	done int // number of steps
}

// Plans complete by legal steps, whatever other plans do in between, and the map shows how many steps are done.
func FuzzPlans(f *testing.F) {
	f.Add(uint64(1), uint16(60))
	f.Add(uint64(5), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		first := threeShards(t)
		run := &planRun{
			t:     t,
			rng:   rand.New(rand.NewPCG(seed, 4)),
			m:     first,
			views: newViews(t, ViewOptions{MaxPinnedEpochs: 3, MaxPinnedAge: time.Minute, WarmupMinFraction: 1}, first),
		}
		for range steps % 400 {
			run.step()
		}
	})
}

// step starts a random plan, or carries out the next step of a running one.
func (run *planRun) step() {
	var ids []ID
	for s := range run.m.Active {
		ids = append(ids, s.ID)
	}
	i := run.rng.IntN(len(ids))
	timing := Timing{MapPropagation: 1, MaxQueryTime: 1}
	switch run.rng.IntN(6) {
	case 0:
		run.start(PlanMigration(run.m, ids[i], run.randomServers(), timing))
	case 1:
		run.start(PlanSplit(run.m, ids[i], run.randomKeys(), timing))
	case 2:
		if i+1 < len(ids) {
			run.start(PlanMerge(run.m, ids[i:i+2], timing))
		}
	default:
		if len(run.running) > 0 {
			run.advance(run.rng.IntN(len(run.running)))
		}
	}
}

func (run *planRun) randomServers() []string {
	servers := []string{"a", "b", "c", "d", "e"}
	run.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:1+run.rng.IntN(3)]
}

func (run *planRun) randomKeys() (keys []Key) {
	for range 1 + run.rng.IntN(2) {
		key, err := MakeKey(string(rune('a'+run.rng.IntN(26))), run.rng.IntN(9999))
		if err != nil {
			run.t.Fatal(err)
		}
		keys = append(keys, key)
	}
	return keys
}

// start carries out the first step of a plan, if there is one. If that were delayed, two plans for one shard could be
// made, or one that changes nothing.
func (run *planRun) start(plan *Plan, err error) {
	run.t.Helper()
	if err != nil {
		return // the shard cannot currently be changed in this way
	}
	next, err := plan.Steps[0].Apply(run.m)
	if err != nil {
		run.t.Fatalf("%s: %v", plan.Description, err)
	}
	if _, err := run.views.Offer(origin, next); err != nil {
		run.t.Fatalf("%s: %v", plan.Description, err)
	}
	run.m = next
	run.running = append(run.running, &runningPlan{plan: plan, done: 1})
}

// advance carries out the next step of a running plan, given by its index.
func (run *planRun) advance(i int) {
	r := run.running[i]
	step := fmt.Sprintf("%s, step %d", r.plan.Description, r.done)
	next, err := r.plan.Steps[r.done].Apply(run.m)
	if err != nil {
		if !strings.Contains(err.Error(), "assigned to another block after the plan was made") {
			run.t.Fatalf("%s: %v", step, err)
		}
		run.running = slices.Delete(run.running, i, i+1)
		return
	}
	if _, err := run.views.Offer(origin, next); err != nil {
		run.t.Fatalf("%s: %v", step, err)
	}
	run.checkReparsed(step, next)
	run.m = next
	r.done++
	if found := r.plan.StepsDone(run.m); found != r.done {
		run.t.Fatalf("%s: %d steps are done, but StepsDone returns %d", step, r.done, found)
	}
	if r.done == len(r.plan.Steps) {
		run.running = slices.Delete(run.running, i, i+1)
	}
}

// checkReparsed checks that a map made by Change equals the same map from a source: parsed from its text, and then
// sharing memory with the current map.
func (run *planRun) checkReparsed(step string, next *Map) {
	run.t.Helper()
	parsed, err := Parse(next.Encode())
	if err != nil || !parsed.sameShards(next) || parsed.ActiveCount() != next.ActiveCount() ||
		math.IsNaN(parsed.weight) {
		run.t.Fatalf("%s: the parsed map differs: %v", step, err)
	}
	shared := parsed.ShareWith(run.m)
	same := shared.sameShards(next) && next.sameShards(shared) && shared.ActiveCount() == next.ActiveCount()
	if !same || shared.ValidateSuccession(run.m) != nil ||
		!slices.EqualFunc((&View{Map: shared}).Shards(), (&View{Map: next}).Shards(), (*Shard).equal) {
		run.t.Fatalf("%s: the map that shares memory differs", step)
	}
}

func TestPlan_RejectsInvalidArguments(t *testing.T) {
	m := threeShards(t)
	busy := changedMap(t, m, 1, func(s map[ID]*Shard) { s[2].State = Splitting })
	for reason, err := range map[string]error{
		"does not exist":                planError(PlanMigration(m, 9, []string{"a"}, Timing{})),
		"no holder":                     planError(PlanMigration(m, 2, nil, Timing{})),
		"empty or named more than once": planError(PlanMigration(m, 2, []string{"c", "c"}, Timing{})),
		"already":                       planError(PlanMigration(m, 2, []string{"b", "a"}, Timing{})),
		"under way":                     planError(PlanMigration(busy, 2, []string{"c"}, Timing{})),
		"no key":                        planError(PlanSplit(m, 2, nil, Timing{})),
		"does not lie inside the range": planError(PlanSplit(m, 2, []Key{"z@2000"}, Timing{})),
		"order":                         planError(PlanSplit(m, 2, []Key{"k@2000", "h@2000"}, Timing{})),
		"not adjacent":                  planError(PlanMerge(threeShards(t), []ID{1, 3}, Timing{})),
		"other hold":                    planError(PlanMerge(m, []ID{2, 3}, Timing{})),
		"is named more than once":       planError(PlanMerge(m, []ID{2, 2}, Timing{})),
		"two blocks":                    planError(PlanMerge(m, []ID{2}, Timing{})),
	} {
		if err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("want %q, got %v", reason, err)
		}
	}
}

func planError(_ *Plan, err error) error { return err }
