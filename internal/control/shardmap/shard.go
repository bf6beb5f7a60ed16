package shardmap

import (
	"fmt"
	"slices"
)

// ID identifies a shard. It is assigned once and never reused.
type ID uint64

// Epoch is the version of an archive's map, from 1.
type Epoch uint64

// State is the state of a shard.
type State string

// The states of a shard. Their values are stored in files.
const (
	Serving   State = "serving"
	Migrating State = "moving"    // replicas are being added and removed
	Splitting State = "splitting" // two or more shards are about to replace it
	Merging   State = "merging"   // it is about to be merged with its neighbors
	Retiring  State = "retiring"  // replaced by other shards: only queries pinned to earlier epochs use it
)

// Replica is one server's copy of a shard.
type Replica struct {
	Server string `json:"server"`
	// Joining replicas are still copying the shard and receive no requests.
	Joining bool `json:"joining,omitempty"`
	// ServingSince is the epoch from which on the replica serves and warms up; 0 if it served from the start.
	ServingSince Epoch `json:"since,omitempty"`
}

// maxWeight is the maximum weight of a shard.
const maxWeight = 1e12

// Shard is one range of keys and its replicas. It must not be changed once it is in a Map.
type Shard struct {
	ID       ID        `json:"id"`
	From     Key       `json:"from"` // first key
	To       Key       `json:"to"`   // end of the range, exclusive; empty: no end
	State    State     `json:"state"`
	Weight   float64   `json:"weight,omitempty"` // share of the archive, in any unit; 0 counts as 1
	Replicas []Replica `json:"holders"`
	Parents  []ID      `json:"parents,omitempty"` // shards that it replaced
}

// Contains reports whether a key lies in the shard's range.
func (s *Shard) Contains(key Key) bool { return key >= s.From && (s.To == "" || key < s.To) }

// Active reports whether the shard is one of those that together cover each key once. Other shards are retained for
// queries pinned to earlier epochs.
func (s *Shard) Active() bool { return s.State != Retiring }

// replica returns a server's replica of the shard.
func (s *Shard) replica(server string) (Replica, bool) {
	i := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.Server == server })
	if i < 0 {
		return Replica{}, false
	}
	return s.Replicas[i], true
}

// ServedBy reports whether a server has a replica that receives requests.
func (s *Shard) ServedBy(server string) bool {
	r, found := s.replica(server)
	return found && !r.Joining
}

// ServingReplicas returns the replicas that receive requests, in a slice that the caller may modify.
func (s *Shard) ServingReplicas() (serving []Replica) {
	for _, r := range s.Replicas {
		if !r.Joining {
			serving = append(serving, r)
		}
	}
	return serving
}

// weight returns the shard's Weight, or 1 if that is 0.
func (s *Shard) weight() float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// Range formats the shard's range of keys for operators.
func (s *Shard) Range() string {
	from := string(s.From)
	to := string(s.To)
	if from == "" {
		from = "-inf"
	}
	if to == "" {
		to = "+inf"
	}
	return "[" + from + ", " + to + ")"
}

// equal reports whether all fields of two shards are equal.
func (s *Shard) equal(other *Shard) bool {
	return other.ID == s.ID && other.From == s.From && other.To == s.To &&
		other.State == s.State && other.Weight == s.Weight &&
		slices.Equal(other.Replicas, s.Replicas) && slices.Equal(other.Parents, s.Parents)
}

// validate checks a shard, but not its neighbors, as part of a map with the given epoch and next id.
func (s *Shard) validate(epoch Epoch, next ID) error {
	switch {
	case s.ID == 0 || s.ID >= next:
		return fmt.Errorf("block %d: the id must be at least 1 and less than next_id %d", s.ID, next)
	case s.To != "" && s.From >= s.To:
		return fmt.Errorf("block %d: the range %s is empty; its end must be after its beginning", s.ID, s.Range())
	case !slices.Contains([]State{Serving, Migrating, Splitting, Merging, Retiring}, s.State):
		return fmt.Errorf("block %d: unknown state %q, want %s, %s, %s, %s or %s",
			s.ID, s.State, Serving, Migrating, Splitting, Merging, Retiring)
	case !(s.Weight >= 0 && s.Weight <= maxWeight):
		return fmt.Errorf("block %d: the weight %v is not from 0 to %v", s.ID, s.Weight, maxWeight)
	}
	serving := 0
	for i := range s.Replicas {
		if err := s.validateReplica(i, epoch); err != nil {
			return fmt.Errorf("block %d: %w", s.ID, err)
		}
		if !s.Replicas[i].Joining {
			serving++
		}
	}
	if serving == 0 {
		return fmt.Errorf("block %d has no holder that is serving, want at least one", s.ID)
	}
	return nil
}

// validateReplica checks a replica, given by its index, as part of a map of the given epoch.
func (s *Shard) validateReplica(i int, epoch Epoch) error {
	r := s.Replicas[i]
	switch {
	case r.Server == "":
		return fmt.Errorf("holders[%d] has no server name", i)
	case slices.ContainsFunc(s.Replicas[:i], func(other Replica) bool { return other.Server == r.Server }):
		return fmt.Errorf("holder %q is listed more than once", r.Server)
	case r.Joining && s.State != Migrating:
		return fmt.Errorf("holder %q is joining while the block is %s; this is allowed only while it is %s",
			r.Server, s.State, Migrating)
	case r.ServingSince > epoch:
		return fmt.Errorf("holder %q serves since epoch %d, which is later than the map's epoch %d",
			r.Server, r.ServingSince, epoch)
	}
	return nil
}
