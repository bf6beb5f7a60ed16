package httpserve

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rooktrestle/internal/net/tcp"
)

// Requests and closes in forced orders, on real connections (docs/crossings.md).

// A request that was read off an idle connection in the moment of the shutdown is not passed on; its client sees the end
// of its connection, without a response and without a reset, and sends it elsewhere.
func TestServer_Shutdown_RequestReadNotParsed(t *testing.T) {
	s := newTestServer(t)
	c, h := s.connectHeld(t)
	s.serveFirst(c, h)
	c.send(2)
	<-h.arrived // read off the socket, and not parsed
	s.Shutdown()
	h.release <- struct{}{}
	s.expectEnd(c, h)
}

// The last response is on its way when its connection ends over bytes that nobody has read: a close would be a reset, and
// discard the response. The poller is held meanwhile, so that the bytes stay in the socket.
func TestExchange_Respond_SurvivesCloseOverUnreadBytes(t *testing.T) {
	s := newTestServer(t)
	accepting, release := make(chan struct{}), make(chan struct{})
	first := true
	s.acceptWith(func(conn *tcp.Conn) tcp.Handler {
		if !first { // on the poller
			close(accepting)
			<-release
		}
		first = false
		return s.Accept(conn)
	})
	c := s.connect(t)
	c.send(1)
	x := <-s.requests
	s.connect(t)
	<-accepting
	c.send(2) // nobody reads it
	x.Close = true
	x.Respond(http.StatusOK, []byte(strings.Repeat("x", 1<<16)))
	firstByte := make([]byte, 1) // the response has begun to arrive, and so has the end that follows it
	if _, err := io.ReadFull(c, firstByte); err != nil || firstByte[0] != 'H' {
		t.Fatal(firstByte, err)
	}
	c.in.Reset(io.MultiReader(strings.NewReader("H"), c.TCPConn))
	c.expect(http.StatusOK, strings.Repeat("x", 1<<16))
	c.expectEOF()
	close(release)
}

// A request of which a part came before the shutdown, and one that comes on a connection accepted just then, is rejected
// at once, and never passed on.
func TestServer_Shutdown_HalfRequestAndNewConnection(t *testing.T) {
	s := newTestServer(t)
	c, h := s.connectHeld(t)
	c.sendText("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\na")
	h.passOne()
	accepting, release := make(chan struct{}), make(chan struct{})
	s.acceptWith(func(conn *tcp.Conn) tcp.Handler {
		close(accepting)
		<-release
		return s.Accept(conn)
	})
	late := s.connect(t)
	<-accepting
	late.send(2)
	s.Shutdown()
	c.expect(http.StatusServiceUnavailable, "")
	close(release)
	late.expectEOF() // or it would be idle for ever, and get requests
	if n := len(s.requests); n > 0 {
		t.Errorf("%d requests passed on after the shutdown", n)
	}
}

// A request in flight at the shutdown is responded to, and what was sent behind it is not passed on.
func TestServer_Shutdown_RequestInFlight(t *testing.T) {
	s := newTestServer(t)
	c, h := s.connectHeld(t)
	c.send(1)
	h.passOne()
	x := <-s.requests
	c.send(2)
	h.passOne()
	s.Shutdown()
	if s.OpenConns() != 1 {
		t.Fatal("the shutdown does not wait for it")
	}
	x.Respond(http.StatusOK, []byte("one"))
	c.expect(http.StatusOK, "one")
	s.expectEnd(c, h)
}

// An idle connection ends in the moment in which a request comes on it: it is not passed on, and its client sees an end.
func TestServer_IdleTimeout_RequestReadNotParsed(t *testing.T) {
	s := newTestServer(t)
	c, h := s.connectHeld(t)
	s.serveFirst(c, h)
	c.send(2)
	<-h.arrived
	h.Handler.(*serverConn).expire()
	h.release <- struct{}{}
	s.expectEnd(c, h)
}

// A shutdown has begun and has not reached a connection yet when a request comes in on it: it is rejected.
func TestServer_Shutdown_RequestBeforeItsConnectionIsReached(t *testing.T) {
	s := newTestServer(t)
	c := s.connect(t)
	c.send(1)
	(<-s.requests).Respond(http.StatusOK, []byte("one"))
	c.expect(http.StatusOK, "one")
	s.mu.Lock()
	s.closing = true // the first thing that Shutdown does
	s.mu.Unlock()
	c.send(2)
	c.expect(http.StatusServiceUnavailable, "")
	c.expectEOF()
	s.Shutdown()
	if n := len(s.requests); n > 0 || s.Counters().RejectedAtShutdown != 1 {
		t.Errorf("%d requests passed on after the shutdown, %+v", n, s.Counters())
	}
}
