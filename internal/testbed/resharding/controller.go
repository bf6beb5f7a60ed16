package resharding

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"rooktrestle/internal/app/background"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/state/atomicfile"
)

// Controller carries out resharding plans. It persists the map and the plan, and passes each new map to the replicas
// before it publishes it. It can be killed between any two steps; a new controller continues from the persisted state.
// It is not safe for concurrent use.
type Controller struct {
	Stores     map[string]*Store
	Publish    func(epoch uint64, text []byte)
	Timing     shardmap.Timing
	KillBefore func(step string) bool // if set, called before each step; true stops the controller there
	Log        func(text string)
	// Copier runs the copying to joining replicas in the background, within its budget.
	Copier *background.Runner

	mapFile  *atomicfile.ValueFile
	planFile *atomicfile.ValueFile
	current  *shardmap.Map
	copies   map[copyKey]scheduler.TaskID // in progress
}

// copyKey identifies the copying of a shard to a joining replica.
type copyKey struct {
	shard  shardmap.ID
	server string
}

// errKilled means that KillBefore stopped the controller.
var errKilled = errors.New("controller killed before a step")

// NewController loads the persisted state from dir and announces the current map; first is the map if none is
// persisted.
func NewController(dir string, first *shardmap.Map, c Controller) (*Controller, error) {
	c.mapFile = atomicfile.New(atomicfile.OS{}, filepath.Join(dir, "map"))
	c.planFile = atomicfile.New(atomicfile.OS{}, filepath.Join(dir, "plan"))
	c.copies = map[copyKey]scheduler.TaskID{}
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
	// The map may have been announced before: replicas and frontends ignore an epoch that they already have.
	return &c, c.announce(c.current)
}

// Map returns the current map.
func (c *Controller) Map() *shardmap.Map { return c.current }

func (c *Controller) killedBefore(step string) bool { return c.KillBefore != nil && c.KillBefore(step) }

// announce passes a map to the replicas, then publishes it.
func (c *Controller) announce(m *shardmap.Map) error {
	text := m.Encode()
	for name, store := range c.Stores {
		if c.killedBefore("notifying " + name) {
			return errKilled
		}
		if err := store.ApplyMap(text); err != nil {
			return err
		}
	}
	if c.killedBefore("publishing") {
		return errKilled
	}
	c.Publish(uint64(m.Epoch), text)
	return nil
}

// HasCopied reports whether a replica has all records of a shard. If not, it ensures that they are copied in the
// background.
func (c *Controller) HasCopied(shard shardmap.ID, server string) bool {
	store := c.Stores[server]
	if store == nil {
		return false
	}
	key := copyKey{shard: shard, server: server}
	task, copying := c.copies[key]
	copied := store.HasCopied(uint64(shard))
	switch {
	case copied && copying:
		c.Copier.Remove(task)
		delete(c.copies, key)
	case !copied && !copying:
		c.copies[key] = c.startCopying(store, shard)
	}
	return copied
}

// startCopying starts a background task that copies a shard to a replica until the task is removed.
func (c *Controller) startCopying(store *Store, shard shardmap.ID) scheduler.TaskID {
	task := scheduler.Task{Priority: scheduler.Idle, Interval: time.Millisecond}
	return c.Copier.Add(task, 0, func() (scheduler.Result, bool) {
		store.CopyChunk(uint64(shard))
		return scheduler.Steady, false
	})
}

// KnownEpoch returns the epoch of the newest map that a replica has received.
func (c *Controller) KnownEpoch(server string) shardmap.Epoch {
	store := c.Stores[server]
	if store == nil {
		return 0
	}
	return shardmap.Epoch(store.Epoch())
}

// PersistPlan persists a plan, so that Run carries it out even after a crash.
func (c *Controller) PersistPlan(p *shardmap.Plan) error {
	text, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.planFile.Store(text)
}

// Run carries out the persisted plan until it is completed or stop is closed. It returns errKilled if KillBefore stops
// it.
func (c *Controller) Run(stop <-chan struct{}) error {
	plan, err := c.loadPlan()
	if err != nil || plan == nil {
		return err
	}
	rollout := &shardmap.Rollout{Plan: plan}
	for {
		move, err := rollout.Next(time.Now(), c.current, c)
		switch {
		case err != nil:
			return fmt.Errorf("%s: %w", plan.Description, err)
		case move.Done:
			return c.planFile.Store(nil)
		case move.Publish != nil:
			c.logStep(move.Publish, plan.Steps[move.Step].Description)
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

func (c *Controller) logStep(m *shardmap.Map, description string) {
	if c.Log != nil {
		c.Log(fmt.Sprintf("epoch %d: %s", m.Epoch, description))
	}
}

// loadPlan loads the persisted plan; nil: there is none.
func (c *Controller) loadPlan() (*shardmap.Plan, error) {
	text, err := c.planFile.Load()
	if errors.Is(err, atomicfile.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load the persisted plan: %w", err)
	}
	if len(text) == 0 { // the previous plan was completed
		return nil, nil
	}
	var plan shardmap.Plan
	if err := json.Unmarshal(text, &plan); err != nil {
		return nil, fmt.Errorf("decode the persisted plan: %w", err)
	}
	return &plan, nil
}

// adopt persists a map, makes it the current one, and announces it.
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
