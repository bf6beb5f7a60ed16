package platform

import (
	"reflect"
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/protocol/http1"
)

// Classes of the tests' vocabulary.
var (
	classA     = Class{Index: 0}
	keyedClass = Class{Index: 2, Keyed: true}
)

const validBody = `{"slices":[{"slice":1,"mass":0.25,"micros":1500},{"slice":3,"mass":0.75,"term":"00112233aabbccdd"}],"filter":"f"}`

// validHeader returns the header of a request that is accepted, with one field changed.
func validHeader(field, value string) http1.Header {
	h := http1.Header{"x-request-id": "q1", "x-deadline": "0.5", "x-tenant": "two", "x-class": "a", "x-retry": "1"}
	if field != "" {
		h[field] = value
	}
	return h
}

func message(h http1.Header, body string) (*http1.Message, *Frontend) {
	f := New(Options{
		Vocabulary: Vocabulary{
			Classes:    map[string]Class{"a": classA, "b": {Index: 1}, "keyed": keyedClass},
			Tenants:    map[string]int{"one": 0, "two": 1},
			MaxTimeout: time.Second,
		},
		Shards: 4,
	}, nil, time.Now, nil)
	return &http1.Message{Header: h, Body: []byte(body)}, f
}

func TestParseRequest(t *testing.T) {
	arrived := time.Unix(1000, 0)
	want := &aggregator.Request{
		ID:      "q1",
		Class:   0,
		Tenant:  1,
		IsRetry: true,
		Arrived: arrived,
		Timeout: 500 * time.Millisecond,
		Payload: "f",
		Key:     "00112233aabbccdd",
		Parts: []aggregator.PartSpec{
			{Shard: 1, Weight: 0.25, WorkHint: 1500 * time.Microsecond},
			{Shard: 3, Weight: 0.75},
		},
	}
	m, f := message(validHeader("", ""), validBody)
	if r, err := f.parseRequest(f.vocabulary.Load(), m, classA, arrived); err != nil || !reflect.DeepEqual(r, want) {
		t.Errorf("%+v, %v; want %+v", r, err, want)
	}
}

func TestParseRequest_CapsTheDeadline(t *testing.T) {
	m, f := message(validHeader("x-deadline", "7"), validBody)
	if r, err := f.parseRequest(f.vocabulary.Load(), m, classA, time.Unix(1000, 0)); err != nil || r.Timeout != time.Second {
		t.Errorf("%+v, %v", r, err)
	}
}

// Without the key that a query is about, queries of one key that crash servers are not recognized.
func TestParseRequest_KeyOfTheQuery(t *testing.T) {
	const noTerm = `{"slices":[{"slice":1,"mass":1}],"filter":"f"}`
	for name, c := range map[string]struct{ header, body, want string }{
		"stated":                   {header: "u:kd6b", body: noTerm, want: "u:kd6b"},
		"stated, and a part's too": {header: "u:kd6b", body: validBody, want: "u:kd6b"},
		"a part's alone":           {body: validBody, want: "00112233aabbccdd"},
		"neither":                  {body: noTerm},
	} {
		m, f := message(validHeader("x-key", c.header), c.body)
		if r, err := f.parseRequest(f.vocabulary.Load(), m, classA, time.Unix(1000, 0)); err != nil || r.Key != c.want {
			t.Errorf("%s: %+v, %v; want key %q", name, r, err, c.want)
		}
	}
}

// The idempotency key of a query is lost on its way to the servers, or a keyed query is sent without one.
func TestParseRequest_IdempotencyKey(t *testing.T) {
	const key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	for name, c := range map[string]struct {
		class   Class
		header  string
		want    string
		wantErr string
	}{
		"a keyed class":             {class: keyedClass, header: key, want: key},
		"a class that is not":       {class: classA, header: key},
		"no key":                    {class: keyedClass, wantErr: `Idempotency-Key ""`},
		"two keys":                  {class: keyedClass, header: "a,b", wantErr: `Idempotency-Key "a,b"`},
		"a key with a space":        {class: keyedClass, header: "a b", wantErr: `Idempotency-Key "a b"`},
		"nonsense, where no key is": {class: classA, header: "a, b"},
	} {
		t.Run(name, func(t *testing.T) {
			header := validHeader("idempotency-key", c.header)
			delete(header, "x-class")
			m, f := message(header, validBody)
			r, err := f.parseRequest(f.vocabulary.Load(), m, c.class, time.Unix(1000, 0))
			switch {
			case c.wantErr != "":
				if err == nil || err.Error() != c.wantErr {
					t.Errorf("%+v, %v; want %s", r, err, c.wantErr)
				}
			case err != nil || r.IdempotencyKey != c.want:
				t.Errorf("%+v, %v; want key %q", r, err, c.want)
			}
		})
	}
}

