// Package sru encodes attempts as SRU requests over HTTP and judges the answers.
package sru

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/serialconn"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// maxAnswerLen is the longest body of an answer that is taken from a server.
const maxAnswerLen = 1 << 20

// Diagnostics of SRU that say something of the server, or of the outcome.
const (
	diagSystemError      = sru.Diag + "1"
	diagUnavailable      = sru.Diag + "2"
	diagAuthentication   = sru.Diag + "3"
	diagPartialResult    = sru.Diag + "59" // a result of which a part is valid
	diagDatabaseNotFound = sru.Diag + "235"
)

// Client is the serialconn.Codec of one SRU server.
type Client struct {
	Host string // as in the requests' Host field
	// Database returns the name of a shard's database; epoch is that of the map of shards by which the attempt was sent.
	Database func(shard int, epoch shardmap.Epoch) string
}

// Greeting returns nil: HTTP has no greeting.
func (c *Client) Greeting() []byte { return nil }

// Request returns the request of an attempt: a search or, if the work has an action, an update.
func (c *Client) Request(call aggregator.OutgoingAttempt, work query.Work) ([]byte, error) {
	database := c.Database(call.Shard, call.Epoch)
	if work.Action == "" {
		return http1.Request("GET", sru.SearchTarget(database, work.CQL, 1, work.MaxRecords), c.Host, nil), nil
	}
	body := sru.UpdateRequest(sru.Update{Action: work.Action, Record: work.Record})
	return http1.Request("POST", "/"+url.PathEscape(database), c.Host, body,
		"Content-Type", sru.XMLType, "SOAPAction", `""`), nil
}

// Parser returns a parser for one connection.
func (c *Client) Parser() serialconn.Parser {
	return &clientParser{http1.Parser{Responses: true, MaxBody: maxAnswerLen}}
}

type clientParser struct{ http http1.Parser }

// Feed takes bytes and returns the answers that are complete with them.
func (p *clientParser) Feed(b []byte) (replies []serialconn.Reply, err error) {
	p.http.Feed(b)
	for {
		m, err := p.http.Next()
		if err != nil || m == nil {
			return replies, err
		}
		replies = append(replies, judge(m))
	}
}

// End returns an answer without a stated length, which lasts until the stream ends.
func (p *clientParser) End() []serialconn.Reply {
	if m := p.http.End(); m != nil {
		return []serialconn.Reply{judge(m)}
	}
	return nil
}

// judge turns an HTTP answer into a reply. What a server says of the query itself is an answer; what it says of itself is an
// error, and proves nothing of whether the request ran.
func judge(message *http1.Message) serialconn.Reply {
	reply := serialconn.Reply{Close: message.Close}
	result, err := parseResult(message)
	if err != nil {
		reply.Err = err
		return reply
	}
	reply.Value = query.Encode(result)
	reply.Score = float64(result.Count)
	return reply
}

// parseResult returns what an answer says of the request, or an AttemptError.
func parseResult(message *http1.Message) (query.PartResult, error) {
	if message.Status != http.StatusOK {
		return query.PartResult{}, failed(fmt.Errorf("status %d", message.Status))
	}
	response, err := sru.ParseResponse(message.Body)
	if err != nil {
		return query.PartResult{}, failed(err)
	}
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

// serverError returns the AttemptError of a diagnostic by which the server speaks of itself; nil if it is of the request.
func serverError(d *query.Diagnostic) error {
	switch d.SRU {
	case diagSystemError, diagUnavailable, diagAuthentication:
		return failed(errors.New(d.SRU + " " + d.Details))
	case diagDatabaseNotFound:
		return serialconn.MapMismatchError(d.Details)
	}
	return nil
}

func failed(cause error) error {
	return &aggregator.AttemptError{Progress: aggregator.Answered, Cause: cause}
}
