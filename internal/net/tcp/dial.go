package tcp

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// Dialer is the signature of Dial. Tests replace it.
type Dialer func(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error)

// Dial opens a connection to addr, host:port. It blocks until the connection is established or timeout has elapsed.
// handler is called once and returns the handler of the connection. The caller closes the connection.
//
// For protocols in which the server sends first and closes, use DialServerFirst.
func Dial(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error) {
	socket, err := netpoll.DialConnection("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return newDialed(socket, socket.RemoteAddr(), handler)
}

// DialServerFirst is Dial for peers that may send first and close immediately, as health-check agents do. With
// netpoll's own dialing, a connection that the peer closes before the poller handles it counts as never established,
// and the data that the peer sent is lost.
func DialServerFirst(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // netpoll's connection uses the duplicate descriptor
	fd, err := duplicateDescriptor(conn.(*net.TCPConn))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	socket, err := netpoll.NewFDConnection(fd)
	if err != nil {
		_ = syscall.Close(fd) // nothing was sent
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	return newDialed(socket, conn.RemoteAddr(), handler)
}

// duplicateDescriptor returns a duplicate of a connection's descriptor, which the caller closes.
func duplicateDescriptor(conn *net.TCPConn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return -1, err
	}
	duplicate := -1
	var duplicateErr error
	err = raw.Control(func(fd uintptr) {
		// A child process that is forked between the two calls would inherit the descriptor.
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		if duplicate, duplicateErr = syscall.Dup(int(fd)); duplicateErr == nil {
			syscall.CloseOnExec(duplicate)
		}
	})
	if err != nil {
		return -1, err
	}
	if duplicateErr != nil {
		return -1, os.NewSyscallError("dup", duplicateErr)
	}
	return duplicate, nil
}

// newDialed creates the Conn of an established connection.
func newDialed(socket netpoll.Connection, peer net.Addr, handler func(*Conn) Handler) (*Conn, error) {
	c := &Conn{socket: dialedSocket{socket}, peer: peer, done: make(chan struct{})}
	c.handler = handler(c)
	// Neither call fails on a new connection: their errors concern other connection types.
	_ = socket.SetWriteTimeout(writeTimeout)
	_ = socket.AddCloseCallback(func(netpoll.Connection) error {
		c.handleClosed()
		return nil
	})
	err := socket.SetOnRequest(func(context.Context, netpoll.Connection) error {
		c.readDialed(socket.Reader())
		return nil
	})
	if err != nil {
		c.closeSocket()
		return nil, err
	}
	if !socket.IsActive() { // netpoll does not report a close that precedes the registration of the callback
		go c.closeSocket()
	}
	return c, nil
}

// readDialed passes the bytes that have arrived to the handler. netpoll calls it, one call at a time.
func (c *Conn) readDialed(reader netpoll.Reader) {
	n := reader.Len()
	if n == 0 {
		return
	}
	b, err := reader.Next(n)
	if err != nil {
		return
	}
	defer func() { _ = reader.Release() }() // fails on a closed connection, whose buffers are released anyway
	if !c.rejectsData() {
		c.passData(b)
	}
}
