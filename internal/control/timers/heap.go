package timers

import (
	"container/heap"
	"time"
)

// Heap implements Timers with container/heap and an index of positions.
type Heap struct{ entries heapEntries }

// heapEntries implements heap.Interface over ids.
type heapEntries struct {
	dueTimes  []time.Time // by id
	positions []int       // in ids, by id; notInHeap if the id has no due time
	ids       []int       // in heap order
}

const notInHeap = -1

// NewHeap returns an empty heap.
func NewHeap() *Heap { return &Heap{} }

func (e *heapEntries) Len() int { return len(e.ids) }

func (e *heapEntries) Less(i, j int) bool { return e.dueTimes[e.ids[i]].Before(e.dueTimes[e.ids[j]]) }

func (e *heapEntries) Swap(i, j int) {
	e.ids[i], e.ids[j] = e.ids[j], e.ids[i]
	e.positions[e.ids[i]] = i
	e.positions[e.ids[j]] = j
}

func (e *heapEntries) Push(x any) {
	id := x.(int)
	e.positions[id] = len(e.ids)
	e.ids = append(e.ids, id)
}

func (e *heapEntries) Pop() any {
	id := e.ids[len(e.ids)-1]
	e.ids = e.ids[:len(e.ids)-1]
	e.positions[id] = notInHeap
	return id
}

// Len returns the number of due times.
func (h *Heap) Len() int { return h.entries.Len() }

// Set makes id due at t.
func (h *Heap) Set(id int, t time.Time) {
	e := &h.entries
	for id >= len(e.positions) {
		e.positions = append(e.positions, notInHeap)
		e.dueTimes = append(e.dueTimes, time.Time{})
	}
	e.dueTimes[id] = t
	if position := e.positions[id]; position != notInHeap {
		heap.Fix(e, position)
	} else {
		heap.Push(e, id)
	}
}

// Cancel removes id's due time.
func (h *Heap) Cancel(id int) {
	e := &h.entries
	if id < len(e.positions) && e.positions[id] != notInHeap {
		heap.Remove(e, e.positions[id])
	}
}

// Next returns the earliest due time.
func (h *Heap) Next() (time.Time, bool) {
	e := &h.entries
	if len(e.ids) == 0 {
		return time.Time{}, false
	}
	return e.dueTimes[e.ids[0]], true
}

// Pop removes the due times up to now and calls expired for their ids.
func (h *Heap) Pop(now time.Time, expired func(id int)) {
	e := &h.entries
	var due []int
	for len(e.ids) > 0 && !now.Before(e.dueTimes[e.ids[0]]) {
		due = append(due, heap.Pop(e).(int))
	}
	for _, id := range due {
		if e.positions[id] == notInHeap { // else a call of expired has set it again
			expired(id)
		}
	}
}
