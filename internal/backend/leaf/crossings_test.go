package leaf

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Crossings on real connections (docs/crossings.md). A bench is the loop of a pool, driven by hand: what sockets post is
// taken when the test says so, by a clock that the test sets. A stand-in server reads and writes when it says so.
type bench struct {
	t       *testing.T
	p       *Pool
	now     time.Time
	box     *aggregator.Mailbox
	open    bool
	addr    string    // where the server is listed
	started time.Time // and as started when
	ended   []aggregator.AttemptEnded
	n       int
}

func newBench(t *testing.T, dial DialFunc) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0), box: aggregator.NewMailbox(), open: true}
	b.p = NewPool(Limits{MaxStreams: 10, IdleTimeout: 12 * time.Second, ConnectTimeout: 250 * time.Millisecond, MaxConnections: 10, UnresponsiveAfter: time.Second, ConnsPerServer: 1}, b.box, dial)
	b.p.SetDirectory(b)
	t.Cleanup(func() {
		for _, h := range b.p.hosts {
			for _, c := range h.conns {
				if c.link != nil {
					c.link.Close(nil)
				}
			}
		}
	})
	return b
}

func (b *bench) Available(balance.Replica) bool { return b.open }

func (b *bench) Server(id balance.Replica) aggregator.Server {
	return aggregator.Server{ID: id, Addr: b.addr, Started: b.started}
}

// send sends a part to where the server is listed and returns its attempt.
func (b *bench) send(by time.Time) aggregator.AttemptID {
	b.n++
	id := aggregator.AttemptID{Part: balance.ID(b.n)}
	b.p.Send(b.now, b.Server("s"),
		[]aggregator.Call{{Attempt: id, Name: fmt.Sprintf("q.%d", b.n), Shard: b.n, Deadline: b.now.Add(5 * time.Second), WriteBy: by, Payload: "text"}})
	return id
}

// until takes what is posted until one event of it is as wanted.
func (b *bench) until(is func(e aggregator.Message) bool) {
	b.t.Helper()
	for found := false; !found; {
		events := b.box.Take()
		if len(events) == 0 {
			<-b.box.Ready()
		}
		for _, e := range events {
			b.handle(e)
			found = found || is(e)
		}
	}
}

func (b *bench) handle(e aggregator.Message) {
	events, mine := b.p.Handle(b.now, e)
	if !mine {
		events = []aggregator.Event{e.(aggregator.Event)}
	}
	for _, e := range events {
		if ended, ok := e.(aggregator.AttemptEnded); ok {
			b.ended = append(b.ended, ended)
		}
	}
}

func (b *bench) sweep() {
	events, _ := b.p.Sweep(b.now)
	for _, e := range events {
		b.handle(e)
	}
}

// dialTCP is DialTCP by the system's own dialing: netpoll's says of one connection in some thousands that its peer has
// closed it, when nobody has, and a test has no other server to go to.
func dialTCP(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Link, error) {
	l, err := tcp.DialServerFirst(addr, timeout, handler)
	return l, err
}

func isWrote(e aggregator.Message) bool  { _, ok := e.(wrote); return ok }
func isTold(e aggregator.Message) bool   { _, ok := e.(told); return ok }
func isFramed(e aggregator.Message) bool { _, ok := e.(framed); return ok }
func isDialed(e aggregator.Message) bool { _, ok := e.(dialed); return ok }

func isAborted(e aggregator.Message) bool { _, ok := e.(aborted); return ok }

// leafServer accepts connections for the test to read and write.
type leafServer struct {
	ln net.Listener
	t  *testing.T
}

func newLeafServer(t *testing.T) *leafServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &leafServer{ln, t}
}

func (s *leafServer) addr() string { return s.ln.Addr().String() }

type leafConn struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

func (s *leafServer) accept() leafConn {
	s.t.Helper()
	c, err := s.ln.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return leafConn{c.(*net.TCPConn), bufio.NewReader(c), s.t}
}

func (c leafConn) frame() (letter byte, rest string, err error) {
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return 0, "", err
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c.in, b); err != nil {
		return 0, "", err
	}
	return b[0], string(b[1:]), nil
}

