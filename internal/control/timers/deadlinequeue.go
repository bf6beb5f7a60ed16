package timers

import "time"

// Dated is what a Due holds: it has a time, an order among those of one time, and keeps its own place.
type Dated interface {
	comparable
	// Due is the time and the order. They do not change while it is held.
	Due() (time.Time, uint64)
	// Place is where Due notes its place: 0 while it is not held.
	Place() *int
}

// Due is a heap of exact times from which anything can be taken out. Other than the wheel it is never late; to set and
// to take out cost the logarithm of what is held.
type Due[T Dated] struct{ items []T }

// Len is the number held.
func (d *Due[T]) Len() int { return len(d.items) }

func before[T Dated](a, b T) bool {
	at, i := a.Due()
	bt, j := b.Due()
	if !at.Equal(bt) {
		return at.Before(bt)
	}
	return i < j
}

// Put holds x, which is not held yet.
func (d *Due[T]) Put(x T) {
	d.items = append(d.items, x)
	*x.Place() = len(d.items)
	d.up(len(d.items) - 1)
}

// Remove lets x go, if it is held.
func (d *Due[T]) Remove(x T) {
	i := *x.Place() - 1
	if i < 0 {
		return
	}
	last := len(d.items) - 1
	d.swap(i, last)
	var none T
	d.items[last] = none
	d.items = d.items[:last]
	*x.Place() = 0
	if i < last {
		d.up(i)
		d.down(i)
	}
}

// Next is the earliest time held; ok is false if nothing is.
func (d *Due[T]) Next() (t time.Time, ok bool) {
	if len(d.items) == 0 {
		return t, false
	}
	t, _ = d.items[0].Due()
	return t, true
}

// Pop takes out what is due by now, in the order of time.
func (d *Due[T]) Pop(now time.Time) (list []T) {
	for len(d.items) > 0 {
		x := d.items[0]
		if t, _ := x.Due(); now.Before(t) {
			break
		}
		d.Remove(x)
		list = append(list, x)
	}
	return list
}

func (d *Due[T]) swap(i, j int) {
	d.items[i], d.items[j] = d.items[j], d.items[i]
	*d.items[i].Place(), *d.items[j].Place() = i+1, j+1
}

func (d *Due[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !before(d.items[i], d.items[p]) {
			return
		}
		d.swap(i, p)
		i = p
	}
}

func (d *Due[T]) down(i int) {
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
