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

// loopback is the event loop of a pool with real TCP connections. The test decides when messages are handled, and sets the
// clock.
type loopback struct {
	t         *testing.T
	pool      *Pool
	now       time.Time
	mailbox   *aggregator.Mailbox
	available bool      // the server accepts new calls
	addr      string    // the server's address in the endpoint list
	started   time.Time // the server's start time in the endpoint list
	ended     []aggregator.AttemptEnded
	sentCount int
}

func newLoopback(t *testing.T, dial DialFunc) *loopback {
	b := &loopback{t: t, now: testStart, mailbox: aggregator.NewMailbox(), available: true}
	b.pool = NewPool(Limits{
		MaxStreams: 10, IdleTimeout: 12 * time.Second, ConnectTimeout: 250 * time.Millisecond, MaxConnections: 10,
		UnresponsiveAfter: time.Second, ConnsPerServer: 1,
	}, b.mailbox, dial)
	b.pool.SetDirectory(b)
	t.Cleanup(func() {
		for _, h := range b.pool.hosts {
			for _, c := range h.conns {
				if c.transport != nil {
					c.transport.Close(nil)
				}
			}
		}
	})
	return b
}

// newSentLoopback returns a loopback that has written one part to a server.
func newSentLoopback(t *testing.T, s *leafServer, dial DialFunc) (*loopback, aggregator.AttemptID) {
	t.Helper()
	b := newLoopback(t, dial)
	b.addr = s.addr()
	return b, b.sendWritten()
}

func (b *loopback) Available(balance.Replica) bool { return b.available }

func (b *loopback) Server(id balance.Replica) aggregator.Server {
	return aggregator.Server{ID: id, Addr: b.addr, Started: b.started}
}

// send sends a part to the server's listed address and returns its attempt, which must be written before by, if that is
// not zero.
func (b *loopback) send(by time.Time) aggregator.AttemptID {
	b.sentCount++
	id := aggregator.AttemptID{Part: balance.ID(b.sentCount)}
	b.pool.Send(b.now, b.Server("s"), []aggregator.OutgoingAttempt{{
		Attempt: id, Name: fmt.Sprintf("q.%d", b.sentCount), Shard: b.sentCount, Deadline: b.now.Add(5 * time.Second),
		WriteBy: by, Payload: "text",
	}})
	return id
}

// sendWritten sends a part and waits until it is written.
func (b *loopback) sendWritten() aggregator.AttemptID {
	b.t.Helper()
	id := b.send(time.Time{})
	b.handleUntil(isWriteFinished)
	return id
}

// handleUntil takes and handles messages until a wanted one is among them.
func (b *loopback) handleUntil(wanted func(aggregator.Message) bool) {
	b.t.Helper()
	for found := false; !found; {
		messages := b.mailbox.Take()
		if len(messages) == 0 {
			<-b.mailbox.Ready()
		}
		for _, m := range messages {
			b.handle(m)
			found = found || wanted(m)
		}
	}
}

// handleUntilEnded handles messages until count attempts have ended.
func (b *loopback) handleUntilEnded(count int) {
	b.t.Helper()
	for len(b.ended) < count {
		b.handleUntil(isFramesReceived)
	}
}

func (b *loopback) handle(m aggregator.Message) {
	events, handled := b.pool.Handle(b.now, m)
	if !handled {
		events = []aggregator.Event{m.(aggregator.Event)}
	}
	for _, e := range events {
		if ended, ok := e.(aggregator.AttemptEnded); ok {
			b.ended = append(b.ended, ended)
		}
	}
}

func (b *loopback) sweep() {
	events, _ := b.pool.Sweep(b.now)
	for _, e := range events {
		b.handle(e)
	}
}

// attemptError returns the error of the n-th attempt that ended, which must be the given one.
func (b *loopback) attemptError(n int, id aggregator.AttemptID) *aggregator.AttemptError {
	b.t.Helper()
	if len(b.ended) <= n || b.ended[n].Attempt != id {
		b.t.Fatalf("ended: %+v; want %v at %d", b.ended, id, n)
	}
	var e *aggregator.AttemptError
	if !errors.As(b.ended[n].Err, &e) {
		b.t.Fatalf("%v ended with %v", id, b.ended[n].Err)
	}
	return e
}

func isDialResult(m aggregator.Message) bool        { _, ok := m.(dialResult); return ok }
func isWriteFinished(m aggregator.Message) bool     { _, ok := m.(writeFinished); return ok }
func isCancelWritten(m aggregator.Message) bool     { _, ok := m.(cancelWritten); return ok }
func isFramesReceived(m aggregator.Message) bool    { _, ok := m.(framesReceived); return ok }
func isConnectionClosed(m aggregator.Message) bool  { _, ok := m.(connectionClosed); return ok }
func isConnectionAborted(m aggregator.Message) bool { _, ok := m.(connectionAborted); return ok }

// networkTimeout is how long a test waits for the network. It bounds a hanging test, and no test expects it to elapse.
const networkTimeout = time.Minute

