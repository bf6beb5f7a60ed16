package resharding

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rooktrestle/internal/app/background"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/state/atomicfile"
)

// MapSource is a stand-in of an HTTP source of maps with long poll, and faults.
type MapSource struct {
	ln    net.Listener
	web   *http.Server
	mu    sync.Mutex
	text  []byte
	epoch uint64
	next  chan struct{} // closed with each publication
	fault func() (status int, body []byte)
	asked int
}

// NewMapSource starts a source without a map.
func NewMapSource() (*MapSource, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &MapSource{ln: ln, next: make(chan struct{})}
	s.web = &http.Server{Handler: s}
	go s.web.Serve(ln)
	return s, nil
}

// Addr is where it listens.
func (s *MapSource) Addr() string { return s.ln.Addr().String() }

// Close ends it.
func (s *MapSource) Close() { s.web.Close() }

// Publish makes a text the present map.
func (s *MapSource) Publish(epoch uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text, s.epoch = text, epoch
	close(s.next)
	s.next = make(chan struct{})
}

// SetFault makes the source answer in another way; nil ends it.
func (s *MapSource) SetFault(f func() (status int, body []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.next)
	s.next = make(chan struct{})
}

// Polls is how often it was asked.
func (s *MapSource) Polls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// ServeHTTP answers a long poll.
func (s *MapSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(wait)
	s.mu.Lock()
	s.asked++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		text, epoch, next, fault := s.text, s.epoch, s.next, s.fault
		s.mu.Unlock()
		switch {
		case fault != nil:
			status, body := fault()
			w.WriteHeader(status)
			w.Write(body)
			return
		case epoch > after:
			w.Write(text)
			return
		}
		select {
		case <-next:
		case <-end:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Controller carries plans out: it keeps the map and the plan on disk, tells the nodes, then publishes. It may be killed
// between any two of its steps; a new one goes on from what is kept.
type Controller struct {
	Stores     map[string]*Store
	Publish    func(epoch uint64, text []byte)
	Timing     shardmap.Timing
	KillBefore func(at string) bool // if set, asked before each step of its own: true ends it there
	Log        func(text string)
	// Copier runs the copies of joining nodes in the background, within its budget.
	Copier *background.Runner

	mapBox, planBox *atomicfile.ValueFile
	now             *shardmap.Map
	copies          map[string]scheduler.TaskID
}

var errKilled = errors.New("killed")

// NewController opens the state in a folder; first is the map where none is kept.
func NewController(dir string, first *shardmap.Map, c Controller) (*Controller, error) {
	c.mapBox, c.planBox = atomicfile.New(atomicfile.OS{}, dir+"/map"), atomicfile.New(atomicfile.OS{}, dir+"/plan")
	text, err := c.mapBox.Load()
	switch {
	case errors.Is(err, atomicfile.ErrNotExist):
		c.now = first
		if err := c.mapBox.Store(first.Encode()); err != nil {
			return nil, err
		}
	case err != nil:
		return nil, err
	default:
		if c.now, err = shardmap.Parse(text); err != nil {
			return nil, err
		}
	}
	return &c, c.announce(c.now) // again, if it was announced before
}

// Map is the present map.
func (c *Controller) Map() *shardmap.Map { return c.now }

func (c *Controller) killed(at string) bool { return c.KillBefore != nil && c.KillBefore(at) }

// announce tells the nodes of a map, then everybody.
func (c *Controller) announce(m *shardmap.Map) error {
	text := m.Encode()
	for name, s := range c.Stores {
		if c.killed("telling " + name) {
			return errKilled
		}
		if err := s.ApplyMap(text); err != nil {
			return err
		}
	}
	if c.killed("publishing") {
		return errKilled
	}
	c.Publish(uint64(m.Epoch), text)
	return nil
}

// HasCopied says whether a joining node has all of a block. One that has not is copied to in the background.
func (c *Controller) HasCopied(block shardmap.ID, server string) bool {
	s := c.Stores[server]
	if s == nil {
		return false
	}
	name := fmt.Sprintf("%d %s", block, server)
	id, copying := c.copies[name]
	if s.HasCopied(uint64(block)) {
		if copying {
			c.Copier.Remove(id)
			delete(c.copies, name)
		}
		return true
	}
	if !copying {
		if c.copies == nil {
			c.copies = map[string]scheduler.TaskID{}
		}
		c.copies[name] = c.Copier.Add(scheduler.Task{Priority: scheduler.Idle, Interval: time.Millisecond}, 0, func() (scheduler.Result, bool) {
			s.CopyChunk(uint64(block))
			return scheduler.Steady, false
		})
	}
	return false
}

// KnownEpoch is the epoch that a node knows.
func (c *Controller) KnownEpoch(server string) shardmap.Epoch {
	if s := c.Stores[server]; s != nil {
		return shardmap.Epoch(s.Epoch())
	}
	return 0
}

// Start keeps a plan, so that it is carried out whatever happens.
func (c *Controller) Start(p *shardmap.Plan) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.planBox.Store(text)
}

// Run carries the kept plan out, until it is done, killed, or stop is closed.
func (c *Controller) Run(stop <-chan struct{}) error {
	text, err := c.planBox.Load()
	if errors.Is(err, atomicfile.ErrNotExist) || err == nil && len(text) == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	var p shardmap.Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	carry := &shardmap.Rollout{Plan: &p}
	for {
		move, err := carry.Next(time.Now(), c.now, c)
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", p.What, err)
		case move.Done:
			return c.planBox.Store(nil)
		case move.Publish != nil:
			if c.Log != nil {
				c.Log(fmt.Sprintf("epoch %d: %s", move.Publish.Epoch, p.Steps[move.Step].What))
			}
			if c.killed("keeping the map") {
				return errKilled
			}
			if err := c.mapBox.Store(move.Publish.Encode()); err != nil {
				return err
			}
			if c.killed("after keeping the map") {
				return errKilled
			}
			c.now = move.Publish
			if err := c.announce(c.now); err != nil {
				return err
			}
		default:
			select {
			case <-stop:
				return nil
			case <-time.After(time.Until(move.CheckAt)):
			}
		}
	}
}
