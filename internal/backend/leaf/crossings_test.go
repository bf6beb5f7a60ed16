package leaf

import (
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// The tests of this file force two events to cross, on real connections: see docs/crossings.md.

// A part is canceled on a connection on which its server has sent nothing: behind a network partition the cancel frame would
// be as lost as the call, and both would arrive when it ends. The attempt ends only when the connection is closed, and by a
// reset: what the system still holds is discarded. Before, it ended with the cancel frame written, and the part was retried
// while its first attempt counted as in flight.
func TestPool_CancelOnUnresponsiveConnection(t *testing.T) {
	s := newLeafServer(t)
	gate := newAbortGate()
	b, id := newSentLoopback(t, s, gate.dial)
	c := s.accept()
	b.now = b.now.Add(300 * time.Millisecond)
	b.pool.Cancel(b.now, id, true)
	b.pool.Cancel(b.now, id, true)
	gate.expectAbort(b)
	if e := b.attemptError(0, id); e.Progress != aggregator.Written || !e.Canceled {
		t.Errorf("%+v", e)
	}
	c.expectFrame(frameCall, "q.1 1 ")
	c.expectReset()
	if b.pool.connCount != 0 || len(b.pool.attempts) != 0 {
		t.Errorf("%d connections, %d attempts left", b.pool.connCount, len(b.pool.attempts))
	}
}

// Where another part is in flight on the connection, a probe behind the cancel frame has to be answered first: its answer
// shows that the server has read that. Without one the connection is closed with all that is in flight on it.
func TestPool_CancelBesideAnotherPart(t *testing.T) {
	start := func(t *testing.T) (b *loopback, c leafConn, first, second aggregator.AttemptID) {
		s := newLeafServer(t)
		b, first = newSentLoopback(t, s, dialNet)
		c = s.accept()
		second = b.sendWritten()
		c.expectFrame(frameCall, "q.1 ")
		c.expectFrame(frameCall, "q.2 ")
		b.pool.Cancel(b.now, first, true)
		b.handleUntil(isCancelWritten)
		c.expectFrame(frameCancel, "q.1")
		c.expectFrame(frameProbe, "")
		if len(b.ended) != 0 {
			t.Fatalf("ended before its server is known to know: %+v", b.ended)
		}
		return b, c, first, second
	}
	t.Run("probe is answered", func(t *testing.T) {
		b, c, first, _ := start(t)
		c.sendFrame(frameProbe, "S")
		b.handleUntil(isFramesReceived)
		if e := b.attemptError(0, first); e.Progress != aggregator.Written || !e.Canceled || len(b.ended) != 1 {
			t.Errorf("%+v", b.ended)
		}
		b.now = b.now.Add(time.Second)
		b.sweep()
		c.sendFrame(frameAnswer, "q.2 S 1 -\n"+validValue)
		b.handleUntil(isFramesReceived)
		if len(b.ended) != 2 || b.ended[1].Err != nil {
			t.Errorf("%+v", b.ended)
		}
	})
	t.Run("probe is not answered", func(t *testing.T) {
		b, c, first, second := start(t)
		b.now = b.now.Add(250*time.Millisecond + timeoutSlack)
		b.sweep()
		b.handleUntil(isConnectionAborted)
		for n, id := range []aggregator.AttemptID{first, second} {
			if e := b.attemptError(n, id); e.Progress != aggregator.Written || !e.Canceled {
				t.Errorf("%+v", e)
			}
		}
		c.expectReset()
	})
}

// An answer that crosses the cancel frame serves the part.
func TestPool_AnswerCrossesCancel(t *testing.T) {
	s := newLeafServer(t)
	b := newLoopback(t, dialNet)
	b.addr = s.addr()
	first, other := b.send(time.Time{}), b.send(time.Time{})
	b.handleUntil(isDialResult)
	c := s.accept()
	c.expectFrame(frameCall, "q.1 ")
	b.pool.Cancel(b.now, first, true)
	c.sendFrame(frameAnswer, "q.1 S 1 -\n"+validValue)
	c.sendFrame(frameProbe, "S")
	b.handleUntilEnded(1)
	if b.ended[0].Attempt != first || b.ended[0].Err != nil || b.ended[0].Value != validValue {
		t.Errorf("%+v", b.ended)
	}
	c.sendFrame(frameAnswer, "q.2 S 1 -\n"+validValue)
	b.handleUntilEnded(2)
	if b.ended[1].Attempt != other || b.ended[1].Err != nil {
		t.Errorf("%+v", b.ended)
	}
}

// A connection is closed for what came on it: what was in flight ends when it is closed, not when that is decided. Before, a
// part could be retried, and arrive, while the connection of its first attempt was still open.
func TestPool_PartsEndAfterConnectionIsClosed(t *testing.T) {
	s := newLeafServer(t)
	gate := newAbortGate()
	b, id := newSentLoopback(t, s, gate.dial)
	c := s.accept()
	c.expectFrame(frameCall, "q.1 ")
	c.sendBytes([]byte("\xff\xff"))
	b.handleUntil(isFramesReceived)
	gate.expectAbort(b)
	if e := b.attemptError(0, id); e.Progress != aggregator.Written || !e.CorruptStream || e.Canceled {
		t.Errorf("%+v", e)
	}
}

// A server moves to another address while parts wait for a connection to it. What was meant for the one address never goes
// to the other, whichever comes up first, and nothing goes to where the server is no more: another may live there.
func TestPool_ServerMovesWhileDialing(t *testing.T) {
	for name, oldFirst := range map[string]bool{
		"the old address comes up first": true,
		"the new address comes up first": false,
	} {
		t.Run(name, func(t *testing.T) {
			oldServer, newServer := newLeafServer(t), newLeafServer(t)
			gate := dialGate{make(chan gatedDial, 2)}
			b := newLoopback(t, gate.dial)
			b.addr = oldServer.addr()
			first := b.send(time.Time{})
			toOld := <-gate.dials
			b.addr = newServer.addr()
			second := b.send(time.Time{})
			toNew := <-gate.dials
			if toOld.addr != oldServer.addr() || toNew.addr != newServer.addr() {
				t.Fatalf("dialed %s and %s", toOld.addr, toNew.addr)
			}
			dials := []gatedDial{toNew, toOld}
			if oldFirst {
				dials = []gatedDial{toOld, toNew}
			}
			for _, d := range dials {
				close(d.release)
				b.handleUntil(isDialResult)
			}
			if e := b.attemptError(0, first); e.Progress != aggregator.NotConnected || !e.Canceled {
				t.Errorf("%+v", e)
			}
			c := newServer.accept()
			c.expectFrame(frameCall, "q.2 ")
			c.sendFrame(frameAnswer, "q.2 S 1 -\n"+validValue)
			b.handleUntilEnded(2)
			if b.ended[1].Attempt != second || b.ended[1].Err != nil {
				t.Errorf("%+v", b.ended)
			}
			oldServer.accept().expectNoBytes()
		})
	}
}

// The server drains or restarts, the class's window for retries or the part's time ends, or the part is canceled, while it
// waits for its connection: when that is open nothing goes out on it, and the part never ran.
func TestPool_ConditionsChangeWhileDialing(t *testing.T) {
	for name, c := range map[string]struct {
		window   time.Duration // in which the part may be written; 0: any
		change   func(*loopback, aggregator.AttemptID)
		rejected bool // else it ends as canceled
	}{
		"drain": {
			change:   func(b *loopback, _ aggregator.AttemptID) { b.available = false },
			rejected: true,
		},
		"restart": {
			change: func(b *loopback, _ aggregator.AttemptID) { b.started = b.now },
		},
		"end of the retry window": {
			window: time.Second,
			change: func(b *loopback, _ aggregator.AttemptID) { b.now = b.now.Add(time.Second) },
		},
		"deadline": {
			change: func(b *loopback, _ aggregator.AttemptID) { b.now = b.now.Add(5 * time.Second) },
		},
		"cancel": {
			change: func(b *loopback, id aggregator.AttemptID) { b.pool.Cancel(b.now, id, true) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLeafServer(t)
			gate := dialGate{make(chan gatedDial, 1)}
			b := newLoopback(t, gate.dial)
			b.addr = s.addr()
			var by time.Time
			if c.window > 0 {
				by = b.now.Add(c.window)
			}
			id := b.send(by)
			dial := <-gate.dials
			c.change(b, id)
			close(dial.release)
			b.handleUntil(isDialResult)
			e := b.attemptError(0, id)
			if e.Progress != aggregator.NotConnected || e.Rejected != c.rejected || e.Canceled == c.rejected {
				t.Errorf("%+v", e)
			}
			// The connection itself is good, and is kept until it has been idle.
			if b.pool.connCount != 1 {
				t.Errorf("%d connections", b.pool.connCount)
			}
			b.now = b.now.Add(12 * time.Second)
			b.sweep()
			if b.pool.connCount != 0 {
				t.Errorf("%d connections after their idle time", b.pool.connCount)
			}
			s.accept().expectNoBytes()
		})
	}
}

// The server closes an idle connection, and the part that is sent on it at that moment knows of it only afterwards. Whatever
// the write came to, a part that the server read is never said not to have run.
func TestPool_ReuseCrossesServerClose(t *testing.T) {
	s := newLeafServer(t)
	release, arrived := make(chan struct{}), make(chan struct{})
	type newHandler = func(*tcp.Conn) tcp.Handler
	b := newLoopback(t, func(addr string, timeout time.Duration, handler newHandler) (Transport, error) {
		return dialNet(addr, timeout, func(c *tcp.Conn) tcp.Handler {
			return gatedHandler{handler(c), arrived, release}
		})
	})
	b.addr = s.addr()
	b.sendWritten()
	c := s.accept()
	c.expectFrame(frameCall, "q.1 ")
	c.sendFrame(frameAnswer, "q.1 S 1 -\n"+validValue)
	b.handleUntilEnded(1)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	<-arrived // the end is known to the transport, and not to the pool
	second := b.sendWritten()
	close(release)
	b.handleUntil(isConnectionClosed)
	if e := b.attemptError(1, second); e.Canceled || e.Progress != aggregator.NotConnected {
		t.Errorf("%+v", e) // the transport knew, so that no byte left
	}
	if b.pool.connCount != 0 {
		t.Errorf("%d connections", b.pool.connCount)
	}
}
