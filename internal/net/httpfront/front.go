// Package httpfront is the platform's front: queries over HTTP/1.1.
package httpfront

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/http1"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/net/tcp"
)

// Settings are what the front needs to know.
type Settings struct {
	Classes, Tenants []string
	Shards           int
	MaxWait          time.Duration // longest time that a client may state
	IdleTimeout      time.Duration // of a connection between requests
	ReadTimeout      time.Duration // for the rest of a request that has begun
}

// Front takes requests from connections and posts them to the loop.
type Front struct {
	set   Settings
	put   func(any)
	now   func() time.Time
	stats func() string

	mu       sync.Mutex
	ready    bool
	closing  bool // every answer ends its connection
	conns    map[*conn]bool
	counters Counters
}

// Counters count requests by how the front itself ended them.
type Counters struct{ Conns, Requests, Bad, Health, Panics uint64 }

// New returns a front that posts to put.
func New(set Settings, put func(any), now func() time.Time, stats func() string) *Front {
	return &Front{set: set, put: put, now: now, stats: stats, conns: map[*conn]bool{}}
}

// SetReady says whether /healthz answers 200.
func (f *Front) SetReady(ready bool) {
	f.mu.Lock()
	f.ready = ready
	f.mu.Unlock()
}

// CloseIdle ends connections that have no request in hand, and makes every later answer end its connection.
func (f *Front) CloseIdle() {
	f.mu.Lock()
	f.closing = true
	var idle []*conn
	for c := range f.conns {
		idle = append(idle, c)
	}
	f.mu.Unlock()
	for _, c := range idle {
		c.finishIfIdle()
	}
}

// Open is the number of connections.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Counters returns the counts so far.
func (f *Front) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}

func (f *Front) count(which *uint64) {
	f.mu.Lock()
	*which++
	f.mu.Unlock()
}

// Link is a connection as the front uses it.
type Link interface {
	Write(b []byte, done func(tcp.Wrote))
	Finish(linger bool)
	Close(cause error)
}

// Accept makes the handler of a new connection.
func (f *Front) Accept(l *tcp.Link) tcp.Handler { return f.accept(l) }

func (f *Front) accept(l Link) *conn {
	c := &conn{f: f, link: l}
	c.arm(f.set.IdleTimeout)
	f.mu.Lock()
	f.conns[c] = true
	f.counters.Conns++
	f.mu.Unlock()
	return c
}

// conn is one client's connection. It serves one request at a time: what is sent behind it waits.
type conn struct {
	f    *Front
	link Link

	mu     sync.Mutex
	parser http1.Parser
	begun  time.Time // first byte of the request being read
	open   *exchange // taken and not answered
	over   bool
	timer  *time.Timer
	asked  bool // 100 Continue was sent
}

// exchange is a request with the front's side of it.
type exchange struct {
	c     *conn
	req   *mixer.Request
	close bool
}

// arm sets the time by which the next whole request must be in.
func (c *conn) arm(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	if d > 0 {
		c.timer = time.AfterFunc(d, c.expire)
	}
}

func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != nil || c.over {
		return
	}
	if c.parser.Begun() {
		c.refuse(408, "the request did not come in time")
		return
	}
	c.over = true
	c.link.Finish(false)
}

func (c *conn) finishIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil && !c.parser.Begun() && !c.over {
		c.over = true
		c.link.Finish(false)
	}
}

// Data reads requests. A panic in it ends this connection; the request in hand then counts as left.
func (c *conn) Data(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			c.f.count(&c.f.counters.Panics)
			c.over = true
			c.link.Write(http1.Response(500, true, nil), nil)
			c.link.Finish(false)
		}
	}()
	if c.over {
		return
	}
	if !c.parser.Begun() {
		c.begun = c.f.now()
		if c.open == nil {
			c.arm(c.f.set.ReadTimeout)
		}
	}
	c.parser.Feed(b)
	// Guards memory against a client that sends on and on behind a request that is not answered yet.
	if c.open != nil && c.parser.Buffered() > http1.MaxBody+http1.MaxHead {
		c.over = true
		c.link.Close(fmt.Errorf("too much sent behind a request"))
		return
	}
	c.advance()
}

func (c *conn) advance() {
	for c.open == nil && !c.over {
		m, err := c.parser.Next()
		if err != nil {
			status := 400
			if e, ok := err.(*http1.Error); ok {
				status = e.Status
			}
			c.refuse(status, err.Error())
			return
		}
		if m == nil {
			if c.parser.WantsContinue() && !c.asked {
				c.asked = true
				c.link.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
			}
			return
		}
		c.asked = false
		c.request(m)
	}
}

// refuse answers what cannot be read; the framing is lost, so the connection ends.
func (c *conn) refuse(status int, reason string) {
	c.f.count(&c.f.counters.Bad)
	c.over = true
	c.link.Write(http1.Response(status, true, []byte(reason+"\n"), "Content-Type", "text/plain"), nil)
	c.link.Finish(true)
}

func (c *conn) reply(m *http1.Message, status int, body string, fields ...string) {
	c.respond(m.Close, status, []byte(body), fields...)
}

func (c *conn) respond(closing bool, status int, body []byte, fields ...string) {
	c.f.mu.Lock()
	closing = closing || c.f.closing
	c.f.mu.Unlock()
	c.link.Write(http1.Response(status, closing, body, fields...), nil)
	if closing {
		c.over = true
		c.link.Finish(false)
		return
	}
	if c.begun = c.f.now(); !c.parser.Begun() {
		c.arm(c.f.set.IdleTimeout)
	} else {
		c.arm(c.f.set.ReadTimeout)
	}
}

