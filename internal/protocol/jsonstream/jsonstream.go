// Package jsonstream splits a stream of bytes into the JSON objects in it, however they are laid out over lines and in
// whatever pieces the bytes come. It does no I/O.
package jsonstream

import "fmt"

// Framer splits one stream. The zero value takes objects of any size. It is not safe for concurrent use.
type Framer struct {
	MaxBytes int // limit of an object in bytes; 0: not limited

	buf     []byte // received and not returned yet
	scanned int    // bytes of buf that were looked at
	depth   int    // brackets that are open after them
	quoted  bool   // they end within a string
	escaped bool   // they end with the backslash of an escape
	err     error  // the stream is broken
}

// Feed adds bytes to the stream. They are copied.
func (f *Framer) Feed(b []byte) { f.buf = append(f.buf, b...) }

// Inside returns whether an object has begun and is not complete, as far as Next has looked.
func (f *Framer) Inside() bool { return f.depth > 0 }

// Next returns the next complete object, nil if more bytes are needed. The bytes are the caller's. They may not be valid
// JSON, as only the end of the object is searched for. An error means that something other than an object begins, or that
// an object is too long; all further calls return it, too.
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
				return nil, f.fail(fmt.Errorf("%q where an object should begin", c))
			}
		}
		f.scan(c)
		// Guards memory against an object that does not end.
		if f.MaxBytes > 0 && f.scanned > f.MaxBytes {
			return nil, f.fail(fmt.Errorf("an object over %d bytes", f.MaxBytes))
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

// scan follows the strings and brackets by one byte of an object.
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

// isSpace returns whether char is white space of JSON.
func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\r' || char == '\n' }

// fail breaks the stream and returns the error.
func (f *Framer) fail(err error) error {
	f.err = err
	f.buf = nil
	f.scanned = 0
	f.depth = 0
	return err
}
