package replica

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults configures the faults that a replica injects. Rates are fractions of the parts, drawn from the replica's
// random stream.
type Faults struct {
	ErrorRate    float64       // parts that fail immediately
	ResetRate    float64       // parts whose connection is closed after they have begun
	CorruptRate  float64       // parts with a corrupt answer
	HangRate     float64       // parts without an answer
	Delay        time.Duration // before each answer
	Jitter       time.Duration // maximum addition to Delay, drawn uniformly
	WarmupPeriod time.Duration // after a start, in which Delay and Jitter are up to four times as long
	Cores        int           // parts served concurrently; 0: any number
	InitDelay    time.Duration // before Init is answered
}

// Health configures the answers of a replica to health checks, which need not match how it serves parts.
type Health struct {
	Status       int    // of GET /healthz of an SRU replica; 0: 200
	Degraded     bool   // sends Envoy's header for a degraded server
	RejectChecks bool   // rejects SRU explain, and the Init of a Z39.50 check
	Hang         bool   // no answer
	Body         string // of /healthz
}

// Store stores the records of a replica in an archive with resharding. It accepts or rejects requests by the database's
// name.
type Store interface {
	// Search returns at most limit records of a shard in the order of their identifiers, and the number of records of
	// the shard. If reason is not empty, the replica rejects the search.
	Search(database string, limit int) (records []Record, count int, reason string)
	// Correct changes a record. If reason is not empty, the replica rejects the correction, which has no effect.
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
	slots   chan struct{} // one entry for each core in use; nil: no limit
	stop    func()        // closes the listener and all connections
	running bool
}

// randomStream returns the random stream of the replica with a name, for the seed of a run.
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

// SRU starts an SRU replica on a free port of loopback.
func (a *Archive) SRU(name string, seed uint64) (*Server, error) {
	return a.start(name, protocolSRU, seed)
}

// Z3950 starts a Z39.50 target on a free port of loopback.
func (a *Archive) Z3950(name string, seed uint64) (*Server, error) {
	return a.start(name, protocolZ3950, seed)
}

// Addr returns the address of the listener, also while the replica is stopped.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Start restarts a stopped replica at its previous address. It does nothing if the replica is running.
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

// Kill stops a replica as a crash would: its connections are closed and further ones are refused.
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

// SetFaults changes the faults that the replica injects. It does not affect parts in flight.
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

// nextPart draws the fault and the delay of a part; slots limits the parts that are served concurrently.
func (s *Server) nextPart() (fault string, delay time.Duration, slots chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay = s.faults.Delay
	if s.faults.Jitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.faults.Jitter)))
	}
	age := time.Since(s.started)
	if s.faults.WarmupPeriod > 0 && age < s.faults.WarmupPeriod {
		warmupRemaining := 1 - float64(age)/float64(s.faults.WarmupPeriod)
		delay += time.Duration(3 * float64(delay) * warmupRemaining)
	}
	return s.faults.pick(s.rng.Float64()), delay, s.slots
}

// pick returns the fault for a sample from 0 to 1, by the rates; empty: none.
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

// process waits for a core and for the delay of a part, and returns the part's fault. Errors are immediate: fast
// failures make a failing replica attractive to a load balancer.
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
