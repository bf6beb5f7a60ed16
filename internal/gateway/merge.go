package gateway

import (
	"encoding/json"
	"slices"
	"strings"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/query"
)

// pendingAnswer turns the final answer to a query into its outcome. It implements aggregator.Frontend.
type pendingAnswer struct {
	done     func(Outcome)
	sortByID bool // shards may change: records are in the order of their identifiers
}

// Answer passes the outcome on. With fixed shards, records are in the order of shards, and within a shard in the order
// of its server. Where shards may change, all records are in the order of their identifiers, so that a page is the same
// before and after a change.
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

// merge makes one outcome of the parts of a served query.
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

// sortByIdentifier sorts records by their identifiers. An identifier that has to be parsed from the record's XML is
// parsed once.
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
