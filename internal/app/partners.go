package app

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
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
	srufront "rooktrestle/internal/frontend/sru"
	zfront "rooktrestle/internal/frontend/z3950"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
)

const (
	associationIdle = 5 * time.Minute
	associationInit = 10 * time.Second // for Init, from the start
	setsRecent      = time.Minute      // an association whose result sets were used since makes room for nobody
	drainMost       = 30 * time.Second // the longest that a shutdown waits for clients to end
)

// codecs are the servers' protocols.
func codecs(conf *config.Partners) func(balance.Replica) serialconn.Codec {
	all := map[balance.Replica]serialconn.Codec{}
	for _, s := range conf.Servers {
		database := func(shard int, epoch shardmap.Epoch) string {
			return strings.NewReplacer("%d", fmt.Sprint(shard), "%e", fmt.Sprint(epoch)).Replace(s.Database)
		}
		if s.Protocol == config.SRU {
			all[balance.Replica(s.ID)] = &sruback.Client{Host: s.Addr, Database: database}
		} else {
			all[balance.Replica(s.ID)] = &zback.Client{Database: database}
		}
	}
	return func(id balance.Replica) serialconn.Codec { return all[id] }
}

// servers are those listed by the operator.
func servers(conf *config.Partners) (list []aggregator.Server) {
	for _, s := range conf.Servers {
		list = append(list, aggregator.Server{ID: balance.Replica(s.ID), Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Weight: 1})
	}
	return list
}

// PartnersDeployment is a running installation of the second front.
type PartnersDeployment struct {
	conf     *config.Partners
	log      *slog.Logger
	clock    aggregator.Clock
	core     *aggregator.Core
	loop     *aggregator.Loop
	pool     *serialconn.Pool
	evidence *evidence
	word     *word
	teller   *fronthealth.Teller
	runner   *background.Runner
	maps     *maps // nil: blocks are fixed
	web      *httpserve.Server
	checks   *httpserve.Server
	target   *zfront.Server
	gates    map[string]*tcp.ConnLimiter
	servers  map[string]*tcp.Server
	stop     chan struct{}
	over     chan struct{} // the loop has ended
	idle     chan struct{} // background work has ended
}

// StartPartners builds an installation from a checked configuration and starts it. seed is that of its chance.
func StartPartners(conf *config.Partners, seed uint64, log *slog.Logger) (*PartnersDeployment, error) {
	set := conf.Decisions(seed)
	fresh := func() (*balance.Balancer, error) { return balance.New(set) }
	decide, err := fresh()
	if err != nil {
		return nil, err
	}
	p := &PartnersDeployment{conf: conf, log: log, clock: aggregator.SystemClock{}, stop: make(chan struct{}), over: make(chan struct{}),
		idle: make(chan struct{}), gates: map[string]*tcp.ConnLimiter{}, servers: map[string]*tcp.Server{}}
	box := aggregator.NewMailbox()
	p.pool = serialconn.NewPool(serialconn.Limits{
		ConnectTimeout: conf.Limits.Connect.Duration, IdleTimeout: conf.Limits.Idle.Duration, MaxConnections: max(1, conf.Limits.Sockets/2-conf.Checks.MaxConcurrent),
	}, box, tcp.Dial, codecs(conf))
	lim := aggregator.Limits{MaxOpen: conf.Limits.MaxOpen, RetryAfter: time.Second, DeadlineMargin: 4 * set.Tick}
	for _, c := range conf.Classes {
		lim.FollowUpParts = append(lim.FollowUpParts, c.FollowUpParts)
		lim.NonIdempotent = append(lim.NonIdempotent, c.NonIdempotent)
	}
	now := p.clock.Now()
	p.core = aggregator.NewCore(decide, p.pool, lim, now)
	p.pool.SetDirectory(p.core)
	list := servers(conf)
	if p.evidence, err = newEvidence(conf, list, now, box, log); err != nil {
		return nil, err
	}
	p.core.Observer = p.evidence
	if conf.ShardMap.Enabled() {
		if p.maps, err = newMaps(conf, p.evidence, box, log); err != nil {
			return nil, err
		}
		p.core.Resharding = p.maps.reshape()
	}
	box.Put(aggregator.EndpointsChanged{Kind: balance.ListFull, Servers: list})
	p.teller = &fronthealth.Teller{Now: p.clock.Now, Wait: conf.Listen.AgentWait.Duration, Servers: p.serversJSON, Metrics: p.CountersText}
	p.word = newWord(conf, p.core, p.evidence, p.teller)
	p.loop = &aggregator.Loop{Core: p.core, Mailbox: box, Adapter: adapters{p.pool, p.evidence, p.word}, Clock: p.clock, Stop: p.stop, NewBalancer: fresh}
	if p.runner, err = background.New(scheduler.Budget{
		StartsPerSecond: conf.Checks.MaxStartsPerSecond, Burst: max(8, conf.Checks.MaxConcurrent), MaxRunning: conf.Checks.MaxConcurrent, Jitter: conf.Checks.Jitter,
	}, seed, p.clock); err != nil {
		return nil, err
	}
	p.addChecks(box)
	if err := p.listen(box); err != nil {
		p.closeListeners()
		return nil, err
	}
	go func() { p.loop.Run(); close(p.over) }()
	if p.maps != nil {
		p.maps.run(p.stop)
	}
	go func() { p.runner.Run(p.stop); close(p.idle) }()
	return p, nil
}

