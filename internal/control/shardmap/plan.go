package shardmap

import (
	"fmt"
	"slices"
	"time"
)

// Plan is a change of shards as a succession of epochs. Controllers store it as JSON.
type Plan struct {
	Archive     string `json:"Archive"`
	FromEpoch   Epoch  `json:"From"` // of the map that it was made for
	Steps       []Step `json:"Steps"`
	Description string `json:"What"` // the change, for people
}

// Step is one epoch of a plan: what it changes, and the conditions under which it may be published.
type Step struct {
	Put             []*Shard      `json:"Put"`    // put in place of the shards with the same ids
	Remove          []ID          `json:"Remove"` // shards that are removed
	Description     string        `json:"What"`   // the change, for people
	MinWait         time.Duration `json:"Wait"`   // at least this long after the epoch before
	AwaitCopies     bool          `json:"Copied"` // not before every joining replica is complete
	AwaitEpochKnown bool          `json:"Heard"`  // not before the servers of the shards know the epoch before
	WaitReason      string        `json:"Why"`    // reason for the conditions, for people
}

// Apply returns the map after the step, from the map before it, and validates it. Other plans may have been carried
// out since this one was made, so replicas serve since the epoch that really is the next. A plan whose new ids were
// given to other shards in the meantime is rejected.
func (s *Step) Apply(published *Map) (*Map, error) {
	var put []*Shard
	for _, planned := range s.Put {
		current := published.Shard(planned.ID)
		if published.givenToAnother(planned, current) {
			return nil, fmt.Errorf("block %d: the id has been given since the plan was made", planned.ID)
		}
		put = append(put, withServingEpochs(planned, current, published.Epoch+1))
	}
	next, err := published.Change(put, s.Remove)
	if err != nil {
		return nil, err
	}
	return next, next.ValidateSuccession(published)
}

// givenToAnother reports whether the id of a planned shard belongs, or once belonged, to another shard than the one
// that is meant. current is the shard that has the id now, nil if none.
func (m *Map) givenToAnother(planned, current *Shard) bool {
	if current == nil {
		return planned.ID < m.NextID
	}
	return current.From != planned.From || current.To != planned.To
}

// withServingEpochs returns a copy of a planned shard whose replicas serve since the epochs that follow from the
// current shard, nil if there is none.
func withServingEpochs(planned, current *Shard, next Epoch) *Shard {
	shard := *planned
	shard.Replicas = slices.Clone(planned.Replicas)
	if current == nil {
		return &shard
	}
	for i := range shard.Replicas {
		r := &shard.Replicas[i]
		before, existed := current.replica(r.Server)
		if !existed || r.Joining {
			continue
		}
		r.ServingSince = before.ServingSince
		if before.Joining {
			r.ServingSince = next
		}
	}
	return &shard
}

// StepsDone returns how many of the plan's steps a map has behind it, judged by the shards that the steps made and
// not by the epoch, since other plans may be carried out at the same time. It returns -1 if the map is of another
// archive or older than the plan.
func (p *Plan) StepsDone(published *Map) int {
	if published.Archive != p.Archive || published.Epoch < p.FromEpoch {
		return -1
	}
	for done := len(p.Steps); done > 0; done-- {
		if p.Steps[done-1].isApplied(published) {
			return done
		}
	}
	return 0
}

// isApplied reports whether a map has what the step made.
func (s *Step) isApplied(published *Map) bool {
	for _, planned := range s.Put {
		current := published.Shard(planned.ID)
		if current == nil || current.State != planned.State || len(current.Replicas) != len(planned.Replicas) {
			return false
		}
		for _, replica := range planned.Replicas {
			existing, found := current.replica(replica.Server)
			if !found || existing.Joining != replica.Joining {
				return false
			}
		}
	}
	return !slices.ContainsFunc(s.Remove, func(id ID) bool { return published.Shard(id) != nil })
}
