package replica

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults are what a node does wrong. Shares are of parts, drawn by the node's own seeded chance.
type Faults struct {
	ErrorRate    float64       // fails them at once
	ResetRate    float64       // breaks the connection after it has begun
	CorruptRate  float64       // answers noise
	HangRate     float64       // says nothing
	Delay        time.Duration // before each answer
	Jitter       time.Duration // and so much more at most
	WarmupPeriod time.Duration // after a start, answers take up to four times as long, for so long
	Cores        int           // parts served at once; 0: any number
	InitDelay    time.Duration // before Init is answered
}

// Health is what a node's own checks say, true or not.
type Health struct {
	Status       int    // of GET /healthz of an SRU node; 0: 200
	Degraded     bool   // tells so in Envoy's header
	RejectChecks bool   // refuses the Init of a check, and explain
	Hang         bool   // says nothing
	Body         string // of /healthz
}

// Store is what a node holds where blocks change: it answers for a database's name, or says a word instead.
type Store interface {
	// Search returns the records of a block, at most so many, in the order of their identifiers, and how many there are.
	Search(base string, most int) (records []Record, count int, word string)
	// Correct changes a record: it runs if word is empty.
	Correct(base, id string) (word string)
}

// Record is one record with its identifier.
type Record struct{ ID, XML string }

// Server is a running stand-in.
type Server struct {
	Name, Protocol string
	archive        *Archive

	mu      sync.Mutex
	addr    string
	rng     *rand.Rand
	shelf   Store
	faults  Faults
	health  Health
	started time.Time
	slots   chan struct{}
	stop    func()            // ends the listener and all connections
	conns   map[net.Conn]bool // of a Z39.50 node
	up      bool
}

// Seed of a node's chance: its own, from the run's and its name.
func seedOf(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (a *Archive) start(name, protocol string, seed uint64) (*Server, error) {
	n := &Server{Name: name, Protocol: protocol, archive: a, rng: seedOf(seed, name), addr: "127.0.0.1:0"}
	return n, n.Start()
}

// SRU starts an SRU node, Z3950 a Z39.50 target, on a port of its own.
func (a *Archive) SRU(name string, seed uint64) (*Server, error) { return a.start(name, "sru", seed) }

// Z3950 starts a Z39.50 target.
func (a *Archive) Z3950(name string, seed uint64) (*Server, error) {
	return a.start(name, "z3950", seed)
}

// Addr is where the node listens, or listened.
func (n *Server) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// Start starts a node that is stopped, at the address it had.
func (n *Server) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up {
		return nil
	}
	ln, err := net.Listen("tcp", n.addr)
	if err != nil {
		return err
	}
	n.addr, n.up, n.started = ln.Addr().String(), true, time.Now()
	if n.Protocol == "sru" {
		n.stop = n.serveSRU(ln)
	} else {
		n.stop = n.serveZ(ln)
	}
	return nil
}

// Kill ends a node as a process that dies does: connections are reset, new ones refused.
func (n *Server) Kill() {
	n.mu.Lock()
	stop := n.stop
	n.up, n.stop = false, nil
	n.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// SetStore gives the node a shelf, in the place of the archive's blocks.
func (n *Server) SetStore(s Store) {
	n.mu.Lock()
	n.shelf = s
	n.mu.Unlock()
}

func (n *Server) shelved() Store {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shelf
}

// SetFaults changes what the node does wrong.
func (n *Server) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
	if n.slots = nil; f.Cores > 0 {
		n.slots = make(chan struct{}, f.Cores)
	}
}

// SetHealth changes what its checks say.
func (n *Server) SetHealth(h Health) {
	n.mu.Lock()
	n.health = h
	n.mu.Unlock()
}

func (n *Server) says() Health {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.health
}

// draw decides on one part: which fault it meets, and how long it takes.
func (n *Server) draw() (fault string, wait time.Duration, slots chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults
	wait = f.Delay
	if f.Jitter > 0 {
		wait += time.Duration(n.rng.Int64N(int64(f.Jitter)))
	}
	if age := time.Since(n.started); f.WarmupPeriod > 0 && age < f.WarmupPeriod {
		wait += time.Duration(3 * float64(wait) * (1 - float64(age)/float64(f.WarmupPeriod)))
	}
	p := n.rng.Float64()
	for _, one := range []struct {
		share float64
		name  string
	}{{f.ErrorRate, "error"}, {f.ResetRate, "break"}, {f.CorruptRate, "spoil"}, {f.HangRate, "hang"}} {
		if p < one.share {
			return one.name, wait, n.slots
		}
		p -= one.share
	}
	return "", wait, n.slots
}

// take is draw, and the time it takes: queued for a core, then worked on.
func (n *Server) take() (fault string) {
	fault, wait, slots := n.draw()
	if fault == "error" {
		return fault // fails quickly: that is what makes such a node dangerous
	}
	if slots != nil {
		slots <- struct{}{}
		defer func() { <-slots }()
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return fault
}
