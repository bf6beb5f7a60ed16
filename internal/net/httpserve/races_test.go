package httpserve

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rooktrestle/internal/net/tcp"
)

// Requests and closes in forced orders, on real connections (docs/crossings.md).

// A request that was read from an idle connection, but not parsed, when the shutdown begins is not passed on. Its
// client sees the close of the connection, without a response and without a reset, and can send the request to another
// server.
func TestServer_Shutdown_RequestReadNotParsed(t *testing.T) {
	s := newTestServer(t)
	c, h := s.connectHeld(t)
	s.serveFirst(c, h)
	c.send(2)
	<-h.arrived // read from the socket, and not parsed
	s.Shutdown()
	h.release <- struct{}{}
	s.expectEnd(c, h)
}

// The client receives the last response even if its connection is closed with unread bytes in the socket: a plain close
// would send a reset, which discards the response. The test holds the connection's turn, so that the bytes stay in the
// socket.
func TestExchange_Respond_SurvivesCloseOverUnreadBytes(t *testing.T) {
	s := newTestServer(t)
	c, h := s.connectHeld(t)
	c.send(1)
	h.passOne()
	x := <-s.requests
	c.sendText("P")
	<-h.arrived
	c.sendText(strings.Repeat("x", 10000)) // stays unread
	x.Close = true
	x.Respond(http.StatusOK, []byte(strings.Repeat("x", 1<<16)))
	firstByte := make([]byte, 1) // read once the response has begun to arrive, and the close behind it was sent
	if _, err := io.ReadFull(c, firstByte); err != nil || firstByte[0] != 'H' {
		t.Fatal(firstByte, err)
	}
	c.in.Reset(io.MultiReader(strings.NewReader("H"), c.TCPConn))
	c.expect(http.StatusOK, strings.Repeat("x", 1<<16))
	c.expectEOF()
	h.release <- struct{}{}
	_ = c.Close() // everything was read
	<-h.closed
}

// A request that has partly arrived before the shutdown is rejected with 503, a connection that is accepted during the
// shutdown is closed, and neither request is passed on.
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
	newClient := s.connect(t)
	<-accepting
	newClient.send(2)
	s.Shutdown()
	c.expect(http.StatusServiceUnavailable, "")
	close(release)
	newClient.expectEOF() // otherwise it would stay open, and its client would send further requests
	if n := len(s.requests); n > 0 {
		t.Errorf("%d requests passed on after the shutdown", n)
	}
}

// A request in flight at the shutdown is responded to, and the request that was sent behind it is not passed on.
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

// The idle timeout elapses when a request was read but not parsed: the request is not passed on, and its client sees
// the close of the connection.
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

// A request is rejected if the shutdown has begun, but has not closed its connection yet.
func TestServer_Shutdown_RequestBeforeItsConnectionIsReached(t *testing.T) {
	s := newTestServer(t)
	c := s.connect(t)
	c.send(1)
	(<-s.requests).Respond(http.StatusOK, []byte("one"))
	c.expect(http.StatusOK, "one")
	s.mu.Lock()
	s.shuttingDown = true // the first thing that Shutdown does
	s.mu.Unlock()
	c.send(2)
	c.expect(http.StatusServiceUnavailable, "")
	c.expectEOF()
	s.Shutdown()
	if n := len(s.requests); n > 0 || s.Counters().RejectedAtShutdown != 1 {
		t.Errorf("%d requests passed on after the shutdown, %+v", n, s.Counters())
	}
}
