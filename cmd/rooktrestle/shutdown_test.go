package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Shutdowns of the program and what crosses them (docs/crossings.md).

// httpClient is one connection of a client.
type httpClient struct {
	net.Conn
	in *bufio.Reader
}

func (p *program) connect() httpClient {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listen["http"])
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { closeQuietly(c) })
	return httpClient{c, bufio.NewReader(c)}
}

// send sends a query of one part, with its deadline in seconds.
func (c httpClient) send(id, wait string) error {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`
	_, err := fmt.Fprintf(c, "POST /search HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: search\r\nX-Tenant: tv\r\n"+
		"X-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, wait, len(body), body)
	return err
}

// mustSend sends a query, which must not fail.
func (c httpClient) mustSend(t *testing.T, id, wait string) {
	t.Helper()
	if err := c.send(id, wait); err != nil {
		t.Fatal(err)
	}
}

// answer reads the next answer to its end.
func (c httpClient) answer() (status int, text string, err error) {
	if _, err := c.in.Peek(1); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", fmt.Errorf("an answer stopped short: %w", err)
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// expectFailure reads the next answer, which must be complete and that of a query that is not served.
func (c httpClient) expectFailure(t *testing.T) {
	t.Helper()
	if status, _, err := c.answer(); status < 500 || err != nil {
		t.Errorf("%d, %v", status, err)
	}
}

// A client sends requests on one connection until the program ends it. Each request is answered completely or, where it
// crosses the end, not accepted at all: its client sees the end, and may retry elsewhere.
func TestShutdown_ClientSendsUntilItsConnectionEnds(t *testing.T) {
	p := platform(t, newLeaf(t, value))
	c := p.connect()
	answered := 0
	for i := 0; ; i++ {
		if i == 3 {
			p.signal(syscall.SIGTERM)
		}
		err := c.send(fmt.Sprint("q", i), patientDeadline)
		if err == nil {
			var status int
			if status, _, err = c.answer(); err == nil {
				if status != 200 && status != 503 {
					t.Fatalf("%d", status)
				}
				if status == 200 {
					answered++
				}
				continue
			}
		}
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		break
	}
	closeQuietly(c)
	if n := p.stop(); n.received != answered || answered < 3 || n.served != answered {
		t.Errorf("received %d, served %d; the client has %d answers", n.received, n.served, answered)
	}
}

// The last answer is there for a client that reads it after the program has ended, and no reset comes in its place. An
// idle connection ends in the same way, after one SIGTERM or two.
func TestShutdown_LastAnswerIsDelivered(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	p := platform(t, newLeaf(t, func(name string, c net.Conn) string {
		close(received)
		<-release
		return value(name, c)
	}))
	resting, c := p.connect(), p.connect()
	c.mustSend(t, "q", patientDeadline)
	<-received
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGTERM)
	close(release)
	if n := p.stop(); n.received != 1 || n.served != 1 {
		t.Errorf("%v", n)
	}
	if status, text, err := c.answer(); status != 200 || !strings.Contains(text, valueOf("q.1")) || err != nil {
		t.Errorf("%d %q, %v", status, text, err)
	}
	for _, c := range []httpClient{c, resting} {
		if b, err := io.ReadAll(c.in); len(b) > 0 || err != nil {
			t.Errorf("%q, %v; want the end", b, err)
		}
	}
}

// Leaf servers hang to the end: the query is answered when its time is over, and the program ends then. Its deadline is
// shorter than the pause for late arrivals, and so is the one of a request that comes within that pause.
func TestShutdown_LeafServersHang(t *testing.T) {
	received, never := make(chan struct{}, 10), make(chan struct{})
	t.Cleanup(func() { close(never) })
	p := platform(t, newLeaf(t, func(string, net.Conn) string {
		received <- struct{}{}
		<-never
		return ""
	}))
	first, late := p.connect(), p.connect()
	answered := make(chan struct{})
	sent := 0
	for inFlight := false; !inFlight; { // a busy machine may let the deadline pass before a part is sent
		sent++
		first.mustSend(t, fmt.Sprint("first", sent), "0.3")
		go func() {
			first.expectFailure(t)
			answered <- struct{}{}
		}()
		select {
		case <-received:
			inFlight = true
		case <-answered:
		}
	}
	p.signal(syscall.SIGTERM)
	late.mustSend(t, "late", "0.3")
	<-answered
	late.expectFailure(t)
	closeQuietly(first)
	closeQuietly(late)
	if n := p.stop(); n.received != sent+1 || n.served != 0 {
		t.Errorf("%v of %d queries", n, sent+1)
	}
}

// A SIGTERM before the program is ready, while discovery is unresponsive, ends it.
func TestShutdown_BeforeReady(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(ln)
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, ln.Addr().String())
	p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + ln.Addr().String()})
	c, err := ln.Accept() // it waits for a list
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	if resp, err := http.Get("http://" + p.listen["http"] + "/healthz"); err != nil || resp.StatusCode != 503 {
		t.Errorf("%v, %v", resp, err)
	} else {
		closeQuietly(resp.Body)
	}
	if n := p.stop(); n.received != 0 {
		t.Errorf("%v", n)
	}
}

// A SIGTERM while a reload blocks on reading the configuration ends the program.
func TestShutdown_WhileConfigurationIsRead(t *testing.T) {
	p := platform(t, newLeaf(t, value))
	if err := os.Remove(p.conf); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.conf, 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	f, err := os.OpenFile(p.conf, os.O_WRONLY, 0) // opens when the program reads, which it then goes on doing
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(f)
	if n := p.stop(); n.received != 0 {
		t.Errorf("%v", n)
	}
}
