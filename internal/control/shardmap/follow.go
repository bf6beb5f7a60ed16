package shardmap

import (
	"errors"
	"fmt"
	"slices"

	"rooktrestle/internal/control/persistentmap"
)

// Refusals that a source has to be told apart.
var (
	ErrStaleEpoch   = errors.New("an older epoch, or the same again")
	ErrOtherArchive = errors.New("a map of another archive")
	ErrForked       = errors.New("the same epoch with other blocks")
)

// ValidateSuccession says whether a map may follow another. One epoch on, every step has to be legal; more epochs on, what
// cannot be seen is left open, but ids, ranges and the cover still have to fit.
func (m *Map) ValidateSuccession(old *Map) error {
	switch {
	case m.Archive != old.Archive:
		return fmt.Errorf("%w: %q after %q", ErrOtherArchive, m.Archive, old.Archive)
	case m.Epoch == old.Epoch && !m.same(old):
		return fmt.Errorf("%w: %d", ErrForked, m.Epoch)
	case m.Epoch <= old.Epoch:
		return fmt.Errorf("%w: %d after %d", ErrStaleEpoch, m.Epoch, old.Epoch)
	case m.NextID < old.NextID:
		return fmt.Errorf("next_id goes back from %d to %d", old.NextID, m.NextID)
	}
	gap := m.Epoch > old.Epoch+1
	var err error
	persistentmap.Diff(old.all, m.all, func(id ID, inOld, inNow bool, was, b *Shard) bool { // what is shared is passed over
		switch {
		case !inNow:
			if !gap && was.Active() {
				err = fmt.Errorf("block %d: gone while it is %s; it has to retire first", id, was.State)
			}
		case !inOld && id < old.NextID:
			err = fmt.Errorf("block %d: the id was given before", id)
		case !inOld && !gap:
			err = m.newcomer(old, b)
		case !inOld:
		case was.From != b.From || was.To != b.To:
			err = fmt.Errorf("block %d: its range goes from %s to %s; that takes a new id", id, was.Range(), b.Range())
		case !gap:
			err = succeeds(was, b, m.Epoch)
		case was.State == Retiring && b.State != Retiring:
			err = fmt.Errorf("block %d: from retiring to %s", id, b.State)
		}
		return err == nil
	})
	return err
}

// same says whether two maps list the same blocks.
func (m *Map) same(o *Map) bool {
	if m.all.Len() != o.all.Len() || m.NextID != o.NextID {
		return false
	}
	same := true
	persistentmap.Diff(m.all, o.all, func(_ ID, inM, inO bool, b, c *Shard) bool {
		same = inM && inO && b.equal(c)
		return same
	})
	return same
}

func (b *Shard) equal(c *Shard) bool {
	return c.ID == b.ID && c.From == b.From && c.To == b.To && c.State == b.State && c.Weight == b.Weight &&
		slices.Equal(c.Replicas, b.Replicas) && slices.Equal(c.Parents, b.Parents)
}

// ShareWith returns the same map, sharing with an earlier one what they have in common. It costs a look at every block, so
// it is done before a map is offered to who must not wait; to offer it costs no more than what changes then.
func (m *Map) ShareWith(old *Map) *Map {
	if old == nil || old.Archive != m.Archive {
		return m
	}
	n := &Map{Archive: m.Archive, Epoch: m.Epoch, NextID: m.NextID, cover: old.cover, all: old.all, weight: m.weight}
	var put, gone []*Shard
	persistentmap.Diff(old.all, m.all, func(_ ID, inOld, inNow bool, was, b *Shard) bool {
		if inOld && inNow && was.equal(b) {
			return true
		}
		if inOld {
			gone = append(gone, was)
		}
		if inNow {
			put = append(put, b)
		}
		return len(put)+len(gone) <= m.all.Len()/4 // else there is little to share
	})
	if len(put)+len(gone) > m.all.Len()/4 {
		return m
	}
	for _, b := range gone {
		n.all = n.all.Delete(b.ID)
		if b.Active() {
			n.cover = n.cover.Delete(b.From)
		}
	}
	for _, b := range put {
		n.all = n.all.Set(b.ID, b)
		if b.Active() {
			n.cover = n.cover.Set(b.From, b)
		}
	}
	return n
}

