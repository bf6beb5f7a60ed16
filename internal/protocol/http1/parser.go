package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkLine is the longest line between chunks, and the longest field of a trailer, in bytes.
const maxChunkLine = 1024

// stage is the part of a message that comes next.
type stage int

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilClose // a body that lasts until the end of the stream
	broken     // nothing can be parsed any more
)

// progress is the result of a step of the parser.
type progress int

const (
	needBytes progress = iota
	advanced           // another step may follow
	completed          // the message is complete
)

// Parser parses a stream of messages, in whatever pieces its bytes come. The zero value parses requests. It is not safe
// for concurrent use.
type Parser struct {
	Responses bool // the messages are responses, not requests

	// Head, if set, is called with each message as soon as its header is complete.
	Head func(*Message)

	// Stream, if set, is called with the bytes of bodies as they come; Message.Body stays empty. It must not retain them.
	Stream func([]byte) error

	// MaxBody is the limit of a body in bytes, if Stream is not set; 0: the package's MaxBody.
	MaxBody int

	buf       []byte
	stage     stage
	message   *Message // the one in progress; nil in its head
	remaining int      // bytes of the body or the chunk
	err       error    // the stream is broken
}

// Buffered returns the number of bytes that were fed and are not parsed yet.
func (p *Parser) Buffered() int { return len(p.buf) }

// Begun returns whether a message has begun and is not complete.
func (p *Parser) Begun() bool { return p.stage != inHead || len(p.buf) > 0 }

// ExpectsContinue returns whether the sender of the message in progress waits for 100 Continue.
func (p *Parser) ExpectsContinue() bool {
	if p.stage == inHead || p.stage == broken || p.message == nil {
		return false
	}
	return p.message.Header.hasToken("expect", "100-continue")
}

// Feed adds bytes to the stream. They are copied.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next complete message, nil if more bytes are needed. The message is the caller's. The error is an
// *Error, or that of Stream; all further calls return it, too.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	for {
		progress, err := p.step()
		if err != nil {
			p.err = err
			p.stage = broken
			p.buf = nil
			return nil, err
		}
		switch progress {
		case completed:
			message := p.message
			p.message = nil
			p.stage = inHead
			return message, nil
		case needBytes:
			return nil, nil
		}
	}
}

// End ends the stream. It returns the response whose body lasted until then, nil if there is none.
func (p *Parser) End() *Message {
	if p.stage != untilClose || p.err != nil {
		return nil
	}
	message := p.message
	p.message = nil
	p.stage = broken
	return message
}

// step parses the next part of a message.
func (p *Parser) step() (progress, error) {
	switch p.stage {
	case inHead:
		return p.parseHead()
	case inBody, inChunk, untilClose:
		return p.parseBody()
	}
	line, ok, err := p.takeLine()
	if err != nil || !ok {
		return needBytes, err
	}
	switch p.stage {
	case inChunkSize:
		if err := p.startChunk(line); err != nil {
			return needBytes, err
		}
	case inChunkEnd:
		if line != "" {
			return needBytes, reject(400, "chunk does not end where it should")
		}
		p.stage = inChunkSize
	case inTrailer:
		if line == "" {
			return completed, nil
		}
	}
	return advanced, nil
}

// parseBody takes what has come of a body or of a chunk.
func (p *Parser) parseBody() (progress, error) {
	n := len(p.buf)
	if p.stage != untilClose {
		n = min(n, p.remaining)
	}
	if n > 0 {
		if err := p.deliver(p.buf[:n]); err != nil {
			return needBytes, err
		}
		p.discard(n)
		p.remaining -= n
	}
	switch {
	case p.remaining > 0 || p.stage == untilClose:
		return needBytes, nil
	case p.stage == inBody:
		return completed, nil
	}
	p.stage = inChunkEnd
	return advanced, nil
}

// startChunk parses the line with the size of a chunk. A chunk of size zero is the last one.
func (p *Parser) startChunk(line string) error {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimSpace(size)
	n, err := strconv.ParseUint(size, 16, 31)
	if err != nil {
		return reject(400, "chunk size %q", size)
	}
	p.remaining = int(n)
	if n == 0 {
		p.stage = inTrailer
	} else {
		p.stage = inChunk
	}
	return nil
}

