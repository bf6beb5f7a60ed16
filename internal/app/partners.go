package app

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/app/background"
	"rooktrestle/internal/backend/serialconn"
	sruback "rooktrestle/internal/backend/sru"
	zback "rooktrestle/internal/backend/z3950"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/shardmap"
	fronthealth "rooktrestle/internal/frontend/health"
	zfront "rooktrestle/internal/frontend/z3950"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/net/tcp"
)

// drainTimeout is the longest time that a shutdown waits for open queries and connections.
const drainTimeout = 30 * time.Second

// PartnersDeployment is a running aggregator that serves SRU and Z39.50. Its methods may be called from any goroutine;
// Stop must be called once.
type PartnersDeployment struct {
	conf    *config.Partners
	log     *slog.Logger
	clock   aggregator.Clock
	mailbox *aggregator.Mailbox
	core    *aggregator.Core
	loop    *aggregator.Loop
	pool    *serialconn.Pool

	healthTracker *healthTracker
	shardMaps     *shardMaps // nil: each server's shards are determined by its cell
	readiness     *readinessPublisher
	reporter      *fronthealth.Responder // answers checks of the aggregator itself
	checks        *background.Runner     // health checks of the servers

	memory    *membudget.Budget // of what clients of SRU and Z39.50 hold
	sru       *httpserve.Server
	z3950     *zfront.Server
	health    *httpserve.Server
	listeners map[string]*tcp.Server // by protocol

	stop           chan struct{} // closed to end the goroutines
	loopDone       chan struct{}
	checksDone     chan struct{}
	exclusionsDone chan struct{}
}

// StartPartners builds a deployment from a validated configuration and starts it; the caller must call Stop. seed seeds
// all its random choices.
func StartPartners(conf *config.Partners, seed uint64, log *slog.Logger) (*PartnersDeployment, error) {
	p := &PartnersDeployment{
		conf:           conf,
		log:            log,
		clock:          aggregator.SystemClock{},
		mailbox:        aggregator.NewMailbox(),
		listeners:      map[string]*tcp.Server{},
		stop:           make(chan struct{}),
		loopDone:       make(chan struct{}),
		checksDone:     make(chan struct{}),
		exclusionsDone: make(chan struct{}),
	}
	if err := p.buildLoop(conf.BalancerSettings(seed)); err != nil {
		return nil, err
	}
	if err := p.buildChecks(seed); err != nil {
		return nil, err
	}
	if err := p.listen(); err != nil {
		p.closeListeners()
		return nil, err
	}
	p.run()
	return p, nil
}

// buildLoop creates the core with its connections, server health and readiness, and the loop that drives them.
func (p *PartnersDeployment) buildLoop(settings balance.Settings) error {
	newBalancer := func() (*balance.Balancer, error) { return balance.New(settings) }
	balancer, err := newBalancer()
	if err != nil {
		return err
	}
	limits := p.conf.Limits
	p.pool = serialconn.NewPool(serialconn.Limits{
		ConnectTimeout: limits.Connect.Duration,
		IdleTimeout:    limits.Idle.Duration,
		MaxConnections: max(1, limits.Sockets/2-p.conf.Checks.MaxConcurrent),
	}, p.mailbox, tcp.Dial, codecs(p.conf))
	now := p.clock.Now()
	p.core = aggregator.NewCore(balancer, p.pool, partnerLimits(p.conf, settings.Tick), now)
	p.pool.SetDirectory(p.core)
	servers := endpoints(p.conf)
	if p.healthTracker, err = newHealthTracker(p.conf, servers, now, p.mailbox, p.log); err != nil {
		return err
	}
	p.core.Observer = p.healthTracker
	if p.conf.ShardMap.Enabled() {
		if p.shardMaps, err = newShardMaps(p.conf, p.healthTracker, p.mailbox, p.log); err != nil {
			return err
		}
		p.core.Resharding = p.shardMaps.resharding()
	}
	p.mailbox.Put(aggregator.EndpointsChanged{Kind: balance.ListFull, Servers: servers})
	for _, event := range p.healthTracker.evaluate(now) {
		p.mailbox.Put(event)
	}
	p.reporter = &fronthealth.Responder{
		Now:     p.clock.Now,
		Wait:    p.conf.Listen.AgentWait.Duration,
		Servers: p.serversJSON,
		Metrics: p.CountersText,
	}
	p.readiness = newReadinessPublisher(p.conf, p.core, p.healthTracker, p.reporter)
	p.loop = &aggregator.Loop{
		Core:        p.core,
		Mailbox:     p.mailbox,
		Adapter:     adapters{p.pool, p.healthTracker, p.readiness},
		Clock:       p.clock,
		Stop:        p.stop,
		NewBalancer: newBalancer,
	}
	return nil
}

