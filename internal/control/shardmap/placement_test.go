package shardmap

import (
	"slices"
	"testing"
	"time"
)

var placementOptions = ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1}

func TestQueryPlacement_Rejected_WithoutANewerMap(t *testing.T) {
	vs := newViews(t, placementOptions, threeShards(t))
	placement := func(idempotent bool, servers ...string) *QueryPlacement {
		return &QueryPlacement{View: vs.current, Idempotent: idempotent, Parts: []Part{{Shard: 2, Servers: servers}}}
	}
	q := placement(false, "a", "b")
	d := q.Rejected(vs, 0, "a", NoLongerServed, 2, vs.ObserveEpoch(origin, 2))
	if d != (Decision{DropServer: true, RequestMap: true}) || !slices.Equal(q.Parts[0].Servers, []string{"b"}) {
		t.Errorf("another server is left, and a newer epoch was named: %+v %v", d, q.Parts)
	}
	d = q.Rejected(vs, 0, "b", NoLongerServed, 2, vs.ObserveEpoch(origin, 2))
	if d != (Decision{DropServer: true, AwaitMap: true}) {
		t.Errorf("no server is left, and a newer map may be on its way: %+v", d)
	}
	vs.SourceUnchanged(origin)
	if d := q.ViewUnusable(vs); d != (Decision{}) {
		t.Errorf("the source has no newer map: %+v", d)
	}
	q = placement(true, "a", "b")
	if d := q.Rejected(vs, 0, "a", NoLongerServed, 1, vs.ObserveEpoch(origin, 1)); !d.FalseRejection || d.RequestMap {
		t.Errorf("the server holds the shard by the map that it names: %+v", d)
	}
}

// A query restarts on a newer map, unless a part that must not run twice may have run, it is a second step, it was
// restarted too often, or another server is left.
func TestQueryPlacement_Rejected_WithANewerMap(t *testing.T) {
	first := threeShards(t)
	vs := newViews(t, placementOptions, first)
	old := vs.Pin()
	mustOffer(t, vs, origin, changedMap(t, first, 1, func(s map[ID]*Shard) { s[1].Weight = 2 }))
	for name, c := range map[string]struct {
		query   QueryPlacement
		restart bool
	}{
		"an idempotent query may have run":      {QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, MayHaveRun: true}}}, true},
		"it never ran":                          {QueryPlacement{Parts: []Part{{Shard: 2}}}, true},
		"it may have run":                       {QueryPlacement{Parts: []Part{{Shard: 2, MayHaveRun: true}}}, false},
		"another part has run":                  {QueryPlacement{Parts: []Part{{Shard: 2}, {Shard: 3, Answered: true}}}, false},
		"it is a second step":                   {QueryPlacement{Idempotent: true, SecondStep: true, Parts: []Part{{Shard: 2}}}, false},
		"it was restarted too often":            {QueryPlacement{Idempotent: true, Restarts: MaxRestarts, Parts: []Part{{Shard: 2}}}, false},
		"its last server rejected it":           {QueryPlacement{Parts: []Part{{Shard: 2, Servers: []string{"a"}}}}, true},
		"another server is left":                {QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, Servers: []string{"a", "b"}}}}, false},
		"the last server rejects after it ran":  {QueryPlacement{Parts: []Part{{Shard: 2, MayHaveRun: true, Servers: []string{"a"}}}}, false},
		"the part was answered in the meantime": {QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, Answered: true, Servers: []string{"a"}}}}, false},
	} {
		c.query.View = old
		if d := c.query.Rejected(vs, 0, "a", NoLongerServed, 2, false); d.Restart != c.restart || d.AwaitMap {
			t.Errorf("%s: %+v", name, d)
		}
	}
}
