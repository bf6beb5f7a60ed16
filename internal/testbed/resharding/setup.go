package resharding

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/app"
	"rooktrestle/internal/app/background"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/replica"
)

// Options of an archive. It embeds them, so that they can be read later; they do not change.
type Options struct {
	Seed              uint64
	ReplicaCount      int           // every second one speaks Z39.50
	ShardCount        int           // at the start; each is held by two replicas
	FrontendCount     int           // aggregators; each gets maps from a source of its own
	LastFrontendDelay time.Duration // by which the last frontend gets maps late
	CopiesPerSecond   float64       // chunks copied to joining replicas, all together; 0: defaultCopyRate
	Records           int
	PersistMaps       bool // frontends persist the last good map
	Timing            shardmap.Timing
	Delay             time.Duration // of an answer
	Log               slog.Handler
	ExtraClassConfig  string // more keys of the operators' file, for the class of searches
}

// Archive is a running archive whose shards change.
type Archive struct {
	Options
	Content    *Content
	Archive    *replica.Archive
	Replicas   []*replica.Server
	Stores     map[string]*Store
	Sources    []*MapSource
	Controller *Controller
	Frontends  []*app.PartnersDeployment
	Events     []*deployment.Events
	Dir        string
	delayed    []*time.Timer
	copier     *background.Runner
	stop       chan struct{}
}

// defaultCopyRate is used where Options.CopiesPerSecond is 0.
const defaultCopyRate = 2000

// firstMapTimeout is how long a frontend may take to adopt its first map.
const firstMapTimeout = 30 * time.Second

// Start starts an archive: replicas, map sources, the controller with its first map, and the frontends, which have
// adopted that map when Start returns. The caller stops it.
func Start(o Options) (a *Archive, err error) {
	a = &Archive{Options: o, Content: NewContent(max(4, o.Records/12), 4, 3), Archive: replica.NewArchive(0), Stores: map[string]*Store{}}
	defer func() {
		if err != nil {
			a.Stop()
			a = nil
		}
	}()
	if a.Dir, err = os.MkdirTemp("", "resharding"); err != nil {
		return a, err
	}
	for _, step := range []func() error{a.startReplicas, a.startSources, a.startCopier, a.publishFirstMap, a.startFrontends} {
		if err = step(); err != nil {
			return a, err
		}
	}
	return a, nil
}

func (a *Archive) startReplicas() error {
	for i := range a.ReplicaCount {
		name := fmt.Sprintf("n%d", i)
		start := a.Archive.SRU
		if i%2 == 1 {
			start = a.Archive.Z3950
		}
		n, err := start(name, a.Seed)
		if err != nil {
			return err
		}
		n.SetFaults(replica.Faults{Delay: a.Delay, Jitter: a.Delay})
		store := NewStore(name, a.Content)
		n.SetStore(store)
		a.Replicas, a.Stores[name] = append(a.Replicas, n), store
	}
	return nil
}

// startSources starts a map source for each frontend.
func (a *Archive) startSources() error {
	for range max(1, a.FrontendCount) {
		s, err := NewMapSource()
		if err != nil {
			return fmt.Errorf("start a map source: %w", err)
		}
		a.Sources = append(a.Sources, s)
	}
	return nil
}

func (a *Archive) startCopier() (err error) {
	rate := a.CopiesPerSecond
	if rate == 0 {
		rate = defaultCopyRate
	}
	if a.copier, err = background.New(scheduler.Budget{StartsPerSecond: rate, Burst: 2, MaxRunning: 2}, a.Seed, aggregator.SystemClock{}); err != nil {
		return fmt.Errorf("start the copier: %w", err)
	}
	a.stop = make(chan struct{})
	go a.copier.Run(a.stop)
	return nil
}

func (a *Archive) publishFirstMap() error {
	first, err := a.firstMap()
	if err != nil {
		return fmt.Errorf("make the first map: %w", err)
	}
	return a.StartController(first, nil)
}

func (a *Archive) startFrontends() error {
	for i, source := range a.Sources {
		if err := a.startFrontend(i, source); err != nil {
			return fmt.Errorf("start frontend %d: %w", i, err)
		}
	}
	return nil
}

