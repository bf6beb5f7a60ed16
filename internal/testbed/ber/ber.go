// Package ber is the testbed's own BER and Z39.50: what stand-ins of targets and origins need, after the public
// specification (Z39.50-2003, ISO 23950). It shares no code with the program, so that a mistake in it is not made twice.
package ber

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// TLV is one value.
type TLV struct {
	Class, Tag  int
	Constructed bool
	Body        []byte
	Children    []TLV
}

// maxLength bounds a value that is read, in bytes.
const maxLength = 1 << 20

// Child is the first child with a context-specific tag; its Tag is -1 if there is none.
func (v TLV) Child(tag int) TLV {
	for _, k := range v.Children {
		if k.Class == 2 && k.Tag == tag {
			return k
		}
	}
	return TLV{Tag: -1}
}

// Int reads the body as an unsigned number.
func (v TLV) Int() (n int) {
	for _, b := range v.Body {
		n = n<<8 | int(b)
	}
	return n
}

// Read reads one value with all its children. The error is io.EOF if there is none.
func Read(r *bufio.Reader) (v TLV, err error) {
	first, err := r.ReadByte()
	if err != nil {
		return v, err
	}
	v.Class, v.Constructed, v.Tag = int(first>>6), first&0x20 != 0, int(first&0x1f)
	if v.Tag == 0x1f {
		if v.Tag, err = readLongTag(r); err != nil {
			return v, err
		}
	}
	length, err := readLength(r)
	if err != nil {
		return v, err
	}
	v.Body = make([]byte, length)
	if _, err = io.ReadFull(r, v.Body); err != nil || !v.Constructed {
		return v, err
	}
	v.Children, err = readAll(v.Body)
	return v, err
}

// readLongTag reads a tag of several bytes, of which the first has been read.
func readLongTag(r *bufio.Reader) (tag int, err error) {
	for b := byte(0x80); b&0x80 != 0; {
		if b, err = r.ReadByte(); err != nil {
			return 0, err
		}
		tag = tag<<7 | int(b&0x7f)
	}
	return tag, nil
}

func readLength(r *bufio.Reader) (int, error) {
	first, err := r.ReadByte()
	if err != nil {
		return 0, err
	}
	length := int(first)
	if first&0x80 != 0 {
		length = 0
		for range first & 0x7f {
			b, err := r.ReadByte()
			if err != nil {
				return 0, err
			}
			length = length<<8 | int(b)
		}
	}
	if length < 0 || length > maxLength {
		return 0, errors.New("ber: too long")
	}
	return length, nil
}

// readAll reads the values that a body consists of.
func readAll(body []byte) (list []TLV, err error) {
	for in := bufio.NewReader(bytes.NewReader(body)); ; {
		v, err := Read(in)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, v)
	}
}

