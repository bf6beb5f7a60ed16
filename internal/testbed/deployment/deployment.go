// Package install sets up a whole installation for a test, a demonstration or an experiment: stand-in nodes of both
// protocols, an operator's file written for them, and the real second front started from it in this process.
package deployment

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/app"
	"rooktrestle/internal/config"
	"rooktrestle/internal/testbed/replica"
)

// Options of an installation.
type Options struct {
	Replicas      int // round the ring; every second one speaks Z39.50
	Reach         int // holders of a block
	SRUOnly       bool
	Seed          uint64
	CheckInterval time.Duration // between checks
	CheckTimeout  time.Duration // of a check; 0: half a second
	MaxSockets    int
	MaxOpen       int
	Agents        bool               // each node has an agent, and a check of it
	ExtraConfig   string             // more of the operator's file, before the servers
	ServerConfig  func(i int) string // more keys of server i
	// CheckedOnlyAddr are further servers that hold no block that is asked for and are only checked: so many, each at an
	// address. With them the last block has one holder less, and the databases leave it out.
	CheckedOnlyAddr  func(i int) string
	CheckedOnlyCount int
	Log              slog.Handler // where the front logs, beside Events; nil: nowhere
}

// Deployment is a running installation.
type Deployment struct {
	Archive    *replica.Archive
	Replicas   []*replica.Server
	Agents     []*replica.Agent
	Frontend   *app.PartnersDeployment
	ConfigPath string // path of the operator's file
	Events     *Events
	dir        string
}

// Start starts an installation.
func Start(o Options) (in *Deployment, err error) {
	o.Reach = max(1, o.Reach)
	in = &Deployment{Archive: replica.NewArchive(o.Replicas), Events: &Events{next: o.Log}}
	defer func() {
		if err != nil {
			in.Stop()
			in = nil
		}
	}()
	for i := range o.Replicas {
		name := fmt.Sprintf("n%d", i)
		start := in.Archive.SRU
		if i%2 == 1 && !o.SRUOnly {
			start = in.Archive.Z3950
		}
		n, err := start(name, o.Seed)
		if err != nil {
			return in, err
		}
		in.Replicas = append(in.Replicas, n)
		if o.Agents {
			a, err := replica.NewAgent("up ready 100%")
			if err != nil {
				return in, err
			}
			in.Agents = append(in.Agents, a)
		}
	}
	if in.dir, err = os.MkdirTemp("", "testbed"); err != nil {
		return in, err
	}
	in.ConfigPath = filepath.Join(in.dir, "partners.toml")
	if err = os.WriteFile(in.ConfigPath, []byte(in.file(o)), 0o600); err != nil {
		return in, err
	}
	conf, err := config.LoadPartners(in.ConfigPath)
	if err != nil {
		return in, err
	}
	in.Frontend, err = app.StartPartners(conf, o.Seed, slog.New(in.Events))
	return in, err
}

