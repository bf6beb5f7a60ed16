// Package z3950 encodes attempts as the requests of a Z39.50 origin and decodes the target's responses.
package z3950

import (
	"errors"
	"fmt"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/serialconn"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

const (
	// implementation is the implementation ID and name that Init sends to the target.
	implementation = "rooktrestle"
	// resultSetName is the result set of every search, which replaces that of the previous one.
	resultSetName = "default"
	// maxPartialLen is the longest incomplete response that is retained: the largest PDU and its header.
	maxPartialLen = z3950.MaxPDU + 64
)

// The class in the first octet of an encoded value.
const (
	classMask    = 0xc0
	contextClass = 0x80 // of each PDU
)

const (
	// unreachableSetSize is a large-set lower bound that no result set reaches, so every search response may have records.
	unreachableSetSize = 1 << 30
	// operationFailed is the operation status of an extended service that failed.
	operationFailed = 3
	// reasonUnspecified is the reason assumed for a Close that states none.
	reasonUnspecified = 9
)

// Diagnostics of the bib-1 set.
const (
	bib1Unspecified         = 100
	bib1DatabaseUnavailable = 109
)

// serverDiagnostics are the bib-1 diagnostics about the state of the target, not about the request.
var serverDiagnostics = map[int]bool{
	1:               true, // permanent system error
	2:               true, // temporary system error
	14:              true, // system error in presenting records
	31:              true, // resources exhausted, no results available
	32:              true, // resources exhausted, partial results available
	bib1Unspecified: true,
	105:             true, // terminated by negative continue response
}

var (
	errNotPDU       = errors.New("z3950: the response is not a Z39.50 PDU: its tag is not context-specific")
	errInitRejected = errors.New("z3950: the target rejected the Init request")
)

// Client is the serialconn.Codec of one Z39.50 target.
type Client struct {
	// Database returns the name of a shard's database; epoch is that of the shard map by which the attempt was sent.
	Database func(shard int, epoch shardmap.Epoch) string
}

// Greeting returns an Init request.
func (c *Client) Greeting() []byte {
	return z3950.Constructed(z3950.InitRequest,
		z3950.BitString(z3950.FieldVersion, 0, 1, 2),
		z3950.BitString(z3950.FieldOptions,
			z3950.OptSearch, z3950.OptPresent, z3950.OptDelete, z3950.OptES, z3950.OptNamed),
		z3950.Integer(z3950.FieldPreferredMessageSize, z3950.MaxPDU),
		z3950.Integer(z3950.FieldExceptionalRecordSize, z3950.MaxPDU),
		z3950.String(z3950.FieldImplementationID, implementation),
		z3950.String(z3950.FieldImplementationName, implementation),
	).Encode(nil)
}

// Request returns the encoded request of an attempt: a search, which requests records along with the count, or, if the work
// has an action, an update. An error means that the query cannot be expressed in Z39.50.
func (c *Client) Request(attempt aggregator.OutgoingAttempt, work query.Work) ([]byte, error) {
	database := c.Database(attempt.Shard, attempt.Epoch)
	if work.Action != "" {
		return z3950.Update(attempt.Name, database, work.Action, work.Record).Encode(nil), nil
	}
	tree, err := query.Parse(work.CQL)
	if err != nil {
		return nil, err
	}
	rpn, err := z3950.EncodeRPN(tree)
	if err != nil {
		return nil, err
	}
	return z3950.Constructed(z3950.SearchRequest,
		z3950.String(z3950.FieldReferenceID, attempt.Name),
		z3950.Integer(z3950.FieldSmallSetUpperBound, work.MaxRecords),
		z3950.Integer(z3950.FieldLargeSetLowerBound, unreachableSetSize),
		z3950.Integer(z3950.FieldMediumSetPresentNumber, work.MaxRecords),
		z3950.Boolean(z3950.FieldReplaceIndicator, true),
		z3950.String(z3950.FieldResultSetName, resultSetName),
		z3950.Constructed(z3950.FieldDatabaseNames, z3950.String(z3950.FieldDatabaseName, database)),
		z3950.OID(z3950.Context, z3950.FieldRecordSyntax, z3950.OidXML),
		z3950.Constructed(z3950.FieldQuery, rpn),
	).Encode(nil), nil
}

// Answers reports whether a reply has the reference id and the kind of an attempt's request.
func (c *Client) Answers(reply serialconn.Reply, attempt aggregator.OutgoingAttempt, work query.Work) bool {
	return reply.Kind == serialconn.KindOf(work) && reply.Request == attempt.Name
}

// IdentifiesAnswers returns true: a target repeats the reference id of a request in its response.
func (c *Client) IdentifiesAnswers() bool { return true }

// Parser returns a parser for one connection.
func (c *Client) Parser() serialconn.Parser { return &clientParser{} }

type clientParser struct{ buf []byte }

// Feed accepts received bytes and returns the replies of the responses that they complete.
func (p *clientParser) Feed(data []byte) (replies []serialconn.Reply, err error) {
	p.buf = append(p.buf, data...)
	for len(p.buf) > 0 {
		if p.buf[0]&classMask != contextClass { // it may state a length that never arrives
			return replies, errNotPDU
		}
		node, rest, err := z3950.Decode(p.buf)
		if errors.Is(err, z3950.ErrMore) && len(p.buf) <= maxPartialLen {
			return replies, nil
		}
		if err != nil {
			return replies, err
		}
		p.buf = append([]byte(nil), rest...)
		reply, err := toReply(node)
		if err != nil {
			return replies, err
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

// Partial reports whether a response has begun and is not complete.
func (p *clientParser) Partial() bool { return len(p.buf) > 0 }

// End returns nothing: every response has a stated end, so the end of the stream completes none.
func (p *clientParser) End() []serialconn.Reply { return nil }

// toReply converts a response to a reply. An error means that the association cannot be used any more.
func toReply(node *z3950.Node) (serialconn.Reply, error) {
	switch node.Tag {
	case z3950.InitResponse:
		reply := serialconn.Reply{Greeting: true}
		if !node.Child(z3950.FieldInitResult).Bool() {
			reply.Err = errInitRejected
		}
		return reply, nil
	case z3950.SearchResponse:
		return resultReply(node, serialconn.SearchRequest, parseSearchResponse(node)), nil
	case z3950.EsResponse:
		return resultReply(node, serialconn.UpdateRequest, parseUpdateResponse(node)), nil
	case z3950.ClosePDU:
		reason := node.Child(z3950.FieldCloseReason).IntOr(reasonUnspecified)
		details := node.Child(z3950.FieldCloseInformation).Text()
		return serialconn.Reply{}, fmt.Errorf("z3950: the target closed the association: reason %d, %q", reason, details)
	default:
		return serialconn.Reply{}, fmt.Errorf("z3950: unexpected PDU with tag %d", node.Tag)
	}
}

func parseSearchResponse(node *z3950.Node) (result query.PartResult) {
	result.Count = max(0, node.Child(z3950.FieldResultCount).IntOr(0))
	result.Records, result.Diagnostic = z3950.ParseRecords(node)
	if !node.Child(z3950.FieldSearchStatus).Bool() && result.Diagnostic == nil {
		result.Diagnostic = &query.Diagnostic{Bib1: bib1Unspecified, Details: "the search failed"}
	}
	return result
}

func parseUpdateResponse(node *z3950.Node) (result query.PartResult) {
	if list := node.Child(z3950.FieldEsDiagnostics); list != nil && len(list.Children) > 0 {
		result.Diagnostic = z3950.ParseDiagnostic(list.Children[0])
	}
	failed := node.Child(z3950.FieldEsOperationStatus).IntOr(operationFailed) == operationFailed
	if failed && result.Diagnostic == nil {
		result.Diagnostic = &query.Diagnostic{Bib1: bib1Unspecified, Details: "the update failed"}
	}
	return result
}

// resultReply converts the result in a response to a reply. A diagnostic about the request is an answer. One about the target
// is an error, which does not show whether the request ran.
func resultReply(node *z3950.Node, kind serialconn.RequestKind, result query.PartResult) serialconn.Reply {
	reply := serialconn.Reply{Kind: kind, Request: node.Child(z3950.FieldReferenceID).Text()}
	if result.Diagnostic != nil {
		if reply.Err = targetError(result.Diagnostic); reply.Err != nil {
			return reply
		}
	}
	reply.Value = query.Encode(result)
	reply.Score = float64(result.Count)
	return reply
}

// targetError returns the AttemptError of a diagnostic about the target; nil if the diagnostic is about the request.
func targetError(d *query.Diagnostic) error {
	if d.Bib1 == bib1DatabaseUnavailable {
		return serialconn.MapMismatchError(d.Details)
	}
	if serverDiagnostics[d.Bib1] {
		cause := fmt.Errorf("bib-1 %d %s", d.Bib1, d.Details)
		return &aggregator.AttemptError{Progress: aggregator.Answered, Cause: cause}
	}
	return nil
}
