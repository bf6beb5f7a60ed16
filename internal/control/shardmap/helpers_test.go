package shardmap

import (
	"slices"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// replicasOn returns a serving replica on each server.
func replicasOn(servers ...string) (replicas []Replica) {
	for _, s := range servers {
		replicas = append(replicas, Replica{Server: s})
	}
	return replicas
}

// threeShards returns a map of three shards, which meet at g@2000 and p@2000.
func threeShards(t testing.TB) *Map {
	t.Helper()
	m, err := New("captions", 1, 4, []*Shard{
		{ID: 1, To: "g@2000", State: Serving, Replicas: replicasOn("a", "b")},
		{ID: 2, From: "g@2000", To: "p@2000", State: Serving, Weight: 3, Replicas: replicasOn("a", "b")},
		{ID: 3, From: "p@2000", State: Serving, Replicas: replicasOn("b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// changedMap returns the map a number of epochs later, with shards changed by edit, without the checks of Change.
func changedMap(t *testing.T, m *Map, epochs Epoch, edit func(map[ID]*Shard)) *Map {
	t.Helper()
	byID := map[ID]*Shard{}
	for s := range m.All {
		c := *s
		c.Replicas = slices.Clone(s.Replicas)
		byID[s.ID] = &c
	}
	edit(byID)
	var shards []*Shard
	next := m.NextID
	for _, s := range byID {
		shards = append(shards, s)
		next = max(next, s.ID+1)
	}
	changed, err := New(m.Archive, m.Epoch+epochs, next, shards)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// newViews returns Views that have adopted a first map.
func newViews(t testing.TB, options ViewOptions, first *Map) *Views {
	t.Helper()
	vs, err := NewViews(options)
	if err != nil {
		t.Fatal(err)
	}
	mustOffer(t, vs, origin, first)
	return vs
}

// mustOffer offers a map, and fails the test unless it is adopted.
func mustOffer(t testing.TB, vs *Views, now time.Time, m *Map) {
	t.Helper()
	if adopted, err := vs.Offer(now, m); err != nil || !adopted {
		t.Fatalf("epoch %d: adopted %v, %v", m.Epoch, adopted, err)
	}
}
