// Package health speaks the health protocols of common balancers: HAProxy's agent-check, a line of words over
// TCP, and HTTP health checks. It asks servers for their state and tells the mixer's own.
package health

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

// Word is a state in the words of an agent-check.
type Word string

const (
	Up    Word = "up"
	Drain Word = "drain"
	Maint Word = "maint"
	Down  Word = "down"
)

// Report is what an agent says. What it does not name stays as it was.
type Report struct {
	Admin  Word    // Up (said as ready), Drain or Maint; empty: not named
	State  Word    // Up or Down; empty: not named
	Weight float64 // share of the full weight; negative: not named
	Why    string
}

// ParseAgent reads an agent's line.
func ParseAgent(line string) (Report, error) {
	r := Report{Weight: -1}
	line, why, _ := strings.Cut(strings.TrimSpace(line), "#")
	r.Why = strings.TrimSpace(why)
	words := strings.FieldsFunc(line, func(c rune) bool { return c == ' ' || c == '\t' || c == ',' })
	if len(words) == 0 {
		return r, fmt.Errorf("an agent that says nothing")
	}
	for _, w := range words {
		switch low := strings.ToLower(w); {
		case low == "ready":
			r.Admin = Up
		case low == "drain":
			r.Admin = Drain
		case low == "maint":
			r.Admin = Maint
		case low == "up":
			r.State = Up
		case low == "down", low == "failed", low == "stopped":
			r.State = Down
		case strings.HasSuffix(low, "%"):
			v, err := strconv.ParseFloat(strings.TrimSuffix(low, "%"), 64)
			if err != nil || !(v >= 0 && v <= 25600) {
				return r, fmt.Errorf("agent: weight %q", w)
			}
			r.Weight = v / 100
		case strings.HasPrefix(low, "maxconn:"):
		default:
			return r, fmt.Errorf("agent: %q", w)
		}
	}
	return r, nil
}

// Line prints a report as an agent says it.
func (r Report) Line() string {
	var words []string
	if r.State != "" {
		words = append(words, string(r.State))
	}
	switch r.Admin {
	case Up:
		words = append(words, "ready")
	case Drain, Maint:
		words = append(words, string(r.Admin))
	}
	if r.Weight >= 0 {
		words = append(words, strconv.Itoa(int(r.Weight*100+0.5))+"%")
	}
	line := strings.Join(words, " ")
	if r.Why != "" {
		line += " #" + r.Why
	}
	return line + "\n"
}

// Own is the mixer's own state, told by both protocols.
type Own struct {
	mu sync.Mutex
	r  Report
}

// Set changes it.
func (o *Own) Set(r Report) {
	o.mu.Lock()
	o.r = r
	o.mu.Unlock()
}

func (o *Own) report() Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.r
}

// Agent answers an agent-check: a line, then the connection ends.
func (o *Own) Agent(l *tcp.Link) tcp.Handler { return &teller{o, l} }

type teller struct {
	o *Own
	l *tcp.Link
}

func (t *teller) Opened() {
	t.l.Write([]byte(t.o.report().Line()), nil)
	t.l.Finish(false)
}

func (*teller) Data([]byte)  {}
func (*teller) Closed(error) {}

// HTTP answers health checks: 200 while queries are welcome, 404 while they should go elsewhere (balancers
// take it for a drain), 503 otherwise.
func (o *Own) HTTP(x *httpserve.Exchange) {
	r := o.report()
	switch path, _, _ := strings.Cut(x.Target, "?"); {
	case path != "/healthz":
		x.Respond(404, []byte("no such page\n"))
	case x.Method != "GET" && x.Method != "HEAD" && x.Method != "OPTIONS":
		x.Respond(405, nil, "Allow", "GET, HEAD, OPTIONS")
	case r.State == Down || r.Admin == Maint:
		x.Respond(503, []byte(r.Line()))
	case r.Admin == Drain:
		x.Respond(404, []byte(r.Line()))
	default:
		x.Respond(200, []byte(r.Line()))
	}
}

// Target is a server to be asked.
type Target struct {
	Server mixer.Server
	Agent  string // agent-check address; or
	Path   string // of an HTTP health check at the server's own address; with neither it counts as up
}

// Rules of the checks.
type Rules struct {
	Fall, Rise int // failed checks in a row that make a server down, and good ones that bring it back
}

// Table holds the states of servers as the checks have shown them. It does no I/O.
type Table struct {
	rules Rules
	state map[balance.Replica]*watched
}

type watched struct {
	server    mixer.Server
	admin     Word
	down      bool
	said      Word // Down if the agent said so
	weight    float64
	bad, good int
	told      balance.State
	toldSize  float64
}

