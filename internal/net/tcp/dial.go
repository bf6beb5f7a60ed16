package tcp

import (
	"net"
	"time"
)

// Dialer is the signature of Dial. Tests replace it.
type Dialer func(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error)

// dialedTurnBytes is how much of a dialed connection's input one turn reads. Servers send answers and lists that are
// longer than the requests of clients.
const dialedTurnBytes = 32 << 10

// dialedTurns gives the dialed connections of the process their turns.
var dialedTurns = newTurnQueue(dialedTurnBytes)

// Dial opens a connection to addr, host:port. It blocks until the connection is established or timeout has elapsed.
// handler is called once and returns the handler of the connection. The caller closes the connection.
func Dial(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: noKeepAliveProbes}
	dialer.SetMultipathTCP(false)
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := newSocket(conn.(*net.TCPConn))
	if err != nil {
		_ = conn.Close() // nothing was sent
		return nil, err
	}
	c := &Conn{socket: socket, peer: conn.RemoteAddr(), done: make(chan struct{})}
	c.handler = handler(c)
	go c.serve(dialedTurns) // until the connection is closed
	return c, nil
}
