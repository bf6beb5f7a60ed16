// Package http1 parses and prints HTTP/1.1 messages. It does no I/O: bytes go in, messages come out.
package http1

import (
	"fmt"
	"strconv"
	"strings"
)

// Limits of what is parsed.
const (
	MaxHead   = 16 << 10 // bytes of a start line and its fields
	MaxFields = 100
	MaxBody   = 64 << 10 // bytes; a Parser may have another limit
)

// Error says why a message is rejected. What follows the message in its stream cannot be parsed.
type Error struct {
	Status int // of the response to it
	Reason string
}

// Error returns the status and the reason.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// StatusError is the error of a response whose status is not one that the caller asked for.
type StatusError int

// Error returns the status.
func (e StatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

func reject(status int, format string, args ...any) *Error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Header holds fields by their names in lower case. The values of a field that came more than once are joined by commas.
type Header map[string]string

// Get returns a field's value, empty if it is absent. The name may be in any case.
func (h Header) Get(name string) string { return h[strings.ToLower(name)] }

// hasToken returns whether a token is in the list that is a field's value. The name is in lower case.
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
	Close          bool // the sender closes the connection after it, or wants it closed
}

// parseStartLine parses the first line, and returns whether the sender speaks HTTP/1.0.
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

// parseFields parses the lines behind the first one.
func (m *Message) parseFields(lines []string) error {
	if len(lines) > MaxFields {
		return reject(431, "over %d fields", MaxFields)
	}
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

// truncate shortens a peer's text for an error.
func truncate(s string) string {
	const maxLength = 60
	return s[:min(len(s), maxLength)]
}

// isToken returns whether s is a token of RFC 9110, as the names of methods and fields are.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}
