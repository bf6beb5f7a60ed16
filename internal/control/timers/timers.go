// Package timers holds due times of numbered things: a hierarchical timing wheel, and a binary heap as the plain
// structure to measure it against. Neither reads a clock; both are owned by one goroutine.
//
// The wheel is after Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987): setting and cancelling
// cost the same whatever is held. Times are rounded up to the wheel's tick, so nothing is ever early.
package timers

import (
	"container/heap"
	"math/bits"
	"time"
)

// Timers is what both structures do. Ids are small numbers from 0 on; each has at most one due time.
type Timers interface {
	// Set makes id due at t, whatever it was before.
	Set(id int, t time.Time)
	// Cancel forgets id's due time, if it has one.
	Cancel(id int)
	// Next is when Pop should be called next: never later than the earliest due time rounded up. ok is false if
	// nothing is held.
	Next() (t time.Time, ok bool)
	// Pop calls f for each id due by now, in no order that matters, each once; f may call Set and Cancel.
	Pop(now time.Time, f func(id int))
	// Len is the number of due times held.
	Len() int
}

const (
	slotBits = 6
	slots    = 1 << slotBits
	levels   = 4
	none     = int32(-1)
	dueLevel = levels // the list of what is due already
	taken    = -2     // on its way to be told as due
)

// Wheel is a hierarchical timing wheel of four levels of 64 slots. With a tick of 5 ms it reaches 23 hours; what is
// due later waits in the last slot and is placed again.
type Wheel struct {
	origin time.Time
	tick   time.Duration
	now    int64 // ticks that have been popped
	heads  [levels + 1][slots]int32
	used   [levels + 1]uint64
	items  []wheelItem
	due    []int32 // scratch of Pop
	count  int
}

type wheelItem struct {
	at          int64 // ticks
	next, prev  int32
	level, slot int8 // level < 0: not held
}

// NewWheel returns an empty wheel that begins at origin.
func NewWheel(origin time.Time, tick time.Duration) *Wheel {
	w := &Wheel{origin: origin, tick: tick}
	for l := range w.heads {
		for s := range w.heads[l] {
			w.heads[l][s] = none
		}
	}
	return w
}

// Len is the number of due times held.
func (w *Wheel) Len() int { return w.count }

// Set makes id due at t.
func (w *Wheel) Set(id int, t time.Time) {
	for id >= len(w.items) {
		w.items = append(w.items, wheelItem{level: -1})
	}
	w.Cancel(id)
	d := t.Sub(w.origin)
	at := int64(d / w.tick)
	if d%w.tick > 0 {
		at++
	}
	w.items[id].at = at
	w.place(int32(id))
	w.count++
}

func (w *Wheel) place(id int32) {
	it := &w.items[id]
	level, slot := 0, 0
	switch delta := it.at - w.now; {
	case delta <= 0:
		level = dueLevel
	default:
		for level = 0; level < levels-1 && delta >= 1<<(slotBits*(level+1)); level++ {
		}
		at := min(it.at, w.now+1<<(slotBits*levels)-1)
		slot = int(at>>(slotBits*level)) & (slots - 1)
	}
	it.level, it.slot, it.prev, it.next = int8(level), int8(slot), none, w.heads[level][slot]
	if it.next != none {
		w.items[it.next].prev = id
	}
	w.heads[level][slot] = id
	w.used[level] |= 1 << slot
}

// Cancel forgets id's due time.
func (w *Wheel) Cancel(id int) {
	switch {
	case id >= len(w.items) || w.items[id].level == -1:
		return
	case w.items[id].level == taken:
		w.items[id].level = -1
	default:
		w.unlink(int32(id))
	}
	w.count--
}

func (w *Wheel) unlink(id int32) {
	it := &w.items[id]
	l, s := it.level, it.slot
	if it.prev != none {
		w.items[it.prev].next = it.next
	} else {
		w.heads[l][s] = it.next
	}
	if it.next != none {
		w.items[it.next].prev = it.prev
	}
	if w.heads[l][s] == none {
		w.used[l] &^= 1 << s
	}
	it.level = -1
}

// ahead is how many slots after cur the next used one lies, 1 to 64; 0 if none is used.
func ahead(used uint64, cur int) int {
	if used == 0 {
		return 0
	}
	return 1 + bits.TrailingZeros64(bits.RotateLeft64(used, -(cur+1)))
}

