package shardmap

import "errors"

// Change returns the map of the next epoch, in which the shards of put are added or replace those with the same ids,
// and others are removed. The shards must not be changed afterwards. The result is as valid as that of New, but only
// the changed shards and their neighbors are checked; the remainder is shared with m.
func (m *Map) Change(put []*Shard, remove []ID) (*Map, error) {
	next := &Map{
		Archive:      m.Archive,
		Epoch:        m.Epoch + 1,
		NextID:       m.NextID,
		activeByFrom: m.activeByFrom,
		byID:         m.byID,
		weight:       m.weight,
	}
	for _, s := range put {
		next.NextID = max(next.NextID, s.ID+1)
	}
	for _, id := range remove {
		next.removeActive(next.Shard(id))
		next.byID = next.byID.Delete(id)
	}
	for _, s := range put { // before any insertion, since keys may pass from one shard to another
		next.removeActive(next.Shard(s.ID))
	}
	for _, s := range put {
		if err := next.insert(s); err != nil {
			return nil, err
		}
	}
	if next.activeByFrom.Len() == 0 {
		return nil, errors.New("the map has no active block, want at least one")
	}
	if err := next.checkChangedRanges(m, put, remove); err != nil {
		return nil, err
	}
	return next, nil
}

// removeActive removes a shard from the active ones. It modifies m, which must not be in use elsewhere yet.
func (m *Map) removeActive(s *Shard) {
	if s != nil && s.Active() {
		m.activeByFrom = m.activeByFrom.Delete(s.From)
		m.weight -= s.weight()
	}
}

// insert adds a shard, whose previous version removeActive must have removed. It modifies m, which must not be in use
// elsewhere yet.
func (m *Map) insert(shard *Shard) error {
	if err := shard.validate(m.Epoch, m.NextID); err != nil {
		return err
	}
	m.byID = m.byID.Set(shard.ID, shard)
	if !shard.Active() {
		return nil
	}
	if existing, found := m.activeByFrom.Get(shard.From); found {
		return overlapError(existing, shard)
	}
	m.activeByFrom = m.activeByFrom.Set(shard.From, shard)
	m.weight += shard.weight()
	return nil
}

// checkChangedRanges checks the coverage of keys at the shards that were put or removed: gaps and overlaps can only be
// there.
func (m *Map) checkChangedRanges(old *Map, put []*Shard, remove []ID) error {
	for _, s := range put {
		if err := m.checkBoundaries(s); err != nil {
			return err
		}
		if err := m.checkBoundaries(old.Shard(s.ID)); err != nil {
			return err
		}
	}
	for _, id := range remove {
		if err := m.checkBoundaries(old.Shard(id)); err != nil {
			return err
		}
	}
	return nil
}

// checkBoundaries checks that the keys at both ends of a shard's range are each in one active shard that adjoins its
// neighbors. A nil shard is valid.
func (m *Map) checkBoundaries(shard *Shard) error {
	if shard == nil {
		return nil
	}
	for _, boundary := range []Key{shard.From, shard.To} {
		_, covering, ok := m.activeByFrom.Floor(boundary)
		if !ok {
			return openBeginningError(boundary)
		}
		if !covering.Contains(boundary) {
			return gapError(covering.To, boundary)
		}
		if err := m.checkNextShard(covering); err != nil {
			return err
		}
		if _, previous, ok := m.activeByFrom.Below(covering.From); ok {
			if err := m.checkNextShard(previous); err != nil {
				return err
			}
		}
	}
	if _, last, _ := m.activeByFrom.Last(); last.To != "" {
		return openEndError(last.To)
	}
	return nil
}

// checkNextShard checks that an active shard ends where the next begins.
func (m *Map) checkNextShard(shard *Shard) error {
	var next *Shard
	m.activeByFrom.Ascend(shard.From, func(_ Key, other *Shard) bool {
		if other != shard {
			next = other
		}
		return other == shard
	})
	switch {
	case next == nil && shard.To != "":
		return openEndError(shard.To)
	case next == nil:
		return nil
	case shard.To == "" || next.From < shard.To:
		return overlapError(shard, next)
	case next.From > shard.To:
		return gapError(shard.To, next.From)
	}
	return nil
}