// dialUntimed is DialTCP without the pool's time limits, which use the machine's clock and not the test's: on a busy machine
// they would end attempts that the test expects to be written.
func dialUntimed(addr string, _ time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error) {
	conn, err := tcp.Dial(addr, networkTimeout, handler)
	if err != nil {
		return nil, err
	}
	return untimedTransport{conn}, nil
}

// testStart is the start time of the tests' clocks.
var testStart = time.Unix(1000, 0)

// untimedTransport writes whatever the pool writes, however long the machine takes: no time elapses on the tests' clock
// until then. The harness checks the write delays that the pool sets.
type untimedTransport struct{ *tcp.Conn }

func (t untimedTransport) WriteDeferred(write tcp.DeferredWrite, done func(tcp.WriteResult)) {
	t.Conn.WriteDeferred(tcp.DeferredWrite{
		Size:   write.Size,
		Within: networkTimeout,
		Bytes:  func(time.Time) []byte { return write.Bytes(testStart) },
	}, done)
}

// dialGate blocks each dial until the test releases it.
type dialGate struct{ dials chan gatedDial }

type gatedDial struct {
	addr    string
	release chan struct{}
}

func (g dialGate) dial(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error) {
	d := gatedDial{addr, make(chan struct{})}
	g.dials <- d
	<-d.release
	return dialUntimed(addr, timeout, handler)
}

// abortGate dials a connection whose Abort blocks until the test releases it.
type abortGate struct{ requested, release chan struct{} }

func newAbortGate() abortGate { return abortGate{make(chan struct{}), make(chan struct{})} }

func (g abortGate) dial(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error) {
	transport, err := dialUntimed(addr, timeout, handler)
	if err != nil {
		return nil, err
	}
	return gatedTransport{transport, g}, nil
}

// expectAbort waits until the pool aborts its connection, checks that no attempt has ended, and releases the Abort.
func (g abortGate) expectAbort(b *loopback) {
	b.t.Helper()
	<-g.requested
	if len(b.ended) != 0 {
		b.t.Fatalf("ended before its connection was closed: %+v", b.ended)
	}
	close(g.release)
	b.handleUntil(isConnectionAborted)
}

type gatedTransport struct {
	Transport
	gate abortGate
}

func (t gatedTransport) Abort(cause error, done func()) {
	go func() {
		close(t.gate.requested)
		<-t.gate.release
		t.Transport.Abort(cause, done)
	}()
}

// gatedHandler delays the handling of its connection's close until the test releases it.
type gatedHandler struct {
	tcp.Handler
	arrived, release chan struct{}
}

func (g gatedHandler) Closed(err error) {
	close(g.arrived)
	<-g.release
	g.Handler.Closed(err)
}

// leafServer accepts connections for the test to read and write.
type leafServer struct {
	t        *testing.T
	listener net.Listener
}

func newLeafServer(t *testing.T) *leafServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test has ended
	return &leafServer{t, listener}
}

func (s *leafServer) addr() string { return s.listener.Addr().String() }

func (s *leafServer) accept() leafConn {
	s.t.Helper()
	c, err := s.listener.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	return leafConn{c.(*net.TCPConn), bufio.NewReader(c), s.t}
}

type leafConn struct {
	*net.TCPConn
	reader *bufio.Reader
	t      *testing.T
}

func (c leafConn) readFrame() (frameType byte, payload string, err error) {
	var length [4]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		return 0, "", err
	}
	b := make([]byte, binary.BigEndian.Uint32(length[:]))
	if _, err := io.ReadFull(c.reader, b); err != nil {
		return 0, "", err
	}
	return b[0], string(b[1:]), nil
}

func (c leafConn) expectFrame(frameType byte, prefix string) {
	c.t.Helper()
	if got, payload, err := c.readFrame(); err != nil || got != frameType || !strings.HasPrefix(payload, prefix) {
		c.t.Fatalf("frame %q %q, %v; want %q %q", got, payload, err, frameType, prefix)
	}
}

func (c leafConn) expectReset() {
	c.t.Helper()
	if frameType, payload, err := c.readFrame(); !errors.Is(err, syscall.ECONNRESET) {
		c.t.Errorf("frame %q %q, %v; want a reset", frameType, payload, err)
	}
}

// expectNoBytes half-closes a connection and checks that nothing is received on it until the pool closes it.
func (c leafConn) expectNoBytes() {
	c.t.Helper()
	_ = c.CloseWrite() // fails if the pool has closed it already
	if frameType, payload, err := c.readFrame(); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Errorf("frame %q %q, %v", frameType, payload, err)
	}
}

func (c leafConn) sendFrame(frameType byte, payload string) {
	c.t.Helper()
	c.sendBytes(AppendFrame(nil, frameType, []byte(payload)))
}

func (c leafConn) sendBytes(b []byte) {
	c.t.Helper()
	if _, err := c.Write(b); err != nil {
		c.t.Fatal(err)
	}
}
