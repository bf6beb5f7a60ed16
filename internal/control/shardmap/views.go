package shardmap

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ViewOptions limit what is retained for queries of earlier epochs, and specify how replicas warm up. None has a
// default.
type ViewOptions struct {
	MaxPinnedEpochs   int           // epochs retained in addition to the current one, at least 1
	MaxPinnedAge      time.Duration // of a pinned epoch since it was replaced
	WarmupPeriod      time.Duration // until a new replica of a shard receives its full traffic; 0: at once
	WarmupMinFraction float64       // fraction of the full traffic with which it starts, over 0 and at most 1
	MaxSourceLag      time.Duration // how long the source may lag behind an epoch that a server named
}

// validate returns an error that names the invalid setting by its key in the operators' files, except for most_pinned,
// whose key is pinned.
func (o ViewOptions) validate() error {
	switch {
	case o.MaxPinnedEpochs < 1:
		return fmt.Errorf("most_pinned must be at least 1, not %d", o.MaxPinnedEpochs)
	case o.MaxPinnedAge <= 0:
		return fmt.Errorf("pinned_for must be over 0, not %v", o.MaxPinnedAge)
	case o.MaxSourceLag < 0:
		return fmt.Errorf("patience must be at least 0, not %v", o.MaxSourceLag)
	case o.WarmupPeriod < 0 || !(o.WarmupMinFraction > 0 && o.WarmupMinFraction <= 1):
		return fmt.Errorf("cold must be at least 0, not %v, and cold_from over 0 and at most 1, not %v",
			o.WarmupPeriod, o.WarmupMinFraction)
	}
	return nil
}

// View is the map of one epoch, with the number of queries pinned to it. All queries of an epoch share it.
type View struct {
	Map *Map

	pins         int       // number of queries pinned to it
	replacedAt   time.Time // when a newer epoch was adopted; zero while it is current
	expired      bool      // returned by Expired
	activeShards []*Shard  // of the map, in the order of their ranges; nil until the first call of Shards
}

// Shards returns the active shards in the order of their ranges. The slice is created once per view, at the first call,
// and must not be changed.
func (v *View) Shards() []*Shard {
	if v.activeShards == nil {
		v.activeShards = make([]*Shard, 0, v.Map.ActiveCount())
		v.Map.Active(func(s *Shard) bool {
			v.activeShards = append(v.activeShards, s)
			return true
		})
	}
	return v.activeShards
}

// ViewStats counts events of maps and views. The last three fields are counted by the owner of the Views.
type ViewStats struct {
	Accepted        uint64 // maps that were adopted
	Gaps            uint64 // adopted maps before which epochs were missing
	Stale           uint64 // maps rejected because their epoch was not newer
	Rejected        uint64 // maps rejected for other reasons
	Expired         uint64 // epochs that queries had to leave
	MaxPinnedEpochs int    // maximum number of earlier epochs retained at once
	Restarts        uint64 // queries restarted on a newer map
	Waits           uint64 // queries that waited for a newer map
	FalseRejections uint64 // rejections that the current map contradicts
}

// Views retains the current map and those that queries are still pinned to. It is owned by one goroutine.
type Views struct {
	Stats ViewStats

	options        ViewOptions
	current        *View
	pinned         []*View             // earlier epochs that queries are pinned to, oldest first
	adoptedAt      map[Epoch]time.Time // of epochs whose new replicas are warming up
	newestSeen     Epoch               // the newest epoch that a server named
	mapRequested   bool                // a newer map was requested and may still arrive
	requestedSince time.Time
}

// NewViews returns Views without a map, or an error if an option is invalid.
func NewViews(options ViewOptions) (*Views, error) {
	if err := options.validate(); err != nil {
		return nil, fmt.Errorf("blocks: %w", err)
	}
	return &Views{options: options, adoptedAt: map[Epoch]time.Time{}}, nil
}

// Current returns the current map; nil if there is none yet.
func (vs *Views) Current() *Map {
	if vs.current == nil {
		return nil
	}
	return vs.current.Map
}

// Offer adopts a map from a source if it may follow the current one. Otherwise it returns the reason and retains the
// current map. A map that equals the current one is neither adopted nor an error.
func (vs *Views) Offer(now time.Time, published *Map) (adopted bool, err error) {
	if vs.current == nil {
		// Replicas of the first map count as warm.
		vs.adopt(published)
		return true, nil
	}
	old := vs.current.Map
	if published.Epoch == old.Epoch && published.Archive == old.Archive && published.sameShards(old) {
		vs.clearSatisfiedRequest()
		return false, nil
	}
	if err := published.ValidateSuccession(old); err != nil {
		if errors.Is(err, ErrStaleEpoch) {
			vs.Stats.Stale++
		} else {
			vs.Stats.Rejected++
		}
		return false, err
	}
	if published.Epoch > old.Epoch+1 {
		vs.Stats.Gaps++
	}
	vs.replaceCurrent(now)
	vs.adopt(published)
	vs.startWarmup(now, published.Epoch)
	return true, nil
}

