package leaf

import (
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// The tests of this file force two racing events into a fixed order, on real connections: see docs/crossings.md.

// A part is canceled on a connection on which its server has sent nothing. During a network partition the cancel frame
// would be delayed like the call, and both would arrive when the partition ends. So the attempt ends only when the connection
// is closed, by a reset, which discards the unsent bytes. Guards against ending the attempt once the cancel frame is written:
// the part was then retried while its first attempt was still in flight.
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

// If another part is in flight on the connection, the canceled attempt ends once the probe behind its cancel frame is
// answered, which shows that the server has read that frame. If no answer arrives in time, the connection is closed, and
// everything in flight on it ends.
func TestPool_CancelBesideAnotherPart(t *testing.T) {
	start := func(t *testing.T) (b *loopback, c leafConn, first, second aggregator.AttemptID) {
		s := newLeafServer(t)
		b, first = newSentLoopback(t, s, dialUntimed)
		c = s.accept()
		second = b.sendWritten()
		c.expectFrame(frameCall, "q.1 ")
		c.expectFrame(frameCall, "q.2 ")
		b.pool.Cancel(b.now, first, true)
		b.handleUntil(isCancelWritten)
		c.expectFrame(frameCancel, "q.1")
		c.expectFrame(frameProbe, "")
		if len(b.ended) != 0 {
			t.Fatalf("ended before the server confirmed the cancel frame: %+v", b.ended)
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

// An answer that the server sent before it read the cancel frame is accepted as the part's answer.
func TestPool_AnswerCrossesCancel(t *testing.T) {
	s := newLeafServer(t)
	b := newLoopback(t, dialUntimed)
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

// A connection is closed because of invalid bytes: the attempts in flight on it end when its socket is closed, not when the
// close begins. Guards against a retry that arrives while the connection of the first attempt is still open.
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

// A server moves to another address while parts wait for a connection to it. Parts for one address are never sent to the
// other, whichever dial succeeds first, and nothing is sent to the old address, where another server may listen.
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

// While a part waits for its connection, the server drains or restarts, the part's deduplication window or deadline
// expires, or the part is canceled: it is not sent when the connection opens, and its attempt ends as one that did not
// run.
func TestPool_ConditionsChangeWhileDialing(t *testing.T) {
	for name, c := range map[string]struct {
		window   time.Duration // within which the part may be written; 0: unlimited
		change   func(*loopback, aggregator.AttemptID)
		rejected bool // the attempt ends as rejected; false: as canceled
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
			// The connection itself is usable, and is retained until its idle timeout.
			if b.pool.connCount != 1 {
				t.Errorf("%d connections", b.pool.connCount)
			}
			b.now = b.now.Add(12 * time.Second)
			b.sweep()
			if b.pool.connCount != 0 {
				t.Errorf("%d connections after the idle timeout", b.pool.connCount)
			}
			s.accept().expectNoBytes()
		})
	}
}

// The server closes an idle connection, and a part is sent on it before the pool has handled the close. An attempt that the
// server may have read must not be reported as one that did not run.
func TestPool_ReuseCrossesServerClose(t *testing.T) {
	s := newLeafServer(t)
	release, arrived := make(chan struct{}), make(chan struct{})
	type newHandler = func(*tcp.Conn) tcp.Handler
	b := newLoopback(t, func(addr string, timeout time.Duration, handler newHandler) (Transport, error) {
		return dialUntimed(addr, timeout, func(c *tcp.Conn) tcp.Handler {
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
	<-arrived // the transport has noticed the close, the pool has not handled it
	second := b.sendWritten()
	close(release)
	b.handleUntil(isConnectionClosed)
	if e := b.attemptError(1, second); e.Canceled || e.Progress != aggregator.NotConnected {
		t.Errorf("%+v", e) // the transport had noticed the close, so it wrote no byte
	}
	if b.pool.connCount != 0 {
		t.Errorf("%d connections", b.pool.connCount)
	}
}
