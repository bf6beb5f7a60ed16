// Package z3950 words and reads Z39.50 version 3: BER and the protocol's units.
package z3950

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Class of a tag.
type Class byte

const (
	Universal Class = 0
	Context   Class = 2
)

// Universal tags used here.
const (
	tagBoolean  = 1
	tagInteger  = 2
	tagBits     = 3
	tagOctets   = 4
	tagNull     = 5
	tagOID      = 6
	tagExternal = 8
	TagSequence = 16
	TagVisible  = 26
	tagGeneral  = 27
)

const (
	MaxPDU   = 1 << 20
	maxDepth = 48
	maxNodes = 20000
)

// Node is a BER value: a primitive's bytes, or the values inside.
type Node struct {
	Class Class
	Tag   int
	Cons  bool
	Bytes []byte
	Kids  []*Node
}

var ErrMore = errors.New("z3950: more bytes are needed")

// Decode reads one value from the front of b. It returns errMore if b ends too soon.
func Decode(b []byte) (n *Node, rest []byte, err error) {
	left := maxNodes
	return decode(b, 0, &left)
}

func decode(b []byte, depth int, left *int) (*Node, []byte, error) {
	if depth > maxDepth {
		return nil, nil, fmt.Errorf("z3950: nested over %d deep", maxDepth)
	}
	if *left--; *left < 0 {
		return nil, nil, fmt.Errorf("z3950: over %d values", maxNodes)
	}
	if len(b) < 2 {
		return nil, nil, ErrMore
	}
	n := &Node{Class: Class(b[0] >> 6), Cons: b[0]&0x20 != 0, Tag: int(b[0] & 0x1f)}
	b = b[1:]
	if n.Tag == 0x1f {
		n.Tag = 0
		for i := 0; ; i++ {
			if i == 4 {
				return nil, nil, errors.New("z3950: a tag too long")
			}
			if i >= len(b) {
				return nil, nil, ErrMore
			}
			n.Tag = n.Tag<<7 | int(b[i]&0x7f)
			if b[i]&0x80 == 0 {
				b = b[i+1:]
				break
			}
		}
	}
	if len(b) == 0 {
		return nil, nil, ErrMore
	}
	size, more := int(b[0]), 0
	b = b[1:]
	if size == 0x80 {
		if !n.Cons {
			return nil, nil, errors.New("z3950: a primitive without a length")
		}
		for {
			if len(b) >= 2 && b[0] == 0 && b[1] == 0 {
				return n, b[2:], nil
			}
			kid, rest, err := decode(b, depth+1, left)
			if err != nil {
				return nil, nil, err
			}
			n.Kids, b = append(n.Kids, kid), rest
		}
	}
	if size&0x80 != 0 {
		if more = size & 0x7f; more > 4 {
			return nil, nil, errors.New("z3950: a length too long")
		}
		if len(b) < more {
			return nil, nil, ErrMore
		}
		size = 0
		for _, c := range b[:more] {
			size = size<<8 | int(c)
		}
		b = b[more:]
	}
	if size > MaxPDU {
		return nil, nil, fmt.Errorf("z3950: a value of %d bytes", size)
	}
	if len(b) < size {
		return nil, nil, ErrMore
	}
	in, rest := b[:size], b[size:]
	if !n.Cons {
		n.Bytes = append([]byte(nil), in...)
		return n, rest, nil
	}
	for len(in) > 0 {
		kid, after, err := decode(in, depth+1, left)
		if err == ErrMore {
			err = errors.New("z3950: a value is longer than what holds it")
		}
		if err != nil {
			return nil, nil, err
		}
		n.Kids, in = append(n.Kids, kid), after
	}
	return n, rest, nil
}

