package scheduler

// compactThreshold is the number of popped entries from which a queue moves the remainder to the front.
const compactThreshold = 1024

// readyQueue is a FIFO queue that reuses its memory.
type readyQueue struct {
	entries []readyEntry
	head    int // index of the first entry that has not been popped
}

// readyEntry is a task that was ready when it was pushed. It is stale if the task's generation has changed.
type readyEntry struct {
	id         TaskID
	generation uint32
}

func (q *readyQueue) push(e readyEntry) { q.entries = append(q.entries, e) }

func (q *readyQueue) isEmpty() bool { return q.head == len(q.entries) }

// pop removes the first entry; the queue must not be empty.
func (q *readyQueue) pop() readyEntry {
	e := q.entries[q.head]
	q.head++
	switch {
	case q.isEmpty():
		q.entries = q.entries[:0]
		q.head = 0
	case q.head > compactThreshold && q.head > len(q.entries)/2:
		q.entries = append(q.entries[:0], q.entries[q.head:]...)
		q.head = 0
	}
	return e
}
