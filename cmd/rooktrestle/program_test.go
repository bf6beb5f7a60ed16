package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// The test binary is the program, too: it starts itself.
func TestMain(m *testing.M) {
	if os.Getenv("ROOKTRESTLE_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program is a running mixer.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen map[string]string // what listens where
	last   chan string       // the last line, once it has ended
	lines  chan string       // lines on the configuration
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
		lines, last := bufio.NewScanner(out), ""
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
				t.Errorf("the program says: %s", last)
			}
		}
		if len(p.listen) < listeners {
			close(ready)
		}
		p.last <- last
	}()
	t.Cleanup(func() { p.cmd.Process.Kill(); p.cmd.Wait() })
	if <-ready; len(p.listen) < listeners {
		t.Fatalf("the program ended: %s", <-p.last)
	}
	return p
}

// A listener's line, plain on the platform and structured on the second front.
var listening = regexp.MustCompile(`^\S+ listen (\S+) (\S+)$|msg=listen what=(\S+) addr=(\S+)`)

var numbers = regexp.MustCompile(`taken (\d+); answered: served (\d+) \(partial \d+\), refused (\d+) \(full \d+\), failed (\d+), gone (\d+)`)

// stop ends the program and returns its counts: taken, served, refused, failed, gone. Each query must have
// been closed once.
func (p *program) stop() [5]int {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	last := <-p.last
	if err := p.cmd.Wait(); err != nil {
		p.t.Fatalf("the program ended with %v: %s", err, last)
	}
	m := numbers.FindStringSubmatch(last)
	if m == nil {
		p.t.Fatalf("no counters at exit: %s", last)
	}
	var n [5]int
	for i := range n {
		n[i], _ = strconv.Atoi(m[i+1])
	}
	if n[0] != n[1]+n[2]+n[3]+n[4] {
		p.t.Errorf("not every query was closed once: %s", last)
	}
	return n
}

// leafServer is a stand-in: it answers parts as told.
type leafServer struct {
	addr  string
	mu    sync.Mutex
	parts []string // lines of the parts that came
	act   func(name string, conn net.Conn) (answer string)
}

func newLeaf(t *testing.T, act func(name string, conn net.Conn) string) *leafServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	l := &leafServer{addr: ln.Addr().String(), act: act}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l
}

func writeFrame(w io.Writer, letter byte, rest string) {
	n := len(rest) + 1
	w.Write(append([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n), letter}, rest...))
}

func (l *leafServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		var head [5]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		rest := make([]byte, int(head[0])<<24|int(head[1])<<16|int(head[2])<<8|int(head[3])-1)
		if _, err := io.ReadFull(in, rest); err != nil {
			return
		}
		switch head[4] {
		case '4':
			writeFrame(c, '4', "queue=0")
		case '1':
			for text := string(rest); text != ""; {
				line, after, _ := strings.Cut(text, "\n")
				f := strings.Split(line, " ")
				size, _ := strconv.Atoi(f[len(f)-1])
				l.mu.Lock()
				l.parts = append(l.parts, line+" "+after[:size])
				l.mu.Unlock()
				text = after[size:]
				if answer := l.act(f[0], c); answer != "" {
					writeFrame(c, '5', f[0]+" "+answer)
				}
			}
		}
	}
}

func (l *leafServer) seen() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.parts...)
}

const platformSettings = `{"classes":[
 {"name":"report","aim":2500000,"credit":2,"deadline":7500000,"effect":"safe","late_worth":0.1},
 {"name":"search","aim":1500000,"credit":1,"deadline":4000000,"effect":"safe","late_worth":0.3},
 {"name":"correction","aim":1500000,"credit":1,"deadline":3000000,"effect":"unsafe","late_worth":0.3}],
 "extra":{"cells":2,"class_floor":[0.5,1,1],"follow_up":[2,0,0],"in_a_row":2,"incomplete_worth":[0.8,0.9,0.9],"need_by_class":[1,1,1],"per_call":1,"slices":4},
 "limits":{"cancel":true,"conn_idle":15000000,"connect_timeout":250000,"max_open":100,"max_retry_after":1000000,"probing":true,"send_cap":4,"streams_per_conn":100},
 "load_info":{"fields":["pending"],"how":"pull"},"n_instances":1,"orgs":[{"name":"tv","quota_per_s":100,"share":1}],
 "rules":{"cold":16000000,"cold_from":0.28,"fall":2000000,"tip_multiple":3},"tick":5000,"zone":0,"zones":["a","b"]}`

