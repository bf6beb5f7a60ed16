package app

import (
	"fmt"
	"time"

	srufront "rooktrestle/internal/frontend/sru"
	zfront "rooktrestle/internal/frontend/z3950"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/net/tcp"
)

// Timeouts of Z39.50 associations.
const (
	associationInitTimeout = 10 * time.Second // from the connection to the Init request
	associationIdleTimeout = 5 * time.Minute
	// resultSetsRecent is the time within which an association that has used its result sets is not evicted for a new
	// one.
	resultSetsRecent = time.Minute
)

// sruTimeouts are the timeouts of SRU's HTTP connections.
var sruTimeouts = httpserve.Timeouts{
	FirstRequest:   10 * time.Second,
	Idle:           2 * time.Minute,
	ReadRequest:    10 * time.Second,
	EvictableAfter: evictableAfter,
}

// healthTimeouts are the timeouts of the health listener's HTTP connections.
var healthTimeouts = httpserve.Timeouts{
	FirstRequest:   2 * time.Second,
	Idle:           time.Minute,
	ReadRequest:    2 * time.Second,
	EvictableAfter: evictableAfter,
}

// agentAdmitTimeout is how long an agent-check waits for a free socket. Waiting suffices, without eviction, as every
// agent-check is short: it is answered at once, or after the time that it has to name a database.
const agentAdmitTimeout = 500 * time.Millisecond

// partnerListener is one listener of a deployment.
type partnerListener struct {
	protocol   string
	addr       string // empty: disabled
	maxSockets int
	evict      func() bool // closes a connection in favour of a new one; nil: never
	// admitTimeout is how long a new connection waits for a free socket; 0: it is rejected at once.
	admitTimeout time.Duration
	accept       func(*tcp.Conn) tcp.Handler
}

// buildFrontends builds the frontends and the budgets of their clients' memory.
func (p *PartnersDeployment) buildFrontends() {
	service := &gateway.Service{Config: p.conf, Post: p.mailbox.Put, Now: p.clock.Now}
	total := clientMemory(p.conf.Limits.MemoryMB)
	p.memory = membudget.New(total-total/healthMemoryDivisor, p.clock.Now)
	p.sru = httpserve.New(sruTimeouts, p.clock.Now, (&srufront.Server{Service: service}).Handle)
	p.sru.Memory = p.memory
	p.health = httpserve.New(healthTimeouts, p.clock.Now, p.reporter.HTTP)
	p.health.Memory = membudget.New(total/healthMemoryDivisor, p.clock.Now)
	associationTimes := zfront.Times{
		Init:   associationInitTimeout,
		Idle:   associationIdleTimeout,
		Recent: resultSetsRecent,
	}
	p.z3950 = zfront.New(service, associationTimes, p.clock.Now)
	p.z3950.Memory = p.memory
}

// listen builds the frontends and opens their listeners. Each listener has its own socket limit and evicts only its own
// connections, so that an overload of one of them does not affect the others.
func (p *PartnersDeployment) listen() error {
	p.buildFrontends()
	addrs := p.conf.Listen
	sockets := p.conf.Listen.SocketLimits
	for _, listener := range []partnerListener{
		{
			protocol:   "sru",
			addr:       addrs.SRU,
			maxSockets: sockets.SRU,
			evict:      func() bool { return p.sru.EvictIdle(true) },
			accept:     p.sru.Accept,
		},
		{
			protocol:   "z3950",
			addr:       addrs.Z3950,
			maxSockets: sockets.Z3950,
			evict:      p.z3950.EvictIdle,
			accept:     p.z3950.Accept,
		},
		{
			protocol:   "health",
			addr:       addrs.Health,
			maxSockets: sockets.Health,
			evict:      func() bool { return p.health.EvictIdle(true) },
			accept:     p.health.Accept,
		},
		{
			protocol:     "agent",
			addr:         addrs.Agent,
			maxSockets:   sockets.Agent,
			admitTimeout: agentAdmitTimeout,
			accept:       p.reporter.Agent,
		},
	} {
		if listener.addr == "" {
			continue
		}
		limiter := &tcp.ConnLimiter{
			Max:          listener.maxSockets,
			Evict:        listener.evict,
			AdmitTimeout: listener.admitTimeout,
		}
		server, err := tcp.Listen(listener.addr, limiter, listener.accept)
		if err != nil {
			return fmt.Errorf("%s: %w", listener.protocol, err)
		}
		p.log.Info("listening", "protocol", listener.protocol, "addr", server.Addr(), "sockets", listener.maxSockets)
		p.listeners[listener.protocol] = server
	}
	return nil
}

func (p *PartnersDeployment) closeListeners() {
	for _, listener := range p.listeners {
		listener.Close()
	}
}

// Addr returns the listen address of a protocol (sru, z3950, health or agent); empty: it is disabled.
func (p *PartnersDeployment) Addr(protocol string) string {
	if listener := p.listeners[protocol]; listener != nil {
		return listener.Addr()
	}
	return ""
}
