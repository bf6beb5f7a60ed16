package main

import (
	"bufio"
	"fmt"
	"io"
)

// node is a value in BER. tag is context-specific if it is at least 0, else universal with its absolute value.
type node struct {
	tag         int
	constructed bool
	body        []byte
	children    []node
}

func encodeValue(tag int, constructed bool, body []byte) []byte {
	first := byte(0x80)
	if tag < 0 {
		first, tag = 0, -tag
	}
	if constructed {
		first |= 0x20
	}
	var out []byte
	switch {
	case tag < 31:
		out = []byte{first | byte(tag)}
	case tag < 128:
		out = []byte{first | 31, byte(tag)}
	default:
		out = []byte{first | 31, 0x80 | byte(tag>>7), byte(tag & 0x7f)}
	}
	if len(body) < 128 {
		out = append(out, byte(len(body)))
	} else {
		out = append(out, 0x82, byte(len(body)>>8), byte(len(body)))
	}
	return append(out, body...)
}

// group returns a constructed value, primitive and number simple ones.
func group(tag int, parts ...[]byte) []byte {
	var body []byte
	for _, p := range parts {
		body = append(body, p...)
	}
	return encodeValue(tag, true, body)
}

func primitive(tag int, text string) []byte { return encodeValue(tag, false, []byte(text)) }

func number(tag, n int) []byte {
	return encodeValue(tag, false, []byte{byte(n >> 16 & 0x7f), byte(n >> 8), byte(n)})
}

// readNode reads one value with a definite length.
func readNode(in *bufio.Reader) (n node, err error) {
	first, err := in.ReadByte()
	if err != nil {
		return n, err
	}
	n.constructed = first&0x20 != 0
	n.tag = int(first & 31)
	if n.tag == 31 {
		n.tag = 0
		for more := true; more; {
			b, err := in.ReadByte()
			if err != nil {
				return n, err
			}
			n.tag = n.tag<<7 | int(b&0x7f)
			more = b&0x80 != 0
		}
	}
	if first&0xc0 == 0 {
		n.tag = -n.tag
	}
	b, err := in.ReadByte()
	length := int(b)
	if b&0x80 != 0 {
		length = 0
		for range b & 0x7f {
			if b, err = in.ReadByte(); err != nil {
				return n, err
			}
			length = length<<8 | int(b)
		}
	}
	if err != nil || length > 1<<20 {
		return n, fmt.Errorf("length %d: %v", length, err)
	}
	n.body = make([]byte, length)
	if _, err = io.ReadFull(in, n.body); err != nil || !n.constructed {
		return n, err
	}
	inner := bufio.NewReader(bytesReader(n.body))
	for {
		child, err := readNode(inner)
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		n.children = append(n.children, child)
	}
}

// child returns the first child with a tag; the zero node if there is none.
func (n node) child(tag int) node {
	for _, c := range n.children {
		if c.tag == tag {
			return c
		}
	}
	return node{}
}

func (n node) has(tag int) bool {
	for _, c := range n.children {
		if c.tag == tag {
			return true
		}
	}
	return false
}

func (n node) number() (value int) {
	for _, b := range n.body {
		value = value<<8 | int(b)
	}
	return value
}
