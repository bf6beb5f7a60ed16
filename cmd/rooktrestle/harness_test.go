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

// TestMain runs the program instead of the tests if ROOKTRESTLE_PROGRAM is set, so that tests can start their own
// binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("ROOKTRESTLE_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program is a running process of rooktrestle.
type program struct {
	t           *testing.T
	cmd         *exec.Cmd
	listen      map[string]string // address of each listener, by protocol
	lastLine    chan string       // its last line of standard error, sent when it has exited
	configLines chan string       // its lines of standard error that mention the configuration
	confPath    string            // path of the configuration file
}

// start starts the program and waits until it has logged this number of listeners.
func start(t *testing.T, listeners int, env []string, args ...string) *program {
	t.Helper()
	return startCommand(t, listeners, append(env, "ROOKTRESTLE_PROGRAM=1"), exec.Command(os.Args[0], args...))
}

// startCommand starts a command that runs the program, as start does.
func startCommand(t *testing.T, listeners int, env []string, command *exec.Cmd) *program {
	t.Helper()
	p := &program{t: t, cmd: command, listen: map[string]string{},
		lastLine: make(chan string, 1), configLines: make(chan string, 8)}
	p.cmd.Env = append(os.Environ(), env...)
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
			if f := listenLine.FindStringSubmatch(last); f != nil && len(p.listen) < listeners {
				if p.listen[f[1]+f[3]] = f[2] + f[4]; len(p.listen) == listeners {
					close(ready)
				}
			}
			if strings.Contains(last, "configuration") {
				p.configLines <- last
			}
			if strings.Contains(last, "panic") || strings.Contains(last, "DATA RACE") {
				faulty = true
			}
			if faulty { // the line, and the stack traces after it
				t.Errorf("the program logged: %s", last)
			}
		}
		if len(p.listen) < listeners {
			close(ready)
		}
		p.lastLine <- last
	}()
	t.Cleanup(func() { _, _ = p.cmd.Process.Kill(), p.cmd.Wait() }) // no effect if the test has stopped it
	select {
	case <-ready:
	case <-time.After(testTimeout):
		t.Fatalf("the program did not open %d listeners", listeners)
	}
	if len(p.listen) < listeners {
		t.Fatalf("the program exited early: %s", <-p.lastLine)
	}
	return p
}

// listenLine matches the log line of a listener: unstructured on the platform, structured in a partners' deployment.
var listenLine = regexp.MustCompile(`^\S+ listen (\S+) (\S+)$|msg=listening protocol=(\S+) addr=(\S+)`)

// countersAtExit matches the counters of queries in the last log line.
var countersAtExit = regexp.MustCompile(`taken (\d+); answered: served (\d+) \(partial \d+\), refused (\d+) \(full \d+\), failed (\d+), gone (\d+)`)

// queryCounts has the program's counters of queries at its exit.
type queryCounts struct{ received, served, rejected, failed, disconnected int }

// stop stops the program by SIGTERM and returns its counters. Each query must have been completed exactly once.
func (p *program) stop() (counts queryCounts) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	last := <-p.lastLine
	if err := p.cmd.Wait(); err != nil {
		p.t.Fatalf("the program exited with %v: %s", err, last)
	}
	m := countersAtExit.FindStringSubmatch(last)
	if m == nil {
		p.t.Fatalf("no counters at exit: %s", last)
	}
	for i, counter := range []*int{&counts.received, &counts.served, &counts.rejected, &counts.failed, &counts.disconnected} {
		*counter, _ = strconv.Atoi(m[i+1]) // only digits, as the expression matched
	}
	if counts.received != counts.served+counts.rejected+counts.failed+counts.disconnected {
		p.t.Errorf("not every query was completed exactly once: %s", last)
	}
	return counts
}

// signal sends a signal. If the program has exited, stop reports it.
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

// closeQuietly closes what a test has read to its end or abandons on purpose, where an error is irrelevant.
func closeQuietly(c io.Closer) { _ = c.Close() }

// send writes text. It ignores errors, as the test checks the response.
func send(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// startPlatform starts the program with a fake discovery that lists these leaf servers, and with time limits that no
// test reaches.
func startPlatform(t *testing.T, leaves ...*leafServer) *program {
	t.Helper()
	return startPlatformWith(t, untimedSettings(1), leaves...)
}

// startPlatformWith starts the program as startPlatform does, with the given settings.
func startPlatformWith(t *testing.T, settings string, leaves ...*leafServer) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	discovery := newDiscovery(t, leaves...)
	writeConfigWith(t, path, discovery, settings, singleInstance)
	// As on the platform, the variable has the address at the start, and does not change later.
	p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + discovery})
	p.confPath = path
	p.awaitHealthy()
	return p
}

// awaitHealthy waits until GET /healthz reports that the program is ready.
func (p *program) awaitHealthy() {
	for status := 0; status != 200; {
		if resp, err := http.Get("http://" + p.listen["http"] + "/healthz"); err == nil {
			status = resp.StatusCode
			closeQuietly(resp.Body)
		}
	}
}

// ask sends a query with a deadline that no test reaches, and returns the status and the body.
func (p *program) ask(id, class, body string) (int, string) {
	p.t.Helper()
	return p.askWithin(testTimeout, id, class, body)
}

// newQuery returns the HTTP request of a query.
func (p *program) newQuery(deadline time.Duration, id, class, body string) *http.Request {
	r, _ := http.NewRequest("POST", "http://"+p.listen["http"]+"/"+class, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Tenant", "tv")
	r.Header.Set("X-Deadline", deadlineHeader(deadline))
	return r
}

// askWithin sends a query with a deadline and returns the status and the body.
func (p *program) askWithin(deadline time.Duration, id, class, body string) (int, string) {
	p.t.Helper()
	resp, err := http.DefaultClient.Do(p.newQuery(deadline, id, class, body))
	if err != nil {
		p.t.Fatal(err)
	}
	text := readBody(p.t, resp)
	return resp.StatusCode, text
}
