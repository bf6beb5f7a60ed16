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

// watch opens one connection and takes what comes on it until it ends, and returns why it ended; nil: stop was closed.
func (w *Watcher) watch(stop <-chan struct{}) error {
	stream := newEventStream(w)
	nextAddr, err := w.follow(stream, stop)
	// From here on what still comes on the connection is dropped, so that the next one may begin.
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

// follow connects, sends the requests and waits until the watch ends. Where it ends with errSwitched, nextAddr is the
// address to switch to.
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

// requestChanges opens the watch, from the version that is held.
func (w *Watcher) requestChanges(conn *tcp.Conn, stream *eventStream) {
	w.send(conn, fmt.Sprintf(watchPathFormat, stream.currentVersion()))
}

// send requests a path. That it cannot be written shows as the end of the connection.
func (w *Watcher) send(conn *tcp.Conn, path string) {
	conn.Write(http1.Request("GET", path, w.Addr, nil), nil)
}

// dialResult is the outcome of dialing: one of the two.
type dialResult struct {
	conn *tcp.Conn
	err  error
}

// dial connects on a goroutine of its own. Guards a switch and the end of the program against waiting for a connection
// that never comes up. Whoever receives the result owns the connection; nobody waits for the goroutine, which the time-out
// ends.
func (w *Watcher) dial(handler tcp.Handler) <-chan dialResult {
	dialed := make(chan dialResult, 1)
	go func(addr string) {
		conn, err := w.Dial(addr, connectTimeout, func(*tcp.Conn) tcp.Handler { return handler })
		dialed <- dialResult{conn, err}
	}(w.Addr)
	return dialed
}

// closeWhenDialed closes a connection that nobody waits for any more. It runs on a goroutine of its own, which ends with
// the dialing, after connectTimeout at the latest.
func closeWhenDialed(dialed <-chan dialResult) {
	if result := <-dialed; result.conn != nil {
		result.conn.Close(nil)
	}
}
