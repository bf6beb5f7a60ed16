package gateway

import (
	"encoding/json"
	"slices"
	"strings"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/query"
)

// pendingAnswer converts the final answer to a query to its outcome. It implements aggregator.Frontend.
type pendingAnswer struct {
	done     func(Outcome)
	sortByID bool // sort records by identifier, as shards may change
}

// Answer passes the outcome to done. With fixed shards, records are ordered by shard, and within a shard as its server
// returned them. If shards may change, all records are ordered by identifier, so that a page is the same before and
// after a change.
func (a *pendingAnswer) Answer(answer aggregator.FinalAnswer) {
	switch {
	case answer.Status == aggregator.StatusServed:
		a.done(merge(answer, a.sortByID))
	case answer.DeadlineExceeded:
		a.done(Outcome{Kind: TimedOut})
	case answer.Status == aggregator.StatusRejected:
		a.done(Outcome{Kind: Rejected, RetryAfter: answer.RetryAfter})
	default:
		a.done(Outcome{Kind: Failed})
	}
}

// merge merges the parts of a served query into one outcome.
func merge(answer aggregator.FinalAnswer, sortByID bool) Outcome {
	outcome := Outcome{
		MissingShards:  answer.MissingShards,
		TotalParts:     answer.TotalParts,
		AnsweredWeight: answer.AnsweredWeight,
	}
	if !answer.Complete {
		outcome.Kind = Partial
	}
	items := slices.Clone(answer.Items)
	slices.SortStableFunc(items, func(a, b aggregator.Item) int { return a.Shard - b.Shard })
	for _, item := range items {
		var result query.PartResult
		if err := json.Unmarshal([]byte(item.Value), &result); err != nil {
			return Outcome{Kind: Failed, Details: "a part's value cannot be read"}
		}
		if result.Diagnostic != nil && outcome.Diagnostic == nil {
			outcome.Kind, outcome.Diagnostic = ServerDiagnostic, result.Diagnostic
		}
		outcome.Count += result.Count
		outcome.Records = append(outcome.Records, result.Records...)
	}
	if sortByID {
		sortByIdentifier(outcome.Records)
	}
	return outcome
}

// sortByIdentifier sorts records by their identifiers. Identifiers that are only in a record's XML are parsed once,
// before sorting.
func sortByIdentifier(records []query.Record) {
	parsed := make(map[string]string, len(records)) // by XML
	for _, record := range records {
		if record.ID == "" {
			parsed[record.XML] = record.Identifier()
		}
	}
	identifier := func(record query.Record) string {
		if record.ID != "" {
			return record.ID
		}
		return parsed[record.XML]
	}
	slices.SortStableFunc(records, func(a, b query.Record) int { return strings.Compare(identifier(a), identifier(b)) })
}