// Clients learn some time after a reload that a class has become keyed: until then their queries have no key, and belong to
// the class as it was.
func TestVocabulary_ClassBecomesKeyed(t *testing.T) {
	changed := time.Unix(1000, 0)
	frontend := New(Options{Vocabulary: Vocabulary{Classes: map[string]Class{"a": classA}}}, nil, time.Now, nil)
	frontend.SetVocabulary(Vocabulary{Classes: map[string]Class{"a": keyedClass}}, changed)
	for name, c := range map[string]struct {
		hasKey bool
		after  time.Duration
		want   Class
	}{
		"without a key, at once":    {want: classA},
		"with a key, at once":       {hasKey: true, want: keyedClass},
		"without a key, a while on": {after: previousGracePeriod + 1, want: keyedClass},
		"with a key, a while on":    {hasKey: true, after: previousGracePeriod + 1, want: keyedClass},
	} {
		got, ok := frontend.vocabulary.Load().class("a", c.hasKey, changed.Add(c.after))
		if !ok || got != c.want {
			t.Errorf("%s: %+v, %v; want %+v", name, got, ok, c.want)
		}
	}
}

// Each malformed request is rejected with the reason that its client receives.
func TestParseRequest_Rejects(t *testing.T) {
	const invalidSlice = "body: a slice that is missing, twice there or not within 0 to 3"
	for name, c := range map[string]struct {
		field, value, body string
		want               string
	}{
		"no id":                    {"x-request-id", "", validBody, `X-Request-Id ""`},
		"an id with a space":       {"x-request-id", "a b", validBody, `X-Request-Id "a b"`},
		"an id given twice":        {"x-request-id", "a,b", validBody, `X-Request-Id "a,b"`},
		"another class":            {"x-class", "b", validBody, `X-Class "b" does not go with the path`},
		"an unknown tenant":        {"x-tenant", "three", validBody, `X-Tenant "three"`},
		"no tenant":                {"x-tenant", "", validBody, `X-Tenant ""`},
		"no deadline":              {"x-deadline", "", validBody, `X-Deadline ""`},
		"a deadline of 0":          {"x-deadline", "0", validBody, `X-Deadline "0"`},
		"a deadline with a sign":   {"x-deadline", "+1", validBody, `X-Deadline "+1"`},
		"a deadline beyond limits": {"x-deadline", "1000001", validBody, `X-Deadline "1000001"`},
		"a body that is not UTF-8": {"", "", "{\"filter\":\"\xff\"}", "body: not UTF-8"},
		"a body that is no JSON":   {"", "", "{", "body: unexpected end of JSON input"},
		"no slices":                {"", "", `{"slices":[],"filter":"f"}`, "body: no slices, or no filter"},
		"no filter":                {"", "", `{"slices":[{"slice":1,"mass":1}]}`, "body: no slices, or no filter"},
		"a slice without a number": {"", "", `{"slices":[{"mass":1}],"filter":"f"}`, invalidSlice},
		"a slice twice":            {"", "", `{"slices":[{"slice":1,"mass":0.5},{"slice":1,"mass":0.5}],"filter":"f"}`, invalidSlice},
		"a slice out of range":     {"", "", `{"slices":[{"slice":4,"mass":1}],"filter":"f"}`, invalidSlice},
		"a weight over 1":          {"", "", `{"slices":[{"slice":1,"mass":2}],"filter":"f"}`, "body: slice 1: mass 2, micros 0"},
		"a negative work hint":     {"", "", `{"slices":[{"slice":1,"mass":1,"micros":-1}],"filter":"f"}`, "body: slice 1: mass 1, micros -1"},
		"a term of no hex digits":  {"", "", `{"slices":[{"slice":1,"mass":1,"term":"zz"}],"filter":"f"}`, `body: slice 1: term "zz"`},
		"weights that miss 1":      {"", "", `{"slices":[{"slice":1,"mass":0.5}],"filter":"f"}`, "body: masses add up to 0.5"},
	} {
		t.Run(name, func(t *testing.T) {
			m, f := message(validHeader(c.field, c.value), c.body)
			if r, err := f.parseRequest(f.vocabulary.Load(), m, classA, time.Unix(1000, 0)); err == nil || err.Error() != c.want {
				t.Errorf("%+v, %v; want %s", r, err, c.want)
			}
		})
	}
}
