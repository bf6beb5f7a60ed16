package httpserve

import (
	"container/list"
	"time"
)

// EvictIdle closes a connection without a request in flight, and reports whether it did; the connection is closed
// before it returns. It chooses the connection that has been idle longest if that is at least EvictableAfter.
// Otherwise, with force, it chooses one that has not sent a complete request yet, and then any idle one. It keeps the
// process within its limit on sockets if clients connect and send nothing, or keep their connections after one request.
// It must not be called by a connection's own handler.
func (s *Server) EvictIdle(force bool) bool {
	s.mu.Lock()
	victim := s.evictionCandidate(force)
	if victim == nil {
		s.mu.Unlock()
		return false
	}
	victim.removeFromList()
	s.counters.Evicted++
	s.mu.Unlock()
	return victim.evict()
}

// evictionCandidate returns the connection to evict next; nil: none. It is called with the lock held.
func (s *Server) evictionCandidate(force bool) *serverConn {
	longestIdle := oldest(&s.idle)
	if longestIdle != nil && s.now().Sub(longestIdle.listedAt) >= s.timeouts.EvictableAfter {
		return longestIdle
	}
	if !force {
		return nil
	}
	if unused := oldest(&s.unused); unused != nil {
		return unused
	}
	return longestIdle
}

// oldest returns the first connection of a list; nil: the list is empty.
func oldest(conns *list.List) *serverConn {
	if conns.Len() == 0 {
		return nil
	}
	return conns.Front().Value.(*serverConn)
}

// overloaded reports whether more than MaxKeepAlive connections are open. Connections without a complete request so far
// do not count: no client relies on them yet. It is called with the lock held.
func (s *Server) overloaded() bool {
	return s.MaxKeepAlive > 0 && len(s.conns)-s.unused.Len() > s.MaxKeepAlive
}

// listPosition is a connection's position in one of the server's lists, guarded by the server's lock.
type listPosition struct {
	list     *list.List // nil: in no list
	element  *list.Element
	listedAt time.Time
}

// moveToList removes a connection from its list, if any, and appends it to another unless it is closed. It is called
// with the server's lock held.
func (c *serverConn) moveToList(conns *list.List) {
	c.removeFromList()
	if c.server.conns[c] {
		c.listedAt, c.list = c.server.now(), conns
		c.element = conns.PushBack(c)
	}
}

// listAsIdle lists the connection as idle unless it is in a list already.
func (c *serverConn) listAsIdle() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.list == nil {
		c.moveToList(&c.server.idle)
	}
}

// removeFromList removes a connection from its list, if any. It is called with the server's lock held.
func (c *serverConn) removeFromList() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list = nil
		c.element = nil
	}
}

// evict closes the connection unless a request has just arrived, and reports whether it did.
func (c *serverConn) evict() bool {
	c.mu.Lock()
	busy := c.current != nil
	c.closed = c.closed || !busy
	c.mu.Unlock()
	if busy {
		return false
	}
	c.conn.CloseAndWait()
	return true
}
