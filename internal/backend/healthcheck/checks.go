// Package checks asks servers for their health, by one profile at a time. Each check is a connection of its own,
// bounded in time and in what it reads, whatever the other side does: hangs, sends a byte a second, a megabyte, or
// nothing.
package healthcheck

import (
	"encoding/xml"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/agentcheck"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/z3950"
)

// Dial opens a connection; tcp.Connect outside tests, as agents speak first and close.
type Dial = tcp.Dialer

// Check is one check of one server.
type Check struct {
	Profile *config.CheckProfile
	Addr    string
	Bridge  string // of grpc checks: where grpchealth listens
	Dial    Dial
}

// Result is what a check found, and whether it took all its time.
type Result struct {
	health.CheckResult
	TimedOut bool
	Err      error // why it came to nothing; nil where something was said, good or bad
}

var errTime = errors.New("no answer in time")

func failed(err error) Result {
	return Result{CheckResult: health.CheckResult{Failed: true, Weight: -1, MaxConn: -1, Reason: err.Error()}, Err: err}
}

func good(why string) Result {
	return Result{CheckResult: health.CheckResult{Weight: -1, MaxConn: -1, Reason: why}}
}

// Run makes the check. It blocks for the profile's timeout at most.
func (c Check) Run() Result {
	f := c.Profile
	end := time.Now().Add(f.Timeout.Duration)
	r := &reading{over: make(chan struct{})}
	addr := c.Addr
	switch f.Kind {
	case config.CheckAgent:
		r.feed, r.end = agent()
		r.ask = []byte(f.Send)
	case config.CheckHTTP:
		r.feed, r.end = answer(f.Method, func(m *http1.Message) Result {
			v := f.Expectation.Judge(m.Status, m.Header.Get, m.Body)
			out := Result{CheckResult: health.CheckResult{Failed: !v.Good, Immediate: v.AtOnce, Degraded: v.Degraded, Weight: -1, MaxConn: -1, Reason: v.Why}}
			if out.Admin = health.Ready; v.Drain {
				out.Admin = health.Drain
			} else if !v.Good {
				out.Admin = health.AdminUnset
			}
			return out
		})
		r.ask = http1.Request(f.Method, f.Path, or(f.Host, addr), nil, "Connection", "close", "User-Agent", "rooktrestle-check")
	case config.CheckSRU:
		r.feed, r.end = answer("GET", explained)
		r.ask = http1.Request("GET", "/"+url.PathEscape(f.Database)+"?operation=explain&version=1.2", or(f.Host, addr), nil, "Connection", "close")
	case config.CheckZ3950:
		r.feed, r.end = initialised()
		r.ask = z3950.Ctx(z3950.InitRequest, z3950.Bits(3, 0, 1, 2), z3950.Bits(4, z3950.OptSearch, z3950.OptPresent),
			z3950.Num(5, z3950.MaxPDU), z3950.Num(6, z3950.MaxPDU), z3950.Str(110, "rooktrestle-check")).Encode(nil)
	case config.CheckGRPC:
		r.feed, r.end = answer("GET", func(m *http1.Message) Result {
			if m.Status == 200 {
				return good("")
			}
			return failed(fmt.Errorf("%.100s", m.Body))
		})
		q := url.Values{"addr": {addr}, "service": {f.Service}, "timeout": {f.Timeout.String()}}
		r.ask = http1.Request("GET", "/check?"+q.Encode(), c.Bridge, nil, "Connection", "close")
		addr = c.Bridge
	}
	link, err := c.Dial(addr, f.Timeout.Duration, func(*tcp.Conn) tcp.Handler { return r })
	if err != nil {
		out := failed(plain(err))
		out.TimedOut = !time.Now().Before(end)
		return out
	}
	defer link.Close(nil)
	if f.Kind == config.CheckTCP {
		return good("")
	}
	if len(r.ask) > 0 {
		link.Write(r.ask, nil)
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-r.over:
		return r.result
	case <-timer.C:
		out := failed(errTime)
		out.TimedOut = true
		return out
	}
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// plain shortens a dial's error to what people need: the address stands beside it anyway.
func plain(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Err != nil {
		return op.Err
	}
	return err
}

// reading reads the answer to one check. Once it has a result it takes no more.
type reading struct {
	ask    []byte
	feed   func([]byte) (Result, bool)
	end    func() (Result, bool)
	done   bool
	result Result
	over   chan struct{}
}

func (r *reading) finish(res Result) {
	if !r.done {
		r.done, r.result = true, res
		close(r.over)
	}
}

// Data takes bytes.
func (r *reading) Data(b []byte) {
	if r.done || r.feed == nil {
		return
	}
	if res, ok := r.feed(b); ok {
		r.finish(res)
	}
}

// Closed takes the end.
func (r *reading) Closed(err error) {
	if r.done || r.end == nil {
		return
	}
	if res, ok := r.end(); ok {
		r.finish(res)
		return
	}
	if err == nil {
		err = errors.New("closed without an answer")
	}
	r.finish(failed(err))
}

func agent() (feed func([]byte) (Result, bool), end func() (Result, bool)) {
	var line agentcheck.Reader
	say := func(rep agentcheck.Report, err error) Result {
		if err != nil {
			return failed(err)
		}
		out := Result{CheckResult: health.CheckResult{Weight: rep.Weight, MaxConn: rep.MaxConn, Reason: rep.Why}}
		out.Admin = map[agentcheck.Admin]health.AdminState{agentcheck.Ready: health.Ready, agentcheck.Drain: health.Drain, agentcheck.Maint: health.Maintenance}[rep.Admin]
		if rep.State != "" {
			if out.Oper = health.Down; rep.State.Well() {
				out.Oper = health.Up
			} else if out.Reason == "" {
				out.Reason = string(rep.State)
			}
		}
		return out
	}
	feed = func(b []byte) (Result, bool) {
		rep, err, done := line.Feed(b)
		return say(rep, err), done
	}
	end = func() (Result, bool) {
		rep, err := line.End()
		return say(rep, err), !errors.Is(err, agentcheck.ErrSilent)
	}
	return feed, end
}

// answer reads one HTTP answer and judges it.
func answer(method string, judge func(*http1.Message) Result) (feed func([]byte) (Result, bool), end func() (Result, bool)) {
	p := &http1.Parser{Responses: true}
	var head *http1.Message
	if method == "HEAD" { // its answer has no body, whatever length it tells
		p.Head = func(m *http1.Message) { head = m }
	}
	feed = func(b []byte) (Result, bool) {
		p.Feed(b)
		m, err := p.Next()
		if head != nil {
			m, err = head, nil
		}
		switch {
		case err != nil:
			return failed(err), true
		case m != nil:
			return judge(m), true
		}
		return Result{}, false
	}
	end = func() (Result, bool) {
		if m := p.End(); m != nil {
			return judge(m), true
		}
		return Result{}, false
	}
	return feed, end
}

func explained(m *http1.Message) Result {
	var root struct{ XMLName xml.Name }
	switch err := xml.Unmarshal(m.Body, &root); {
	case m.Status != 200:
		return failed(errors.New("status " + strconv.Itoa(m.Status)))
	case err != nil:
		return failed(errors.New("explain: not XML"))
	case root.XMLName.Local != "explainResponse":
		return failed(fmt.Errorf("explain: the answer is %.40q", root.XMLName.Local))
	}
	return good("")
}

func initialised() (feed func([]byte) (Result, bool), end func() (Result, bool)) {
	var buf []byte
	feed = func(b []byte) (Result, bool) {
		buf = append(buf, b[:min(len(b), z3950.MaxPDU+1)]...)
		n, _, err := z3950.Decode(buf)
		switch {
		case err == z3950.ErrMore && len(buf) <= z3950.MaxPDU:
			return Result{}, false
		case err != nil:
			return failed(err), true
		case n.Class != z3950.Context || n.Tag != z3950.InitResponse:
			return failed(fmt.Errorf("init: unit %d came back", n.Tag)), true
		case !n.Kid(12).Truth():
			return failed(errors.New("init: the association is refused")), true
		}
		return good(""), true
	}
	return feed, func() (Result, bool) { return Result{}, false }
}
