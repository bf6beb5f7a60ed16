package replica

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults are the faults that a replica injects. Rates are fractions of the parts, drawn from the replica's own random
// stream.
type Faults struct {
	ErrorRate    float64       // parts that fail at once
	ResetRate    float64       // parts whose connection breaks after they have begun
	CorruptRate  float64       // parts that are answered with noise
	HangRate     float64       // parts without an answer
	Delay        time.Duration // before each answer
	Jitter       time.Duration // up to this much is added to Delay, drawn evenly
	WarmupPeriod time.Duration // after a start: answers take up to four times as long
	Cores        int           // parts served at once; 0: any number
	InitDelay    time.Duration // before Init is answered
}

// Health is what a replica answers to health checks, whether or not it is what the replica does with parts.
type Health struct {
	Status       int    // of GET /healthz of an SRU replica; 0: 200
	Degraded     bool   // as Envoy's header says it
	RejectChecks bool   // rejects SRU explain, and the Init of a Z39.50 check
	Hang         bool   // no answer
	Body         string // of /healthz
}

// Store is what a replica holds where shards change. It answers for a database's name, or rejects with a reason.
type Store interface {
	// Search returns at most limit records of a shard in the order of their identifiers, and how many the shard has. A
	// reason that is not empty means that the replica does not answer for the shard.
	Search(database string, limit int) (records []Record, count int, reason string)
	// Correct changes a record; with a reason that is not empty it has not run.
	Correct(database, id string) (reason string)
}

// Record is one record with its identifier.
type Record struct {
	ID  string
	XML string
}

// Protocols of a replica.
const (
	protocolSRU   = "sru"
	protocolZ3950 = "z3950"
)

// Server is a running stand-in. Its methods are safe for concurrent use.
type Server struct {
	Name     string
	Protocol string
	archive  *Archive

	mu      sync.Mutex
	addr    string
	rng     *rand.Rand
	store   Store // nil: the archive's records
	faults  Faults
	health  Health
	started time.Time
	slots   chan struct{} // one for each core; nil: any number
	stop    func()        // ends the listener and all connections
	running bool
}

// randomStream returns the stream of random numbers of the replica with a name, by the run's seed.
func randomStream(seed uint64, name string) *rand.Rand {
	nameHash := fnv.New64a()
	_, _ = nameHash.Write([]byte(name)) // a hash does not fail
	return rand.New(rand.NewPCG(seed, nameHash.Sum64()))
}

func (a *Archive) start(name, protocol string, seed uint64) (*Server, error) {
	s := &Server{
		Name:     name,
		Protocol: protocol,
		archive:  a,
		rng:      randomStream(seed, name),
		addr:     "127.0.0.1:0",
	}
	return s, s.Start()
}

// SRU starts an SRU replica on a port of its own.
func (a *Archive) SRU(name string, seed uint64) (*Server, error) {
	return a.start(name, protocolSRU, seed)
}

// Z3950 starts a Z39.50 target on a port of its own.
func (a *Archive) Z3950(name string, seed uint64) (*Server, error) {
	return a.start(name, protocolZ3950, seed)
}

// Addr is where the replica listens, or listened.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start starts a replica that is stopped, at the address that it had. It does nothing to one that runs.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return nil
	}
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("start replica %s: %w", s.Name, err)
	}
	s.addr = listener.Addr().String()
	s.running = true
	s.started = time.Now()
	if s.Protocol == protocolSRU {
		s.stop = s.serveSRU(listener)
	} else {
		s.stop = s.serveZ3950(listener)
	}
	return nil
}

// Kill ends a replica as a crash does: connections are reset, new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	stop := s.stop
	s.running = false
	s.stop = nil
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// SetStore gives the replica a store in place of the archive's records.
func (s *Server) SetStore(store Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = store
}

func (s *Server) currentStore() Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store
}

// SetFaults changes the faults that the replica injects. Parts under way keep those that they have met.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.slots = nil
	if faults.Cores > 0 {
		s.slots = make(chan struct{}, faults.Cores)
	}
}

func (s *Server) initDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.InitDelay
}

// SetHealth changes what the replica answers to health checks.
func (s *Server) SetHealth(health Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = health
}

func (s *Server) currentHealth() Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health
}

// nextPart draws which fault a part meets and how long it takes; slots is what it has to queue for.
func (s *Server) nextPart() (fault string, delay time.Duration, slots chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = s.faults.Delay
	if s.faults.Jitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.faults.Jitter)))
	}
	age := time.Since(s.started)
	if s.faults.WarmupPeriod > 0 && age < s.faults.WarmupPeriod {
		coldness := 1 - float64(age)/float64(s.faults.WarmupPeriod)
		delay += time.Duration(3 * float64(delay) * coldness)
	}
	return s.faults.pick(s.rng.Float64()), delay, s.slots
}

// pick returns the fault that a sample from 0 to 1 stands for; empty: none.
func (f *Faults) pick(sample float64) (fault string) {
	for _, kind := range [...]struct {
		rate  float64
		fault string
	}{
		{f.ErrorRate, FaultError},
		{f.ResetRate, FaultBreak},
		{f.CorruptRate, FaultCorrupt},
		{f.HangRate, FaultHang},
	} {
		if sample < kind.rate {
			return kind.fault
		}
		sample -= kind.rate
	}
	return ""
}

// process spends the time that a part takes, queueing for a core included, and returns the fault that it meets. Errors
// come at once: that is what makes a failing replica attractive to a load balancer.
func (s *Server) process() (fault string) {
	fault, delay, slots := s.nextPart()
	if fault == FaultError {
		return fault
	}
	if slots != nil {
		slots <- struct{}{}
		defer func() { <-slots }()
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return fault
}
