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
	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/settings"
)

const (
	// shutdownGrace is how long requests are still accepted after SIGTERM, so that clients can remove the process from
	// their lists first.
	shutdownGrace = 700 * time.Millisecond
	// drainPollInterval is the interval at which a shutdown checks whether it has drained.
	drainPollInterval = 50 * time.Millisecond
	// discoveryTimeout is how long a start waits for discovery before it serves from its initial endpoint list.
	discoveryTimeout = 3 * time.Second
)

// logf writes one timestamped log line to standard error. ServePlatform logs with it.
func logf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, time.Now().UTC().Format("15:04:05.000")+" "+format+"\n", args...)
}

// ServePlatform serves the platform's protocol until SIGTERM or SIGINT. SIGHUP reloads the configuration and SIGUSR1
// logs the counters.
func ServePlatform() error {
	// Signals are handled from the start: an unhandled SIGHUP would kill the process, and a SIGTERM that arrives during
	// startup must shut it down in the same order as a later one.
	reloads, terminations := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	node, err := LoadNode()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(node.Cores))))
	debug.SetMemoryLimit(memoryLimit(node))

	server, err := newPlatformServer(node)
	if err != nil {
		return err
	}
	defer server.closeGossip()
	if err := server.start(); err != nil {
		return err
	}
	err = server.serve(reloads, terminations)
	server.shutdown()
	return err
}

// platformServer is an aggregator that serves the platform's protocol.
type platformServer struct {
	node     config.Node
	clock    aggregator.SystemClock
	mailbox  *aggregator.Mailbox
	pool     *leaf.Pool
	core     *aggregator.Core
	gossip   *gossip.Transport // nil: gossip is disabled or its socket could not be opened
	watcher  *discovery.Watcher
	loop     *aggregator.Loop
	frontend *platform.Frontend
	memory   *membudget.Budget // of what clients hold
	limiter  *tcp.ConnLimiter
	listener *tcp.Server   // nil until the process listens for clients
	stop     chan struct{} // closed to end the loop and the watcher
	loopDone chan struct{}

	operators        *operators
	generations      *settings.Generations // of classes and tenants; used on the loop only
	balancerSettings balance.Settings      // current; used on the loop only
}

// newPlatformServer builds the server. It opens the gossip socket, which the caller closes, and nothing else.
func newPlatformServer(node config.Node) (*platformServer, error) {
	balancerSettings := node.Deployment.BalancerSettings
	balancer, err := balance.New(balancerSettings)
	if err != nil {
		return nil, err
	}
	s := &platformServer{
		node:             node,
		mailbox:          aggregator.NewMailbox(),
		stop:             make(chan struct{}),
		loopDone:         make(chan struct{}),
		generations:      settings.NewGenerations(node.Deployment),
		balancerSettings: balancerSettings,
	}
	s.pool = leaf.NewPool(leaf.Limits{
		MaxStreams:        node.Deployment.StreamsPerConn,
		IdleTimeout:       node.Deployment.ConnIdle,
		ConnectTimeout:    node.Deployment.ConnectTimeout,
		MaxConnections:    node.Sockets / 3,
		UnresponsiveAfter: shortestObjective(balancerSettings.Classes) / 2,
		ConnsPerServer:    leaf.ConnsPerServer(balancerSettings.Instances),
	}, s.mailbox, leaf.DialTCP)
	s.core = aggregator.NewCore(balancer, s.pool, platformLimits(node.Deployment), s.clock.Now())
	s.pool.SetDirectory(s.core)
	s.operators = newOperators(s) // before the endpoint list, so that no turn uses a detached server
	s.openGossip()
	if err := s.newWatcher(); err != nil {
		s.closeGossip()
		return nil, err
	}
	s.loop = &aggregator.Loop{
		Core:        s.core,
		Mailbox:     s.mailbox,
		Adapter:     s.pool,
		Clock:       s.clock,
		Stop:        s.stop,
		NewBalancer: func() (*balance.Balancer, error) { return balance.New(s.balancerSettings) },
	}
	s.newFrontend()
	return s, nil
}

