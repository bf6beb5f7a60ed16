package timers

import "time"

// DeadlineItem is an item of a DeadlineQueue. Implementations are pointers to structs that store their queue index.
type DeadlineItem interface {
	comparable
	// Deadline returns the item's deadline, and its order among the items with the same deadline. Neither may change
	// while the item is in the queue.
	Deadline() (t time.Time, order uint64)
	// QueueIndex returns the variable in which the queue stores the item's position, counted from 1; 0 stands for an
	// item that is in no queue.
	QueueIndex() *int
}

// DeadlineQueue is a binary heap of exact deadlines from which any item can be removed. Unlike Wheel it does not round
// times. Push and Remove take logarithmic time in the number of items. The zero value is an empty queue. It is owned by
// one goroutine.
type DeadlineQueue[T DeadlineItem] struct{ items []T }

// Len returns the number of items.
func (q *DeadlineQueue[T]) Len() int { return len(q.items) }

// Push adds an item that is not in the queue.
func (q *DeadlineQueue[T]) Push(item T) {
	q.items = append(q.items, item)
	*item.QueueIndex() = len(q.items)
	q.siftUp(len(q.items) - 1)
}

// Remove removes an item, if it is in the queue.
func (q *DeadlineQueue[T]) Remove(item T) {
	i := *item.QueueIndex() - 1
	if i < 0 {
		return
	}
	last := len(q.items) - 1
	q.swap(i, last)
	var zero T
	q.items[last] = zero
	q.items = q.items[:last]
	*item.QueueIndex() = 0
	if i < last {
		q.siftUp(i)
		q.siftDown(i)
	}
}

// Next returns the earliest deadline; ok is false if the queue is empty.
func (q *DeadlineQueue[T]) Next() (t time.Time, ok bool) {
	if len(q.items) == 0 {
		return t, false
	}
	t, _ = q.items[0].Deadline()
	return t, true
}

// Pop removes the items whose deadline is not after now and returns them, earliest first.
func (q *DeadlineQueue[T]) Pop(now time.Time) (expired []T) {
	for len(q.items) > 0 {
		first := q.items[0]
		if t, _ := first.Deadline(); now.Before(t) {
			break
		}
		q.Remove(first)
		expired = append(expired, first)
	}
	return expired
}

func (q *DeadlineQueue[T]) swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	*q.items[i].QueueIndex(), *q.items[j].QueueIndex() = i+1, j+1
}

func (q *DeadlineQueue[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !isBefore(q.items[i], q.items[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *DeadlineQueue[T]) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if right := child + 1; right < len(q.items) && isBefore(q.items[right], q.items[child]) {
			child = right
		}
		if !isBefore(q.items[child], q.items[i]) {
			return
		}
		q.swap(i, child)
		i = child
	}
}

func isBefore[T DeadlineItem](a, b T) bool {
	aTime, aOrder := a.Deadline()
	bTime, bOrder := b.Deadline()
	if !aTime.Equal(bTime) {
		return aTime.Before(bTime)
	}
	return aOrder < bOrder
}
