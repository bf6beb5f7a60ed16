package shardmap

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"rooktrestle/internal/control/persistentmap"
)

// Part of a block. It is given once and never again.
type ID uint64

// Epoch numbers maps.
type Epoch uint64

// State of a block.
type State string

const (
	Serving   State = "serving"
	Migrating State = "moving"    // holders join and leave
	Splitting State = "splitting" // two or more are about to take its place
	Merging   State = "merging"   // it is about to become one with its neighbours
	Retiring  State = "retiring"  // others have taken its place: only queries of earlier epochs ask for it
)

// Replica is a server's part in a block.
type Replica struct {
	Server string `json:"server"`
	// Joining: it copies, and is asked for nothing yet.
	Joining bool `json:"joining,omitempty"`
	// ServingSince is the epoch from which on it serves the block; it is cold for it at first.
	ServingSince Epoch `json:"since,omitempty"`
}

// Shard is one range of keys and who holds it. It is not changed once it stands in a Map.
type Shard struct {
	ID       ID        `json:"id"`
	From     Key       `json:"from"`
	To       Key       `json:"to"` // the end, not in it; empty: no end
	State    State     `json:"state"`
	Weight   float64   `json:"weight,omitempty"` // share of the archive, in any unit; 0: 1
	Replicas []Replica `json:"holders"`
	Parents  []ID      `json:"parents,omitempty"` // that it took the place of
}

// Contains says whether a key lies in the block.
func (b *Shard) Contains(k Key) bool { return k >= b.From && (b.To == "" || k < b.To) }

// Active blocks cover the keys; others are there for earlier epochs only.
func (b *Shard) Active() bool { return b.State != Retiring }

// ServedBy says whether a server is asked for parts of the block.
func (b *Shard) ServedBy(server string) bool {
	i := slices.IndexFunc(b.Replicas, func(h Replica) bool { return h.Server == server })
	return i >= 0 && !b.Replicas[i].Joining
}

// ServingReplicas are those asked for parts of the block.
func (b *Shard) ServingReplicas() (list []Replica) {
	for _, h := range b.Replicas {
		if !h.Joining {
			list = append(list, h)
		}
	}
	return list
}

func (b *Shard) weight() float64 {
	if b.Weight > 0 {
		return b.Weight
	}
	return 1
}

// Range prints the block's range.
func (b *Shard) Range() string {
	from, to := string(b.From), string(b.To)
	if from == "" {
		from = "-inf"
	}
	if to == "" {
		to = "+inf"
	}
	return "[" + from + ", " + to + ")"
}

// Map is one epoch. It never changes, and shares with its neighbours what they have in common.
type Map struct {
	Archive string // maps of different archives never follow one another
	Epoch   Epoch
	NextID  ID // ids from here on were never given
	cover   persistentmap.Tree[Key, *Shard]
	all     persistentmap.Tree[ID, *Shard]
	weight  float64 // of the cover
}

// ActiveCount is the number of active blocks.
func (m *Map) ActiveCount() int { return m.cover.Len() }

// TotalCount is the number of blocks, retiring ones included.
func (m *Map) TotalCount() int { return m.all.Len() }

// Weight is the sum of the active blocks' weights.
func (m *Map) Weight() float64 { return m.weight }

// Lookup is the active block that has a key.
func (m *Map) Lookup(k Key) *Shard {
	_, b, ok := m.cover.Floor(k)
	if !ok {
		return nil
	}
	return b
}

// Shard finds a block by its id, retiring or not; nil if it is not there.
func (m *Map) Shard(id ID) *Shard {
	b, _ := m.all.Get(id)
	return b
}

// Active calls f for each active block in the order of their ranges, until it returns false.
func (m *Map) Active(f func(*Shard) bool) {
	m.cover.All(func(_ Key, b *Shard) bool { return f(b) })
}

// All calls f for each block in the order of their ids, until it returns false.
func (m *Map) All(f func(*Shard) bool) {
	m.all.All(func(_ ID, b *Shard) bool { return f(b) })
}

// New makes a map of blocks, which are the caller's no longer. It refuses what is no map in itself: a gap, an
// overlap, a block without a holder. Whether it may follow another is for Follows.
func New(archive string, epoch Epoch, next ID, list []*Shard) (*Map, error) {
	if archive == "" || epoch == 0 {
		return nil, errors.New("a map needs an archive's name and an epoch over 0")
	}
	m := &Map{Archive: archive, Epoch: epoch, NextID: next}
	byID := slices.Clone(list)
	slices.SortFunc(byID, func(a, b *Shard) int { return compare(a.ID, b.ID) })
	var ids []ID
	var active []*Shard
	for i, b := range byID {
		if err := b.check(epoch, next); err != nil {
			return nil, err
		}
		if i > 0 && byID[i-1].ID == b.ID {
			return nil, fmt.Errorf("block %d stands twice", b.ID)
		}
		ids = append(ids, b.ID)
		if b.Active() {
			active = append(active, b)
		}
	}
	slices.SortFunc(active, func(a, b *Shard) int { return strings.Compare(string(a.From), string(b.From)) })
	if err := covers(active); err != nil {
		return nil, err
	}
	var keys []Key
	for _, b := range active {
		keys = append(keys, b.From)
		m.weight += b.weight()
	}
	m.cover, m.all = persistentmap.Build(keys, active), persistentmap.Build(ids, byID)
	return m, nil
}