// unhurried is the platform's settings for n mixers, with aims so long that nothing depends on how fast the machine is.
func unhurried(n int) string {
	settings := regexp.MustCompile(`"(aim|deadline)":\d+`).ReplaceAllString(platformSettings, `"$1":60000000`)
	return strings.Replace(settings, `"n_instances":1`, fmt.Sprintf(`"n_instances":%d`, n), 1)
}

// listOf words the list of these leaf servers, of which the one of that number drains; negative: none.
func listOf(leaves []*leafServer, drains int) string {
	var lines []string
	for i, l := range leaves {
		state := "SERVING"
		if i == drains {
			state = "DRAINING"
		}
		lines = append(lines, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"a","kind":"m","cell":%d,"state":%q,"weight":1,"started_ms":0}`, i, l.addr, i, state))
	}
	return fmt.Sprintf(`{"version":1,"full":true,"servers":[%s]}`, strings.Join(lines, ","))
}

// newDiscovery starts a stand-in that lists these leaf servers.
func newDiscovery(t *testing.T, leaves ...*leafServer) string {
	list := listOf(leaves, -1)
	disco := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/servers" {
			w.WriteHeader(404)
			return
		}
		fmt.Fprintln(w, list)
		if r.URL.Query().Get("stream") != "1" {
			return
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(disco.CloseClientConnections)
	return strings.TrimPrefix(disco.URL, "http://")
}

// configure writes the platform's configuration.
func configure(t *testing.T, path, discovery string) {
	configureAs(t, path, discovery, platformSettings, `"name":"n0","seed":"8c1f30d27a5be964"`)
}

// configureAs writes a configuration with these settings and further keys.
func configureAs(t *testing.T, path, discovery, settings, keys string) {
	conf := fmt.Sprintf(`{%s,"listen":"127.0.0.1:0","discovery":%q,
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"version":0,"full":true,"servers":[]},"settings":%s}`, keys, discovery, settings)
	if err := os.WriteFile(path, []byte(conf), 0o600); err != nil {
		t.Fatal(err)
	}
}

// platform starts the program with a stand-in of discovery that lists these leaf servers.
func platform(t *testing.T, leaves ...*leafServer) *program {
	t.Helper()
	path, at := filepath.Join(t.TempDir(), "config.json"), newDiscovery(t, leaves...)
	configure(t, path, at)
	// On the platform the variable names the address of the start for good.
	p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + at})
	p.conf = path
	p.wait()
	return p
}

// wait waits until the program is ready.
func (p *program) wait() {
	for status := 0; status != 200; {
		if resp, err := http.Get("http://" + p.listen["http"] + "/healthz"); err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
	}
}

// ask sends a query and returns the status and the body.
func (p *program) ask(id, class, body string) (int, string) {
	p.t.Helper()
	r, _ := http.NewRequest("POST", "http://"+p.listen["http"]+"/"+class, strings.NewReader(body))
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "tv", "X-Deadline": "3.0"} {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// valueOf is the value that stand-ins make for a part.
func valueOf(name string) string {
	h := fnv.New64a()
	io.WriteString(h, name)
	return fmt.Sprintf("%016x", h.Sum64())
}

func value(name string, _ net.Conn) string { return "S 7 -\n" + valueOf(name) }

func TestPlatformServes(t *testing.T) {
	a, b := newLeaf(t, value), newLeaf(t, value)
	p := platform(t, a, b)
	status, text := p.ask("q1", "search", `{"slices":[{"slice":0,"mass":0.5},{"slice":3,"mass":0.5}],"filter":"बजेट"}`)
	var got struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.Unmarshal([]byte(text), &got); status != 200 || err != nil || !got.Entire || len(got.Items) != 2 || got.Items[1].Body != valueOf("q1.3") {
		t.Errorf("%d %s", status, text)
	}
	for _, line := range append(a.seen(), b.seen()...) {
		if !regexp.MustCompile(`^q1\.[03] [03] d=\d+ 12 बजेट$`).MatchString(line) {
			t.Errorf("part %q", line)
		}
	}
	if n := p.stop(); n != [5]int{1, 1, 0, 0, 0} {
		t.Error(n)
	}
}

func TestPlatformSecondStep(t *testing.T) {
	score := func(name string, _ net.Conn) string {
		return map[byte]string{'0': "S 5", '1': "S 9", '2': "S 1", '3': "S 8"}[name[3]] + " -\n" + valueOf(name)
	}
	a, b := newLeaf(t, score), newLeaf(t, score)
	p := platform(t, a, b)
	_, text := p.ask("q2", "report", `{"slices":[{"slice":0,"mass":0.25},{"slice":1,"mass":0.25},{"slice":2,"mass":0.25},{"slice":3,"mass":0.25}],"filter":"x"}`)
	if !strings.Contains(text, `"entire":true`) || !strings.Contains(text, valueOf("q2.1.phase2")) || !strings.Contains(text, valueOf("q2.3.phase2")) || strings.Contains(text, valueOf("q2.0.phase2")) {
		t.Error(text)
	}
	second := 0
	for _, line := range append(a.seen(), b.seen()...) {
		if strings.Contains(line, ".phase2 ") {
			if second++; !regexp.MustCompile(`^q2\.[13]\.phase2 [13] d=\d+,from=0\+1\+2\+3,whole=1 1 x$`).MatchString(line) {
				t.Errorf("part %q", line)
			}
		}
	}
	if second != 2 {
		t.Errorf("%d parts of the second step", second)
	}
	p.stop()
}

// A correction whose connection breaks after it was written may have run: it fails, and is never sent again.
func TestPlatformCorrectionIsNotSentTwice(t *testing.T) {
	breaks := func(_ string, c net.Conn) string { c.Close(); return "" }
	a, b := newLeaf(t, breaks), newLeaf(t, breaks)
	p := platform(t, a, b)
	if status, _ := p.ask("q3", "correction", `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`); status != 502 {
		t.Errorf("status %d", status)
	}
	if sent := append(a.seen(), b.seen()...); len(sent) != 1 {
		t.Errorf("sent %q", sent)
	}
	if n := p.stop(); n != [5]int{1, 0, 0, 1, 0} {
		t.Error(n)
	}
}

// A frame that cannot be read ends its connection and the attempts on it; a search goes elsewhere.
func TestPlatformBadFrame(t *testing.T) {
	bad := true
	var mu sync.Mutex
	first := func(name string, c net.Conn) string {
		mu.Lock()
		defer mu.Unlock()
		if bad {
			bad = false
			c.Write([]byte{0xff, 0xff, 0xff, 0xff, '5'})
			return ""
		}
		return value(name, c)
	}
	p := platform(t, newLeaf(t, first), newLeaf(t, first))
	if status, text := p.ask("q4", "search", `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`); status != 200 || !strings.Contains(text, valueOf("q4.1")) {
		t.Errorf("%d %s", status, text)
	}
	p.stop()
}

func TestPlatformBadRequests(t *testing.T) {
	p := platform(t, newLeaf(t, value), newLeaf(t, value))
	body := `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`
	head := "X-Request-Id: z\r\nX-Tenant: tv\r\nX-Deadline: 1.0\r\n"
	query := func(deadline, id, body string) string {
		return fmt.Sprintf("POST /search HTTP/1.1\r\nX-Request-Id: %s\r\nX-Tenant: tv\r\nX-Deadline: %s\r\nContent-Length: %d\r\n\r\n%s", id, deadline, len(body), body)
	}
	for request, want := range map[string]string{
		"POST /nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n":                              "404",
		"GET /search HTTP/1.1\r\n\r\n":                                                     "405",
		"POST /search HTTP/1.1\r\nContent-Length: 2\r\n" + head + "\r\n{}":                 "400",
		"POST /search HTTP/1.1\r\n" + head + "Content-Length: 90000\r\n\r\n":               "413",
		"POST /search HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n":      "431",
		"POST /search HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": "400",
		"nonsense\r\n\r\n":        "400",
		query("0x1p0", "a", body): "400", query("Inf", "a", body): "400", query("1.0", "a,b", body): "400",
		query("1.0", "a", `{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.4}],"filter":"x"}`):                                      "400",
		query("1.0", "a", `{"slices":[{"slice":0,"mass":0.5},{"slice":1,"mass":0.9}],"filter":"x"}`):                                      "400",
		query("1.0", "a", `{"slices":[{"slice":0,"mass":0.5},{"slice":0,"mass":0.5}],"filter":"x"}`):                                      "400",
		query("1.0", "a", `{"slices":[{"slice":4,"mass":1}],"filter":"x"}`):                                                               "400",
		query("1.0", "a", `{"slices":[{"slice":0,"mass":1}]}`):                                                                            "400",
		query("1.0", "a", `{"slices":[{"slice":0,"mass":1,"term":"zz"}],"filter":"x"}`):                                                   "400",
		query("1.0", "a", "{\"slices\":[{\"slice\":0,\"mass\":1}],\"filter\":\"\xff\"}"):                                                  "400",
		query("1.0", "a", `{"slices":[{"slice":0,"mass":0.3333},{"slice":1,"mass":0.6666}],"filter":"x"}`):                                "200",
		"POST /search HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body): "200",
		"GET /counters HTTP/1.1\r\n\r\n": "200",
	} {
		c, err := net.Dial("tcp", p.listen["http"])
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, request)
		line, err := bufio.NewReader(c).ReadString('\n')
		if f := strings.Fields(line); err != nil || len(f) < 2 || f[1] != want {
			t.Errorf("%.60q: %q, %v; want %s", request, line, err, want)
		}
		c.Close()
	}
	p.stop()
}

// A request on a connection that was open when SIGTERM came is still answered.
func TestPlatformAnswersLateArrivals(t *testing.T) {
	asked, told := make(chan struct{}), make(chan struct{})
	p := platform(t, newLeaf(t, func(name string, c net.Conn) string {
		close(asked)
		<-told
		return value(name, c)
	}))
	done := make(chan string)
	go func() {
		status, text := p.ask("q5", "search", `{"slices":[{"slice":1,"mass":1}],"filter":"x"}`)
		done <- fmt.Sprint(status, text)
	}()
	<-asked
	p.cmd.Process.Signal(syscall.SIGTERM)
	close(told)
	if got := <-done; !strings.HasPrefix(got, "200") || !strings.Contains(got, valueOf("q5.1")) {
		t.Error(got)
	}
	p.stop()
}

func TestBadConfigurationIsOneLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "c")
	os.WriteFile(bad, []byte(`{"settings":{"classes":[]}}`), 0o600)
	for _, args := range [][]string{{"serve"}, {"serve", "--front", bad}, {"check-config", "/nowhere"}, {"check-config"}} {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), "ROOKTRESTLE_PROGRAM=1", "NODE_CONFIG="+bad, "NODE_LISTEN=127.0.0.1:0", "NODE_DISCOVERY=127.0.0.1:1")
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v, %q", args, err, out)
		}
	}
}

// SIGHUP turns the mixer to the discovery that the file names now; a bad file leaves all as it was. Neither
// ends it.
func TestPlatformReadsItsConfigurationAgain(t *testing.T) {
	a, b := newLeaf(t, value), newLeaf(t, value)
	p := platform(t, a)
	again := func(want string) {
		t.Helper()
		p.cmd.Process.Signal(syscall.SIGHUP)
		if line := <-p.lines; !strings.Contains(line, want) {
			t.Errorf("%q, want %q", line, want)
		}
	}
	os.WriteFile(p.conf, []byte("{"), 0o600)
	again("configuration reload failed")
	body := `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`
	if status, text := p.ask("q6", "search", body); status != 200 {
		t.Errorf("%d %s", status, text)
	}
	configure(t, p.conf, newDiscovery(t, b))
	again("configuration reloaded")
	for i := 0; len(b.seen()) == 0; i++ { // once the new list is in, only b is listed
		p.ask(fmt.Sprintf("r%d", i), "search", body)
	}
	p.stop()
}
