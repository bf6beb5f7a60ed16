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

// asker is one connection of a client's.
type asker struct {
	net.Conn
	in *bufio.Reader
}

func (p *program) connect() asker {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listen["http"])
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return asker{c, bufio.NewReader(c)}
}

func (c asker) send(id, wait string) error {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`
	_, err := fmt.Fprintf(c, "POST /search HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: search\r\nX-Tenant: tv\r\nX-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, wait, len(body), body)
	return err
}

// answer is the next answer whole.
func (c asker) answer() (status int, text string, err error) {
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

// A client goes on asking on one connection until the mixer ends it. Each request is answered whole or, where it crosses the
// end, not taken at all: its client sees the end, and may ask elsewhere.
func TestAClientAsksUntilItsConnectionEnds(t *testing.T) {
	p := platform(t, newLeaf(t, value))
	c := p.connect()
	answered := 0
	for i := 0; ; i++ {
		if i == 3 {
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
		err := c.send(fmt.Sprint("q", i), "3.0")
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
		if err != io.EOF && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
			t.Fatal(err)
		}
		break
	}
	c.Close()
	if n := p.stop(); n[0] != answered || answered < 3 || n[1] != answered {
		t.Errorf("taken %d, served %d; the client has %d answers", n[0], n[1], answered)
	}
}

// The last answer is there for a client that reads it after the program has ended, and no reset comes in its place. A
// connection that rests ends in the same way, told twice to end or not.
func TestTheLastAnswerOutlivesTheProgram(t *testing.T) {
	asked, told := make(chan struct{}), make(chan struct{})
	p := platform(t, newLeaf(t, func(name string, c net.Conn) string {
		close(asked)
		<-told
		return value(name, c)
	}))
	resting, c := p.connect(), p.connect()
	c.send("q", "3.0")
	<-asked
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGTERM)
	close(told)
	if n := p.stop(); n[0] != 1 || n[1] != 1 {
		t.Errorf("%v", n)
	}
	if status, text, err := c.answer(); status != 200 || !strings.Contains(text, valueOf("q.1")) || err != nil {
		t.Errorf("%d %q, %v", status, text, err)
	}
	for _, c := range []asker{c, resting} {
		if b, err := io.ReadAll(c.in); len(b) > 0 || err != nil {
			t.Errorf("%q, %v; want the end", b, err)
		}
	}
}

// Leaf servers hang to the end: the query is answered when its time is over, and the program ends then. Its deadline is
// shorter than the pause for late arrivals, and so is the one of a request that comes within that pause.
func TestShutdownUnderLeafServersThatHang(t *testing.T) {
	asked, never := make(chan struct{}, 10), make(chan struct{})
	t.Cleanup(func() { close(never) })
	p := platform(t, newLeaf(t, func(string, net.Conn) string {
		asked <- struct{}{}
		<-never
		return ""
	}))
	first, late := p.connect(), p.connect()
	first.send("first", "0.3")
	<-asked
	p.cmd.Process.Signal(syscall.SIGTERM)
	late.send("late", "0.3")
	for _, c := range []asker{first, late} {
		if status, _, err := c.answer(); status < 500 || err != nil {
			t.Errorf("%d, %v", status, err)
		}
		c.Close()
	}
	if n := p.stop(); n[0] != 2 || n[1] != 0 {
		t.Errorf("%v", n)
	}
}

// Told to end before it is ready, while discovery says nothing: it ends.
func TestToldToEndBeforeItIsReady(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	configure(t, path, ln.Addr().String())
	p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + ln.Addr().String()})
	c, err := ln.Accept() // it waits for a list
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if resp, err := http.Get("http://" + p.listen["http"] + "/healthz"); err != nil || resp.StatusCode != 503 {
		t.Errorf("%v, %v", resp, err)
	} else {
		resp.Body.Close()
	}
	if n := p.stop(); n[0] != 0 {
		t.Errorf("%v", n)
	}
}

// Told to end while it reads its configuration again, which does not come: it ends.
func TestToldToEndWhileItReadsItsConfiguration(t *testing.T) {
	p := platform(t, newLeaf(t, value))
	if err := os.Remove(p.conf); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.conf, 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	f, err := os.OpenFile(p.conf, os.O_WRONLY, 0) // opens when the program reads, which it then goes on doing
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if n := p.stop(); n[0] != 0 {
		t.Errorf("%v", n)
	}
}
