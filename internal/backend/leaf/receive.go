package leaf

import (
	"fmt"
	"time"

	"rooktrestle/internal/aggregator"
)

// frameReader parses what comes on a connection and posts it to the loop. It is a tcp.Handler.
type frameReader struct {
	conn    *conn
	mailbox aggregator.Poster
	parser  Parser
	partial bool // as last posted
	failed  bool // what came cannot be parsed: whatever follows is dropped
}

// Data takes the bytes of one read.
func (r *frameReader) Data(b []byte) {
	if r.failed {
		return
	}
	r.parser.Feed(b)
	m := framesReceived{conn: r.conn}
	for {
		f, ok, err := r.parser.Next()
		if err != nil {
			r.failed = true
			m.err = err
		}
		if !ok {
			break
		}
		m.frames = append(m.frames, f)
	}
	m.partial = r.parser.Partial()
	if len(m.frames) > 0 || r.failed || m.partial && !r.partial {
		r.mailbox.Put(m)
	}
	r.partial = m.partial
}

// Closed takes the end of the connection.
func (r *frameReader) Closed(err error) { r.mailbox.Put(connectionClosed{conn: r.conn, err: err}) }

// handleFrames takes what one read of a connection brought.
func (p *Pool) handleFrames(now time.Time, m framesReceived) {
	c := m.conn
	for _, f := range m.frames {
		if c.isClosed() {
			return
		}
		c.lastReceived = now
		c.unresponsive = false
		c.partialSince = time.Time{}
		if err := p.handleFrame(now, c, f); err != nil {
			p.closeCorrupt(c, err)
		}
	}
	switch {
	case c.isClosed():
	case m.err != nil:
		p.closeCorrupt(c, m.err)
	case m.partial && len(c.streams) == 0 && !c.awaitsProbe():
		p.closeCorrupt(c, errUnexpectedBytes)
	case m.partial:
		c.partialSince = now
	case c.draining && len(c.streams) == 0:
		p.closeConn(c, errExcessAnswer)
	}
}

// handleFrame takes one frame. An error says that the connection cannot be used any more.
func (p *Pool) handleFrame(now time.Time, c *conn, f Frame) error {
	switch f.Type {
	case frameAnswer:
		return p.handleAnswer(now, c, f.Payload)
	case frameLoad, frameProbe:
		return p.handleProbeAnswer(now, c, string(f.Payload))
	default:
		return fmt.Errorf("the server could not use a frame: %.80q", f.Payload)
	}
}

// handleAnswer ends the attempt that an answer is for.
func (p *Pool) handleAnswer(now time.Time, c *conn, payload []byte) error {
	ans, err := parseAnswer(payload)
	if err != nil {
		return err
	}
	c.lastUsed = now
	a := c.streams[ans.name]
	if a == nil {
		return p.handleUnexpectedAnswer(c, ans.name)
	}
	c.lastAnswered = ans.name
	ended := aggregator.AttemptEnded{Report: ans.report}
	switch ans.status {
	case statusServed:
		ended.Score = ans.score
		ended.Value = ans.value
	case statusError:
		ended.Err = &aggregator.AttemptError{Progress: aggregator.Answered}
	case statusBusy:
		ended.Err = &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true}
	}
	p.end(a, ended)
	return nil
}

// handleUnexpectedAnswer takes an answer for a part that is not in flight on the connection. If the attempt was canceled,
// the answer is late. A second copy of the last answer does no harm, but the connection is not used any more. Any other
// answer belongs to a part that will never get its own.
func (p *Pool) handleUnexpectedAnswer(c *conn, name string) error {
	if _, canceled := c.canceledAt[name]; canceled {
		p.Stats.LateAnswers++
		delete(c.canceledAt, name)
		p.emit(aggregator.LateAnswer{Server: c.host.id})
		return nil
	}
	if name == c.lastAnswered {
		c.draining = true
		return nil
	}
	return fmt.Errorf("an answer for %.80q, which is not in flight", name)
}
