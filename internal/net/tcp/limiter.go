package tcp

import (
	"container/list"
	"sync"
	"time"
)

const (
	maxEvictions = 4 // connections that may be closed to admit a new one
	maxWaiting   = 8 // connections beyond Max that may wait to be admitted
)

// ConnLimiter caps the connections that servers hold together. Guards the limit on sockets. Set its fields before the
// first Listen.
type ConnLimiter struct {
	// Max is how many connections are admitted at the same time.
	Max int

	// Evict, if set, is called when no connection that lingers is left to close. It closes some connection before it
	// returns, or returns false: none may be closed. It may be called by several goroutines at once.
	Evict func() bool

	// AdmitTimeout is how long a connection that finds no place waits for another one to end or to linger; 0: it is closed
	// at once. It is for listeners whose connections end soon by themselves. At most maxWaiting wait, beyond Max.
	AdmitTimeout time.Duration

	mu        sync.Mutex
	waiting   int
	changed   chan struct{} // closed when a connection ends or begins to linger; nil: nobody waits for that
	open      int
	lingering list.List // of *Conn that only wait for their peers to close, oldest first
}

// StopAdmitting rejects every new connection from now on.
func (l *ConnLimiter) StopAdmitting() {
	l.mu.Lock()
	l.Max = 0
	l.Evict = nil
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

// admitLater waits until a connection that admit has rejected can be admitted, for AdmitTimeout at most. It blocks: the
// caller is not on the poller.
func (l *ConnLimiter) admitLater() bool {
	if !l.beginWaiting() {
		return false
	}
	defer l.endWaiting()
	timeout := time.NewTimer(l.AdmitTimeout)
	defer timeout.Stop()
	for {
		changed := l.nextChange() // before the attempt, or a change right after it would be missed
		if l.admit() {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		}
	}
}

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

// nextChange returns a channel that is closed when a connection ends or begins to linger.
func (l *ConnLimiter) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// notifyChange wakes those that wait. It is called with the lock held.
func (l *ConnLimiter) notifyChange() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// release uncounts a connection that has ended.
func (l *ConnLimiter) release(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.notifyChange()
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
	l.notifyChange()
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
