package gateway

import (
	"fmt"
	"strings"
	"time"

	"rooktrestle/internal/query"
)

// Kind says whether an answer is complete, and if not, why.
type Kind int

// Kinds of outcome. Only Complete, Partial and ServerDiagnostic have records.
const (
	Complete         Kind = iota
	Partial               // some shards did not answer
	Rejected              // not attempted, so that a retry is harmless
	Failed                // given up; a correction may have run
	TimedOut              // the deadline has passed; a correction may have run
	UnknownDatabase       // a database is not there, or cannot be searched together with the others
	ReadOnly              // the database accepts no corrections
	ServerDiagnostic      // a server has rejected the request itself: see Outcome.Diagnostic
)

// Outcome is the one answer to a search or a correction.
type Outcome struct {
	Kind           Kind
	Count          int // records found, which may be more than Records
	Records        []query.Record
	RetryAfter     time.Duration     // Rejected: when to retry; 0: not known
	Diagnostic     *query.Diagnostic // ServerDiagnostic: the first server's
	Details        string
	MissingShards  []int   // Partial: those that did not answer
	TotalParts     int     // parts of the query, answered or not
	AnsweredWeight float64 // weight of the answered parts, 0 to 1
}

// maxListedShards is the number of missing shards that a coverage lists.
const maxListedShards = 8

// Coverage describes for people how much of the shards an outcome covers.
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

// Page returns up to number records from start, counted from 1; nil: there is no record at start. The records belong to
// the outcome.
func (o *Outcome) Page(start, number int) []query.Record {
	if start < 1 || start > len(o.Records) {
		return nil
	}
	return o.Records[start-1 : min(len(o.Records), start-1+number)]
}
