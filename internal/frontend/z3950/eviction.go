package z3950

import "rooktrestle/internal/control/eviction"

// EvictIdle evicts an association to free its connection for a new one, and returns whether there was one to evict; its
// connection is closed before Room returns. It guards the limit on connections against origins that connect and stay
// silent, or open an association and do nothing. An association with an operation in flight, or with result sets in recent
// use, is never evicted.
func (s *Server) EvictIdle() bool {
	s.mu.Lock()
	a, ok := s.evictable.Evict(s.now())
	if ok {
		s.count.Spared++
	}
	s.mu.Unlock()
	if !ok {
		return false
	}
	a.mu.Lock()
	busy := a.inFlight != nil // an operation has begun since the choice
	a.closed = a.closed || !busy
	a.mu.Unlock()
	if busy {
		a.setEvictionClass(eviction.Busy)
		return false
	}
	a.conn.CloseAndWait()
	return true
}

// setEvictionClass sets the class that decides when an open association may be evicted.
func (a *association) setEvictionClass(class eviction.Class) {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if a.server.open[a] {
		a.server.evictable.Set(a, class, a.server.now())
	}
}

// updateEvictionClass sets the class from the association's state. It is called with the association's lock held.
func (a *association) updateEvictionClass() {
	switch {
	case a.closed:
	case a.inFlight != nil:
		a.setEvictionClass(eviction.Busy)
	case !a.initialized:
		// The class stays, and with it the time in it: units before Init don't count as use.
	case len(a.sets) > 0:
		a.setEvictionClass(eviction.Stateful)
	default:
		a.setEvictionClass(eviction.Idle)
	}
}
