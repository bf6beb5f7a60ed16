package z3950

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"rooktrestle/internal/query"
)

func TestDecode_KnownBytes(t *testing.T) {
	// A segmented octet string inside values of indefinite length, as older origins send it.
	n, rest, err := Decode([]byte("\xb6\x80\xbf\x69\x80\x04\x01a\x04\x02bc\x00\x00\x00\x00tail"))
	if err != nil || n.Tag != SearchRequest || n.Child(FieldDatabaseName).Text() != "abc" || string(rest) != "tail" {
		t.Errorf("decoded %+v, then %q, %v", n, rest, err)
	}
	for _, malformed := range []string{
		"\x04\x80",                     // a primitive of indefinite length
		"\x30\x02\x04\x05",             // a value longer than the one that contains it
		"\xbf\xff\xff\xff\xff\x01\x00", // a tag of five octets
		"\x30\x85\x00\x00\x00\x00\x00", // a length of five octets
		strings.Repeat("\x30\x80", 60), // nested too deep
	} {
		if _, _, err := Decode([]byte(malformed)); err == nil || errors.Is(err, ErrMore) {
			t.Errorf("malformed %q: %v", malformed, err)
		}
	}
	for _, incomplete := range []string{"", "\x30", "\x30\x05\x04", "\xbf", "\x30\x82\x01", "\x30\x80"} {
		if _, _, err := Decode([]byte(incomplete)); !errors.Is(err, ErrMore) {
			t.Errorf("incomplete %q: %v", incomplete, err)
		}
	}
}

func TestIntegersAndOIDs_RoundTrip(t *testing.T) {
	for _, v := range []int{0, 1, 127, 128, 255, 256, 32767, 32768, 1 << 20, 1 << 30, -1, -128, -129, -70000} {
		if got, ok := Integer(1, v).integer(); !ok || got != v {
			t.Errorf("%d encoded and decoded: %d", v, got)
		}
	}
	if b := Integer(1, 128).Bytes; !bytes.Equal(b, []byte{0, 128}) {
		t.Errorf("128 is encoded as % x", b)
	}
	for _, o := range []string{oidBib1, OidXML, oidUpdate1, "2.100.3"} {
		if got := OID(Universal, tagOID, o).OID(); got != o {
			t.Errorf("%s encoded and decoded: %s", o, got)
		}
	}
	if b := encodeOID(oidBib1); string(b) != "\x2a\x86\x48\xce\x13\x03\x01" {
		t.Errorf("%s is encoded as % x", oidBib1, b)
	}
}

func TestQueriesAndUpdates_RoundTrip(t *testing.T) {
	for _, text := range []string{`a and (b or dc.title = "c d*") not dc.date >= 2020`, `cql.resultSetId = one or x`} {
		tree, err := query.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		n, err := EncodeRPN(tree)
		if err != nil {
			t.Fatal(err)
		}
		sent, _, err := Decode(Constructed(FieldQuery, n).Encode(nil))
		if err != nil {
			t.Fatal(err)
		}
		if back, err := ParseRPN(sent); err != nil || !reflect.DeepEqual(back, tree) {
			t.Errorf("%s encoded and decoded: %v, %v", text, back, err)
		}
	}
	want := query.Record{ID: "3:9", XML: "<line/>"}
	n, _, err := Decode(Update("r", "block-3", query.ActionReplace, want).Encode(nil))
	if err != nil {
		t.Fatal(err)
	}
	got, problem := ParseUpdate(n)
	if problem != nil || got.Database != "block-3" || got.Action != query.ActionReplace || got.Record != want {
		t.Errorf("%+v, diagnostic %+v", got, problem)
	}
}

// FuzzDecode checks that a decoded value encodes to bytes that decode to the same value, and that no input makes the
// decoder or the parsers of PDUs panic.
func FuzzDecode(f *testing.F) {
	f.Add(Constructed(SearchRequest,
		String(FieldResultSetName, "x"),
		Constructed(FieldDatabaseNames, String(FieldDatabaseName, "d")),
		Constructed(FieldQuery, Constructed(queryType1)),
	).Encode(nil))
	f.Add(Update("r", "d", query.ActionDelete, query.Record{ID: "1"}).Encode(nil))
	f.Add([]byte("\xb6\x80\xbf\x69\x80\x04\x01a\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		n, _, err := Decode(b)
		if err != nil {
			return
		}
		again, rest, err := Decode(n.Encode(nil))
		if err != nil || len(rest) > 0 || !bytes.Equal(n.Encode(nil), again.Encode(nil)) {
			t.Fatalf("%+v encoded and decoded: %+v, %v", n, again, err)
		}
		_, _ = ParseRPN(n.Child(FieldQuery)) // only a panic is a failure
		_, _ = ParseUpdate(n)
		_, _ = ParseRecords(n)
	})
}
