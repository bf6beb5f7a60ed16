package tcp

import (
	"container/list"
	"sync"
	"time"
)

const (
	maxEvictions = 4 // connections that may be closed to admit one new connection
	maxWaiting   = 8 // connections beyond Max that may wait to be admitted
)

// ConnLimiter caps the total number of connections of the servers that share it, so that the process stays within its
// limit on sockets. Set its fields before the first Listen.
type ConnLimiter struct {
	// Max is the maximum number of open connections.
	Max int

	// Evict, if set, is called when the limit is reached and no lingering connection is left to close. It closes a
	// connection before it returns, or returns false if none may be closed. It may be called by several goroutines at
	// once.
	Evict func() bool

	// AdmitTimeout is how long a new connection waits, when the limit is reached, for another one to be closed or to
	// linger; 0: it is closed immediately. It is for listeners with short-lived connections. At most maxWaiting
	// connections wait, in addition to Max.
	AdmitTimeout time.Duration

	mu        sync.Mutex
	waiting   int
	changed   chan struct{} // closed when a connection is closed or begins to linger; nil: no goroutine waits for it
	open      int
	lingering list.List // of half-closed *Conn that wait for their peers to close, oldest first
}

// StopAdmitting makes the limiter reject every new connection from now on.
func (l *ConnLimiter) StopAdmitting() {
	l.mu.Lock()
	l.Max = 0
	l.Evict = nil
	l.mu.Unlock()
}

// admit counts a new connection, after closing others if the limit is reached. It returns false if the new connection
// is rejected.
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

// admitLater waits up to AdmitTimeout, or until closed is closed, until a connection that admit has rejected can be
// admitted. It is called between beginWaiting and endWaiting.
func (l *ConnLimiter) admitLater(closed <-chan struct{}) bool {
	timeout := time.NewTimer(l.AdmitTimeout)
	defer timeout.Stop()
	for {
		changed := l.nextChange() // before admit, or a change right after it would be missed
		if l.admit() {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-closed:
			return false
		}
	}
}

// beginWaiting returns false if a connection that admit has rejected may not wait.
func (l *ConnLimiter) beginWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.AdmitTimeout <= 0 || l.waiting == maxWaiting {
		return false
	}
	l.waiting++
	return true
}

func (l *ConnLimiter) endWaiting() {
	l.mu.Lock()
	l.waiting--
	l.mu.Unlock()
}

// nextChange returns a channel that is closed when a connection is closed or begins to linger.
func (l *ConnLimiter) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// notifyChange wakes the connections that wait to be admitted. It is called with the lock held.
func (l *ConnLimiter) notifyChange() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// release removes a closed connection from the count and from the lingering list.
func (l *ConnLimiter) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeOne()
	if c.lingering != nil {
		l.lingering.Remove(c.lingering)
		c.lingering = nil
	}
}

// releasePlace removes an admitted connection that was not opened from the count.
func (l *ConnLimiter) releasePlace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeOne()
}

// removeOne removes one connection from the count. It is called with the lock held.
func (l *ConnLimiter) removeOne() {
	l.open--
	l.notifyChange()
}

// addLingering records that a connection only waits for its peer to close. Lingering connections are the first to be
// closed in favor of new ones.
func (l *ConnLimiter) addLingering(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lingering = l.lingering.PushBack(c)
	l.notifyChange()
}

// closeOldestLingering closes the connection that has lingered longest, and reports whether there was one.
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
