package timers

import "time"

// DeadlineItem is what a Due holds: it has a time, an order among those of one time, and keeps its own place.
type DeadlineItem interface {
	comparable
	// Deadline is the time and the order. They do not change while it is held.
	Deadline() (time.Time, uint64)
	// QueueIndex is where Due notes its place: 0 while it is not held.
	QueueIndex() *int
}

// DeadlineQueue is a heap of exact times from which anything can be taken out. Other than the wheel it is never late; to set and
// to take out cost the logarithm of what is held.
type DeadlineQueue[T DeadlineItem] struct{ items []T }

// Len is the number held.
func (d *DeadlineQueue[T]) Len() int { return len(d.items) }

func before[T DeadlineItem](a, b T) bool {
	at, i := a.Deadline()
	bt, j := b.Deadline()
	if !at.Equal(bt) {
		return at.Before(bt)
	}
	return i < j
}

// Push holds x, which is not held yet.
func (d *DeadlineQueue[T]) Push(x T) {
	d.items = append(d.items, x)
	*x.QueueIndex() = len(d.items)
	d.up(len(d.items) - 1)
}

// Remove lets x go, if it is held.
func (d *DeadlineQueue[T]) Remove(x T) {
	i := *x.QueueIndex() - 1
	if i < 0 {
		return
	}
	last := len(d.items) - 1
	d.swap(i, last)
	var none T
	d.items[last] = none
	d.items = d.items[:last]
	*x.QueueIndex() = 0
	if i < last {
		d.up(i)
		d.down(i)
	}
}

// Next is the earliest time held; ok is false if nothing is.
func (d *DeadlineQueue[T]) Next() (t time.Time, ok bool) {
	if len(d.items) == 0 {
		return t, false
	}
	t, _ = d.items[0].Deadline()
	return t, true
}

// Pop takes out what is due by now, in the order of time.
func (d *DeadlineQueue[T]) Pop(now time.Time) (list []T) {
	for len(d.items) > 0 {
		x := d.items[0]
		if t, _ := x.Deadline(); now.Before(t) {
			break
		}
		d.Remove(x)
		list = append(list, x)
	}
	return list
}

func (d *DeadlineQueue[T]) swap(i, j int) {
	d.items[i], d.items[j] = d.items[j], d.items[i]
	*d.items[i].QueueIndex(), *d.items[j].QueueIndex() = i+1, j+1
}

func (d *DeadlineQueue[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !before(d.items[i], d.items[p]) {
			return
		}
		d.swap(i, p)
		i = p
	}
}

func (d *DeadlineQueue[T]) down(i int) {
	for {
		k := 2*i + 1
		if k >= len(d.items) {
			return
		}
		if k+1 < len(d.items) && before(d.items[k+1], d.items[k]) {
			k++
		}
		if !before(d.items[k], d.items[i]) {
			return
		}
		d.swap(i, k)
		i = k
	}
}
