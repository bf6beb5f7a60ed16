package gateway

import (
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/query"
)

// A record belongs to the shard that its identifier names, or to one by hash, always the same.
func TestShardOf(t *testing.T) {
	d := &config.Database{Shards: []int{2, 5, 7}}
	if ShardOf(d, "5:x") != 5 || ShardOf(d, "7:x") != 7 {
		t.Error("the number before the colon names the shard")
	}
	seen := map[int]bool{}
	for _, id := range []string{"9:x", "a", "b", "c", "d", "e", "f", ":"} {
		at := ShardOf(d, id)
		if seen[at] = true; at != ShardOf(d, id) || at != 2 && at != 5 && at != 7 {
			t.Errorf("%s goes to %d", id, at)
		}
	}
	if len(seen) < 2 {
		t.Error("the hash spreads nothing")
	}
}

func TestPendingAnswer_Answer(t *testing.T) {
	value := query.Encode[query.PartResult]
	one := value(query.PartResult{Count: 2, Records: []query.Record{{XML: "<a/>"}, {XML: "<b/>"}}})
	two := value(query.PartResult{Count: 1, Records: []query.Record{{XML: "<c/>"}}})
	diagnostic := value(query.PartResult{Diagnostic: &query.Diagnostic{Bib1: 114}})
	for _, c := range []struct {
		name   string
		answer aggregator.FinalAnswer
		kind   Kind
		count  int
		first  string
	}{
		{"a complete answer has the records in the order of shards",
			aggregator.FinalAnswer{Status: aggregator.StatusServed, Complete: true, Items: []aggregator.Item{{Shard: 3, Value: two}, {Shard: 1, Value: one}}}, Complete, 3, "<a/>"},
		{"an answer without all parts is partial",
			aggregator.FinalAnswer{Status: aggregator.StatusServed, Items: []aggregator.Item{{Shard: 3, Value: two}}}, Partial, 1, "<c/>"},
		{"a server's diagnostic is that of the answer",
			aggregator.FinalAnswer{Status: aggregator.StatusServed, Complete: true, Items: []aggregator.Item{{Shard: 3, Value: two}, {Shard: 4, Value: diagnostic}}}, ServerDiagnostic, 1, "<c/>"},
		{"an answer with a value that is not JSON has failed",
			aggregator.FinalAnswer{Status: aggregator.StatusServed, Complete: true, Items: []aggregator.Item{{Value: "junk"}}}, Failed, 0, ""},
		{"a rejected query", aggregator.FinalAnswer{Status: aggregator.StatusRejected, RetryAfter: time.Second}, Rejected, 0, ""},
		{"a rejected query whose deadline has passed", aggregator.FinalAnswer{Status: aggregator.StatusRejected, DeadlineExceeded: true}, TimedOut, 0, ""},
		{"a failed query whose deadline has passed", aggregator.FinalAnswer{Status: aggregator.StatusFailed, DeadlineExceeded: true}, TimedOut, 0, ""},
		{"a failed query", aggregator.FinalAnswer{Status: aggregator.StatusFailed}, Failed, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got Outcome
			(&pendingAnswer{done: func(o Outcome) { got = o }}).Answer(c.answer)
			if got.Kind != c.kind || got.Count != c.count || c.first != "" && got.Records[0].XML != c.first {
				t.Errorf("%+v: %+v", c.answer, got)
			}
		})
	}
}

func TestOutcome_Page(t *testing.T) {
	o := Outcome{Records: make([]query.Record, 5)}
	if len(o.Page(2, 2)) != 2 || len(o.Page(5, 9)) != 1 || o.Page(6, 1) != nil || o.Page(0, 1) != nil {
		t.Error("a page has other records than those from its start, counted from 1")
	}
}
