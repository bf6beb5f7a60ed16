package shardmap

import "rooktrestle/internal/control/persistentmap"

// ShareWith returns the same map, sharing memory with an earlier one where they are alike. It compares all shards,
// so it should be called before the map is handed to a goroutine that must not be delayed; after it, Views.Offer
// costs no more than what changed. If more than a quarter of the shards differ, m itself is returned.
func (m *Map) ShareWith(old *Map) *Map {
	if old == nil || old.Archive != m.Archive {
		return m
	}
	put, removed, worthwhile := m.differences(old)
	if !worthwhile {
		return m
	}
	shared := &Map{
		Archive: m.Archive,
		Epoch:   m.Epoch,
		NextID:  m.NextID,
		cover:   old.cover,
		all:     old.all,
		weight:  m.weight,
	}
	for _, s := range removed {
		shared.all = shared.all.Delete(s.ID)
		if s.Active() {
			shared.cover = shared.cover.Delete(s.From)
		}
	}
	for _, s := range put {
		shared.all = shared.all.Set(s.ID, s)
		if s.Active() {
			shared.cover = shared.cover.Set(s.From, s)
		}
	}
	return shared
}

// differences returns the shards of a map that an older one does not have, and those of the older one that have to be
// removed from it, and whether they are few enough for sharing to be worthwhile.
func (m *Map) differences(old *Map) (put, removed []*Shard, worthwhile bool) {
	limit := m.all.Len() / 4
	persistentmap.Diff(old.all, m.all, func(d persistentmap.Difference[ID, *Shard]) bool {
		if d.InBefore && d.InAfter && d.Before.equal(d.After) {
			return true
		}
		if d.InBefore {
			removed = append(removed, d.Before)
		}
		if d.InAfter {
			put = append(put, d.After)
		}
		return len(put)+len(removed) <= limit
	})
	return put, removed, len(put)+len(removed) <= limit
}
