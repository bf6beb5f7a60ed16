package shardmap

import "errors"

// Change returns the map of the next epoch: shards are put in place of those with the same ids, and others removed. The
// shards must not be changed afterwards. Change validates the whole map as New does, but looks only at what changes and
// at its neighbours; the rest is shared with m.
func (m *Map) Change(put []*Shard, remove []ID) (*Map, error) {
	next := &Map{
		Archive: m.Archive,
		Epoch:   m.Epoch + 1,
		NextID:  m.NextID,
		cover:   m.cover,
		all:     m.all,
		weight:  m.weight,
	}
	for _, s := range put {
		next.NextID = max(next.NextID, s.ID+1)
	}
	for _, id := range remove {
		next.uncover(next.Shard(id))
		next.all = next.all.Delete(id)
	}
	for _, s := range put { // before any is inserted, as ranges may pass from one shard to another
		next.uncover(next.Shard(s.ID))
	}
	for _, s := range put {
		if err := next.insert(s); err != nil {
			return nil, err
		}
	}
	if next.cover.Len() == 0 {
		return nil, errors.New("no block is active")
	}
	if err := next.checkChanged(m, put, remove); err != nil {
		return nil, err
	}
	return next, nil
}

// uncover takes a shard out of the cover. It is used on a map that nobody else has yet.
func (m *Map) uncover(s *Shard) {
	if s != nil && s.Active() {
		m.cover = m.cover.Delete(s.From)
		m.weight -= s.weight()
	}
}

// insert adds a shard whose predecessor was uncovered. It is used on a map that nobody else has yet.
func (m *Map) insert(shard *Shard) error {
	if err := shard.validate(m.Epoch, m.NextID); err != nil {
		return err
	}
	m.all = m.all.Set(shard.ID, shard)
	if !shard.Active() {
		return nil
	}
	if existing, found := m.cover.Get(shard.From); found {
		return overlapError(existing, shard)
	}
	m.cover = m.cover.Set(shard.From, shard)
	m.weight += shard.weight()
	return nil
}

// checkChanged checks the coverage of the keys where a shard was put or removed: there can be a gap or an overlap only
// there.
func (m *Map) checkChanged(old *Map, put []*Shard, remove []ID) error {
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

// checkBoundaries checks that the keys at both ends of a shard's range are each in one active shard, and that the
// active shards there adjoin their neighbours. A nil shard is valid.
func (m *Map) checkBoundaries(shard *Shard) error {
	if shard == nil {
		return nil
	}
	for _, boundary := range []Key{shard.From, shard.To} {
		_, covering, ok := m.cover.Floor(boundary)
		if !ok {
			return openBeginningError(boundary)
		}
		if !covering.Contains(boundary) {
			return gapError(covering.To, boundary)
		}
		if err := m.checkNextShard(covering); err != nil {
			return err
		}
		if _, previous, ok := m.cover.Below(covering.From); ok {
			if err := m.checkNextShard(previous); err != nil {
				return err
			}
		}
	}
	if _, last, _ := m.cover.Last(); last.To != "" {
		return openEndError(last.To)
	}
	return nil
}

// checkNextShard checks that an active shard ends where the next begins.
func (m *Map) checkNextShard(shard *Shard) error {
	var next *Shard
	m.cover.Ascend(shard.From, func(_ Key, other *Shard) bool {
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