// addChecks gives each check of each server to the background.
func (p *PartnersDeployment) addChecks(box aggregator.Poster) {
	for _, s := range p.conf.Servers {
		for _, one := range checksOf(p.conf, s) {
			f := one.Profile
			id, last := health.ID(s.ID), health.CheckResult{}
			p.runner.Add(scheduler.Task{Priority: scheduler.Normal, Interval: f.Interval.Duration, FastInterval: f.FastInterval.Duration, FastRuns: f.FastChecks,
				SlowInterval: f.DownInterval.Duration}, f.Interval.Duration/4, func() (scheduler.Result, bool) {
				res := one.Run()
				box.Put(checked{server: id, source: one.source, result: res})
				pace := scheduler.Steady
				now := res.CheckResult
				switch {
				case now.Failed != last.Failed || now.Admin != last.Admin || now.Oper != last.Oper:
					pace = scheduler.Changed
				case now.Failed || now.Oper == health.Down:
					pace = scheduler.Down
				}
				last = now
				return pace, res.TimedOut
			})
		}
	}
}

// listen opens the listeners. Each has sockets of its own and makes room on its own: whatever one of them suffers,
// the others go on.
func (p *PartnersDeployment) listen(box *aggregator.Mailbox) error {
	conf := p.conf
	service := &gateway.Service{Config: conf, Post: box.Put, Now: p.clock.Now}
	times := httpserve.Timeouts{FirstRequest: 10 * time.Second, Idle: 2 * time.Minute, ReadRequest: 10 * time.Second, EvictableAfter: spareClient}
	p.web = httpserve.New(times, p.clock.Now, (&srufront.Server{Service: service}).Handle)
	short := httpserve.Timeouts{FirstRequest: 2 * time.Second, Idle: time.Minute, ReadRequest: 2 * time.Second, EvictableAfter: spareClient}
	p.checks = httpserve.New(short, p.clock.Now, p.teller.HTTP)
	p.target = zfront.New(service, zfront.Times{Init: associationInit, Idle: associationIdle, Recent: setsRecent}, p.clock.Now)
	for _, l := range []struct {
		what, addr string
		share      int
		room       func() bool
		accept     func(*tcp.Conn) tcp.Handler
	}{
		{"sru", conf.Listen.SRU, conf.Listen.Share.SRU, func() bool { return p.web.EvictIdle(true) }, p.web.Accept},
		{"z3950", conf.Listen.Z3950, conf.Listen.Share.Z3950, p.target.Room, p.target.Accept},
		{"health", conf.Listen.HealthConfig, conf.Listen.Share.Health, func() bool { return p.checks.EvictIdle(true) }, p.checks.Accept},
		{"agent", conf.Listen.Agent, conf.Listen.Share.Agent, nil, p.teller.Agent},
	} {
		if l.addr == "" {
			continue
		}
		gate := &tcp.ConnLimiter{Max: l.share, Evict: l.room}
		server, err := tcp.Listen(l.addr, gate, l.accept)
		if err != nil {
			return fmt.Errorf("%s: %w", l.what, err)
		}
		p.log.Info("listen", "what", l.what, "addr", server.Addr(), "sockets", l.share)
		p.gates[l.what], p.servers[l.what] = gate, server
	}
	return nil
}

func (p *PartnersDeployment) closeListeners() {
	for _, s := range p.servers {
		s.Close()
	}
}

