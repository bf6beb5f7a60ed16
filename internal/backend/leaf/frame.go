package leaf

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"rooktrestle/internal/aggregator"
)

// The types of frames.
const (
	frameCall    = '1' // to a server: one or more parts
	frameCancel  = '2' // to a server: the name of a part whose attempt is canceled
	frameProbe   = '3' // either direction: a probe, and its answer
	frameLoad    = '4' // either direction: a probe for the server's load, and its answer
	frameAnswer  = '5' // from a server: the answer to one part
	frameInvalid = 'X' // from a server: it rejected a frame as invalid
)

// Sizes of the fields of a frame's prefix, in bytes.
const (
	lengthLen = 4 // number of bytes that follow it, big-endian
	typeLen   = 1
)

const (
	// maxFrameLen is the longest frame accepted from a leaf server; an answer's line and value are far shorter. Guards
	// memory and the other parts on the connection against a corrupt length, whose announced bytes never arrive.
	maxFrameLen = 4 << 10
	// maxAnswerLineLen is the longest first line of an answer.
	maxAnswerLineLen = 1 << 10
	// valueLen is the length of a part's value, in hexadecimal digits.
	valueLen = 16
)

// Frame is one message of the leaf protocol: a type, and a payload whose format depends on the type.
type Frame struct {
	Type    byte
	Payload []byte
}

// AppendFrame appends a frame to b and returns the extended slice.
func AppendFrame(b []byte, frameType byte, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)+typeLen))
	return append(append(b, frameType), payload...)
}

// Parser decodes frames from a stream of bytes that is fed in pieces of any size. The zero value is ready for use.
type Parser struct {
	buf []byte
	err error
}

// Feed appends a copy of b to the bytes that Next decodes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Partial reports whether a frame has begun and is not complete.
func (p *Parser) Partial() bool { return len(p.buf) > 0 }

// Next returns the next complete frame; ok is false if more bytes are needed. The caller owns the payload. An error reports
// that the stream is corrupt, and is returned by all further calls.
func (p *Parser) Next() (f Frame, ok bool, err error) {
	if p.err == nil {
		p.err = checkPrefix(p.buf)
	}
	if p.err != nil {
		p.buf = nil
		return f, false, p.err
	}
	if len(p.buf) < lengthLen {
		return f, false, nil
	}
	n := binary.BigEndian.Uint32(p.buf)
	if uint32(len(p.buf)-lengthLen) < n {
		return f, false, nil
	}
	end := lengthLen + n
	f = Frame{Type: p.buf[lengthLen], Payload: append([]byte(nil), p.buf[lengthLen+typeLen:end]...)}
	p.buf = p.buf[end:]
	if len(p.buf) == 0 {
		p.buf = nil
	}
	return f, true, nil
}

// checkPrefix returns an error for an invalid beginning of a frame, as soon as the bytes received show it. Guards against
// corrupt answers: waiting for the end of one would block everything else in flight on the connection.
func checkPrefix(prefix []byte) error {
	for i, highest := range []byte{0, 0, maxFrameLen >> 8} {
		if i < len(prefix) && prefix[i] > highest {
			return fmt.Errorf("frame length begins with bytes % x, the longest frame is %d bytes", prefix[:i+1], maxFrameLen)
		}
	}
	if len(prefix) < lengthLen {
		return nil
	}
	n := int(binary.BigEndian.Uint32(prefix))
	if n < typeLen || n > maxFrameLen {
		return fmt.Errorf("frame length is %d, want %d to %d", n, typeLen, maxFrameLen)
	}
	body := prefix[lengthLen:min(len(prefix), lengthLen+n)]
	if len(body) == 0 {
		return nil
	}
	switch body[0] {
	case frameProbe, frameLoad, frameInvalid:
		return nil
	case frameAnswer:
		return checkAnswerPrefix(body, n)
	default:
		return fmt.Errorf("unknown frame type %q", body[0])
	}
}

// checkAnswerPrefix is checkPrefix for an answer frame. body is what was received of its type and payload, which have n
// bytes together.
func checkAnswerPrefix(body []byte, n int) error {
	end := bytes.IndexByte(body, '\n')
	switch {
	case end < 0 && (len(body) == n || len(body) > maxAnswerLineLen), end > maxAnswerLineLen:
		return fmt.Errorf("answer's first line has no end or over %d bytes: %.80q", maxAnswerLineLen, body)
	case end < 0:
		return nil
	}
	a, err := parseAnswerLine(string(body[typeLen:end]))
	if size := n - end - 1; err == nil && a.status == statusServed && size != valueLen {
		err = fmt.Errorf("answer value of %d bytes, want %d", size, valueLen)
	}
	return err
}

// sendableFrame returns the frame of one call as of now; nil if any of its attempts has expired or was abandoned. The core
// decides whether the parts of the other attempts are sent again.
func sendableFrame(now time.Time, attempts []aggregator.OutgoingAttempt) []byte {
	for _, attempt := range attempts {
		if attempt.Expired(now) || attempt.Abandoned != nil && attempt.Abandoned(now) {
			return nil
		}
	}
	return callFrame(now, attempts)
}

// estimatedCallSize returns the approximate length of a call's frame.
func estimatedCallSize(attempts []aggregator.OutgoingAttempt) int {
	const optionsSize = 32
	size := 0
	for _, attempt := range attempts {
		size += len(attempt.Name) + len(attempt.IdempotencyKey) + len(attempt.Payload) + optionsSize
	}
	return size
}

// callFrame returns the frame of one call.
func callFrame(now time.Time, attempts []aggregator.OutgoingAttempt) []byte {
	var payload []byte
	for _, attempt := range attempts {
		payload = fmt.Appendf(payload, "%s %d %s %d\n",
			attempt.Name, attempt.Shard, callOptions(now, attempt), len(attempt.Payload))
		payload = append(payload, attempt.Payload...)
	}
	return AppendFrame(nil, frameCall, payload)
}

// callOptions returns the options of a part: the time to its deadline in milliseconds, at least 1, in a keyed class its
// query's idempotency key, and, for a follow-up, the shards that answered the first step and whether the first step was
// complete.
func callOptions(now time.Time, attempt aggregator.OutgoingAttempt) string {
	options := fmt.Sprintf("d=%d", max(1, attempt.Deadline.Sub(now).Milliseconds()))
	if attempt.IdempotencyKey != "" {
		options += ",k=" + attempt.IdempotencyKey
	}
	if !attempt.FollowUp {
		return options
	}
	shards := make([]string, len(attempt.FirstStepShards))
	for i, shard := range attempt.FirstStepShards {
		shards[i] = strconv.Itoa(shard)
	}
	complete := 0
	if attempt.FirstStepComplete {
		complete = 1
	}
	return options + fmt.Sprintf(",from=%s,whole=%d", strings.Join(shards, "+"), complete)
}