func (c *conn) request(m *http1.Message) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch path {
	case "/healthz":
		c.f.count(&c.f.counters.Health)
		c.f.mu.Lock()
		ready := c.f.ready
		c.f.mu.Unlock()
		if !get(m) {
			c.reply(m, 405, "", "Allow", "GET, HEAD")
		} else if ready {
			c.reply(m, 200, "ok\n")
		} else {
			c.reply(m, 503, "not ready\n")
		}
		return
	case "/counters":
		if !get(m) {
			c.reply(m, 405, "", "Allow", "GET, HEAD")
			return
		}
		c.reply(m, 200, c.f.stats()+"\n", "Content-Type", "text/plain")
		return
	}
	c.f.count(&c.f.counters.Requests)
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class := slices.Index(c.f.set.Classes, name)
	switch {
	case class < 0:
		c.bad(m, 404, "no such class")
	case m.Method != "POST":
		c.bad(m, 405, "only POST", "Allow", "POST")
	default:
		req, err := c.f.parse(m, class, c.begun)
		if err != nil {
			c.bad(m, 400, err.Error())
			return
		}
		x := &exchange{c: c, req: req, close: m.Close}
		req.Front = x
		c.open = x
		c.arm(0)
		c.f.put(mixer.Arrive{Request: req})
	}
}

func get(m *http1.Message) bool { return m.Method == "GET" || m.Method == "HEAD" }

func (c *conn) bad(m *http1.Message, status int, reason string, fields ...string) {
	c.f.count(&c.f.counters.Bad)
	c.reply(m, status, reason+"\n", append(fields, "Content-Type", "text/plain")...)
}

// body is a query's.
type body struct {
	Slices []struct {
		Slice  *int    `json:"slice"`
		Mass   float64 `json:"mass"`
		Micros float64 `json:"micros"`
		Term   string  `json:"term"`
	} `json:"slices"`
	Filter string `json:"filter"`
}

func (f *Front) parse(m *http1.Message, class int, begun time.Time) (*mixer.Request, error) {
	h := m.Header
	r := &mixer.Request{ID: h.Get("X-Request-Id"), Class: class, Arrived: begun, Retry: h.Get("X-Retry") == "1"}
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
	if err != nil || !(wait > 0) || wait > 1e6 {
		return nil, fmt.Errorf("X-Deadline %q", h.Get("X-Deadline"))
	}
	r.Wait = min(time.Duration(wait*float64(time.Second)), f.set.MaxWait)
	var b body
	if err := json.Unmarshal(m.Body, &b); err != nil {
		return nil, fmt.Errorf("body: %v", err)
	}
	if len(b.Slices) == 0 {
		return nil, fmt.Errorf("body: no slices")
	}
	r.Text = b.Filter
	seen := map[int]bool{}
	for _, s := range b.Slices {
		if s.Slice == nil || *s.Slice < 0 || *s.Slice >= f.set.Shards || seen[*s.Slice] {
			return nil, fmt.Errorf("body: a slice that is missing, twice there or not within 0 to %d", f.set.Shards-1)
		}
		if !(s.Mass >= 0 && s.Mass <= 1) || !(s.Micros >= 0 && s.Micros < 1e12) {
			return nil, fmt.Errorf("body: slice %d: mass %v, micros %v", *s.Slice, s.Mass, s.Micros)
		}
		seen[*s.Slice] = true
		r.Parts = append(r.Parts, mixer.Spec{
			Shard: *s.Slice, Weight: s.Mass, Hint: time.Duration(s.Micros * float64(time.Microsecond)),
		})
		if r.Key == "" {
			r.Key = s.Term
		}
	}
	return r, nil
}

// word says whether an id can stand in a frame's line.
func word(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return id != "" && len(id) <= 128
}

// Answer gives a query's final answer. It runs on the loop.
func (x *exchange) Answer(f mixer.Final) {
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != x {
		return
	}
	c.open = nil
	if c.over {
		return
	}
	status, text, fields := Render(f)
	c.respond(x.close, status, text, fields...)
	c.advance()
}

type item struct {
	Slice int    `json:"slice"`
	Body  string `json:"body"`
}

// Render words a final answer.
func Render(f mixer.Final) (status int, text []byte, fields []string) {
	switch f.Kind {
	case mixer.Served:
		out := struct {
			Entire bool   `json:"entire"`
			Items  []item `json:"items"`
		}{f.Whole, []item{}}
		for _, i := range f.Items {
			out.Items = append(out.Items, item{i.Shard, i.Value})
		}
		text, err := json.Marshal(out)
		if err != nil {
			return 500, nil, nil
		}
		return 200, text, []string{"Content-Type", "application/json"}
	case mixer.Refused:
		if f.RetryAfter > 0 {
			fields = []string{"Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)}
		}
		return 503, nil, fields
	}
	if f.Overdue {
		return 504, nil, nil
	}
	return 502, nil, nil
}

// Closed tells the loop that the client has gone away.
func (c *conn) Closed(error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	c.arm(0)
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.mu.Unlock()
	if x := c.open; x != nil {
		c.f.put(mixer.Left{Request: x.req})
	}
}
