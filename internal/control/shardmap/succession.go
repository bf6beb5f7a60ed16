package shardmap

import (
	"errors"
	"fmt"
	"slices"

	"rooktrestle/internal/control/persistentmap"
)

// Errors of ValidateSuccession that callers distinguish.
var (
	// ErrStaleEpoch means that the map is not newer than the current one.
	ErrStaleEpoch = errors.New("the map has the same or an older epoch")
	// ErrOtherArchive means that the map is of another archive.
	ErrOtherArchive = errors.New("the map is of another archive")
	// ErrForked means that two maps of one epoch differ: they cannot come from one controller.
	ErrForked = errors.New("the map differs from another map of the same epoch")
)

// ValidateSuccession returns an error unless the map may follow an older one. If it is the next epoch, every change
// must be legal. If epochs between them are missing, only what holds over any number of epochs is checked: that ids are
// not reused, that ranges do not change and that retiring shards do not become active.
func (m *Map) ValidateSuccession(old *Map) error {
	switch {
	case m.Archive != old.Archive:
		return fmt.Errorf("%w: %q, want %q", ErrOtherArchive, m.Archive, old.Archive)
	case m.Epoch == old.Epoch && !m.sameShards(old):
		return fmt.Errorf("%w: %d; a changed map needs a new epoch", ErrForked, m.Epoch)
	case m.Epoch <= old.Epoch:
		return fmt.Errorf("%w: %d, want at least %d", ErrStaleEpoch, m.Epoch, old.Epoch+1)
	case m.NextID < old.NextID:
		return fmt.Errorf("next_id decreases from %d to %d; it must not, so that no id is reused", old.NextID, m.NextID)
	}
	validate := m.validateNextEpoch
	if m.Epoch > old.Epoch+1 {
		validate = m.validateLaterEpoch
	}
	var err error
	// Diff skips shards that the maps share.
	persistentmap.Diff(old.byID, m.byID, func(d persistentmap.Difference[ID, *Shard]) bool {
		err = validate(old, d.Before, d.After)
		return err == nil
	})
	return err
}

// validateNextEpoch checks the change of a shard in one epoch. before is nil if it is new, after if it was removed.
func (m *Map) validateNextEpoch(old *Map, before, after *Shard) error {
	switch {
	case after == nil && before.Active():
		return fmt.Errorf("block %d is removed while it is %s; only a block that is %s may be removed",
			before.ID, before.State, Retiring)
	case after == nil:
		return nil
	case before == nil && after.ID < old.NextID:
		return idReusedError(after)
	case before == nil:
		return m.checkNewShard(old, after)
	case before.From != after.From || before.To != after.To:
		return rangeChangedError(before, after)
	}
	return checkTransition(before, after, m.Epoch)
}

// validateLaterEpoch checks the change of a shard over several epochs. before is nil if it is new, after if it was
// removed.
func (m *Map) validateLaterEpoch(old *Map, before, after *Shard) error {
	switch {
	case after == nil:
		return nil
	case before == nil && after.ID < old.NextID:
		return idReusedError(after)
	case before == nil:
		return nil
	case before.From != after.From || before.To != after.To:
		return rangeChangedError(before, after)
	case before.State == Retiring && after.State != Retiring:
		return fmt.Errorf("block %d: the state changes from %s to %s; it must not change any more",
			after.ID, before.State, after.State)
	}
	return nil
}

func idReusedError(s *Shard) error {
	return fmt.Errorf("block %d: the id was assigned before; a new block needs an unused id", s.ID)
}

func rangeChangedError(before, after *Shard) error {
	return fmt.Errorf("block %d: the range changes from %s to %s; a new range requires a new id",
		after.ID, before.Range(), after.Range())
}

// sameShards reports whether two maps have equal shards and the same next id.
func (m *Map) sameShards(other *Map) bool {
	if m.byID.Len() != other.byID.Len() || m.NextID != other.NextID {
		return false
	}
	same := true
	persistentmap.Diff(m.byID, other.byID, func(d persistentmap.Difference[ID, *Shard]) bool {
		same = d.InBefore && d.InAfter && d.Before.equal(d.After)
		return same
	})
	return same
}

// allowedTransitions lists the states that may follow a shard's state in the next epoch.
var allowedTransitions = map[State][]State{
	Serving:   {Serving, Migrating, Splitting, Merging},
	Migrating: {Migrating, Serving},
	Splitting: {Splitting, Serving, Retiring},
	Merging:   {Merging, Serving, Retiring},
	Retiring:  {Retiring},
}

