package eviction

import (
	"math/rand/v2"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRegistry_EvictsByClassThenByAge(t *testing.T) {
	registry := New[string](time.Minute)
	now := origin
	for _, test := range []struct {
		key   string
		class Class
	}{
		{key: "busy", class: Busy},
		{key: "stateful", class: Stateful},
		{key: "idle1", class: Idle},
		{key: "idle2", class: Idle},
		{key: "unused1", class: Unused},
		{key: "unused2", class: Unused},
	} {
		registry.Set(test.key, test.class, now)
		now = now.Add(time.Second)
	}
	registry.Set("idle1", Idle, now) // used again
	for _, want := range []string{"unused1", "unused2", "idle2", "idle1"} {
		if key, ok := registry.Evict(now); !ok || key != want {
			t.Fatalf("%q is evicted, want %s", key, want)
		}
	}
	if key, ok := registry.Evict(now); ok {
		t.Fatalf("%s is evicted, though its state was used recently", key)
	}
	if key, ok := registry.Evict(now.Add(time.Minute)); !ok || key != "stateful" {
		t.Fatalf("%q is evicted, want stateful", key)
	}
	if key, ok := registry.Evict(now.Add(time.Hour)); ok {
		t.Fatalf("%s is evicted, though it is busy", key)
	}
}

const testRecent = time.Second

// modelEntry is a connection in the model of FuzzRegistry.
type modelEntry struct {
	class Class
	since time.Time
}

func (e modelEntry) isEvictable(now time.Time) bool {
	switch e.class {
	case Unused, Idle:
		return true
	case Stateful:
		return now.Sub(e.since) >= testRecent
	}
	return false
}

// firstEvicted returns the connection of the model that must be evicted first.
func firstEvicted(model map[int]modelEntry, now time.Time) (first int, found bool) {
	for key, e := range model {
		if !e.isEvictable(now) {
			continue
		}
		best := model[first]
		if !found || e.class < best.class || e.class == best.class && e.since.Before(best.since) {
			first = key
			found = true
		}
	}
	return first, found
}

// FuzzRegistry compares a Registry with a map as the model: no busy connection is evicted, none is evicted twice, and
// the evicted one is the oldest of the lowest class.
func FuzzRegistry(f *testing.F) {
	f.Add(uint64(1), uint16(500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		random := rand.New(rand.NewPCG(seed, 3))
		registry := New[int](testRecent)
		now := origin
		model := map[int]modelEntry{}
		for range steps % 2000 {
			now = now.Add(time.Duration(1+random.IntN(300)) * time.Millisecond)
			key := random.IntN(20)
			switch random.IntN(4) {
			case 0:
				registry.Remove(key)
				delete(model, key)
			case 1, 2:
				class := Class(random.IntN(4))
				registry.Set(key, class, now)
				model[key] = modelEntry{class: class, since: now}
			case 3:
				want, found := firstEvicted(model, now)
				if got, ok := registry.Evict(now); ok != found || ok && got != want {
					t.Fatalf("%d %v is evicted, want %d %v", got, ok, want, found)
				}
				if found {
					model[want] = modelEntry{class: Evicted, since: now}
				}
			}
		}
	})
}
