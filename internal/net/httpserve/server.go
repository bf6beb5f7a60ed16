package httpserve

import (
	"cmp"
	"container/list"
	"fmt"
	"sync"
	"time"

	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/net/tcp"
)

// Timeouts of a connection.
type Timeouts struct {
	// FirstRequest limits the time from the connection's start until its first request is complete; 0: Idle and
	// ReadRequest apply instead.
	FirstRequest time.Duration
	// Idle limits the time between requests; 0: no limit.
	Idle time.Duration
	// ReadRequest limits the time from the first byte of a request until it is complete; 0: no limit.
	ReadRequest time.Duration
	// EvictableAfter is how long a connection must be idle before it may be closed in favor of another.
	EvictableAfter time.Duration
}

// Counters count connections and requests since the server's start.
type Counters struct {
	Connections        uint64 // accepted
	Requests           uint64 // passed to the handler
	BadRequests        uint64 // responded to with a status from 400 to 499
	Evicted            uint64 // idle connections closed in favor of others
	Panics             uint64 // of the handler
	RejectedAtShutdown uint64 // requests rejected with 503 during the shutdown
	OverMemory         uint64 // requests rejected, complete or not, because clients held the memory that they may hold
}

// String formats the counters as GET /counters shows them. Operators' scripts match the names, so they must not change.
func (c Counters) String() string {
	return fmt.Sprintf("{Conns:%d Requests:%d Bad:%d Spared:%d Panics:%d Late:%d}",
		c.Connections, c.Requests, c.BadRequests, c.Evicted, c.Panics, c.RejectedAtShutdown)
}

// Server serves connections. Its methods may be called by any goroutine.
type Server struct {
	// MaxKeepAlive is how many connections may be kept alive between requests; 0: no limit. If more are open, each
	// response closes its connection, and a new connection evicts one that has been idle for EvictableAfter. This keeps
	// the process within its limit on sockets, and clients that send one request and keep the connection from running
	// out of connections. Set it before the first connection.
	MaxKeepAlive int

	// Memory is the budget of the memory that connections hold; nil: no limit. Set it before the first connection.
	Memory *membudget.Budget

	handle   func(*Exchange)
	timeouts Timeouts
	now      func() time.Time

	mu                sync.Mutex
	keepAliveDisabled bool // every response closes its connection
	shuttingDown      bool // every response closes its connection, and new requests are rejected
	conns             map[*serverConn]bool
	unused            list.List // of *serverConn that have not sent a complete request yet, oldest first
	idle              list.List // of *serverConn between requests, longest idle first
	counters          Counters
}

// New returns a Server that passes each request to handle, which responds to it immediately or later. handle is called
// in a turn of the connection, and should not block. If it panics, the response has status 500. now is the clock.
func New(timeouts Timeouts, now func() time.Time, handle func(*Exchange)) *Server {
	return &Server{handle: handle, timeouts: timeouts, now: now, conns: map[*serverConn]bool{}}
}

// EndKeepAlive makes every response from now on close its connection, so that clients open their next connections to
// other servers.
func (s *Server) EndKeepAlive() {
	s.mu.Lock()
	s.keepAliveDisabled = true
	s.mu.Unlock()
}

// Shutdown begins a graceful shutdown and does not wait for its end: connections without a request in flight are
// closed, each later response closes its connection, and no further request is passed to the handler. A request that
// has partly arrived, or that arrives on a connection that was just accepted, is rejected with 503; the client may
// retry it, as it had no effect. The shutdown is complete when OpenConns returns 0.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.shuttingDown = true
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.shutdown()
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// count adds one to a counter of the server.
func (s *Server) count(counter *uint64) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
}

// Conn is the part of a connection that the server uses; *tcp.Conn implements it.
type Conn interface {
	Write(b []byte, done func(tcp.WriteResult))
	CloseGracefully()
	Close(cause error)
	CloseAndWait()
	PeerClosed() bool
	InputPending() bool
	Wake()
}

// Accept returns the handler of a new connection, for tcp.Listen.
func (s *Server) Accept(conn *tcp.Conn) tcp.Handler { return s.Attach(conn) }

// Attach returns the handler of a new connection.
func (s *Server) Attach(conn Conn) tcp.Handler {
	c := &serverConn{server: s, conn: conn}
	c.mu.Lock()
	c.account = s.Memory.Open(ConnBytes, c.reclaim)
	c.startTimer(cmp.Or(s.timeouts.FirstRequest, s.timeouts.Idle))
	c.mu.Unlock()
	s.mu.Lock()
	s.conns[c] = true
	s.counters.Connections++
	c.moveToList(&s.unused)
	overloaded, shuttingDown := s.overloaded(), s.shuttingDown
	s.mu.Unlock()
	if overloaded {
		s.EvictIdle(false)
	}
	if shuttingDown { // it was admitted before Shutdown, which listed the connections before it was added
		c.shutdown()
	}
	return c
}

// endsConnection reports whether the response to an exchange is the last on its connection.
func (s *Server) endsConnection(x *Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.Close || s.keepAliveDisabled || s.shuttingDown || s.overloaded()
}