func (c leafConn) want(letter byte, rest string) {
	c.t.Helper()
	if l, r, err := c.frame(); err != nil || l != letter || !strings.HasPrefix(r, rest) {
		c.t.Fatalf("frame %q %q, %v; want %q %q", l, r, err, letter, rest)
	}
}

func (c leafConn) say(letter byte, rest string) { c.Write(AppendFrame(nil, letter, []byte(rest))) }

// attemptError is how the n-th attempt that ended did, and it must be the attempt given.
func (b *bench) attemptError(n int, id aggregator.AttemptID) *aggregator.AttemptError {
	b.t.Helper()
	if len(b.ended) <= n || b.ended[n].Attempt != id {
		b.t.Fatalf("ended: %+v; want %v at %d", b.ended, id, n)
	}
	var a *aggregator.AttemptError
	if !errors.As(b.ended[n].Err, &a) {
		b.t.Fatalf("%v ended with %v", id, b.ended[n].Err)
	}
	return a
}

// A part is given up on a connection over which its server has said nothing: behind a cut the frame 2 would be as lost as
// the call, and both would arrive when it is over. The attempt ends only when the connection is closed, and by a reset:
// what the system still holds goes with it. Before, it ended with the frame 2 written, and the part was sent anew while
// its first attempt counted as out.
func TestGiveUpWhereNothingIsHeard(t *testing.T) {
	s := newLeafServer(t)
	links := heldLinks{make(chan struct{}), make(chan struct{})}
	b, id := sentOne(t, s, links.dial)
	c := s.accept()
	b.now = b.now.Add(300 * time.Millisecond)
	b.p.Cancel(b.now, id, true)
	b.p.Cancel(b.now, id, true)
	links.closes(b)
	if a := b.attemptError(0, id); a.Progress != aggregator.Written || !a.Canceled {
		t.Errorf("%+v", a)
	}
	c.want(letterCall, "q.1 1 ")
	if l, r, err := c.frame(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("frame %q %q, %v; want a reset", l, r, err)
	}
	if b.p.total != 0 || len(b.p.calls) != 0 {
		t.Errorf("%d connections, %d attempts left", b.p.total, len(b.p.calls))
	}
}

// heldLinks dials links whose Abort waits for the test.
type heldLinks struct {
	asked, let chan struct{}
}

// closes says that the pool closes a connection, with nothing ended while it is held there, and lets it be closed.
func (h heldLinks) closes(b *bench) {
	b.t.Helper()
	<-h.asked
	if len(b.ended) != 0 {
		b.t.Fatalf("ended before its connection: %+v", b.ended)
	}
	close(h.let)
	b.until(isAborted)
}

// sentOne is a bench that has written one part to a server.
func sentOne(t *testing.T, s *leafServer, dial DialFunc) (*bench, aggregator.AttemptID) {
	b := newBench(t, dial)
	b.addr = s.addr()
	id := b.send(time.Time{})
	b.until(isWrote)
	return b, id
}

type heldLink struct {
	*tcp.Conn
	of heldLinks
}

func (h heldLinks) dial(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Link, error) {
	l, err := tcp.DialServerFirst(addr, timeout, handler)
	return heldLink{l, h}, err
}

func (l heldLink) Abort(cause error, done func()) {
	go func() {
		close(l.of.asked)
		<-l.of.let
		l.Conn.Abort(cause, done)
	}()
}

// Where another part is out on the connection, a probe behind the frame 2 has to be answered first: an answer to it shows
// that the server has read so. Without one the connection is closed with all that is out on it.
func TestGiveUpBesideAnotherPart(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s := newLeafServer(t)
		b := newBench(t, dialTCP)
		b.addr = s.addr()
		first := b.send(time.Time{})
		b.until(isWrote)
		c := s.accept()
		second := b.send(time.Time{})
		b.until(isWrote)
		c.want(letterCall, "q.1 ")
		c.want(letterCall, "q.2 ")
		b.p.Cancel(b.now, first, true)
		b.until(isTold)
		c.want(letterGiveUp, "q.1")
		c.want(letterProbe, "")
		if len(b.ended) != 0 {
			t.Fatalf("ended before its server is known to know: %+v", b.ended)
		}
		if answered {
			c.say(letterProbe, "S")
			b.until(isFramed)
			if a := b.attemptError(0, first); a.Progress != aggregator.Written || !a.Canceled || len(b.ended) != 1 {
				t.Errorf("%+v", b.ended)
			}
			b.now = b.now.Add(time.Second)
			b.sweep()
			c.say(letterAnswer, "q.2 S 1 -\n"+someValue)
			b.until(isFramed)
			if len(b.ended) != 2 || b.ended[1].Err != nil {
				t.Errorf("%+v", b.ended)
			}
			continue
		}
		b.now = b.now.Add(250*time.Millisecond + slack)
		b.sweep()
		b.until(isAborted)
		for n, id := range []aggregator.AttemptID{first, second} {
			if a := b.attemptError(n, id); a.Progress != aggregator.Written || !a.Canceled {
				t.Errorf("%+v", a)
			}
		}
		if l, r, err := c.frame(); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("frame %q %q, %v; want a reset", l, r, err)
		}
	}
}

