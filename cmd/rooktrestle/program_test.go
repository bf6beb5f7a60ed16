package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
)

func TestPlatform_Serves(t *testing.T) {
	a, b := newLeaf(t, answerValue), newLeaf(t, answerValue)
	p := startPlatform(t, a, b)
	status, text := p.ask("q1", "search", `{"slices":[{"slice":0,"mass":0.5},{"slice":3,"mass":0.5}],
		"filter":"बजेट"}`)
	var got struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.Unmarshal([]byte(text), &got); err != nil || status != 200 {
		t.Fatalf("%d %s, %v", status, text, err)
	}
	if !got.Entire || len(got.Items) != 2 || got.Items[1].Body != valueOf("q1.3") {
		t.Errorf("%d %s", status, text)
	}
	for _, line := range append(a.received(), b.received()...) {
		if !regexp.MustCompile(`^q1\.[03] [03] d=\d+ 12 बजेट$`).MatchString(line) {
			t.Errorf("part %q", line)
		}
	}
	if n := p.stop(); n != (queryCounts{received: 1, served: 1}) {
		t.Error(n)
	}
}

func TestPlatform_FollowUpParts(t *testing.T) {
	score := func(name string, _ net.Conn) string {
		return map[byte]string{'0': "S 5", '1': "S 9", '2': "S 1", '3': "S 8"}[name[3]] + " -\n" + valueOf(name)
	}
	a, b := newLeaf(t, score), newLeaf(t, score)
	p := startPlatform(t, a, b)
	_, text := p.ask("q2", "report", `{"slices":[{"slice":0,"mass":0.25},{"slice":1,"mass":0.25},
		{"slice":2,"mass":0.25},{"slice":3,"mass":0.25}],"filter":"x"}`)
	contains(t, text, `"entire":true`, valueOf("q2.1.phase2"), valueOf("q2.3.phase2"))
	if strings.Contains(text, valueOf("q2.0.phase2")) {
		t.Error(text)
	}
	second := 0
	for _, line := range append(a.received(), b.received()...) {
		if strings.Contains(line, ".phase2 ") {
			if second++; !regexp.MustCompile(`^q2\.[13]\.phase2 [13] d=\d+,from=0\+1\+2\+3,whole=1 1 x$`).MatchString(line) {
				t.Errorf("part %q", line)
			}
		}
	}
	if second != 2 {
		t.Errorf("%d follow-up parts, want 2", second)
	}
	p.stop()
}

// A correction whose connection breaks after it was written may have run: it fails, and is never retried.
func TestPlatform_CorrectionIsNotSentTwice(t *testing.T) {
	breakConnection := func(_ string, c net.Conn) string { closeQuietly(c); return "" }
	a, b := newLeaf(t, breakConnection), newLeaf(t, breakConnection)
	p := startPlatform(t, a, b)
	if status, _ := p.ask("q3", "correction", `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`); status != 502 {
		t.Errorf("status %d", status)
	}
	if sent := append(a.received(), b.received()...); len(sent) != 1 {
		t.Errorf("sent %q", sent)
	}
	if n := p.stop(); n != (queryCounts{received: 1, failed: 1}) {
		t.Error(n)
	}
}

// An invalid frame closes its connection and fails the attempts on it; a search is retried on another connection.
func TestPlatform_InvalidFrame(t *testing.T) {
	bad := true
	var mu sync.Mutex
	first := func(name string, c net.Conn) string {
		mu.Lock()
		defer mu.Unlock()
		if bad {
			bad = false
			send(c, "\xff\xff\xff\xff5")
			return ""
		}
		return answerValue(name, c)
	}
	p := startPlatform(t, newLeaf(t, first), newLeaf(t, first))
	status, text := p.ask("q4", "search", `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`)
	if status != 200 || !strings.Contains(text, valueOf("q4.1")) {
		t.Errorf("%d %s", status, text)
	}
	p.stop()
}

const goodBody = `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`

// rawHeaders has header lines of a valid query.
var rawHeaders = "X-Request-Id: z\r\nX-Tenant: tv\r\nX-Deadline: " + testDeadline + "\r\n"

// chunkedRequest is a valid query with a chunked body.
var chunkedRequest = "POST /search HTTP/1.1\r\n" + rawHeaders + "Transfer-Encoding: chunked\r\n\r\n" +
	fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(goodBody), goodBody)

