package shardmap

import "rooktrestle/internal/control/persistentmap"

// ShardChange describes how one shard differs between two maps.
type ShardChange struct {
	ID       ID       `json:"ID"`
	Before   *Shard   `json:"Was"`      // nil: the shard is new
	After    *Shard   `json:"Is"`       // nil: the shard was removed
	Joined   []string `json:"Joined"`   // servers with a replica after the change only
	Left     []string `json:"Left"`     // servers with a replica before the change only
	Promoted []string `json:"Promoted"` // servers whose replica was joining and now serves
}

// Diff returns the changes of shards from one map to another, in the order of their ids.
func Diff(before, after *Map) (changes []ShardChange) {
	persistentmap.Diff(before.byID, after.byID, func(d persistentmap.Difference[ID, *Shard]) bool {
		switch {
		case !d.InAfter:
			changes = append(changes, ShardChange{ID: d.Key, Before: d.Before})
		case !d.InBefore || !d.Before.equal(d.After):
			changes = append(changes, changeOf(d.Before, d.After))
		}
		return true
	})
	return changes
}

// changeOf returns the change of a shard; before is nil if it is new.
func changeOf(before, after *Shard) ShardChange {
	change := ShardChange{ID: after.ID, Before: before, After: after}
	if before == nil {
		before = &Shard{}
	}
	for _, replica := range after.Replicas {
		previous, existed := before.replica(replica.Server)
		switch {
		case !existed:
			change.Joined = append(change.Joined, replica.Server)
		case previous.Joining && !replica.Joining:
			change.Promoted = append(change.Promoted, replica.Server)
		}
	}
	for _, previous := range before.Replicas {
		if _, remains := after.replica(previous.Server); !remains {
			change.Left = append(change.Left, previous.Server)
		}
	}
	return change
}
