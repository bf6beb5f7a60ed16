package shardmap

import "time"

// Rollout decides when the steps of a plan are published. It may be stopped at any moment: a new one continues from the
// map as it finds it.
type Rollout struct {
	Plan *Plan

	epochSince time.Time // when the current epoch was published, or first seen
	epoch      Epoch
}

// NodeStatus is what the caller knows of the nodes.
type NodeStatus interface {
	// HasCopied reports whether a joining server has copied all of a shard.
	HasCopied(shard ID, server string) bool
	// KnownEpoch returns the newest epoch that a server knows.
	KnownEpoch(server string) Epoch
}

// Action is what to do next in a rollout: publish a map, wait, or stop because all is done.
type Action struct {
	Publish    *Map      // map of the next epoch; nil: wait, unless Done
	Step       int       // index of the step that Publish carries out
	CheckAt    time.Time // when to call Next again, if the status of a node has not changed before
	WaitingFor string    // what is waited for, for people
	Done       bool      // all steps are published
}

// nodePollInterval is how soon Next should be called again while nodes are waited for.
const nodePollInterval = 20 * time.Millisecond

// Next returns what to do with the current map. An error means that the plan cannot be carried out any more; the map
// stays as it is, and is a legal one.
func (r *Rollout) Next(now time.Time, published *Map, nodes NodeStatus) (Action, error) {
	if r.epoch != published.Epoch {
		r.epoch = published.Epoch
		r.epochSince = now
	}
	done := r.Plan.StepsDone(published)
	if done < 0 {
		return Action{}, ErrOtherArchive
	}
	if done == len(r.Plan.Steps) {
		return Action{Done: true}, nil
	}
	step := &r.Plan.Steps[done]
	if earliest := r.epochSince.Add(step.MinWait); now.Before(earliest) {
		return Action{CheckAt: earliest, WaitingFor: step.WaitReason}, nil
	}
	if reason := step.waitingForNode(published, nodes); reason != "" {
		return Action{CheckAt: now.Add(nodePollInterval), WaitingFor: reason}, nil
	}
	next, err := step.Apply(published)
	return Action{Publish: next, Step: done}, err
}

// waitingForNode says which node a step has to wait for; empty if none.
func (s *Step) waitingForNode(published *Map, nodes NodeStatus) string {
	for _, shard := range s.Put {
		current := published.Shard(shard.ID)
		if current == nil {
			continue
		}
		for _, replica := range current.Replicas {
			if s.AwaitCopies && replica.Joining && !nodes.HasCopied(shard.ID, replica.Server) {
				return replica.Server + " copies"
			}
			if s.AwaitEpochKnown && nodes.KnownEpoch(replica.Server) < published.Epoch {
				return replica.Server + " does not know the epoch"
			}
		}
	}
	return ""
}
