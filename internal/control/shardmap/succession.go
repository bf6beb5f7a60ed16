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
	ErrStaleEpoch = errors.New("an older epoch, or the same again")
	// ErrOtherArchive means that the map is of another archive.
	ErrOtherArchive = errors.New("a map of another archive")
	// ErrForked means that two maps of one epoch differ: they cannot come from one controller.
	ErrForked = errors.New("the same epoch with other blocks")
)

// ValidateSuccession returns an error unless the map may follow an older one. If it is the next epoch, every change
// must be legal. If epochs between them are missing, only what holds over any number of epochs is checked: that ids are
// not reused, that ranges do not change and that retiring shards do not become active.
func (m *Map) ValidateSuccession(old *Map) error {
	switch {
	case m.Archive != old.Archive:
		return fmt.Errorf("%w: %q after %q", ErrOtherArchive, m.Archive, old.Archive)
	case m.Epoch == old.Epoch && !m.sameShards(old):
		return fmt.Errorf("%w: %d", ErrForked, m.Epoch)
	case m.Epoch <= old.Epoch:
		return fmt.Errorf("%w: %d after %d", ErrStaleEpoch, m.Epoch, old.Epoch)
	case m.NextID < old.NextID:
		return fmt.Errorf("next_id goes back from %d to %d", old.NextID, m.NextID)
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
		return fmt.Errorf("block %d: gone while it is %s; it has to retire first", before.ID, before.State)
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
		return fmt.Errorf("block %d: from retiring to %s", after.ID, after.State)
	}
	return nil
}

func idReusedError(s *Shard) error { return fmt.Errorf("block %d: the id was given before", s.ID) }

func rangeChangedError(before, after *Shard) error {
	return fmt.Errorf("block %d: its range goes from %s to %s; that takes a new id",
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
		return fmt.Errorf("block %d: from %s to %s", after.ID, before.State, after.State)
	}
	if !slices.Equal(before.Parents, after.Parents) {
		return fmt.Errorf("block %d: its parents change", after.ID)
	}
	for _, r := range after.Replicas {
		if err := checkReplicaTransition(before, r, epoch); err != nil {
			return fmt.Errorf("block %d: %w", after.ID, err)
		}
	}
	serving := after.ServingReplicas()
	mayLeave := before.State == Migrating || after.State == Migrating || after.State == Retiring
	if !mayLeave && len(serving) < len(before.ServingReplicas()) {
		return fmt.Errorf("block %d: a holder leaves while the block is %s", after.ID, after.State)
	}
	// At least one serving replica must have served before: no other is known to be complete.
	served := func(r Replica) bool { return before.ServedBy(r.Server) }
	if before.State != Retiring && !slices.ContainsFunc(serving, served) {
		return fmt.Errorf("block %d: none of its holders held it before", after.ID)
	}
	return nil
}

// checkReplicaTransition checks one replica of the next epoch against the previous version of the shard.
func checkReplicaTransition(before *Shard, replica Replica, epoch Epoch) error {
	server := replica.Server
	previous, existed := before.replica(server)
	switch {
	case !existed && !replica.Joining:
		return fmt.Errorf("%s serves without having joined", server)
	case !existed && before.State != Serving && before.State != Migrating:
		return fmt.Errorf("%s joins while the block is %s", server, before.State)
	case !existed:
		return nil
	case !previous.Joining && replica.Joining:
		return fmt.Errorf("%s served, and joins again", server)
	case previous.Joining && !replica.Joining && replica.ServingSince != epoch:
		return fmt.Errorf("%s serves since epoch %d, and not since %d", server, epoch, replica.ServingSince)
	case !previous.Joining && replica.ServingSince != previous.ServingSince:
		return fmt.Errorf("%s served since epoch %d, and now since %d",
			server, previous.ServingSince, replica.ServingSince)
	}
	return nil
}

// checkNewShard checks a shard whose id is new: it must replace its parents, which must retire in this epoch.
func (m *Map) checkNewShard(old *Map, shard *Shard) error {
	if shard.State != Serving {
		return fmt.Errorf("block %d: new, and %s", shard.ID, shard.State)
	}
	if len(shard.Parents) == 0 {
		return fmt.Errorf("block %d: new, and without parents", shard.ID)
	}
	for i, id := range shard.Parents {
		before := old.Shard(id)
		after := m.Shard(id)
		switch {
		case before == nil || after == nil:
			return fmt.Errorf("block %d: its parent %d is not there", shard.ID, id)
		case before.State != Splitting && before.State != Merging || after.State != Retiring:
			return fmt.Errorf("block %d: its parent %d goes from %s to %s", shard.ID, id, before.State, after.State)
		case before.State == Splitting && !isPartOf(shard, before):
			return fmt.Errorf("block %d: its range %s is not a part of its parent's %s",
				shard.ID, shard.Range(), before.Range())
		case before.State == Merging && !mergesParent(old, shard, i):
			return fmt.Errorf("block %d: its range %s is not that of its parents together", shard.ID, shard.Range())
		}
		for _, r := range shard.ServingReplicas() {
			if !before.ServedBy(r.Server) {
				return fmt.Errorf("block %d: its holder %s did not serve its parent %d", shard.ID, r.Server, id)
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
