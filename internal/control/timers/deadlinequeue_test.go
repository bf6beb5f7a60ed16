package timers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

type testItem struct {
	deadline time.Time
	order    uint64
	index    int
}

func (i *testItem) Deadline() (time.Time, uint64) { return i.deadline, i.order }
func (i *testItem) QueueIndex() *int              { return &i.index }

// FuzzDeadlineQueue runs random operations on a DeadlineQueue and on a sorted slice as the model: the same items must
// expire, in the same order.
func FuzzDeadlineQueue(f *testing.F) {
	f.Add(uint64(1), uint16(500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		random := rand.New(rand.NewPCG(seed, 8))
		var queue DeadlineQueue[*testItem]
		var model []*testItem
		now := origin
		for i := range steps % 3000 {
			switch random.IntN(4) {
			case 0, 1:
				item := &testItem{
					deadline: now.Add(time.Duration(random.IntN(20)) * time.Millisecond),
					order:    uint64(i),
				}
				queue.Push(item)
				model = append(model, item)
			case 2:
				if len(model) > 0 {
					k := random.IntN(len(model))
					queue.Remove(model[k])
					queue.Remove(model[k]) // removing an item that is not in the queue has no effect
					model = slices.Delete(model, k, k+1)
				}
			case 3:
				now = now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
				model = popBoth(t, &queue, model, now)
			}
			if queue.Len() != len(model) {
				t.Fatalf("%d items in the queue, want %d", queue.Len(), len(model))
			}
		}
	})
}

// popBoth pops the items that are due from the queue and from the model, and returns the remainder of the model.
func popBoth(t *testing.T, queue *DeadlineQueue[*testItem], model []*testItem, now time.Time) []*testItem {
	t.Helper()
	slices.SortFunc(model, func(a, b *testItem) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.order, b.order))
	})
	expired := 0
	for expired < len(model) && !now.Before(model[expired].deadline) {
		expired++
	}
	if next, ok := queue.Next(); ok != (len(model) > 0) || ok && !next.Equal(model[0].deadline) {
		t.Fatalf("next deadline %v %v", next, ok)
	}
	if got := queue.Pop(now); !slices.Equal(got, model[:expired]) {
		t.Fatalf("%d items expired, want %d", len(got), expired)
	}
	return slices.Clone(model[expired:])
}
