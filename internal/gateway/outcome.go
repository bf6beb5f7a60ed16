package gateway

import (
	"fmt"
	"strings"
	"time"

	"rooktrestle/internal/query"
)

// Kind states whether an answer is complete, and if not, why.
type Kind int

// Kinds of outcome. Only Complete, Partial and ServerDiagnostic have records.
const (
	Complete         Kind = iota
	Partial               // some shards did not answer
	Rejected              // not attempted, so a retry is safe
	Failed                // failed by the core; a correction may have run
	TimedOut              // the deadline has expired; a correction may have run
	UnknownDatabase       // a database does not exist, or cannot be searched together with the others
	ReadOnly              // the database does not accept corrections
	ServerDiagnostic      // a server has rejected the request: see Outcome.Diagnostic
)

// Outcome is the final answer to a search or a correction.
type Outcome struct {
	Kind           Kind
	Count          int // records found; may exceed len(Records)
	Records        []query.Record
	RetryAfter     time.Duration     // Rejected: delay before a retry; 0: unknown
	Diagnostic     *query.Diagnostic // ServerDiagnostic: the first one in the order of shards
	Details        string
	MissingShards  []int   // Partial: shards that did not answer
	TotalParts     int     // parts of the query, answered or not
	AnsweredWeight float64 // weight of the answered parts, 0 to 1
}

// maxListedShards is the maximum number of missing shards that Coverage lists.
const maxListedShards = 8

// Coverage describes how many shards an outcome covers, in text for users.
func (o *Outcome) Coverage() string {
	var listed []string
	for _, shard := range o.MissingShards[:min(len(o.MissingShards), maxListedShards)] {
		listed = append(listed, fmt.Sprint(shard))
	}
	answered := o.TotalParts - len(o.MissingShards)
	text := fmt.Sprintf("%d of %d blocks are in, %.1f%% of the weight", answered, o.TotalParts, 100*o.AnsweredWeight)
	if len(listed) > 0 {
		text += "; not in: " + strings.Join(listed, ", ")
		if more := len(o.MissingShards) - len(listed); more > 0 {
			text += fmt.Sprintf(" and %d more", more)
		}
	}
	return text
}

// Page returns up to number records from start, counted from 1; nil: there is no record at start. The slice shares the
// outcome's records.
func (o *Outcome) Page(start, number int) []query.Record {
	if start < 1 || start > len(o.Records) {
		return nil
	}
	return o.Records[start-1 : min(len(o.Records), start-1+number)]
}
