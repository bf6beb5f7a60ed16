package httpserve

import (
	"cmp"
	"container/list"
	"fmt"
	"sync"
	"time"

	"rooktrestle/internal/net/tcp"
)

// Timeouts of a connection.
type Timeouts struct {
	// FirstRequest is from the connection's start until its first request is complete; 0: as Idle and ReadRequest say.
	FirstRequest time.Duration
	// Idle is between requests; 0: no limit.
	Idle time.Duration
	// ReadRequest is from the first byte of a request until it is complete; 0: no limit.
	ReadRequest time.Duration
	// EvictableAfter is how long a connection is idle before it may be closed in favour of another.
	EvictableAfter time.Duration
}

// Counters count connections and requests since the server's start.
type Counters struct {
	Connections        uint64 // accepted
	Requests           uint64 // passed to the handler
	BadRequests        uint64 // answered with a status from 400 to 499
	Evicted            uint64 // idle connections closed in favour of others
	Panics             uint64 // of the handler
	RejectedAtShutdown uint64 // requests answered with 503, as the server was shutting down
}

// String is the form in which GET /counters shows them. Operators' scripts read its names, which stay as they are.
func (c Counters) String() string {
	return fmt.Sprintf("{Conns:%d Requests:%d Bad:%d Spared:%d Panics:%d Late:%d}",
		c.Connections, c.Requests, c.BadRequests, c.Evicted, c.Panics, c.RejectedAtShutdown)
}

// Server serves connections. Its methods may be called by any goroutine.
type Server struct {
	// MaxKeepAlive is how many connections may be kept alive between requests; 0: no limit. With more, a response ends its
	// connection, and those idle for EvictableAfter are closed. Guards clients that send one request and keep their
	// connection against running out of them, and the limit on sockets. Set it before the first connection.
	MaxKeepAlive int

	handle   func(*Exchange)
	timeouts Timeouts
	now      func() time.Time

	mu       sync.Mutex
	leaving  bool // every response ends its connection
	closing  bool // every response ends its connection, and no request is passed on any more
	conns    map[*serverConn]bool
	unused   list.List // of *serverConn without a complete request so far, oldest first
	idle     list.List // of *serverConn between requests, the one idle longest first
	counters Counters
}

// New returns a Server that passes each request to handle, which responds to it then or later. handle is called on the
// goroutine of the connection, or of whoever responded to the request before it, and should not block. A panic in it is
// answered with 500. now is the clock.
func New(timeouts Timeouts, now func() time.Time, handle func(*Exchange)) *Server {
	return &Server{handle: handle, timeouts: timeouts, now: now, conns: map[*serverConn]bool{}}
}

// EndKeepAlive lets every response from now on end its connection: clients open their next ones elsewhere.
func (s *Server) EndKeepAlive() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
}

// Shutdown ends the server gracefully, without waiting: connections without a request in flight end, each later response
// ends its connection, and no request is passed on any more. One of which a part has come, or that comes on a connection
// that was accepted just now, is rejected with 503; the client may send it again, as nothing was done for it. Once
// OpenConns is 0, all connections have ended.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.closing = true
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.shutdown()
	}
}

// OpenConns returns the number of connections that have not ended.
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

// count adds one to a counter of the server's.
func (s *Server) count(counter *uint64) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
}

// Conn is a connection as the server uses it; *tcp.Conn is one.
type Conn interface {
	Write(b []byte, done func(tcp.WriteResult))
	CloseGracefully()
	Close(cause error)
	CloseAndWait()
	PeerClosed() bool
}

// Accept returns the handler of a new connection, for tcp.Listen.
func (s *Server) Accept(conn *tcp.Conn) tcp.Handler { return s.Attach(conn) }

// Attach returns the handler of a new connection.
func (s *Server) Attach(conn Conn) tcp.Handler {
	c := &serverConn{server: s, conn: conn}
	c.mu.Lock()
	c.startTimer(cmp.Or(s.timeouts.FirstRequest, s.timeouts.Idle))
	c.mu.Unlock()
	s.mu.Lock()
	s.conns[c] = true
	s.counters.Connections++
	c.enlist(&s.unused)
	overloaded, closing := s.overloaded(), s.closing
	s.mu.Unlock()
	if overloaded {
		s.EvictIdle(false)
	}
	if closing { // it was admitted before the shutdown, which did not see it
		c.shutdown()
	}
	return c
}

// endsConnection says whether the response to an exchange is the last on its connection.
func (s *Server) endsConnection(x *Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.Close || s.leaving || s.closing || s.overloaded()
}
