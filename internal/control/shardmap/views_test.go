package shardmap

import (
	"errors"
	"testing"
	"time"
)

// Maps that are older, repeated, forked or of another archive do not replace the current map.
func TestViews_Offer_RejectsInvalidMaps(t *testing.T) {
	vs, err := NewViews(ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1})
	if err != nil {
		t.Fatal(err)
	}
	first := threeShards(t)
	second := changedMap(t, first, 1, func(s map[ID]*Shard) { s[1].Weight = 2 })
	fork := changedMap(t, first, 1, func(s map[ID]*Shard) { s[1].Weight = 5 })
	other := changedMap(t, second, 1, func(map[ID]*Shard) {})
	other.Archive = "other"
	for _, c := range []struct {
		name    string
		m       *Map
		adopted bool
		want    error
	}{
		{name: "the first map", m: first, adopted: true},
		{name: "the next epoch", m: second, adopted: true},
		{name: "the same map again", m: second},
		{name: "an earlier epoch", m: first, want: ErrStaleEpoch},
		{name: "another map of the current epoch", m: fork, want: ErrForked},
		{name: "another archive", m: other, want: ErrOtherArchive},
	} {
		if adopted, err := vs.Offer(origin, c.m); adopted != c.adopted || !errors.Is(err, c.want) {
			t.Errorf("%s: adopted %v, %v", c.name, adopted, err)
		}
	}
	if vs.Current() != second || vs.Stats.Stale != 1 || vs.Stats.Rejected != 2 || vs.Stats.Accepted != 2 {
		t.Errorf("%+v", vs.Stats)
	}
	parsed, err := Parse(second.Encode())
	if err != nil || !parsed.sameShards(second) || parsed.Epoch != 2 {
		t.Error(err)
	}
}

// An earlier epoch is dropped with its last query. Epochs retained too long, or beyond the limit, expire once.
func TestViews_PinAndExpire(t *testing.T) {
	m := threeShards(t)
	now := origin
	vs := newViews(t, ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: 10 * time.Second, WarmupMinFraction: 1}, m)
	var pins []*View
	for range 4 {
		pins = append(pins, vs.Pin())
		m = changedMap(t, m, 1, func(s map[ID]*Shard) { s[1].Weight++ })
		now = now.Add(time.Second)
		mustOffer(t, vs, now, m)
	}
	if epochs, queries := vs.Pinned(); epochs != 4 || queries != 4 {
		t.Errorf("%d epochs and %d queries are pinned, want 4 and 4", epochs, queries)
	}
	if expired := vs.Expired(now); len(expired) != 2 || expired[0] != pins[0] || expired[1] != pins[1] {
		t.Errorf("beyond the limit: %v expired", expired)
	}
	if expired := vs.Expired(now); len(expired) != 0 {
		t.Errorf("expired again: %v", expired)
	}
	if next := vs.NextExpiry(); !next.Equal(origin.Add(13 * time.Second)) {
		t.Errorf("the next expiry is at %v", next)
	}
	if expired := vs.Expired(origin.Add(13 * time.Second)); len(expired) != 1 || expired[0] != pins[2] {
		t.Errorf("by age: %v expired", expired)
	}
	for _, v := range pins {
		vs.Release(v)
	}
	if epochs, queries := vs.Pinned(); epochs != 0 || queries != 0 {
		t.Errorf("%d epochs and %d queries are pinned after their release", epochs, queries)
	}
}

// Only replicas that are new to a shard warm up.
func TestViews_TrafficFraction_NewReplicasWarmUp(t *testing.T) {
	m := threeShards(t)
	vs := newViews(t, ViewOptions{
		MaxPinnedEpochs:   2,
		MaxPinnedAge:      time.Minute,
		WarmupPeriod:      16 * time.Second,
		WarmupMinFraction: 0.25,
	}, m)
	plan, err := PlanMigration(m, 2, []string{"b", "c"}, Timing{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range plan.Steps[:2] {
		if m, err = plan.Steps[i].Apply(m); err != nil {
			t.Fatal(err)
		}
		mustOffer(t, vs, origin, m)
	}
	atOnce := map[string]float64{"a": 1, "b": 1, "c": 0.25}
	replicas := m.Shard(2).ServingReplicas()
	if len(replicas) != len(atOnce) {
		t.Fatalf("%d replicas serve, want %d", len(replicas), len(atOnce))
	}
	for _, replica := range replicas {
		if fraction := vs.TrafficFraction(origin, replica); fraction != atOnce[replica.Server] {
			t.Errorf("%s receives %v of its traffic, want %v", replica.Server, fraction, atOnce[replica.Server])
		}
		if replica.Server != "c" {
			continue
		}
		half := vs.TrafficFraction(origin.Add(8*time.Second), replica)
		end := vs.TrafficFraction(origin.Add(16*time.Second), replica)
		if half != 0.625 || end != 1 {
			t.Errorf("c receives %v of its traffic after half the period, %v at its end; want 0.625, 1", half, end)
		}
	}
}
