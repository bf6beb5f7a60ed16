package health

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"rooktrestle/internal/testbed/ber"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/replica"
)

const (
	idleConnectionCount = 700 // on one listener
	probeRounds         = 10  // rounds of calls while the idle connections are open
	maxReportedFailures = 5
)

// The scenario asserts that callers are served, not how fast: a slow machine must not reach any of these timeouts.
const (
	probeTimeout       = 2 * time.Minute  // of each call, longer than every deadline
	settleTimeout      = time.Minute      // until the agent listener has answered or closed the idle connections
	slowCallTimeout    = time.Minute      // until the slow calls' parts are in flight
	idleDeadlineFactor = 20               // of the classes' deadlines
	idleServerTimeout  = 30 * time.Second // of connections to replicas, and of their checks
)

// IdleConnections opens 700 connections that are idle or have sent an incomplete request, on each listener in turn.
// Meanwhile callers on every listener and health checks must be served, also on new connections, and an association
// must retain a result set that it uses.
func IdleConnections(seed uint64) (r Result, err error) {
	d, err := deployment.Start(deployment.Options{
		Replicas:       4,
		Reach:          2,
		Seed:           seed,
		CheckTimeout:   idleServerTimeout,
		ConnectTimeout: idleServerTimeout,
		DeadlineFactor: idleDeadlineFactor,
	})
	if err != nil {
		return r, fmt.Errorf("start a deployment: %w", err)
	}
	defer d.Stop()
	session, err := client.Dial(d.Frontend.Addr("z3950"), "editor", probeTimeout)
	if err != nil {
		return r, fmt.Errorf("open an association: %w", err)
	}
	defer session.Close()
	if out := session.Search("kept", "captions", "budget"); out != client.Complete {
		return r, fmt.Errorf("search before the idle connections were opened: %v", out)
	}
	p := &lockoutProbe{deployment: d, session: session, result: &r}
	for _, listener := range []string{"z3950", "sru", "health", "agent"} {
		for _, sent := range partialRequests(listener) {
			p.run(listener, sent)
		}
	}
	r.record("asked", float64(p.checked))
	r.record("not-served", float64(p.failed))
	r.checkCorrections(d)
	return r, nil
}

// partialRequests returns what the idle connections send to a listener: nothing, incomplete requests, and for Z39.50 a
// complete Init.
func partialRequests(listener string) []string {
	if listener == "z3950" {
		return []string{"", "G", "\xb4\x20", ber.InitAPDU("")}
	}
	return []string{"", "G", "\xb4\x20", "GET / HTTP/1.1\r\nHost: x\r\n"}
}

// lockoutProbe calls every listener while idle connections are open, and counts the calls that were not served.
type lockoutProbe struct {
	deployment *deployment.Deployment
	session    *client.Origin // with a result set named kept
	result     *Result
	checked    int // calls
	failed     int // calls that were not served
}

// check counts one call. The first failures are reported with what was received instead of the answer.
func (p *lockoutProbe) check(served bool, what string, got ...any) {
	p.checked++
	if served {
		return
	}
	p.failed++
	if p.failed <= maxReportedFailures {
		p.result.assert(false, "%s was not served: %v", what, got)
	}
}

// run opens idle connections on one listener and calls all listeners.
func (p *lockoutProbe) run(listener, sent string) {
	outcomes := startSlowCalls(p.deployment)
	idle := openIdleConnections(p.deployment.Frontend.Addr(listener), sent)
	defer idle.close()
	what := fmt.Sprintf("%d idle connections on %s (%q)", idleConnectionCount, listener, sent)
	for i := range probeRounds {
		p.callSRU(what, fmt.Sprintf("%d:%s-%d-%d", i%4, listener, len(sent), i))
		p.callZ3950(what)
		if listener == "agent" && i == 0 {
			err := idle.waitForAgent(settleTimeout)
			p.result.assert(err == nil, "%s: some were neither answered nor closed: %v", what, err)
		}
		p.callHealth(what)
	}
	for name, out := range outcomes() {
		p.check(out == client.Complete, what+": "+name+" started before them", out)
	}
}

