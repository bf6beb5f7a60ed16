package shardmap

import (
	"errors"
	"fmt"
	"time"
)

// ViewOptions bound what is held for queries of earlier epochs, and pace holders that are new to a block.
type ViewOptions struct {
	MaxPinnedEpochs   int           // epochs held beside the present one, at least 1
	MaxPinnedAge      time.Duration // of a pinned epoch since it was replaced
	WarmupPeriod      time.Duration // a new holder of a block is warm after it; 0: at once
	WarmupMinFraction float64       // share of its parts with which it begins, over 0 to 1
	MaxSourceLag      time.Duration // a source may be as late as this behind an epoch that a server spoke of
}

func (r ViewOptions) check() error {
	switch {
	case r.MaxPinnedEpochs < 1:
		return errors.New("most_pinned must be at least 1")
	case r.MaxPinnedAge <= 0:
		return errors.New("pinned_for must be over 0")
	case r.MaxSourceLag < 0:
		return errors.New("patience must not be negative")
	case r.WarmupPeriod < 0 || !(r.WarmupMinFraction > 0 && r.WarmupMinFraction <= 1):
		return errors.New("cold must not be negative, and cold_from over 0 to 1")
	}
	return nil
}

// View is one epoch as queries see it. Those of one epoch share it.
type View struct {
	Map      *Map
	pins     int
	replaced time.Time // by a newer epoch; zero: it is the present one
	expired  bool      // told as to be left
	active   []*Shard  // of the map, in the order of their ranges
}

// Shards are the active blocks in the order of their ranges. They are made once an epoch, when first asked for.
func (v *View) Shards() []*Shard {
	if v.active == nil {
		v.active = make([]*Shard, 0, v.Map.ActiveCount())
		v.Map.Active(func(b *Shard) bool {
			v.active = append(v.active, b)
			return true
		})
	}
	return v.active
}

// ViewStats count what happened to maps and views.
type ViewStats struct {
	Accepted, Gaps, Stale, Rejected uint64 // maps offered; Gaps: accepted with epochs left out
	Expired                         uint64 // epochs that queries were made to leave
	MaxPinnedEpochs                 int
	Restarts, Waits                 uint64 // of queries
	FalseRejections                 uint64 // words of servers that the map contradicts
}

// Views hold the present map and those that queries are still pinned to. They are owned by one goroutine.
type Views struct {
	Stats ViewStats
	rules ViewOptions
	now   *View
	old   []*View             // pinned, oldest first
	since map[Epoch]time.Time // when epochs were adopted from which holders are cold
	fresh Epoch               // the highest epoch heard of, by whomever
	asked bool                // a newer map is wanted
	heard time.Time
}

// NewViews returns Views without a map.
func NewViews(r ViewOptions) (*Views, error) {
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("blocks: %w", err)
	}
	return &Views{rules: r, since: map[Epoch]time.Time{}}, nil
}

// Current is the present map; nil if there is none yet.
func (vs *Views) Current() *Map {
	if vs.now == nil {
		return nil
	}
	return vs.now.Map
}

// Offer takes a map that a source has brought. It is adopted if it may follow the present one; an error says why
// not, and the present one stays. A map that is the present one again is no error.
func (vs *Views) Offer(now time.Time, m *Map) (adopted bool, err error) {
	if vs.now != nil {
		old := vs.now.Map
		if m.Epoch == old.Epoch && m.Archive == old.Archive && m.same(old) {
			vs.answered()
			return false, nil
		}
		if err := m.ValidateSuccession(old); err != nil {
			if errors.Is(err, ErrStaleEpoch) {
				vs.Stats.Stale++
			} else {
				vs.Stats.Rejected++
			}
			return false, err
		}
		if m.Epoch > old.Epoch+1 {
			vs.Stats.Gaps++
		}
		vs.now.replaced = now
		if vs.now.pins > 0 {
			vs.old = append(vs.old, vs.now)
			vs.Stats.MaxPinnedEpochs = max(vs.Stats.MaxPinnedEpochs, len(vs.old))
		}
	}
	first := vs.now == nil
	vs.now = &View{Map: m}
	vs.Stats.Accepted++
	if !first { // who held blocks at the start is taken for warm
		vs.since[m.Epoch] = now
	}
	for e, at := range vs.since {
		if now.Sub(at) >= vs.rules.WarmupPeriod && e != m.Epoch {
			delete(vs.since, e)
		}
	}
	vs.answered()
	return true, nil
}

