package resharding

import (
	"errors"
	"log/slog"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/app"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/replica"
)

func startArchive(t *testing.T, o Options) *Archive {
	t.Helper()
	if o.ReplicaCount == 0 {
		o.ReplicaCount = 5
	}
	if o.ShardCount == 0 {
		o.ShardCount = 4
	}
	if o.Records == 0 {
		o.Records = 96
	}
	if o.Timing == (shardmap.Timing{}) {
		o.Timing = shardmap.Timing{MapPropagation: 50 * time.Millisecond, MaxQueryTime: 200 * time.Millisecond}
	}
	a, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Stop)
	return a
}

// isExact reports whether an answer is complete and has exactly the archive's records.
func (a Answer) isExact() bool { return a.Outcome == client.Complete && a.Violation == "" }

// Continuous resharding under load over two frontends, one of which receives maps with a delay: no correction runs
// twice, every complete answer is exact, and the reported outcomes of corrections are correct.
func TestReshard_UnderLoad(t *testing.T) {
	a := startArchive(t, Options{
		Seed:                 1,
		FrontendCount:        2,
		LastFrontendMapDelay: 100 * time.Millisecond,
		CopiesPerSecond:      400,
		Delay:                5 * time.Millisecond,
	})
	r, end := a.StartLoad(Load{Rate: 60, Seed: 1})
	done, err := a.Reshard(nil, 50*time.Millisecond, 24, 1)
	if err != nil {
		t.Error(err)
	}
	end()
	t.Logf("%v, %v, %d violations; %s", done, r.Outcomes, len(r.Violations), a.Frontends[0].CountersText())
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	if done["move"] < 2 || done["split"] < 2 {
		t.Errorf("plans: %v", done)
	}
	if counts := r.Count(); counts[client.Complete] < 50 {
		t.Errorf("complete, partial, rejected, failed, disconnected: %v", counts)
	}
}

// eventTimeout bounds the wait for an event. It is long enough for a slow machine, because reaching it is a failure.
const eventTimeout = 30 * time.Second

// carryOut carries out a plan to its end.
func (a *Archive) carryOut(t *testing.T, p *shardmap.Plan, err error) {
	t.Helper()
	if err == nil {
		err = a.Controller.PersistPlan(p)
	}
	if err == nil {
		err = a.Controller.Run(nil)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// waitForEpoch waits until a frontend has adopted an epoch.
func (a *Archive) waitForEpoch(t *testing.T, front int, epoch shardmap.Epoch) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, e := range a.Events[front].All() {
			if n, _ := strconv.ParseUint(e.Attrs["epoch"], 10, 64); e.Msg == "map adopted" && n >= uint64(epoch) {
				return
			}
		}
	}
	t.Fatalf("frontend %d did not adopt epoch %d", front, epoch)
}

