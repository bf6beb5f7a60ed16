// Package z3950 words attempts as an origin's requests and judges the answers.
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

// Client words attempts as an origin's requests.
type Client struct {
	Database func(shard int, epoch shardmap.Epoch) string
}

// Greeting is an Init.
func (c *Client) Greeting() []byte {
	return z3950.Ctx(z3950.InitRequest, z3950.Bits(3, 0, 1, 2), z3950.Bits(4, z3950.OptSearch, z3950.OptPresent, z3950.OptDelete, z3950.OptES, z3950.OptNamed),
		z3950.Num(5, z3950.MaxPDU), z3950.Num(6, z3950.MaxPDU), z3950.Str(110, "rooktrestle"), z3950.Str(111, "rooktrestle")).Encode(nil)
}

// setName is the result set of every search: each replaces the last.
const setName = "default"

// Request words an attempt. A search asks for its records along with the count.
func (c *Client) Request(call aggregator.Call, w query.Work) ([]byte, error) {
	database := c.Database(call.Shard, call.Epoch)
	if w.Action != "" {
		return z3950.Update(call.Name, database, w.Action, w.Record).Encode(nil), nil
	}
	tree, err := query.Parse(w.CQL)
	if err != nil {
		return nil, err
	}
	q, err := z3950.Rpn(tree)
	if err != nil {
		return nil, err
	}
	return z3950.Ctx(z3950.SearchRequest, z3950.Str(2, call.Name), z3950.Num(13, w.MaxRecords), z3950.Num(14, 1<<30), z3950.Num(15, w.MaxRecords), z3950.Boolean(16, true),
		z3950.Str(17, setName), z3950.Ctx(18, z3950.Str(105, database)), z3950.Oid(z3950.Context, 104, z3950.OidXML), z3950.Ctx(21, q)).Encode(nil), nil
}

// Parser reads a target's responses.
func (c *Client) Parser() serialconn.Parser { return &clientParser{} }

type clientParser struct{ buf []byte }

func (p *clientParser) Feed(b []byte) (replies []serialconn.Reply, err error) {
	p.buf = append(p.buf, b...)
	for len(p.buf) > 0 {
		n, rest, err := z3950.Decode(p.buf)
		if err == z3950.ErrMore && len(p.buf) <= z3950.MaxPDU+64 {
			return replies, nil
		}
		if err != nil {
			return replies, err
		}
		p.buf = append([]byte(nil), rest...)
		r, err := reply(n)
		if err != nil {
			return replies, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

func (p *clientParser) End() []serialconn.Reply { return nil }

// ownFaults are diagnostics by which a target speaks of itself, not of the request.
var ownFaults = map[int]bool{1: true, 2: true, 14: true, 31: true, 32: true, 100: true, 105: true}

// reply judges a response. Nothing in it proves that a request did not run.
func reply(n *z3950.Node) (serialconn.Reply, error) {
	var r serialconn.Reply
	if n.Class != z3950.Context {
		return r, errors.New("z3950: not a unit of this protocol")
	}
	var found query.PartResult
	switch n.Tag {
	case z3950.InitResponse:
		r.Greeting = true
		if !n.Kid(12).Truth() {
			r.Err = errors.New("the target refused the association")
		}
		return r, nil
	case z3950.SearchResponse:
		found.Count = max(0, n.Kid(23).IntOr(0))
		found.Records, found.Diagnostic = z3950.ParseRecords(n)
		if !n.Kid(22).Truth() && found.Diagnostic == nil {
			found.Diagnostic = &query.Diagnostic{Bib1: 100, Details: "the search failed"}
		}
	case z3950.EsResponse:
		if list := n.Kid(4); list != nil && len(list.Kids) > 0 {
			found.Diagnostic = z3950.ParseDiagnostic(list.Kids[0])
		}
		if n.Kid(3).IntOr(3) == 3 && found.Diagnostic == nil {
			found.Diagnostic = &query.Diagnostic{Bib1: 100, Details: "the update failed"}
		}
	case z3950.ClosePDU:
		return r, fmt.Errorf("z3950: the target closed: reason %d %s", n.Kid(211).IntOr(9), n.Kid(3).Text())
	default:
		return r, fmt.Errorf("z3950: unit %d", n.Tag)
	}
	// What it does not hold it has not run.
	if t := found.Diagnostic; t != nil && t.Bib1 == 109 {
		if w, e, ok := shardmap.ParseMismatch(t.Details); ok {
			r.Err = &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true, MapStatus: w, Epoch: e, Cause: errors.New(t.Details)}
			return r, nil
		}
	}
	if t := found.Diagnostic; t != nil && ownFaults[t.Bib1] {
		r.Err = &aggregator.AttemptError{Progress: aggregator.Answered, Cause: fmt.Errorf("bib-1 %d %s", t.Bib1, t.Details)}
		return r, nil
	}
	r.Value, r.Score = query.Encode(found), float64(found.Count)
	return r, nil
}