func (p *lockoutProbe) callSRU(what, correctionID string) {
	web := client.NewSRU(p.deployment.Frontend.Addr("sru"), probeTimeout)
	defer web.Close()
	out := web.Search("captions", "budget")
	p.check(out == client.Complete, what+": sru search", out)
	out = web.Correct("captions", correctionID)
	p.check(out == client.Complete, what+": sru correction", out)
}

func (p *lockoutProbe) callZ3950(what string) {
	origin, err := client.Dial(p.deployment.Frontend.Addr("z3950"), "", probeTimeout)
	p.check(err == nil, what+": z39.50 init", err)
	if err != nil {
		return
	}
	defer origin.Close()
	out := origin.Search("s", "captions", "budget")
	p.check(out == client.Complete, what+": z39.50 search", out)
}

func (p *lockoutProbe) callHealth(what string) {
	line, err := client.AgentCheck(p.deployment.Frontend.Addr("agent"), "", probeTimeout)
	p.check(err == nil && strings.HasPrefix(line, "up"), what+": agent-check", line, err)
	status, _, body, err := client.Get("http://"+p.deployment.Frontend.Addr("health")+"/healthz", probeTimeout)
	p.check(err == nil && status == 200, what+": health check", status, body, err)
	response, err := p.session.RoundTrip(ber.PresentAPDU("kept", 1, 2))
	presented := err == nil && response.Tag == ber.PresentResponse && ber.DiagnosticCode(response) == 0
	p.check(presented, what+": present from a retained result set", response.Tag, err)
}

// startSlowCalls starts a slow call over each protocol, and returns once their parts are in flight: until then their
// connections cannot be told from idle ones. outcomes waits for the answers, and returns them by a description of the
// call.
func startSlowCalls(d *deployment.Deployment) (outcomes func() map[string]client.Outcome) {
	setAll(d, replica.Faults{Delay: 600 * time.Millisecond})
	sru := make(chan client.Outcome, 1)
	z3950 := make(chan client.Outcome, 1)
	go func() {
		web := client.NewSRU(d.Frontend.Addr("sru"), probeTimeout)
		defer web.Close()
		sru <- web.Search("captions", "budget")
	}()
	go func() {
		origin, err := client.Dial(d.Frontend.Addr("z3950"), "", probeTimeout)
		if err != nil {
			z3950 <- client.Disconnected
			return
		}
		defer origin.Close()
		z3950 <- origin.Search("s", "captions", "budget")
	}()
	began := time.Now()
	for len(d.Archive.Events(began)) < 2*len(d.Replicas) && time.Since(began) < slowCallTimeout {
		time.Sleep(5 * time.Millisecond)
	}
	setAll(d, replica.Faults{})
	return func() map[string]client.Outcome {
		return map[string]client.Outcome{
			"a search over SRU":    <-sru,
			"a search over Z39.50": <-z3950,
		}
	}
}

// idleConnections are the open connections to one listener.
type idleConnections []net.Conn

// openIdleConnections opens connections that send one text and then nothing.
func openIdleConnections(addr, sent string) (conns idleConnections) {
	for range idleConnectionCount {
		conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
		if err != nil {
			continue // the listener may refuse the connection; only callers must be served
		}
		if sent != "" {
			_, _ = io.WriteString(conn, sent) // the listener may have closed it
		}
		conns = append(conns, conn)
	}
	return conns
}

// waitForAgent waits until the agent listener has answered or closed each connection. Until then the connections are
// agent-checks in progress, and a listener whose sockets and wait queue are full of these rejects others.
func (conns idleConnections) waitForAgent(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var firstByte [1]byte
	for _, conn := range conns {
		if err := conn.SetReadDeadline(deadline); err != nil {
			return err
		}
		_, err := conn.Read(firstByte[:])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	return nil
}

func (conns idleConnections) close() {
	for _, conn := range conns {
		_ = conn.Close() // no written data depends on it
	}
}
