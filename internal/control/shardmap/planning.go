package shardmap

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Timing contains the times that the waits of plans are derived from.
type Timing struct {
	MapPropagation time.Duration // from the publication of an epoch until every aggregator has adopted it
	MaxQueryTime   time.Duration // the longest deadline of a query: after it no query is pinned to an older epoch
}

// PlanMigration plans the migration of a shard to exactly these servers: new ones copy it, then serve it together with
// the old ones, and finally those that are not named are removed.
func PlanMigration(current *Map, id ID, servers []string, timing Timing) (*Plan, error) {
	shard, err := servingShard(current, id)
	if err != nil {
		return nil, err
	}
	joining, err := joiningReplicas(shard, servers)
	if err != nil {
		return nil, err
	}
	if len(joining) == 0 && len(servers) == len(shard.Replicas) {
		return nil, fmt.Errorf("block %d is already held by exactly %q", id, servers)
	}
	names := serverNames(joining)
	copying := *shard
	copying.State = Migrating
	copying.Replicas = slices.Concat(shard.Replicas, joining)
	steps := []Step{{
		Put:         []*Shard{&copying},
		Description: fmt.Sprintf("block %d is moving; %s join and copy", id, names),
	}}
	combined := copying
	if len(joining) > 0 {
		combined.Replicas = promoteJoining(copying.Replicas, current.Epoch+2)
		steps = append(steps, Step{
			Put:         []*Shard{&combined},
			Description: names + " serve, too",
			AwaitCopies: true,
			WaitReason:  "whoever serves has to have all of the block",
		})
	}
	steps = append(steps, removalStep(shard, &combined, servers, timing))
	return newPlan(current, fmt.Sprintf("move block %d %s to %v", id, shard.Range(), servers), steps...), nil
}

// removalStep returns the last step of a migration, after which only the named servers have a replica. before is the
// shard before the migration, and combined the shard while old and new servers serve it together.
func removalStep(before, combined *Shard, servers []string, timing Timing) Step {
	final := *combined
	final.State = Serving
	final.Replicas = nil
	anyStays := false
	for _, replica := range combined.Replicas {
		if slices.Contains(servers, replica.Server) {
			final.Replicas = append(final.Replicas, replica)
			anyStays = anyStays || before.ServedBy(replica.Server)
		}
	}
	step := Step{
		Put:             []*Shard{&final},
		Description:     fmt.Sprintf("block %d is held by %v", final.ID, servers),
		MinWait:         timing.MapPropagation,
		AwaitEpochKnown: true,
		WaitReason:      "every mixer has to know the new holders before the old ones turn parts away",
	}
	if !anyStays {
		step.WaitReason += "; none of the old ones stays"
	}
	return step
}

// newPlan returns a plan that starts from the current map.
func newPlan(current *Map, description string, steps ...Step) *Plan {
	return &Plan{
		Archive:     current.Archive,
		FromEpoch:   current.Epoch,
		Steps:       steps,
		Description: description,
	}
}

// joiningReplicas returns a joining replica for each of these servers that does not serve the shard yet.
func joiningReplicas(shard *Shard, servers []string) (joining []Replica, err error) {
	if len(servers) == 0 {
		return nil, fmt.Errorf("block %d: no holder to move to is named, want at least one", shard.ID)
	}
	for i, server := range servers {
		if server == "" || slices.Contains(servers[:i], server) {
			return nil, fmt.Errorf("block %d: holder %q is empty or named more than once", shard.ID, server)
		}
		if !shard.ServedBy(server) {
			joining = append(joining, Replica{Server: server, Joining: true})
		}
	}
	return joining, nil
}

// promoteJoining returns a copy of replicas in which the joining ones serve since an epoch.
func promoteJoining(replicas []Replica, since Epoch) []Replica {
	promoted := slices.Clone(replicas)
	for i, r := range promoted {
		if r.Joining {
			promoted[i] = Replica{Server: r.Server, ServingSince: since}
		}
	}
	return promoted
}

// PlanSplit plans the split of a shard at boundaries, which must be in ascending order.
func PlanSplit(current *Map, id ID, boundaries []Key, timing Timing) (*Plan, error) {
	shard, err := servingShard(current, id)
	if err != nil {
		return nil, err
	}
	pieces, err := splitShard(shard, boundaries, current.NextID)
	if err != nil {
		return nil, err
	}
	splitting := *shard
	splitting.State = Splitting
	lastID := pieces[len(pieces)-1].ID
	announce := Step{
		Put:         []*Shard{&splitting},
		Description: fmt.Sprintf("block %d is about to be split", id),
	}
	replace := Step{
		Put:             append([]*Shard{asRetiring(&splitting)}, pieces...),
		Description:     fmt.Sprintf("blocks %d to %d take its place; it retires", current.NextID, lastID),
		MinWait:         timing.MapPropagation,
		AwaitEpochKnown: true,
		WaitReason:      "every node has to know of the split before anybody asks for a half",
	}
	remove := Step{
		Remove:      []ID{id},
		Description: fmt.Sprintf("block %d is gone", id),
		MinWait:     timing.MapPropagation + timing.MaxQueryTime,
		WaitReason:  "queries that are pinned to it have ended by then",
	}
	description := fmt.Sprintf("split block %d %s at %q", id, shard.Range(), boundaries)
	return newPlan(current, description, announce, replace, remove), nil
}

