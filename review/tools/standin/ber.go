package main

import (
	"bufio"
	"errors"
	"io"
)

// The few Z39.50 APDUs that the stand-in target speaks, in BER, from the public specification (Z39.50-2003).
const (
	apduInit           = 20
	apduInitResponse   = 21
	apduSearch         = 22
	apduSearchResponse = 23
	apduES             = 46 // extended services: here, a database update
	apduESResponse     = 47
	tagReferenceID     = 2
)

// tlv is one BER value whose tag number is read, with its body.
type tlv struct {
	tag  int
	body []byte
}

var errLength = errors.New("ber: length")

// readTLV reads one value. raw is the whole of it.
func readTLV(r *bufio.Reader) (v tlv, err error) {
	first, err := r.ReadByte()
	if err != nil {
		return v, err
	}
	v.tag = int(first & 0x1f)
	if v.tag == 0x1f {
		v.tag = 0
		for {
			b, err := r.ReadByte()
			if err != nil {
				return v, err
			}
			v.tag = v.tag<<7 | int(b&0x7f)
			if b&0x80 == 0 {
				break
			}
		}
	}
	size, err := r.ReadByte()
	if err != nil {
		return v, err
	}
	length := int(size)
	if size&0x80 != 0 {
		length = 0
		for range size & 0x7f {
			b, err := r.ReadByte()
			if err != nil {
				return v, err
			}
			length = length<<8 | int(b)
		}
	}
	if length < 0 || length > 1<<20 {
		return v, errLength
	}
	v.body = make([]byte, length)
	_, err = io.ReadFull(r, v.body)
	return v, err
}

// child returns the body of the first child with a tag.
func (v tlv) child(tag int) []byte {
	for reader := bufio.NewReader(&sliceReader{v.body}); ; {
		c, err := readTLV(reader)
		if err != nil {
			return nil
		}
		if c.tag == tag {
			return c.body
		}
	}
}

type sliceReader struct{ rest []byte }

func (s *sliceReader) Read(b []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// ber encodes a value: context-specific, or universal where tag is negative.
func ber(tag int, constructed bool, body []byte) []byte {
	first := byte(0x80)
	if tag < 0 {
		first, tag = 0, -tag
	}
	if constructed {
		first |= 0x20
	}
	var out []byte
	if tag < 31 {
		out = append(out, first|byte(tag))
	} else {
		out = append(out, first|0x1f)
		if tag >= 128 {
			out = append(out, 0x80|byte(tag>>7))
		}
		out = append(out, byte(tag&0x7f))
	}
	switch n := len(body); {
	case n < 128:
		out = append(out, byte(n))
	default:
		out = append(out, 0x82, byte(n>>8), byte(n))
	}
	return append(out, body...)
}

func berInt(tag, n int) []byte {
	if n < 128 {
		return ber(tag, false, []byte{byte(n)})
	}
	return ber(tag, false, []byte{byte(n >> 16), byte(n >> 8), byte(n)})
}

func berSeq(tag int, parts ...[]byte) []byte {
	var body []byte
	for _, part := range parts {
		body = append(body, part...)
	}
	return ber(tag, true, body)
}

// oidXML is 1.2.840.10003.5.109.10, the record syntax XML.
var oidXML = []byte{0x2a, 0x86, 0x48, 0xce, 0x13, 0x05, 0x6d, 0x0a}

// initResponse accepts an association of version 3 with search and present.
func initResponse() []byte {
	return berSeq(apduInitResponse,
		ber(3, false, []byte{0x05, 0xe0}),
		ber(4, false, []byte{0x00, 0xe0, 0x00}),
		berInt(5, 30000),
		berInt(6, 30000),
		ber(12, false, []byte{0xff}))
}

// searchResponse answers a search with one record, and bears the request's reference id.
func searchResponse(reference []byte, database, record string) []byte {
	external := berSeq(-8, ber(-6, false, oidXML), ber(1, false, []byte(record)))
	retrieval := berSeq(1, berSeq(1, external))
	var ref []byte
	if reference != nil {
		ref = ber(tagReferenceID, false, reference)
	}
	return berSeq(apduSearchResponse,
		ref,
		berInt(23, 1),
		berInt(24, 1),
		berInt(25, 0),
		ber(22, false, []byte{0xff}),
		berInt(27, 0),
		berSeq(28, berSeq(-16, ber(0, false, []byte(database)), retrieval)))
}

// oidDiagnostics is 1.2.840.10003.4.1, the diagnostic set Bib-1.
var oidDiagnostics = []byte{0x2a, 0x86, 0x48, 0xce, 0x13, 0x04, 0x01}

// updateResponse answers an update: it is done, or refused with the diagnostic "database access denied", and had no effect.
func updateResponse(reference []byte, done bool) []byte {
	ref := ber(tagReferenceID, false, reference)
	if done {
		return berSeq(apduESResponse, ref, berInt(3, 1))
	}
	refusal := berSeq(-16, ber(-6, false, oidDiagnostics), ber(-2, false, []byte{0, 236}), ber(-26, false, []byte("read only")))
	return berSeq(apduESResponse, ref, berInt(3, 3), berSeq(4, refusal))
}
