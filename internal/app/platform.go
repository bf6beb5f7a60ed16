package app

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/leaf"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/outlier"
	"rooktrestle/internal/frontend/platform"
	"rooktrestle/internal/net/discovery"
	"rooktrestle/internal/net/gossip"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
)

const (
	// lateArrivals is how long clients may go on asking after SIGTERM.
	lateArrivals = 700 * time.Millisecond
	// readyAnyway is how long a start waits for discovery before it serves by the list it was given.
	readyAnyway = 3 * time.Second
	// otherSockets are kept for the listener, discovery, pollers and standard streams.
	otherSockets = 32
	// clientShare: clients hold a third of the sockets for requests at most. Half of that may be kept idle.
	clientShare = 6
	flushed     = 50 * time.Millisecond
	// firstRequest is the time for a request: a client that begins and does not end is owed an error or a close.
	firstRequest = 2200 * time.Millisecond
	idleClient   = 15 * time.Second // a connection between requests
	spareClient  = 2 * time.Second  // the same, where many are open
)

func logf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, time.Now().UTC().Format("15:04:05.000")+" "+format+"\n", args...)
}

// ServePlatform serves the platform's protocol until it is told to end.
func ServePlatform() error {
	// From the start: a SIGHUP that nobody takes ends the program, and a SIGTERM that comes before it serves ends it the
	// way any other does.
	renewed, signals := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(renewed, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	n, err := LoadNode()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(n.Cores))))
	debug.SetMemoryLimit(memoryLimit(n))

	d := n.Deployment
	decide, err := balance.New(d.Decisions)
	if err != nil {
		return err
	}
	clock, box := aggregator.SystemClock{}, aggregator.NewMailbox()
	pool := leaf.NewPool(leaf.Limits{
		MaxStreams: d.StreamsPerConn, IdleTimeout: d.ConnIdle, ConnectTimeout: d.ConnectTimeout, MaxConnections: n.Sockets / 3,
		UnresponsiveAfter: shortestAim(d.Decisions.Classes) / 2, ConnsPerServer: leaf.ConnsPerServer(d.Decisions.Instances),
	}, box, leaf.DialTCP)
	lim := aggregator.Limits{MaxOpen: d.MaxOpen, MaxCallParts: d.Decisions.MaxCallParts, RetryAfter: d.MaxRetryAfter, DeadlineMargin: 4 * d.Decisions.Tick}
	longest := time.Duration(0)
	for _, c := range d.Decisions.Classes {
		lim.FollowUpParts = append(lim.FollowUpParts, c.FollowUpParts)
		window := time.Duration(0)
		if c.Idempotency == balance.KeyedIdempotent {
			window = c.DedupWindow
		}
		lim.DedupWindows = append(lim.DedupWindows, window)
		longest = max(longest, c.Deadline)
	}
	core := aggregator.NewCore(decide, pool, lim, clock.Now())
	pool.SetDirectory(core)

	if d.Decisions.PeerMessages && n.PeerListen != "" && n.PeerBroadcast != "" {
		x, err := gossip.Open(n.PeerListen, n.PeerBroadcast, n.Peers, d.InstanceIndex, func(text []byte) { box.PutDeferred(aggregator.GossipReceived{Payload: text}) })
		if err != nil {
			logf("no words with other mixers: %v", err) // a mixer serves without them
		} else {
			defer x.Close()
			core.Gossip = x
			if d.Decisions.GossipEnabled() {
				core.Outliers = outlier.New(outlier.PlatformConfig(shortestAim(d.Decisions.Classes), d.Decisions.Zone, d.Decisions.Instances))
			}
		}
	}

	watch := &discovery.Watcher{Addr: n.Discovery, Zones: d.Zones, Put: box.Put, Log: logf, Random: rand.New(rand.NewPCG(n.Seed, 1)).Float64}
	if d.Decisions.ListOnRequest { // else it is the agent of this machine's own, which answers at once and at no cost
		watch.FleetSize = d.Decisions.Instances
	}
	if len(n.InitialEndpoints) > 0 {
		version, known, err := discovery.Parse(n.InitialEndpoints, d.Zones)
		if err != nil {
			return fmt.Errorf("known: %w", err)
		}
		known.Kind = balance.ListStale
		watch.Version = version
		box.Put(known)
	}
	stop := make(chan struct{})
	loop := &aggregator.Loop{Core: core, Mailbox: box, Adapter: pool, Clock: clock, Stop: stop, NewBalancer: func() (*balance.Balancer, error) {
		return balance.New(d.Decisions)
	}}

	var front *platform.Frontend
	report := func() string {
		text := fmt.Sprintf("%v; leaf connections: dialed %d, refused %d, broken %d, spoilt %d, late answers %d; front: %+v",
			core.Counters, pool.Stats.Dials, pool.Stats.DialsFailed, pool.Stats.Broken, pool.Stats.Corrupt, pool.Stats.LateAnswers, front.Counters())
		if core.Outliers != nil {
			text += fmt.Sprintf("; servers that lose parts: %d, remarks on them heard %d", core.Outliers.EjectedCount(), core.Outliers.ObservationsReceived)
		}
		return text
	}
	front = platform.New(platform.Options{
		Classes: d.Classes, Tenants: d.Tenants, Shards: d.Decisions.Shards, MaxTimeout: 2 * longest,
		Timeouts: httpserve.Timeouts{FirstRequest: firstRequest, Idle: idleClient, ReadRequest: firstRequest, EvictableAfter: spareClient},
	}, box.Put, clock.Now, func() (text string) {
		loop.Do(func() { text = report() })
		return text
	})
	most := n.Sockets - n.Sockets/3 - otherSockets
	front.MaxKeepAlive = n.Sockets / clientShare
	gate := &tcp.ConnLimiter{Max: most, Evict: func() bool { return front.EvictIdle(true) }}
	server, err := tcp.Listen(n.Listen, gate, front.Accept)
	if err != nil {
		return err
	}
	logf("listen http %s", server.Addr())
	loopOver := make(chan struct{})
	go func() { loop.Run(); close(loopOver) }()

	heard := make(chan struct{}, 1)
	go watch.Run(stop, func() {
		select {
		case heard <- struct{}{}:
		default:
		}
	})
	go func(n config.Node) {
		for range renewed {
			n = reload(n, watch)
		}
	}(n)
	onRequest := make(chan os.Signal, 1)
	signal.Notify(onRequest, syscall.SIGUSR1)

	ready := time.After(readyAnyway)
	for told := false; !told; {
		select {
		case <-heard:
			front.SetReady(true)
		case <-ready:
			front.SetReady(true)
		case <-onRequest:
			loop.Do(func() { logf("%s", report()) })
		case <-signals:
			told = true
		}
	}
	// Late arrivals are served as before; then nothing new is taken, connections without a request end, and the rest with
	// their answers. Each ends when its client has closed it, too, or after a while: so no answer is lost to the exit.
	front.SetReady(false)
	logf("told to end")
	time.Sleep(lateArrivals)
	gate.StopAdmitting()
	front.Shutdown()
	for held := 1; held > 0 || front.OpenConns() > 0; {
		loop.Do(func() { held = core.OpenQueries() })
		time.Sleep(flushed)
	}
	server.Close()
	close(stop)
	<-loopOver
	logf("%s", report())
	return nil
}

// reload reads the configuration again, off the loop. A bad one leaves all as it was.
func reload(n config.Node, watch *discovery.Watcher) config.Node {
	next, rest, err := n.Reload(os.Getenv)
	if err != nil {
		logf("the new configuration is bad, the old one stays: %v", err)
		return n
	}
	debug.SetMemoryLimit(memoryLimit(next))
	if next.Discovery != n.Discovery {
		watch.SwitchTo(next.Discovery)
	}
	if rest {
		logf("configuration read again: what changed beside discovery and memory waits for the next start")
	} else {
		logf("configuration read again")
	}
	return next
}

func memoryLimit(n config.Node) int64 { return int64(n.MemoryMB) << 20 * 3 / 4 }

func shortestAim(classes []balance.Class) time.Duration {
	return slices.MinFunc(classes, func(c, o balance.Class) int { return cmp.Compare(c.Objective, o.Objective) }).Objective
}
