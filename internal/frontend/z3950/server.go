// Package z3950 is the Z39.50 frontend: a target (server) that serves searches, presents, deletions of result sets and
// database updates from a gateway. A protocol data unit is called a unit here.
package z3950

import (
	"cmp"
	"sync"
	"time"

	"rooktrestle/internal/control/eviction"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/z3950"
)

// Times holds the timeouts of associations.
type Times struct {
	Init   time.Duration // from the start of the connection until Init; 0: as Idle
	Idle   time.Duration // without activity; 0: not limited
	Recent time.Duration // an association whose result sets were used within it is not evicted
}

// Server is the Z39.50 target. All methods may be called from any goroutine.
type Server struct {
	Service *gateway.Service // not changed after New

	times Times
	now   func() time.Time

	mu        sync.Mutex // guards what follows; taken after an association's lock, never before it
	open      map[*association]bool
	evictable *eviction.Registry[*association]
	count     Counters
}

// New returns a target that serves service.
func New(service *gateway.Service, times Times, now func() time.Time) *Server {
	return &Server{
		Service:   service,
		times:     times,
		now:       now,
		open:      map[*association]bool{},
		evictable: eviction.New[*association](times.Recent),
	}
}

// Counters counts associations and units since the start. GET /counters prints it with its field names, which therefore
// stay as they are.
type Counters struct {
	Associations uint64 // that were opened
	Units        uint64 // that were decoded
	Bad          uint64 // units that could not be decoded or are not served
	Spared       uint64 // associations that were evicted
}

// Conn is the connection of an association. Its methods don't block on the network.
type Conn interface {
	Write(b []byte, done func(tcp.WriteResult))
	CloseGracefully()
	CloseAndWait()
	PeerClosed() bool
}

// Accept returns the handler of a new connection.
func (s *Server) Accept(conn *tcp.Conn) tcp.Handler { return s.Attach(conn) }

// Attach returns the handler of a new connection. The association owns the connection and closes it.
func (s *Server) Attach(conn Conn) tcp.Handler {
	a := &association{server: s, conn: conn, sets: map[string]*resultSet{}, messageSize: z3950.MaxPDU}
	s.mu.Lock()
	s.open[a] = true
	s.evictable.Set(a, eviction.Unused, s.now())
	s.count.Associations++
	s.mu.Unlock()
	a.mu.Lock()
	a.setTimer(cmp.Or(s.times.Init, s.times.Idle))
	a.mu.Unlock()
	return a
}

// Shutdown closes each association once its operation in flight is finished. It does not wait for them.
func (s *Server) Shutdown() {
	s.mu.Lock()
	var associations []*association
	for a := range s.open {
		associations = append(associations, a)
	}
	s.mu.Unlock()
	for _, a := range associations {
		a.shutDown()
	}
}

// OpenAssociations returns the number of open associations.
func (s *Server) OpenAssociations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// increment adds one to one of the server's counters.
func (s *Server) increment(counter *uint64) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
}

// forget drops a closed association.
func (s *Server) forget(a *association) {
	s.mu.Lock()
	delete(s.open, a)
	s.evictable.Remove(a)
	s.mu.Unlock()
}