// partnerLimits returns the core's limits from an operator's file.
func partnerLimits(conf *config.Partners, tick time.Duration) aggregator.Limits {
	limits := aggregator.Limits{MaxOpen: conf.Limits.MaxOpen, RetryAfter: time.Second, DeadlineMargin: 4 * tick}
	for _, class := range conf.Classes {
		limits.FollowUpParts = append(limits.FollowUpParts, class.FollowUpParts)
		limits.NonIdempotent = append(limits.NonIdempotent, class.NonIdempotent)
	}
	return limits
}

// endpoints returns the operator's servers as an endpoint list.
func endpoints(conf *config.Partners) (list []aggregator.Server) {
	for _, server := range conf.Servers {
		list = append(list, aggregator.Server{
			ID:     balance.Replica(server.ID),
			Addr:   server.Addr,
			Zone:   server.Zone,
			Cell:   server.Cell,
			Weight: 1,
		})
	}
	return list
}

// codecs returns the protocol codec of each server.
func codecs(conf *config.Partners) func(balance.Replica) serialconn.Codec {
	all := map[balance.Replica]serialconn.Codec{}
	for _, server := range conf.Servers {
		database := func(shard int, epoch shardmap.Epoch) string {
			return strings.NewReplacer("%d", fmt.Sprint(shard), "%e", fmt.Sprint(epoch)).Replace(server.Database)
		}
		if server.Protocol == config.SRU {
			all[balance.Replica(server.ID)] = &sruback.Client{Host: server.Addr, Database: database}
		} else {
			all[balance.Replica(server.ID)] = &zback.Client{Database: database}
		}
	}
	return func(id balance.Replica) serialconn.Codec { return all[id] }
}

// buildChecks schedules the health checks of all servers.
func (p *PartnersDeployment) buildChecks(seed uint64) (err error) {
	checks := p.conf.Checks
	p.checks, err = background.New(scheduler.Budget{
		StartsPerSecond: checks.MaxStartsPerSecond,
		Burst:           max(8, checks.MaxConcurrent),
		MaxRunning:      checks.MaxConcurrent,
		Jitter:          checks.Jitter,
	}, seed, p.clock)
	if err != nil {
		return err
	}
	for _, server := range p.conf.Servers {
		for _, check := range checksOf(p.conf, server) {
			profile := check.Profile
			task := scheduler.Task{
				Priority:     scheduler.Normal,
				Interval:     profile.Interval.Duration,
				FastInterval: profile.FastInterval.Duration,
				FastRuns:     profile.FastChecks,
				SlowInterval: profile.DownInterval.Duration,
			}
			p.checks.Add(task, profile.Interval.Duration/4, p.checkJob(health.ID(server.ID), check))
		}
	}
	return nil
}

// checkJob returns the job that runs a check and posts its result. It needs no lock for previous, as the runner runs a
// job at most once at a time.
func (p *PartnersDeployment) checkJob(server health.ID, check serverCheck) background.Job {
	previous := health.CheckResult{}
	return func() (scheduler.Result, bool) {
		result := check.Run()
		p.mailbox.Put(checkCompleted{server: server, source: check.source, result: result})
		current := result.CheckResult
		outcome := scheduler.Steady
		switch {
		case current.Failed != previous.Failed || current.Admin != previous.Admin || current.Oper != previous.Oper:
			outcome = scheduler.Changed
		case current.Failed || current.Oper == health.Down:
			outcome = scheduler.Down
		}
		previous = current
		return outcome, result.TimedOut
	}
}

// run starts the goroutines. Stop waits for them.
func (p *PartnersDeployment) run() {
	go func() {
		defer close(p.loopDone)
		p.loop.Run()
	}()
	if p.shardMaps != nil {
		p.shardMaps.start(p.stop)
	}
	go func() {
		defer close(p.checksDone)
		p.checks.Run(p.stop)
	}()
	go func() {
		defer close(p.exclusionsDone)
		p.healthTracker.exclusions.run(p.stop)
	}()
}

// Stop drains the deployment and stops it. Readiness reports draining at once, while queries are still accepted for the
// grace period. Open queries and connections then have drainTimeout to complete, after which all goroutines end.
func (p *PartnersDeployment) Stop(grace time.Duration) {
	p.loop.Do(func() { p.readiness.startDraining(p.clock.Now()) })
	time.Sleep(grace)
	p.sru.Shutdown()
	p.health.Shutdown()
	p.z3950.Shutdown()
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(drainPollInterval) {
		if p.drained() {
			break
		}
	}
	p.closeListeners()
	close(p.stop)
	<-p.loopDone
	<-p.checksDone
	<-p.exclusionsDone
	if p.shardMaps != nil {
		p.shardMaps.wait()
	}
}

// drained reports whether no query and no client connection is open.
func (p *PartnersDeployment) drained() bool {
	openQueries := 0
	p.loop.Do(func() { openQueries = p.core.OpenQueries() })
	return openQueries == 0 && p.sru.OpenConns() == 0 && p.z3950.OpenAssociations() == 0
}