// platformLimits returns the core's limits from the platform's configuration.
func platformLimits(deployment settings.Deployment) aggregator.Limits {
	limits := aggregator.Limits{
		ClassNames:     deployment.Classes,
		MaxOpen:        deployment.MaxOpen,
		MaxCallParts:   deployment.BalancerSettings.MaxCallParts,
		RetryAfter:     deployment.MaxRetryAfter,
		DeadlineMargin: 4 * deployment.BalancerSettings.Tick,
	}
	for _, class := range deployment.BalancerSettings.Classes {
		limits.FollowUpParts = append(limits.FollowUpParts, class.FollowUpParts)
		window := time.Duration(0)
		if class.Idempotency == balance.KeyedIdempotent {
			window = class.DedupWindow
		}
		limits.DedupWindows = append(limits.DedupWindows, window)
	}
	return limits
}

// openGossip connects the core to the other instances, if the configuration lists them. A failure is only logged, as an
// instance can serve without gossip.
func (s *platformServer) openGossip() {
	balancerSettings := s.node.Deployment.BalancerSettings
	if !balancerSettings.PeerMessages || s.node.PeerListen == "" || s.node.PeerBroadcast == "" {
		return
	}
	transport, err := gossip.Open(gossip.Options{
		Listen:    s.node.PeerListen,
		Broadcast: s.node.PeerBroadcast,
		Peers:     s.node.Peers,
		OwnIndex:  s.node.Deployment.InstanceIndex,
		Receive:   func(datagram []byte) { s.mailbox.PutDeferred(aggregator.GossipReceived{Payload: datagram}) },
	})
	if err != nil {
		logf("gossip disabled: %v", err)
		return
	}
	s.gossip, s.core.Gossip = transport, transport
	if balancerSettings.GossipEnabled() {
		objective := shortestObjective(balancerSettings.Classes)
		s.core.Outliers = outlier.New(
			outlier.PlatformConfig(objective, balancerSettings.Zone, balancerSettings.Instances))
	}
}

func (s *platformServer) closeGossip() {
	if s.gossip != nil {
		s.gossip.Close()
	}
}

// newWatcher creates the discovery watcher and posts the initial endpoint list to the core.
func (s *platformServer) newWatcher() error {
	deployment := s.node.Deployment
	s.watcher = &discovery.Watcher{
		Addr:   s.node.Discovery,
		Zones:  deployment.Zones,
		Put:    s.mailbox.Put,
		Log:    logf,
		Random: rand.New(rand.NewPCG(s.node.Seed, 1)).Float64,
	}
	// Without ListOnRequest discovery is an agent on this machine that answers at once, so its load need not be limited
	// by the fleet size.
	if deployment.BalancerSettings.ListOnRequest {
		s.watcher.FleetSize = deployment.BalancerSettings.Instances
	}
	if len(s.node.InitialEndpoints) == 0 {
		return nil
	}
	version, endpoints, err := discovery.Parse(s.node.InitialEndpoints, deployment.Zones)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	endpoints.Kind = balance.ListStale
	s.watcher.Version = version
	s.mailbox.Put(endpoints)
	return nil
}

// countersText formats the counters for GET /counters and for the log at exit. It runs on the loop, or after the loop
// has ended.
func (s *platformServer) countersText() string {
	stats := s.pool.Stats
	text := fmt.Sprintf("%v; leaf connections: dialed %d, refused %d, broken %d, spoilt %d, late answers %d; "+
		"front: %+v",
		s.core.Counters, stats.Dials, stats.DialsFailed, stats.Broken, stats.Corrupt, stats.LateAnswers,
		s.frontend.Counters())
	if outliers := s.core.Outliers; outliers != nil {
		text += fmt.Sprintf("; servers that lose parts: %d, remarks on them heard %d",
			outliers.EjectedCount(), outliers.ObservationsReceived)
	}
	return text + clientMemoryText(s.memory)
}

