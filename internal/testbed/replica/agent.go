package replica

import (
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// AgentBehavior is how an agent answers an agent-check.
type AgentBehavior int

// The behaviors of agents.
const (
	Respond       AgentBehavior = iota // sends its line at once, reads nothing and closes
	RespondToSend                      // reads what the check sends first, then sends its line and closes
	Hang                               // accepts and sends nothing
	Drip                               // a byte a second, and never the end of a line
	Flood                              // a megabyte without the end of a line
	CloseAtOnce                        // closes without a byte
)

const (
	dripInterval = time.Second
	dripBytes    = 600
)

// Agent is a stand-in of the server side of agent-checks. Its methods are safe for concurrent use.
type Agent struct {
	ln          net.Listener
	mu          sync.Mutex
	line        string
	behavior    AgentBehavior
	received    []string // what checks sent to RespondToSend
	announcedAt time.Time
	done        chan struct{}
	once        sync.Once
}

// NewAgent starts an agent that responds with line, on a port of its own.
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

// Addr is where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close ends it: connections are refused from then on. It may be called more than once.
func (a *Agent) Close() {
	a.once.Do(func() {
		close(a.done)
		_ = a.ln.Close() // nothing is lost with it
	})
}

// Set changes the agent's line and behavior.
func (a *Agent) Set(line string, behavior AgentBehavior) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.line, a.behavior, a.announcedAt = line, behavior, time.Time{}
}

// AnnouncedAt is when the present line was first sent; zero if it was not.
func (a *Agent) AnnouncedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcedAt
}

// Received is what checks sent before the agent responded, with the behavior RespondToSend.
func (a *Agent) Received() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.received)
}

// answer answers one check. The other side may close at any moment, so that errors of writing have no meaning here.
func (a *Agent) answer(c net.Conn) {
	defer func() { _ = c.Close() }() // the connection is over either way
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

// receive reads what the check sends first. It waits for that, however late it comes: an agent that answered and closed
// before would reset the connection under the check's bytes.
func (a *Agent) receive(c net.Conn) {
	sent := make([]byte, 256)
	n, err := c.Read(sent)
	if err != nil {
		return // the check has closed
	}
	a.mu.Lock()
	a.received = append(a.received, string(sent[:n]))
	a.mu.Unlock()
}

// respond sends the line.
func (a *Agent) respond(c net.Conn, line string) {
	_, _ = io.WriteString(c, line+"\n")
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announcedAt.IsZero() && a.line == line {
		a.announcedAt = time.Now()
	}
}

// waitForClose reads until the other side closes, or the agent does.
func (a *Agent) waitForClose(c net.Conn) {
	go func() {
		<-a.done
		_ = c.Close() // ends the copy below
	}()
	_, _ = io.Copy(io.Discard, c) // until the connection ends, in whatever way
}
