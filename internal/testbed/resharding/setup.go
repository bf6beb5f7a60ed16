package resharding

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strings"
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

// Options of an archive.
type Options struct {
	Seed              uint64
	ReplicaCount      int           // every second one speaks Z39.50
	Blocks            int           // at the start; each is held by two nodes
	FrontendCount     int           // mixers; each hears of maps by itself
	LastFrontendDelay time.Duration // the last front hears of maps so late
	CopiesPerSecond   float64       // a second, of a few records each, all copies together; 0: 2,000
	Records           int
	PersistMaps       bool // fronts keep the last good map
	Timing            shardmap.Timing
	Delay             time.Duration // of an answer
	Log               slog.Handler
	ExtraClassConfig  string // more keys of the class of searches
}

// Archive is a running archive whose blocks change.
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
	late       []*time.Timer
	copying    *background.Runner
	stop       chan struct{}
}

// Start starts an archive.
func Start(o Options) (a *Archive, err error) {
	a = &Archive{Options: o, Content: NewContent(max(4, o.Records/12), 4, 3), Archive: replica.NewArchive(0), Stores: map[string]*Store{}}
	defer func() {
		if err != nil {
			a.Stop()
			a = nil
		}
	}()
	if a.Dir, err = os.MkdirTemp("", "reshape"); err != nil {
		return a, err
	}
	for i := range o.ReplicaCount {
		name := fmt.Sprintf("n%d", i)
		start := a.Archive.SRU
		if i%2 == 1 {
			start = a.Archive.Z3950
		}
		n, err := start(name, o.Seed)
		if err != nil {
			return a, err
		}
		n.SetFaults(replica.Faults{Delay: o.Delay, Jitter: o.Delay})
		s := NewStore(name, a.Content)
		n.SetStore(s)
		a.Replicas, a.Stores[name] = append(a.Replicas, n), s
	}
	for range max(1, o.FrontendCount) {
		s, err := NewMapSource()
		if err != nil {
			return a, err
		}
		a.Sources = append(a.Sources, s)
	}
	if o.CopiesPerSecond == 0 {
		o.CopiesPerSecond = 2000
	}
	if a.copying, err = background.New(scheduler.Budget{StartsPerSecond: o.CopiesPerSecond, Burst: 2, MaxRunning: 2}, o.Seed, aggregator.SystemClock{}); err != nil {
		return a, err
	}
	a.stop = make(chan struct{})
	go a.copying.Run(a.stop)
	first, err := a.first()
	if err != nil {
		return a, err
	}
	if err = a.StartController(first, nil); err != nil {
		return a, err
	}
	for i, s := range a.Sources {
		ev := &deployment.Events{}
		ev.ForwardTo(o.Log)
		path := filepath.Join(a.Dir, fmt.Sprintf("front%d.toml", i))
		if err = os.WriteFile(path, []byte(a.file(i, s.Addr())), 0o600); err != nil {
			return a, err
		}
		conf, err := config.LoadPartners(path)
		if err != nil {
			return a, err
		}
		adopted := ev.Next(func(e deployment.Event) bool { return e.Msg == "map adopted" })
		f, err := app.StartPartners(conf, o.Seed+uint64(i), slog.New(ev))
		if err != nil {
			return a, err
		}
		a.Frontends, a.Events = append(a.Frontends, f), append(a.Events, ev)
		select {
		case <-adopted:
		case <-time.After(30 * time.Second):
			return a, fmt.Errorf("front %d has no map", i)
		}
	}
	return a, nil
}

// StartController makes the controller anew, as after it was killed.
func (a *Archive) StartController(first *shardmap.Map, killed func(at string) bool) error {
	c, err := NewController(a.Dir, first, Controller{Stores: a.Stores, Publish: a.publish, Timing: a.Timing, KillBefore: killed, Copier: a.copying})
	a.Controller = c
	return err
}

// publish tells every source; the last one late.
func (a *Archive) publish(epoch uint64, text []byte) {
	for i, s := range a.Sources {
		if i > 0 && i == len(a.Sources)-1 && a.LastFrontendDelay > 0 && epoch > 1 {
			a.late = append(a.late, time.AfterFunc(a.LastFrontendDelay, func() { s.Publish(epoch, text) }))
			continue
		}
		s.Publish(epoch, text)
	}
}

// first cuts the keys into blocks of about the same size.
func (a *Archive) first() (*shardmap.Map, error) {
	var keys []string
	for _, id := range a.Content.IDs {
		if k := keyOf(id); len(keys) == 0 || keys[len(keys)-1] != k {
			keys = append(keys, k)
		}
	}
	n := min(a.Blocks, len(keys))
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
		b.Weight = float64(len(a.Content.in(string(b.From), string(b.To))))
		list = append(list, b)
	}
	return shardmap.New("captions", 1, shardmap.ID(n+1), list)
}

func (a *Archive) file(i int, source string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `name = "front%d"
[listen]
sru = "127.0.0.1:0"
z3950 = "127.0.0.1:0"
health = "127.0.0.1:0"
agent = "127.0.0.1:0"
[limits]
sockets = 2048
max_open = 4000
max_records = 2000
[checks]
every = "500ms"
[blocks]
archive = "captions"
source = %q
wait = "2s"
cold = "2s"
`, i, source)
	if a.PersistMaps {
		fmt.Fprintf(&b, "keep = %q\n", filepath.Join(a.Dir, fmt.Sprintf("kept%d", i)))
	}
	fmt.Fprintf(&b, `[[class]]
name = "line-search"
aim = "1.5s"
deadline = "4s"
late_worth = 0.3
%s
[[class]]
name = "coverage-report"
aim = "1.2s"
deadline = "2s"
late_worth = 0.1
floor = 0.5
partial = 0.8
[[class]]
name = "line-correction"
aim = "1s"
deadline = "2s"
late_worth = 0.3
unsafe = true
[[tenant]]
name = "tv"
quota = 100000
users = ["editor"]
[[database]]
name = "captions"
search = "line-search"
correction = "line-correction"
tenant = "tv"
[[database]]
name = "coverage"
search = "coverage-report"
tenant = "tv"
`, a.ExtraClassConfig)
	for _, n := range a.Replicas {
		fmt.Fprintf(&b, "[[server]]\nid = %q\nprotocol = %q\naddr = %q\ndatabase = \"block-%%d@%%e\"\n", n.Name, n.Protocol, n.Addr())
	}
	return b.String()
}

// CorrectionRuns is how often each correction ran, on all nodes together.
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

// Stop ends all of it.
func (a *Archive) Stop() {
	a.Archive.Close()
	if a.stop != nil {
		close(a.stop)
	}
	for _, t := range a.late {
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
		os.RemoveAll(a.Dir)
	}
}