// answered ends the wish for a newer map where there is none newer than was heard of.
func (vs *Views) answered() {
	if vs.now != nil && vs.now.Map.Epoch >= vs.fresh {
		vs.asked = false
	}
}

// SourceUnchanged says that the source has answered and has nothing newer. What servers spoke of is not so, unless that was only
// just: the source may be late. again: it should be asked again in a while.
func (vs *Views) SourceUnchanged(now time.Time) (again bool) {
	if vs.asked && now.Sub(vs.heard) < vs.rules.MaxSourceLag {
		return true
	}
	vs.asked = false
	if vs.now != nil {
		vs.fresh = vs.now.Map.Epoch
	}
	return false
}

// ObserveEpoch takes an epoch that a server spoke of. It is no map; it says whether the source should be asked.
func (vs *Views) ObserveEpoch(now time.Time, e Epoch) (ask bool) {
	if vs.now != nil && e <= vs.now.Map.Epoch || e <= vs.fresh && vs.asked {
		return false
	}
	if !vs.asked { // from the first word on: a server that speaks of ever newer ones gains no time
		vs.heard = now
	}
	vs.fresh, vs.asked = max(vs.fresh, e), true
	return true
}

// AwaitingMap says whether a newer map may be on its way.
func (vs *Views) AwaitingMap() bool { return vs.asked }

// Pin holds the present epoch for a query; nil if there is no map.
func (vs *Views) Pin() *View {
	if vs.now != nil {
		vs.now.pins++
	}
	return vs.now
}

// Release lets an epoch go once for a query. It is forgotten with its last.
func (vs *Views) Release(v *View) {
	if v == nil {
		return
	}
	v.pins--
	if v.pins > 0 || v == vs.now {
		return
	}
	for i, o := range vs.old {
		if o == v {
			vs.old = append(vs.old[:i:i], vs.old[i+1:]...)
			return
		}
	}
}

// Expired returns the epochs that queries have to leave by now, each once: the oldest beyond the number that may be
// held, and those held too long. Guards memory, and holders that serve a retiring block, against queries that stay.
func (vs *Views) Expired(now time.Time) (list []*View) {
	for i, v := range vs.old {
		if !v.expired && (len(vs.old)-i > vs.rules.MaxPinnedEpochs || now.Sub(v.replaced) >= vs.rules.MaxPinnedAge) {
			v.expired = true
			vs.Stats.Expired++
			list = append(list, v)
		}
	}
	return list
}

// NextExpiry is when Expired has something by age; zero if nothing is pinned.
func (vs *Views) NextExpiry() (t time.Time) {
	for _, v := range vs.old {
		if at := v.replaced.Add(vs.rules.MaxPinnedAge); !v.expired && (t.IsZero() || at.Before(t)) {
			t = at
		}
	}
	return t
}

// Pinned is the number of earlier epochs held, and of queries that hold them.
func (vs *Views) Pinned() (epochs, queries int) {
	for _, v := range vs.old {
		queries += v.pins
	}
	return len(vs.old), queries
}

// TrafficFraction is how much of its parts a holder of a block should get by now, over 0 to 1: one that is new to it is cold.
func (vs *Views) TrafficFraction(now time.Time, h Replica) float64 {
	if h.ServingSince == 0 || vs.rules.WarmupPeriod <= 0 {
		return 1
	}
	at, ok := vs.since[h.ServingSince]
	if !ok {
		return 1
	}
	age := float64(now.Sub(at)) / float64(vs.rules.WarmupPeriod)
	if age >= 1 {
		return 1
	}
	return vs.rules.WarmupMinFraction + (1-vs.rules.WarmupMinFraction)*max(0, age)
}
