package healthcheck

import (
	"errors"
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

const (
	longTimeout  = 30 * time.Second // no test reaches it
	shortTimeout = 50 * time.Millisecond
	// refusingAddr is an address that refuses connections, since the system assigns port 1 to no listener. The port of
	// a stopped server could be in use by another process already.
	refusingAddr = "127.0.0.1:1"
)

func newProfile(t *testing.T, kind string, timeout time.Duration) *config.CheckProfile {
	t.Helper()
	profile := &config.CheckProfile{
		Name:    kind,
		Kind:    kind,
		Method:  "GET",
		Path:    "/healthz",
		Timeout: config.Duration{Duration: timeout},
	}
	profile.Expectation.Status = parseRanges(t, "200-399")
	profile.Expectation.Drain = parseRanges(t, "404")
	return profile
}

func parseRanges(t *testing.T, text string) []httpcheck.Range {
	t.Helper()
	ranges, err := httpcheck.ParseRanges(text)
	if err != nil {
		t.Fatal(err)
	}
	return ranges
}

func run(profile *config.CheckProfile, addr string) Result {
	return Check{Profile: profile, Addr: addr, Dial: dialWithLongTimeout}.Run()
}

// dialWithLongTimeout dials with longTimeout, so that a check's timeout elapses only while it waits for the answer. On
// a busy machine the dial alone may take longer than shortTimeout, and the load would decide where the check times out.
func dialWithLongTimeout(addr string, _ time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
	return tcp.Dial(addr, longTimeout, handler)
}

func newAgent(t *testing.T, line string) *replica.Agent {
	t.Helper()
	agent, err := replica.NewAgent(line)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return agent
}

func newSRUServer(t *testing.T) *replica.Server {
	t.Helper()
	archive := replica.NewArchive(1)
	t.Cleanup(archive.Close)
	server, err := archive.SRU("w", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return server
}

func newZ3950Server(t *testing.T) *replica.Server {
	t.Helper()
	archive := replica.NewArchive(1)
	t.Cleanup(archive.Close)
	server, err := archive.Z3950("z", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return server
}

func TestCheck_AgentReports(t *testing.T) {
	agent := newAgent(t, "")
	agent.Set("up ready 50% maxconn:9 #busy", replica.RespondToSend)
	profile := newProfile(t, config.CheckAgent, longTimeout)
	profile.Send = "captions\n"
	want := health.CheckResult{Weight: 0.5, MaxConn: 9, Oper: health.Up, Admin: health.Ready, Reason: "busy"}
	if r := run(profile, agent.Addr()); r.CheckResult != want {
		t.Errorf("%+v", r)
	}
	if received := agent.Received(); len(received) != 1 || received[0] != "captions\n" {
		t.Errorf("the agent received %q", received)
	}
	agent.Set("maint", replica.RespondToSend)
	r := run(profile, agent.Addr())
	if r.Failed || r.Admin != health.Maintenance || r.Oper != health.OperUnset || r.Weight >= 0 {
		t.Errorf("%+v", r)
	}
	agent.Set("stopped", replica.RespondToSend)
	if r := run(profile, agent.Addr()); r.Oper != health.Down || r.Reason != "stopped" {
		t.Errorf("%+v", r)
	}
}

// A check of a faulty agent fails within the timeout and with a reason.
func TestCheck_AgentFaults(t *testing.T) {
	for name, c := range map[string]struct {
		behavior replica.AgentBehavior
		timeout  time.Duration
		timedOut bool
		reason   string
	}{
		"floods":           {behavior: replica.Flood, timeout: longTimeout, reason: "over"},
		"closes at once":   {behavior: replica.CloseAtOnce, timeout: longTimeout, reason: "closed"},
		"hangs":            {behavior: replica.Hang, timeout: shortTimeout, timedOut: true, reason: errTimeout.Error()},
		"a byte at a time": {behavior: replica.Drip, timeout: shortTimeout, timedOut: true, reason: errTimeout.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newAgent(t, "")
			agent.Set("", c.behavior)
			r := run(newProfile(t, config.CheckAgent, c.timeout), agent.Addr())
			if !r.Failed || r.TimedOut != c.timedOut || !strings.Contains(r.Reason, c.reason) {
				t.Errorf("%+v", r)
			}
			if errors.Is(r.Err, errTimeout) != c.timedOut {
				t.Errorf("error %v", r.Err)
			}
		})
	}
	t.Run("refuses connections", func(t *testing.T) {
		if r := run(newProfile(t, config.CheckAgent, longTimeout), refusingAddr); !r.Failed || r.TimedOut {
			t.Errorf("%+v", r)
		}
	})
}

// Each kind of check against a server that is healthy, rejects the check, hangs, and refuses the connection.
func TestCheck_Kinds(t *testing.T) {
	for name, c := range map[string]struct {
		kind      string
		newServer func(*testing.T) *replica.Server
	}{
		"HTTP":                    {kind: config.CheckHTTP, newServer: newSRUServer},
		"SRU":                     {kind: config.CheckSRU, newServer: newSRUServer},
		"Z39.50":                  {kind: config.CheckZ3950, newServer: newZ3950Server},
		"TCP, of an SRU server":   {kind: config.CheckTCP, newServer: newSRUServer},
		"TCP, of a Z39.50 server": {kind: config.CheckTCP, newServer: newZ3950Server},
	} {
		t.Run(name, func(t *testing.T) {
			server := c.newServer(t)
			if r := run(newProfile(t, c.kind, longTimeout), server.Addr()); r.Failed {
				t.Errorf("%+v", r)
			}
			if c.kind != config.CheckTCP {
				checkFaults(t, c.kind, server)
			}
			if r := run(newProfile(t, c.kind, longTimeout), refusingAddr); !r.Failed || r.TimedOut {
				t.Errorf("connection refused: %+v", r)
			}
		})
	}
}

func checkFaults(t *testing.T, kind string, server *replica.Server) {
	t.Helper()
	server.SetHealth(replica.Health{Status: 500, RejectChecks: true})
	if r := run(newProfile(t, kind, longTimeout), server.Addr()); !r.Failed || r.TimedOut || r.Reason == "" {
		t.Errorf("rejecting: %+v", r)
	}
	server.SetHealth(replica.Health{Hang: true})
	if r := run(newProfile(t, kind, shortTimeout), server.Addr()); !r.Failed || !r.TimedOut {
		t.Errorf("hanging: %+v", r)
	}
}

func TestCheck_Z3950OfAnSRUServerFails(t *testing.T) {
	if r := run(newProfile(t, config.CheckZ3950, 100*time.Millisecond), newSRUServer(t).Addr()); !r.Failed {
		t.Errorf("%+v", r)
	}
}

func TestCheck_HTTPStatus(t *testing.T) {
	server := newSRUServer(t)
	for status, want := range map[int]health.CheckResult{
		404: {Admin: health.Drain, Weight: -1, MaxConn: -1, Reason: "status 404"},
		200: {Admin: health.Ready, Degraded: true, Weight: -1, MaxConn: -1},
	} {
		server.SetHealth(replica.Health{Status: status, Degraded: status == 200})
		for _, method := range []string{"GET", "HEAD", "OPTIONS"} {
			profile := newProfile(t, config.CheckHTTP, longTimeout)
			profile.Method = method
			if r := run(profile, server.Addr()); r.CheckResult != want {
				t.Errorf("%s %d: %+v", method, status, r)
			}
		}
	}
}

func TestCheck_HTTPBody(t *testing.T) {
	server := newSRUServer(t)
	server.SetHealth(replica.Health{Body: "all is well"})
	profile := newProfile(t, config.CheckHTTP, longTimeout)
	profile.Expectation.Body = "well"
	if r := run(profile, server.Addr()); r.Failed {
		t.Errorf("%+v", r)
	}
	profile.Expectation.Body = "ill"
	if r := run(profile, server.Addr()); !r.Failed {
		t.Errorf("%+v", r)
	}
}

// A gRPC check is sent to the bridge with the address of the server.
func TestCheck_GRPCGoesThroughBridge(t *testing.T) {
	var requested atomic.Value // URL that the bridge received last
	bridge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested.Store(r.URL.String())
		if r.URL.Query().Get("service") != "captions" {
			http.Error(w, "NOT_SERVING", http.StatusServiceUnavailable)
		}
	}))
	defer bridge.Close()
	profile := newProfile(t, config.CheckGRPC, longTimeout)
	check := Check{
		Profile: profile,
		Addr:    "127.0.0.1:7",
		Bridge:  strings.TrimPrefix(bridge.URL, "http://"),
		Dial:    tcp.Dial,
	}
	for service, failed := range map[string]bool{"captions": false, "coverage": true} {
		profile.Service = service
		r := check.Run()
		if r.Failed != failed || failed && !strings.Contains(r.Reason, "NOT_SERVING") {
			t.Errorf("%s: %+v", service, r)
		}
		if !strings.Contains(fmt.Sprint(requested.Load()), "addr=127.0.0.1%3A7") {
			t.Errorf("%s: requested %v", service, requested.Load())
		}
	}
}

// A check closes the connection once it has evaluated the answer, even if the server continues to send.
func TestCheck_ReadsNoMoreThanItEvaluates(t *testing.T) {
	const maxBytes = 256 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the test has ended
	sent := make(chan int, 1)
	go func() { sent <- sendZeros(listener, maxBytes) }()
	if r := run(newProfile(t, config.CheckAgent, longTimeout), listener.Addr().String()); !r.Failed {
		t.Errorf("%+v", r)
	}
	if n := <-sent; n >= maxBytes {
		t.Errorf("the check accepted all of %d bytes", n)
	}
}

// sendZeros accepts a connection and sends bytes on it, until it has sent count or the connection fails. It returns the
// number of bytes sent.
func sendZeros(listener net.Listener, count int) (sent int) {
	c, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }() // all that was written counts as sent
	for b := make([]byte, 64<<10); sent < count; {
		n, err := c.Write(b)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}
