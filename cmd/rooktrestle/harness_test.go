package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary is the program, too: it starts itself.
func TestMain(m *testing.M) {
	if os.Getenv("ROOKTRESTLE_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program is a running process of rooktrestle.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen map[string]string // what listens where
	last   chan string       // its last line of standard error, once it has ended
	lines  chan string       // its lines that mention the configuration
	conf   string            // the configuration's file
}

// start starts the program and waits until it has named so many listeners.
func start(t *testing.T, listeners int, env []string, args ...string) *program {
	t.Helper()
	p := &program{t: t, cmd: exec.Command(os.Args[0], args...), listen: map[string]string{}, last: make(chan string, 1),
		lines: make(chan string, 8)}
	p.cmd.Env = append(append(os.Environ(), "ROOKTRESTLE_PROGRAM=1"), env...)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ready := make(chan struct{})
	go func() {
		lines, last, faulty := bufio.NewScanner(out), "", false
		for lines.Scan() {
			last = lines.Text()
			if f := listening.FindStringSubmatch(last); f != nil && len(p.listen) < listeners {
				if p.listen[f[1]+f[3]] = f[2] + f[4]; len(p.listen) == listeners {
					close(ready)
				}
			}
			if strings.Contains(last, "configuration") {
				p.lines <- last
			}
			if strings.Contains(last, "panic") || strings.Contains(last, "DATA RACE") {
				faulty = true
			}
			if faulty { // the line, and the stack traces below it
				t.Errorf("the program says: %s", last)
			}
		}
		if len(p.listen) < listeners {
			close(ready)
		}
		p.last <- last
	}()
	t.Cleanup(func() { _, _ = p.cmd.Process.Kill(), p.cmd.Wait() }) // it has ended, unless the test has failed
	select {
	case <-ready:
	case <-time.After(patience):
		t.Fatalf("the program does not open %d listeners", listeners)
	}
	if len(p.listen) < listeners {
		t.Fatalf("the program ended: %s", <-p.last)
	}
	return p
}

// listening is a listener's line: plain on the platform, and structured in a partners' deployment.
var listening = regexp.MustCompile(`^\S+ listen (\S+) (\S+)$|msg=listening protocol=(\S+) addr=(\S+)`)

// countersAtExit are the counters of queries in the last line.
var countersAtExit = regexp.MustCompile(`taken (\d+); answered: served (\d+) \(partial \d+\), refused (\d+) \(full \d+\), failed (\d+), gone (\d+)`)

// queryCounts are the program's counters of queries at its exit.
type queryCounts struct{ received, served, rejected, failed, disconnected int }

// stop ends the program and returns its counters. Each query must have been closed once.
func (p *program) stop() (counts queryCounts) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	last := <-p.last
	if err := p.cmd.Wait(); err != nil {
		p.t.Fatalf("the program ended with %v: %s", err, last)
	}
	m := countersAtExit.FindStringSubmatch(last)
	if m == nil {
		p.t.Fatalf("no counters at exit: %s", last)
	}
	for i, counter := range []*int{&counts.received, &counts.served, &counts.rejected, &counts.failed, &counts.disconnected} {
		*counter, _ = strconv.Atoi(m[i+1]) // digits, by the expression
	}
	if counts.received != counts.served+counts.rejected+counts.failed+counts.disconnected {
		p.t.Errorf("not every query was closed once: %s", last)
	}
	return counts
}

// signal sends a signal. A program that has ended is found by stop.
func (p *program) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatal(err)
	}
}

func (p *program) kill() {
	p.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		p.t.Fatal(err)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readBody reads the body of a response and closes it.
func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("the body of %s: %v", response.Request.URL, err)
	}
	closeQuietly(response.Body)
	return string(text)
}

// closeQuietly closes what a test has read to its end, or gives up on purpose: an error shows nothing then.
func closeQuietly(c io.Closer) { _ = c.Close() }

// send writes what a test sends. An error shows in the answer, or in its absence.
func send(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// platform starts the program with a stand-in of discovery that lists these leaf servers. No time limit matters.
func platform(t *testing.T, leaves ...*leafServer) *program {
	t.Helper()
	return platformWith(t, unhurried(1), leaves...)
}

// platformWith starts the program as platform does, with the platform's settings given.
func platformWith(t *testing.T, settings string, leaves ...*leafServer) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	discovery := newDiscovery(t, leaves...)
	configureAs(t, path, discovery, settings, soleInstance)
	// On the platform the variable names the address of the start for good.
	p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + discovery})
	p.conf = path
	p.wait()
	return p
}

// wait waits until the program is ready.
func (p *program) wait() {
	for status := 0; status != 200; {
		if resp, err := http.Get("http://" + p.listen["http"] + "/healthz"); err == nil {
			status = resp.StatusCode
			closeQuietly(resp.Body)
		}
	}
}

// ask sends a query that has all the time it needs, and returns the status and the body.
func (p *program) ask(id, class, body string) (int, string) {
	p.t.Helper()
	return p.askWithin(patience, id, class, body)
}

// askWithin sends a query with a deadline and returns the status and the body.
func (p *program) askWithin(deadline time.Duration, id, class, body string) (int, string) {
	p.t.Helper()
	r, _ := http.NewRequest("POST", "http://"+p.listen["http"]+"/"+class, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Tenant", "tv")
	r.Header.Set("X-Deadline", deadlineHeader(deadline))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Fatal(err)
	}
	text := readBody(p.t, resp)
	return resp.StatusCode, text
}
