// Package jsonstream cuts a stream of bytes into the JSON objects that stand in it one after another, however each is
// laid out over lines and however the bytes are cut up on the way. It does no I/O.
package jsonstream

import "fmt"

// Framer holds what has come and was not taken yet. The zero value reads objects of any size.
type Framer struct {
	Most int // bytes of one object, at most; 0: not limited

	buf     []byte
	scanned int  // bytes of buf that were looked at
	depth   int  // brackets open there
	quoted  bool // within a string
	escaped bool // behind a backslash in one
	err     error
}

// Feed adds bytes.
func (f *Framer) Feed(b []byte) { f.buf = append(f.buf, b...) }

// Inside says whether an object has begun and is not whole, as far as Next has looked.
func (f *Framer) Inside() bool { return f.depth > 0 }

// Next returns the next whole object, or nil if more bytes are needed. It is the caller's to parse: only its end is known.
// After an error it fails for good.
func (f *Framer) Next() ([]byte, error) {
	if f.err != nil {
		return nil, f.err
	}
	for f.scanned < len(f.buf) {
		c := f.buf[f.scanned]
		if f.depth == 0 {
			switch c {
			case ' ', '\t', '\r', '\n':
				f.buf = f.buf[1:]
				continue
			case '{':
			default:
				return nil, f.fail(fmt.Errorf("%q where an object should begin", c))
			}
		}
		f.scanned++
		switch {
		case f.escaped:
			f.escaped = false
		case f.quoted:
			f.escaped, f.quoted = c == '\\', c != '"'
		case c == '"':
			f.quoted = true
		case c == '{' || c == '[':
			f.depth++
		case c == '}' || c == ']':
			f.depth--
		}
		// Guards memory against an object that does not end.
		if f.Most > 0 && f.scanned > f.Most {
			return nil, f.fail(fmt.Errorf("an object over %d bytes", f.Most))
		}
		if f.depth == 0 {
			object := f.buf[:f.scanned:f.scanned]
			f.buf, f.scanned = f.buf[f.scanned:], 0
			return object, nil
		}
	}
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return nil, nil
}

func (f *Framer) fail(err error) error {
	f.err, f.buf, f.scanned, f.depth = err, nil, 0, 0
	return err
}