// Encode appends a value in definite lengths.
func (n *Node) Encode(b []byte) []byte {
	first := byte(n.Class) << 6
	body := n.Bytes
	if n.Cons {
		first |= 0x20
		body = nil
		for _, k := range n.Kids {
			body = k.Encode(body)
		}
	}
	if n.Tag < 0x1f {
		b = append(b, first|byte(n.Tag))
	} else {
		b = append(b, first|0x1f)
		for shift := 21; shift >= 0; shift -= 7 {
			if part := n.Tag >> shift; part != 0 || shift == 0 {
				c := byte(part & 0x7f)
				if shift > 0 {
					c |= 0x80
				}
				b = append(b, c)
			}
		}
	}
	switch size := len(body); {
	case size < 0x80:
		b = append(b, byte(size))
	case size < 1<<8:
		b = append(b, 0x81, byte(size))
	case size < 1<<16:
		b = append(b, 0x82, byte(size>>8), byte(size))
	default:
		b = append(b, 0x84, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	}
	return append(b, body...)
}

// is says whether a value has a context tag.
func (n *Node) is(tag int) bool { return n.Class == Context && n.Tag == tag }

// kid returns the value inside that has a context tag, or nil. It may be called on nil.
func (n *Node) Kid(tag int) *Node {
	if n == nil {
		return nil
	}
	for _, k := range n.Kids {
		if k.is(tag) {
			return k
		}
	}
	return nil
}

// only returns the one value inside an explicit tag, or nil.
func (n *Node) Only() *Node {
	if n == nil || len(n.Kids) != 1 {
		return nil
	}
	return n.Kids[0]
}

// text reads octets, in pieces if they were sent so.
func (n *Node) Text() string {
	if n == nil {
		return ""
	}
	if !n.Cons {
		return string(n.Bytes)
	}
	var b strings.Builder
	for _, k := range n.Kids {
		b.WriteString(k.Text())
	}
	return b.String()
}

func (n *Node) integer() (int, bool) {
	if n == nil || n.Cons || len(n.Bytes) == 0 || len(n.Bytes) > 8 {
		return 0, false
	}
	v := int64(int8(n.Bytes[0]))
	for _, c := range n.Bytes[1:] {
		v = v<<8 | int64(c)
	}
	return int(v), true
}

func (n *Node) IntOr(other int) int {
	if v, ok := n.integer(); ok {
		return v
	}
	return other
}

func (n *Node) Truth() bool { return n != nil && len(n.Bytes) == 1 && n.Bytes[0] != 0 }

func (n *Node) Oid() string {
	if n == nil || n.Cons || len(n.Bytes) == 0 {
		return ""
	}
	var b strings.Builder
	v, first := 0, true
	for _, c := range n.Bytes {
		if v = v<<7 | int(c&0x7f); v > 1<<28 {
			return ""
		}
		if c&0x80 != 0 {
			continue
		}
		if first {
			top := min(v/40, 2)
			fmt.Fprintf(&b, "%d.%d", top, v-40*top)
			first = false
		} else {
			fmt.Fprintf(&b, ".%d", v)
		}
		v = 0
	}
	return b.String()
}

// Builders of values.

func cons(class Class, tag int, kids ...*Node) *Node {
	n := &Node{Class: class, Tag: tag, Cons: true}
	for _, k := range kids {
		if k != nil {
			n.Kids = append(n.Kids, k)
		}
	}
	return n
}

func Ctx(tag int, kids ...*Node) *Node { return cons(Context, tag, kids...) }

func seq(kids ...*Node) *Node { return cons(Universal, TagSequence, kids...) }

func prim(class Class, tag int, b []byte) *Node { return &Node{Class: class, Tag: tag, Bytes: b} }

func Str(tag int, s string) *Node { return prim(Context, tag, []byte(s)) }

func intBytes(v int) []byte {
	b := []byte{byte(v)}
	for rest := v >> 7; rest != 0 && rest != -1; rest >>= 8 {
		b = append([]byte{byte(v >> (8 * len(b)))}, b...)
	}
	return b
}

func Num(tag, v int) *Node { return prim(Context, tag, intBytes(v)) }

func Boolean(tag int, v bool) *Node {
	b := byte(0)
	if v {
		b = 0xff
	}
	return prim(Context, tag, []byte{b})
}

func oidBytes(dotted string) []byte {
	var b []byte
	parts := strings.Split(dotted, ".")
	first := 0
	for i, p := range parts {
		v, _ := strconv.Atoi(p)
		if i == 0 {
			first = v
			continue
		}
		if i == 1 {
			v += first * 40
		}
		var piece []byte
		for shift := 28; shift >= 0; shift -= 7 {
			if c := v >> shift; c != 0 || shift == 0 {
				d := byte(c & 0x7f)
				if shift > 0 {
					d |= 0x80
				}
				piece = append(piece, d)
			}
		}
		b = append(b, piece...)
	}
	return b
}

func Oid(class Class, tag int, dotted string) *Node { return prim(class, tag, oidBytes(dotted)) }

func itoa(v int) string { return strconv.Itoa(v) }
