package jsonstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// split feeds a stream in pieces of so many bytes. It returns the objects, and the error that ended the stream.
func split(f *Framer, stream []byte, size int) (objects []string, err error) {
	for len(stream) > 0 {
		n := min(size, len(stream))
		f.Feed(stream[:n])
		stream = stream[n:]
		for {
			object, err := f.Next()
			if err != nil {
				return objects, err
			}
			if object == nil {
				break
			}
			objects = append(objects, string(object))
		}
	}
	return objects, nil
}

func TestFramer_ObjectsInPiecesOfAnySize(t *testing.T) {
	one := `{"a":"}\"]{","b":[1,{"c":"\\"}]}`
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(one), "", "  "); err != nil {
		t.Fatal(err)
	}
	want := []string{one, indented.String(), "{}", one}
	stream := "\n" + one + "\r\n\n" + indented.String() + "\n {}" + one + "\n{\"begun\":"
	for size := 1; size <= len(stream); size++ {
		f := &Framer{MaxBytes: 1 << 10}
		got, err := split(f, []byte(stream), size)
		if err != nil || strings.Join(got, "|") != strings.Join(want, "|") || !f.Inside() {
			t.Fatalf("pieces of %d bytes: %v, %q, inside %v", size, err, got, f.Inside())
		}
	}
}

func TestFramer_BrokenStream(t *testing.T) {
	for _, bad := range []string{"[1]", "{} x", "null", "\"{}\"", "}"} {
		f := &Framer{}
		if _, err := split(f, []byte(bad), 1); err == nil {
			t.Errorf("%q is accepted", bad)
		}
		f.Feed([]byte("{}"))
		if object, err := f.Next(); err == nil {
			t.Errorf("%q: the stream goes on with %q", bad, object)
		}
	}
	f := &Framer{MaxBytes: 100}
	if _, err := split(f, []byte(`{"a":[`+strings.Repeat("0,", 60)), 7); err == nil || f.Inside() {
		t.Errorf("an object that does not end: %v", err)
	}
}

// A stream is split as encoding/json's Decoder splits it, and in the same places in pieces of any size.
func FuzzFramer(f *testing.F) {
	for _, s := range []string{`{"version":1}`, "{\n \"servers\": [ {} ]\n}\n\n{}", `{"a":"\\\""}{`, `{"a":]}`, "{}5"} {
		f.Add([]byte(s), uint8(3))
	}
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		got, err := split(&Framer{}, stream, int(size)+1)
		again, errAgain := split(&Framer{}, stream, len(stream)+1)
		if strings.Join(got, "|") != strings.Join(again, "|") || (err == nil) != (errAgain == nil) {
			t.Fatalf("in pieces %q %v, at once %q %v", got, err, again, errAgain)
		}
		decoder := json.NewDecoder(bytes.NewReader(stream))
		for i := 0; ; i++ {
			var want json.RawMessage
			if decodeErr := decoder.Decode(&want); decodeErr != nil {
				// The Decoder also rejects an object that is malformed; that is left to the framer's caller.
				if errors.Is(decodeErr, io.EOF) && len(got) > i {
					t.Fatalf("%q beyond the end", got[i:])
				}
				return
			}
			if want[0] != '{' {
				if err == nil || len(got) > i {
					t.Fatalf("%q is accepted: %q", want, got[i:])
				}
				return
			}
			if i >= len(got) || got[i] != string(want) {
				t.Fatalf("object %d: %q, want %q", i, got, want)
			}
		}
	})
}
