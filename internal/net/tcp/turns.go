package tcp

import (
	"container/list"
	"sync"
)

const (
	// turnBytes is how much of an accepted connection's input one turn reads. It bounds the time for which the connections of a
	// listener wait for each other.
	turnBytes = 4 << 10
	// turnSlots is how many connections of a queue may have their turn at once.
	turnSlots = 4
	// maxFreshInARow is how many connections without a backlog may have their turn before one with a backlog.
	maxFreshInARow = 16
)

// turnQueue gives connections, those of a listener for example, their turns to read and to handle what was read, in the order in which
// they ask. A connection with a backlog, which had more input than it could read in its previous turn, waits behind
// those without one, so that a client that sends without pause does not delay the others. A turn comes with the buffer
// to read into: the memory for reading does not depend on the number of connections.
type turnQueue struct {
	mu          sync.Mutex
	buffers     [][]byte  // of the free slots
	fresh       list.List // of *turnWaiter without a backlog
	backlogged  list.List // of *turnWaiter
	freshInARow int       // turns given to fresh connections while others waited
}

// turnWaiter is a connection that waits for its turn.
type turnWaiter struct {
	granted chan []byte // receives the buffer of the turn; it has room for it
}

// newTurnQueue returns a queue whose turns have buffers of this size.
func newTurnQueue(bufferBytes int) *turnQueue {
	q := &turnQueue{}
	for range turnSlots {
		q.buffers = append(q.buffers, make([]byte, bufferBytes))
	}
	return q
}

// acquire waits for a turn and returns its buffer, which the caller passes to release. It returns nil if ended is closed
// first.
func (q *turnQueue) acquire(backlogged bool, ended <-chan struct{}) []byte {
	q.mu.Lock()
	if last := len(q.buffers) - 1; last >= 0 { // then nobody waits
		buffer := q.buffers[last]
		q.buffers = q.buffers[:last]
		q.mu.Unlock()
		return buffer
	}
	waiters := &q.fresh
	if backlogged {
		waiters = &q.backlogged
	}
	waiter := &turnWaiter{granted: make(chan []byte, 1)}
	element := waiters.PushBack(waiter)
	q.mu.Unlock()
	select {
	case buffer := <-waiter.granted:
		return buffer
	case <-ended:
		q.abandon(waiters, element)
		return nil
	}
}

// abandon removes a waiter, and passes its turn on if it was granted in the meantime.
func (q *turnQueue) abandon(waiters *list.List, element *list.Element) {
	q.mu.Lock()
	waiters.Remove(element) // does nothing if the turn was granted
	q.mu.Unlock()
	select {
	case buffer := <-element.Value.(*turnWaiter).granted:
		q.release(buffer)
	default:
	}
}

// release ends a turn: its slot goes to the next waiter.
func (q *turnQueue) release(buffer []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if next := q.next(); next != nil {
		next.granted <- buffer
		return
	}
	q.buffers = append(q.buffers, buffer)
}

// next removes and returns the waiter whose turn is next; nil: nobody waits. It is called with the lock held.
func (q *turnQueue) next() *turnWaiter {
	waiters := &q.fresh
	if q.fresh.Len() == 0 || q.backlogged.Len() > 0 && q.freshInARow >= maxFreshInARow {
		waiters = &q.backlogged
		q.freshInARow = 0
	} else {
		q.freshInARow++
	}
	if waiters.Len() == 0 {
		return nil
	}
	return waiters.Remove(waiters.Front()).(*turnWaiter)
}
