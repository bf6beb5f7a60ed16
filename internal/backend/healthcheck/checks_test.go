package healthcheck

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/httpcheck"
	"rooktrestle/internal/testbed/replica"
)

func profile(kind string, timeout time.Duration) *config.CheckProfile {
	f := &config.CheckProfile{Name: kind, Kind: kind, Method: "GET", Path: "/healthz", Timeout: config.Duration{Duration: timeout}}
	f.Expectation.Status, _ = httpcheck.ParseRanges("200-399")
	f.Expectation.Drain, _ = httpcheck.ParseRanges("404")
	return f
}

// patience is a time-out that no test reaches.
const patience = 30 * time.Second

// What agents say is read; what they do wrong ends within the time-out and with a reason.
func TestAgents(t *testing.T) {
	a, err := replica.NewAgent("up ready 50% maxconn:9 #busy")
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	f := profile(config.CheckAgent, patience)
	f.Send = "captions\n"
	run := func() Result { return Check{Profile: f, Addr: a.Addr(), Dial: tcp.DialServerFirst}.Run() }
	if r := run(); r.Failed || r.Weight != 0.5 || r.MaxConn != 9 || r.Oper != health.Up || r.Admin != health.Ready || r.Reason != "busy" {
		t.Errorf("%+v", r)
	}
	if h := a.Received(); len(h) != 1 || h[0] != "captions\n" {
		t.Errorf("it heard %q", h)
	}
	a.Set("maint", replica.Respond)
	if r := run(); r.Failed || r.Admin != health.Maintenance || r.Oper != health.OperUnset || r.Weight >= 0 {
		t.Errorf("%+v", r)
	}
	a.Set("stopped", replica.Respond)
	if r := run(); r.Oper != health.Down || r.Reason != "stopped" {
		t.Errorf("%+v", r)
	}
	for how, why := range map[replica.AgentBehavior]string{replica.Flood: "over", replica.CloseAtOnce: "closed"} {
		a.Set("", how)
		if r := run(); !r.Failed || r.TimedOut || !strings.Contains(r.Reason, why) {
			t.Errorf("manner %d: %+v", how, r)
		}
	}
	f.Timeout.Duration = 50 * time.Millisecond
	for _, how := range []replica.AgentBehavior{replica.Hang, replica.Drip} {
		a.Set("", how)
		if r := run(); !r.Failed || !r.TimedOut || r.Err != errTime {
			t.Errorf("manner %d: %+v", how, r)
		}
	}
	a.Close()
	f.Timeout.Duration = patience
	if r := run(); !r.Failed || r.TimedOut {
		t.Errorf("refused: %+v", r)
	}
}

// The other kinds against both stand-ins: well, refusing, saying nothing, gone.
func TestKinds(t *testing.T) {
	archive := replica.NewArchive(1)
	defer archive.Close()
	web, err := archive.SRU("w", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer web.Kill()
	z, err := archive.Z3950("z", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Kill()
	kinds := []struct {
		kind string
		n    *replica.Server
	}{{config.CheckHTTP, web}, {config.CheckSRU, web}, {config.CheckTCP, web}, {config.CheckZ3950, z}, {config.CheckTCP, z}}
	for _, k := range kinds {
		run := func(d time.Duration) Result {
			return Check{Profile: profile(k.kind, d), Addr: k.n.Addr(), Dial: tcp.DialServerFirst}.Run()
		}
		if r := run(patience); r.Failed {
			t.Errorf("%s: %+v", k.kind, r)
		}
		if k.kind == config.CheckTCP {
			continue
		}
		k.n.SetHealth(replica.Health{Status: 500, RejectChecks: true})
		if r := run(patience); !r.Failed || r.TimedOut || r.Reason == "" {
			t.Errorf("%s, refusing: %+v", k.kind, r)
		}
		k.n.SetHealth(replica.Health{Hang: true})
		if r := run(50 * time.Millisecond); !r.Failed || !r.TimedOut {
			t.Errorf("%s, silent: %+v", k.kind, r)
		}
		k.n.SetHealth(replica.Health{})
	}
	// An SRU server is no target, and the other way round.
	if r := (Check{Profile: profile(config.CheckZ3950, 100*time.Millisecond), Addr: web.Addr(), Dial: tcp.DialServerFirst}).Run(); !r.Failed {
		t.Errorf("%+v", r)
	}
	for status, want := range map[int]health.CheckResult{
		404: {Admin: health.Drain, Weight: -1, MaxConn: -1, Reason: "status 404"}, 200: {Admin: health.Ready, Degraded: true, Weight: -1, MaxConn: -1},
	} {
		web.SetHealth(replica.Health{Status: status, Degraded: status == 200})
		for _, method := range []string{"GET", "HEAD", "OPTIONS"} {
			f := profile(config.CheckHTTP, patience)
			f.Method = method
			if r := (Check{Profile: f, Addr: web.Addr(), Dial: tcp.DialServerFirst}).Run(); r.CheckResult != want {
				t.Errorf("%s %d: %+v", method, status, r)
			}
		}
	}
	web.SetHealth(replica.Health{Body: "all is well"})
	f := profile(config.CheckHTTP, patience)
	f.Expectation.Body = "well"
	if r := (Check{Profile: f, Addr: web.Addr(), Dial: tcp.DialServerFirst}).Run(); r.Failed {
		t.Errorf("%+v", r)
	}
	f.Expectation.Body = "ill"
	if r := (Check{Profile: f, Addr: web.Addr(), Dial: tcp.DialServerFirst}).Run(); !r.Failed {
		t.Errorf("%+v", r)
	}
	web.Kill()
	for _, kind := range []string{config.CheckHTTP, config.CheckSRU, config.CheckTCP} {
		if r := (Check{Profile: profile(kind, patience), Addr: web.Addr(), Dial: tcp.DialServerFirst}).Run(); !r.Failed {
			t.Errorf("%s at nobody: %+v", kind, r)
		}
	}
}

// A gRPC check goes through the bridge, which is asked for the server's own address.
func TestGRPCGoesThroughTheBridge(t *testing.T) {
	var asked atomic.Value // the URL, as the bridge saw it
	bridge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Store(r.URL.String())
		if r.URL.Query().Get("service") != "captions" {
			http.Error(w, "NOT_SERVING", 503)
		}
	}))
	defer bridge.Close()
	f := profile(config.CheckGRPC, patience)
	for service, bad := range map[string]bool{"captions": false, "coverage": true} {
		f.Service = service
		r := Check{Profile: f, Addr: "127.0.0.1:7", Bridge: strings.TrimPrefix(bridge.URL, "http://"), Dial: tcp.DialServerFirst}.Run()
		if r.Failed != bad || bad && !strings.Contains(r.Reason, "NOT_SERVING") || !strings.Contains(fmt.Sprint(asked.Load()), "addr=127.0.0.1%3A7") {
			t.Errorf("%s: %+v, asked %v", service, r, asked.Load())
		}
	}
}

// A peer that sends on and on after it has been judged costs nothing more.
func TestNoMoreIsReadThanJudged(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n := 0
		for b := make([]byte, 64<<10); n < 256<<20; {
			k, err := c.Write(b)
			if n += k; err != nil {
				break
			}
		}
		sent <- n
	}()
	if r := (Check{Profile: profile(config.CheckAgent, patience), Addr: ln.Addr().String(), Dial: tcp.DialServerFirst}).Run(); !r.Failed {
		t.Errorf("%+v", r)
	}
	if n := <-sent; n >= 256<<20 {
		t.Errorf("%d bytes were taken", n)
	}
}
