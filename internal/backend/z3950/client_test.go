package z3950

import (
	"testing"

	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

// No input makes the parser of a target's responses panic, and the bytes that it retains are bounded.
func FuzzAnswers(f *testing.F) {
	f.Add(z3950.Constructed(z3950.SearchResponse,
		z3950.Integer(z3950.FieldResultCount, 1),
		z3950.Boolean(z3950.FieldSearchStatus, true),
	).Encode(nil))
	f.Add(z3950.Update("r", "d", query.ActionDelete, query.Record{ID: "1"}).Encode(nil))
	f.Add([]byte("\xb6\x80\xbf\x69\x80\x04\x01a\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		p := &clientParser{}
		replies, err := p.Feed(b)
		if err == nil && len(p.buf) > maxPartialLen {
			t.Fatalf("%d replies, and %d bytes retained", len(replies), len(p.buf))
		}
	})
}
