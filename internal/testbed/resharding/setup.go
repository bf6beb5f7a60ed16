package resharding

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/app"
	"rooktrestle/internal/app/background"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/replica"
)

// Options configures an archive. Archive embeds them; they do not change after Start.
type Options struct {
	Seed                 uint64
	ReplicaCount         int           // every second one uses Z39.50
	ShardCount           int           // at the start; each shard has two replicas
	FrontendCount        int           // aggregators, each with its own map source
	LastFrontendMapDelay time.Duration // of the maps to the last frontend
	CopiesPerSecond      float64       // chunks copied to joining replicas, in total; 0: defaultCopyRate
	Records              int
	PersistMaps          bool // frontends persist the last known good map
	Timing               shardmap.Timing
	Delay                time.Duration // of an answer
	Log                  slog.Handler
	ExtraClassConfig     string // further keys of the operators' file for the class of searches
}

// Archive is a running archive with resharding.
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

// firstMapTimeout is the maximum time until a frontend has adopted its first map.
const firstMapTimeout = 30 * time.Second

// Start starts an archive: replicas, map sources, the controller with its first map, and the frontends, which have
// adopted that map when Start returns. The caller must call Stop.
func Start(options Options) (a *Archive, err error) {
	a = &Archive{
		Options: options,
		Content: NewContent(max(4, options.Records/12), 4, 3),
		Archive: replica.NewArchive(0),
		Stores:  map[string]*Store{},
	}
	defer func() {
		if err != nil {
			a.Stop()
			a = nil
		}
	}()
	if a.Dir, err = os.MkdirTemp("", "resharding"); err != nil {
		return a, err
	}
	startSteps := []func() error{
		a.startReplicas,
		a.startSources,
		a.startCopier,
		a.publishFirstMap,
		a.startFrontends,
	}
	for _, step := range startSteps {
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
		server, err := start(name, a.Seed)
		if err != nil {
			return err
		}
		server.SetFaults(replica.Faults{Delay: a.Delay, Jitter: a.Delay})
		store := NewStore(name, a.Content)
		server.SetStore(store)
		a.Replicas = append(a.Replicas, server)
		a.Stores[name] = store
	}
	return nil
}

// startSources starts a map source for each frontend.
func (a *Archive) startSources() error {
	for range max(1, a.FrontendCount) {
		source, err := NewMapSource()
		if err != nil {
			return fmt.Errorf("start a map source: %w", err)
		}
		a.Sources = append(a.Sources, source)
	}
	return nil
}

func (a *Archive) startCopier() (err error) {
	rate := a.CopiesPerSecond
	if rate == 0 {
		rate = defaultCopyRate
	}
	budget := scheduler.Budget{StartsPerSecond: rate, Burst: 2, MaxRunning: 2}
	if a.copier, err = background.New(budget, a.Seed, aggregator.SystemClock{}); err != nil {
		return fmt.Errorf("start the copier: %w", err)
	}
	a.stop = make(chan struct{})
	go a.copier.Run(a.stop)
	return nil
}

func (a *Archive) publishFirstMap() error {
	first, err := a.firstMap()
	if err != nil {
		return fmt.Errorf("create the first shard map: %w", err)
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

// startFrontend starts a frontend and waits until it has adopted its first map.
func (a *Archive) startFrontend(index int, source *MapSource) error {
	events := &deployment.Events{}
	events.ForwardTo(a.Log)
	path := filepath.Join(a.Dir, fmt.Sprintf("front%d.toml", index))
	text := a.frontendConfig(index, source.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	adopted := events.Next(func(event deployment.Event) bool { return event.Msg == "map adopted" })
	frontend, err := app.StartPartners(conf, a.Seed+uint64(index), slog.New(events))
	if err != nil {
		return err
	}
	a.Frontends = append(a.Frontends, frontend)
	a.Events = append(a.Events, events)
	select {
	case <-adopted:
		return nil
	case <-time.After(firstMapTimeout):
		return fmt.Errorf("no shard map was adopted within %v", firstMapTimeout)
	}
}

// StartController starts a new controller from the persisted state, as after a crash; first is the map if none is
// persisted, and killed, if not nil, is its KillBefore.
func (a *Archive) StartController(first *shardmap.Map, killed func(step string) bool) (err error) {
	a.Controller, err = NewController(a.Dir, first, Controller{
		Stores:     a.Stores,
		Publish:    a.publish,
		Timing:     a.Timing,
		KillBefore: killed,
		Copier:     a.copier,
	})
	return err
}

// publish publishes a map at every source, at the last one after LastFrontendMapDelay.
func (a *Archive) publish(epoch uint64, text []byte) {
	delaysLast := a.LastFrontendMapDelay > 0 && epoch > 1
	for i, source := range a.Sources {
		isLast := i > 0 && i == len(a.Sources)-1
		if !isLast || !delaysLast {
			source.Publish(epoch, text)
			continue
		}
		timer := time.AfterFunc(a.LastFrontendMapDelay, func() { source.Publish(epoch, text) })
		a.delayed = append(a.delayed, timer)
	}
}

// firstMap divides the keys into shards of about the same size.
func (a *Archive) firstMap() (*shardmap.Map, error) {
	keys := a.Content.keys()
	count := min(a.ShardCount, len(keys))
	var shards []*shardmap.Shard
	for i := range count {
		holder := a.Replicas[i%len(a.Replicas)].Name
		nextHolder := a.Replicas[(i+1)%len(a.Replicas)].Name
		shard := &shardmap.Shard{
			ID:       shardmap.ID(i + 1),
			State:    shardmap.Serving,
			Replicas: []shardmap.Replica{{Server: holder}, {Server: nextHolder}},
		}
		if i > 0 {
			shard.From = shardmap.Key(keys[i*len(keys)/count])
		}
		if i+1 < count {
			shard.To = shardmap.Key(keys[(i+1)*len(keys)/count])
		}
		shard.Weight = float64(len(a.Content.between(string(shard.From), string(shard.To))))
		shards = append(shards, shard)
	}
	return shardmap.New("captions", 1, shardmap.ID(count+1), shards)
}

// CorrectionRuns returns how often each correction ran, on all replicas in total.
func (a *Archive) CorrectionRuns() map[string]int {
	all := map[string]int{}
	for _, store := range a.Stores {
		for id, count := range store.CorrectionRuns() {
			all[id] += count
		}
	}
	return all
}

// DuplicateCorrections returns the corrections that ran more than once.
func (a *Archive) DuplicateCorrections() []string { return invariants.Duplicates(a.CorrectionRuns()) }

// Stop stops the archive and removes its files.
func (a *Archive) Stop() {
	a.Archive.Close()
	if a.stop != nil {
		close(a.stop)
	}
	for _, timer := range a.delayed {
		timer.Stop()
	}
	for _, frontend := range a.Frontends {
		frontend.Stop(0)
	}
	for _, source := range a.Sources {
		source.Close()
	}
	for _, server := range a.Replicas {
		server.Kill()
	}
	if a.Dir != "" {
		_ = os.RemoveAll(a.Dir) // on an error a temporary folder remains
	}
}
