// Package sru encodes attempts as SRU requests over HTTP and decodes the answers.
package sru

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/serialconn"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// maxAnswerLen is the longest body of an answer that is accepted from a server.
const maxAnswerLen = 1 << 20

// SRU diagnostics that do not concern the query itself: they describe the server, or qualify its result.
const (
	diagSystemError      = sru.DiagnosticPrefix + "1"
	diagUnavailable      = sru.DiagnosticPrefix + "2"
	diagAuthentication   = sru.DiagnosticPrefix + "3"
	diagPartialResult    = sru.DiagnosticPrefix + "59" // the result is valid, but not complete
	diagDatabaseNotFound = sru.DiagnosticPrefix + "235"
)

// Client is the serialconn.Codec of one SRU server.
type Client struct {
	Host string // as in the requests' Host field
	// Database returns the name of a shard's database; epoch is that of the shard map by which the attempt was sent.
	Database func(shard int, epoch shardmap.Epoch) string
}

// Greeting returns nil: HTTP has no greeting.
func (c *Client) Greeting() []byte { return nil }

// Request returns the encoded request of an attempt: a search or, if the work has an action, an update.
func (c *Client) Request(attempt aggregator.OutgoingAttempt, work query.Work) ([]byte, error) {
	database := c.Database(attempt.Shard, attempt.Epoch)
	if work.Action == "" {
		return http1.Request("GET", sru.SearchTarget(database, work.CQL, 1, work.MaxRecords), c.Host, nil), nil
	}
	body := sru.UpdateRequest(sru.Update{Action: work.Action, Record: work.Record})
	return http1.Request("POST", "/"+url.PathEscape(database), c.Host, body,
		"Content-Type", sru.XMLType, "SOAPAction", `""`), nil
}

// Answers reports whether a reply may be the answer to an attempt's request: it has the same kind and, if it repeats its
// query, the same query. HTTP has no means to tell the answers to two requests apart.
func (c *Client) Answers(reply serialconn.Reply, _ aggregator.OutgoingAttempt, work query.Work) bool {
	sameKind := reply.Kind == serialconn.UnknownRequest || reply.Kind == serialconn.KindOf(work)
	return sameKind && (reply.Request == "" || reply.Request == strings.TrimSpace(work.CQL))
}

// IdentifiesAnswers returns false.
func (c *Client) IdentifiesAnswers() bool { return false }

// Parser returns a parser for one connection.
func (c *Client) Parser() serialconn.Parser {
	return &clientParser{http1.Parser{Responses: true, MaxBody: maxAnswerLen}}
}

type clientParser struct{ http http1.Parser }

// Feed accepts received bytes and returns the answers that they complete.
func (p *clientParser) Feed(b []byte) (replies []serialconn.Reply, err error) {
	p.http.Feed(b)
	for {
		m, err := p.http.Next()
		if err != nil || m == nil {
			return replies, err
		}
		replies = append(replies, toReply(m))
	}
}

// Partial reports whether an answer has begun and is not complete.
func (p *clientParser) Partial() bool { return p.http.Begun() }

// End returns the answer that is completed by the end of the stream: one without a stated length.
func (p *clientParser) End() []serialconn.Reply {
	if m := p.http.End(); m != nil {
		return []serialconn.Reply{toReply(m)}
	}
	return nil
}

// toReply converts an HTTP answer to a reply. A diagnostic about the request is an answer. One about the server is an error,
// which does not show whether the request ran.
func toReply(message *http1.Message) serialconn.Reply {
	reply := serialconn.Reply{Close: message.Close}
	if message.Status != http.StatusOK {
		reply.Err = answeredError(fmt.Errorf("status %d", message.Status))
		return reply
	}
	response, err := sru.ParseResponse(message.Body)
	if err != nil {
		reply.Err = answeredError(err)
		return reply
	}
	reply.Kind = serialconn.SearchRequest
	if response.Update {
		reply.Kind = serialconn.UpdateRequest
	}
	reply.Request = response.EchoedQuery
	result, err := partResult(response)
	if err != nil {
		reply.Err = err
		return reply
	}
	reply.Value = query.Encode(result)
	reply.Score = float64(result.Count)
	return reply
}

// partResult returns the result that a response contains, or an AttemptError.
func partResult(response sru.Response) (query.PartResult, error) {
	if response.Diagnostic != nil {
		if err := serverError(response.Diagnostic); err != nil {
			return query.PartResult{}, err
		}
	}
	switch {
	case response.Diagnostic == nil && response.Update && !response.Succeeded:
		response.Diagnostic = &query.Diagnostic{SRU: diagSystemError, Details: "the server failed the update"}
	case response.Diagnostic != nil && response.Diagnostic.SRU == diagPartialResult:
		response.Diagnostic = nil
	}
	return response.PartResult, nil
}

// serverError returns the AttemptError of a diagnostic about the server; nil if the diagnostic is about the request.
func serverError(d *query.Diagnostic) error {
	switch d.SRU {
	case diagSystemError, diagUnavailable, diagAuthentication:
		return answeredError(errors.New(d.SRU + " " + d.Details))
	case diagDatabaseNotFound:
		return serialconn.MapMismatchError(d.Details)
	}
	return nil
}

// answeredError returns the AttemptError of an answer that reports a failure of the server.
func answeredError(cause error) error {
	return &aggregator.AttemptError{Progress: aggregator.Answered, Cause: cause}
}
