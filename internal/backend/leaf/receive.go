package leaf

import (
	"fmt"
	"time"

	"rooktrestle/internal/aggregator"
)

// frameReader decodes the bytes received on a connection and posts the frames to the loop. It is a tcp.Handler.
type frameReader struct {
	conn    *conn
	mailbox aggregator.Poster
	parser  Parser
	partial bool // the frame at the end of the last read was incomplete
	failed  bool // the stream is corrupt: all further bytes are dropped
}

// Data handles the bytes of one read.
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

// Closed handles the close of the connection.
func (r *frameReader) Closed(err error) { r.mailbox.Put(connectionClosed{conn: r.conn, err: err}) }

// handleFrames handles the result of one read of a connection.
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
		p.closeConn(conn, errDuplicateAnswer)
	}
}

// handleFrame handles one frame. An error means that the connection must be closed.
func (p *Pool) handleFrame(now time.Time, conn *conn, frame Frame) error {
	switch frame.Type {
	case frameAnswer:
		return p.handleAnswer(now, conn, frame.Payload)
	case frameLoad, frameProbe:
		return p.handleProbeAnswer(now, conn, string(frame.Payload))
	default:
		return fmt.Errorf("the server rejected a frame as invalid: %.80q", frame.Payload)
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

// handleUnexpectedAnswer handles an answer for a part that is not in flight on the connection. If the attempt was canceled,
// it is a late answer. A duplicate of the last answer is harmless, but the connection accepts no new calls after it. Any
// other answer was probably meant for a part in flight, which would never be answered.
func (p *Pool) handleUnexpectedAnswer(conn *conn, name string) error {
	if _, canceled := conn.canceledAt[name]; canceled {
		p.Stats.LateAnswers++
		delete(conn.canceledAt, name)
		p.events.Emit(aggregator.LateAnswer{Server: conn.host.id})
		return nil
	}
	if name == conn.lastAnswered {
		conn.draining = true
		return nil
	}
	return fmt.Errorf("answer for part %.80q, which is not in flight on the connection", name)
}