// discard drops parsed bytes, and the buffer if it is empty.
func (p *Parser) discard(n int) {
	p.buf = p.buf[n:]
	if len(p.buf) == 0 {
		p.buf = nil
	}
}

// deliver passes bytes of a body on.
func (p *Parser) deliver(b []byte) error {
	if p.Stream != nil {
		return p.Stream(b)
	}
	if len(p.message.Body)+len(b) > p.maxBody() {
		return reject(413, "body over %d bytes", p.maxBody())
	}
	p.message.Body = append(p.message.Body, b...)
	return nil
}

func (p *Parser) maxBody() int {
	if p.MaxBody > 0 {
		return p.MaxBody
	}
	return MaxBody
}

// takeLine takes a line between chunks or in a trailer; ok is false if it is not complete.
func (p *Parser) takeLine() (line string, ok bool, err error) {
	end := bytes.IndexByte(p.buf, '\n')
	if end < 0 && len(p.buf) > maxChunkLine || end > maxChunkLine {
		return "", false, reject(400, "line over %d bytes between chunks", maxChunkLine)
	}
	if end < 0 {
		return "", false, nil
	}
	line = strings.TrimSuffix(string(p.buf[:end]), "\r")
	p.discard(end + 1)
	return line, true, nil
}

// takeHead takes the lines of a message's head, nil if they are not complete.
func (p *Parser) takeHead() ([]string, error) {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') { // empty lines before a message are allowed
		p.discard(1)
	}
	const headEnd = "\r\n\r\n"
	end := bytes.Index(p.buf, []byte(headEnd))
	if end < 0 && len(p.buf) > MaxHead || end > MaxHead {
		return nil, reject(431, "head over %d bytes", MaxHead)
	}
	if end < 0 {
		return nil, nil
	}
	lines := strings.Split(string(p.buf[:end]), "\r\n")
	p.discard(end + len(headEnd))
	return lines, nil
}

// parseHead parses the start line and the fields, once they are complete.
func (p *Parser) parseHead() (progress, error) {
	lines, err := p.takeHead()
	if err != nil || lines == nil {
		return needBytes, err
	}
	message := &Message{Header: Header{}}
	http10, err := message.parseStartLine(lines[0], p.Responses)
	if err != nil {
		return needBytes, err
	}
	if err := message.parseFields(lines[1:]); err != nil {
		return needBytes, err
	}
	if http10 { // the connection ends with the message, unless the peer asks for it to be kept
		message.Close = !message.Header.hasToken("connection", "keep-alive")
	}
	if message.Header.hasToken("connection", "close") {
		message.Close = true
	}
	if err := p.startBody(message); err != nil {
		return needBytes, err
	}
	p.message = message
	if p.Head != nil {
		p.Head(message)
	}
	if p.stage == inBody && p.remaining == 0 {
		return completed, nil
	}
	return advanced, nil
}

// startBody determines how the length of the body is given. A message that gives it twice is rejected: another parser on
// the way may take the other one, and what follows for another request (request smuggling).
func (p *Parser) startBody(message *Message) error {
	length, hasLength := message.Header["content-length"]
	coding, hasCoding := message.Header["transfer-encoding"]
	p.remaining = 0
	switch {
	case hasCoding && hasLength:
		return reject(400, "both a length and a transfer coding")
	case hasCoding && !strings.EqualFold(coding, "chunked"):
		return reject(501, "transfer coding %q", truncate(coding))
	case hasCoding:
		p.stage = inChunkSize
	case hasLength:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return reject(400, "length %q", truncate(length))
		}
		if n > uint64(p.maxBody()) && p.Stream == nil {
			return reject(413, "body over %d bytes", p.maxBody())
		}
		p.stage = inBody
		p.remaining = int(n)
	case p.Responses && statusAllowsBody(message.Status):
		p.stage = untilClose
		message.Close = true
	default:
		p.stage = inBody
	}
	return nil
}

// statusAllowsBody returns whether a response with a status may have a body (RFC 9112, section 6.3).
func statusAllowsBody(status int) bool {
	return status >= 200 && status != 204 && status != 304
}
