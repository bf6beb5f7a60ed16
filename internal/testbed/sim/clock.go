package sim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StartTime is the first moment of virtual time.
var StartTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is an action that is scheduled for a moment of virtual time.
type event struct {
	due    time.Time
	seq    uint64 // orders the events of one moment by when they were scheduled
	action func()
}

// events is a heap ordered by time, then by sequence number.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].due.Equal(e[j].due) {
		return e[i].due.Before(e[j].due)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// clock is the virtual clock, with the queue of scheduled events and the trace of the run.
type clock struct {
	now        time.Time
	queue      events
	seq        uint64
	eventCount uint64
	trace      *xxhash.Digest
	recordText bool
	traceText  []string
	buffer     [8]byte // reused by hashNumber
}

// newClock returns a clock at Start; recordText makes it also record the trace as text.
func newClock(recordText bool) clock {
	return clock{now: StartTime, trace: xxhash.New(), recordText: recordText}
}

// at schedules an action for a moment; an action for a past moment runs at the current one.
func (c *clock) at(t time.Time, action func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.queue, event{due: t, seq: c.seq, action: action})
}

// after schedules an action for when delay has elapsed.
func (c *clock) after(delay time.Duration, action func()) { c.at(c.now.Add(delay), action) }

// record adds an entry to the trace. The text is part of the trace's hash, which tests and recorded runs compare.
func (c *clock) record(what string, subject, detail uint64) {
	c.hashNumber(uint64(c.now.Sub(StartTime)))
	_, _ = c.trace.WriteString(what) // writes to a hash never fail
	c.hashNumber(subject)
	c.hashNumber(detail)
	if c.recordText {
		c.traceText = append(c.traceText, fmt.Sprintf("%v %s %d %d", c.now.Sub(StartTime), what, subject, detail))
	}
}

func (c *clock) hashNumber(n uint64) {
	binary.LittleEndian.PutUint64(c.buffer[:], n)
	_, _ = c.trace.Write(c.buffer[:]) // writes to a hash never fail
}

// run executes the events up to end, inclusive, and sets the clock to end.
func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].due.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.due
		c.eventCount++
		e.action()
	}
	c.now = end
}
