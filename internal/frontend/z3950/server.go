// Package z3950 is the Z39.50 frontend: a target (server) that serves searches, presents, deletions of result sets and
// database updates on the databases of a gateway.
package z3950

import (
	"cmp"
	"sync"
	"time"

	"rooktrestle/internal/control/eviction"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/z3950"
)

// Times contains the timeouts of associations.
type Times struct {
	Init   time.Duration // from connection start to Init; 0: same as Idle
	Idle   time.Duration // without activity; 0: unlimited
	Recent time.Duration // after use of its result sets, an association is not evicted for this long
}

// Server is the Z39.50 target. All methods may be called from any goroutine.
type Server struct {
	Service *gateway.Service // not changed after New
	// Memory is the budget of the memory that associations hold; nil: no limit. Set it before the first association.
	Memory *membudget.Budget

	times Times
	now   func() time.Time

	mu        sync.Mutex // guards the fields below; lock order: an association's mu before this one
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

// Counters counts associations and PDUs since the start. GET /counters prints it with its field names, which are
// therefore part of the operators' interface.
type Counters struct {
	Associations uint64 // opened
	Units        uint64 // PDUs decoded
	Bad          uint64 // PDUs that could not be decoded or are not supported
	Spared       uint64 // associations evicted
}

// Conn is the connection of an association. Its methods don't block on the network.
type Conn interface {
	Write(b []byte, done func(tcp.WriteResult))
	CloseGracefully()
	CloseAndWait()
	Close(cause error)
	PeerClosed() bool
}

// Accept returns the handler for a new TCP connection.
func (s *Server) Accept(conn *tcp.Conn) tcp.Handler { return s.Attach(conn) }

// Attach returns the handler for a new connection: an association that owns the connection and closes it.
func (s *Server) Attach(conn Conn) tcp.Handler {
	a := &association{server: s, conn: conn, resultSets: map[string]*resultSet{}, messageSize: z3950.MaxPDU}
	s.mu.Lock()
	s.open[a] = true
	s.evictable.Set(a, eviction.Unused, s.now())
	s.count.Associations++
	s.mu.Unlock()
	a.mu.Lock()
	a.account = s.Memory.Open(associationBytes, a.reclaim)
	a.setIdleTimer(cmp.Or(s.times.Init, s.times.Idle))
	a.mu.Unlock()
	return a
}

// Shutdown closes each association as soon as it has no operation in flight. It returns without waiting for them.
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

// increment adds one to a counter in count.
func (s *Server) increment(counter *uint64) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
}

// remove removes a closed association from the server's state.
func (s *Server) remove(a *association) {
	s.mu.Lock()
	delete(s.open, a)
	s.evictable.Remove(a)
	s.mu.Unlock()
}