// An answer that crosses the give-up serves the part.
func TestAnswerCrossesTheGiveUp(t *testing.T) {
	s := newLeafServer(t)
	b := newBench(t, dialTCP)
	b.addr = s.addr()
	first, other := b.send(time.Time{}), b.send(time.Time{})
	b.until(isDialed)
	c := s.accept()
	c.want(letterCall, "q.1 ")
	b.p.Cancel(b.now, first, true)
	c.say(letterAnswer, "q.1 S 1 -\n"+someValue)
	c.say(letterProbe, "S")
	for len(b.ended) == 0 {
		b.until(isFramed)
	}
	if b.ended[0].Attempt != first || b.ended[0].Err != nil || b.ended[0].Value != someValue {
		t.Errorf("%+v", b.ended)
	}
	c.say(letterAnswer, "q.2 S 1 -\n"+someValue)
	for len(b.ended) == 1 {
		b.until(isFramed)
	}
	if b.ended[1].Attempt != other || b.ended[1].Err != nil {
		t.Errorf("%+v", b.ended)
	}
}

// A connection that is closed for what came on it: what was out ends when it is closed, not when that is decided. Before,
// a part could be sent anew, and arrive, while the connection of its first attempt was still open.
func TestPartsEndAfterTheirConnectionIsClosed(t *testing.T) {
	s := newLeafServer(t)
	links := heldLinks{make(chan struct{}), make(chan struct{})}
	b, id := sentOne(t, s, links.dial)
	c := s.accept()
	c.want(letterCall, "q.1 ")
	c.Write([]byte("\xff\xff"))
	b.until(isFramed)
	links.closes(b)
	if a := b.attemptError(0, id); a.Progress != aggregator.Written || !a.CorruptStream || a.Canceled {
		t.Errorf("%+v", a)
	}
}

// heldDial is a dialer whose connections come up when the test says so.
type heldDial struct {
	dials chan heldCall
}

type heldCall struct {
	addr string
	let  chan struct{}
}

func (h heldDial) dial(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Link, error) {
	c := heldCall{addr, make(chan struct{})}
	h.dials <- c
	<-c.let
	return tcp.DialServerFirst(addr, timeout, handler)
}

// An id moves to another address while parts wait for a connection to it. What was meant for the one address never goes to
// the other, whichever comes up first, and nothing goes to where the server is no more: another may live there.
func TestServerMovesWhileItConnects(t *testing.T) {
	for _, oldFirst := range []bool{true, false} {
		old, moved := newLeafServer(t), newLeafServer(t)
		h := heldDial{make(chan heldCall, 2)}
		b := newBench(t, h.dial)
		b.addr = old.addr()
		first := b.send(time.Time{})
		toOld := <-h.dials
		b.addr = moved.addr()
		second := b.send(time.Time{})
		toNew := <-h.dials
		if toOld.addr != old.addr() || toNew.addr != moved.addr() {
			t.Fatalf("dialed %s and %s", toOld.addr, toNew.addr)
		}
		for _, c := range map[bool][]heldCall{true: {toOld, toNew}, false: {toNew, toOld}}[oldFirst] {
			close(c.let)
			b.until(isDialed)
		}
		if a := b.attemptError(0, first); a.Progress != aggregator.NotConnected || !a.Canceled {
			t.Errorf("%+v", a)
		}
		c := moved.accept()
		c.want(letterCall, "q.2 ")
		c.say(letterAnswer, "q.2 S 1 -\n"+someValue)
		for len(b.ended) == 1 {
			b.until(isFramed)
		}
		if b.ended[1].Attempt != second || b.ended[1].Err != nil {
			t.Errorf("%+v", b.ended)
		}
		nothing(t, old.accept())
	}
}

