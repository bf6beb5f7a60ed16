package httpserve

import (
	"container/list"
	"time"
)

// EvictIdle closes a connection that has no request in flight, before it returns, and says whether it did. One that was
// idle for EvictableAfter goes first; with force any idle one may go, and before those one that has not sent a complete
// request yet. Guards the limit on sockets: against clients that connect and send nothing, and against those that send one
// request and keep their connection. It is not called by a connection's own handler.
func (s *Server) EvictIdle(force bool) bool {
	s.mu.Lock()
	victim := s.evictionCandidate(force)
	if victim == nil {
		s.mu.Unlock()
		return false
	}
	victim.unlist()
	s.counters.Evicted++
	s.mu.Unlock()
	return victim.evict()
}

// evictionCandidate is called with the lock held.
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

// oldest returns the connection that was listed first; nil: the list is empty.
func oldest(conns *list.List) *serverConn {
	if conns.Len() == 0 {
		return nil
	}
	return conns.Front().Value.(*serverConn)
}

// overloaded says whether more connections are kept alive than may be. Connections that were never used do not count:
// nobody relies on them yet. It is called with the lock held.
func (s *Server) overloaded() bool {
	return s.MaxKeepAlive > 0 && len(s.conns)-s.unused.Len() > s.MaxKeepAlive
}

// listing is a connection's place on one of the server's lists, under the server's lock.
type listing struct {
	list     *list.List // nil: it is on none
	element  *list.Element
	listedAt time.Time
}

// enlist puts a connection at the end of a list, and on no other, unless it has ended. It is called with the server's lock
// held.
func (c *serverConn) enlist(conns *list.List) {
	c.unlist()
	if c.server.conns[c] {
		c.listedAt, c.list = c.server.now(), conns
		c.element = conns.PushBack(c)
	}
}

// unlist takes a connection off its list. It is called with the server's lock held.
func (c *serverConn) unlist() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list = nil
		c.element = nil
	}
}

// evict closes the connection, unless a request has come in just now, and says whether it did.
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
