package shardmap

import "time"

// Carry decides when the steps of a plan are carried out. Whoever does so may be stopped at any moment: it goes on from
// the map as it finds it.
type Carry struct {
	Plan  *Plan
	since time.Time // when the present epoch was published, or found
	epoch Epoch
}

// Fleet is what is known of the nodes: which has copied a block that it joins, and which epochs they know.
type Fleet interface {
	Copied(block ID, server string) bool
	Knows(server string) Epoch
}

// Move is what to do next.
type Move struct {
	Publish *Map      // the next epoch
	Step    int       // its step, from 0
	Wait    time.Time // look again then, or when the fleet has changed
	For     string    // what is waited for
	Done    bool
}

// Next says what to do with the present map. An error means that the plan cannot be carried out any more; the map
// stays, and is a legal one.
func (c *Carry) Next(now time.Time, m *Map, f Fleet) (Move, error) {
	if c.epoch != m.Epoch {
		c.epoch, c.since = m.Epoch, now
	}
	n := c.Plan.Done(m)
	if n < 0 {
		return Move{}, ErrOther
	}
	if n == len(c.Plan.Steps) {
		return Move{Done: true}, nil
	}
	s := &c.Plan.Steps[n]
	if at := c.since.Add(s.Wait); now.Before(at) {
		return Move{Wait: at, For: s.Why}, nil
	}
	const look = 20 * time.Millisecond
	for _, b := range s.Put {
		was := m.Block(b.ID)
		if was == nil {
			continue
		}
		for _, h := range was.Holders {
			if s.Copied && h.Joining && !f.Copied(b.ID, h.Server) {
				return Move{Wait: now.Add(look), For: h.Server + " copies"}, nil
			}
			if s.Heard && f.Knows(h.Server) < m.Epoch {
				return Move{Wait: now.Add(look), For: h.Server + " does not know the epoch"}, nil
			}
		}
	}
	next, err := s.Next(m)
	return Move{Publish: next, Step: n}, err
}
