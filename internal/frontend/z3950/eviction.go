package z3950

import "rooktrestle/internal/control/eviction"

// EvictIdle evicts one association to make room for a new connection, and returns whether one could be evicted; its
// connection is closed before EvictIdle returns. Without eviction, origins that connect and send nothing, or open an
// association and stay idle, could exhaust the connection limit. An association with an operation in flight, or with
// result sets that were used recently, is never evicted.
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
	busy := a.inFlight != nil // an operation started after the association was chosen
	a.closed = a.closed || !busy
	a.mu.Unlock()
	if busy {
		a.setEvictionClass(eviction.Busy)
		return false
	}
	a.conn.CloseAndWait()
	return true
}

// setEvictionClass sets the association's eviction class, if it is still open. It is called with or without the lock
// held.
func (a *association) setEvictionClass(class eviction.Class) {
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	if a.server.open[a] {
		a.server.evictable.Set(a, class, a.server.now())
	}
}

// updateEvictionClass derives the eviction class from the association's state. It is called with the lock held.
func (a *association) updateEvictionClass() {
	switch {
	case a.closed:
	case a.inFlight != nil:
		a.setEvictionClass(eviction.Busy)
	case !a.initialized:
		// Keeps the class Unused and the time since it was set: PDUs before Init don't count as use.
	case len(a.resultSets) > 0:
		a.setEvictionClass(eviction.Stateful)
	default:
		a.setEvictionClass(eviction.Idle)
	}
}
