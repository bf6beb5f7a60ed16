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

// Tests of requests and signals that arrive during a shutdown (docs/crossings.md).

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

// send sends a query with one part and a deadline in seconds.
func (c httpClient) send(id, wait string) error {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`
	_, err := fmt.Fprintf(c, "POST /search HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: search\r\nX-Tenant: tv\r\n"+
		"X-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, wait, len(body), body)
	return err
}

// mustSend is send, and fails the test on an error.
func (c httpClient) mustSend(t *testing.T, id, wait string) {
	t.Helper()
	if err := c.send(id, wait); err != nil {
		t.Fatal(err)
	}
}

// answer reads the next answer completely.
func (c httpClient) answer() (status int, text string, err error) {
	if _, err := c.in.Peek(1); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", fmt.Errorf("truncated answer: %w", err)
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// expectFailure reads the next answer, which must be complete and have a status of 500 or higher.
func (c httpClient) expectFailure(t *testing.T) {
	t.Helper()
	if status, _, err := c.answer(); status < 500 || err != nil {
		t.Errorf("%d, %v", status, err)
	}
}

// A client sends requests on one connection until the program closes it. Each request is answered completely, or not
// accepted at all if it crosses the close: its client then sees the connection closed, and may retry elsewhere.
func TestShutdown_ClientSendsUntilItsConnectionEnds(t *testing.T) {
	p := startPlatform(t, newLeaf(t, answerValue))
	c := p.connect()
	answered := 0
	for i := 0; ; i++ {
		if i == 3 {
			p.signal(syscall.SIGTERM)
		}
		err := c.send(fmt.Sprint("q", i), testDeadline)
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

// A client that reads the last answer only after the program has exited receives it, and no reset. An idle connection
// is also closed without a reset. A second SIGTERM changes nothing.
func TestShutdown_LastAnswerIsDelivered(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	p := startPlatform(t, newLeaf(t, func(name string, c net.Conn) string {
		close(received)
		<-release
		return answerValue(name, c)
	}))
	idle, c := p.connect(), p.connect()
	c.mustSend(t, "q", testDeadline)
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
	for _, c := range []httpClient{c, idle} {
		if b, err := io.ReadAll(c.in); len(b) > 0 || err != nil {
			t.Errorf("%q, %v; want the end of the stream", b, err)
		}
	}
}

// Leaf servers never respond: queries are answered when their deadlines expire, and the program then exits. The
// deadlines of the query that is open at SIGTERM, and of one that arrives during the grace period, are shorter than
// that period.
func TestShutdown_LeafServersHang(t *testing.T) {
	received, never := make(chan struct{}, 10), make(chan struct{})
	t.Cleanup(func() { close(never) })
	p := startPlatform(t, newLeaf(t, func(string, net.Conn) string {
		received <- struct{}{}
		<-never
		return ""
	}))
	first, late := p.connect(), p.connect()
	answered := make(chan struct{})
	sent := 0
	for inFlight := false; !inFlight; { // on a busy machine the deadline may expire before a part is sent
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

// SIGTERM stops a program that is not ready yet because discovery is unresponsive.
func TestShutdown_BeforeReady(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(ln)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, ln.Addr().String())
	p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + ln.Addr().String()})
	c, err := ln.Accept() // the program's request for the list, which is never answered
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

// SIGTERM stops the program while a reload blocks on reading the configuration file.
func TestShutdown_WhileConfigurationIsRead(t *testing.T) {
	p := startPlatform(t, newLeaf(t, answerValue))
	if err := os.Remove(p.confPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.confPath, 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	f, err := os.OpenFile(p.confPath, os.O_WRONLY, 0) // the program then blocks on reading
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(f)
	if n := p.stop(); n.received != 0 {
		t.Errorf("%v", n)
	}
}
