// Package platform is the platform's front: queries over HTTP/1.1.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/protocol/http1"
)

// Options are what the front needs to know.
type Options struct {
	Classes, Tenants []string
	Shards           int
	MaxTimeout       time.Duration // longest time that a client may state
	Timeouts         httpserve.Timeouts
}

// Frontend takes requests from connections and posts them to the loop.
type Frontend struct {
	*httpserve.Server
	set   Options
	put   func(aggregator.Message)
	stats func() string
	ready atomic.Bool
}

// New returns a front that posts to put; stats words the counters.
func New(set Options, put func(aggregator.Message), now func() time.Time, stats func() string) *Frontend {
	f := &Frontend{set: set, put: put, stats: stats}
	f.Server = httpserve.New(set.Timeouts, now, f.handle)
	return f
}

// SetReady says whether /healthz answers 200.
func (f *Frontend) SetReady(ready bool) { f.ready.Store(ready) }

func (f *Frontend) handle(x *httpserve.Exchange) {
	path, _, _ := strings.Cut(x.Target, "?")
	if path == "/healthz" || path == "/counters" {
		switch {
		case x.Method != "GET" && x.Method != "HEAD":
			bad(x, 405, "only GET", "Allow", "GET, HEAD")
		case path == "/counters":
			go func() { x.Respond(200, []byte(f.stats()+"\n"), "Content-Type", "text/plain") }()
		case f.ready.Load():
			x.Respond(200, []byte("ok\n"))
		default:
			x.Respond(503, []byte("not ready\n"))
		}
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class := slices.Index(f.set.Classes, name)
	if class < 0 {
		bad(x, 404, "no such class")
		return
	}
	if x.Method != "POST" {
		bad(x, 405, "only POST", "Allow", "POST")
		return
	}
	req, err := f.parse(x.Message, class, x.FirstByteAt)
	if err != nil {
		bad(x, 400, err.Error())
		return
	}
	req.Frontend = asker{x}
	// In this order: a client that leaves in between would reach the loop before its request, and be forgotten.
	f.put(aggregator.RequestArrived{Request: req})
	if !x.OnDisconnect(func() { f.put(aggregator.ClientDisconnected{Request: req}) }) {
		f.put(aggregator.ClientDisconnected{Request: req})
	}
}

func bad(x *httpserve.Exchange, status int, reason string, fields ...string) {
	x.Respond(status, []byte(reason+"\n"), append(fields, "Content-Type", "text/plain")...)
}

// asker passes a query's final answer to its client.
type asker struct{ x *httpserve.Exchange }

func (a asker) Answer(f aggregator.FinalAnswer) {
	status, text, fields := Render(f)
	a.x.Respond(status, text, fields...)
}

// body is a query's.
type body struct {
	Slices []struct {
		Slice  *int    `json:"slice"`
		Mass   float64 `json:"mass"`
		Micros float64 `json:"micros"`
		Term   string  `json:"term"`
	} `json:"slices"`
	Filter *string `json:"filter"`
}

// massSlack is by how much the masses of a query may miss 1: they come rounded.
const massSlack = 1e-3

func (f *Frontend) parse(m *http1.Message, class int, begun time.Time) (*aggregator.Request, error) {
	h := m.Header
	r := &aggregator.Request{ID: h.Get("X-Request-Id"), Class: class, Arrived: begun, IsRetry: h.Get("X-Retry") == "1"}
	if !word(r.ID) {
		return nil, fmt.Errorf("X-Request-Id %q", r.ID)
	}
	if stated := h.Get("X-Class"); stated != "" && stated != f.set.Classes[class] {
		return nil, fmt.Errorf("X-Class %q does not go with the path", stated)
	}
	if name := h.Get("X-Tenant"); name != "" || len(f.set.Tenants) > 0 {
		if r.Tenant = slices.Index(f.set.Tenants, name); r.Tenant < 0 {
			return nil, fmt.Errorf("X-Tenant %q", name)
		}
	}
	wait, err := strconv.ParseFloat(h.Get("X-Deadline"), 64)
	// Digits and a point: what else the parser takes for a number is none here.
	if err != nil || strings.Trim(h.Get("X-Deadline"), "0123456789.") != "" || !(wait > 0) || wait > 1e6 {
		return nil, fmt.Errorf("X-Deadline %q", h.Get("X-Deadline"))
	}
	r.Timeout = min(time.Duration(wait*float64(time.Second)), f.set.MaxTimeout)
	var b body
	if !utf8.Valid(m.Body) { // it would reach the leaf servers changed
		return nil, errors.New("body: not UTF-8")
	}
	if err := json.Unmarshal(m.Body, &b); err != nil {
		return nil, fmt.Errorf("body: %v", err)
	}
	if len(b.Slices) == 0 || b.Filter == nil || *b.Filter == "" {
		return nil, errors.New("body: no slices, or no filter")
	}
	r.Payload = *b.Filter
	seen, sum := map[int]bool{}, 0.0
	for _, s := range b.Slices {
		if s.Slice == nil || *s.Slice < 0 || *s.Slice >= f.set.Shards || seen[*s.Slice] {
			return nil, fmt.Errorf("body: a slice that is missing, twice there or not within 0 to %d", f.set.Shards-1)
		}
		if !(s.Mass >= 0 && s.Mass <= 1) || !(s.Micros >= 0 && s.Micros < 1e12) {
			return nil, fmt.Errorf("body: slice %d: mass %v, micros %v", *s.Slice, s.Mass, s.Micros)
		}
		if s.Term != "" && (len(s.Term) != 16 || strings.Trim(s.Term, "0123456789abcdefABCDEF") != "") {
			return nil, fmt.Errorf("body: slice %d: term %.40q", *s.Slice, s.Term)
		}
		seen[*s.Slice] = true
		sum += s.Mass
		r.Parts = append(r.Parts, aggregator.PartSpec{
			Shard: *s.Slice, Weight: s.Mass, WorkHint: time.Duration(s.Micros * float64(time.Microsecond)),
		})
		if r.Key == "" {
			r.Key = s.Term
		}
	}
	// Guards against shares that leave a whole answer out of reach, or make one of a part.
	if math.Abs(sum-1) > massSlack {
		return nil, fmt.Errorf("body: masses add up to %v", sum)
	}
	for i := range r.Parts { // what rounding took would be missing from a whole answer
		r.Parts[i].Weight /= sum
	}
	return r, nil
}

// word says whether an id can stand in a frame's line.
func word(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f || id[i] == ',' { // a comma: the field was given twice
			return false
		}
	}
	return id != "" && len(id) <= 128
}

type item struct {
	Slice int    `json:"slice"`
	Body  string `json:"body"`
}

// Render words a final answer.
func Render(f aggregator.FinalAnswer) (status int, text []byte, fields []string) {
	switch f.Status {
	case aggregator.StatusServed:
		out := struct {
			Entire bool   `json:"entire"`
			Items  []item `json:"items"`
		}{f.Complete, []item{}}
		for _, i := range f.Items {
			out.Items = append(out.Items, item{i.Shard, i.Value})
		}
		text, err := json.Marshal(out)
		if err != nil {
			return 500, nil, nil
		}
		return 200, text, []string{"Content-Type", "application/json"}
	case aggregator.StatusRejected:
		if f.RetryAfter > 0 {
			fields = []string{"Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)}
		}
		return 503, nil, fields
	}
	if f.DeadlineExceeded {
		return 504, nil, nil
	}
	return 502, nil, nil
}
