package health

import (
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/net/tcp"
)

// maxDatabaseName is the longest database name that an agent-check may send, in bytes.
const maxDatabaseName = 256

// Agent returns the handler of an agent-check connection, which sends one line and closes the connection.
func (r *Responder) Agent(conn *tcp.Conn) tcp.Handler { return &agentConn{responder: r, conn: conn} }

// agentConn is one agent-check connection. A client that sends the name of a database (HAProxy's agent-send) receives
// the state of that database.
type agentConn struct {
	responder *Responder
	conn      *tcp.Conn

	mu       sync.Mutex
	received []byte // beginning of the line with the name of a database
	done     bool   // the reply has been sent, or the connection is closed
	timer    *time.Timer
}

// Opened replies at once if Responder.Wait is 0, else after Wait unless the name of a database has arrived before.
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

// reply sends the line for a database, or for the aggregator if the name is empty, unless a reply was sent already. The
// caller must hold the lock.
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

// Data reads the name of a database, up to the end of the line, and replies.
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

// Closed stops the timer. No reply is sent after it.
func (a *agentConn) Closed(error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
