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
	Universal Class = 0 // types of ASN.1
	Context   Class = 2 // fields of the value around
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

// Node is a BER value. Its methods that read it may be called on nil, which is an absent value.
type Node struct {
	Class Class
	Tag   int
	Cons  bool    // constructed: it consists of values
	Bytes []byte  // of a primitive value
	Kids  []*Node // of a constructed value
}

// is returns whether a value has a context tag.
func (n *Node) is(tag int) bool { return n.Class == Context && n.Tag == tag }

// Kid returns the first value inside with a context tag, nil if there is none.
func (n *Node) Kid(tag int) *Node {
	if n == nil {
		return nil
	}
	for _, kid := range n.Kids {
		if kid.is(tag) {
			return kid
		}
	}
	return nil
}

// Only returns the value inside an explicit tag, nil if there is not exactly one.
func (n *Node) Only() *Node {
	if n == nil || len(n.Kids) != 1 {
		return nil
	}
	return n.Kids[0]
}

// Text returns the octets of a string, which may have been sent in segments; empty if the value is absent.
func (n *Node) Text() string {
	if n == nil {
		return ""
	}
	if !n.Cons {
		return string(n.Bytes)
	}
	var text strings.Builder
	for _, segment := range n.Kids {
		text.WriteString(segment.Text())
	}
	return text.String()
}

// integer returns the value of an INTEGER of up to 64 bits; ok is false if it is none.
func (n *Node) integer() (value int, ok bool) {
	if n == nil || n.Cons || len(n.Bytes) == 0 || len(n.Bytes) > 8 {
		return 0, false
	}
	v := int64(int8(n.Bytes[0]))
	for _, octet := range n.Bytes[1:] {
		v = v<<8 | int64(octet)
	}
	return int(v), true
}

// IntOr returns the value of an INTEGER, or other if it is absent or no INTEGER of up to 64 bits.
func (n *Node) IntOr(other int) int {
	if v, ok := n.integer(); ok {
		return v
	}
	return other
}

// Truth returns the value of a BOOLEAN, false if it is absent.
func (n *Node) Truth() bool { return n != nil && len(n.Bytes) == 1 && n.Bytes[0] != 0 }

// Bit returns a bit of a BIT STRING, false if it is not in it.
func (n *Node) Bit(i int) bool {
	return n != nil && len(n.Bytes) > 1+i/8 && n.Bytes[1+i/8]&(0x80>>(i%8)) != 0
}

// maxOIDNumber is the highest number in an object identifier.
const maxOIDNumber = 1 << 28

// Oid returns an OBJECT IDENTIFIER in dotted form, empty if it is absent or malformed.
func (n *Node) Oid() string {
	if n == nil || n.Cons || len(n.Bytes) == 0 {
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

// constructed returns a constructed value. Kids that are nil are left out.
func constructed(class Class, tag int, kids ...*Node) *Node {
	n := &Node{Class: class, Tag: tag, Cons: true}
	for _, kid := range kids {
		if kid != nil {
			n.Kids = append(n.Kids, kid)
		}
	}
	return n
}

// primitive returns a primitive value.
func primitive(class Class, tag int, b []byte) *Node { return &Node{Class: class, Tag: tag, Bytes: b} }

// sequence returns a SEQUENCE.
func sequence(kids ...*Node) *Node { return constructed(Universal, TagSequence, kids...) }

// Ctx returns a constructed value with a context tag. Kids that are nil are left out.
func Ctx(tag int, kids ...*Node) *Node { return constructed(Context, tag, kids...) }

// Str returns a string with a context tag.
func Str(tag int, s string) *Node { return primitive(Context, tag, []byte(s)) }

// Num returns an INTEGER with a context tag.
func Num(tag, v int) *Node { return primitive(Context, tag, integerBytes(v)) }

// Boolean returns a BOOLEAN with a context tag.
func Boolean(tag int, v bool) *Node {
	octet := byte(0)
	if v {
		octet = 0xff
	}
	return primitive(Context, tag, []byte{octet})
}

// Bits returns a BIT STRING of 16 bits with a context tag, in which the bits of set, 0 to 15, are set.
func Bits(tag int, set ...int) *Node {
	b := []byte{0, 0, 0} // unused bits in the last octet, and the octets
	for _, i := range set {
		b[1+i/8] |= 0x80 >> (i % 8)
	}
	return primitive(Context, tag, b)
}

// Oid returns an OBJECT IDENTIFIER, which is given in dotted form.
func Oid(class Class, tag int, dotted string) *Node { return primitive(class, tag, oidBytes(dotted)) }

// integerBytes encodes an INTEGER in as few octets as it needs.
func integerBytes(v int) []byte {
	b := []byte{byte(v)}
	for rest := v >> 7; rest != 0 && rest != -1; rest >>= 8 {
		b = append([]byte{byte(v >> (8 * len(b)))}, b...)
	}
	return b
}

// oidBytes encodes an object identifier. The dotted form is a constant of this package and well formed.
func oidBytes(dotted string) []byte {
	const maxOctets = 5 // of a number
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
		b = appendSevenBits(b, number, maxOctets)
	}
	return b
}

// appendSevenBits appends a number in seven bits an octet, at most so many octets.
func appendSevenBits(b []byte, number, maxOctets int) []byte {
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
