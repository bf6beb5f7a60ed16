package discovery

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Events of discovery in forced orders, on real connections (docs/crossings.md).

// An indented list is read as one list, in a response of its own and in a watch, however it is split into chunks.
// Guards against reading line by line: the first line alone is invalid JSON, and the watch of an agent that indents its
// lists would never deliver a change.
func TestWatcher_IndentedLists(t *testing.T) {
	agent, other := newFakeAgent(t), newFakeAgent(t)
	w := &Watcher{Addr: agent.addr, Version: 7}
	delivered := start(t, w)
	request := agent.next(t, "?stream=1&index=7")
	request.respond(t, chunkedHead+chunk("\n"))
	for text := indentedList(8, false, "a"); text != ""; text = text[min(9, len(text)):] {
		request.respond(t, chunk(text[:min(9, len(text))]))
	}
	expectServer(t, delivered, balance.ListDelta, "a")
	request.respond(t, chunk(indentedList(9, false, "b")+"\n"+indentedList(10, false, "c")))
	expectServer(t, delivered, balance.ListDelta, "b")
	expectServer(t, delivered, balance.ListDelta, "c")
	w.SwitchTo(other.addr)
	other.next(t, "").respondWithLength(t, "200 OK", indentedList(3, true, "d"))
	expectServer(t, delivered, balance.ListFull, "d")
	other.next(t, "?stream=1&index=3")
}

// A watch that is reset in the middle of a change resumes from the last complete one: the partial change is ignored,
// and the next watch delivers it. A watch of an agent that had delivered a change is reopened without a long wait.
func TestWatcher_ResetWithinList_Resumes(t *testing.T) {
	agent := newFakeAgent(t)
	events := make(actions, 100)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7, Log: events.log, After: events.after, Dial: testDial})
	request := agent.next(t, "?stream=1&index=7")
	request.respond(t, chunkedHead+chunk(indentedList(8, false, "a")))
	expectServer(t, delivered, balance.ListDelta, "a")
	next := indentedList(9, false, "b")
	request.respond(t, chunk(next[:len(next)/2]))
	reset(t, request.Conn)
	reconnect := events.nextReconnect()
	if reconnect.duration > 200*time.Millisecond {
		t.Errorf("a wait of %v before the reconnect", reconnect.duration)
	}
	reconnect.fire()
	agent.next(t, "?stream=1&index=8").respond(t, chunkedHead+chunk(indentedList(9, false, "b")))
	expectServer(t, delivered, balance.ListDelta, "b")
}

// reset closes a connection with a TCP reset.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := errors.Join(conn.(*net.TCPConn).SetLinger(0), conn.Close()); err != nil {
		t.Error(err)
	}
}

// A watch that sends nothing more in the middle of a list is unresponsive: it is reopened from the last complete list.
func TestWatcher_UnresponsiveWithinList_Reconnects(t *testing.T) {
	agent := newFakeAgent(t)
	events := make(actions, 100)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7, Log: events.log, After: events.after, Dial: testDial})
	request := agent.next(t, "?stream=1&index=7")
	next := indentedList(9, false, "b")
	request.respond(t, chunkedHead+chunk(indentedList(8, false, "a")+next[:len(next)/2]))
	expectServer(t, delivered, balance.ListDelta, "a")
	if _, logged := events.fireWaits(); !strings.Contains(logged, "unresponsive") {
		t.Errorf("the watcher logs: %s", logged)
	}
	agent.next(t, "?stream=1&index=8")
}

