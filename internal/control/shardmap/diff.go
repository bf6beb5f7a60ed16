package shardmap

import "rooktrestle/internal/control/persistentmap"

// ShardChange is what changed of one shard between two maps.
type ShardChange struct {
	ID       ID       `json:"ID"`
	Before   *Shard   `json:"Was"`      // before; nil: it is new
	After    *Shard   `json:"Is"`       // after; nil: it was removed
	Joined   []string `json:"Joined"`   // servers that have a replica and had none
	Left     []string `json:"Left"`     // servers that had a replica and have none
	Promoted []string `json:"Promoted"` // servers whose replica was joining, and serves
}

// Diff returns what changed from one map to another, in the order of the shards' ids.
func Diff(before, after *Map) (changes []ShardChange) {
	persistentmap.Diff(before.all, after.all, func(d persistentmap.Difference[ID, *Shard]) bool {
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

// changeOf compares a shard with what it was before, or nil.
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
