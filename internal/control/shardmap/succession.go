package shardmap

import (
	"errors"
	"fmt"
	"slices"

	"rooktrestle/internal/control/persistentmap"
)

// Errors of ValidateSuccession that callers distinguish.
var (
	// ErrStaleEpoch means that the map is older than the current one, or the same again.
	ErrStaleEpoch = errors.New("an older epoch, or the same again")
	// ErrOtherArchive means that the map is of another archive.
	ErrOtherArchive = errors.New("a map of another archive")
	// ErrForked means that two maps of one epoch differ: they cannot come from one controller.
	ErrForked = errors.New("the same epoch with other blocks")
)

// ValidateSuccession returns an error unless the map may follow an older one. If it is the next epoch, every change has
// to be legal. If epochs between them are missing, what cannot be known is left open, but ids, ranges and the coverage
// still have to fit.
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
	persistentmap.Diff(old.all, m.all, func(d persistentmap.Difference[ID, *Shard]) bool { // shared shards are skipped
		err = validate(old, d.Before, d.After)
		return err == nil
	})
	return err
}

// validateNextEpoch checks what one epoch changed of a shard. was is nil if it is new, is if it was removed.
func (m *Map) validateNextEpoch(old *Map, was, is *Shard) error {
	switch {
	case is == nil && was.Active():
		return fmt.Errorf("block %d: gone while it is %s; it has to retire first", was.ID, was.State)
	case is == nil:
		return nil
	case was == nil && is.ID < old.NextID:
		return idReusedError(is)
	case was == nil:
		return m.checkNewShard(old, is)
	case was.From != is.From || was.To != is.To:
		return rangeChangedError(was, is)
	}
	return checkTransition(was, is, m.Epoch)
}

// validateLaterEpoch checks what several epochs changed of a shard. was is nil if it is new, is if it was removed.
func (m *Map) validateLaterEpoch(old *Map, was, is *Shard) error {
	switch {
	case is == nil:
		return nil
	case was == nil && is.ID < old.NextID:
		return idReusedError(is)
	case was == nil:
		return nil
	case was.From != is.From || was.To != is.To:
		return rangeChangedError(was, is)
	case was.State == Retiring && is.State != Retiring:
		return fmt.Errorf("block %d: from retiring to %s", is.ID, is.State)
	}
	return nil
}

func idReusedError(s *Shard) error { return fmt.Errorf("block %d: the id was given before", s.ID) }

func rangeChangedError(was, is *Shard) error {
	return fmt.Errorf("block %d: its range goes from %s to %s; that takes a new id", is.ID, was.Range(), is.Range())
}

// sameShards reports whether two maps have equal shards and the same next id.
func (m *Map) sameShards(other *Map) bool {
	if m.all.Len() != other.all.Len() || m.NextID != other.NextID {
		return false
	}
	same := true
	persistentmap.Diff(m.all, other.all, func(d persistentmap.Difference[ID, *Shard]) bool {
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

// checkTransition checks one shard from one epoch to the next.
func checkTransition(was, is *Shard, epoch Epoch) error {
	if !slices.Contains(allowedTransitions[was.State], is.State) {
		return fmt.Errorf("block %d: from %s to %s", is.ID, was.State, is.State)
	}
	if !slices.Equal(was.Parents, is.Parents) {
		return fmt.Errorf("block %d: its parents change", is.ID)
	}
	for _, r := range is.Replicas {
		if err := checkReplicaTransition(was, r, epoch); err != nil {
			return fmt.Errorf("block %d: %w", is.ID, err)
		}
	}
	serving := is.ServingReplicas()
	if was.State != Migrating && is.State != Migrating && len(serving) < len(was.ServingReplicas()) && is.State != Retiring {
		return fmt.Errorf("block %d: a holder leaves while the block is %s", is.ID, is.State)
	}
	// A replica that served before has to be among those that serve now: no other is known to be complete.
	served := func(r Replica) bool { return was.ServedBy(r.Server) }
	if was.State != Retiring && !slices.ContainsFunc(serving, served) {
		return fmt.Errorf("block %d: none of its holders held it before", is.ID)
	}
	return nil
}

// checkReplicaTransition checks one replica of the next epoch against the shard before.
func checkReplicaTransition(was *Shard, r Replica, epoch Epoch) error {
	before, existed := was.replica(r.Server)
	switch {
	case !existed && !r.Joining:
		return fmt.Errorf("%s serves without having joined", r.Server)
	case !existed && was.State != Serving && was.State != Migrating:
		return fmt.Errorf("%s joins while the block is %s", r.Server, was.State)
	case !existed:
		return nil
	case !before.Joining && r.Joining:
		return fmt.Errorf("%s served, and joins again", r.Server)
	case before.Joining && !r.Joining && r.ServingSince != epoch:
		return fmt.Errorf("%s serves since epoch %d, and not since %d", r.Server, epoch, r.ServingSince)
	case !before.Joining && r.ServingSince != before.ServingSince:
		return fmt.Errorf("%s served since epoch %d, and now since %d", r.Server, before.ServingSince, r.ServingSince)
	}
	return nil
}

// checkNewShard checks a shard whose id is new: it takes the place of its parents, which retire in this epoch.
func (m *Map) checkNewShard(old *Map, s *Shard) error {
	if s.State != Serving {
		return fmt.Errorf("block %d: new, and %s", s.ID, s.State)
	}
	if len(s.Parents) == 0 {
		return fmt.Errorf("block %d: new, and without parents", s.ID)
	}
	for i, id := range s.Parents {
		was, is := old.Shard(id), m.Shard(id)
		switch {
		case was == nil || is == nil:
			return fmt.Errorf("block %d: its parent %d is not there", s.ID, id)
		case was.State != Splitting && was.State != Merging || is.State != Retiring:
			return fmt.Errorf("block %d: its parent %d goes from %s to %s", s.ID, id, was.State, is.State)
		case was.State == Splitting && !isPartOf(s, was):
			return fmt.Errorf("block %d: its range %s is not a part of its parent's %s", s.ID, s.Range(), was.Range())
		case was.State == Merging && !mergesParent(old, s, i):
			return fmt.Errorf("block %d: its range %s is not that of its parents together", s.ID, s.Range())
		}
		for _, r := range s.ServingReplicas() {
			if !was.ServedBy(r.Server) {
				return fmt.Errorf("block %d: its holder %s did not serve its parent %d", s.ID, r.Server, id)
			}
		}
	}
	return nil
}

// isPartOf reports whether a shard has only this parent and lies in its range.
func isPartOf(s, parent *Shard) bool {
	return len(s.Parents) == 1 && s.From >= parent.From && (parent.To == "" || s.To != "" && s.To <= parent.To)
}

// mergesParent reports whether a shard's parent, given by its index, is where it has to be in the merged range: the first
// at its beginning, the last at its end, and each behind the one before.
func mergesParent(old *Map, s *Shard, index int) bool {
	parent := old.Shard(s.Parents[index])
	if index == 0 && s.From != parent.From {
		return false
	}
	if index == len(s.Parents)-1 && s.To != parent.To {
		return false
	}
	return index == 0 || old.Shard(s.Parents[index-1]).To == parent.From
}