func (a *Archive) replica(name string) *replica.Server {
	for _, n := range a.Replicas {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// A correction is in flight at the previous replica while its shard migrates: it gets no answer, its connection is
// reset, or it is answered after the migration. It must run once, at that replica only, and the client must receive the
// correct outcome.
func TestCorrection_InFlightWhileItsShardMigrates(t *testing.T) {
	for name, c := range map[string]struct {
		faults replica.Faults
		want   client.Outcome
	}{
		"answers late": {
			faults: replica.Faults{Delay: 700 * time.Millisecond},
			want:   client.Complete,
		},
		"resets": {
			faults: replica.Faults{Delay: 300 * time.Millisecond, ResetRate: 1},
			want:   client.Failed,
		},
		"hangs": {
			faults: replica.Faults{HangRate: 1},
			want:   client.Failed,
		},
	} {
		a := startArchive(t, Options{Seed: 3, ReplicaCount: 6, ShardCount: 1})
		for _, n := range []string{"n0", "n1"} { // the replicas of the shard at the start
			a.replica(n).SetFaults(c.faults)
		}
		id := a.Content.IDs[5] + "-moved"
		out := make(chan client.Outcome, 1)
		go func() { out <- a.Correct(NewHTTPClient(eventTimeout), a.Frontends[0].Addr("sru"), id) }()
		for a.CorrectionRuns()[id] == 0 {
			time.Sleep(time.Millisecond)
		}
		p, err := shardmap.PlanMigration(a.Controller.Map(), 1, []string{"n3", "n4"}, shardmap.Timing{})
		a.carryOut(t, p, err)
		a.waitForEpoch(t, 0, a.Controller.Map().Epoch)
		if got := <-out; got != c.want {
			t.Errorf("%s: the client received %v, want %v", name, got, c.want)
		}
		if n := a.CorrectionRuns()[id]; n != 1 {
			t.Errorf("%s: the correction ran %d times", name, n)
		}
		// The next correction runs at a new replica.
		next := a.Content.IDs[5] + "-next"
		got := a.Correct(NewHTTPClient(eventTimeout), a.Frontends[0].Addr("sru"), next)
		runs := a.CorrectionRuns()[next]
		runsAtNew := a.Stores["n3"].CorrectionRuns()[next] + a.Stores["n4"].CorrectionRuns()[next]
		if got != client.Complete || runs != 1 || runsAtNew != 1 {
			t.Errorf("%s: the next correction: %v, ran %d times, %d at the new replicas", name, got, runs, runsAtNew)
		}
	}
}

// A frontend receives the map of a migration with a delay: the previous replicas reject its parts, and polling the
// source does not help yet. It must recover with the map, and no correction may run twice.
func TestFrontend_LateMap(t *testing.T) {
	a := startArchive(t, Options{
		Seed:                 4,
		ReplicaCount:         6,
		ShardCount:           1,
		FrontendCount:        2,
		LastFrontendMapDelay: time.Second,
	})
	p, err := shardmap.PlanMigration(a.Controller.Map(), 1, []string{"n3", "n4"}, shardmap.Timing{})
	a.carryOut(t, p, err)
	a.waitForEpoch(t, 0, 4)
	id := a.Content.IDs[7] + "-late"
	got := a.Correct(NewHTTPClient(eventTimeout), a.Frontends[1].Addr("sru"), id)
	runs := a.CorrectionRuns()[id]
	done := got == client.Complete && runs == 1
	rejected := got == client.Rejected && runs == 0
	if !done && !rejected {
		t.Errorf("%v, ran %d times", got, runs)
	}
	if a.Stores["n0"].RejectedParts()+a.Stores["n1"].RejectedParts() == 0 {
		t.Error("the previous replicas rejected no parts")
	}
	a.waitForEpoch(t, 1, 4)
	if got := a.Search(NewHTTPClient(eventTimeout), a.Frontends[1].Addr("sru"), "captions"); !got.isExact() {
		t.Errorf("%+v", got)
	}
}

// A Z39.50 result set that is created before a split, migrations and a merge must return the same records in order
// after each of them.
func TestResultSet_AcrossResharding(t *testing.T) {
	a := startArchive(t, Options{Seed: 5, ReplicaCount: 4, ShardCount: 2})
	origin, err := client.Dial(a.Frontends[0].Addr("z3950"), "editor", eventTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer origin.Close()
	if out := origin.Search("s", "captions", "line"); out != client.Complete {
		t.Fatal(out)
	}
	page := func(start int) {
		t.Helper()
		if got := a.presentPage(origin, "s", start, 15); !got.isExact() {
			t.Errorf("records from %d: %v %s", start, got.Outcome, got.Violation)
		}
	}
	page(1)
	first := a.Controller.Map()
	shard := first.Shard(1)
	records := a.Content.between(string(shard.From), string(shard.To))
	middle := shardmap.Key(keyOf(records[len(records)/2]))
	p, err := shardmap.PlanSplit(first, 1, []shardmap.Key{middle}, shardmap.Timing{})
	a.carryOut(t, p, err)
	a.waitForEpoch(t, 0, a.Controller.Map().Epoch)
	page(16)
	p, err = shardmap.PlanMigration(a.Controller.Map(), 3, []string{"n2", "n3"}, shardmap.Timing{})
	a.carryOut(t, p, err)
	page(31)
	p, err = shardmap.PlanMigration(a.Controller.Map(), 4, []string{"n2", "n3"}, shardmap.Timing{})
	a.carryOut(t, p, err)
	p, err = shardmap.PlanMerge(a.Controller.Map(), []shardmap.ID{3, 4}, shardmap.Timing{})
	a.carryOut(t, p, err)
	a.waitForEpoch(t, 0, a.Controller.Map().Epoch)
	page(46)
	page(1)
}

// A frontend must retain its map when the source fails, or sends invalid data, an older epoch, a different map of the
// same epoch, or the map of another archive. A later valid map is adopted, even after a gap in the epochs.
func TestMapSource_BadMapsAreRefused(t *testing.T) {
	a := startArchive(t, Options{Seed: 6})
	web := NewHTTPClient(eventTimeout)
	checkComplete := func(what string) {
		t.Helper()
		if got := a.Search(web, a.Frontends[0].Addr("sru"), "captions"); !got.isExact() {
			t.Errorf("%s: %+v", what, got)
		}
	}
	current := a.Controller.Map()
	good := withWeight(t, current, 2)
	a.Sources[0].Publish(2, good.Encode())
	a.waitForEpoch(t, 0, 2)
	for errText, body := range map[string]string{
		"not a map":       "<html>",
		"older epoch":     string(current.Encode()),
		"the same epoch":  string(withWeight(t, current, 9).Encode()),
		"another archive": strings.Replace(string(good.Encode()), `"captions"`, `"other"`, 1),
		"in no block": `{"archive":"captions","epoch":9,"next_id":9,"blocks":[` +
			`{"id":1,"from":"","to":"m@2000","state":"serving","holders":[{"server":"n0"}]}]}`,
		"status 500": "",
	} {
		refused := a.nextRefusal(errText)
		status := 200
		if errText == "status 500" {
			status = 500
		}
		a.Sources[0].SetFault(func() (int, []byte) { return status, []byte(body) })
		select {
		case <-refused:
		case <-time.After(eventTimeout):
			t.Fatalf("%s: the map was not refused", errText)
		}
		checkComplete(errText)
	}
	a.Sources[0].SetFault(nil)
	a.Sources[0].Publish(5, threeEpochsLater(t, good).Encode())
	a.waitForEpoch(t, 0, 5)
	checkComplete("after all")
	counters := a.Frontends[0].CountersText()
	if !strings.Contains(counters, "epoch 5") || !strings.Contains(counters, "over gaps 1") {
		t.Error(counters)
	}
}

// nextRefusal returns a channel that receives the first frontend's next refusal of a map with an error that contains a
// text.
func (a *Archive) nextRefusal(text string) <-chan deployment.Event {
	return a.Events[0].Next(func(event deployment.Event) bool {
		refused := event.Msg == "map refused, the present one stays"
		return refused && strings.Contains(event.Attrs["err"], text)
	})
}

// withWeight returns the map of the next epoch, with another weight of shard 1.
func withWeight(t *testing.T, m *shardmap.Map, weight float64) *shardmap.Map {
	t.Helper()
	shard := *m.Shard(1)
	shard.Weight = weight
	next, err := m.Change([]*shardmap.Shard{&shard}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// threeEpochsLater returns the map after three changes.
func threeEpochsLater(t *testing.T, m *shardmap.Map) *shardmap.Map {
	t.Helper()
	later := m
	for range 3 {
		later = withWeight(t, later, later.Shard(1).Weight+1)
	}
	if later.Epoch != m.Epoch+3 {
		t.Fatalf("epoch %d after three changes since epoch %d", later.Epoch, m.Epoch)
	}
	return later
}

// The controller is killed before each of its steps in turn, and a new one continues from the persisted state. Every
// answer in between must be exact, and the plan must be completed.
func TestController_KilledBeforeEveryStep(t *testing.T) {
	a := startArchive(t, Options{Seed: 7, ReplicaCount: 4, ShardCount: 2})
	web := NewHTTPClient(eventTimeout)
	plans := []func(*shardmap.Map) (*shardmap.Plan, error){
		func(m *shardmap.Map) (*shardmap.Plan, error) {
			return shardmap.PlanMigration(m, 1, []string{"n2", "n3"}, shardmap.Timing{})
		},
		func(m *shardmap.Map) (*shardmap.Plan, error) {
			return shardmap.PlanSplit(m, 1, []shardmap.Key{"p01@2000"}, shardmap.Timing{})
		},
		func(m *shardmap.Map) (*shardmap.Plan, error) {
			return shardmap.PlanMerge(m, []shardmap.ID{3, 4}, shardmap.Timing{})
		},
	}
	kills := 0
	for i, plan := range plans {
		p, err := plan(a.Controller.Map())
		if err == nil {
			err = a.Controller.PersistPlan(p)
		}
		if err != nil {
			t.Fatal(err)
		}
		for n, done := 0, false; !done; n++ {
			remaining := n
			killed := func(string) bool {
				remaining--
				return remaining < 0
			}
			err := a.StartController(nil, killed)
			if err == nil {
				err = a.Controller.Run(nil)
			}
			if done = err == nil; !done {
				if !errors.Is(err, errKilled) {
					t.Fatal(err)
				}
				kills++
			}
			if got := a.Search(web, a.Frontends[0].Addr("sru"), "captions"); !got.isExact() {
				t.Errorf("plan %d, killed at step %d: %+v", i, n, got)
			}
		}
		if p.StepsDone(a.Controller.Map()) != len(p.Steps) {
			t.Errorf("plan %d: %d of %d steps", i, p.StepsDone(a.Controller.Map()), len(p.Steps))
		}
	}
	if kills < 20 {
		t.Errorf("killed %d times", kills)
	}
}

// The last known good map is persisted, and is used by a start while the source fails. An older map from the source is
// refused afterwards.
func TestFrontend_StartsFromThePersistedMap(t *testing.T) {
	a := startArchive(t, Options{Seed: 8, ReplicaCount: 4, ShardCount: 2, PersistMaps: true})
	p, err := shardmap.PlanMigration(a.Controller.Map(), 1, []string{"n2", "n3"}, shardmap.Timing{})
	a.carryOut(t, p, err)
	a.waitForEpoch(t, 0, 4)
	end := time.Now().Add(eventTimeout)
	for !strings.Contains(a.Frontends[0].CountersText(), "kept 4") {
		if time.Now().After(end) {
			t.Fatal(a.Frontends[0].CountersText())
		}
		time.Sleep(5 * time.Millisecond)
	}
	a.Sources[0].SetFault(func() (int, []byte) { return 503, nil })
	a.Frontends[0].Stop(0)
	conf, err := config.LoadPartners(filepath.Join(a.Dir, "front0.toml"))
	if err != nil {
		t.Fatal(err)
	}
	a.Events[0] = &deployment.Events{}
	if a.Frontends[0], err = app.StartPartners(conf, 9, slog.New(a.Events[0])); err != nil {
		t.Fatal(err)
	}
	a.waitForEpoch(t, 0, 4)
	if got := a.Search(NewHTTPClient(eventTimeout), a.Frontends[0].Addr("sru"), "captions"); !got.isExact() {
		t.Errorf("%+v", got)
	}
	refused := a.Events[0].Next(func(event deployment.Event) bool {
		return strings.Contains(event.Attrs["err"], "older epoch")
	})
	first, err := a.firstMap()
	if err != nil {
		t.Fatal(err)
	}
	a.Sources[0].SetFault(func() (int, []byte) { return 200, first.Encode() })
	select {
	case <-refused:
	case <-time.After(eventTimeout):
		t.Error("an older map from the source was not refused")
	}
}

// A replica that rejects parts for shards it holds must be ejected, and searches must stay complete.
func TestReplica_RejectsWhatItHolds_IsEjected(t *testing.T) {
	a := startArchive(t, Options{Seed: 9})
	a.Stores["n1"].SetRejection("not mine since epoch 1")
	left := a.Events[0].Next(deployment.HealthChanged("n1", "parts fail"))
	web := NewHTTPClient(eventTimeout)
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); {
		if got := a.Search(web, a.Frontends[0].Addr("sru"), "captions"); !got.isExact() {
			t.Fatalf("%+v", got)
		}
		select {
		case <-left:
			return
		default:
		}
	}
	t.Error("the replica was not ejected")
}
