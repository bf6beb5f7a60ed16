package tokenbucket

import (
	"testing"
	"time"
)

func TestBuckets_Take(t *testing.T) {
	b := New([]float64{2, 0})
	taken := func(i int, now time.Duration) (n int) {
		for range 10 {
			if b.Take(i, now) {
				n++
			}
		}
		return n
	}
	if got := taken(0, time.Second); got != 2 {
		t.Errorf("%d tokens after one second at 2 per second", got)
	}
	if got := taken(0, time.Hour); got != burstSeconds*2 {
		t.Errorf("%d tokens after an hour, want a burst of %d", got, burstSeconds*2)
	}
	if got := taken(0, time.Hour); got != 0 {
		t.Errorf("%d tokens from an empty bucket", got)
	}
	if taken(1, time.Hour) != 10 {
		t.Error("a bucket without a limit must always have tokens")
	}
	if taken(2, time.Hour) != 10 {
		t.Error("an unknown tenant must have no limit")
	}
}
