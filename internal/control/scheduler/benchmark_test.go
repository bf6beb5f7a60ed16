package scheduler

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/timers"
)

// BenchmarkScheduler measures one run from its due time to Done, for several numbers of tasks. It reports the 99th
// percentile of the delay in virtual time and the memory that adding a task allocates. Run with -bench Scheduler
// -benchmem.
func BenchmarkScheduler(b *testing.B) {
	for _, tasks := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("wheel/%d", tasks), func(b *testing.B) {
			benchmarkScheduler(b, tasks, timers.NewWheel(origin, 5*time.Millisecond))
		})
		b.Run(fmt.Sprintf("heap/%d", tasks), func(b *testing.B) {
			benchmarkScheduler(b, tasks, timers.NewHeap())
		})
	}
}

func benchmarkScheduler(b *testing.B, tasks int, t timers.Timers) {
	s, err := New(Budget{
		StartsPerSecond: float64(tasks), Burst: max(10, tasks/20), MaxRunning: max(10, tasks/20), Jitter: 0.1,
	}, 7, origin, t)
	if err != nil {
		b.Fatal(err)
	}
	heapBefore := heapBytes()
	for range tasks {
		s.Add(origin, Task{Priority: Normal, Interval: 2 * time.Second}, 2*time.Second)
	}
	bytesPerTask := float64(heapBytes()-heapBefore) / float64(tasks)
	now := origin
	delays := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for len(delays) < b.N {
		next, _ := s.Next() // ok: there are tasks
		if !next.After(now) {
			next = now.Add(time.Millisecond)
		}
		now = next
		for _, id := range s.Advance(now) {
			delays = append(delays, now.Sub(s.Due(id)))
			s.Done(now, id, Steady, false)
		}
	}
	b.StopTimer()
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)*99/100])/1e6, "p99-late-ms")
	b.ReportMetric(bytesPerTask, "B/target")
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
