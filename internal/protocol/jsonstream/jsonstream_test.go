package jsonstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
)

// cut feeds a stream in pieces of so many bytes and returns the objects that came out.
func cut(f *Framer, stream []byte, size int) (objects []string, err error) {
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

func TestObjectsHoweverTheyAreLaidOut(t *testing.T) {
	one := `{"a":"}\"]{","b":[1,{"c":"\\"}]}`
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(one), "", "  "); err != nil {
		t.Fatal(err)
	}
	want := []string{one, indented.String(), "{}", one}
	stream := "\n" + one + "\r\n\n" + indented.String() + "\n {}" + one + "\n{\"begun\":"
	for size := 1; size <= len(stream); size++ {
		f := &Framer{Most: 1 << 10}
		got, err := cut(f, []byte(stream), size)
		if err != nil || strings.Join(got, "|") != strings.Join(want, "|") || !f.Inside() {
			t.Fatalf("pieces of %d bytes: %v, %q, inside %v", size, err, got, f.Inside())
		}
	}
}

func TestWhatIsNoObjectEndsTheStream(t *testing.T) {
	for _, bad := range []string{"[1]", "{} x", "null", "\"{}\"", "}"} {
		f := &Framer{}
		if _, err := cut(f, []byte(bad), 1); err == nil {
			t.Errorf("%q was taken", bad)
		}
		f.Feed([]byte("{}"))
		if object, err := f.Next(); err == nil {
			t.Errorf("%q: went on with %q", bad, object)
		}
	}
	f := &Framer{Most: 100}
	if _, err := cut(f, []byte(`{"a":[`+strings.Repeat("0,", 60)), 7); err == nil || f.Inside() {
		t.Errorf("an object that does not end: %v", err)
	}
}

// Whatever comes is cut as encoding/json's own reader cuts it, and alike in pieces of any size.
func FuzzFramer(f *testing.F) {
	for _, s := range []string{`{"version":1}`, "{\n \"servers\": [ {} ]\n}\n\n{}", `{"a":"\\\""}{`, `{"a":]}`, "{}5"} {
		f.Add([]byte(s), uint8(3))
	}
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		got, err := cut(&Framer{}, stream, int(size)+1)
		again, errAgain := cut(&Framer{}, stream, len(stream)+1)
		if strings.Join(got, "|") != strings.Join(again, "|") || (err == nil) != (errAgain == nil) {
			t.Fatalf("in pieces %q %v, at once %q %v", got, err, again, errAgain)
		}
		d := json.NewDecoder(bytes.NewReader(stream))
		for i := 0; ; i++ {
			var want json.RawMessage
			if e := d.Decode(&want); e != nil {
				// Its reader tells a bad object from one that has not ended; the framer's caller does.
				if errors.Is(e, io.EOF) && len(got) > i {
					t.Fatalf("%q beyond the end", got[i:])
				}
				return
			}
			if want[0] != '{' {
				if err == nil || len(got) > i {
					t.Fatalf("%q was taken: %q", want, got[i:])
				}
				return
			}
			if i >= len(got) || got[i] != string(want) {
				t.Fatalf("object %d: %q, want %q", i, got, want)
			}
		}
	})
}
