package jsonstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// split feeds a stream in pieces of size bytes. It returns the objects and the error that broke the stream.
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
	for _, invalid := range []string{"[1]", "{} x", "null", "\"{}\"", "}"} {
		f := &Framer{}
		if _, err := split(f, []byte(invalid), 1); err == nil {
			t.Errorf("%q is accepted", invalid)
		}
		f.Feed([]byte("{}"))
		if object, err := f.Next(); err == nil {
			t.Errorf("%q: Next returns %q after the error", invalid, object)
		}
	}
	f := &Framer{MaxBytes: 100}
	if _, err := split(f, []byte(`{"a":[`+strings.Repeat("0,", 60)), 7); err == nil || f.Inside() {
		t.Errorf("an object that does not end: %v", err)
	}
}

// FuzzFramer checks that a stream is split as encoding/json's Decoder splits it, independently of the size of the
// pieces.
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
				// The Decoder also rejects an object that is malformed; the framer leaves that to its caller.
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
