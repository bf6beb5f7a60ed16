package shardmap

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"rooktrestle/internal/control/persistentmap"
)

// Map is the assignment of shards to servers in one epoch. It is immutable and safe for concurrent use. Maps of
// successive epochs share the memory of unchanged shards.
type Map struct {
	Archive string // a map never succeeds one of another archive
	Epoch   Epoch
	NextID  ID // ids from this one on were never assigned

	activeByFrom persistentmap.Map[Key, *Shard] // active shards, by the first keys of their ranges
	byID         persistentmap.Map[ID, *Shard]  // all shards, including retiring ones
	weight       float64                        // sum of the active shards' weights
}

// ActiveCount returns the number of active shards.
func (m *Map) ActiveCount() int { return m.activeByFrom.Len() }

// TotalCount returns the number of shards, including retiring ones.
func (m *Map) TotalCount() int { return m.byID.Len() }

// Weight returns the sum of the active shards' weights.
func (m *Map) Weight() float64 { return m.weight }

// Lookup returns the active shard that contains a key.
func (m *Map) Lookup(key Key) *Shard {
	_, shard, ok := m.activeByFrom.Floor(key)
	if !ok {
		return nil
	}
	return shard
}

// Shard returns the shard with an id, retiring or not; nil if there is none.
func (m *Map) Shard(id ID) *Shard {
	shard, _ := m.byID.Get(id)
	return shard
}

// Active calls yield for each active shard in the order of their ranges, until it returns false.
func (m *Map) Active(yield func(*Shard) bool) {
	m.activeByFrom.All(func(_ Key, s *Shard) bool { return yield(s) })
}

// All calls yield for each shard in the order of their ids, until it returns false.
func (m *Map) All(yield func(*Shard) bool) {
	m.byID.All(func(_ ID, s *Shard) bool { return yield(s) })
}

// New returns a map of shards, which must not be changed afterwards. It returns an error if the map is invalid: for
// example if a key is in no active shard or in two, or if a shard has no serving replica. ValidateSuccession checks
// whether the map may follow another.
func New(archive string, epoch Epoch, next ID, shards []*Shard) (*Map, error) {
	if archive == "" || epoch == 0 {
		return nil, fmt.Errorf("map of archive %q, epoch %d: the archive's name must not be empty, "+
			"and the epoch must be at least 1", archive, epoch)
	}
	byID := slices.Clone(shards)
	slices.SortFunc(byID, func(a, b *Shard) int { return cmp.Compare(a.ID, b.ID) })
	var ids []ID
	var active []*Shard
	for i, s := range byID {
		if err := s.validate(epoch, next); err != nil {
			return nil, err
		}
		if i > 0 && byID[i-1].ID == s.ID {
			return nil, fmt.Errorf("block %d is listed more than once; each id must be unique", s.ID)
		}
		ids = append(ids, s.ID)
		if s.Active() {
			active = append(active, s)
		}
	}
	slices.SortFunc(active, func(a, b *Shard) int { return cmp.Compare(a.From, b.From) })
	if err := checkCoverage(active); err != nil {
		return nil, err
	}
	m := &Map{Archive: archive, Epoch: epoch, NextID: next}
	var keys []Key
	for _, s := range active {
		keys = append(keys, s.From)
		m.weight += s.weight()
	}
	m.activeByFrom = persistentmap.Build(keys, active)
	m.byID = persistentmap.Build(ids, byID)
	return m, nil
}

// checkCoverage checks that shards, in the order of their ranges, contain every key exactly once.
func checkCoverage(active []*Shard) error {
	if len(active) == 0 {
		return errors.New("the map has no active block, want at least one")
	}
	end := Key("")
	for i, s := range active {
		switch {
		case i == 0 && s.From != "":
			return openBeginningError(s.From)
		case i > 0 && (end == "" || s.From < end):
			return overlapError(active[i-1], s)
		case i > 0 && s.From > end:
			return gapError(end, s.From)
		}
		end = s.To
	}
	if end != "" {
		return openEndError(end)
	}
	return nil
}

func overlapError(a, b *Shard) error {
	return fmt.Errorf("block %d %s and block %d %s overlap; each key must be in exactly one active block",
		a.ID, a.Range(), b.ID, b.Range())
}

func gapError(from, to Key) error {
	return fmt.Errorf("keys from %q to %q are in no block; each key must be in exactly one active block",
		from, to)
}

func openEndError(from Key) error {
	return fmt.Errorf("keys from %q on are in no block; the last active block must have no end", from)
}

func openBeginningError(to Key) error {
	return fmt.Errorf("keys before %q are in no block; the first active block must begin at the empty key", to)
}