func compare[T ~uint64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// covers checks that blocks, in the order of their beginnings, have every key exactly once.
func covers(active []*Shard) error {
	if len(active) == 0 {
		return errors.New("no block is active")
	}
	end := Key("")
	for i, b := range active {
		switch {
		case i == 0 && b.From != "":
			return fmt.Errorf("keys before %q are in no block", b.From)
		case i > 0 && end == "":
			return fmt.Errorf("blocks %d and %d overlap", active[i-1].ID, b.ID)
		case i > 0 && b.From < end:
			return fmt.Errorf("blocks %d and %d overlap", active[i-1].ID, b.ID)
		case i > 0 && b.From > end:
			return fmt.Errorf("keys from %q to %q are in no block", end, b.From)
		}
		end = b.To
	}
	if end != "" {
		return fmt.Errorf("keys from %q on are in no block", end)
	}
	return nil
}

// check looks at one block by itself.
func (b *Shard) check(epoch Epoch, next ID) error {
	switch {
	case b.ID == 0 || b.ID >= next:
		return fmt.Errorf("block %d: ids are over 0 and under next_id %d", b.ID, next)
	case b.To != "" && b.From >= b.To:
		return fmt.Errorf("block %d: the range %s is empty", b.ID, b.Range())
	case !slices.Contains([]State{Serving, Migrating, Splitting, Merging, Retiring}, b.State):
		return fmt.Errorf("block %d: state %q", b.ID, b.State)
	case !(b.Weight >= 0 && b.Weight <= 1e12):
		return fmt.Errorf("block %d: weight %v", b.ID, b.Weight)
	}
	serving := 0
	for i, h := range b.Replicas {
		switch {
		case h.Server == "":
			return fmt.Errorf("block %d: a holder without a name", b.ID)
		case slices.ContainsFunc(b.Replicas[:i], func(o Replica) bool { return o.Server == h.Server }):
			return fmt.Errorf("block %d: holder %s stands twice", b.ID, h.Server)
		case h.Joining && b.State != Migrating:
			return fmt.Errorf("block %d: %s joins, and the block is %s, not moving", b.ID, h.Server, b.State)
		case h.ServingSince > epoch:
			return fmt.Errorf("block %d: %s serves since epoch %d, which is to come", b.ID, h.Server, h.ServingSince)
		}
		if !h.Joining {
			serving++
		}
	}
	if serving == 0 {
		return fmt.Errorf("block %d has no holder that serves", b.ID)
	}
	return nil
}

// Change makes the next epoch of a map: blocks put in place of those of the same id, and blocks removed. What does not
// change is shared. It checks the whole as New does, but looks only at what changes and its surroundings.
func (m *Map) Change(put []*Shard, remove []ID) (*Map, error) {
	n := &Map{Archive: m.Archive, Epoch: m.Epoch + 1, NextID: m.NextID, cover: m.cover, all: m.all, weight: m.weight}
	for _, b := range put {
		n.NextID = max(n.NextID, b.ID+1)
	}
	take := func(b *Shard) {
		if b != nil && b.Active() {
			n.cover = n.cover.Delete(b.From)
			n.weight -= b.weight()
		}
	}
	for _, id := range remove {
		take(n.Shard(id))
		n.all = n.all.Delete(id)
	}
	for _, b := range put { // first all that goes, as ranges may pass from one to another
		take(n.Shard(b.ID))
	}
	for _, b := range put {
		if err := b.check(n.Epoch, n.NextID); err != nil {
			return nil, err
		}
		n.all = n.all.Set(b.ID, b)
		if b.Active() {
			if o, ok := n.cover.Get(b.From); ok {
				return nil, fmt.Errorf("blocks %d and %d overlap", o.ID, b.ID)
			}
			n.cover = n.cover.Set(b.From, b)
			n.weight += b.weight()
		}
	}
	if n.cover.Len() == 0 {
		return nil, errors.New("no block is active")
	}
	// Only where something went or came can there be a gap or an overlap.
	for _, b := range put {
		if err := n.seams(b); err != nil {
			return nil, err
		}
		if err := n.seams(m.Shard(b.ID)); err != nil {
			return nil, err
		}
	}
	for _, id := range remove {
		if err := n.seams(m.Shard(id)); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// seams checks that the keys at both ends of a range are each in one block, and that those next to each other meet.
func (m *Map) seams(b *Shard) error {
	if b == nil {
		return nil
	}
	for _, k := range []Key{b.From, b.To} {
		_, at, ok := m.cover.Floor(k)
		if !ok {
			return fmt.Errorf("keys before %q are in no block", k)
		}
		if !at.Contains(k) {
			return fmt.Errorf("keys from %q to %q are in no block", at.To, k)
		}
		if err := m.meets(at); err != nil {
			return err
		}
		if _, p, ok := m.cover.Below(at.From); ok {
			if err := m.meets(p); err != nil {
				return err
			}
		}
	}
	if _, last, _ := m.cover.Last(); last.To != "" {
		return fmt.Errorf("keys from %q on are in no block", last.To)
	}
	return nil
}

// meets checks that a block ends where the next begins.
func (m *Map) meets(b *Shard) error {
	var next *Shard
	m.cover.Ascend(b.From, func(_ Key, o *Shard) bool {
		if o != b {
			next = o
		}
		return o == b
	})
	switch {
	case next == nil && b.To != "":
		return fmt.Errorf("keys from %q on are in no block", b.To)
	case next == nil:
	case b.To == "" || next.From < b.To:
		return fmt.Errorf("blocks %d and %d overlap", b.ID, next.ID)
	case next.From > b.To:
		return fmt.Errorf("keys from %q to %q are in no block", b.To, next.From)
	}
	return nil
}
