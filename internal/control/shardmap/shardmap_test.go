package shardmap

import (
	"strings"
	"testing"
)

func TestKey_ParsingAndLookup(t *testing.T) {
	for text, want := range map[string]Key{
		"news@2019:4": "news@2019",
		"news@2019":   "news@2019",
		"odd":         "odd",
		"a:b":         "a:b",
		"news@19:4":   "news@19:4",
	} {
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
	for key, want := range map[Key]ID{
		"":       1,
		"f@2000": 1,
		"g@1999": 1,
		"g@2000": 2,
		"p@1999": 2,
		"p@2000": 3,
		"z@9999": 3,
	} {
		if shard := m.Lookup(key); shard.ID != want {
			t.Errorf("%q is in shard %d, want %d", key, shard.ID, want)
		}
	}
}

// invalidMaps are changes that invalidate the map of TestNew_RejectsInvalidMaps, and parts of the expected errors.
var invalidMaps = map[string]struct {
	invalidate func([]*Shard)
	want       string
}{
	"a gap": {
		invalidate: func(s []*Shard) { s[0].To = "l@2000" },
		want:       "are in no block",
	},
	"an overlap": {
		invalidate: func(s []*Shard) { s[0].To = "n@2000" },
		want:       "overlap",
	},
	"an end that is open too early": {
		invalidate: func(s []*Shard) { s[0].To = "" },
		want:       "overlap",
	},
	"no beginning": {
		invalidate: func(s []*Shard) { s[0].From = "a@2000" },
		want:       "before",
	},
	"no end": {
		invalidate: func(s []*Shard) { s[1].To = "z@2000" },
		want:       "on are in no block",
	},
	"an id twice": {
		invalidate: func(s []*Shard) { s[1].ID = 1 },
		want:       "block 1 is listed more than once",
	},
	"an id from next_id on": {
		invalidate: func(s []*Shard) { s[1].ID = 9 },
		want:       "next_id",
	},
	"id 0": {
		invalidate: func(s []*Shard) { s[1].ID = 0 },
		want:       "at least 1",
	},
	"no replica": {
		invalidate: func(s []*Shard) { s[1].Replicas = nil },
		want:       "no holder",
	},
	"only a joining replica": {
		invalidate: func(s []*Shard) {
			s[1].Replicas = []Replica{{Server: "a", Joining: true}}
			s[1].State = Migrating
		},
		want: "no holder",
	},
	"a joining replica in a shard that serves": {
		invalidate: func(s []*Shard) { s[1].Replicas = []Replica{{Server: "a"}, {Server: "b", Joining: true}} },
		want:       "only while it is moving",
	},
	"a server twice": {
		invalidate: func(s []*Shard) { s[1].Replicas = replicasOn("a", "a") },
		want:       `holder "a" is listed more than once`,
	},
	"a server without a name": {
		invalidate: func(s []*Shard) { s[1].Replicas = replicasOn("") },
		want:       "no server name",
	},
	"a replica that serves since a later epoch": {
		invalidate: func(s []*Shard) { s[1].Replicas = []Replica{{Server: "a", ServingSince: 9}} },
		want:       "later than the map's epoch",
	},
	"an unknown state": {
		invalidate: func(s []*Shard) { s[1].State = "asleep" },
		want:       "asleep",
	},
	"a negative weight": {
		invalidate: func(s []*Shard) { s[1].Weight = -1 },
		want:       "weight",
	},
	"no active shard": {
		invalidate: func(s []*Shard) {
			s[0].State = Retiring
			s[1].State = Retiring
		},
		want: "no active block",
	},
	"an empty range": {
		invalidate: func(s []*Shard) { s[2].To = "a@2000" },
		want:       "empty",
	},
}

func TestNew_RejectsInvalidMaps(t *testing.T) {
	valid := func() []*Shard {
		return []*Shard{
			{ID: 1, To: "m@2000", State: Serving, Replicas: replicasOn("a")},
			{ID: 2, From: "m@2000", State: Serving, Replicas: replicasOn("a")},
			{ID: 3, From: "a@2000", To: "b@2000", State: Retiring, Replicas: replicasOn("a")},
		}
	}
	if _, err := New("x", 1, 4, valid()); err != nil {
		t.Fatal(err)
	}
	for name, c := range invalidMaps {
		shards := valid()
		c.invalidate(shards)
		if _, err := New("x", 1, 4, shards); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}
