package app

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/back/library"
	sruback "rooktrestle/internal/back/sru"
	zback "rooktrestle/internal/back/z3950"
	"rooktrestle/internal/config"
	srufront "rooktrestle/internal/front/sru"
	zfront "rooktrestle/internal/front/z3950"
	"rooktrestle/internal/health"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/partner"
)

const (
	associationIdle = 5 * time.Minute
	drainMost       = 30 * time.Second // the longest that a shutdown waits for clients to end
)

// codecs are the servers' protocols.
func codecs(conf *config.Partners) func(balance.Replica) library.Codec {
	all := map[balance.Replica]library.Codec{}
	for _, s := range conf.Servers {
		database := func(shard int) string { return strings.ReplaceAll(s.Database, "%d", fmt.Sprint(shard)) }
		if s.Protocol == config.SRU {
			all[balance.Replica(s.ID)] = &sruback.Client{Host: s.Addr, Database: database}
		} else {
			all[balance.Replica(s.ID)] = &zback.Client{Database: database}
		}
	}
	return func(id balance.Replica) library.Codec { return all[id] }
}

// targets are the servers as listed by the operator, with the way to check each.
func targets(conf *config.Partners) (list []health.Target) {
	for _, s := range conf.Servers {
		list = append(list, health.Target{
			Server: mixer.Server{ID: balance.Replica(s.ID), Addr: s.Addr, Zone: s.Zone, Cell: s.Cell, Weight: 1},
			Agent:  s.Agent, Path: s.Health,
		})
	}
	return list
}

// ServePartners serves the operator's second front until it is told to end.
func ServePartners(path string) error {
	renewed := make(chan os.Signal, 1)
	signal.Notify(renewed, syscall.SIGHUP) // one that nobody takes ends the program
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(conf.Limits.MemoryMB) << 20 * 3 / 4)
	set := conf.Decisions(rand.Uint64())
	fresh := func() (*balance.Balancer, error) { return balance.New(set) }
	decide, err := fresh()
	if err != nil {
		return err
	}
	clock, box, stop := mixer.SystemClock{}, mixer.NewMailbox(), make(chan struct{})
	pool := library.NewPool(library.Limits{
		Connect: conf.Limits.Connect.Duration, Idle: conf.Limits.Idle.Duration, Sockets: conf.Limits.Sockets / 2,
	}, box, tcp.Dial, codecs(conf))
	lim := mixer.Limits{MaxOpen: conf.Limits.MaxOpen, ComeBack: time.Second, Ahead: 4 * set.Tick}
	for _, c := range conf.Classes {
		lim.SecondStep = append(lim.SecondStep, c.SecondStep)
	}
	core := mixer.NewCore(decide, pool, lim, clock.Now())
	pool.Use(core)
	list := targets(conf)
	first := mixer.Members{Kind: balance.ListFull}
	for _, t := range list {
		first.List = append(first.List, t.Server)
	}
	box.Put(first)
	loop := &mixer.Loop{Core: core, Box: box, Adapter: pool, Clock: clock, Stop: stop, Fresh: fresh}
	loopOver := make(chan struct{})

	service := &partner.Service{Conf: conf, Put: box.Put, Now: clock.Now}
	own := &health.Own{}
	own.Set(health.Report{Admin: health.Up, State: health.Up, Weight: 1})
	times := httpserve.Timeouts{First: 10 * time.Second, Idle: 2 * time.Minute, Read: 10 * time.Second, Spare: spareClient}
	web := httpserve.New(times, clock.Now, (&srufront.Server{Service: service}).Handle)
	checks := httpserve.New(times, clock.Now, own.HTTP)
	target := &zfront.Server{Service: service, Idle: associationIdle}

	gate := &tcp.Gate{Most: max(1, conf.Limits.Sockets/2-otherSockets), Room: func() bool { return web.Room(true) || checks.Room(true) }}
	var servers []*tcp.Server
	for _, l := range []struct {
		what, addr string
		accept     func(*tcp.Link) tcp.Handler
	}{
		{"sru", conf.Listen.SRU, web.Accept}, {"z3950", conf.Listen.Z3950, target.Accept},
		{"health", conf.Listen.Health, checks.Accept}, {"agent", conf.Listen.Agent, own.Agent},
	} {
		if l.addr == "" {
			continue
		}
		server, err := tcp.Listen(l.addr, gate, l.accept)
		if err != nil {
			return fmt.Errorf("%s: %w", l.what, err)
		}
		logf("listen %s %s", l.what, server.Addr())
		servers = append(servers, server)
	}
	signals, onRequest := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(onRequest, syscall.SIGUSR1)
	go func() { loop.Run(); close(loopOver) }()
	go health.Watch(stop, list, health.Rules{Fall: conf.Checks.Fall, Rise: conf.Checks.Rise},
		conf.Checks.Every.Duration, conf.Checks.Timeout.Duration, box.Put)

	report := func() {
		logf("%v; servers: dialed %d, refused %d, broken %d, late answers %d; sru: %+v; z39.50: %+v", core.Count,
			pool.Stats.Dials, pool.Stats.DialsFailed, pool.Stats.Broken, pool.Stats.Late, web.Counters(), target.Counters())
	}
	for told := false; !told; {
		select {
		case <-renewed:
			if err := CheckPartners(io.Discard, path); err != nil {
				logf("the new configuration is bad, the old one stays: %v", err)
			} else {
				logf("the new configuration is good and waits for the next start")
			}
		case <-onRequest:
			loop.Do(report)
		case <-signals:
			told = true
		}
	}
	logf("told to end")
	own.Set(health.Report{Admin: health.Drain, State: health.Up, Weight: -1, Why: "shutting down"})
	time.Sleep(lateArrivals)
	web.CloseIdle()
	checks.CloseIdle()
	target.Shutdown()
	for end := time.Now().Add(drainMost); time.Now().Before(end); time.Sleep(flushed) {
		held := 0
		loop.Do(func() { held = core.Held() })
		if held == 0 && web.Open() == 0 && target.Open() == 0 {
			break
		}
	}
	for _, s := range servers {
		s.Close()
	}
	close(stop)
	<-loopOver
	report()
	return nil
}
