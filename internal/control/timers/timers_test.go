package timers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTimers_WheelAndHeapExpireTheSameIDs(t *testing.T) {
	const ids = 300
	random := rand.New(rand.NewPCG(3, 4))
	wheel := NewWheel(origin, time.Millisecond)
	heap := NewHeap()
	now := origin
	for step := range 2000 {
		id := random.IntN(ids)
		due := now.Add(time.Duration(random.IntN(90_000)) * time.Millisecond)
		wheel.Set(id, due)
		heap.Set(id, due)
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		var byWheel, byHeap [ids]int // how often each id expired
		wheel.Pop(now, func(id int) { byWheel[id]++ })
		heap.Pop(now, func(id int) { byHeap[id]++ })
		if byWheel != byHeap || wheel.Len() != heap.Len() {
			t.Fatalf("step %d: different ids expired, or %d and %d due times remain", step, wheel.Len(), heap.Len())
		}
	}
}

// BenchmarkTimers measures how long it takes to pop one due time and to set it again. Run with -bench Timers -benchmem.
func BenchmarkTimers(b *testing.B) {
	for _, ids := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("wheel/%d", ids), func(b *testing.B) {
			benchmarkTimers(b, ids, NewWheel(origin, 5*time.Millisecond))
		})
		b.Run(fmt.Sprintf("heap/%d", ids), func(b *testing.B) {
			benchmarkTimers(b, ids, NewHeap())
		})
	}
}

func benchmarkTimers(b *testing.B, ids int, t Timers) {
	random := rand.New(rand.NewPCG(1, 2))
	now := origin
	interval := func() time.Duration { return time.Duration(1.8e9 + random.Float64()*4e8) }
	for id := range ids {
		t.Set(id, now.Add(time.Duration(random.Float64()*2e9)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; {
		next, _ := t.Next() // ok: every id has a due time
		now = next
		t.Pop(now, func(id int) {
			t.Set(id, now.Add(interval()))
			done++
		})
	}
}