// file writes the operator's file.
func (in *Deployment) file(o Options) string {
	if o.CheckInterval == 0 {
		o.CheckInterval = 200 * time.Millisecond
	}
	if o.MaxSockets == 0 {
		o.MaxSockets = 1024
	}
	if o.CheckTimeout == 0 {
		o.CheckTimeout = 500 * time.Millisecond
	}
	perSecond := 100 + int(4*float64(o.Replicas+o.CheckedOnlyCount)/o.CheckInterval.Seconds())
	if o.MaxOpen == 0 {
		o.MaxOpen = 400
	}
	blocks, cells := o.Replicas, o.Replicas
	if o.CheckedOnlyCount > 0 {
		blocks, cells = o.Replicas-o.Reach+1, o.Replicas+o.CheckedOnlyCount
	}
	var b strings.Builder
	fmt.Fprintf(&b, `# Written by testbed for %d stand-in nodes.
name = "lab"
[listen]
sru = "127.0.0.1:0"
z3950 = "127.0.0.1:0"
health = "127.0.0.1:0"
agent = "127.0.0.1:0"
[limits]
sockets = %d
max_open = %d
[checks]
every = %q
per_second = %d
at_once = %d
timeout = %q
fall = 2
rise = 1
[shards]
count = %d
cells = %d
reach = %d
`, o.Replicas, o.MaxSockets, o.MaxOpen, o.CheckInterval, perSecond, min(o.MaxSockets/4, 64+o.CheckedOnlyCount/4), o.CheckTimeout, blocks, cells, o.Reach)
	for _, c := range []string{
		"name = \"line-search\"\naim = \"1.5s\"\ndeadline = \"4s\"\nlate_worth = 0.3",
		"name = \"coverage-report\"\naim = \"1.2s\"\ndeadline = \"2s\"\nlate_worth = 0.1\nfloor = 0.5\npartial = 0.8",
		"name = \"line-correction\"\naim = \"1s\"\ndeadline = \"2s\"\nlate_worth = 0.3\nunsafe = true",
	} {
		fmt.Fprintf(&b, "[[class]]\n%s\n", c)
	}
	var shards []string
	for i := range blocks {
		shards = append(shards, fmt.Sprint(i))
	}
	all := strings.Join(shards, ", ")
	fmt.Fprintf(&b, `[[tenant]]
name = "tv"
quota = 100000
users = ["editor"]
[[database]]
name = "captions"
shards = [%s]
search = "line-search"
correction = "line-correction"
tenant = "tv"
[[database]]
name = "coverage"
shards = [%s]
search = "coverage-report"
tenant = "tv"
[[check]]
name = "healthz"
kind = "http"
path = "/healthz"
[[check]]
name = "init"
kind = "z3950"
`, all, all)
	b.WriteString(o.ExtraConfig)
	for i, n := range in.Replicas {
		check := map[string]string{"sru": "healthz", "z3950": "init"}[n.Protocol]
		fmt.Fprintf(&b, "[[server]]\nid = %q\nprotocol = %q\naddr = %q\ncell = %d\nzone = %d\ndatabase = \"block-%%d\"\nchecks = [%q]\n",
			n.Name, n.Protocol, n.Addr(), i, i%2, check)
		if o.Agents {
			fmt.Fprintf(&b, "agent = %q\n", in.Agents[i].Addr())
		}
		if o.ServerConfig != nil {
			b.WriteString(o.ServerConfig(i))
		}
	}
	for i := range o.CheckedOnlyCount {
		fmt.Fprintf(&b, "[[server]]\nid = \"other-%d\"\nprotocol = \"sru\"\naddr = %q\ncell = %d\ndatabase = \"block-%%d\"\nchecks = [\"healthz\"]\n",
			i, o.CheckedOnlyAddr(i), o.Replicas+i)
	}
	return b.String()
}

// Replica finds a node by its name.
func (in *Deployment) Replica(name string) *replica.Server {
	for _, n := range in.Replicas {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Stop ends all of it.
func (in *Deployment) Stop() {
	in.Archive.Close()
	if in.Frontend != nil {
		in.Frontend.Stop(0)
		in.Frontend = nil
	}
	for _, n := range in.Replicas {
		n.Kill()
	}
	for _, a := range in.Agents {
		a.Close()
	}
	if in.dir != "" {
		os.RemoveAll(in.dir)
	}
}

// Event is one line that the front logged.
type Event struct {
	At    time.Time
	Msg   string
	Attrs map[string]string
}

// Events keeps what a front logs, and lets a test wait for it.
type Events struct {
	mu    sync.Mutex
	list  []Event
	waits []wait
	next  slog.Handler
}

type wait struct {
	is   func(Event) bool
	told chan Event
}

// Enabled is for every level.
func (e *Events) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs and WithGroup are not used by the front.
func (e *Events) WithAttrs([]slog.Attr) slog.Handler { return e }

// WithGroup returns the same handler.
func (e *Events) WithGroup(string) slog.Handler { return e }

// Handle takes a line.
func (e *Events) Handle(ctx context.Context, r slog.Record) error {
	ev := Event{At: r.Time, Msg: r.Message, Attrs: map[string]string{}}
	r.Attrs(func(a slog.Attr) bool {
		ev.Attrs[a.Key] = a.Value.String()
		return true
	})
	e.mu.Lock()
	e.list = append(e.list, ev)
	kept := e.waits[:0]
	for _, w := range e.waits {
		if w.is(ev) {
			w.told <- ev
		} else {
			kept = append(kept, w)
		}
	}
	e.waits = kept
	next := e.next
	e.mu.Unlock()
	if next != nil {
		return next.Handle(ctx, r)
	}
	return nil
}

// ForwardTo hands each event on to another handler, too; nil: to none.
func (e *Events) ForwardTo(next slog.Handler) {
	e.mu.Lock()
	e.next = next
	e.mu.Unlock()
}

// All are the events so far.
func (e *Events) All() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.list...)
}

// Next returns a channel that is told of the next event for which is holds.
func (e *Events) Next(is func(Event) bool) <-chan Event {
	told := make(chan Event, 1)
	e.mu.Lock()
	e.waits = append(e.waits, wait{is, told})
	e.mu.Unlock()
	return told
}

// HealthChanged is an event on a server whose cause has a part of text in it.
func HealthChanged(server, cause string) func(Event) bool {
	return func(ev Event) bool {
		return ev.Msg == "health" && ev.Attrs["server"] == server && strings.Contains(ev.Attrs["cause"], cause)
	}
}