// start opens the control address and starts the loop, which shutdown stops. It also listens for clients, unless
// another process of this instance already does: then this one starts to listen only when it is ready, so that it
// accepts no connection that it cannot serve yet.
func (s *platformServer) start() error {
	if err := s.operators.listen(); err != nil {
		return err
	}
	go func() {
		defer close(s.loopDone)
		s.loop.Run()
	}()
	if tcp.Listeners(s.node.Listen) > 0 {
		logf("another process listens on %s: this one will once it is ready", s.node.Listen)
		return nil
	}
	return s.listen()
}

// listen listens for clients.
func (s *platformServer) listen() (err error) {
	if s.listener, err = tcp.ListenShared(s.node.Listen, s.limiter, s.frontend.Accept); err != nil {
		return err
	}
	logf("listen http %s", s.listener.Addr())
	return nil
}

// markReady opens the listener if needed, and reports readiness to clients and operators.
func (s *platformServer) markReady() error {
	if s.listener == nil {
		if err := s.listen(); err != nil {
			return err
		}
	}
	s.frontend.SetReady(true)
	s.operators.ready.Store(true)
	return nil
}

// serve runs until a termination signal or an error. The process becomes ready when discovery has answered, or after
// discoveryTimeout.
func (s *platformServer) serve(reloads, terminations <-chan os.Signal) error {
	discovered := make(chan struct{}, 1)
	// It ends when stop is closed. Shutdown does not wait for it, as a call to discovery may take long.
	go s.watcher.Run(s.stop, func() {
		select {
		case discovered <- struct{}{}:
		default:
		}
	})
	// Shutdown does not wait for this goroutine either: a reload may block on reading the file.
	go s.handleReloads(reloads)
	counterRequests := make(chan os.Signal, 1)
	signal.Notify(counterRequests, syscall.SIGUSR1)
	timeout := time.After(discoveryTimeout)
	for {
		select {
		case <-discovered:
			if err := s.markReady(); err != nil {
				return err
			}
		case <-timeout:
			if err := s.markReady(); err != nil {
				return err
			}
		case <-counterRequests:
			s.loop.Do(func() { logf("%s\n%s", s.countersText(), s.core.Trace()) })
		case <-terminations:
			return nil
		}
	}
}

// shutdown drains the server. Requests are still accepted for shutdownGrace. Then no connection is accepted, idle ones
// are closed, and the others are closed after their answers. For each connection it waits until the client has closed
// it, too, or until a timeout: an exit before that could reset the connection and lose an answer that the client has
// not read.
func (s *platformServer) shutdown() {
	s.frontend.SetReady(false)
	logf("shutting down")
	if s.listener != nil && tcp.Listeners(s.listener.Addr()) > 1 {
		s.handOverListener()
	}
	time.Sleep(shutdownGrace)
	s.limiter.StopAdmitting()
	s.frontend.Shutdown()
	for openQueries := 1; openQueries > 0 || s.frontend.OpenConns() > 0; {
		s.loop.Do(func() { openQueries = s.core.OpenQueries() })
		time.Sleep(drainPollInterval)
	}
	if s.listener != nil {
		s.listener.Close()
	}
	s.operators.close()
	close(s.stop)
	<-s.loopDone
	logf("%s", s.countersText())
}

// handOverListener leaves all new connections to the process that replaces this one. Requests on existing connections
// are still answered, and each connection is closed after its answer.
func (s *platformServer) handOverListener() {
	logf("another process listens on %s: it has the new connections", s.listener.Addr())
	s.listener.StopAccepting()
	s.frontend.EndKeepAlive()
}

// memoryLimit returns the runtime's soft memory limit in bytes: three quarters of the process's memory.
func memoryLimit(node config.Node) int64 { return int64(node.MemoryMB) << 20 * 3 / 4 }

// shortestObjective returns the shortest latency objective of the classes.
func shortestObjective(classes []balance.Class) time.Duration {
	byObjective := func(a, b balance.Class) int { return cmp.Compare(a.Objective, b.Objective) }
	return slices.MinFunc(classes, byObjective).Objective
}
