package shardmap

import "rooktrestle/internal/control/persistentmap"

// ShareWith returns a map equal to m that shares the memory of unchanged shards with an earlier map. It compares all
// shards, so it should be called before the map is passed to a goroutine that must not be delayed; the cost of
// Views.Offer then depends only on the number of changes. If old is nil or of another archive, or if more than a
// quarter of the shards differ, m itself is returned.
func (m *Map) ShareWith(old *Map) *Map {
	if old == nil || old.Archive != m.Archive {
		return m
	}
	put, removed, worthwhile := m.differences(old)
	if !worthwhile {
		return m
	}
	shared := &Map{
		Archive:      m.Archive,
		Epoch:        m.Epoch,
		NextID:       m.NextID,
		activeByFrom: old.activeByFrom,
		byID:         old.byID,
		weight:       m.weight,
	}
	for _, s := range removed {
		shared.byID = shared.byID.Delete(s.ID)
		if s.Active() {
			shared.activeByFrom = shared.activeByFrom.Delete(s.From)
		}
	}
	for _, s := range put {
		shared.byID = shared.byID.Set(s.ID, s)
		if s.Active() {
			shared.activeByFrom = shared.activeByFrom.Set(s.From, s)
		}
	}
	return shared
}

// differences returns the shards to put into an older map and those to remove from it to get m, and whether they are
// few enough for sharing to be worthwhile.
func (m *Map) differences(old *Map) (put, removed []*Shard, worthwhile bool) {
	limit := m.byID.Len() / 4
	persistentmap.Diff(old.byID, m.byID, func(d persistentmap.Difference[ID, *Shard]) bool {
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