// rawQuery formats a query as an HTTP request.
func rawQuery(deadline, id, body string) string {
	return fmt.Sprintf("POST /search HTTP/1.1\r\nX-Request-Id: %s\r\nX-Tenant: tv\r\nX-Deadline: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, deadline, len(body), body)
}

// slicesBody formats a query's body with a list of slices.
func slicesBody(list string) string { return fmt.Sprintf(`{"slices":[%s],"filter":"x"}`, list) }

// requestTests has requests and the statuses of their responses.
var requestTests = []struct{ name, request, want string }{
	{name: "an unknown path", request: "POST /nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n", want: "404"},
	{name: "a method that is not allowed", request: "GET /search HTTP/1.1\r\n\r\n", want: "405"},
	{
		name:    "an empty object",
		request: "POST /search HTTP/1.1\r\nContent-Length: 2\r\n" + rawHeaders + "\r\n{}",
		want:    "400",
	},
	{
		name:    "a body that is too long",
		request: "POST /search HTTP/1.1\r\n" + rawHeaders + "Content-Length: 90000\r\n\r\n",
		want:    "413",
	},
	{
		name:    "a header that is too long",
		request: "POST /search HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n",
		want:    "431",
	},
	{
		name:    "a length beside chunks",
		request: "POST /search HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		want:    "400",
	},
	{name: "no HTTP", request: "nonsense\r\n\r\n", want: "400"},
	{name: "a hexadecimal deadline", request: rawQuery("0x1p0", "a", goodBody), want: "400"},
	{name: "an infinite deadline", request: rawQuery("Inf", "a", goodBody), want: "400"},
	{name: "an ID with a comma", request: rawQuery(testDeadline, "a,b", goodBody), want: "400"},
	{
		name:    "masses below 1",
		request: rawQuery(testDeadline, "a", slicesBody(`{"slice":0,"mass":0.5},{"slice":1,"mass":0.4}`)),
		want:    "400",
	},
	{
		name:    "masses over 1",
		request: rawQuery(testDeadline, "a", slicesBody(`{"slice":0,"mass":0.5},{"slice":1,"mass":0.9}`)),
		want:    "400",
	},
	{
		name:    "a slice twice",
		request: rawQuery(testDeadline, "a", slicesBody(`{"slice":0,"mass":0.5},{"slice":0,"mass":0.5}`)),
		want:    "400",
	},
	{
		name:    "a slice out of range",
		request: rawQuery(testDeadline, "a", slicesBody(`{"slice":4,"mass":1}`)),
		want:    "400",
	},
	{
		name:    "no filter",
		request: rawQuery(testDeadline, "a", `{"slices":[{"slice":0,"mass":1}]}`),
		want:    "400",
	},
	{
		name:    "a term of no hex digits",
		request: rawQuery(testDeadline, "a", slicesBody(`{"slice":0,"mass":1,"term":"zz"}`)),
		want:    "400",
	},
	{
		name:    "a filter that is no UTF-8",
		request: rawQuery(testDeadline, "a", "{\"slices\":[{\"slice\":0,\"mass\":1}],\"filter\":\"\xff\"}"),
		want:    "400",
	},
	{
		name:    "masses that are 1 when rounded",
		request: rawQuery(testDeadline, "a", slicesBody(`{"slice":0,"mass":0.3333},{"slice":1,"mass":0.6666}`)),
		want:    "200",
	},
	{name: "a body in chunks", request: chunkedRequest, want: "200"},
	{name: "the counters", request: "GET /counters HTTP/1.1\r\n\r\n", want: "200"},
}

func TestPlatform_InvalidRequests(t *testing.T) {
	p := startPlatform(t, newLeaf(t, answerValue), newLeaf(t, answerValue))
	for _, test := range requestTests {
		c, err := net.Dial("tcp", p.listen["http"])
		if err != nil {
			t.Fatal(err)
		}
		send(c, test.request)
		line, err := bufio.NewReader(c).ReadString('\n')
		if f := strings.Fields(line); err != nil || len(f) < 2 || f[1] != test.want {
			t.Errorf("%s: %.60q: %q, %v; want %s", test.name, test.request, line, err, test.want)
		}
		closeQuietly(c)
	}
	p.stop()
}

// A query in flight when SIGTERM arrives is still answered.
func TestPlatform_AnswersLateArrivals(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	p := startPlatform(t, newLeaf(t, func(name string, c net.Conn) string {
		close(received)
		<-release
		return answerValue(name, c)
	}))
	done := make(chan string)
	go func() {
		status, text := p.ask("q5", "search", `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`)
		done <- fmt.Sprint(status, text)
	}()
	<-received
	p.signal(syscall.SIGTERM)
	close(release)
	if got := <-done; !strings.HasPrefix(got, "200") || !strings.Contains(got, valueOf("q5.1")) {
		t.Error(got)
	}
	p.stop()
}

func TestInvalidConfiguration_IsReportedOnOneLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "c")
	writeFile(t, bad, `{"settings":{"classes":[]}}`)
	for _, args := range [][]string{{"serve"}, {"serve", "--front", bad}, {"check-config", "/nowhere"}, {"check-config"}} {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(),
			"ROOKTRESTLE_PROGRAM=1",
			"NODE_CONFIG="+bad,
			"NODE_LISTEN=127.0.0.1:0",
			"NODE_DISCOVERY=127.0.0.1:1")
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v, %q", args, err, out)
		}
	}
}

// SIGHUP switches to the discovery address in the changed file. An invalid file changes nothing. Neither stops the
// program.
func TestPlatform_SIGHUP_ReloadsTheConfiguration(t *testing.T) {
	a, b := newLeaf(t, answerValue), newLeaf(t, answerValue)
	p := startPlatform(t, a)
	reload := func(want string) {
		t.Helper()
		p.signal(syscall.SIGHUP)
		if line := <-p.configLines; !strings.Contains(line, want) {
			t.Errorf("%q, want %q", line, want)
		}
	}
	writeFile(t, p.confPath, "{")
	reload("configuration reload failed")
	body := `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`
	if status, text := p.ask("q6", "search", body); status != 200 {
		t.Errorf("%d %s", status, text)
	}
	writeConfig(t, p.confPath, newDiscovery(t, b))
	reload("configuration reloaded")
	for i := 0; len(b.received()) == 0; i++ { // after the switch only b is listed
		p.ask(fmt.Sprintf("r%d", i), "search", body)
	}
	p.stop()
}
