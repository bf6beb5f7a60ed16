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
	listener net.Listener
	loop     netpoll.EventLoop
}

// connKey is the key under which a connection's context holds its *Conn; there is none where it was not admitted.
type connKey struct{}

// Listen listens on addr, host:port, and serves each connection that limiter admits with the handler that accept makes of
// it. accept is called on the poller and must not block. The caller closes the server.
func Listen(addr string, limiter *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	loop, err := netpoll.NewEventLoop(
		onReadable,
		netpoll.WithOnPrepare(func(socket netpoll.Connection) context.Context { return prepare(socket, limiter, accept) }),
		netpoll.WithOnConnect(onConnect))
	if err != nil {
		_ = listener.Close() // nothing was accepted
		return nil, err
	}
	// Close ends the goroutine; the loop's error is that of a listener that was closed.
	go func() { _ = loop.Serve(listener) }()
	return &Server{listener: listener, loop: loop}, nil
}

// prepare makes a Conn of a connection that was accepted, before anything is read on it.
func prepare(socket netpoll.Connection, limiter *ConnLimiter, accept func(*Conn) Handler) context.Context {
	if !limiter.admit() {
		return context.Background() // onConnect closes it, once it is registered
	}
	c := &Conn{socket: socket, peer: socket.RemoteAddr(), limiter: limiter, done: make(chan struct{})}
	c.handler = accept(c)
	c.attach()
	return context.WithValue(context.Background(), connKey{}, c)
}

func onConnect(ctx context.Context, socket netpoll.Connection) context.Context {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.opened()
	} else {
		_ = socket.Close() // it was not admitted
	}
	return ctx
}

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
