package aggregator

import "sync"

// Poster accepts messages for the loop; Mailbox implements it. Put may be called from any goroutine and does not block.
type Poster interface{ Put(message Message) }

// Mailbox is an unbounded queue of messages for the loop. Any goroutine may add messages; only the loop removes them.
// Put never blocks.
type Mailbox struct {
	mu       sync.Mutex
	messages []Message
	deferred int // messages that PutDeferred has added since the last Take
	ready    chan struct{}
}

// NewMailbox returns an empty Mailbox.
func NewMailbox() *Mailbox { return &Mailbox{ready: make(chan struct{}, 1)} }

// Put adds a message and wakes the loop.
func (m *Mailbox) Put(message Message) {
	m.mu.Lock()
	m.messages = append(m.messages, message)
	m.mu.Unlock()
	m.signal()
}

// signal makes Ready deliver. Signals that are sent before it delivers are merged into one.
func (m *Mailbox) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// maxDeferred is the number of deferred messages that wake the loop.
const maxDeferred = 32

// PutDeferred adds a message that may wait until another event causes the next turn. It saves processor time:
// with many aggregators a gossip datagram arrives every other millisecond.
func (m *Mailbox) PutDeferred(message Message) {
	m.mu.Lock()
	m.messages = append(m.messages, message)
	m.deferred++
	due := m.deferred >= maxDeferred
	m.mu.Unlock()
	if due {
		m.signal()
	}
}

// Take removes and returns all messages.
func (m *Mailbox) Take() []Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = nil
	m.deferred = 0
	return messages
}

// Ready returns a channel that delivers when the mailbox may contain messages.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }
