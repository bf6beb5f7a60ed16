package gateway

import (
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/query"
)

// A record belongs to the shard that its identifier names, or otherwise always to the same shard, chosen by hash.
func TestShardOf(t *testing.T) {
	d := &config.Database{Shards: []int{2, 5, 7}}
	if ShardOf(d, "5:x") != 5 || ShardOf(d, "7:x") != 7 {
		t.Error("the number before the colon is not used as the shard")
	}
	seen := map[int]bool{}
	for _, id := range []string{"9:x", "a", "b", "c", "d", "e", "f", ":"} {
		at := ShardOf(d, id)
		if seen[at] = true; at != ShardOf(d, id) || at != 2 && at != 5 && at != 7 {
			t.Errorf("%s belongs to shard %d, or to different shards in two calls", id, at)
		}
	}
	if len(seen) < 2 {
		t.Error("all identifiers belong to the same shard")
	}
}

// Encoded values of parts.
var (
	oneValue        = query.Encode(query.PartResult{Count: 2, Records: []query.Record{{XML: "<a/>"}, {XML: "<b/>"}}})
	twoValue        = query.Encode(query.PartResult{Count: 1, Records: []query.Record{{XML: "<c/>"}}})
	diagnosticValue = query.Encode(query.PartResult{Diagnostic: &query.Diagnostic{Bib1: 114}})
)

var answerTests = []struct {
	name   string
	answer aggregator.FinalAnswer
	kind   Kind
	count  int
	first  string
}{
	{
		name: "a complete answer has the records in the order of shards",
		answer: aggregator.FinalAnswer{
			Status:   aggregator.StatusServed,
			Complete: true,
			Items:    []aggregator.Item{{Shard: 3, Value: twoValue}, {Shard: 1, Value: oneValue}},
		},
		kind:  Complete,
		count: 3,
		first: "<a/>",
	},
	{
		name: "an answer without all parts is partial",
		answer: aggregator.FinalAnswer{
			Status: aggregator.StatusServed,
			Items:  []aggregator.Item{{Shard: 3, Value: twoValue}},
		},
		kind:  Partial,
		count: 1,
		first: "<c/>",
	},
	{
		name: "a server's diagnostic is that of the answer",
		answer: aggregator.FinalAnswer{
			Status:   aggregator.StatusServed,
			Complete: true,
			Items:    []aggregator.Item{{Shard: 3, Value: twoValue}, {Shard: 4, Value: diagnosticValue}},
		},
		kind:  ServerDiagnostic,
		count: 1,
		first: "<c/>",
	},
	{
		name: "an answer with a value that is not JSON has failed",
		answer: aggregator.FinalAnswer{
			Status:   aggregator.StatusServed,
			Complete: true,
			Items:    []aggregator.Item{{Value: "junk"}},
		},
		kind: Failed,
	},
	{
		name:   "a rejected query",
		answer: aggregator.FinalAnswer{Status: aggregator.StatusRejected, RetryAfter: time.Second},
		kind:   Rejected,
	},
	{
		name:   "a rejected query whose deadline has expired",
		answer: aggregator.FinalAnswer{Status: aggregator.StatusRejected, DeadlineExceeded: true},
		kind:   TimedOut,
	},
	{
		name:   "a failed query whose deadline has expired",
		answer: aggregator.FinalAnswer{Status: aggregator.StatusFailed, DeadlineExceeded: true},
		kind:   TimedOut,
	},
	{
		name:   "a failed query",
		answer: aggregator.FinalAnswer{Status: aggregator.StatusFailed},
		kind:   Failed,
	},
}

func TestPendingAnswer_Answer(t *testing.T) {
	for _, test := range answerTests {
		t.Run(test.name, func(t *testing.T) {
			var got Outcome
			(&pendingAnswer{done: func(o Outcome) { got = o }}).Answer(test.answer)
			if got.Kind != test.kind || got.Count != test.count || test.first != "" && got.Records[0].XML != test.first {
				t.Errorf("%+v: %+v", test.answer, got)
			}
		})
	}
}

func TestOutcome_Page(t *testing.T) {
	o := Outcome{Records: make([]query.Record, 5)}
	if len(o.Page(2, 2)) != 2 || len(o.Page(5, 9)) != 1 || o.Page(6, 1) != nil || o.Page(0, 1) != nil {
		t.Error("a page does not have the records from its start, counted from 1")
	}
}
