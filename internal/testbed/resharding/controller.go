package resharding

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rooktrestle/internal/app/background"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/state/atomicfile"
)

// Controller carries plans out: it persists the map and the plan, passes each map to the replicas, then publishes it. It
// may be killed between any two of its steps; a new one continues from what is persisted. One goroutine uses it.
type Controller struct {
	Stores     map[string]*Store
	Publish    func(epoch uint64, text []byte)
	Timing     shardmap.Timing
	KillBefore func(at string) bool // if set, called before each step: true ends the controller there
	Log        func(text string)
	// Copier copies to joining replicas in the background, within its budget.
	Copier *background.Runner

	mapFile, planFile *atomicfile.ValueFile
	current           *shardmap.Map
	copies            map[string]scheduler.TaskID
}

// errKilled ends a controller where KillBefore says so.
var errKilled = errors.New("killed")

// NewController opens the state in a folder; first is the map where none is persisted.
func NewController(dir string, first *shardmap.Map, c Controller) (*Controller, error) {
	c.mapFile, c.planFile = atomicfile.New(atomicfile.OS{}, dir+"/map"), atomicfile.New(atomicfile.OS{}, dir+"/plan")
	text, err := c.mapFile.Load()
	switch {
	case errors.Is(err, atomicfile.ErrNotExist):
		c.current = first
		if err := c.mapFile.Store(first.Encode()); err != nil {
			return nil, err
		}
	case err != nil:
		return nil, err
	default:
		if c.current, err = shardmap.Parse(text); err != nil {
			return nil, err
		}
	}
	return &c, c.announce(c.current) // again, if it was announced before: replicas and sources ignore what they know
}

// Map is the current map.
func (c *Controller) Map() *shardmap.Map { return c.current }

func (c *Controller) killedBefore(at string) bool { return c.KillBefore != nil && c.KillBefore(at) }

// announce passes a map to the replicas, then publishes it.
func (c *Controller) announce(m *shardmap.Map) error {
	text := m.Encode()
	for name, s := range c.Stores {
		if c.killedBefore("notifying " + name) {
			return errKilled
		}
		if err := s.ApplyMap(text); err != nil {
			return err
		}
	}
	if c.killedBefore("publishing") {
		return errKilled
	}
	c.Publish(uint64(m.Epoch), text)
	return nil
}

// HasCopied says whether a joining replica has all of a shard. One that has not is copied to in the background.
func (c *Controller) HasCopied(shard shardmap.ID, server string) bool {
	s := c.Stores[server]
	if s == nil {
		return false
	}
	name := fmt.Sprintf("%d %s", shard, server)
	id, copying := c.copies[name]
	if s.HasCopied(uint64(shard)) {
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
			s.CopyChunk(uint64(shard))
			return scheduler.Steady, false
		})
	}
	return false
}

// KnownEpoch is the epoch that a replica knows.
func (c *Controller) KnownEpoch(server string) shardmap.Epoch {
	if s := c.Stores[server]; s != nil {
		return shardmap.Epoch(s.Epoch())
	}
	return 0
}

// Start persists a plan, so that a Run carries it out whatever happens.
func (c *Controller) Start(p *shardmap.Plan) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.planFile.Store(text)
}

// Run carries the persisted plan out until it is done or stop is closed. It fails with errKilled where KillBefore says so.
func (c *Controller) Run(stop <-chan struct{}) error {
	p, err := c.loadPlan()
	if err != nil || p == nil {
		return err
	}
	rollout := &shardmap.Rollout{Plan: p}
	for {
		move, err := rollout.Next(time.Now(), c.current, c)
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", p.Description, err)
		case move.Done:
			return c.planFile.Store(nil)
		case move.Publish != nil:
			if c.Log != nil {
				c.Log(fmt.Sprintf("epoch %d: %s", move.Publish.Epoch, p.Steps[move.Step].Description))
			}
			if err := c.adopt(move.Publish); err != nil {
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

// loadPlan reads the persisted plan; nil: there is none.
func (c *Controller) loadPlan() (*shardmap.Plan, error) {
	text, err := c.planFile.Load()
	if errors.Is(err, atomicfile.ErrNotExist) || err == nil && len(text) == 0 {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load the plan: %w", err)
	}
	var p shardmap.Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, fmt.Errorf("read the plan: %w", err)
	}
	return &p, nil
}

// adopt persists a map and announces it.
func (c *Controller) adopt(m *shardmap.Map) error {
	if c.killedBefore("persisting the map") {
		return errKilled
	}
	if err := c.mapFile.Store(m.Encode()); err != nil {
		return fmt.Errorf("persist the map: %w", err)
	}
	if c.killedBefore("announcing the map") {
		return errKilled
	}
	c.current = m
	return c.announce(m)
}
