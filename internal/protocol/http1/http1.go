// Package http1 reads and prints HTTP/1.1 messages. It does no I/O: bytes go in, messages come out.
package http1

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Limits of what is read.
const (
	MaxHead   = 16 << 10
	MaxFields = 100
	MaxBody   = 64 << 10
)

// Error says what is wrong with a message and which status answers it. The framing is lost after it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func bad(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Header holds fields by their names in lower case. Fields given more than once are joined by commas.
type Header map[string]string

// Get returns a field's value, empty if it is absent.
func (h Header) Get(name string) string { return h[strings.ToLower(name)] }

func (h Header) has(name, token string) bool {
	for _, t := range strings.Split(h[name], ",") {
		if strings.EqualFold(strings.TrimSpace(t), token) {
			return true
		}
	}
	return false
}

// Message is a request or a response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Header         Header
	Body           []byte
	Close          bool // the sender wants the connection closed after it
}

type stage int

const (
	inHead stage = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	untilClose
	broken
)

// Parser reads messages out of a stream of bytes, however it is cut up.
type Parser struct {
	Responses bool               // read responses, not requests
	Head      func(*Message)     // if set, called with each head as soon as it is in
	Stream    func([]byte) error // if set, takes the body's bytes as they come; Body stays empty
	MaxBody   int                // 0: MaxBody of the package
	buf       []byte
	at        stage
	msg       *Message
	left      int // of the body or chunk
	err       error
}

// Buffered is the number of bytes held that no message has taken yet.
func (p *Parser) Buffered() int { return len(p.buf) }

// Begun says whether a message has begun and is not whole.
func (p *Parser) Begun() bool { return p.at != inHead || len(p.buf) > 0 }

// WantsContinue says whether the message being read awaits 100 Continue.
func (p *Parser) WantsContinue() bool {
	return p.at != inHead && p.at != broken && p.msg != nil && p.msg.Header.has("expect", "100-continue")
}

// Feed adds bytes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next whole message, or nil if more bytes are needed. After an error it fails for good.
func (p *Parser) Next() (*Message, error) {
	if p.err != nil {
		return nil, p.err
	}
	for {
		done, more, err := p.step()
		if err != nil {
			p.err, p.at, p.buf = err, broken, nil
			return nil, err
		}
		if done {
			m := p.msg
			p.msg, p.at = nil, inHead
			return m, nil
		}
		if !more {
			return nil, nil
		}
	}
}

// End tells that the stream has ended. It returns a response whose body lasts until then, if there is one.
func (p *Parser) End() *Message {
	if p.at != untilClose || p.err != nil {
		return nil
	}
	m := p.msg
	p.msg, p.at = nil, broken
	return m
}

func (p *Parser) step() (done, more bool, err error) {
	switch p.at {
	case inHead:
		return p.head()
	case inBody, inChunk, untilClose:
		n := len(p.buf)
		if p.at != untilClose {
			n = min(n, p.left)
		}
		if n > 0 {
			if err := p.body(p.buf[:n]); err != nil {
				return false, false, err
			}
			p.take(n)
			p.left -= n
		}
		if p.left > 0 || p.at == untilClose {
			return false, false, nil
		}
		if p.at == inBody {
			return true, false, nil
		}
		p.at = inChunkEnd
		return false, true, nil
	}
	line, ok, err := p.line()
	if err != nil || !ok {
		return false, false, err
	}
	switch p.at {
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		size = strings.TrimSpace(size)
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil {
			return false, false, bad(400, "chunk size %q", size)
		}
		if p.left = int(n); n == 0 {
			p.at = inTrailer
		} else {
			p.at = inChunk
		}
	case inChunkEnd:
		if line != "" {
			return false, false, bad(400, "chunk does not end where it should")
		}
		p.at = inChunkSize
	case inTrailer:
		if line == "" {
			return true, false, nil
		}
	}
	return false, true, nil
}

func (p *Parser) take(n int) {
	p.buf = p.buf[n:]
	if len(p.buf) == 0 {
		p.buf = nil
	}
}

func (p *Parser) body(b []byte) error {
	if p.Stream != nil {
		return p.Stream(b)
	}
	if len(p.msg.Body)+len(b) > p.maxBody() {
		return bad(413, "body over %d bytes", p.maxBody())
	}
	p.msg.Body = append(p.msg.Body, b...)
	return nil
}

