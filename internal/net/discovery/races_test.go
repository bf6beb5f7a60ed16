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

// An indented list is one list, complete and streamed alike, cut up anywhere. Guards against a reader of lines: to it the
// first line is a broken list, and a watch of an agent that indents never delivers anything.
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

// A watch that is reset resumes from the last complete list: the half of the next one counts for nothing, and what changed
// meanwhile comes with the next watch. An agent's watch that had lasted is reopened with no wait at all.
func TestWatcher_ResetWithinList_Resumes(t *testing.T) {
	agent := newFakeAgent(t)
	did := make(actions, 100)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7, Log: did.log, After: did.after, Dial: dialPatiently})
	request := agent.next(t, "?stream=1&index=7")
	request.respond(t, chunkedHead+chunk(indentedList(8, false, "a")))
	expectServer(t, delivered, balance.ListDelta, "a")
	next := indentedList(9, false, "b")
	request.respond(t, chunk(next[:len(next)/2]))
	reset(t, request.Conn)
	reconnect := did.nextReconnect()
	if reconnect.duration > 200*time.Millisecond {
		t.Errorf("a wait of %v before the reconnect", reconnect.duration)
	}
	reconnect.end()
	agent.next(t, "?stream=1&index=8").respond(t, chunkedHead+chunk(indentedList(9, false, "b")))
	expectServer(t, delivered, balance.ListDelta, "b")
}

// reset closes a connection with a reset instead of an orderly end.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := errors.Join(conn.(*net.TCPConn).SetLinger(0), conn.Close()); err != nil {
		t.Error(err)
	}
}

// A watch that is silent in the middle of a list is unresponsive: it is reopened from the last complete list.
func TestWatcher_UnresponsiveWithinList_Reconnects(t *testing.T) {
	agent := newFakeAgent(t)
	did := make(actions, 100)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7, Log: did.log, After: did.after, Dial: dialPatiently})
	request := agent.next(t, "?stream=1&index=7")
	next := indentedList(9, false, "b")
	request.respond(t, chunkedHead+chunk(indentedList(8, false, "a")+next[:len(next)/2]))
	expectServer(t, delivered, balance.ListDelta, "a")
	if _, logged := did.endWaits(); !strings.Contains(logged, "unresponsive") {
		t.Errorf("the watcher logs: %s", logged)
	}
	agent.next(t, "?stream=1&index=8")
}

// Bytes of a list that does not end are no progress: the timer for an unresponsive watch runs on under them.
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
			t.Fatal("progress by a list that does not end")
		}
		select {
		case err := <-s.ended:
			if !strings.Contains(err.Error(), "over 1024 bytes") {
				t.Error(err)
			}
			return
		default:
		}
		if i > 1000 {
			t.Fatal("a list that does not end is held for ever")
		}
	}
}

// A switch reaches a watcher that is still connecting, and a connection that comes up for nobody is closed.
// Nor does stopping wait for a connection.
func TestWatcher_SwitchAndStopWhileConnecting(t *testing.T) {
	old, current := newFakeAgent(t), newFakeAgent(t)
	dialing, comesUp, closed := make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	notifying := dialHandler(func(_ string, handler tcp.Handler) tcp.Handler { return closeNotifier{handler, closed} })
	dial := func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		if addr == old.addr {
			close(dialing)
			<-comesUp
			return notifying(addr, timeout, handler)
		}
		return dialPatiently(addr, timeout, handler)
	}
	w := &Watcher{Addr: old.addr, Dial: dial}
	start(t, w)
	<-dialing
	w.SwitchTo(current.addr)
	current.next(t, "") // while the old one still connects
	close(comesUp)
	<-closed
	select {
	case request := <-old.requests:
		t.Errorf("the old address was requested: %q", request.query)
	default:
	}

	giveUp, done := make(chan struct{}), make(chan struct{})
	stop, reached := make(chan struct{}), make(chan struct{})
	neverUp := func(string, time.Duration, func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		close(reached)
		<-giveUp
		return nil, errors.New("never")
	}
	stopped := &Watcher{Addr: "127.0.0.1:1", Put: func(aggregator.Message) {}, Log: t.Logf, Dial: neverUp}
	go func() {
		stopped.Run(stop, func() {})
		close(done)
	}()
	<-reached
	close(stop)
	<-done // before the connection gives up
	close(giveUp)
}

// The last event of the old address arrives after the list of the new one: it is dropped.
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
	<-arrived // read off the socket, not yet taken
	w.SwitchTo(current.addr)
	current.next(t, "").respondWithLength(t, "200 OK", indentedList(3, true, "new"))
	expectServer(t, delivered, balance.ListFull, "new")
	close(release)
	<-closed
	current.next(t, "?stream=1&index=3").respond(t, chunkedHead+chunk(indentedList(4, false, "newer")))
	expectServer(t, delivered, balance.ListDelta, "newer")
}

// Changes of an older version than the list that is held are not applied: the complete list is fetched, and counts as it
// is.
func TestWatcher_StaleChange_FetchesFullList(t *testing.T) {
	agent := newFakeAgent(t)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7})
	agent.next(t, "?stream=1&index=7").respond(t, chunkedHead+chunk(indentedList(6, false, "drained long ago")))
	agent.next(t, "").respondWithLength(t, "200 OK", indentedList(5, true, "a"))
	expectServer(t, delivered, balance.ListFull, "a")
	agent.next(t, "?stream=1&index=5")
}

// A response without a Content-Length may end in any manner once its list is complete. One that ends within its list
// brought none, and is requested again.
func TestWatcher_FullListWithoutContentLength(t *testing.T) {
	old, current := newFakeAgent(t), newFakeAgent(t)
	w := &Watcher{Addr: old.addr, Version: 7}
	delivered := start(t, w)
	old.next(t, "?stream=1&index=7")
	w.SwitchTo(current.addr)
	respondAndEnd := func(request agentRequest, text string) {
		request.respond(t, "HTTP/1.1 200 OK\r\n\r\n"+text)
		// All of it arrives, and then the end: a reset might overtake it.
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

// A response that is not 200 is rejected by its status, whatever its body looks like.
func TestWatcher_BodyOfErrorStatus_IsNoList(t *testing.T) {
	agent := newFakeAgent(t)
	delivered := start(t, &Watcher{Addr: agent.addr, Version: 7})
	agent.next(t, "?stream=1&index=7").respondWithLength(t, "503 Service Unavailable", indentedList(8, true, "nobody"))
	agent.next(t, "?stream=1&index=7").respond(t, chunkedHead+chunk(indentedList(8, false, "a")))
	expectServer(t, delivered, balance.ListDelta, "a")
}