// NewTable returns a table of servers that count as up until checks say otherwise.
func NewTable(rules Rules, targets []Target) *Table {
	t := &Table{rules: rules, state: map[balance.Replica]*watched{}}
	for _, one := range targets {
		s := one.Server
		t.state[s.ID] = &watched{server: s, admin: Up, said: Up, weight: 1, told: s.State, toldSize: s.Weight}
	}
	return t
}

// Result takes the result of one check and returns what the core has to be told, or nil.
func (t *Table) Result(id balance.Replica, r Report, err error) *mixer.Members {
	w := t.state[id]
	if w == nil {
		return nil
	}
	if err != nil {
		if w.good, w.bad = 0, w.bad+1; w.bad >= t.rules.Fall {
			w.down = true
		}
	} else {
		if w.bad, w.good = 0, w.good+1; w.good >= t.rules.Rise {
			w.down = false
		}
		if r.Admin != "" {
			w.admin = r.Admin
		}
		if r.State != "" {
			w.said = r.State
		}
		if r.Weight >= 0 {
			w.weight = r.Weight
		}
	}
	state, size := balance.InService, w.weight
	switch {
	case w.down || w.said == Down || w.admin == Maint:
		state = balance.Removed
	case w.admin == Drain || w.weight == 0: // finishes what it has in hand
		state = balance.Draining
	}
	if state == w.told && size == w.toldSize {
		return nil
	}
	w.told, w.toldSize = state, size
	s := w.server
	s.State, s.Weight = state, size
	return &mixer.Members{Kind: balance.ListDelta, List: []mixer.Server{s}}
}

const maxLine = 4 << 10

// Check asks one server over the network. It blocks until the answer or the time-out.
func Check(one Target, timeout time.Duration) (Report, error) {
	if one.Agent == "" && one.Path == "" {
		return Report{Weight: -1}, nil
	}
	addr := one.Agent
	if addr == "" {
		addr = one.Server.Addr
	}
	a := &asking{over: make(chan struct{}), http: one.Agent == ""}
	a.parser.Responses = true
	end := time.Now().Add(timeout)
	link, err := tcp.Dial(addr, timeout, func(*tcp.Link) tcp.Handler { return a })
	if err != nil {
		return Report{}, err
	}
	defer link.Close(nil)
	if a.http {
		link.Write(http1.Request("GET", one.Path, addr, nil, "Connection", "close"), nil)
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-a.over:
		return a.report, a.err
	case <-timer.C:
		return Report{}, fmt.Errorf("no answer within %v", timeout)
	}
}

// asking reads the answer to one check.
type asking struct {
	http   bool
	parser http1.Parser
	line   []byte
	done   bool
	report Report
	err    error
	over   chan struct{}
}

func (a *asking) end(r Report, err error) {
	if !a.done {
		a.done, a.report, a.err = true, r, err
		close(a.over)
	}
}

func (a *asking) Data(b []byte) {
	if a.done {
		return
	}
	if a.http {
		a.parser.Feed(b)
		m, err := a.parser.Next()
		if err != nil {
			a.end(Report{}, err)
		} else if m != nil {
			a.end(judge(m))
		}
		return
	}
	a.line = append(a.line, b...)
	if text, _, ok := strings.Cut(string(a.line), "\n"); ok {
		a.end(ParseAgent(text))
	} else if len(a.line) > maxLine {
		a.end(Report{}, fmt.Errorf("an agent's line over %d bytes", maxLine))
	}
}

func (a *asking) Closed(err error) {
	if a.http {
		if m := a.parser.End(); m != nil {
			a.end(judge(m))
		}
	} else if len(a.line) > 0 {
		a.end(ParseAgent(string(a.line)))
	}
	if err == nil {
		err = fmt.Errorf("closed without an answer")
	}
	a.end(Report{}, err)
}

// judge reads an HTTP health check's answer as common balancers do.
func judge(m *http1.Message) (Report, error) {
	switch {
	case m.Status >= 200 && m.Status < 400:
		return Report{Admin: Up, State: Up, Weight: -1}, nil
	case m.Status == 404:
		return Report{Admin: Drain, State: Up, Weight: -1}, nil
	}
	return Report{}, fmt.Errorf("status %d", m.Status)
}

// Watch checks servers for ever and posts what changes.
func Watch(stop <-chan struct{}, targets []Target, rules Rules, every, timeout time.Duration, put func(any)) {
	table := NewTable(rules, targets)
	type result struct {
		id balance.Replica
		r  Report
		e  error
	}
	for {
		results := make(chan result, len(targets))
		for _, one := range targets {
			go func() {
				r, err := Check(one, timeout)
				results <- result{one.Server.ID, r, err}
			}()
		}
		for range targets {
			got := <-results
			if m := table.Result(got.id, got.r, got.e); m != nil {
				put(*m)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
	}
}
