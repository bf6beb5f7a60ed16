package health

import (
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/net/tcp"
)

// maxDatabaseName is the longest database name that an agent-check may send, in bytes.
const maxDatabaseName = 256

// Agent returns the handler of an agent-check connection: it sends one line and closes the connection.
func (t *Responder) Agent(conn *tcp.Conn) tcp.Handler { return &agentConn{responder: t, conn: conn} }

// agentConn is one agent-check connection. A client that sends the name of a database (HAProxy's agent-send) is sent the
// state of that database.
type agentConn struct {
	responder *Responder
	conn      *tcp.Conn

	mu       sync.Mutex
	received []byte // towards the name of a database
	done     bool   // the reply has been sent, or the connection is closed
	timer    *time.Timer
}

// Opened replies at once, or after the time in which the client may name a database.
func (a *agentConn) Opened() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.responder.Wait <= 0 {
		a.reply("")
		return
	}
	a.timer = time.AfterFunc(a.responder.Wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.reply(strings.TrimSpace(string(a.received)))
	})
}

// reply sends the line on a database, or on the aggregator if the name is empty, unless the reply was sent before. It is
// called with the lock held.
func (a *agentConn) reply(database string) {
	if a.done {
		return
	}
	a.done = true
	a.responder.count.agent.Add(1)
	line := agentReport(a.responder.Report(), database).Line()
	a.conn.Write([]byte(line), nil)
	a.conn.CloseGracefully()
}

// Data reads the name of a database, up to the end of its line.
func (a *agentConn) Data(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.responder.Wait <= 0 {
		return
	}
	a.received = append(a.received, b[:min(len(b), maxDatabaseName+1)]...)
	if line, _, complete := strings.Cut(string(a.received), "\n"); complete || len(a.received) > maxDatabaseName {
		a.reply(strings.TrimSpace(line))
	}
}

// Closed stops the timer; nothing is sent any more.
func (a *agentConn) Closed(error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