// nextTick is a lower bound of the earliest tick at which something is due or has to be placed again.
func (w *Wheel) nextTick() (int64, bool) {
	if w.used[dueLevel] != 0 {
		return w.now, true
	}
	best, ok := int64(0), false
	for l := range levels {
		at := w.now >> (slotBits * l)
		if d := ahead(w.used[l], int(at&(slots-1))); d > 0 {
			if t := (at + int64(d)) << (slotBits * l); !ok || t < best {
				best, ok = t, true
			}
		}
	}
	return best, ok
}

// Next is when Pop should be called next.
func (w *Wheel) Next() (time.Time, bool) {
	t, ok := w.nextTick()
	return w.origin.Add(time.Duration(t) * w.tick), ok
}

// Pop calls f for what is due. What f sets for a time that has come is due with the next Pop.
func (w *Wheel) Pop(now time.Time, f func(id int)) {
	target := int64(now.Sub(w.origin) / w.tick)
	for {
		t, ok := w.nextTick()
		if !ok || t > target {
			break
		}
		if t > w.now {
			w.now = t
			for l := levels - 1; l > 0; l-- { // only a level whose block begins now has something to hand down
				if t&(1<<(slotBits*l)-1) == 0 {
					w.empty(l, int(t>>(slotBits*l))&(slots-1))
				}
			}
			w.empty(0, int(t)&(slots-1))
		}
		if w.used[dueLevel] == 0 {
			continue
		}
		// The list is taken whole, so that what f sets anew for now waits for the next Pop.
		w.due = w.due[:0]
		for id := w.heads[dueLevel][0]; id != none; id = w.items[id].next {
			w.due = append(w.due, id)
			w.items[id].level = taken
		}
		w.heads[dueLevel][0], w.used[dueLevel] = none, 0
		for _, id := range w.due {
			if w.items[id].level == taken { // else f has cancelled it, or set it anew
				w.items[id].level = -1
				w.count--
				f(int(id))
			}
		}
		if w.used[dueLevel] != 0 {
			break
		}
	}
	w.now = max(w.now, target)
}

// empty places the items of a slot again: nearer, or as due.
func (w *Wheel) empty(level, slot int) {
	id := w.heads[level][slot]
	w.heads[level][slot] = none
	w.used[level] &^= 1 << slot
	for id != none {
		next := w.items[id].next
		w.place(id)
		id = next
	}
}

// Heap is a binary heap over container/heap with an index of positions: the plain structure.
type Heap struct{ h items }

type items struct {
	at  []time.Time // by id
	pos []int       // by id; -1: not held
	ids []int
}

// NewHeap returns an empty heap.
func NewHeap() *Heap { return &Heap{} }

func (h *items) Len() int           { return len(h.ids) }
func (h *items) Less(i, j int) bool { return h.at[h.ids[i]].Before(h.at[h.ids[j]]) }
func (h *items) Swap(i, j int) {
	h.ids[i], h.ids[j] = h.ids[j], h.ids[i]
	h.pos[h.ids[i]], h.pos[h.ids[j]] = i, j
}
func (h *items) Push(x any) {
	h.pos[x.(int)] = len(h.ids)
	h.ids = append(h.ids, x.(int))
}
func (h *items) Pop() any {
	id := h.ids[len(h.ids)-1]
	h.ids, h.pos[id] = h.ids[:len(h.ids)-1], -1
	return id
}

// Len is the number of due times held.
func (h *Heap) Len() int { return h.h.Len() }

// Set makes id due at t.
func (h *Heap) Set(id int, t time.Time) {
	for id >= len(h.h.pos) {
		h.h.pos, h.h.at = append(h.h.pos, -1), append(h.h.at, time.Time{})
	}
	h.h.at[id] = t
	if p := h.h.pos[id]; p >= 0 {
		heap.Fix(&h.h, p)
	} else {
		heap.Push(&h.h, id)
	}
}

// Cancel forgets id's due time.
func (h *Heap) Cancel(id int) {
	if id < len(h.h.pos) && h.h.pos[id] >= 0 {
		heap.Remove(&h.h, h.h.pos[id])
	}
}

// Next is the earliest due time.
func (h *Heap) Next() (time.Time, bool) {
	if len(h.h.ids) == 0 {
		return time.Time{}, false
	}
	return h.h.at[h.h.ids[0]], true
}

// Pop calls f for what is due.
func (h *Heap) Pop(now time.Time, f func(id int)) {
	var due []int
	for len(h.h.ids) > 0 && !now.Before(h.h.at[h.h.ids[0]]) {
		due = append(due, heap.Pop(&h.h).(int))
	}
	for _, id := range due {
		if h.h.pos[id] < 0 {
			f(id)
		}
	}
}
