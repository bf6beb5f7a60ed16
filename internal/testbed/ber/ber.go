// Package ber implements the parts of BER and Z39.50 that stand-in targets and origins need, from the public
// specification (Z39.50-2003, ISO 23950). It shares no code with the program, so that a mistake in the program is not
// repeated in its tests.
package ber

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// TLV is one BER value: tag, length and contents.
type TLV struct {
	Class       int
	Tag         int
	Constructed bool
	Body        []byte
	Children    []TLV
}

// maxLength is the maximum length in bytes of a value that Read accepts.
const maxLength = 1 << 20

// classContext is the tag class of context-specific tags.
const classContext = 2

// Bits of a tag's first byte.
const (
	contextBits    = classContext << 6
	constructedBit = 0x20
	longTag        = 0x1f // the tag number is in the bytes that follow
)

// Child returns the first child with a context-specific tag. If there is none, the result's Tag is -1.
func (v TLV) Child(tag int) TLV {
	for _, child := range v.Children {
		if child.Class == classContext && child.Tag == tag {
			return child
		}
	}
	return TLV{Tag: -1}
}

// Int decodes the body as an unsigned integer.
func (v TLV) Int() (n int) {
	for _, b := range v.Body {
		n = n<<8 | int(b)
	}
	return n
}

// Read reads one value with all its children. It returns io.EOF if the input ends before the value.
func Read(r *bufio.Reader) (v TLV, err error) {
	first, err := r.ReadByte()
	if err != nil {
		return v, err
	}
	v.Class = int(first >> 6)
	v.Constructed = first&constructedBit != 0
	v.Tag = int(first & longTag)
	if v.Tag == longTag {
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

// readLongTag reads the remaining bytes of a tag of several bytes.
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
		return 0, fmt.Errorf("ber: length %d is not within 0 to %d", length, maxLength)
	}
	return length, nil
}

// readAll reads all values of a body.
func readAll(body []byte) (list []TLV, err error) {
	reader := bufio.NewReader(bytes.NewReader(body))
	for {
		v, err := Read(reader)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, v)
	}
}

// encode encodes a value. A non-negative tag is context-specific; a negative tag stands for the universal tag with its
// absolute value. form is constructedBit, or 0 for a primitive value.
func encode(tag int, form byte, body string) string {
	first := form | contextBits
	if tag < 0 {
		first = form
		tag = -tag
	}
	return encodeTag(first, tag) + encodeLength(len(body)) + body
}

func encodeTag(first byte, tag int) string {
	switch {
	case tag < longTag:
		return string([]byte{first | byte(tag)})
	case tag < 0x80:
		return string([]byte{first | longTag, byte(tag)})
	}
	return string([]byte{first | longTag, 0x80 | byte(tag>>7), byte(tag & 0x7f)})
}

func encodeLength(length int) string {
	if length < 0x80 {
		return string([]byte{byte(length)})
	}
	return string([]byte{0x82, byte(length >> 8), byte(length)})
}

// Constructed encodes a constructed value from its encoded parts.
func Constructed(tag int, parts ...string) string {
	return encode(tag, constructedBit, strings.Join(parts, ""))
}

// Primitive encodes a primitive value.
func Primitive(tag int, body string) string { return encode(tag, 0, body) }

