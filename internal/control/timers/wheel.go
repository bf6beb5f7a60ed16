package timers

import (
	"math/bits"
	"time"
)

const (
	slotBits      = 6 // of a tick number, for each level
	slotsPerLevel = 1 << slotBits
	slotMask      = slotsPerLevel - 1
	levels        = 4
	expiredLevel  = levels    // its slot 0 lists the ids that are already due
	endOfList     = int32(-1) // in place of an id

	notInWheel = -1 // in place of a level: there is no due time
	popping    = -2 // in place of a level: removed from its slot by the Pop in progress
)

// Wheel is a hierarchical timing wheel of four levels of 64 slots, after Varghese and Lauck, "Hashed and
// hierarchical timing wheels" (1987): Set and Cancel take constant time. Due times are rounded up to the tick, so no
// id expires early. With a tick of 5 ms the wheel covers 23 hours; ids that are due later are linked to the last slot
// and relinked when it is reached.
type Wheel struct {
	origin  time.Time
	tick    time.Duration
	now     int64                            // current tick: ticks up to it have been popped
	heads   [levels + 1][slotsPerLevel]int32 // first id of each slot's list
	used    [levels + 1]uint64               // one bit for each slot whose list is not empty
	items   []wheelItem                      // by id
	expired []int32                          // reused by Pop
	count   int                              // of due times
}

// wheelItem is an id's place in a slot's doubly linked list.
type wheelItem struct {
	due         int64 // ticks
	next, prev  int32 // ids, or endOfList
	level, slot int8
}

// NewWheel returns an empty wheel that starts at origin.
func NewWheel(origin time.Time, tick time.Duration) *Wheel {
	w := &Wheel{origin: origin, tick: tick}
	for level := range w.heads {
		for slot := range w.heads[level] {
			w.heads[level][slot] = endOfList
		}
	}
	return w
}

// Len returns the number of due times.
func (w *Wheel) Len() int { return w.count }

// Set makes id due at t.
func (w *Wheel) Set(id int, t time.Time) {
	for id >= len(w.items) {
		w.items = append(w.items, wheelItem{level: notInWheel})
	}
	w.Cancel(id)
	w.items[id].due = w.ticksRoundedUp(t)
	w.link(int32(id))
	w.count++
}

func (w *Wheel) ticksRoundedUp(t time.Time) int64 {
	sinceOrigin := t.Sub(w.origin)
	ticks := int64(sinceOrigin / w.tick)
	if sinceOrigin%w.tick > 0 {
		ticks++
	}
	return ticks
}

// Cancel removes id's due time.
func (w *Wheel) Cancel(id int) {
	switch {
	case id >= len(w.items) || w.items[id].level == notInWheel:
		return
	case w.items[id].level == popping:
		w.items[id].level = notInWheel
	default:
		w.unlink(int32(id))
	}
	w.count--
}

// link adds an id to the list of the slot for its due time.
func (w *Wheel) link(id int32) {
	item := &w.items[id]
	level, slot := w.slotOf(item.due)
	head := w.heads[level][slot]
	item.level = int8(level)
	item.slot = int8(slot)
	item.prev = endOfList
	item.next = head
	if head != endOfList {
		w.items[head].prev = id
	}
	w.heads[level][slot] = id
	w.used[level] |= 1 << slot
}

// slotOf returns the slot for a due time, in the lowest level that covers it.
func (w *Wheel) slotOf(due int64) (level, slot int) {
	delta := due - w.now
	if delta <= 0 {
		return expiredLevel, 0
	}
	for level < levels-1 && delta >= 1<<(slotBits*(level+1)) {
		level++
	}
	lastTick := w.now + 1<<(slotBits*levels) - 1 // that the wheel covers
	return level, int(min(due, lastTick)>>(slotBits*level)) & slotMask
}

// unlink removes an id from the list of its slot.
func (w *Wheel) unlink(id int32) {
	item := &w.items[id]
	level := item.level
	slot := item.slot
	if item.prev != endOfList {
		w.items[item.prev].next = item.next
	} else {
		w.heads[level][slot] = item.next
	}
	if item.next != endOfList {
		w.items[item.next].prev = item.prev
	}
	if w.heads[level][slot] == endOfList {
		w.used[level] &^= 1 << slot
	}
	item.level = notInWheel
}

// slotDistance returns the number of slots from current to the next used one, 1 to 64; 0 if none is used.
func slotDistance(used uint64, current int) int {
	if used == 0 {
		return 0
	}
	return 1 + bits.TrailingZeros64(bits.RotateLeft64(used, -(current+1)))
}

// nextTick returns a lower bound of the earliest tick at which an id is due or has to be moved to a lower level; ok is
// false if there are no due times.
func (w *Wheel) nextTick() (tick int64, ok bool) {
	if w.used[expiredLevel] != 0 {
		return w.now, true
	}
	for level := range levels {
		position := w.now >> (slotBits * level)
		distance := slotDistance(w.used[level], int(position&slotMask))
		if distance == 0 {
			continue
		}
		begin := (position + int64(distance)) << (slotBits * level)
		if !ok || begin < tick {
			tick = begin
			ok = true
		}
	}
	return tick, ok
}

// Next returns when Pop should be called next.
func (w *Wheel) Next() (time.Time, bool) {
	tick, ok := w.nextTick()
	return w.origin.Add(time.Duration(tick) * w.tick), ok
}

// Pop removes the due times up to now and calls expired for their ids. If expired sets a due time that is not after
// now, it is removed by the next Pop.
func (w *Wheel) Pop(now time.Time, expired func(id int)) {
	target := int64(now.Sub(w.origin) / w.tick)
	for {
		tick, ok := w.nextTick()
		if !ok || tick > target {
			break
		}
		if tick > w.now {
			w.advanceTo(tick)
		}
		if w.used[expiredLevel] == 0 {
			continue
		}
		w.popExpired(expired)
		if w.used[expiredLevel] != 0 {
			break
		}
	}
	w.now = max(w.now, target)
}

// advanceTo advances the wheel to a tick. The ids of the slots that start at it are moved to lower levels or to the
// list of ids that are due.
func (w *Wheel) advanceTo(tick int64) {
	w.now = tick
	for level := levels - 1; level > 0; level-- {
		startsSlot := tick&(1<<(slotBits*level)-1) == 0
		if startsSlot {
			w.relinkSlot(level, int(tick>>(slotBits*level))&slotMask)
		}
	}
	w.relinkSlot(0, int(tick)&slotMask)
}

// relinkSlot empties a slot and links its ids again: to slots of lower levels, or to the list of ids that are due.
func (w *Wheel) relinkSlot(level, slot int) {
	id := w.heads[level][slot]
	w.heads[level][slot] = endOfList
	w.used[level] &^= 1 << slot
	for id != endOfList {
		next := w.items[id].next
		w.link(id)
		id = next
	}
}

// popExpired calls expired for each id in the list of those that are due. The list is emptied first, so that ids which
// expired sets to a due time that is not after now are left for the next Pop.
func (w *Wheel) popExpired(expired func(id int)) {
	w.expired = w.expired[:0]
	for id := w.heads[expiredLevel][0]; id != endOfList; id = w.items[id].next {
		w.expired = append(w.expired, id)
		w.items[id].level = popping
	}
	w.heads[expiredLevel][0] = endOfList
	w.used[expiredLevel] = 0
	for _, id := range w.expired {
		if w.items[id].level != popping {
			continue // a previous call of expired has canceled it, or set it again
		}
		w.items[id].level = notInWheel
		w.count--
		expired(int(id))
	}
}