// checkTransition checks the change of one shard from one epoch to the next.
func checkTransition(before, after *Shard, epoch Epoch) error {
	if !slices.Contains(allowedTransitions[before.State], after.State) {
		return fmt.Errorf("block %d: the state changes from %s to %s, want one of %s",
			after.ID, before.State, after.State, allowedTransitions[before.State])
	}
	if !slices.Equal(before.Parents, after.Parents) {
		return fmt.Errorf("block %d: the parents change from %v to %v; they must stay the same",
			after.ID, before.Parents, after.Parents)
	}
	for _, r := range after.Replicas {
		if err := checkReplicaTransition(before, r, epoch); err != nil {
			return fmt.Errorf("block %d: %w", after.ID, err)
		}
	}
	serving := after.ServingReplicas()
	mayLeave := before.State == Migrating || after.State == Migrating || after.State == Retiring
	if !mayLeave && len(serving) < len(before.ServingReplicas()) {
		return fmt.Errorf("block %d: a holder leaves while the block is %s; this is allowed only while it is %s or %s",
			after.ID, after.State, Migrating, Retiring)
	}
	// At least one serving replica must have served before: no other is known to be complete.
	served := func(r Replica) bool { return before.ServedBy(r.Server) }
	if before.State != Retiring && !slices.ContainsFunc(serving, served) {
		return fmt.Errorf("block %d: none of its serving holders served it before; at least one must have", after.ID)
	}
	return nil
}

// checkReplicaTransition checks one replica of the next epoch against the previous version of the shard.
func checkReplicaTransition(before *Shard, replica Replica, epoch Epoch) error {
	server := replica.Server
	previous, existed := before.replica(server)
	switch {
	case !existed && !replica.Joining:
		return fmt.Errorf("holder %q serves without having joined; a new holder must join first", server)
	case !existed && before.State != Serving && before.State != Migrating:
		return fmt.Errorf("holder %q joins a block that was %s; this is allowed only if it was %s or %s",
			server, before.State, Serving, Migrating)
	case !existed:
		return nil
	case !previous.Joining && replica.Joining:
		return fmt.Errorf("holder %q already served and must not join again", server)
	case previous.Joining && !replica.Joining && replica.ServingSince != epoch:
		return fmt.Errorf("holder %q serves since epoch %d, want epoch %d, the first in which it is not joining",
			server, replica.ServingSince, epoch)
	case !previous.Joining && replica.ServingSince != previous.ServingSince:
		return fmt.Errorf("holder %q serves since epoch %d, want epoch %d as in the previous map",
			server, replica.ServingSince, previous.ServingSince)
	}
	return nil
}

// checkNewShard checks a shard whose id is new: it must replace its parents, which must retire in this epoch.
func (m *Map) checkNewShard(old *Map, shard *Shard) error {
	if shard.State != Serving {
		return fmt.Errorf("block %d is new and %s; a new block must be %s", shard.ID, shard.State, Serving)
	}
	if len(shard.Parents) == 0 {
		return fmt.Errorf("block %d is new and without parents; a new block must replace others", shard.ID)
	}
	for i, id := range shard.Parents {
		before := old.Shard(id)
		after := m.Shard(id)
		switch {
		case before == nil || after == nil:
			return fmt.Errorf("block %d: its parent %d is missing from the previous map or from this one", shard.ID, id)
		case before.State != Splitting && before.State != Merging || after.State != Retiring:
			return fmt.Errorf("block %d: the state of its parent %d changes from %s to %s, want from %s or %s to %s",
				shard.ID, id, before.State, after.State, Splitting, Merging, Retiring)
		case before.State == Splitting && !isPartOf(shard, before):
			return fmt.Errorf("block %d with parents %v: block %d must be its only parent, "+
				"and its range %s must lie in the parent's %s",
				shard.ID, shard.Parents, id, shard.Range(), before.Range())
		case before.State == Merging && !mergesParent(old, shard, i):
			return fmt.Errorf("block %d: its range %s must be that of its parents %v, adjacent and in this order",
				shard.ID, shard.Range(), shard.Parents)
		}
		for _, r := range shard.ServingReplicas() {
			if !before.ServedBy(r.Server) {
				return fmt.Errorf("block %d: its holder %q did not serve its parent %d; "+
					"each holder must have served every parent", shard.ID, r.Server, id)
			}
		}
	}
	return nil
}

// isPartOf reports whether a shard has only this parent and lies in its range.
func isPartOf(s, parent *Shard) bool {
	endsWithin := parent.To == "" || s.To != "" && s.To <= parent.To
	return len(s.Parents) == 1 && s.From >= parent.From && endsWithin
}

// mergesParent reports whether a shard's parent, given by its index, is at the right position in the merged range: the
// first at its beginning, the last at its end, and each adjacent to the previous one.
func mergesParent(old *Map, shard *Shard, index int) bool {
	parent := old.Shard(shard.Parents[index])
	if index == 0 && shard.From != parent.From {
		return false
	}
	if index == len(shard.Parents)-1 && shard.To != parent.To {
		return false
	}
	return index == 0 || old.Shard(shard.Parents[index-1]).To == parent.From
}