// splitShard returns the shards into which boundaries split a shard, with ids from next on.
func splitShard(shard *Shard, boundaries []Key, next ID) (pieces []*Shard, err error) {
	if len(boundaries) == 0 {
		return nil, fmt.Errorf("block %d: no key to split at is named, want at least one", shard.ID)
	}
	weight := shard.weight() / float64(len(boundaries)+1)
	from := shard.From
	for _, key := range boundaries {
		if key == "" || key <= from || !shard.Contains(key) {
			return nil, fmt.Errorf("block %d: key %q does not lie inside the range %s and after %q; "+
				"keys to split at must be in ascending order", shard.ID, key, shard.Range(), from)
		}
		pieces = append(pieces, &Shard{From: from, To: key})
		from = key
	}
	pieces = append(pieces, &Shard{From: from, To: shard.To})
	for i, piece := range pieces {
		piece.ID = next + ID(i)
		piece.State = Serving
		piece.Weight = weight
		piece.Replicas = slices.Clone(shard.Replicas)
		piece.Parents = []ID{shard.ID}
	}
	return pieces, nil
}

// PlanMerge plans the merge of adjacent shards into one. They must have the same servers.
func PlanMerge(current *Map, ids []ID, timing Timing) (*Plan, error) {
	shards, err := mergeableShards(current, ids)
	if err != nil {
		return nil, err
	}
	merged := mergeShards(shards, current.NextID)
	var announced, retired []*Shard
	for _, s := range shards {
		merging := *s
		merging.State = Merging
		announced = append(announced, &merging)
		retired = append(retired, asRetiring(&merging))
	}
	announce := Step{
		Put:         announced,
		Description: fmt.Sprintf("blocks %v are about to be merged", merged.Parents),
	}
	replace := Step{
		Put:             append(retired, merged),
		Description:     fmt.Sprintf("block %d takes their place; they retire", merged.ID),
		MinWait:         timing.MapPropagation,
		AwaitEpochKnown: true,
		WaitReason:      "every node has to know of the merge before anybody asks for the whole",
	}
	remove := Step{
		Remove:      slices.Clone(merged.Parents),
		Description: fmt.Sprintf("blocks %v are gone", merged.Parents),
		MinWait:     timing.MapPropagation + timing.MaxQueryTime,
		WaitReason:  "queries that are pinned to them have ended by then",
	}
	return newPlan(current, fmt.Sprintf("merge blocks %v", ids), announce, replace, remove), nil
}

// mergeShards returns the shard that replaces adjacent ones, which are in the order of their ranges.
func mergeShards(shards []*Shard, id ID) *Shard {
	first := shards[0]
	last := shards[len(shards)-1]
	merged := &Shard{
		ID:       id,
		From:     first.From,
		To:       last.To,
		State:    Serving,
		Replicas: slices.Clone(first.Replicas),
	}
	for _, s := range shards {
		merged.Parents = append(merged.Parents, s.ID)
		merged.Weight += s.weight()
	}
	return merged
}

// mergeableShards returns the shards with these ids in the order of their ranges, or an error if they cannot be merged.
func mergeableShards(current *Map, ids []ID) (shards []*Shard, err error) {
	if len(ids) < 2 {
		return nil, fmt.Errorf("blocks %v: a merge needs at least two blocks", ids)
	}
	for i, id := range ids {
		s, err := servingShard(current, id)
		if err != nil {
			return nil, err
		}
		if slices.Contains(ids[:i], id) {
			return nil, fmt.Errorf("block %d is named more than once", id)
		}
		shards = append(shards, s)
	}
	slices.SortFunc(shards, func(a, b *Shard) int { return cmp.Compare(a.From, b.From) })
	for i, s := range shards {
		if i > 0 && shards[i-1].To != s.From {
			return nil, fmt.Errorf("block %d %s and block %d %s are not adjacent; only adjacent blocks can be merged",
				shards[i-1].ID, shards[i-1].Range(), s.ID, s.Range())
		}
		if !sameReplicaServers(shards[0], s) {
			return nil, fmt.Errorf("block %d has other holders than block %d (%s; %s): move one of them first",
				s.ID, shards[0].ID, serverNames(s.Replicas), serverNames(shards[0].Replicas))
		}
	}
	return shards, nil
}

// servingShard returns a shard, or an error if it does not exist or is already being changed.
func servingShard(current *Map, id ID) (*Shard, error) {
	s := current.Shard(id)
	switch {
	case s == nil:
		return nil, fmt.Errorf("block %d does not exist in epoch %d", id, current.Epoch)
	case s.State != Serving:
		return nil, fmt.Errorf("block %d is %s: another change of it is under way; it must be %s first",
			id, s.State, Serving)
	}
	return s, nil
}

// asRetiring returns a copy of a shard with the state Retiring.
func asRetiring(s *Shard) *Shard {
	retiring := *s
	retiring.State = Retiring
	return &retiring
}

// sameReplicaServers reports whether the same servers serve two shards.
func sameReplicaServers(a, b *Shard) bool {
	if len(a.Replicas) != len(b.Replicas) {
		return false
	}
	return !slices.ContainsFunc(a.Replicas, func(r Replica) bool { return !b.ServedBy(r.Server) })
}

// serverNames lists the servers of replicas for operators.
func serverNames(replicas []Replica) string {
	if len(replicas) == 0 {
		return "nobody"
	}
	names := make([]string, len(replicas))
	for i, r := range replicas {
		names[i] = r.Server
	}
	return strings.Join(names, ", ")
}
