package tcp

import (
	"container/list"
	"sync"
)

// maxEvictions is how many connections may be closed to admit a new one.
const maxEvictions = 4

// ConnLimiter caps the connections that servers hold together. Guards the limit on sockets. Set its fields before the
// first Listen.
type ConnLimiter struct {
	// Max is how many connections are admitted at the same time.
	Max int

	// Evict, if set, is called when no connection that lingers is left to close. It closes some connection before it
	// returns, or returns false: none may be closed. It may be called by several goroutines at once.
	Evict func() bool

	mu        sync.Mutex
	open      int
	lingering list.List // of *Conn that only wait for their peers to close, oldest first
}

// StopAdmitting rejects every new connection from now on.
func (l *ConnLimiter) StopAdmitting() {
	l.mu.Lock()
	l.Max, l.Evict = 0, nil
	l.mu.Unlock()
}

// admit counts a new connection, where need be after others were closed for it. It returns false where the new one is to
// be closed.
func (l *ConnLimiter) admit() bool {
	for evictions := 0; ; evictions++ {
		l.mu.Lock()
		if l.open < l.Max {
			l.open++
			l.mu.Unlock()
			return true
		}
		evict := l.Evict
		l.mu.Unlock()
		if evictions == maxEvictions {
			return false
		}
		if !l.closeOldestLingering() && (evict == nil || !evict()) {
			return false
		}
	}
}

// release uncounts a connection that has ended.
func (l *ConnLimiter) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if c.lingering != nil {
		l.lingering.Remove(c.lingering)
		c.lingering = nil
	}
}

// addLingering notes that a connection only waits for its peer to close: it is the first to be closed for others.
func (l *ConnLimiter) addLingering(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lingering = l.lingering.PushBack(c)
}

// closeOldestLingering closes the connection that has waited longest for its peer to close, and says whether there was one.
func (l *ConnLimiter) closeOldestLingering() bool {
	l.mu.Lock()
	oldest := l.lingering.Front()
	if oldest == nil {
		l.mu.Unlock()
		return false
	}
	c := l.lingering.Remove(oldest).(*Conn)
	c.lingering = nil
	l.mu.Unlock()
	c.CloseAndWait()
	return true
}