// nothing says that no byte came on a connection: it is closed from here, and the other side has said nothing until then.
func nothing(t *testing.T, c leafConn) {
	t.Helper()
	c.CloseWrite()
	if l, r, err := c.frame(); err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("frame %q %q, %v", l, r, err)
	}
}

// A drain or a new start is told, the class's window for repeats ends, the time of a part ends, or it is given up, while it waits for its
// connection: when that comes up nothing goes out on it, and the part never ran.
func TestLateConnections(t *testing.T) {
	window := func(b *bench) time.Time { return b.now.Add(time.Second) }
	for name, k := range map[string]struct {
		by   func(*bench) time.Time
		do   func(*bench, aggregator.AttemptID)
		away bool
	}{
		"drain":    {nil, func(b *bench, _ aggregator.AttemptID) { b.open = false }, true},
		"start":    {nil, func(b *bench, _ aggregator.AttemptID) { b.started = b.now }, false},
		"window":   {window, func(b *bench, _ aggregator.AttemptID) { b.now = b.now.Add(time.Second) }, false},
		"time":     {nil, func(b *bench, _ aggregator.AttemptID) { b.now = b.now.Add(5 * time.Second) }, false},
		"given up": {nil, func(b *bench, id aggregator.AttemptID) { b.p.Cancel(b.now, id, true) }, false},
	} {
		s := newLeafServer(t)
		h := heldDial{make(chan heldCall, 1)}
		b := newBench(t, h.dial)
		b.addr = s.addr()
		var by time.Time
		if k.by != nil {
			by = k.by(b)
		}
		id := b.send(by)
		c := <-h.dials
		k.do(b, id)
		close(c.let)
		b.until(isDialed)
		if a := b.attemptError(0, id); a.Progress != aggregator.NotConnected || a.Rejected != k.away || a.Canceled == k.away {
			t.Errorf("%s: %+v", name, a)
		}
		// The connection itself is good, and is kept until it has been idle.
		if b.p.total != 1 {
			t.Errorf("%s: %d connections", name, b.p.total)
		}
		b.now = b.now.Add(12 * time.Second)
		b.sweep()
		if b.p.total != 0 {
			t.Errorf("%s: %d connections after their idle time", name, b.p.total)
		}
		nothing(t, s.accept())
	}
}

// The server ends a resting connection, and the part that is sent on it at that moment knows of it only afterwards. Whatever
// the write came to, a part that the server read is never said not to have run.
func TestReuseCrossesTheServersClose(t *testing.T) {
	s := newLeafServer(t)
	let, came := make(chan struct{}), make(chan struct{})
	b := newBench(t, func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Link, error) {
		return tcp.DialServerFirst(addr, timeout, func(l *tcp.Conn) tcp.Handler { return heldEnd{handler(l), came, let} })
	})
	b.addr = s.addr()
	b.send(time.Time{})
	b.until(isWrote)
	c := s.accept()
	c.want(letterCall, "q.1 ")
	c.say(letterAnswer, "q.1 S 1 -\n"+someValue)
	for len(b.ended) == 0 {
		b.until(isFramed)
	}
	c.Close()
	<-came // the end is known to the connection, and not to the pool
	second := b.send(time.Time{})
	b.until(isWrote)
	close(let)
	b.until(func(e aggregator.Message) bool { _, ok := e.(closed); return ok })
	if a := b.attemptError(1, second); a.Canceled || a.Progress != aggregator.NotConnected {
		t.Errorf("%+v", a) // the link knew, so that no byte left
	}
	if b.p.total != 0 {
		t.Errorf("%d connections", b.p.total)
	}
}

// heldEnd holds back the end of its connection.
type heldEnd struct {
	tcp.Handler
	came, let chan struct{}
}

func (h heldEnd) Closed(err error) {
	close(h.came)
	<-h.let
	h.Handler.Closed(err)
}
