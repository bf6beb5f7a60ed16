package tcp

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/netpoll"
)

// shutdownTimeout is how long Server.Close waits for connections whose handlers are running.
const shutdownTimeout = 100 * time.Millisecond

// Server accepts connections on one address.
type Server struct {
	listener netpoll.Listener
	loop     netpoll.EventLoop
}

// connKey is the context key of a connection's *Conn. The context of a connection that was not admitted has no *Conn.
type connKey struct{}

// Listen listens on addr, host:port, and serves each connection that limiter admits with the handler that accept
// returns. accept may be called on the poller and must not block. The caller closes the server.
func Listen(addr string, limiter *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	return openServer(&net.ListenConfig{}, addr, limiter, accept)
}

// ListenShared is Listen with SO_REUSEPORT: another process of the same user may listen on the same address if it sets
// the option, too, and new connections go to either process. It lets a new process take over from a running one.
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
	converted, err := netpoll.ConvertListener(opened) // duplicates the descriptor
	_ = opened.Close()                                // the duplicate keeps the socket open
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
	// Server.Close ends the goroutine; the error of Serve only states that the listener was closed.
	go func() { _ = loop.Serve(listener) }()
	return &Server{listener: listener, loop: loop}, nil
}

// prepare creates the Conn of an accepted connection before anything is read from it. It runs on the poller.
func prepare(socket netpoll.Connection, limiter *ConnLimiter, accept func(*Conn) Handler) context.Context {
	if !limiter.admit() {
		return context.Background() // onConnect admits it later or closes it, once it is registered with the poller
	}
	return withConn(newConn(socket, limiter, accept))
}

// onConnect calls the handler's Opened, if it has one. It does not run on the poller, so a connection that was not
// admitted may wait here until it is.
func onConnect(
	ctx context.Context, socket netpoll.Connection, limiter *ConnLimiter, accept func(*Conn) Handler,
) context.Context {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		if !limiter.admitLater() {
			_ = socket.Close() // not admitted
			return ctx
		}
		// If it was closed during the wait, netpoll reports that once this call has returned.
		c = newConn(socket, limiter, accept)
		ctx = withConn(c)
	}
	c.opened()
	return ctx
}

// newConn creates the Conn of a connection that the limiter has admitted.
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

// Close stops accepting and waits up to shutdownTimeout for connections whose handlers are running.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.loop.Shutdown(ctx) // fails if connections are still open; they are closed when the process exits
}
