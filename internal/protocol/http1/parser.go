package http1

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

const (
	// maxChunkLine is the maximum length in bytes of a line between chunks and of a trailer field.
	maxChunkLine = 1024
	// compactBytes is how many parsed bytes a buffer may begin with before it is copied.
	compactBytes = 4 << 10
)

// stage is the part of a message that is parsed next.
type stage int

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilClose // a body that extends to the end of the stream
	broken     // the remainder of the stream cannot be parsed
)

// progress is the result of one parsing step.
type progress int

const (
	needBytes progress = iota
	advanced           // another step may follow
	completed          // the message is complete
)

// Parser is an incremental parser of a stream of messages. The zero value parses requests. It is not safe for
// concurrent use.
type Parser struct {
	Responses bool // the messages are responses, not requests

	// Head, if set, is called with each message as soon as its header is complete.
	Head func(*Message)

	// Stream, if set, is called with body bytes as they are parsed, and Message.Body stays empty. It must not retain
	// the slice. Its error breaks the stream.
	Stream func([]byte) error

	// MaxBody is the maximum length of a body in bytes if Stream is not set; 0: the package's MaxBody.
	MaxBody int

	buf       []byte
	parsed    int // bytes before buf in its array: they are parsed, and not released yet
	searched  int // bytes of buf in which the end of the head was not found
	stage     stage
	message   *Message // the message in progress; nil until its head is parsed
	remaining int      // unparsed bytes of the body or the chunk
	trailer   int      // bytes of the trailer so far
	err       error    // why the stream is broken; nil: it is not
}

// MemorySize returns the number of bytes of memory that the parser holds.
func (p *Parser) MemorySize() int {
	size := p.parsed + cap(p.buf)
	if p.message != nil {
		size += p.message.MemorySize()
	}
	return size
}

// Discard drops what was received of the next messages. The stream cannot be parsed any further.
func (p *Parser) Discard() {
	p.err = errDiscarded
	p.stage = broken
	p.message = nil
	p.setBuffer(nil)
}

// errDiscarded is the error of a parser after Discard.
var errDiscarded = errors.New("the input was discarded")

// Buffered returns the number of bytes that were fed but not parsed yet.
func (p *Parser) Buffered() int { return len(p.buf) }

// Begun reports whether a message was received in part.
func (p *Parser) Begun() bool { return p.stage != inHead || len(p.buf) > 0 }

// ExpectsContinue reports whether the sender of the message in progress expects 100 Continue before it sends the body.
func (p *Parser) ExpectsContinue() bool {
	if p.stage == inHead || p.stage == broken || p.message == nil {
		return false
	}
	return p.message.Header.hasToken("expect", "100-continue")
}

// Feed appends bytes to the stream. They are copied.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next complete message, nil if more bytes are needed. The caller owns the message. The error is an
// *Error or the error of Stream; all further calls return the same error.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	for {
		progress, err := p.step()
		if err != nil {
			p.err = err
			p.stage = broken
			p.message = nil
			p.setBuffer(nil)
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

// End handles the end of the stream. It returns the response whose body extends to the end of the stream, nil if there
// is none.
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
	line, ok, err := p.readLine()
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
		if p.trailer += len(line); p.trailer > MaxHead {
			return needBytes, reject(431, "trailer over %d bytes", MaxHead)
		}
	}
	return advanced, nil
}

// parseBody parses the buffered bytes of a body or of a chunk.
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

// startChunk parses a chunk-size line. Size zero marks the last chunk.
func (p *Parser) startChunk(line string) error {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimSpace(size)
	n, err := strconv.ParseUint(size, 16, 31)
	if err != nil {
		return reject(400, "chunk size %q", size)
	}
	p.remaining = int(n)
	switch {
	case n == 0:
		p.stage = inTrailer
		p.trailer = 0
	case p.Stream == nil && len(p.message.Body)+p.remaining > p.maxBody():
		return reject(413, "body over %d bytes", p.maxBody())
	default:
		p.stage = inChunk
	}
	return nil
}

// discard removes parsed bytes from the buffer, and releases the buffer if it is empty.
func (p *Parser) discard(n int) {
	p.buf = p.buf[n:]
	p.parsed += n
	p.searched = 0
	if len(p.buf) == 0 {
		p.setBuffer(nil)
	} else if p.parsed > max(compactBytes, len(p.buf)/2) {
		p.setBuffer(bytes.Clone(p.buf))
	}
}

// setBuffer replaces the buffer.
func (p *Parser) setBuffer(buf []byte) {
	p.buf = buf
	p.parsed = 0
	p.searched = 0
}

// deliver passes body bytes to Stream or appends them to the message.
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

// readLine reads a line between chunks or in a trailer; ok is false if it is not complete.
func (p *Parser) readLine() (line string, ok bool, err error) {
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

// readHead reads the lines of a message's head, nil if they are not complete.
func (p *Parser) readHead() ([]string, error) {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') { // empty lines before a message are ignored
		p.discard(1)
	}
	const lineEnd, headEnd = "\r\n", "\r\n\r\n"
	end := bytes.Index(p.buf[p.searched:], []byte(headEnd))
	if end >= 0 {
		end += p.searched
	}
	if end < 0 && len(p.buf) > MaxHead || end > MaxHead {
		return nil, reject(431, "head over %d bytes", MaxHead)
	}
	if end < 0 {
		p.searched = max(0, len(p.buf)-len(headEnd)+1) // the end may begin in the last bytes
		return nil, nil
	}
	head := p.buf[:end]
	if bytes.Count(head, []byte(lineEnd)) > MaxFields { // before they are split: they may be many and short
		return nil, reject(431, "over %d fields", MaxFields)
	}
	lines := strings.Split(string(head), lineEnd)
	p.discard(end + len(headEnd))
	return lines, nil
}

// parseHead parses the start line and the header fields once they are complete.
func (p *Parser) parseHead() (progress, error) {
	lines, err := p.readHead()
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
	if http10 { // the connection is closed after the message, unless the peer requests keep-alive
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

// startBody determines how the body is delimited. A message with both Content-Length and Transfer-Encoding is rejected:
// an intermediary might apply the other one and treat a part of the body as a separate request (request smuggling).
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

// statusAllowsBody reports whether a response with a status may have a body (RFC 9112, section 6.3).
func statusAllowsBody(status int) bool {
	return status >= 200 && status != 204 && status != 304
}
