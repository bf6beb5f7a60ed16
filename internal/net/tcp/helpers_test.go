package tcp

import (
	"net"
	"testing"
	"time"

	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }

// recordingHandler records the data that was read, and closes the channel closed when the connection is closed.
type recordingHandler struct {
	text   []byte
	closed chan struct{}
}

func newRecordingHandler() *recordingHandler { return &recordingHandler{closed: make(chan struct{})} }

func (h *recordingHandler) Data(b []byte) { h.text = append(h.text, b...) }
func (h *recordingHandler) Closed(error)  { close(h.closed) }

// listen opens a listener of the standard library, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // no connection is accepted after the test
	return listener
}

// listenAndServe passes the connections of a new listener to serve, one at a time, until the test ends. It returns the
// listener's address.
func listenAndServe(t *testing.T, serve func(*net.TCPConn)) (addr string) {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// connect returns a connection and its peer. before, if set, is called before the handler's Data.
func connect(t *testing.T, before func()) (*Conn, *net.TCPConn, *recordingHandler) {
	t.Helper()
	listener := listen(t)
	h := newRecordingHandler()
	newHandler := func(*Conn) Handler { return hookedHandler{h, before} }
	c, err := Dial(listener.Addr().String(), time.Minute, newHandler)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = peer.Close() // the test may have closed it
		c.Close(nil)
		<-h.closed
	})
	return c, peer.(*net.TCPConn), h
}

// hookedHandler calls before, if set, ahead of the handler's Data.
type hookedHandler struct {
	Handler
	before func()
}

func (h hookedHandler) Data(b []byte) {
	if h.before != nil {
		h.before()
	}
	h.Handler.Data(b)
}