// replaceCurrent retains the current view for the queries that are pinned to it.
func (vs *Views) replaceCurrent(now time.Time) {
	vs.current.replacedAt = now
	if vs.current.pins > 0 {
		vs.pinned = append(vs.pinned, vs.current)
		vs.Stats.MaxPinnedEpochs = max(vs.Stats.MaxPinnedEpochs, len(vs.pinned))
	}
}

// adopt makes a map the current one.
func (vs *Views) adopt(m *Map) {
	vs.current = &View{Map: m}
	vs.Stats.Accepted++
	vs.clearSatisfiedRequest()
}

// startWarmup records when an epoch was adopted, and drops epochs whose new replicas have warmed up.
func (vs *Views) startWarmup(now time.Time, epoch Epoch) {
	vs.adoptedAt[epoch] = now
	for earlier, adoptedAt := range vs.adoptedAt {
		if earlier != epoch && now.Sub(adoptedAt) >= vs.options.WarmupPeriod {
			delete(vs.adoptedAt, earlier)
		}
	}
}

// clearSatisfiedRequest ends the request for a newer map if the current one is as new as any epoch that a server named.
func (vs *Views) clearSatisfiedRequest() {
	if vs.current != nil && vs.current.Map.Epoch >= vs.newestSeen {
		vs.mapRequested = false
	}
}

// HandleSourceUnchanged handles an answer of the source that it has no newer map. Newer epochs that servers named are
// then treated as false reports, unless the first of them was named less than MaxSourceLag ago: then requestAgain is
// true, and a newer map should be requested again soon.
func (vs *Views) HandleSourceUnchanged(now time.Time) (requestAgain bool) {
	if vs.mapRequested && now.Sub(vs.requestedSince) < vs.options.MaxSourceLag {
		return true
	}
	vs.mapRequested = false
	if vs.current != nil {
		vs.newestSeen = vs.current.Map.Epoch
	}
	return false
}

// ObserveEpoch handles an epoch that a server named, and reports whether a newer map should be requested.
func (vs *Views) ObserveEpoch(now time.Time, epoch Epoch) (requestMap bool) {
	alreadyAdopted := vs.current != nil && epoch <= vs.current.Map.Epoch
	alreadyRequested := vs.mapRequested && epoch <= vs.newestSeen
	if alreadyAdopted || alreadyRequested {
		return false
	}
	if !vs.mapRequested { // MaxSourceLag counts from the first epoch, so that ever newer ones do not extend it
		vs.requestedSince = now
	}
	vs.newestSeen = max(vs.newestSeen, epoch)
	vs.mapRequested = true
	return true
}

// AwaitingMap reports whether a newer map was requested and may still arrive.
func (vs *Views) AwaitingMap() bool { return vs.mapRequested }

// Pin pins a query to the current epoch until Release, and returns the epoch's view; nil if there is no map.
func (vs *Views) Pin() *View {
	if vs.current != nil {
		vs.current.pins++
	}
	return vs.current
}

// Release unpins a query from a view. It must be called once for each Pin. An earlier epoch is dropped with its last
// query. A nil view is ignored.
func (vs *Views) Release(v *View) {
	if v == nil {
		return
	}
	v.pins--
	if v.pins > 0 || v == vs.current {
		return
	}
	if i := slices.Index(vs.pinned, v); i >= 0 {
		vs.pinned = append(vs.pinned[:i:i], vs.pinned[i+1:]...)
	}
}

// Expired returns the views that queries have to leave now, each once: the oldest beyond MaxPinnedEpochs, and those
// replaced at least MaxPinnedAge ago. This limits the memory, and the use of retiring shards' replicas, by queries that
// stay pinned to earlier epochs.
func (vs *Views) Expired(now time.Time) (expired []*View) {
	for i, v := range vs.pinned {
		tooMany := len(vs.pinned)-i > vs.options.MaxPinnedEpochs
		tooOld := now.Sub(v.replacedAt) >= vs.options.MaxPinnedAge
		if !v.expired && (tooMany || tooOld) {
			v.expired = true
			vs.Stats.Expired++
			expired = append(expired, v)
		}
	}
	return expired
}

// NextExpiry returns when the next view expires by its age; zero if there is none.
func (vs *Views) NextExpiry() (next time.Time) {
	for _, v := range vs.pinned {
		expiry := v.replacedAt.Add(vs.options.MaxPinnedAge)
		if !v.expired && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	return next
}

// Pinned returns the number of earlier epochs that are retained, and of the queries pinned to them.
func (vs *Views) Pinned() (epochs, queries int) {
	for _, v := range vs.pinned {
		queries += v.pins
	}
	return len(vs.pinned), queries
}

// TrafficFraction returns the fraction of its full traffic that a replica should receive at now, over 0 and at most
// 1. Replicas that are new to a shard warm up.
func (vs *Views) TrafficFraction(now time.Time, r Replica) float64 {
	if r.ServingSince == 0 || vs.options.WarmupPeriod <= 0 {
		return 1
	}
	adoptedAt, ok := vs.adoptedAt[r.ServingSince]
	if !ok {
		return 1
	}
	progress := float64(now.Sub(adoptedAt)) / float64(vs.options.WarmupPeriod)
	if progress >= 1 {
		return 1
	}
	return vs.options.WarmupMinFraction + (1-vs.options.WarmupMinFraction)*max(0, progress)
}
