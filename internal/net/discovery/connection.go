package discovery

import (
	"errors"
	"fmt"
	"time"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

const (
	connectTimeout = time.Second

	fullListPath    = "/v1/servers"
	watchPathFormat = "/v1/servers?stream=1&index=%d"
)

// watch opens one connection, handles its responses until the watch ends, and returns the reason; nil: stop was closed.
func (w *Watcher) watch(stop <-chan struct{}) error {
	stream := newEventStream(w)
	nextAddr, err := w.follow(stream, stop)
	// From here on, data that still arrives on the connection is dropped, so that the next connection can be opened.
	received := stream.abandon()
	if received {
		w.reconnector.Succeeded()
	}
	switch {
	case errors.Is(err, errSwitched):
		w.switchTo(nextAddr)
	case errors.Is(err, errStaleChange):
		w.needsFullList = true
	case received:
		w.needsFullList = false
	}
	return err
}

// follow connects, sends the requests and waits until the watch ends. If err is errSwitched, nextAddr is the address to
// switch to.
func (w *Watcher) follow(stream *eventStream, stop <-chan struct{}) (nextAddr string, err error) {
	dialed := w.dial(stream)
	var conn *tcp.Conn
	select {
	case result := <-dialed:
		if result.err != nil {
			return "", fmt.Errorf("connect: %w", result.err)
		}
		conn = result.conn
	case addr := <-w.pendingSwitch():
		go closeWhenDialed(dialed)
		return addr, errSwitched
	case <-stop:
		go closeWhenDialed(dialed)
		return "", nil
	}
	defer conn.Close(nil)
	if w.needsFullList {
		w.send(conn, fullListPath)
	} else {
		w.requestChanges(conn, stream)
	}
	for {
		select {
		case <-stream.progress:
			w.reconnector.Received(time.Now())
		case <-stream.fullListDone:
			w.requestChanges(conn, stream)
		case err := <-stream.ended:
			return "", err
		case addr := <-w.pendingSwitch():
			return addr, errSwitched
		case <-w.After(time.Until(w.reconnector.IdleDeadline())):
			return "", errUnresponsive
		case <-stop:
			return "", nil
		}
	}
}

// requestChanges opens the watch, from the current version.
func (w *Watcher) requestChanges(conn *tcp.Conn, stream *eventStream) {
	w.send(conn, fmt.Sprintf(watchPathFormat, stream.currentVersion()))
}

// send requests a path. A failed write closes the connection, which the stream reports.
func (w *Watcher) send(conn *tcp.Conn, path string) {
	conn.Write(http1.Request("GET", path, w.Addr, nil), nil)
}

// dialResult is the outcome of dialing: a connection or an error.
type dialResult struct {
	conn *tcp.Conn
	err  error
}

// dial connects on its own goroutine, so that a switch of the address or a stop does not wait for a connection that is
// never established. The receiver of the result owns the connection. The goroutine ends after connectTimeout at the
// latest.
func (w *Watcher) dial(handler tcp.Handler) <-chan dialResult {
	dialed := make(chan dialResult, 1)
	go func(addr string) {
		conn, err := w.Dial(addr, connectTimeout, func(*tcp.Conn) tcp.Handler { return handler })
		dialed <- dialResult{conn, err}
	}(w.Addr)
	return dialed
}

// closeWhenDialed closes a connection that is no longer needed once it is established. It runs on its own goroutine,
// which ends with the dialing, after connectTimeout at the latest.
func closeWhenDialed(dialed <-chan dialResult) {
	if result := <-dialed; result.conn != nil {
		result.conn.Close(nil)
	}
}