// Bytes of an incomplete list do not count as progress: they do not restart the timer for an unresponsive watch.
func TestEventStream_EndlessList_IsNoProgress(t *testing.T) {
	s := newEventStream(&Watcher{Put: func(aggregator.Message) {}, received: func() {}, Version: 7})
	s.framer.MaxBytes = 1 << 10
	progressed := func(text string) bool {
		s.Data([]byte(text))
		select {
		case <-s.progress:
			return true
		default:
			return false
		}
	}
	for _, step := range []struct {
		text     string
		progress bool
	}{
		{"HTTP/1.1 200", false},
		{" OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{chunk("\n"), true},
		{chunk(`{"version":8,`), false},
		{chunk("\n"), false},
		{chunk(" "), false},
		{chunk(`"servers":[]}`), true},
		{chunk("\n"), true},
	} {
		if got := progressed(step.text); got != step.progress {
			t.Errorf("%q: progress %v, want %v", step.text, got, step.progress)
		}
	}
	for i := 0; ; i++ {
		if progressed(chunk(`{"version":`)) {
			t.Fatal("an incomplete list counts as progress")
		}
		select {
		case err := <-s.ended:
			if !strings.Contains(err.Error(), "object over the limit of 1024 bytes") {
				t.Error(err)
			}
			return
		default:
		}
		if i > 1000 {
			t.Fatal("an endless list is buffered without a limit")
		}
	}
}

// A watcher that is still connecting switches its address immediately, and the connection that is established later is
// closed. A stop does not wait for a connection either.
func TestWatcher_SwitchAndStopWhileConnecting(t *testing.T) {
	old, current := newFakeAgent(t), newFakeAgent(t)
	dialing, allowConnect, closed := make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	notifying := dialHandler(func(_ string, handler tcp.Handler) tcp.Handler { return closeNotifier{handler, closed} })
	dial := func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		if addr == old.addr {
			close(dialing)
			<-allowConnect
			return notifying(addr, timeout, handler)
		}
		return testDial(addr, timeout, handler)
	}
	w := &Watcher{Addr: old.addr, Dial: dial}
	start(t, w)
	<-dialing
	w.SwitchTo(current.addr)
	current.next(t, "") // while the old connection is still being established
	close(allowConnect)
	<-closed
	select {
	case request := <-old.requests:
		t.Errorf("the old address was requested: %q", request.query)
	default:
	}

	failDial, done := make(chan struct{}), make(chan struct{})
	stop, dialCalled := make(chan struct{}), make(chan struct{})
	neverConnects := func(string, time.Duration, func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		close(dialCalled)
		<-failDial
		return nil, errors.New("never")
	}
	stopped := &Watcher{Addr: "127.0.0.1:1", Put: func(aggregator.Message) {}, Log: t.Logf, Dial: neverConnects}
	go func() {
		stopped.Run(stop, func() {})
		close(done)
	}()
	<-dialCalled
	close(stop)
	<-done // before the dialing fails
	close(failDial)
}

// An event of the old address that is handled after the list of the new one is dropped.
func TestWatcher_EventOfOldAddressAfterSwitch_IsDropped(t *testing.T) {
	old, current := newFakeAgent(t), newFakeAgent(t)
	arrived, release, closed := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
	w := &Watcher{Addr: old.addr, Version: 7, Dial: dialHandler(func(addr string, handler tcp.Handler) tcp.Handler {
		if addr == old.addr {
			return closeNotifier{heldHandler{handler, arrived, release}, closed}
		}
		return handler
	})}
	delivered := start(t, w)
	old.next(t, "?stream=1&index=7").respond(t, chunkedHead+chunk(indentedList(8, false, "old")))
	<-arrived // read from the socket, not yet handled
	w.SwitchTo(current.addr)
	current.next(t, "").respondWithLength(t, "200 OK", indentedList(3, true, "new"))
	expectServer(t, delivered, balance.ListFull, "new")
	close(release)
	<-closed
	current.next(t, "?stream=1&index=3").respond(t, chunkedHead+chunk(indentedList(4, false, "newer")))
	expectServer(t, delivered, balance.ListDelta, "newer")
}

// A change with an older version than the current list is not applied: the complete list is fetched, and accepted
// whatever its version.
func TestWatcher_StaleChange_FetchesFullList(t *testing.T) {
	agent := newFakeAgent(t)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7})
	agent.next(t, "?stream=1&index=7").respond(t, chunkedHead+chunk(indentedList(6, false, "drained long ago")))
	agent.next(t, "").respondWithLength(t, "200 OK", indentedList(5, true, "a"))
	expectServer(t, delivered, balance.ListFull, "a")
	agent.next(t, "?stream=1&index=5")
}

// A response without a Content-Length may end in any way once its list is complete. If it ends within the list, the
// list is requested again.
func TestWatcher_FullListWithoutContentLength(t *testing.T) {
	old, current := newFakeAgent(t), newFakeAgent(t)
	w := &Watcher{Addr: old.addr, Version: 7}
	delivered := start(t, w)
	old.next(t, "?stream=1&index=7")
	w.SwitchTo(current.addr)
	respondAndEnd := func(request agentRequest, text string) {
		request.respond(t, "HTTP/1.1 200 OK\r\n\r\n"+text)
		// A half-close, so that all of the text arrives: a reset might discard it.
		if err := request.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Error(err)
		}
	}
	list := indentedList(3, true, "new")
	respondAndEnd(current.next(t, ""), list[:len(list)-3])
	respondAndEnd(current.next(t, ""), list)
	expectServer(t, delivered, balance.ListFull, "new")
	current.next(t, "?stream=1&index=3")
}

// A response with a status other than 200 is rejected, even if its body is a valid list.
func TestWatcher_BodyOfErrorStatus_IsNoList(t *testing.T) {
	agent := newFakeAgent(t)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7})
	agent.next(t, "?stream=1&index=7").respondWithLength(t, "503 Service Unavailable", indentedList(8, true, "nobody"))
	agent.next(t, "?stream=1&index=7").respond(t, chunkedHead+chunk(indentedList(8, false, "a")))
	expectServer(t, delivered, balance.ListDelta, "a")
}
