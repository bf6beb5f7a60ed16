package aggregator

import "sync"

// Poster takes messages for the loop; Mailbox is one. Put may be called from any goroutine and does not block.
type Poster interface{ Put(message Message) }

// Mailbox holds messages until the loop takes them. Any goroutine may put messages in; only the loop takes them out.
// Put never blocks.
type Mailbox struct {
	mu       sync.Mutex
	messages []Message
	deferred int // messages that have woken nobody yet
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

// signal makes Ready deliver, once for any number of signals before that.
func (m *Mailbox) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// maxDeferred is how many deferred messages gather before they wake the loop by themselves.
const maxDeferred = 32

// PutDeferred adds a message that may wait for the next turn, whatever brings that on. It saves processor time:
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

// Ready returns a channel that delivers when there may be messages to take.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }
