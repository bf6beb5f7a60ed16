package replica

import (
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// AgentBehavior selects how an agent answers an agent-check.
type AgentBehavior int

// The behaviors of agents.
const (
	Respond       AgentBehavior = iota // sends its line at once, reads nothing and closes
	RespondToSend                      // reads what the check sends first, then sends its line and closes
	Hang                               // accepts and sends nothing
	Drip                               // sends a byte per second, and never the end of a line
	Flood                              // sends a megabyte without the end of a line
	CloseAtOnce                        // closes without sending anything
)

const (
	dripInterval = time.Second
	dripBytes    = 600
)

// Agent is a stand-in for the server side of agent-checks. Its methods are safe for concurrent use.
type Agent struct {
	ln          net.Listener
	mu          sync.Mutex
	line        string
	behavior    AgentBehavior
	received    []string // what checks sent, with RespondToSend
	announcedAt time.Time
	done        chan struct{}
	once        sync.Once
}

// NewAgent starts an agent that responds with line, on a free port of loopback.
func NewAgent(line string) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{ln: ln, line: line, done: make(chan struct{})}
	go a.accept()
	return a, nil
}

// accept serves connections until the listener closes.
func (a *Agent) accept() {
	for {
		c, err := a.ln.Accept()
		if err != nil {
			return
		}
		go a.answer(c)
	}
}

// Addr returns the address of the listener.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close stops the agent: further connections are refused. It may be called more than once.
func (a *Agent) Close() {
	a.once.Do(func() {
		close(a.done)
		_ = a.ln.Close() // no connection depends on it
	})
}

// Set changes the agent's line and behavior.
func (a *Agent) Set(line string, behavior AgentBehavior) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.line, a.behavior, a.announcedAt = line, behavior, time.Time{}
}

// AnnouncedAt returns when the current line was first sent, or the zero time if it was not sent yet.
func (a *Agent) AnnouncedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcedAt
}

// Received returns what checks sent before the agent responded, with the behavior RespondToSend.
func (a *Agent) Received() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.received)
}

// answer answers one check. The other side may close the connection at any time, so write errors are ignored.
func (a *Agent) answer(c net.Conn) {
	defer func() { _ = c.Close() }() // the connection is closed or broken in any case
	a.mu.Lock()
	line, behavior := a.line, a.behavior
	a.mu.Unlock()
	switch behavior {
	case Hang:
		a.waitForClose(c)
	case Drip:
		a.drip(c)
	case Flood:
		_, _ = io.WriteString(c, strings.Repeat("up ", 350_000))
		a.waitForClose(c)
	case CloseAtOnce:
	case RespondToSend:
		a.receive(c)
		a.respond(c, line)
	default:
		a.respond(c, line)
	}
}

func (a *Agent) drip(c net.Conn) {
	for range dripBytes {
		if _, err := io.WriteString(c, "u"); err != nil {
			return
		}
		select {
		case <-time.After(dripInterval):
		case <-a.done:
			return
		}
	}
}

// receive reads what the check sends first. It waits without a timeout: closing the connection before the check's bytes
// have been read would reset it.
func (a *Agent) receive(c net.Conn) {
	sent := make([]byte, 256)
	n, err := c.Read(sent)
	if err != nil {
		return // the check has closed the connection
	}
	a.mu.Lock()
	a.received = append(a.received, string(sent[:n]))
	a.mu.Unlock()
}

// respond sends the line, and records when it was first sent.
func (a *Agent) respond(c net.Conn, line string) {
	_, _ = io.WriteString(c, line+"\n")
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announcedAt.IsZero() && a.line == line {
		a.announcedAt = time.Now()
	}
}

// waitForClose reads until the other side closes the connection or the agent is closed.
func (a *Agent) waitForClose(c net.Conn) {
	go func() {
		<-a.done
		_ = c.Close() // ends the copy below
	}()
	_, _ = io.Copy(io.Discard, c) // until the connection is closed or broken
}
