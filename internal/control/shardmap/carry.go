package shardmap

import "time"

// Rollout decides when the steps of a plan are carried out. Whoever does so may be stopped at any moment: it goes on from
// the map as it finds it.
type Rollout struct {
	Plan  *Plan
	since time.Time // when the present epoch was published, or found
	epoch Epoch
}

// NodeStatus is what is known of the nodes: which has copied a block that it joins, and which epochs they know.
type NodeStatus interface {
	HasCopied(block ID, server string) bool
	KnownEpoch(server string) Epoch
}

// Action is what to do next.
type Action struct {
	Publish    *Map      // the next epoch
	Step       int       // its step, from 0
	CheckAt    time.Time // look again then, or when the fleet has changed
	WaitingFor string    // what is waited for
	Done       bool
}

// Next says what to do with the present map. An error means that the plan cannot be carried out any more; the map
// stays, and is a legal one.
func (c *Rollout) Next(now time.Time, m *Map, f NodeStatus) (Action, error) {
	if c.epoch != m.Epoch {
		c.epoch, c.since = m.Epoch, now
	}
	n := c.Plan.StepsDone(m)
	if n < 0 {
		return Action{}, ErrOtherArchive
	}
	if n == len(c.Plan.Steps) {
		return Action{Done: true}, nil
	}
	s := &c.Plan.Steps[n]
	if at := c.since.Add(s.Wait); now.Before(at) {
		return Action{CheckAt: at, WaitingFor: s.Why}, nil
	}
	const look = 20 * time.Millisecond
	for _, b := range s.Put {
		was := m.Shard(b.ID)
		if was == nil {
			continue
		}
		for _, h := range was.Replicas {
			if s.Copied && h.Joining && !f.HasCopied(b.ID, h.Server) {
				return Action{CheckAt: now.Add(look), WaitingFor: h.Server + " copies"}, nil
			}
			if s.Heard && f.KnownEpoch(h.Server) < m.Epoch {
				return Action{CheckAt: now.Add(look), WaitingFor: h.Server + " does not know the epoch"}, nil
			}
		}
	}
	next, err := s.Apply(m)
	return Action{Publish: next, Step: n}, err
}
