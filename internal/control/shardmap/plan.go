package shardmap

import (
	"fmt"
	"slices"
	"time"
)

// Plan is a change of shards in a sequence of epochs. Controllers store it as JSON.
type Plan struct {
	Archive     string `json:"Archive"`
	FromEpoch   Epoch  `json:"From"` // of the map that it was made for
	Steps       []Step `json:"Steps"`
	Description string `json:"What"` // summary of the change, for operators
}

// Step is one epoch of a plan: what it changes, and the conditions under which it may be published.
type Step struct {
	Put             []*Shard      `json:"Put"`    // added, or replacing the shards with the same ids
	Remove          []ID          `json:"Remove"` // shards to remove
	Description     string        `json:"What"`   // summary of the change, for operators
	MinWait         time.Duration `json:"Wait"`   // minimum time since the previous epoch
	AwaitCopies     bool          `json:"Copied"` // only once every joining replica is complete
	AwaitEpochKnown bool          `json:"Heard"`  // only once the shards' servers have received the previous epoch
	WaitReason      string        `json:"Why"`    // reason for the conditions, for operators
}

// Apply applies the step to the published map, and returns the validated map of the next epoch. Other plans may have
// been carried out since this one was made, so the epochs since which replicas serve are set by the published map and
// not by the plan. A plan whose new ids were assigned to other shards in the meantime is rejected.
func (s *Step) Apply(published *Map) (*Map, error) {
	var put []*Shard
	for _, planned := range s.Put {
		current := published.Shard(planned.ID)
		if published.idReassigned(planned, current) {
			return nil, fmt.Errorf("block %d: the id was assigned to another block after the plan was made; "+
				"make a new plan", planned.ID)
		}
		put = append(put, withServingEpochs(planned, current, published.Epoch+1))
	}
	next, err := published.Change(put, s.Remove)
	if err != nil {
		return nil, err
	}
	return next, next.ValidateSuccession(published)
}

// idReassigned reports whether the id of a planned shard has been assigned to a different shard, which may have been
// removed since. current is the shard that has the id, or nil.
func (m *Map) idReassigned(planned, current *Shard) bool {
	if current == nil {
		return planned.ID < m.NextID
	}
	return current.From != planned.From || current.To != planned.To
}

// withServingEpochs returns a copy of a planned shard in which the epochs since which replicas serve follow from the
// current shard, which may be nil. Replicas that the step promotes serve since the next epoch.
func withServingEpochs(planned, current *Shard, next Epoch) *Shard {
	shard := *planned
	shard.Replicas = slices.Clone(planned.Replicas)
	if current == nil {
		return &shard
	}
	for i := range shard.Replicas {
		r := &shard.Replicas[i]
		previous, existed := current.replica(r.Server)
		if !existed || r.Joining {
			continue
		}
		r.ServingSince = previous.ServingSince
		if previous.Joining {
			r.ServingSince = next
		}
	}
	return &shard
}

// StepsDone returns how many of the plan's steps a map includes. It compares shards instead of epochs, since other
// plans may be carried out at the same time. It returns -1 if the map is of another archive or older than the plan.
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

// isApplied reports whether a map contains the changes of the step.
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
