// Package sru words attempts as SRU requests and judges the answers.
package sru

import (
	"errors"
	"fmt"
	"net/url"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/serialconn"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// maxAnswer is the longest answer taken from a server.
const maxAnswer = 1 << 20

// Client words attempts as SRU requests.
type Client struct {
	Host     string
	Database func(shard int, epoch shardmap.Epoch) string
}

// Greeting is nothing: HTTP needs none.
func (c *Client) Greeting() []byte { return nil }

// Request words an attempt.
func (c *Client) Request(call aggregator.Call, w query.Work) ([]byte, error) {
	database := c.Database(call.Shard, call.Epoch)
	if w.Action == "" {
		return http1.Request("GET", sru.SearchTarget(database, w.CQL, 1, w.MaxRecords), c.Host, nil), nil
	}
	body := sru.UpdateRequest(sru.Update{Action: w.Action, Record: w.Record})
	return http1.Request("POST", "/"+url.PathEscape(database), c.Host, body,
		"Content-Type", sru.XMLType, "SOAPAction", `""`), nil
}

// Parser reads answers.
func (c *Client) Parser() serialconn.Parser {
	return &clientParser{http1.Parser{Responses: true, MaxBody: maxAnswer}}
}

type clientParser struct{ http http1.Parser }

func (p *clientParser) Feed(b []byte) (replies []serialconn.Reply, err error) {
	p.http.Feed(b)
	for {
		m, err := p.http.Next()
		if err != nil || m == nil {
			return replies, err
		}
		replies = append(replies, reply(m))
	}
}

func (p *clientParser) End() []serialconn.Reply {
	if m := p.http.End(); m != nil {
		return []serialconn.Reply{reply(m)}
	}
	return nil
}

// reply judges an answer. What a server says of the query itself is an answer; what it says of itself is an
// error, and nothing in it proves that the request did not run.
func reply(m *http1.Message) serialconn.Reply {
	r := serialconn.Reply{Close: m.Close}
	failed := func(cause error) serialconn.Reply {
		r.Err = &aggregator.AttemptError{Progress: aggregator.Answered, Cause: cause}
		return r
	}
	if m.Status != 200 {
		return failed(fmt.Errorf("status %d", m.Status))
	}
	a, err := sru.ParseResponse(m.Body)
	if err != nil {
		return failed(err)
	}
	if t := a.Diagnostic; t != nil && (t.SRU == sru.Diag+"1" || t.SRU == sru.Diag+"2" || t.SRU == sru.Diag+"3") {
		return failed(errors.New(t.SRU + " " + t.Details))
	}
	// What it does not hold it has not run.
	if t := a.Diagnostic; t != nil && t.SRU == sru.Diag+"235" {
		if w, e, ok := shardmap.ParseMismatch(t.Details); ok {
			r.Err = &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true, MapStatus: w, Epoch: e, Cause: errors.New(t.Details)}
			return r
		}
	}
	if a.Update && !a.Good && a.Diagnostic == nil {
		a.Diagnostic = &query.Diagnostic{SRU: sru.Diag + "1", Details: "the server failed the update"}
	}
	if a.Diagnostic != nil && a.Diagnostic.SRU == sru.Diag+"59" {
		a.Diagnostic = nil // a valid part of it all the same
	}
	r.Value, r.Score = query.Encode(a.PartResult), float64(a.Count)
	return r
}