// Addr is where a front listens: sru, z3950, health or agent.
func (p *PartnersDeployment) Addr(what string) string {
	if s := p.servers[what]; s != nil {
		return s.Addr()
	}
	return ""
}

// Counters returns the core's counters.
func (p *PartnersDeployment) Counters() (c aggregator.Counters) {
	p.loop.Do(func() { c = p.core.Counters })
	return c
}

// CountersText is the counters as text.
func (p *PartnersDeployment) CountersText() (text string) {
	p.loop.Do(func() { text = p.counters() })
	return text
}

func (p *PartnersDeployment) counters() string {
	agent, web, late := p.teller.Counters()
	st := p.runner.Stats()
	return fmt.Sprintf("%v; servers: dialed %d, refused %d, broken %d, late answers %d; sru: %+v; z39.50: %+v; health asked: agent %d, http %d, "+
		"while late %d; checks: %d targets, %d begun, held back %d, late p50 %v p99 %v; conclusions changed %d%s",
		p.core.Counters, p.pool.Stats.Dials, p.pool.Stats.DialsFailed, p.pool.Stats.Broken, p.pool.Stats.LateAnswers, p.web.Counters(), p.target.Counters(),
		agent, web, late, st.Tasks, st.Starts, st.Delayed, st.StartDelayP50, st.StartDelayP99, p.evidence.changes, p.maps.counters())
}

// ServerHealth is what is known of one server.
type ServerHealth struct {
	ID              string        `json:"server"`
	State           string        `json:"state"`
	Usable          bool          `json:"usable"`
	EjectedClasses  uint64        `json:"shunned_classes,omitempty"`
	TrafficFraction float64       `json:"share"`
	MaxInFlight     int           `json:"most,omitempty"`
	Cause           string        `json:"cause,omitempty"`
	Facts           []health.Fact `json:"facts"`
}

func wordOn(t *health.Table, now time.Time, id string) ServerHealth {
	c, _ := t.Decision(health.ID(id))
	return ServerHealth{id, c.State.String(), c.Usable, c.EjectedClasses, c.TrafficFraction, c.MaxInFlight, c.Cause, t.Facts(now, health.ID(id))}
}

func (p *PartnersDeployment) serversJSON() (text []byte) {
	var all []ServerHealth
	p.loop.Do(func() {
		for _, s := range p.conf.Servers {
			all = append(all, wordOn(p.evidence.table, p.clock.Now(), s.ID))
		}
	})
	text, _ = json.MarshalIndent(all, "", "  ")
	return append(text, '\n')
}

// Stop ends the installation: late arrivals are served, then what is held, then clients' connections end.
func (p *PartnersDeployment) Stop(late time.Duration) {
	p.loop.Do(func() { p.word.drain(p.clock.Now()) })
	time.Sleep(late)
	p.web.Shutdown()
	p.checks.Shutdown()
	p.target.Shutdown()
	for end := time.Now().Add(drainMost); time.Now().Before(end); time.Sleep(flushed) {
		held := 0
		p.loop.Do(func() { held = p.core.OpenQueries() })
		if held == 0 && p.web.OpenConns() == 0 && p.target.Open() == 0 {
			break
		}
	}
	p.closeListeners()
	close(p.stop)
	<-p.over
	<-p.idle
	if p.maps != nil {
		p.maps.running.Wait()
	}
}

// ServePartners serves the operator's second front until it is told to end.
func ServePartners(path string, log *slog.Logger) error {
	renewed := make(chan os.Signal, 1)
	signal.Notify(renewed, syscall.SIGHUP) // one that nobody takes ends the program
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(conf.Limits.MemoryMB) << 20 * 3 / 4)
	signals, onRequest := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(onRequest, syscall.SIGUSR1)
	p, err := StartPartners(conf, rand.Uint64(), log)
	if err != nil {
		return err
	}
	for told := false; !told; {
		select {
		case <-renewed:
			if p.maps != nil {
				p.maps.ask()
			}
			if err := CheckPartners(io.Discard, path); err != nil {
				log.Error("the new configuration is bad, the old one stays", "err", err.Error())
			} else {
				log.Info("the new configuration is good and waits for the next start")
			}
		case <-onRequest:
			log.Info("counters", "report", p.CountersText())
		case <-signals:
			told = true
		}
	}
	log.Info("told to end")
	p.Stop(lateArrivals)
	log.Info("counters", "report", p.counters()) // nothing runs any more
	return nil
}