// startFrontend starts a frontend and waits until it has adopted a map.
func (a *Archive) startFrontend(i int, source *MapSource) error {
	events := &deployment.Events{}
	events.ForwardTo(a.Log)
	path := filepath.Join(a.Dir, fmt.Sprintf("front%d.toml", i))
	if err := os.WriteFile(path, []byte(a.frontendConfig(i, source.Addr())), 0o600); err != nil {
		return err
	}
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	adopted := events.Next(func(e deployment.Event) bool { return e.Msg == "map adopted" })
	f, err := app.StartPartners(conf, a.Seed+uint64(i), slog.New(events))
	if err != nil {
		return err
	}
	a.Frontends, a.Events = append(a.Frontends, f), append(a.Events, events)
	select {
	case <-adopted:
		return nil
	case <-time.After(firstMapTimeout):
		return errors.New("it has no map")
	}
}

// StartController starts a new controller on the persisted state, as after a crash; first is the map where none is
// persisted, and killed, if not nil, kills it before a step.
func (a *Archive) StartController(first *shardmap.Map, killed func(at string) bool) error {
	c, err := NewController(a.Dir, first, Controller{Stores: a.Stores, Publish: a.publish, Timing: a.Timing, KillBefore: killed, Copier: a.copier})
	a.Controller = c
	return err
}

// publish passes a map to every source, to the last one late.
func (a *Archive) publish(epoch uint64, text []byte) {
	for i, s := range a.Sources {
		if i > 0 && i == len(a.Sources)-1 && a.LastFrontendDelay > 0 && epoch > 1 {
			a.delayed = append(a.delayed, time.AfterFunc(a.LastFrontendDelay, func() { s.Publish(epoch, text) }))
			continue
		}
		s.Publish(epoch, text)
	}
}

// firstMap cuts the keys into shards of about the same size.
func (a *Archive) firstMap() (*shardmap.Map, error) {
	var keys []string
	for _, id := range a.Content.IDs {
		if k := keyOf(id); len(keys) == 0 || keys[len(keys)-1] != k {
			keys = append(keys, k)
		}
	}
	n := min(a.ShardCount, len(keys))
	var list []*shardmap.Shard
	for i := range n {
		b := &shardmap.Shard{ID: shardmap.ID(i + 1), State: shardmap.Serving, Replicas: []shardmap.Replica{
			{Server: a.Replicas[i%len(a.Replicas)].Name}, {Server: a.Replicas[(i+1)%len(a.Replicas)].Name}}}
		if i > 0 {
			b.From = shardmap.Key(keys[i*len(keys)/n])
		}
		if i+1 < n {
			b.To = shardmap.Key(keys[(i+1)*len(keys)/n])
		}
		b.Weight = float64(len(a.Content.between(string(b.From), string(b.To))))
		list = append(list, b)
	}
	return shardmap.New("captions", 1, shardmap.ID(n+1), list)
}

// CorrectionRuns are how often each correction ran, on all replicas together.
func (a *Archive) CorrectionRuns() map[string]int {
	all := map[string]int{}
	for _, s := range a.Stores {
		for id, n := range s.CorrectionRuns() {
			all[id] += n
		}
	}
	return all
}

// DuplicateCorrections lists the corrections that ran more than once.
func (a *Archive) DuplicateCorrections() (ids []string) {
	for id, n := range a.CorrectionRuns() {
		if n > 1 {
			ids = append(ids, fmt.Sprintf("%s (%d times)", id, n))
		}
	}
	sort.Strings(ids)
	return ids
}

// Stop ends the archive and removes its files.
func (a *Archive) Stop() {
	a.Archive.Close()
	if a.stop != nil {
		close(a.stop)
	}
	for _, t := range a.delayed {
		t.Stop()
	}
	for _, f := range a.Frontends {
		f.Stop(0)
	}
	for _, s := range a.Sources {
		s.Close()
	}
	for _, n := range a.Replicas {
		n.Kill()
	}
	if a.Dir != "" {
		_ = os.RemoveAll(a.Dir) // what is left is a temporary folder
	}
}
