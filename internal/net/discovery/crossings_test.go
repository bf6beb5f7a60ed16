package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// agent is a stand-in for discovery on real connections: each call goes to the test with its connection.
type agent struct {
	addr  string
	calls chan call
}

type call struct {
	query string
	net.Conn
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// say writes, in one segment or several as the network likes.
func (c call) say(text string) { fmt.Fprint(c.Conn, text) }

func newAgent(t *testing.T) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	a := &agent{ln.Addr().String(), make(chan call, 10)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				for in := bufio.NewReader(c); ; {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if f := strings.Fields(line); len(f) == 3 && f[0] == "GET" {
						a.calls <- call{strings.TrimPrefix(f[1], "/v1/servers"), c}
					}
				}
			}()
		}
	}()
	return a
}

// next is the next call, which must be this one.
func (a *agent) next(t *testing.T, query string) call {
	t.Helper()
	c := <-a.calls
	if c.query != query {
		t.Errorf("called with %q, want %q", c.query, query)
	}
	return c
}

// follow runs a watch until the test ends and returns what it lists.
func follow(t *testing.T, w *Watcher) chan aggregator.EndpointsChanged {
	listed := make(chan aggregator.EndpointsChanged, 20)
	w.Put = func(e aggregator.Message) { listed <- e.(aggregator.EndpointsChanged) }
	if w.Log == nil {
		w.Log = t.Logf
	}
	stop, over := make(chan struct{}), make(chan struct{})
	go func() { w.Run(stop, func() {}); close(over) }()
	t.Cleanup(func() { close(stop); <-over })
	return listed
}

func one(t *testing.T, listed chan aggregator.EndpointsChanged, kind balance.ListKind, id balance.Replica) {
	t.Helper()
	if m := <-listed; m.Kind != kind || len(m.Servers) != 1 || m.Servers[0].ID != id {
		t.Errorf("%+v, want %s", m, id)
	}
}

func listing(version int, full bool, id string) string {
	return fmt.Sprintf("{\n  \"version\": %d,\n  \"full\": %v,\n  \"servers\": [\n    {\n      \"id\": %q,\n\n      \"state\": \"SERVING\"\n    }\n  ]\n}\n", version, full, id)
}

// An indented list is one list, whole and pushed alike, cut up anywhere. Guards against a reader of lines: to it the first
// line is a broken list, and a watch of an agent that indents never brings anything.
func TestListsMayComeIndented(t *testing.T) {
	a, moved := newAgent(t), newAgent(t)
	w := &Watcher{Addr: a.addr, Version: 7}
	listed := follow(t, w)
	c := a.next(t, "?stream=1&index=7")
	c.say(chunkedHead + chunk("\n"))
	for text := listing(8, false, "a"); text != ""; text = text[min(9, len(text)):] {
		c.say(chunk(text[:min(9, len(text))]))
	}
	one(t, listed, balance.ListDelta, "a")
	c.say(chunk(listing(9, false, "b") + "\n" + listing(10, false, "c")))
	one(t, listed, balance.ListDelta, "b")
	one(t, listed, balance.ListDelta, "c")
	w.SwitchTo(moved.addr)
	whole := listing(3, true, "d")
	moved.next(t, "").say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole))
	one(t, listed, balance.ListFull, "d")
	moved.next(t, "?stream=1&index=3")
}

// A watch that is reset is called again from the last list that was whole: the half of the next one counts for nothing, and
// what was told meanwhile comes with the next call. An agent's watch that had lasted is called again with no wait at all.
func TestAWatchResetWithinAListResumes(t *testing.T) {
	a := newAgent(t)
	does := make(events, 100)
	listed := follow(t, &Watcher{Addr: a.addr, Version: 7, Log: does.log, After: does.after})
	c := a.next(t, "?stream=1&index=7")
	c.say(chunkedHead + chunk(listing(8, false, "a")))
	one(t, listed, balance.ListDelta, "a")
	half := listing(9, false, "b")
	c.say(chunk(half[:len(half)/2]))
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
	for {
		e := <-does
		if d, ok := e.(wait); ok && d.d <= 200*time.Millisecond { // the back-off; the clock for silence is seconds
			d.over <- time.Time{}
			break
		}
	}
	a.next(t, "?stream=1&index=8").say(chunkedHead + chunk(listing(9, false, "b")))
	one(t, listed, balance.ListDelta, "b")
}

// Silence in the middle of a list is silence: the watch is opened anew, from the last list that was whole.
func TestSilenceWithinAList(t *testing.T) {
	a := newAgent(t)
	does := make(events, 100)
	listed := follow(t, &Watcher{Addr: a.addr, Version: 7, Log: does.log, After: does.after})
	c := a.next(t, "?stream=1&index=7")
	half := listing(9, false, "b")
	c.say(chunkedHead + chunk(listing(8, false, "a")+half[:len(half)/2]))
	one(t, listed, balance.ListDelta, "a")
	if _, said := does.pass(); !strings.Contains(said, "silent") {
		t.Errorf("the watch says: %s", said)
	}
	a.next(t, "?stream=1&index=8")
}

