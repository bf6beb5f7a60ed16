package shardmap

import (
	"fmt"
	"slices"
	"time"
)

// Step is one epoch of a plan: what it changes, and what has to hold before it is published.
type Step struct {
	Put    []*Shard
	Remove []ID
	What   string        // for people
	Wait   time.Duration // at least, after the epoch before
	Copied bool          // before it: every joining holder has told that it has all
	Heard  bool          // before it: every node has told that it knows the epoch before
	Why    string        // of the wait
}

// Timing is what plans wait for.
type Timing struct {
	MapPropagation time.Duration // until every mixer has an epoch
	MaxQueryTime   time.Duration // the longest deadline of a query: after it nobody is pinned to an older epoch
}

// Plan is a reshape as a succession of epochs.
type Plan struct {
	Archive string
	From    Epoch // of the map that it was made for
	Steps   []Step
	What    string
}

// PlanMigration makes a plan that gives a block to other servers.
func PlanMigration(m *Map, id ID, to []string, t Timing) (*Plan, error) {
	b, err := ready(m, id)
	if err != nil {
		return nil, err
	}
	if len(to) == 0 {
		return nil, fmt.Errorf("block %d: it would have no holder", id)
	}
	var joining []Replica
	for i, s := range to {
		if s == "" || slices.Contains(to[:i], s) {
			return nil, fmt.Errorf("block %d: holder %q has no name, or stands twice", id, s)
		}
		if !b.ServedBy(s) {
			joining = append(joining, Replica{Server: s, Joining: true})
		}
	}
	p := &Plan{Archive: m.Archive, From: m.Epoch, What: fmt.Sprintf("move block %d %s to %v", id, b.Range(), to)}
	stay := slices.ContainsFunc(b.Replicas, func(h Replica) bool { return slices.Contains(to, h.Server) })
	if len(joining) == 0 && len(to) == len(b.Replicas) {
		return nil, fmt.Errorf("block %d: it is held by these already", id)
	}
	at := m.Epoch + 1
	moving := *b
	moving.State, moving.Replicas = Migrating, slices.Concat(b.Replicas, joining)
	p.Steps = append(p.Steps, Step{Put: []*Shard{&moving}, What: fmt.Sprintf("block %d is moving; %s join and copy", id, names(joining))})
	both := moving
	if len(joining) > 0 {
		at++
		both.Replicas = slices.Clone(moving.Replicas)
		for i := range both.Replicas {
			if both.Replicas[i].Joining {
				both.Replicas[i] = Replica{Server: both.Replicas[i].Server, ServingSince: at}
			}
		}
		p.Steps = append(p.Steps, Step{Put: []*Shard{&both}, What: fmt.Sprintf("%s serve, too", names(joining)), Copied: true,
			Why: "whoever serves has to have all of the block"})
	}
	done := both
	done.State, done.Replicas = Serving, nil
	for _, h := range both.Replicas {
		if slices.Contains(to, h.Server) {
			done.Replicas = append(done.Replicas, h)
		}
	}
	last := Step{Put: []*Shard{&done}, What: fmt.Sprintf("block %d is held by %v", id, to), Heard: true, Wait: t.MapPropagation,
		Why: "every mixer has to know the new holders before the old ones turn parts away"}
	if !stay {
		last.Why += "; none of the old ones stays"
	}
	p.Steps = append(p.Steps, last)
	return p, nil
}

// PlanSplit makes a plan that cuts a block at keys.
func PlanSplit(m *Map, id ID, at []Key, t Timing) (*Plan, error) {
	b, err := ready(m, id)
	if err != nil {
		return nil, err
	}
	if len(at) == 0 {
		return nil, fmt.Errorf("block %d: no key to cut at", id)
	}
	p := &Plan{Archive: m.Archive, From: m.Epoch, What: fmt.Sprintf("split block %d %s at %q", id, b.Range(), at)}
	splitting := *b
	splitting.State = Splitting
	p.Steps = append(p.Steps, Step{Put: []*Shard{&splitting}, What: fmt.Sprintf("block %d is about to be split", id)})
	put := []*Shard{retired(&splitting)}
	from, next := b.From, m.NextID
	for i := range len(at) + 1 {
		to := b.To
		if i < len(at) {
			to = at[i]
		}
		if to != "" && to <= from || i < len(at) && (!b.Contains(to) || to == b.From) {
			return nil, fmt.Errorf("block %d: %q does not cut %s, or is out of order", id, to, b.Range())
		}
		put = append(put, &Shard{ID: next, From: from, To: to, State: Serving, Weight: b.weight() / float64(len(at)+1), Replicas: slices.Clone(b.Replicas), Parents: []ID{id}})
		next++
		from = to
	}
	p.Steps = append(p.Steps,
		Step{Put: put, What: fmt.Sprintf("blocks %d to %d take its place; it retires", m.NextID, next-1), Heard: true, Wait: t.MapPropagation,
			Why: "every node has to know of the split before anybody asks for a half"},
		Step{Remove: []ID{id}, What: fmt.Sprintf("block %d is gone", id), Wait: t.MapPropagation + t.MaxQueryTime,
			Why: "queries that are pinned to it have ended by then"})
	return p, nil
}

