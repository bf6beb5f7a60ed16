package eviction

import (
	"math/rand/v2"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWhoGoesFirst(t *testing.T) {
	r, now := New[string](time.Minute), origin
	for _, c := range []struct {
		k string
		c Class
	}{{"busy", Busy}, {"kept", Stateful}, {"idle1", Idle}, {"idle2", Idle}, {"fresh1", Unused}, {"fresh2", Unused}} {
		r.Set(c.k, c.c, now)
		now = now.Add(time.Second)
	}
	r.Set("idle1", Idle, now) // used again
	for _, want := range []string{"fresh1", "fresh2", "idle2", "idle1"} {
		if k, ok := r.Evict(now); !ok || k != want {
			t.Fatalf("%s goes, not %s", k, want)
		}
	}
	if k, ok := r.Evict(now); ok {
		t.Fatalf("%s goes, and its state was used lately", k)
	}
	if k, ok := r.Evict(now.Add(time.Minute)); !ok || k != "kept" {
		t.Fatalf("%s goes, not kept", k)
	}
	if k, ok := r.Evict(now.Add(time.Hour)); ok {
		t.Fatalf("%s goes, and is busy", k)
	}
}

// Against a plain model: no busy one ever goes, none twice, and who goes has the lowest class there is.
func FuzzRegister(f *testing.F) {
	f.Add(uint64(1), uint16(500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 3))
		r, now := New[int](time.Second), origin
		type is struct {
			c  Class
			at time.Time
		}
		model := map[int]is{}
		for range steps % 2000 {
			now = now.Add(time.Duration(1+rng.IntN(300)) * time.Millisecond)
			k := rng.IntN(20)
			switch rng.IntN(4) {
			case 0:
				r.Remove(k)
				delete(model, k)
			case 1, 2:
				c := Class(rng.IntN(4))
				r.Set(k, c, now)
				model[k] = is{c, now}
			case 3:
				want, found := 0, false
				for k, m := range model {
					if m.c > Stateful || m.c == Stateful && now.Sub(m.at) < time.Second {
						continue
					}
					if b := model[want]; !found || m.c < b.c || m.c == b.c && m.at.Before(b.at) {
						want, found = k, true
					}
				}
				if k, ok := r.Evict(now); ok != found || ok && k != want {
					t.Fatalf("%d %v goes, not %d %v", k, ok, want, found)
				}
				if found {
					model[want] = is{Evicted, now}
				}
			}
		}
	})
}
