// Package http1 parses and formats HTTP/1.1 messages. It does no I/O.
package http1

import (
	"fmt"
	"strconv"
	"strings"
)

// Limits of the parser.
const (
	MaxHead   = 16 << 10 // bytes of the start line and the header fields
	MaxFields = 100      // header fields of a message
	MaxBody   = 64 << 10 // bytes; default of Parser.MaxBody
)

// Error is the reason why a message is rejected. The remainder of its stream cannot be parsed.
type Error struct {
	Status int // HTTP status of the response to the message
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// StatusError is the error for a response with an unexpected status.
type StatusError int

// Error implements error.
func (e StatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// reject returns the Error for a message that is rejected with a status.
func reject(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Header contains header fields, keyed by lower-case name. The values of a repeated field are joined by commas.
type Header map[string]string

// Get returns a field's value, empty if the field is absent. The name is case-insensitive.
func (h Header) Get(name string) string { return h[strings.ToLower(name)] }

// hasToken reports whether a field's value, a comma-separated list, contains a token. The name must be in lower case.
func (h Header) hasToken(name, token string) bool {
	for _, element := range strings.Split(h[name], ",") {
		if strings.EqualFold(strings.TrimSpace(element), token) {
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
	Close          bool // the connection is to be closed after the message
}

// fieldOverhead is the memory that a header field takes beyond its text, in bytes.
const fieldOverhead = 64

// MemorySize returns the approximate number of bytes of memory that the message takes.
func (m *Message) MemorySize() int {
	size := len(m.Method) + len(m.Target) + cap(m.Body)
	for name, value := range m.Header {
		size += len(name) + len(value) + fieldOverhead
	}
	return size
}

// parseStartLine parses the request line or the status line, and returns whether the version is HTTP/1.0.
func (m *Message) parseStartLine(line string, response bool) (http10 bool, err error) {
	var version string
	if response {
		version, err = m.parseStatusLine(line)
	} else {
		version, err = m.parseRequestLine(line)
	}
	if err != nil {
		return false, err
	}
	switch version {
	case "HTTP/1.1":
		return false, nil
	case "HTTP/1.0":
		return true, nil
	}
	if strings.HasPrefix(version, "HTTP/") {
		return false, reject(505, "version %q", truncate(version))
	}
	return false, reject(400, "first line %q", truncate(line))
}

func (m *Message) parseStatusLine(line string) (version string, err error) {
	version, rest, ok := strings.Cut(line, " ")
	if ok {
		code, _, _ := strings.Cut(rest, " ")
		m.Status, err = strconv.Atoi(code)
	}
	if !ok || err != nil || m.Status < 100 || m.Status > 999 {
		return "", reject(400, "status line %q", truncate(line))
	}
	return version, nil
}

func (m *Message) parseRequestLine(line string) (version string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return "", reject(400, "request line %q", truncate(line))
	}
	m.Method = parts[0]
	m.Target = parts[1]
	return parts[2], nil
}

// parseFields parses the header field lines, which follow the start line.
func (m *Message) parseFields(lines []string) error {
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return reject(400, "field %q", truncate(line))
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\x00\r\n") {
			return reject(400, "field %s", name)
		}
		if previous, repeated := m.Header[name]; repeated {
			value = previous + "," + value
		}
		m.Header[name] = value
	}
	return nil
}

// truncate shortens a peer's text for an error message.
func truncate(s string) string {
	const maxLength = 60
	return s[:min(len(s), maxLength)]
}

// isToken reports whether s is a token by RFC 9110, as method and field names must be.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
