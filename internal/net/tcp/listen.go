package tcp

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// shutdownTimeout is how long Server.Close waits for connections whose handlers are at work.
const shutdownTimeout = 100 * time.Millisecond

// Server accepts connections on one address.
type Server struct {
	listener netpoll.Listener
	loop     netpoll.EventLoop
}

// connKey is the key under which a connection's context holds its *Conn; there is none where it was not admitted.
type connKey struct{}

// Listen listens on addr, host:port, and serves each connection that limiter admits with the handler that accept makes of
// it. accept may be called on the poller and must not block. The caller closes the server.
func Listen(addr string, limiter *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	return openServer(&net.ListenConfig{}, addr, limiter, accept)
}

// ListenShared is Listen on an address on which another process of the same user may listen, too, if it also shares it:
// new connections go to either. For processes that replace each other.
func ListenShared(addr string, limiter *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	return openServer(&net.ListenConfig{Control: ReusePort}, addr, limiter, accept)
}

func openServer(
	config *net.ListenConfig, addr string, limiter *ConnLimiter, accept func(*Conn) Handler,
) (*Server, error) {
	opened, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	converted, err := netpoll.ConvertListener(opened) // with a descriptor of its own
	_ = opened.Close()                                // the socket stays with the other descriptor
	if err != nil {
		return nil, err
	}
	listener := steadyListener{Listener: converted, pause: time.Sleep}
	loop, err := netpoll.NewEventLoop(
		onReadable,
		netpoll.WithOnPrepare(func(socket netpoll.Connection) context.Context {
			return prepare(socket, limiter, accept)
		}),
		netpoll.WithOnConnect(func(ctx context.Context, socket netpoll.Connection) context.Context {
			return onConnect(ctx, socket, limiter, accept)
		}))
	if err != nil {
		_ = listener.Close() // nothing was accepted
		return nil, err
	}
	// Close ends the goroutine; the loop's error is that of a listener that was closed.
	go func() { _ = loop.Serve(listener) }()
	return &Server{listener: listener, loop: loop}, nil
}

// prepare makes a Conn of a connection that was accepted, before anything is read on it. It runs on the poller.
func prepare(socket netpoll.Connection, limiter *ConnLimiter, accept func(*Conn) Handler) context.Context {
	if !limiter.admit() {
		return context.Background() // for onConnect to admit later, or to close, once it is registered
	}
	return withConn(newConn(socket, limiter, accept))
}

// onConnect lets a handler send first. It runs off the poller, so that a connection that was not admitted may wait here.
func onConnect(
	ctx context.Context, socket netpoll.Connection, limiter *ConnLimiter, accept func(*Conn) Handler,
) context.Context {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		if !limiter.admitLater() {
			_ = socket.Close() // it was not admitted
			return ctx
		}
		// If it ended while it waited, netpoll reports that once this call has returned.
		c = newConn(socket, limiter, accept)
		ctx = withConn(c)
	}
	c.opened()
	return ctx
}

// newConn makes a Conn of a connection that the limiter has admitted.
func newConn(socket netpoll.Connection, limiter *ConnLimiter, accept func(*Conn) Handler) *Conn {
	c := &Conn{socket: socket, peer: socket.RemoteAddr(), limiter: limiter, done: make(chan struct{})}
	c.handler = accept(c)
	c.attach()
	return c
}

func withConn(c *Conn) context.Context { return context.WithValue(context.Background(), connKey{}, c) }

func onReadable(ctx context.Context, _ netpoll.Connection) error {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.read()
	}
	return nil
}

// Addr returns the address that the server listens on, host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting. Connections whose handlers are at work have a moment to end.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.loop.Shutdown(ctx) // it fails where connections are left, which end with the process
}
