package timers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Random steps on a wheel and on the plain model: the same ids come due, at the same tick, each once.
func FuzzWheel(f *testing.F) {
	f.Add(uint64(1), uint16(200))
	f.Add(uint64(99), uint16(2000))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const tick = 5 * time.Millisecond
		w := NewWheel(origin, tick)
		model, now := map[int]time.Time{}, origin
		for range steps {
			id := rng.IntN(50)
			switch rng.IntN(5) {
			case 0:
				w.Cancel(id)
				delete(model, id)
			case 1, 2, 3:
				at := now.Add(time.Duration(rng.Int64N(int64(1) << rng.IntN(48))))
				w.Set(id, at)
				model[id] = at
			case 4:
				now = now.Add(time.Duration(rng.Int64N(int64(1) << rng.IntN(47))))
				if next, ok := w.Next(); ok != (len(model) > 0) {
					t.Fatalf("next %v %v of %d", next, ok, len(model))
				} else if ok {
					for id, at := range model {
						if at.Add(tick).Before(next) && next.After(now) {
							t.Fatalf("%d is due at %v, and next is %v", id, at, next)
						}
					}
				}
				w.Pop(now, func(id int) {
					at, ok := model[id]
					if !ok || at.After(now) {
						t.Fatalf("%d came at %v, due %v %v", id, now, at, ok)
					}
					delete(model, id)
					// What comes due may cancel others that are due, or set itself or them anew.
					if other := rng.IntN(50); other%7 == 0 {
						w.Cancel(other)
						delete(model, other)
					} else if other%7 == 1 {
						w.Set(other, now.Add(time.Hour))
						model[other] = now.Add(time.Hour)
					}
				})
				for id, at := range model {
					if !at.After(now.Add(-tick)) {
						t.Fatalf("%d was due at %v and did not come by %v", id, at, now)
					}
				}
			}
			if w.Len() != len(model) {
				t.Fatalf("%d held, not %d", w.Len(), len(model))
			}
		}
	})
}

// What is due for good is told once, and the heap agrees with the wheel over many steps.
func TestWheelAndHeapAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	w, h := NewWheel(origin, time.Millisecond), NewHeap()
	now := origin
	for step := range 2000 {
		id, at := rng.IntN(300), now.Add(time.Duration(rng.IntN(90_000))*time.Millisecond)
		w.Set(id, at)
		h.Set(id, at)
		now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
		var a, b [300]int
		w.Pop(now, func(id int) { a[id]++ })
		h.Pop(now, func(id int) { b[id]++ })
		if a != b || w.Len() != h.Len() {
			t.Fatalf("step %d: %d and %d held", step, w.Len(), h.Len())
		}
	}
}

// One check: it comes due, and is set again with a new interval. Run with -bench Timers -benchmem.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		for name, make := range map[string]func() Timers{
			"wheel": func() Timers { return NewWheel(origin, 5*time.Millisecond) }, "heap": func() Timers { return NewHeap() },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				t, now := make(), origin
				every := func() time.Duration { return time.Duration(1.8e9 + rng.Float64()*4e8) }
				for id := range n {
					t.Set(id, now.Add(time.Duration(rng.Float64()*2e9)))
				}
				b.ReportAllocs()
				b.ResetTimer()
				for done := 0; done < b.N; {
					next, _ := t.Next()
					now = next
					t.Pop(now, func(id int) {
						t.Set(id, now.Add(every()))
						done++
					})
				}
			})
		}
	}
}

type dated struct {
	at    time.Time
	seq   uint64
	place int
}

func (d *dated) Deadline() (time.Time, uint64) { return d.at, d.seq }
func (d *dated) QueueIndex() *int              { return &d.place }

// Random steps on a Due and on a plain slice: the same come due, in the same order.
func FuzzDue(f *testing.F) {
	f.Add(uint64(1), uint16(500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 8))
		var d DeadlineQueue[*dated]
		var model []*dated
		now := origin
		for i := range steps % 3000 {
			switch rng.IntN(4) {
			case 0, 1:
				x := &dated{at: now.Add(time.Duration(rng.IntN(20)) * time.Millisecond), seq: uint64(i)}
				d.Push(x)
				model = append(model, x)
			case 2:
				if len(model) > 0 {
					k := rng.IntN(len(model))
					d.Remove(model[k])
					d.Remove(model[k]) // once more does nothing
					model = slices.Delete(model, k, k+1)
				}
			case 3:
				now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
				slices.SortFunc(model, func(a, b *dated) int {
					if c := a.at.Compare(b.at); c != 0 {
						return c
					}
					return int(a.seq) - int(b.seq)
				})
				n := 0
				for n < len(model) && !now.Before(model[n].at) {
					n++
				}
				if next, ok := d.Next(); ok != (len(model) > 0) || ok && !next.Equal(model[0].at) {
					t.Fatalf("next %v %v", next, ok)
				}
				if got := d.Pop(now); !slices.Equal(got, model[:n]) {
					t.Fatalf("%d come due, not %d", len(got), n)
				}
				model = slices.Clone(model[n:])
			}
			if d.Len() != len(model) {
				t.Fatalf("%d held, not %d", d.Len(), len(model))
			}
		}
	})
}
