package shardmap

import "time"

// Rollout decides when the steps of a plan are published. It may be abandoned at any time: a new Rollout of the plan
// continues from the published map.
type Rollout struct {
	Plan *Plan

	epochSince time.Time // when the published epoch was first passed to Next
	epoch      Epoch
}

// ServerStatus reports the state of the servers.
type ServerStatus interface {
	// HasCopied reports whether a joining server has copied all of a shard.
	HasCopied(shard ID, server string) bool
	// KnownEpoch returns the newest epoch that a server has received.
	KnownEpoch(server string) Epoch
}

// Action is the next action of a rollout: publish a map, wait, or stop because all steps are published.
type Action struct {
	Publish    *Map      // map of the next epoch; nil: wait, unless Done
	Step       int       // index of the step that Publish carries out
	CheckAt    time.Time // when to call Next again, unless the status of a server changes earlier
	WaitingFor string    // reason for the wait, for operators
	Done       bool      // all steps are published
}

// serverPollInterval is the time until Next should be called again while a step waits for servers.
const serverPollInterval = 20 * time.Millisecond

// Next returns the next action, given the published map. An error means that the remaining steps cannot be carried out;
// the published map stays valid.
func (r *Rollout) Next(now time.Time, published *Map, status ServerStatus) (Action, error) {
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
	if reason := step.waitingForServer(published, status); reason != "" {
		return Action{CheckAt: now.Add(serverPollInterval), WaitingFor: reason}, nil
	}
	next, err := step.Apply(published)
	return Action{Publish: next, Step: done}, err
}

// waitingForServer returns why a step has to wait for a server, or an empty text if it does not.
func (s *Step) waitingForServer(published *Map, status ServerStatus) string {
	for _, shard := range s.Put {
		current := published.Shard(shard.ID)
		if current == nil {
			continue
		}
		for _, replica := range current.Replicas {
			if s.AwaitCopies && replica.Joining && !status.HasCopied(shard.ID, replica.Server) {
				return replica.Server + " has not copied the block yet"
			}
			if s.AwaitEpochKnown && status.KnownEpoch(replica.Server) < published.Epoch {
				return replica.Server + " has not received the epoch yet"
			}
		}
	}
	return ""
}
