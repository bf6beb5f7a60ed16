// Package jsonstream splits a byte stream into JSON objects, independently of white space and of how the bytes are
// split into pieces. It does no I/O.
package jsonstream

import "fmt"

// Framer splits one stream. The zero value accepts objects of any size. It is not safe for concurrent use.
type Framer struct {
	MaxBytes int // maximum size of an object in bytes; 0: unlimited

	buf     []byte // received bytes that are not returned yet
	scanned int    // number of bytes of buf that were scanned
	depth   int    // nesting depth of brackets after the scanned bytes
	quoted  bool   // the scanned bytes end within a string
	escaped bool   // the scanned bytes end with the backslash of an escape
	err     error  // why the stream is broken; nil: it is not
}

// Feed appends bytes to the stream. They are copied.
func (f *Framer) Feed(b []byte) { f.buf = append(f.buf, b...) }

// Inside reports whether the bytes that Next has scanned end within an object.
func (f *Framer) Inside() bool { return f.depth > 0 }

// Next returns the next complete object, nil if more bytes are needed. The caller owns the bytes. They may be invalid
// JSON, as Next only searches for the end of the object. It returns an error if the next value is not an object or is
// over MaxBytes; all further calls return the same error.
func (f *Framer) Next() ([]byte, error) {
	if f.err != nil {
		return nil, f.err
	}
	for f.scanned < len(f.buf) {
		c := f.buf[f.scanned]
		if f.depth == 0 {
			if isSpace(c) {
				f.buf = f.buf[1:]
				continue
			}
			if c != '{' {
				return nil, f.fail(fmt.Errorf("JSON stream: %q instead of the { of an object", c))
			}
		}
		f.scan(c)
		// Bounds the memory of an object that does not end.
		if f.MaxBytes > 0 && f.scanned > f.MaxBytes {
			return nil, f.fail(fmt.Errorf("JSON stream: object over the limit of %d bytes", f.MaxBytes))
		}
		if f.depth == 0 {
			object := f.buf[:f.scanned:f.scanned]
			f.buf = f.buf[f.scanned:]
			f.scanned = 0
			return object, nil
		}
	}
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return nil, nil
}

// scan updates the string and bracket state by one byte of an object.
func (f *Framer) scan(char byte) {
	f.scanned++
	switch {
	case f.escaped:
		f.escaped = false
	case f.quoted:
		f.escaped = char == '\\'
		f.quoted = char != '"'
	case char == '"':
		f.quoted = true
	case char == '{' || char == '[':
		f.depth++
	case char == '}' || char == ']':
		f.depth--
	}
}

// isSpace reports whether char is JSON white space.
func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\r' || char == '\n' }

// fail marks the stream as broken by err and returns err.
func (f *Framer) fail(err error) error {
	f.err = err
	f.buf = nil
	f.scanned = 0
	f.depth = 0
	return err
}
