package replica

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// AgentBehavior is how an agent behaves.
type AgentBehavior int

const (
	Respond     AgentBehavior = iota // its line, then it closes
	Hang                             // accepts and says nothing
	Drip                             // a byte a second, and never the end of a line
	Flood                            // a megabyte without the end of a line
	CloseAtOnce                      // closes at once
)

// Agent is a stand-in of an agent-check's other side.
type Agent struct {
	ln    net.Listener
	mu    sync.Mutex
	line  string
	how   AgentBehavior
	asked chan struct{}
	heard []string // what was sent to it
	told  time.Time
	done  chan struct{}
	once  sync.Once
}

// NewAgent starts an agent that says line.
func NewAgent(line string) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{ln: ln, line: line, asked: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go a.answer(c)
		}
	}()
	return a, nil
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Close ends it: connections are refused from then on.
func (a *Agent) Close() {
	a.once.Do(func() {
		close(a.done)
		a.ln.Close()
	})
}

// Set changes what it says and how.
func (a *Agent) Set(line string, how AgentBehavior) {
	a.mu.Lock()
	a.line, a.how, a.told = line, how, time.Time{}
	a.mu.Unlock()
}

// AnnouncedAt is when the present line was first said; zero if it was not.
func (a *Agent) AnnouncedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.told
}

// Received is what was sent to it before it spoke.
func (a *Agent) Received() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.heard...)
}

func (a *Agent) answer(c net.Conn) {
	defer c.Close()
	a.mu.Lock()
	line, how := a.line, a.how
	a.mu.Unlock()
	switch how {
	case Hang:
		a.wait(c)
	case Drip:
		for range 600 {
			if _, err := io.WriteString(c, "u"); err != nil {
				return
			}
			select {
			case <-time.After(time.Second):
			case <-a.done:
				return
			}
		}
	case Flood:
		io.WriteString(c, strings.Repeat("up ", 350_000))
		a.wait(c)
	case CloseAtOnce:
	default:
		c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		sent := make([]byte, 256)
		if n, _ := c.Read(sent); n > 0 {
			a.mu.Lock()
			a.heard = append(a.heard, string(sent[:n]))
			a.mu.Unlock()
		}
		io.WriteString(c, line+"\n")
		a.mu.Lock()
		if a.told.IsZero() && a.line == line {
			a.told = time.Now()
		}
		a.mu.Unlock()
	}
}

// wait reads until the other side leaves, or the end.
func (a *Agent) wait(c net.Conn) {
	go func() { <-a.done; c.Close() }()
	io.Copy(io.Discard, c)
}
