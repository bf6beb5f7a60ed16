package query

import (
	"errors"
	"reflect"
	"testing"
)

// A parsed query is printed as equivalent CQL in canonical form.
func TestParse_PrintsCanonicalCQL(t *testing.T) {
	for in, want := range map[string]string{
		`cat`:                                   `cat`,
		`dc.title = "budget speech"`:            `dc.title = "budget speech"`,
		`a and b or c`:                          `(a and b) or c`,
		`a and (b or c) not DC.Title any "x y"`: `(a and (b or c)) not dc.title any "x y"`,
		`caption.text all "नेपाल बजेट"`: `caption.text all "नेपाल बजेट"`,
		`"and"`:                         `"and"`,
		`cql.resultSetId = first and x`: `cql.resultSetId = first and x`,
		`say "he said \"no\""`:          ``,
		`dc.title exact "a\*b*"`:        `dc.title == "a\*b*"`,
		`a\`:                            `"a\\"`,
	} {
		n, err := Parse(in)
		if want == "" {
			if err == nil {
				t.Errorf("%s: parsed as %s", in, CQL(n))
			}
			continue
		}
		if err != nil || CQL(n) != want {
			t.Errorf("%s: %v, %v; want %s", in, n, err, want)
		}
	}
}

// An invalid query is rejected with the SRU diagnostic of its error, and with a Bib-1 diagnostic.
func TestParse_InvalidQuery_Diagnostic(t *testing.T) {
	deep := ""
	for range MaxDepth + 1 {
		deep += "("
	}
	for in, want := range map[string]int{
		``: 10, `a and`: 10, `a b`: 10, `(a`: 13, `"a`: 14, `foo.bar = x`: 16, `a prox b`: 37, `a and/x b`: 46,
		`dc.title =/x b`: 20, `a sortBy dc.date`: 80, `dc.title = "**"`: 27, `> dc = "x" a`: 15, deep + "a": 13,
	} {
		_, err := Parse(in)
		var e *Error
		if !errors.As(err, &e) || e.SRU != want || e.Bib1 == 0 {
			t.Errorf("%q: %v, want diagnostic %d", in, err, want)
		}
	}
}

// A clause is unchanged by translation to Bib-1 and back.
func TestAttributes_RoundTrip(t *testing.T) {
	for _, in := range []string{
		`cat`, `dc.title = "two words"`, `dc.title all "two words"`, `dc.creator == "Rai, B"`, `dc.date <= 2026`,
		`cat*`, `"*cat*"`, `"\*cat"`, `"a\\*"`, `dc.language <> ne`,
	} {
		n, err := Parse(in)
		if err != nil {
			t.Fatal(in, err)
		}
		attrs, term, err := Attributes(n.(*Clause))
		if err != nil {
			t.Fatal(in, err)
		}
		back, err := ClauseFromAttributes(attrs, term)
		if err != nil || !reflect.DeepEqual(back, n) {
			t.Errorf("%s: %v %q was translated back to %+v, %v", in, attrs, term, back, err)
		}
	}
	anyOf, err := Parse(`dc.title any "a b c"`)
	if err != nil {
		t.Fatal(err)
	}
	if got := CQL(ExpandAny(anyOf)); got != `(dc.title = a or dc.title = b) or dc.title = c` {
		t.Error(got)
	}
	for _, a := range []Attribute{{1, 9999}, {2, 100}, {3, 9}, {4, 99}, {5, 50}, {6, 9}, {7, 1}} {
		if _, err := ClauseFromAttributes([]Attribute{a}, "x"); err == nil {
			t.Errorf("unsupported attribute %v was accepted", a)
		}
	}
}

func TestResolveResultSets(t *testing.T) {
	n, _ := Parse(`cql.resultSetId = one not b`)
	one, _ := Parse(`x or y`)
	got, err := ResolveResultSets(n, func(name string) (Node, error) {
		if name != "one" {
			t.Errorf("result set %q was requested", name)
		}
		return one, nil
	})
	if err != nil || CQL(got) != `(x or y) not b` {
		t.Error(CQL(got), err)
	}
}

// Printed CQL is parsed as the same query, and the Bib-1 attributes of a clause are accepted.
func FuzzQuery(f *testing.F) {
	for _, s := range []string{`a and (b or c)`, `dc.title = "x*"`, `"\\\"" not a\`, `dc.date >= 2026`, `cql.resultSetId = x`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(CQL(n))
		if len(CQL(n)) <= MaxTextBytes && (err != nil || !reflect.DeepEqual(n, again)) {
			t.Fatalf("%q: printed as %q, which is parsed with error %v or as another query", text, CQL(n), err)
		}
		if c, ok := n.(*Clause); ok && c.Relation != Any {
			attrs, term, err := Attributes(c)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ClauseFromAttributes(attrs, term); err != nil {
				t.Fatalf("%q: %v", text, err)
			}
		}
	})
}