// Bytes of a list that does not end are no word: the clock for silence goes on under them.
func TestAListThatDoesNotEndIsNoWord(t *testing.T) {
	w := &Watcher{Put: func(aggregator.Message) {}, heard: func() {}, Version: 7}
	s := &stream{w: w, alive: make(chan struct{}, 1), over: make(chan error, 1), ready: make(chan struct{}, 1)}
	s.framer.Most = 1 << 10
	s.parser.Responses, s.parser.Stream, s.parser.Head = true, s.body, s.head
	heard := func(text string) bool {
		s.Data([]byte(text))
		select {
		case <-s.alive:
			return true
		default:
			return false
		}
	}
	for _, k := range []struct {
		text string
		word bool
	}{{"HTTP/1.1 200", false}, {" OK\r\nTransfer-Encoding: chunked\r\n\r\n", true}, {chunk("\n"), true}, {chunk(`{"version":8,`), false},
		{chunk("\n"), false}, {chunk(" "), false}, {chunk(`"servers":[]}`), true}, {chunk("\n"), true}} {
		if got := heard(k.text); got != k.word {
			t.Errorf("%q: heard %v", k.text, got)
		}
	}
	for i := 0; ; i++ {
		if heard(chunk(`{"version":`)) {
			t.Fatal("word of a list that does not end")
		}
		select {
		case err := <-s.over:
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

// A move and the end reach a watch that is still connecting, and a connection that comes up for nobody is closed.
func TestAWatchThatConnectsIsNotDeaf(t *testing.T) {
	old, new := newAgent(t), newAgent(t)
	dialing, comesUp, closed := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	w := &Watcher{Addr: old.addr, Dial: func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		if addr == old.addr {
			close(dialing)
			<-comesUp
			return tcp.Dial(addr, timeout, func(l *tcp.Conn) tcp.Handler { return closing{handler(l), closed} })
		}
		return tcp.Dial(addr, timeout, handler)
	}}
	follow(t, w)
	<-dialing
	w.SwitchTo(new.addr)
	new.next(t, "") // while the old one still connects
	close(comesUp)
	<-closed
	select {
	case c := <-old.calls:
		t.Errorf("the old discovery was called: %q", c.query)
	default:
	}

	silent, over := make(chan struct{}), make(chan struct{})
	stop, reached := make(chan struct{}), make(chan struct{})
	end := &Watcher{Addr: "127.0.0.1:1", Put: func(aggregator.Message) {}, Log: t.Logf,
		Dial: func(string, time.Duration, func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
			close(reached)
			<-silent
			return nil, errors.New("never")
		}}
	go func() { end.Run(stop, func() {}); close(over) }()
	<-reached
	close(stop)
	<-over // before the connection gives up
	close(silent)
}

// closing tells when its connection has ended.
type closing struct {
	tcp.Handler
	closed chan error
}

func (c closing) Closed(err error) { c.Handler.Closed(err); c.closed <- err }

// held keeps back what came until the test lets it through.
type held struct {
	tcp.Handler
	came, let chan struct{}
}

func (h held) Data(b []byte) { h.came <- struct{}{}; <-h.let; h.Handler.Data(b) }

// The old discovery's last word arrives after the new one's list: it is for nobody.
func TestTheOldDiscoverySpeaksAfterTheMove(t *testing.T) {
	old, new := newAgent(t), newAgent(t)
	came, let, closed := make(chan struct{}, 1), make(chan struct{}), make(chan error, 1)
	w := &Watcher{Addr: old.addr, Version: 7, Dial: func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		return tcp.Dial(addr, timeout, func(l *tcp.Conn) tcp.Handler {
			if addr == old.addr {
				return closing{held{handler(l), came, let}, closed}
			}
			return handler(l)
		})
	}}
	listed := follow(t, w)
	old.next(t, "?stream=1&index=7").say(chunkedHead + chunk(listing(8, false, "old")))
	<-came // read off the socket, not yet taken
	w.SwitchTo(new.addr)
	c := new.next(t, "")
	whole := listing(3, true, "new")
	c.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole))
	one(t, listed, balance.ListFull, "new")
	close(let)
	<-closed
	c = new.next(t, "?stream=1&index=3")
	c.say(chunkedHead + chunk(listing(4, false, "newer")))
	one(t, listed, balance.ListDelta, "newer")
}

// Changes of an older version than the list held bring nobody back: the whole list is taken, and counts as it is.
func TestVersionsThatGoBack(t *testing.T) {
	a := newAgent(t)
	listed := follow(t, &Watcher{Addr: a.addr, Version: 7})
	a.next(t, "?stream=1&index=7").say(chunkedHead + chunk(listing(6, false, "drained long ago")))
	whole := listing(5, true, "a")
	a.next(t, "").say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole))
	one(t, listed, balance.ListFull, "a")
	a.next(t, "?stream=1&index=5")
}

// An answer of no stated length may end as it likes once its list is whole: here by a reset. One that is reset within its
// list brought none, and is asked for again.
func TestAWholeListOfNoStatedLength(t *testing.T) {
	old, new := newAgent(t), newAgent(t)
	w := &Watcher{Addr: old.addr, Version: 7}
	listed := follow(t, w)
	old.next(t, "?stream=1&index=7")
	w.SwitchTo(new.addr)
	reset := func(c call, text string) {
		c.say("HTTP/1.1 200 OK\r\n\r\n" + text)
		c.Conn.(*net.TCPConn).CloseWrite() // all of it arrives, and then the end: a reset might overtake it
	}
	whole := listing(3, true, "new")
	reset(new.next(t, ""), whole[:len(whole)-3])
	reset(new.next(t, ""), whole)
	one(t, listed, balance.ListFull, "new")
	new.next(t, "?stream=1&index=3")
}

// What is no list is refused by its status, whatever its body looks like.
func TestARefusalsBodyIsNoList(t *testing.T) {
	a := newAgent(t)
	listed := follow(t, &Watcher{Addr: a.addr, Version: 7})
	text := listing(8, true, "nobody")
	a.next(t, "?stream=1&index=7").say(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
	a.next(t, "?stream=1&index=7").say(chunkedHead + chunk(listing(8, false, "a")))
	one(t, listed, balance.ListDelta, "a")
}