// states that may follow one another, of one block.
var follow = map[State][]State{
	Serving:   {Serving, Migrating, Splitting, Merging},
	Migrating: {Migrating, Serving},
	Splitting: {Splitting, Serving, Retiring},
	Merging:   {Merging, Serving, Retiring},
	Retiring:  {Retiring},
}

// succeeds checks one block from one epoch to the next.
func succeeds(was, is *Shard, epoch Epoch) error {
	if !slices.Contains(follow[was.State], is.State) {
		return fmt.Errorf("block %d: from %s to %s", is.ID, was.State, is.State)
	}
	if !slices.Equal(was.Parents, is.Parents) {
		return fmt.Errorf("block %d: its parents change", is.ID)
	}
	for _, h := range is.Replicas {
		i := slices.IndexFunc(was.Replicas, func(o Replica) bool { return o.Server == h.Server })
		switch {
		case i < 0 && !h.Joining:
			return fmt.Errorf("block %d: %s serves without having joined", is.ID, h.Server)
		case i < 0 && was.State != Serving && was.State != Migrating:
			return fmt.Errorf("block %d: %s joins while the block is %s", is.ID, h.Server, was.State)
		case i >= 0 && !was.Replicas[i].Joining && h.Joining:
			return fmt.Errorf("block %d: %s served, and joins again", is.ID, h.Server)
		case i >= 0 && was.Replicas[i].Joining && !h.Joining && h.ServingSince != epoch:
			return fmt.Errorf("block %d: %s serves since epoch %d, and not since %d", is.ID, h.Server, epoch, h.ServingSince)
		case i >= 0 && !was.Replicas[i].Joining && h.ServingSince != was.Replicas[i].ServingSince:
			return fmt.Errorf("block %d: %s served since epoch %d, and now since %d", is.ID, h.Server, was.Replicas[i].ServingSince, h.ServingSince)
		}
	}
	if was.State != Migrating && is.State != Migrating && len(is.ServingReplicas()) < len(was.ServingReplicas()) && is.State != Retiring {
		return fmt.Errorf("block %d: a holder leaves while the block is %s", is.ID, is.State)
	}
	// Someone who served before has to be among those who serve now: nobody else is known to have all.
	kept := was.State == Retiring
	for _, h := range is.ServingReplicas() {
		kept = kept || was.ServedBy(h.Server)
	}
	if !kept {
		return fmt.Errorf("block %d: none of its holders held it before", is.ID)
	}
	return nil
}

// newcomer checks a block whose id is new: it takes the place of its parents, which retire with this epoch.
func (m *Map) newcomer(old *Map, b *Shard) error {
	if b.State != Serving {
		return fmt.Errorf("block %d: new, and %s", b.ID, b.State)
	}
	if len(b.Parents) == 0 {
		return fmt.Errorf("block %d: new, and without parents", b.ID)
	}
	for i, id := range b.Parents {
		was, is := old.Shard(id), m.Shard(id)
		switch {
		case was == nil || is == nil:
			return fmt.Errorf("block %d: its parent %d is not there", b.ID, id)
		case was.State != Splitting && was.State != Merging || is.State != Retiring:
			return fmt.Errorf("block %d: its parent %d goes from %s to %s", b.ID, id, was.State, is.State)
		case was.State == Splitting && (len(b.Parents) != 1 || b.From < was.From || was.To != "" && (b.To == "" || b.To > was.To)):
			return fmt.Errorf("block %d: its range %s is not a part of its parent's %s", b.ID, b.Range(), was.Range())
		case was.State == Merging && i == 0 && b.From != was.From, was.State == Merging && i == len(b.Parents)-1 && b.To != was.To,
			was.State == Merging && i > 0 && old.Shard(b.Parents[i-1]).To != was.From:
			return fmt.Errorf("block %d: its range %s is not that of its parents together", b.ID, b.Range())
		}
		for _, h := range b.ServingReplicas() {
			if !was.ServedBy(h.Server) {
				return fmt.Errorf("block %d: its holder %s did not serve its parent %d", b.ID, h.Server, id)
			}
		}
	}
	return nil
}
