// Package health answers those who ask for the mixer's own health: HAProxy's agent-check, and HTTP health checks as
// balancers and orchestrators make them. What it says is the core's word, made on the loop; these fronts only word
// it, and say so when the word is old, as then the loop stands still.
package health

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/agentcheck"
	"rooktrestle/internal/protocol/httpcheck"
)

// oldAfter is the age from which a word is none: the loop makes one every 50 ms.
const oldAfter = 700 * time.Millisecond

// nameMost is the longest name that an agent-check may send.
const nameMost = 256

// Teller words the mixer's state. Set is called on the loop, all else from anywhere.
type Teller struct {
	Now  func() time.Time
	Wait time.Duration // for an agent-check to name a database; 0: none does
	// Servers, if set, writes what is known of the servers as JSON. It is called off the loop and may wait for it.
	Servers func() []byte
	// Metrics, if set, writes the counters as text.
	Metrics func() string

	word  atomic.Pointer[readiness.Report]
	count struct{ agent, http, late atomic.Uint64 }
}

// Set changes the word.
func (t *Teller) Set(w readiness.Report) { t.word.Store(&w) }

// Word is the word as it stands; one that is old is a word on the loop.
func (t *Teller) Word() readiness.Report {
	w := t.word.Load()
	if w == nil {
		return readiness.Report{State: readiness.Down, StateText: "down", Reasons: []string{"starting"}, Weight: 1}
	}
	if age := t.Now().Sub(w.At); age > oldAfter {
		t.count.late.Add(1)
		return readiness.Report{At: w.At, State: readiness.Down, StateText: "down", Weight: 1, Draining: w.Draining,
			Reasons: []string{fmt.Sprintf("the loop stands still since %v", age.Round(100*time.Millisecond))}}
	}
	return *w
}

// Counters are how many were answered, and how many while the loop stood still.
func (t *Teller) Counters() (agent, http, late uint64) {
	return t.count.agent.Load(), t.count.http.Load(), t.count.late.Load()
}

// report words the state for an agent-check, of the mixer or of one database.
func report(w readiness.Report, base string) agentcheck.Report {
	r := agentcheck.Report{State: agentcheck.Up, Admin: agentcheck.Ready, Weight: float64(w.Weight) / 100, MaxConn: -1}
	state, why := w.State, strings.Join(w.Reasons, "; ")
	if base != "" {
		b := w.Database(base)
		if b == nil {
			return agentcheck.Report{State: agentcheck.Down, Weight: -1, MaxConn: -1, Why: "no such database"}
		}
		state, why = b.State, b.Reason
	}
	switch {
	case w.Draining:
		r.Admin, r.Weight = agentcheck.Drain, -1
	case state == readiness.Down:
		r.State, r.Admin, r.Weight = agentcheck.Down, "", -1
	}
	r.Why = why
	return r
}

// Agent answers an agent-check: a line, then the connection ends.
func (t *Teller) Agent(l *tcp.Conn) tcp.Handler { return &asked{t: t, l: l} }

// asked is one agent-check. Whoever names a database first (agent-send) is told of that one.
type asked struct {
	t     *Teller
	l     *tcp.Conn
	mu    sync.Mutex
	name  []byte
	done  bool
	timer *time.Timer
}

// Opened answers at once, or gives the other side a moment to name a database.
func (a *asked) Opened() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.t.Wait <= 0 {
		a.answer("")
		return
	}
	a.timer = time.AfterFunc(a.t.Wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.answer(strings.TrimSpace(string(a.name)))
	})
}

// answer is called with the lock held.
func (a *asked) answer(base string) {
	if a.done {
		return
	}
	a.done = true
	a.t.count.agent.Add(1)
	a.l.Write([]byte(report(a.t.Word(), base).Line()), nil)
	a.l.CloseGracefully()
}

// Data takes a name.
func (a *asked) Data(b []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.t.Wait <= 0 {
		return
	}
	a.name = append(a.name, b[:min(len(b), nameMost+1)]...)
	if line, _, ok := strings.Cut(string(a.name), "\n"); ok || len(a.name) > nameMost {
		a.answer(strings.TrimSpace(line))
	}
}

// Closed ends it.
func (a *asked) Closed(error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// HTTP answers health checks.
//
//	/livez             the loop moves
//	/readyz, /healthz  queries are welcome: 200; 404 while they should go elsewhere, which balancers take for a
//	                   drain; 503 otherwise. Behind it the name of a database tells of that one.
//	?verbose           with every database and reason; ?format=json the same for scripts
//	/servers           what is known of the servers, as JSON
//	/metrics           the counters
//
// Degraded and drain are told in Envoy's headers, too.
func (t *Teller) HTTP(x *httpserve.Exchange) {
	t.count.http.Add(1)
	path, query, _ := strings.Cut(x.Target, "?")
	if x.Method != "GET" && x.Method != "HEAD" && x.Method != "OPTIONS" {
		x.Respond(405, nil, "Allow", "GET, HEAD, OPTIONS")
		return
	}
	first, base, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	w := t.Word()
	switch first {
	case "livez":
		if w.At.IsZero() || t.Now().Sub(w.At) > oldAfter {
			x.Respond(503, []byte(strings.Join(w.Reasons, "; ")+"\n"), textType...)
			return
		}
		x.Respond(200, []byte("live\n"), textType...)
	case "readyz", "healthz":
		t.ready(x, w, base, query)
	case "servers":
		if t.Servers == nil {
			x.Respond(404, []byte("no such page\n"))
			return
		}
		x.Respond(200, t.Servers(), "Content-Type", "application/json")
	case "metrics":
		if t.Metrics == nil {
			x.Respond(404, []byte("no such page\n"))
			return
		}
		x.Respond(200, []byte(t.Metrics()), textType...)
	default:
		// Not 404, which would be taken for a drain.
		x.Respond(400, []byte("no such page\n"), textType...)
	}
}

var textType = []string{"Content-Type", "text/plain; charset=utf-8"}

func (t *Teller) ready(x *httpserve.Exchange, w readiness.Report, base, query string) {
	state := w.State
	if base != "" {
		b := w.Database(base)
		if b == nil {
			x.Respond(400, []byte("no such database\n"), textType...)
			return
		}
		state = b.State
	}
	status, fields := 200, append([]string{}, textType...)
	switch {
	case state == readiness.Down:
		status = 503
	case w.Draining:
		status = 404
		fields = append(fields, httpcheck.ImmediateHeader, "true")
	case state == readiness.Degraded:
		fields = append(fields, httpcheck.DegradedHeader, "1")
	}
	body := report(w, base).Line()
	switch {
	case strings.Contains(query, "format=json"):
		text, err := json.MarshalIndent(w, "", "  ")
		if err != nil {
			x.Respond(500, nil)
			return
		}
		body, fields[1] = string(text)+"\n", "application/json"
	case strings.Contains(query, "verbose"):
		for _, b := range w.Databases {
			mark := map[readiness.State]string{readiness.Up: "+", readiness.Degraded: "~", readiness.Down: "-"}[b.State]
			body += fmt.Sprintf("[%s] %s %s", mark, b.Name, b.StateText)
			if b.Reason != "" {
				body += ": " + b.Reason
			}
			body += "\n"
		}
	}
	x.Respond(status, []byte(body), fields...)
}