// PlanMerge makes a plan that makes one of neighbours, which need the same holders.
func PlanMerge(m *Map, ids []ID, t Timing) (*Plan, error) {
	if len(ids) < 2 {
		return nil, fmt.Errorf("a merge takes two blocks or more")
	}
	var list []*Shard
	for i, id := range ids {
		b, err := ready(m, id)
		if err != nil {
			return nil, err
		}
		if slices.Contains(ids[:i], id) {
			return nil, fmt.Errorf("block %d stands twice", id)
		}
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *Shard) int {
		if a.From < b.From {
			return -1
		}
		return 1
	})
	p := &Plan{Archive: m.Archive, From: m.Epoch, What: fmt.Sprintf("merge blocks %v", ids)}
	one := &Shard{ID: m.NextID, From: list[0].From, To: list[len(list)-1].To, State: Serving, Replicas: slices.Clone(list[0].Replicas)}
	var first, second []*Shard
	var gone []ID
	for i, b := range list {
		if i > 0 && list[i-1].To != b.From {
			return nil, fmt.Errorf("blocks %d and %d are not next to each other", list[i-1].ID, b.ID)
		}
		if !sameServers(list[0], b) {
			return nil, fmt.Errorf("blocks %d and %d have other holders: move one first", list[0].ID, b.ID)
		}
		merging := *b
		merging.State = Merging
		first, second = append(first, &merging), append(second, retired(&merging))
		one.Parents, one.Weight = append(one.Parents, b.ID), one.Weight+b.weight()
		gone = append(gone, b.ID)
	}
	second = append(second, one)
	p.Steps = []Step{
		{Put: first, What: fmt.Sprintf("blocks %v are about to be merged", gone)},
		{Put: second, What: fmt.Sprintf("block %d takes their place; they retire", one.ID), Heard: true, Wait: t.MapPropagation,
			Why: "every node has to know of the merge before anybody asks for the whole"},
		{Remove: gone, What: fmt.Sprintf("blocks %v are gone", gone), Wait: t.MapPropagation + t.MaxQueryTime,
			Why: "queries that are pinned to them have ended by then"},
	}
	return p, nil
}

func ready(m *Map, id ID) (*Shard, error) {
	b := m.Shard(id)
	switch {
	case b == nil:
		return nil, fmt.Errorf("block %d is not there", id)
	case b.State != Serving:
		return nil, fmt.Errorf("block %d is %s: another reshape is under way", id, b.State)
	}
	return b, nil
}

func retired(b *Shard) *Shard {
	r := *b
	r.State = Retiring
	return &r
}

func sameServers(a, b *Shard) bool {
	if len(a.Replicas) != len(b.Replicas) {
		return false
	}
	for _, h := range a.Replicas {
		if !b.ServedBy(h.Server) {
			return false
		}
	}
	return true
}

func names(list []Replica) string {
	text := ""
	for i, h := range list {
		if i > 0 {
			text += ", "
		}
		text += h.Server
	}
	if text == "" {
		return "nobody"
	}
	return text
}

// Apply is the map after a step, from the map before it. Other plans may have been carried out since this one was made,
// so that holders serve since the epoch that really is the next; a plan whose new ids have been given is refused.
func (s *Step) Apply(m *Map) (*Map, error) {
	var put []*Shard
	for _, b := range s.Put {
		was := m.Shard(b.ID)
		if was == nil && b.ID < m.NextID || was != nil && (was.From != b.From || was.To != b.To) {
			return nil, fmt.Errorf("block %d: the id has been given since the plan was made", b.ID)
		}
		c := *b
		c.Replicas = slices.Clone(b.Replicas)
		for i, h := range c.Replicas {
			if was == nil {
				continue
			}
			if k := slices.IndexFunc(was.Replicas, func(o Replica) bool { return o.Server == h.Server }); k >= 0 && !h.Joining {
				if c.Replicas[i].ServingSince = was.Replicas[k].ServingSince; was.Replicas[k].Joining {
					c.Replicas[i].ServingSince = m.Epoch + 1
				}
			}
		}
		put = append(put, &c)
	}
	n, err := m.Change(put, s.Remove)
	if err != nil {
		return nil, err
	}
	return n, n.ValidateSuccession(m)
}

// StepsDone is how many steps of a plan a map has behind it: by what the steps made of their blocks, not by its epoch, as
// other plans may have been carried out beside. -1: the map is not one of the plan's.
func (p *Plan) StepsDone(m *Map) int {
	if m.Archive != p.Archive || m.Epoch < p.From {
		return -1
	}
	for n := len(p.Steps); n > 0; n-- {
		if p.Steps[n-1].holds(m) {
			return n
		}
	}
	return 0
}

// holds says whether a map has what a step made.
func (s *Step) holds(m *Map) bool {
	for _, b := range s.Put {
		is := m.Shard(b.ID)
		if is == nil || is.State != b.State || len(is.Replicas) != len(b.Replicas) {
			return false
		}
		for _, h := range b.Replicas {
			if !slices.ContainsFunc(is.Replicas, func(o Replica) bool { return o.Server == h.Server && o.Joining == h.Joining }) {
				return false
			}
		}
	}
	for _, id := range s.Remove {
		if m.Shard(id) != nil {
			return false
		}
	}
	return true
}
