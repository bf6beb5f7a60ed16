package shardmap

import (
	"slices"
	"testing"
	"time"
)

var placementOptions = ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1}

func TestQueryPlacement_Rejected_WithoutANewerMap(t *testing.T) {
	vs := newViews(t, placementOptions, threeShards(t))
	placement := func() *QueryPlacement {
		return &QueryPlacement{View: vs.current, Parts: []Part{{Shard: 2, Servers: []string{"a", "b"}}}}
	}
	reject := func(q *QueryPlacement, server string, epoch Epoch) Decision {
		return q.Rejected(vs, Rejection{
			Server:     server,
			Mismatch:   NoLongerServed,
			Epoch:      epoch,
			RequestMap: vs.ObserveEpoch(origin, epoch),
		})
	}
	q := placement()
	d := reject(q, "a", 2)
	if d != (Decision{ServerDropped: true, RequestMap: true}) || !slices.Equal(q.Parts[0].Servers, []string{"b"}) {
		t.Errorf("another server is left, and a newer epoch was named: %+v %v", d, q.Parts)
	}
	d = reject(q, "b", 2)
	if d != (Decision{ServerDropped: true, AwaitMap: true}) {
		t.Errorf("no server is left, and a newer map may be on its way: %+v", d)
	}
	vs.HandleSourceUnchanged(origin)
	if d := q.DecideUnusableView(vs); d != (Decision{}) {
		t.Errorf("the source has no newer map: %+v", d)
	}
	q = placement()
	q.Idempotent = true
	if d := reject(q, "a", 1); !d.FalseRejection || d.RequestMap {
		t.Errorf("the server serves the shard by the map that it names: %+v", d)
	}
}

// A query restarts on a newer map, unless a part that must not run twice may have run, the query is a second step, it
// was restarted too often, or another server is left.
func TestQueryPlacement_Rejected_WithANewerMap(t *testing.T) {
	first := threeShards(t)
	vs := newViews(t, placementOptions, first)
	old := vs.Pin()
	mustOffer(t, vs, origin, changedMap(t, first, 1, func(s map[ID]*Shard) { s[1].Weight = 2 }))
	for name, c := range map[string]struct {
		query   QueryPlacement
		restart bool
	}{
		"an idempotent query may have run": {
			query:   QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, MayHaveRun: true}}},
			restart: true,
		},
		"it never ran": {
			query:   QueryPlacement{Parts: []Part{{Shard: 2}}},
			restart: true,
		},
		"it may have run": {
			query:   QueryPlacement{Parts: []Part{{Shard: 2, MayHaveRun: true}}},
			restart: false,
		},
		"another part was answered": {
			query:   QueryPlacement{Parts: []Part{{Shard: 2}, {Shard: 3, Answered: true}}},
			restart: false,
		},
		"it is a second step": {
			query:   QueryPlacement{Idempotent: true, SecondStep: true, Parts: []Part{{Shard: 2}}},
			restart: false,
		},
		"it was restarted too often": {
			query:   QueryPlacement{Idempotent: true, Restarts: MaxRestarts, Parts: []Part{{Shard: 2}}},
			restart: false,
		},
		"its last server rejected it": {
			query:   QueryPlacement{Parts: []Part{{Shard: 2, Servers: []string{"a"}}}},
			restart: true,
		},
		"another server is left": {
			query:   QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, Servers: []string{"a", "b"}}}},
			restart: false,
		},
		"the last server rejects after it ran": {
			query:   QueryPlacement{Parts: []Part{{Shard: 2, MayHaveRun: true, Servers: []string{"a"}}}},
			restart: false,
		},
		"the part was answered in the meantime": {
			query: QueryPlacement{
				Idempotent: true,
				Parts:      []Part{{Shard: 2, Answered: true, Servers: []string{"a"}}},
			},
			restart: false,
		},
	} {
		c.query.View = old
		d := c.query.Rejected(vs, Rejection{Server: "a", Mismatch: NoLongerServed, Epoch: 2})
		if d.Restart != c.restart || d.AwaitMap {
			t.Errorf("%s: %+v", name, d)
		}
	}
}
