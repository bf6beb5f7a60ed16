package shardmap

import (
	"strings"
	"testing"
)

func TestKey_ParsingAndLookup(t *testing.T) {
	for text, want := range map[string]Key{"news@2019:4": "news@2019", "news@2019": "news@2019", "odd": "odd", "a:b": "a:b", "news@19:4": "news@19:4"} {
		if got := KeyOf(text); got != want {
			t.Errorf("the key of %q is %q, want %q", text, got, want)
		}
	}
	for _, invalid := range []string{"news", "@2019", "a b@2019", "news@20190", "news@-001"} {
		if k, err := ParseKey(invalid); err == nil {
			t.Errorf("%q was parsed as %q", invalid, k)
		}
	}
	m := threeShards(t)
	for k, want := range map[Key]ID{"": 1, "f@2000": 1, "g@1999": 1, "g@2000": 2, "p@1999": 2, "p@2000": 3, "z@9999": 3} {
		if s := m.Lookup(k); s.ID != want {
			t.Errorf("%q is in shard %d, want %d", k, s.ID, want)
		}
	}
}

func TestNew_RejectsInvalidMaps(t *testing.T) {
	valid := func() []*Shard {
		return []*Shard{
			{ID: 1, To: "m@2000", State: Serving, Replicas: replicasOn("a")}, {ID: 2, From: "m@2000", State: Serving, Replicas: replicasOn("a")},
			{ID: 3, From: "a@2000", To: "b@2000", State: Retiring, Replicas: replicasOn("a")},
		}
	}
	for i, c := range []struct {
		invalidate func([]*Shard)
		want       string
	}{
		{func(s []*Shard) { s[0].To = "l@2000" }, "are in no block"},
		{func(s []*Shard) { s[0].To = "n@2000" }, "overlap"},
		{func(s []*Shard) { s[0].To = "" }, "overlap"},
		{func(s []*Shard) { s[0].From = "a@2000" }, "before"},
		{func(s []*Shard) { s[1].To = "z@2000" }, "on are in no block"},
		{func(s []*Shard) { s[1].ID = 1 }, "twice"},
		{func(s []*Shard) { s[1].ID = 9 }, "next_id"},
		{func(s []*Shard) { s[1].ID = 0 }, "over 0"},
		{func(s []*Shard) { s[1].Replicas = nil }, "no holder"},
		{func(s []*Shard) { s[1].Replicas = []Replica{{Server: "a", Joining: true}}; s[1].State = Migrating }, "no holder"},
		{func(s []*Shard) { s[1].Replicas = []Replica{{Server: "a"}, {Server: "b", Joining: true}} }, "not moving"},
		{func(s []*Shard) { s[1].Replicas = replicasOn("a", "a") }, "twice"},
		{func(s []*Shard) { s[1].Replicas = replicasOn("") }, "without a name"},
		{func(s []*Shard) { s[1].Replicas = []Replica{{Server: "a", ServingSince: 9}} }, "to come"},
		{func(s []*Shard) { s[1].State = "asleep" }, "asleep"},
		{func(s []*Shard) { s[1].Weight = -1 }, "weight"},
		{func(s []*Shard) { s[0].State, s[1].State = Retiring, Retiring }, "no block is active"},
		{func(s []*Shard) { s[2].To = "a@2000" }, "empty"},
	} {
		shards := valid()
		if i == 0 {
			if _, err := New("x", 1, 4, valid()); err != nil {
				t.Fatal(err)
			}
		}
		c.invalidate(shards)
		if _, err := New("x", 1, 4, shards); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("case %d: got %v, want %s", i, err, c.want)
		}
	}
}
