// Package ber is the laboratory's own BER and Z39.50: what stand-ins of targets and origins need, after the public
// specification (Z39.50-2003, ISO 23950). It shares no code with the program, so that a mistake in that is not made
// twice.
package ber

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// TLV is a value. Class 2 is context-specific.
type TLV struct {
	Class, Tag int
	Cons       bool
	Body       []byte
	Kids       []TLV
}

// maxLength of a value that is read.
const maxLength = 1 << 20

// Kid is the first context-specific kid of a tag; its Tag is -1 if there is none.
func (v TLV) Kid(tag int) TLV {
	for _, k := range v.Kids {
		if k.Class == 2 && k.Tag == tag {
			return k
		}
	}
	return TLV{Tag: -1}
}

// Num reads the body as a number.
func (v TLV) Num() (n int) {
	for _, b := range v.Body {
		n = n<<8 | int(b)
	}
	return n
}

// Read reads one value with all its kids.
func Read(r *bufio.Reader) (v TLV, err error) {
	first, err := r.ReadByte()
	if err != nil {
		return v, err
	}
	v.Class, v.Cons, v.Tag = int(first>>6), first&0x20 != 0, int(first&0x1f)
	if v.Tag == 0x1f {
		v.Tag = 0
		for b := byte(0x80); b&0x80 != 0; {
			if b, err = r.ReadByte(); err != nil {
				return v, err
			}
			v.Tag = v.Tag<<7 | int(b&0x7f)
		}
	}
	size, err := r.ReadByte()
	if err != nil {
		return v, err
	}
	n := int(size)
	if size&0x80 != 0 {
		n = 0
		for range size & 0x7f {
			b, err := r.ReadByte()
			if err != nil {
				return v, err
			}
			n = n<<8 | int(b)
		}
	}
	if n < 0 || n > maxLength {
		return v, errors.New("ber: too long")
	}
	v.Body = make([]byte, n)
	if _, err = io.ReadFull(r, v.Body); err != nil || !v.Cons {
		return v, err
	}
	for in := bufio.NewReader(strings.NewReader(string(v.Body))); ; {
		k, err := Read(in)
		if err == io.EOF {
			return v, nil
		}
		if err != nil {
			return v, err
		}
		v.Kids = append(v.Kids, k)
	}
}

// put words a value: a context tag if it is not negative, else the universal tag of that number.
func put(tag int, cons bool, body string) string {
	first := byte(0x80)
	if tag < 0 {
		first, tag = 0, -tag
	}
	if cons {
		first |= 0x20
	}
	out := ""
	switch {
	case tag < 0x1f:
		out = string([]byte{first | byte(tag)})
	case tag < 0x80:
		out = string([]byte{first | 0x1f, byte(tag)})
	default:
		out = string([]byte{first | 0x1f, 0x80 | byte(tag>>7), byte(tag & 0x7f)})
	}
	if len(body) < 0x80 {
		return out + string([]byte{byte(len(body))}) + body
	}
	return out + string([]byte{0x82, byte(len(body) >> 8), byte(len(body))}) + body
}

// Group words a constructed value, Leaf a primitive one, Number a number of 15 bits.
func Group(tag int, parts ...string) string { return put(tag, true, strings.Join(parts, "")) }

// Leaf words a primitive value.
func Leaf(tag int, body string) string { return put(tag, false, body) }

// Number words a number of 15 bits.
func Number(tag, n int) string { return put(tag, false, string([]byte{byte(n >> 8 & 0x7f), byte(n)})) }

// Object identifiers, as their bytes.
const (
	Bib1   = "\x2a\x86\x48\xce\x13\x03\x01"         // 1.2.840.10003.3.1
	Diag   = "\x2a\x86\x48\xce\x13\x04\x01"         // 1.2.840.10003.4.1
	XML    = "\x2a\x86\x48\xce\x13\x05\x6d\x0a"     // 1.2.840.10003.5.109.10
	Update = "\x2a\x86\x48\xce\x13\x09\x05\x01\x01" // 1.2.840.10003.9.5.1.1
	MARC   = "\x2a\x86\x48\xce\x13\x05\x0a"         // 1.2.840.10003.5.10
)

// Words of a Type-1 query, in prefix notation.
func Words(v TLV) string {
	switch {
	case v.Tag == 0 && v.Kids[0].Tag == 31:
		return "set:" + string(v.Kids[0].Body)
	case v.Tag == 0:
		text := ""
		for _, a := range v.Kids[0].Kid(44).Kids {
			text += fmt.Sprintf("@%d=%d ", a.Kid(120).Num(), a.Kid(121).Num())
		}
		return text + string(v.Kids[0].Kid(45).Body)
	}
	return fmt.Sprintf("(%s %s %s)", []string{"and", "or", "not"}[v.Kids[2].Kids[0].Tag], Words(v.Kids[0]), Words(v.Kids[1]))
}

// InitUnit is an Init request of version 3, signed on as user if that is not empty.
func InitUnit(user string) string {
	auth := ""
	if user != "" {
		auth = Group(7, Leaf(-26, user))
	}
	return Group(20, Leaf(3, "\x05\xe0"), Leaf(4, "\x00\xe2\x06"), Number(5, 30000), Number(6, 30000), auth)
}

// Term is an operand of a query, by a Bib-1 use attribute.
func Term(use int, text string) string {
	return Group(0, Group(102, Group(44, Group(-16, Number(120, 1), Number(121, use))), Leaf(45, text)))
}

// SetOf is a result set as an operand.
func SetOf(name string) string { return Group(0, Leaf(31, name)) }

// Both joins two operands: 0 and, 1 or, 2 not.
func Both(op int, l, r string) string { return Group(1, l, r, Group(46, Leaf(op, ""))) }

// SearchUnit is a search of a database into a result set.
func SearchUnit(set, base, rpn string) string {
	return Group(22, Leaf(2, "r-"+set), Number(13, 0), Number(14, 1), Number(15, 0), Leaf(16, "\xff"), Leaf(17, set),
		Group(18, Leaf(105, base)), Group(21, Group(1, Leaf(-6, Bib1), rpn)))
}

// PresentUnit asks for n records of a set from start on.
func PresentUnit(set string, start, n int) string {
	return Group(24, Leaf(31, set), Number(30, start), Number(29, n), Leaf(104, XML))
}

// UpdateUnit changes a record of the database captions.
func UpdateUnit(id string) string {
	record := Group(4, Group(-8, Leaf(-6, XML), Leaf(1, "<line/>")))
	es := Group(1, Group(1, Number(1, 2), Leaf(2, "captions")), Group(2, Group(-16, Group(1, Leaf(2, id)), record)))
	return Group(46, Leaf(2, "u"), Number(3, 1), Leaf(4, Update), Group(10, Leaf(-6, Update), Group(0, es)), Number(11, 1))
}

// Condition is the diagnostic of a response; 0 if it has none.
func Condition(v TLV) int {
	for _, d := range []TLV{v.Kid(130), {Kids: v.Kid(4).Kids}} {
		if d.Tag == 130 {
			return d.Kids[1].Num()
		}
		if len(d.Kids) > 0 && len(d.Kids[0].Kids) > 1 {
			return d.Kids[0].Kids[1].Num()
		}
	}
	return 0
}
