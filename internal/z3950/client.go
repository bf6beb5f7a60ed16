package z3950

import (
	"errors"
	"fmt"

	"rooktrestle/internal/mixer"
	"rooktrestle/internal/net/issue"
	"rooktrestle/internal/query"
)

// Client words attempts as an origin's requests.
type Client struct {
	Database func(shard int) string
}

// Greeting is an Init.
func (c *Client) Greeting() []byte {
	return ctx(initRequest, bits(3, 0, 1, 2), bits(4, optSearch, optPresent, optDelete, optES, optNamed),
		num(5, maxPDU), num(6, maxPDU), str(110, "rooktrestle"), str(111, "rooktrestle")).Encode(nil)
}

// setName is the result set of every search: each replaces the last.
const setName = "default"

// Request words an attempt. A search asks for its records along with the count.
func (c *Client) Request(call mixer.Call, w query.Work) ([]byte, error) {
	database := c.Database(call.Shard)
	if w.Action != "" {
		return update(call.Name, database, w.Action, w.Record).Encode(nil), nil
	}
	tree, err := query.Parse(w.CQL)
	if err != nil {
		return nil, err
	}
	q, err := rpn(tree)
	if err != nil {
		return nil, err
	}
	return ctx(searchRequest, str(2, call.Name), num(13, w.Most), num(14, 1<<30), num(15, w.Most), boolean(16, true),
		str(17, setName), ctx(18, str(105, database)), oid(Context, 104, oidXML), ctx(21, q)).Encode(nil), nil
}

// Parser reads a target's responses.
func (c *Client) Parser() issue.Parser { return &clientParser{} }

type clientParser struct{ buf []byte }

func (p *clientParser) Feed(b []byte) (replies []issue.Reply, err error) {
	p.buf = append(p.buf, b...)
	for len(p.buf) > 0 {
		n, rest, err := Decode(p.buf)
		if err == errMore && len(p.buf) <= maxPDU+64 {
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

func (p *clientParser) End() []issue.Reply { return nil }

// ownFaults are diagnostics by which a target speaks of itself, not of the request.
var ownFaults = map[int]bool{1: true, 2: true, 14: true, 31: true, 32: true, 100: true, 105: true}

// reply judges a response. Nothing in it proves that a request did not run.
func reply(n *Node) (issue.Reply, error) {
	var r issue.Reply
	if n.Class != Context {
		return r, errors.New("z3950: not a unit of this protocol")
	}
	var found query.Found
	switch n.Tag {
	case initResponse:
		r.Greeting = true
		if !n.kid(12).truth() {
			r.Err = errors.New("the target refused the association")
		}
		return r, nil
	case searchResponse:
		found.Count = max(0, n.kid(23).intOr(0))
		found.Records, found.Trouble = parseRecords(n)
		if !n.kid(22).truth() && found.Trouble == nil {
			found.Trouble = &query.Diagnostic{Bib1: 100, Details: "the search failed"}
		}
	case esResponse:
		if list := n.kid(4); list != nil && len(list.Kids) > 0 {
			found.Trouble = parseDiagnostic(list.Kids[0])
		}
		if n.kid(3).intOr(3) == 3 && found.Trouble == nil {
			found.Trouble = &query.Diagnostic{Bib1: 100, Details: "the update failed"}
		}
	case closePDU:
		return r, fmt.Errorf("z3950: the target closed: reason %d %s", n.kid(211).intOr(9), n.kid(3).text())
	default:
		return r, fmt.Errorf("z3950: unit %d", n.Tag)
	}
	if t := found.Trouble; t != nil && ownFaults[t.Bib1] {
		r.Err = &mixer.AttemptError{Reach: mixer.Answered, Cause: fmt.Errorf("bib-1 %d %s", t.Bib1, t.Details)}
		return r, nil
	}
	r.Value, r.Score = query.Encode(found), float64(found.Count)
	return r, nil
}