// encode encodes a value. A tag that is not negative is context-specific; a negative one is the universal tag of its
// absolute value.
func encode(tag int, cons bool, body string) string {
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

// Constructed encodes a constructed value of encoded parts.
func Constructed(tag int, parts ...string) string { return encode(tag, true, strings.Join(parts, "")) }

// Primitive encodes a primitive value.
func Primitive(tag int, body string) string { return encode(tag, false, body) }

// Integer encodes a number of at most 15 bits.
func Integer(tag, n int) string {
	return encode(tag, false, string([]byte{byte(n >> 8 & 0x7f), byte(n)}))
}

// Tags of the APDUs that the stand-ins use.
const (
	InitRequest              = 20
	InitResponse             = 21
	SearchRequest            = 22
	SearchResponse           = 23
	PresentRequest           = 24
	PresentResponse          = 25
	ExtendedServicesRequest  = 46
	ExtendedServicesResponse = 47
)

// Object identifiers, as their bytes.
const (
	OIDBib1        = "\x2a\x86\x48\xce\x13\x03\x01"         // 1.2.840.10003.3.1
	OIDDiagnostics = "\x2a\x86\x48\xce\x13\x04\x01"         // 1.2.840.10003.4.1
	OIDXML         = "\x2a\x86\x48\xce\x13\x05\x6d\x0a"     // 1.2.840.10003.5.109.10
	OIDUpdate      = "\x2a\x86\x48\xce\x13\x09\x05\x01\x01" // 1.2.840.10003.9.5.1.1
	OIDMARC        = "\x2a\x86\x48\xce\x13\x05\x0a"         // 1.2.840.10003.5.10
)

// FormatQuery formats a Type-1 query in prefix notation.
func FormatQuery(v TLV) string {
	switch {
	case v.Tag == 0 && v.Children[0].Tag == 31:
		return "set:" + string(v.Children[0].Body)
	case v.Tag == 0:
		text := ""
		for _, a := range v.Children[0].Child(44).Children {
			text += fmt.Sprintf("@%d=%d ", a.Child(120).Int(), a.Child(121).Int())
		}
		return text + string(v.Children[0].Child(45).Body)
	}
	return fmt.Sprintf("(%s %s %s)", []string{"and", "or", "not"}[v.Children[2].Children[0].Tag], FormatQuery(v.Children[0]), FormatQuery(v.Children[1]))
}

// InitAPDU is an Init request of version 3; user, if not empty, is its authentication.
func InitAPDU(user string) string {
	auth := ""
	if user != "" {
		auth = Constructed(7, Primitive(-26, user))
	}
	return Constructed(20, Primitive(3, "\x05\xe0"), Primitive(4, "\x00\xe2\x06"), Integer(5, 30000), Integer(6, 30000), auth)
}

// TermOperand is an operand of a query: a term with a Bib-1 use attribute.
func TermOperand(use int, text string) string {
	return Constructed(0, Constructed(102, Constructed(44, Constructed(-16, Integer(120, 1), Integer(121, use))), Primitive(45, text)))
}

// ResultSetOperand is an operand of a query: a result set.
func ResultSetOperand(name string) string { return Constructed(0, Primitive(31, name)) }

// CombineOperands combines two operands by an operator: 0 and, 1 or, 2 and-not.
func CombineOperands(op int, l, r string) string {
	return Constructed(1, l, r, Constructed(46, Primitive(op, "")))
}

// SearchAPDU is a search of a database into a result set.
func SearchAPDU(set, base, rpn string) string {
	return Constructed(22, Primitive(2, "r-"+set), Integer(13, 0), Integer(14, 1), Integer(15, 0), Primitive(16, "\xff"), Primitive(17, set),
		Constructed(18, Primitive(105, base)), Constructed(21, Constructed(1, Primitive(-6, OIDBib1), rpn)))
}

// PresentAPDU requests n records of a result set from the one numbered start on.
func PresentAPDU(set string, start, n int) string {
	return Constructed(24, Primitive(31, set), Integer(30, start), Integer(29, n), Primitive(104, OIDXML))
}

// UpdateAPDU changes a record of the database captions.
func UpdateAPDU(id string) string {
	record := Constructed(4, Constructed(-8, Primitive(-6, OIDXML), Primitive(1, "<line/>")))
	es := Constructed(1, Constructed(1, Integer(1, 2), Primitive(2, "captions")), Constructed(2, Constructed(-16, Constructed(1, Primitive(2, id)), record)))
	return Constructed(46, Primitive(2, "u"), Integer(3, 1), Primitive(4, OIDUpdate), Constructed(10, Primitive(-6, OIDUpdate), Constructed(0, es)), Integer(11, 1))
}

// DiagnosticCode is the Bib-1 diagnostic of a response; 0 if it has none.
func DiagnosticCode(v TLV) int {
	for _, d := range []TLV{v.Child(130), {Children: v.Child(4).Children}} {
		if d.Tag == 130 {
			return d.Children[1].Int()
		}
		if len(d.Children) > 0 && len(d.Children[0].Children) > 1 {
			return d.Children[0].Children[1].Int()
		}
	}
	return 0
}
