// Package z3950 encodes and decodes the protocol data units (PDUs) of Z39.50 version 3 in BER. It does no I/O.
package z3950

import (
	"errors"
	"fmt"
)

// Limits of the decoder. They bound the stack and the memory that a malicious peer can use.
const (
	MaxPDU   = 1 << 20 // content bytes of one value
	maxDepth = 48      // nesting depth of values
	maxNodes = 20000   // values in a PDU
)

// ErrMore is returned by Decode if the data ends before the value is complete.
var ErrMore = errors.New("z3950: more bytes are needed")

// Parts of the identifier and length octets.
const (
	constructedBit  = 0x20
	longTag         = 0x1f // the tag follows, with seven bits per octet
	moreBit         = 0x80 // another octet of a long tag, or of a number of an object identifier, follows
	maxTagOctets    = 4
	longLength      = 0x80 // the length follows in as many octets as the other bits give; 0: indefinite length
	maxLengthOctets = 4
)

// indefinite marks a value of indefinite length, which ends at two zero octets.
const indefinite = -1

// Decode decodes one value at the start of data and returns it with the remaining bytes. The value shares no memory
// with data. The error is ErrMore if the value is incomplete; any other error means that data does not start with a
// valid value within the limits.
func Decode(data []byte) (value *Node, rest []byte, err error) {
	d := decoder{remaining: maxNodes}
	return d.decodeValue(data, 0)
}

// decoder decodes one PDU.
type decoder struct {
	remaining int // number of values that may still be decoded
}

// decodeValue decodes a value at a nesting depth, with all values inside.
func (d *decoder) decodeValue(data []byte, depth int) (*Node, []byte, error) {
	if depth > maxDepth {
		return nil, nil, fmt.Errorf("z3950: nested over %d deep", maxDepth)
	}
	d.remaining--
	if d.remaining < 0 {
		return nil, nil, fmt.Errorf("z3950: over %d values", maxNodes)
	}
	if len(data) < 2 {
		return nil, nil, ErrMore
	}
	n, data, err := decodeIdentifier(data)
	if err != nil {
		return nil, nil, err
	}
	size, data, err := decodeLength(data)
	switch {
	case err != nil:
		return nil, nil, err
	case size == indefinite && !n.IsConstructed:
		return nil, nil, errors.New("z3950: a primitive without a length")
	case size == indefinite:
		return d.decodeIndefinite(n, data, depth)
	case size > MaxPDU:
		return nil, nil, fmt.Errorf("z3950: a value of %d bytes", size)
	case len(data) < size:
		return nil, nil, ErrMore
	}
	content := data[:size]
	rest := data[size:]
	if !n.IsConstructed {
		n.Bytes = append([]byte(nil), content...)
		return n, rest, nil
	}
	for len(content) > 0 {
		child, after, err := d.decodeValue(content, depth+1)
		if errors.Is(err, ErrMore) {
			err = errors.New("z3950: a value is longer than what holds it")
		}
		if err != nil {
			return nil, nil, err
		}
		n.Children = append(n.Children, child)
		content = after
	}
	return n, rest, nil
}

// decodeIndefinite decodes the values inside n, which has indefinite length.
func (d *decoder) decodeIndefinite(n *Node, data []byte, depth int) (*Node, []byte, error) {
	for {
		if len(data) >= 2 && data[0] == 0 && data[1] == 0 {
			return n, data[2:], nil
		}
		child, rest, err := d.decodeValue(data, depth+1)
		if err != nil {
			return nil, nil, err
		}
		n.Children = append(n.Children, child)
		data = rest
	}
}

// decodeIdentifier decodes the class and tag of a value. data must not be empty.
func decodeIdentifier(data []byte) (n *Node, rest []byte, err error) {
	n = &Node{
		Class:         Class(data[0] >> 6),
		IsConstructed: data[0]&constructedBit != 0,
		Tag:           int(data[0] & longTag),
	}
	data = data[1:]
	if n.Tag != longTag {
		return n, data, nil
	}
	n.Tag = 0
	for i := 0; ; i++ {
		if i == maxTagOctets {
			return nil, nil, errors.New("z3950: a tag too long")
		}
		if i >= len(data) {
			return nil, nil, ErrMore
		}
		n.Tag = n.Tag<<7 | int(data[i]&^moreBit)
		if data[i]&moreBit == 0 {
			return n, data[i+1:], nil
		}
	}
}

// decodeLength decodes the length of a value, which may be indefinite.
func decodeLength(data []byte) (size int, rest []byte, err error) {
	if len(data) == 0 {
		return 0, nil, ErrMore
	}
	size = int(data[0])
	data = data[1:]
	if size == longLength {
		return indefinite, data, nil
	}
	if size&longLength == 0 {
		return size, data, nil
	}
	octets := size &^ longLength
	if octets > maxLengthOctets {
		return 0, nil, errors.New("z3950: a length too long")
	}
	if len(data) < octets {
		return 0, nil, ErrMore
	}
	size = 0
	for _, octet := range data[:octets] {
		size = size<<8 | int(octet)
	}
	return size, data[octets:], nil
}

// Encode appends the value to data, with definite lengths, and returns the extended slice.
func (n *Node) Encode(data []byte) []byte {
	identifier := byte(n.Class) << 6
	content := n.Bytes
	if n.IsConstructed {
		identifier |= constructedBit
		content = nil
		for _, child := range n.Children {
			content = child.Encode(content)
		}
	}
	if n.Tag < longTag {
		data = append(data, identifier|byte(n.Tag))
	} else {
		data = append(data, identifier|longTag)
		data = appendBase128(data, n.Tag, maxTagOctets)
	}
	switch size := len(content); {
	case size < longLength:
		data = append(data, byte(size))
	case size < 1<<8:
		data = append(data, longLength|1, byte(size))
	case size < 1<<16:
		data = append(data, longLength|2, byte(size>>8), byte(size))
	default:
		data = append(data, longLength|4, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
	}
	return append(data, content...)
}
