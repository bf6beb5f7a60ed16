package main

import (
	"bufio"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Tests of operators' procedures: servers detached by hand, and a process that is replaced while it serves.

// Ports at the address that newNode reserves.
const (
	clientPort  = 3000
	controlPort = 9800
)

// node has what the processes of one instance share while they replace each other: addresses, files and discovery.
type node struct {
	t         *testing.T
	ip        net.IP
	conf      string
	tempDir   string // state directory of its processes
	discovery string
	processes int // started so far
}

// newNode returns a node with addresses of its own and these leaf servers, without time limits.
func newNode(t *testing.T, leaves ...*leafServer) *node {
	t.Helper()
	n := &node{
		t:         t,
		ip:        reserveGossipAddr(t).IP,
		conf:      filepath.Join(t.TempDir(), "config.json"),
		tempDir:   t.TempDir(),
		discovery: newDiscovery(t, leaves...),
	}
	writeConfig(t, n.conf, n.discovery)
	return n
}

func (n *node) address(port int) string { return fmt.Sprintf("%v:%d", n.ip, port) }

// operatedProcess is a process of a node with a control address.
type operatedProcess struct {
	*program
	control string
}

// start starts a process of the node and waits until it listens on its control address and for clients.
func (n *node) start() operatedProcess {
	n.t.Helper()
	control := n.address(controlPort + n.processes)
	n.processes++
	p := start(n.t, 2, []string{
		"NODE_CONFIG=" + n.conf,
		"NODE_DISCOVERY=" + n.discovery,
		"NODE_LISTEN=" + n.address(clientPort),
		"NODE_CONTROL=" + control,
		"TMPDIR=" + n.tempDir,
	})
	return operatedProcess{program: p, control: control}
}

// call sends one command to the control address and returns the lines of the answer.
func (p operatedProcess) call(line string) []string {
	p.t.Helper()
	c, err := net.DialTimeout("tcp", p.control, testTimeout)
	if err != nil {
		p.t.Fatalf("%s: %v", line, err)
	}
	defer closeQuietly(c)
	send(c, line+"\n")
	var lines []string
	for answer := bufio.NewScanner(c); answer.Scan(); {
		lines = append(lines, answer.Text())
	}
	return lines
}

// expect sends a command whose answer must be one line that begins with want.
func (p operatedProcess) expect(line, want string) {
	p.t.Helper()
	if got := p.call(line); len(got) != 1 || !strings.HasPrefix(got[0], want) {
		p.t.Errorf("%s: %q, want %s", line, got, want)
	}
}

// awaitReady sends PING until the process reports that it is ready.
func (p operatedProcess) awaitReady() {
	p.t.Helper()
	for {
		if got := p.call("PING"); len(got) == 1 && got[0] == "done" {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const onePart = `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`

// mustServe sends queries with one part, which must be served.
func (p operatedProcess) mustServe(name string) {
	p.t.Helper()
	for i := range 20 {
		if status, text := p.ask(fmt.Sprintf("%s%d", name, i), "search", onePart); status != 200 {
			p.t.Fatalf("%s%d: %d %s", name, i, status, text)
		}
	}
}

// A detached server receives no parts until it is attached, even though discovery lists it in service.
func TestOperators_DetachedServerGetsNothing(t *testing.T) {
	a, b := newLeaf(t, answerValue), newLeaf(t, answerValue)
	p := newNode(t, a, b).start()
	p.awaitReady()
	p.expect("DETACH s-0", "done")
	p.expect("DETACH s-0", "done") // a repeated call succeeds
	p.expect("DETACH s-77", "error")
	before := len(a.received())
	p.mustServe("detached")
	if sent := a.received()[before:]; len(sent) > 0 {
		t.Errorf("the detached server received %q", sent)
	}
	p.expect("ATTACH s-0", "done")
	for i := 0; len(a.received()) == before; i++ {
		p.mustServe(fmt.Sprintf("back%d.", i))
	}
	p.stop()
}

// A second process of the instance serves beside the first, and alone after the first has exited. A server that was
// detached in the first process remains detached.
func TestOperators_ReplacedProcessKeepsServing(t *testing.T) {
	a, b := newLeaf(t, answerValue), newLeaf(t, answerValue)
	n := newNode(t, a, b)
	previous := n.start()
	previous.awaitReady()
	previous.mustServe("previous")
	previous.expect("DETACH s-0", "done")
	before := len(a.received())
	next := n.start()
	next.awaitReady()
	next.mustServe("both")
	previous.signal(syscall.SIGTERM)
	next.mustServe("ending")
	previous.stop()
	next.mustServe("next")
	if sent := a.received()[before:]; len(sent) > 0 {
		t.Errorf("the detached server received %q", sent)
	}
	if counts := next.stop(); counts.received == 0 {
		t.Error("the second process received no query")
	}
}

// During a replacement a call to one process takes effect in both, and the first process still serves after a second
// one was killed.
func TestOperators_CallsAndKillsDuringReplacement(t *testing.T) {
	a, b := newLeaf(t, answerValue), newLeaf(t, answerValue)
	n := newNode(t, a, b)
	previous := n.start()
	previous.awaitReady()
	killed := n.start()
	killed.kill()
	<-killed.lastLine
	previous.mustServe("alone")
	next := n.start()
	next.awaitReady()
	next.expect("DETACH s-0", "done")
	for detached := false; !detached; { // the first process reads it from the shared directory
		detached = previous.figure("cluster_unhealthy") == 1
	}
	before := len(a.received())
	next.mustServe("both")
	previous.signal(syscall.SIGTERM)
	next.mustServe("ending")
	previous.stop()
	if sent := a.received()[before:]; len(sent) > 0 {
		t.Errorf("the detached server received %q", sent)
	}
	next.stop()
}

// figure returns the value of a figure of INFO.
func (p operatedProcess) figure(name string) int {
	p.t.Helper()
	lines := p.call("INFO")
	if len(lines) == 0 || lines[len(lines)-1] != "end" {
		p.t.Fatalf("INFO: %q", lines)
	}
	for _, line := range lines {
		if text, ok := strings.CutPrefix(line, "mixer."+name+"="); ok {
			value, err := strconv.Atoi(text)
			if err != nil {
				p.t.Fatalf("%s: %v", line, err)
			}
			return value
		}
	}
	p.t.Fatalf("INFO does not report %s: %q", name, lines)
	return 0
}

// The figures of INFO match what clients and leaf servers have observed.
func TestOperators_Figures(t *testing.T) {
	breakSome := func(name string, c net.Conn) string {
		if strings.HasPrefix(name, "breaks") {
			closeQuietly(c)
			return ""
		}
		return answerValue(name, c)
	}
	a, b := newLeaf(t, breakSome), newLeaf(t, breakSome)
	n := newNode(t, a, b)
	p := n.start()
	p.awaitReady()
	p.mustServe("q")
	for i := range 3 {
		if status, text := p.ask(fmt.Sprint("breaks", i), "correction", onePart); status != 502 {
			t.Errorf("%d %s", status, text)
		}
	}
	writeFile(t, n.conf, "{")
	p.reload()
	writeConfig(t, n.conf, n.discovery)
	p.reload()
	sent := len(a.received()) + len(b.received())
	for name, want := range map[string]int{
		"transactions.search.answered":     20,
		"transactions.correction.answered": 0,
		"transactions.correction.errored":  3,
		"transactions.report.deferred":     0,
		"sends":                            sent,
		"current":                          0,
		"cluster_size":                     2,
		"conf_loaded":                      1,
		"conf_invalid":                     1,
	} {
		if got := p.figure(name); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
	p.stop()
}

// Clients send their queries and disconnect while the process is stopped. After it continues, none of these queries is
// forwarded.
func TestStoppedProcess_ForwardsNothingOfClientsThatLeft(t *testing.T) {
	const clients = 100
	var forwarded sync.Map
	leaf := newLeaf(t, func(name string, c net.Conn) string {
		forwarded.Store(name, true)
		return answerValue(name, c)
	})
	p := startPlatform(t, leaf)
	if status, text := p.ask("first", "search", onePart); status != 200 { // establishes a connection to the leaf server
		t.Fatalf("%d %s", status, text)
	}
	p.signal(syscall.SIGSTOP)
	for i := range clients {
		c := p.connect()
		c.mustSend(t, fmt.Sprint("left", i), testDeadline)
		closeQuietly(c)
	}
	p.signal(syscall.SIGCONT)
	p.stop()
	sent := 0
	forwarded.Range(func(name, _ any) bool {
		if strings.HasPrefix(name.(string), "left") {
			sent++
		}
		return true
	})
	if sent > 0 {
		t.Errorf("%d of %d queries were forwarded after their clients had disconnected", sent, clients)
	}
}

// Parts fail and their clients disconnect while the process is stopped. After it continues, no part is retried.
func TestStoppedProcess_SendsNothingAgainForClientsThatLeft(t *testing.T) {
	const clients = 10
	var attempts atomic.Int64
	received := make(chan struct{}, 2*clients)
	stopped := make(chan struct{})
	var answered sync.WaitGroup
	fails := func(name string, c net.Conn) string {
		if !strings.HasPrefix(name, "left") {
			return answerValue(name, c)
		}
		attempts.Add(1)
		answered.Go(func() {
			<-stopped
			writeFrame(c, '5', name+" E 0 -\n")
		})
		received <- struct{}{} // after answered.Go, so that answered.Wait covers this part
		return ""
	}
	p := startPlatform(t, newLeaf(t, fails), newLeaf(t, fails))
	var open []httpClient
	for i := range clients {
		c := p.connect()
		c.mustSend(t, fmt.Sprint("left", i), testDeadline)
		open = append(open, c)
		select {
		case <-received:
		case <-time.After(testTimeout):
			t.Fatal("a query was not forwarded")
		}
	}
	p.signal(syscall.SIGSTOP)
	close(stopped)
	answered.Wait()
	for _, c := range open {
		closeQuietly(c)
	}
	time.Sleep(100 * time.Millisecond) // longer than the interval at which a client's connection is checked
	p.signal(syscall.SIGCONT)
	p.stop()
	if again := attempts.Load() - clients; again > 0 {
		t.Errorf("%d of %d parts were retried after their clients had disconnected", again, clients)
	}
}

// The process temporarily has no free file descriptors: new connections wait in the listener's queue, and are served
// once descriptors are available again.
func TestDescriptorsRunOut_ListenerGoesOn(t *testing.T) {
	p := startPlatform(t, newLeaf(t, answerValue))
	if status, text := p.ask("before", "search", onePart); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	pid := p.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		t.Fatal(err)
	}
	few := limit
	few.Cur = 3 // fewer than are open, so that every new one fails
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	var waiting []httpClient
	for i := range 20 {
		c := p.connect() // accepted by the kernel only
		c.mustSend(t, fmt.Sprint("waits", i), testDeadline)
		waiting = append(waiting, c)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	for i, c := range waiting {
		if status, text, err := c.answer(); status != 200 || err != nil {
			t.Errorf("%d: %d %s, %v", i, status, text, err)
		}
		closeQuietly(c)
	}
	p.stop()
}