// Integer encodes a non-negative number of at most 15 bits.
func Integer(tag, n int) string {
	return encode(tag, 0, string([]byte{byte(n >> 8 & 0x7f), byte(n)}))
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

// Object identifiers, as their encoded contents.
const (
	OIDBib1        = "\x2a\x86\x48\xce\x13\x03\x01"         // 1.2.840.10003.3.1
	OIDDiagnostics = "\x2a\x86\x48\xce\x13\x04\x01"         // 1.2.840.10003.4.1
	OIDXML         = "\x2a\x86\x48\xce\x13\x05\x6d\x0a"     // 1.2.840.10003.5.109.10
	OIDUpdate      = "\x2a\x86\x48\xce\x13\x09\x05\x01\x01" // 1.2.840.10003.9.5.1.1
	OIDMARC        = "\x2a\x86\x48\xce\x13\x05\x0a"         // 1.2.840.10003.5.10
)

// FormatQuery formats a Type-1 query as text, with its operators in prefix notation.
func FormatQuery(v TLV) string {
	if v.Tag == 0 {
		return formatOperand(v.Children[0])
	}
	operator := [...]string{"and", "or", "not"}[v.Children[2].Children[0].Tag]
	return fmt.Sprintf("(%s %s %s)", operator, FormatQuery(v.Children[0]), FormatQuery(v.Children[1]))
}

// formatOperand formats a result set, or a term with its attributes.
func formatOperand(v TLV) string {
	if v.Tag == 31 {
		return "set:" + string(v.Body)
	}
	text := ""
	for _, attribute := range v.Child(44).Children {
		text += fmt.Sprintf("@%d=%d ", attribute.Child(120).Int(), attribute.Child(121).Int())
	}
	return text + string(v.Child(45).Body)
}

// InitAPDU encodes an Init request of version 3; user, if not empty, is sent as its authentication.
func InitAPDU(user string) string {
	auth := ""
	if user != "" {
		auth = Constructed(7, Primitive(-26, user))
	}
	return Constructed(InitRequest,
		Primitive(3, "\x05\xe0"),
		Primitive(4, "\x00\xe2\x06"),
		Integer(5, 30000),
		Integer(6, 30000),
		auth)
}

// TermOperand encodes a query operand that is a term with a Bib-1 use attribute.
func TermOperand(use int, text string) string {
	attribute := Constructed(-16, Integer(120, 1), Integer(121, use))
	return Constructed(0, Constructed(102, Constructed(44, attribute), Primitive(45, text)))
}

// ResultSetOperand encodes a query operand that refers to a result set.
func ResultSetOperand(name string) string { return Constructed(0, Primitive(31, name)) }

// CombineOperands encodes two operands combined by an operator: 0 is and, 1 is or, 2 is and-not.
func CombineOperands(operator int, left, right string) string {
	return Constructed(1, left, right, Constructed(46, Primitive(operator, "")))
}

// SearchAPDU encodes a search of a database that creates a result set.
func SearchAPDU(set, base, rpn string) string {
	return Constructed(SearchRequest,
		Primitive(2, "r-"+set),
		Integer(13, 0),
		Integer(14, 1),
		Integer(15, 0),
		Primitive(16, "\xff"),
		Primitive(17, set),
		Constructed(18, Primitive(105, base)),
		Constructed(21, Constructed(1, Primitive(-6, OIDBib1), rpn)))
}

// PresentAPDU encodes a Present request for n records of a result set, beginning with record number start.
func PresentAPDU(set string, start, n int) string {
	return Constructed(PresentRequest,
		Primitive(31, set),
		Integer(30, start),
		Integer(29, n),
		Primitive(104, OIDXML))
}

// UpdateAPDU encodes an update of a record in the database captions.
func UpdateAPDU(id string) string {
	record := Constructed(4, Constructed(-8, Primitive(-6, OIDXML), Primitive(1, "<line/>")))
	toKeep := Constructed(1, Integer(1, 2), Primitive(2, "captions"))
	notToKeep := Constructed(2, Constructed(-16, Constructed(1, Primitive(2, id)), record))
	parameters := Constructed(0, Constructed(1, toKeep, notToKeep)) // esRequest
	return Constructed(ExtendedServicesRequest,
		Primitive(2, "u"),
		Integer(3, 1),
		Primitive(4, OIDUpdate),
		Constructed(10, Primitive(-6, OIDUpdate), parameters),
		Integer(11, 1))
}

// DiagnosticCode returns the Bib-1 diagnostic code of a response, or 0 if it has none.
func DiagnosticCode(v TLV) int {
	if ofSearch := v.Child(130); ofSearch.Tag == 130 {
		return ofSearch.Children[1].Int()
	}
	ofUpdate := v.Child(4).Children
	if len(ofUpdate) > 0 && len(ofUpdate[0].Children) > 1 {
		return ofUpdate[0].Children[1].Int()
	}
	return 0
}
