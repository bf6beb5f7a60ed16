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
func (r *frameReader) Data(data []byte) {
	if r.failed {
		return
	}
	r.parser.Feed(data)
	received := framesReceived{conn: r.conn}
	for {
		frame, ok, err := r.parser.Next()
		if err != nil {
			r.failed = true
			received.err = err
		}
		if !ok {
			break
		}
		received.frames = append(received.frames, frame)
	}
	received.partial = r.parser.Partial()
	if len(received.frames) > 0 || r.failed || received.partial && !r.partial {
		r.mailbox.Put(received)
	}
	r.partial = received.partial
}

// Closed takes the end of the connection.
func (r *frameReader) Closed(err error) { r.mailbox.Put(connectionClosed{conn: r.conn, err: err}) }

// handleFrames takes what one read of a connection brought.
func (p *Pool) handleFrames(now time.Time, received framesReceived) {
	conn := received.conn
	for _, frame := range received.frames {
		if conn.isClosed() {
			return
		}
		conn.lastReceived = now
		conn.unresponsive = false
		conn.partialSince = time.Time{}
		if err := p.handleFrame(now, conn, frame); err != nil {
			p.closeCorrupt(conn, err)
		}
	}
	switch {
	case conn.isClosed():
	case received.err != nil:
		p.closeCorrupt(conn, received.err)
	case received.partial && len(conn.streams) == 0 && !conn.awaitsProbe():
		p.closeCorrupt(conn, errUnexpectedBytes)
	case received.partial:
		conn.partialSince = now
	case conn.draining && len(conn.streams) == 0:
		p.closeConn(conn, errExcessAnswer)
	}
}

// handleFrame takes one frame. An error says that the connection cannot be used any more.
func (p *Pool) handleFrame(now time.Time, conn *conn, frame Frame) error {
	switch frame.Type {
	case frameAnswer:
		return p.handleAnswer(now, conn, frame.Payload)
	case frameLoad, frameProbe:
		return p.handleProbeAnswer(now, conn, string(frame.Payload))
	default:
		return fmt.Errorf("the server could not use a frame: %.80q", frame.Payload)
	}
}

// handleAnswer ends the attempt that an answer is for.
func (p *Pool) handleAnswer(now time.Time, conn *conn, payload []byte) error {
	answer, err := parseAnswer(payload)
	if err != nil {
		return err
	}
	conn.lastUsed = now
	attempt := conn.streams[answer.name]
	if attempt == nil {
		return p.handleUnexpectedAnswer(conn, answer.name)
	}
	conn.lastAnswered = answer.name
	ended := aggregator.AttemptEnded{Report: answer.report}
	switch answer.status {
	case statusServed:
		ended.Score = answer.score
		ended.Value = answer.value
	case statusError:
		ended.Err = &aggregator.AttemptError{Progress: aggregator.Answered}
	case statusBusy:
		ended.Err = &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true}
	}
	p.end(attempt, ended)
	return nil
}

// handleUnexpectedAnswer takes an answer for a part that is not in flight on the connection. If the attempt was canceled,
// the answer is late. A second copy of the last answer does no harm, but the connection is not used any more. Any other
// answer belongs to a part that will never get its own.
func (p *Pool) handleUnexpectedAnswer(conn *conn, name string) error {
	if _, canceled := conn.canceledAt[name]; canceled {
		p.Stats.LateAnswers++
		delete(conn.canceledAt, name)
		p.emit(aggregator.LateAnswer{Server: conn.host.id})
		return nil
	}
	if name == conn.lastAnswered {
		conn.draining = true
		return nil
	}
	return fmt.Errorf("an answer for %.80q, which is not in flight", name)
}