func (p *Parser) maxBody() int {
	if p.MaxBody > 0 {
		return p.MaxBody
	}
	return MaxBody
}

// line takes a short line, as between chunks.
func (p *Parser) line() (string, bool, error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 && len(p.buf) > 1024 || i > 1024 {
		return "", false, bad(400, "line over 1024 bytes between chunks")
	}
	if i < 0 {
		return "", false, nil
	}
	line := strings.TrimSuffix(string(p.buf[:i]), "\r")
	p.take(i + 1)
	return line, true, nil
}

func (p *Parser) head() (done, more bool, err error) {
	for len(p.buf) > 0 && (p.buf[0] == '\r' || p.buf[0] == '\n') { // empty lines before a message are allowed
		p.take(1)
	}
	end := bytes.Index(p.buf, []byte("\r\n\r\n"))
	if end < 0 && len(p.buf) > MaxHead || end > MaxHead {
		return false, false, bad(431, "head over %d bytes", MaxHead)
	}
	if end < 0 {
		return false, false, nil
	}
	lines := strings.Split(string(p.buf[:end]), "\r\n")
	p.take(end + 4)
	m := &Message{Header: Header{}}
	old, err := m.start(lines[0], p.Responses)
	if err != nil {
		return false, false, err
	}
	if len(lines)-1 > MaxFields {
		return false, false, bad(431, "over %d fields", MaxFields)
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) {
			return false, false, bad(400, "field %q", short(line))
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\x00\r\n") {
			return false, false, bad(400, "field %s", name)
		}
		if before, twice := m.Header[name]; twice {
			value = before + "," + value
		}
		m.Header[name] = value
	}
	m.Close = m.Header.has("connection", "close") || old && !m.Header.has("connection", "keep-alive")
	if err := p.framing(m); err != nil {
		return false, false, err
	}
	p.msg = m
	if p.Head != nil {
		p.Head(m)
	}
	return p.at == inBody && p.left == 0, true, nil
}

// framing decides how the body is told. A message that tells it in two ways may be read in two ways, and
// what follows it would be taken for another request.
func (p *Parser) framing(m *Message) error {
	length, stated := m.Header["content-length"]
	coding, coded := m.Header["transfer-encoding"]
	p.left = 0
	switch {
	case coded && stated:
		return bad(400, "both a length and a transfer coding")
	case coded && !strings.EqualFold(coding, "chunked"):
		return bad(501, "transfer coding %q", short(coding))
	case coded:
		p.at = inChunkSize
	case stated:
		n, err := strconv.ParseUint(length, 10, 62)
		if err != nil {
			return bad(400, "length %q", short(length))
		}
		if n > uint64(p.maxBody()) && p.Stream == nil {
			return bad(413, "body over %d bytes", p.maxBody())
		}
		p.at, p.left = inBody, int(n)
	case p.Responses && m.Status != 204 && m.Status != 304 && m.Status >= 200:
		p.at, m.Close = untilClose, true
	default:
		p.at = inBody
	}
	return nil
}

// start reads the first line and says whether the sender speaks an older version.
func (m *Message) start(line string, response bool) (old bool, err error) {
	version := ""
	if response {
		rest, ok := "", false
		if version, rest, ok = strings.Cut(line, " "); ok {
			code, _, _ := strings.Cut(rest, " ")
			m.Status, err = strconv.Atoi(code)
		}
		if !ok || err != nil || m.Status < 100 || m.Status > 999 {
			return false, bad(400, "status line %q", short(line))
		}
	} else {
		f := strings.Split(line, " ")
		if len(f) != 3 || !token(f[0]) || f[1] == "" {
			return false, bad(400, "request line %q", short(line))
		}
		m.Method, m.Target, version = f[0], f[1], f[2]
	}
	switch version {
	case "HTTP/1.1":
		return false, nil
	case "HTTP/1.0":
		return true, nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return false, bad(505, "version %q", short(version))
	}
	return false, bad(400, "first line %q", short(line))
}

func short(s string) string { return s[:min(len(s), 60)] }

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

var reasons = map[int]string{
	100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// Response prints a response. Fields are pairs of a name and a value.
func Response(status int, closing bool, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, reasons[status])
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// Request prints a request. Fields are pairs of a name and a value.
func Request(method, target, host string, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	if body != nil || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
