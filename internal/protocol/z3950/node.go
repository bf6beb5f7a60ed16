package z3950

import (
	"fmt"
	"strconv"
	"strings"
)

// Class is the class of a tag.
type Class byte

// Classes of tags.
const (
	Universal Class = 0 // ASN.1 types
	Context   Class = 2 // context-specific: fields of the enclosing value
)

// Universal tags.
const (
	tagInteger  = 2
	tagOID      = 6
	tagExternal = 8
	TagSequence = 16
	TagVisible  = 26 // VisibleString
	tagGeneral  = 27 // GeneralString
)

// Node is a BER value. A nil Node is an absent value, on which Child, OnlyChild, Text, IntOr, Bool, Bit and OID may be
// called.
type Node struct {
	Class         Class
	Tag           int
	IsConstructed bool    // the value consists of values, not of bytes
	Bytes         []byte  // of a primitive value
	Children      []*Node // of a constructed value
}

// hasTag reports whether a value has a context tag.
func (n *Node) hasTag(tag int) bool { return n.Class == Context && n.Tag == tag }

// Child returns the first child with a context tag, nil if there is none.
func (n *Node) Child(tag int) *Node {
	if n == nil {
		return nil
	}
	for _, child := range n.Children {
		if child.hasTag(tag) {
			return child
		}
	}
	return nil
}

// OnlyChild returns the only child, such as the value inside an explicit tag; nil if there is not exactly one.
func (n *Node) OnlyChild() *Node {
	if n == nil || len(n.Children) != 1 {
		return nil
	}
	return n.Children[0]
}

// Text returns the octets of a string, which may have been sent in segments; empty if the value is absent.
func (n *Node) Text() string {
	if n == nil {
		return ""
	}
	if !n.IsConstructed {
		return string(n.Bytes)
	}
	var text strings.Builder
	for _, segment := range n.Children {
		text.WriteString(segment.Text())
	}
	return text.String()
}

// integer returns the value of an INTEGER of up to 64 bits; ok is false if the node is not one.
func (n *Node) integer() (value int, ok bool) {
	if n == nil || n.IsConstructed || len(n.Bytes) == 0 || len(n.Bytes) > 8 {
		return 0, false
	}
	v := int64(int8(n.Bytes[0]))
	for _, octet := range n.Bytes[1:] {
		v = v<<8 | int64(octet)
	}
	return int(v), true
}

// IntOr returns the value of an INTEGER, or fallback if it is absent or not an INTEGER of up to 64 bits.
func (n *Node) IntOr(fallback int) int {
	if v, ok := n.integer(); ok {
		return v
	}
	return fallback
}

// Bool returns the value of a BOOLEAN, false if it is absent.
func (n *Node) Bool() bool { return n != nil && len(n.Bytes) == 1 && n.Bytes[0] != 0 }

// Bit returns bit i of a BIT STRING, false if the string is shorter or absent.
func (n *Node) Bit(i int) bool {
	return n != nil && len(n.Bytes) > 1+i/8 && n.Bytes[1+i/8]&(0x80>>(i%8)) != 0
}

// maxOIDNumber is the maximum of each number in an object identifier.
const maxOIDNumber = 1 << 28

// OID returns an OBJECT IDENTIFIER in dotted form, empty if it is absent or malformed.
func (n *Node) OID() string {
	if n == nil || n.IsConstructed || len(n.Bytes) == 0 {
		return ""
	}
	var dotted strings.Builder
	number := 0
	first := true
	for _, octet := range n.Bytes {
		if number = number<<7 | int(octet&^moreBit); number > maxOIDNumber {
			return ""
		}
		if octet&moreBit != 0 {
			continue
		}
		if first {
			top := min(number/40, 2) // the first two numbers are encoded as one
			fmt.Fprintf(&dotted, "%d.%d", top, number-40*top)
			first = false
		} else {
			fmt.Fprintf(&dotted, ".%d", number)
		}
		number = 0
	}
	return dotted.String()
}

// constructed returns a constructed value. Children that are nil are left out.
func constructed(class Class, tag int, children ...*Node) *Node {
	n := &Node{Class: class, Tag: tag, IsConstructed: true}
	for _, child := range children {
		if child != nil {
			n.Children = append(n.Children, child)
		}
	}
	return n
}

// primitive returns a primitive value.
func primitive(class Class, tag int, b []byte) *Node { return &Node{Class: class, Tag: tag, Bytes: b} }

// sequence returns a SEQUENCE.
func sequence(children ...*Node) *Node { return constructed(Universal, TagSequence, children...) }

// Constructed returns a constructed value with a context tag. Children that are nil are left out.
func Constructed(tag int, children ...*Node) *Node { return constructed(Context, tag, children...) }

// String returns a string with a context tag.
func String(tag int, s string) *Node { return primitive(Context, tag, []byte(s)) }

// Integer returns an INTEGER with a context tag.
func Integer(tag, v int) *Node { return primitive(Context, tag, encodeInteger(v)) }

// Boolean returns a BOOLEAN with a context tag.
func Boolean(tag int, v bool) *Node {
	octet := byte(0)
	if v {
		octet = 0xff
	}
	return primitive(Context, tag, []byte{octet})
}

// BitString returns a BIT STRING of 16 bits with a context tag. set lists the bits that are set, from 0 to 15.
func BitString(tag int, set ...int) *Node {
	b := []byte{0, 0, 0} // number of unused bits in the last octet, then the 16 bits
	for _, i := range set {
		b[1+i/8] |= 0x80 >> (i % 8)
	}
	return primitive(Context, tag, b)
}

// OID returns an OBJECT IDENTIFIER with a tag, from its dotted form.
func OID(class Class, tag int, dotted string) *Node { return primitive(class, tag, encodeOID(dotted)) }

// encodeInteger encodes an INTEGER in the minimum number of octets.
func encodeInteger(v int) []byte {
	b := []byte{byte(v)}
	for rest := v >> 7; rest != 0 && rest != -1; rest >>= 8 {
		b = append([]byte{byte(v >> (8 * len(b)))}, b...)
	}
	return b
}

// encodeOID encodes an object identifier. dotted must be well-formed; callers pass constants of this package.
func encodeOID(dotted string) []byte {
	const maxOctets = 5 // per number
	var b []byte
	top := 0
	for i, part := range strings.Split(dotted, ".") {
		number, _ := strconv.Atoi(part) // digits only
		switch i {
		case 0:
			top = number
			continue
		case 1:
			number += top * 40 // the first two numbers are encoded as one
		}
		b = appendBase128(b, number, maxOctets)
	}
	return b
}

// appendBase128 appends a number in base 128, with seven bits per octet and at most maxOctets octets.
func appendBase128(b []byte, number, maxOctets int) []byte {
	for shift := 7 * (maxOctets - 1); shift >= 0; shift -= 7 {
		part := number >> shift
		if part == 0 && shift > 0 {
			continue
		}
		octet := byte(part) &^ moreBit
		if shift > 0 {
			octet |= moreBit
		}
		b = append(b, octet)
	}
	return b
}

// nodeBytes is the memory in bytes of a value without content.
const nodeBytes = 96

// MemorySize returns the approximate number of bytes of memory that the value takes, with all values inside.
func (n *Node) MemorySize() int {
	size := nodeBytes + cap(n.Bytes)
	for _, child := range n.Children {
		size += child.MemorySize()
	}
	return size
}
