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

// Operators' terms: servers taken out by hand, and a process that is replaced while it serves.

// Ports of the addresses that reserveNode reserves.
const (
	clientPort  = 3000
	controlPort = 9800
)

// node is the place of one instance: its addresses, files and discovery, which the processes that replace each other share.
type node struct {
	t         *testing.T
	ip        net.IP
	conf      string
	temporary string // shared by its processes
	discovery string
	processes int
}

// newNode makes a node of its own addresses with these leaf servers. No time limit matters.
func newNode(t *testing.T, leaves ...*leafServer) *node {
	t.Helper()
	n := &node{
		t:         t,
		ip:        reserveGossipAddr(t).IP,
		conf:      filepath.Join(t.TempDir(), "config.json"),
		temporary: t.TempDir(),
		discovery: newDiscovery(t, leaves...),
	}
	configure(t, n.conf, n.discovery)
	return n
}

func (n *node) address(port int) string { return fmt.Sprintf("%v:%d", n.ip, port) }

// operatedProcess is a process of a node, with its control address.
type operatedProcess struct {
	*program
	control string
}

// start starts a process of the node and waits until it listens for operators and for clients.
func (n *node) start() operatedProcess {
	n.t.Helper()
	control := n.address(controlPort + n.processes)
	n.processes++
	p := start(n.t, 2, []string{
		"NODE_CONFIG=" + n.conf,
		"NODE_DISCOVERY=" + n.discovery,
		"NODE_LISTEN=" + n.address(clientPort),
		"NODE_CONTROL=" + control,
		"TMPDIR=" + n.temporary,
	})
	return operatedProcess{program: p, control: control}
}

// call makes one call at the control address and returns the answer's lines.
func (p operatedProcess) call(line string) []string {
	p.t.Helper()
	c, err := net.DialTimeout("tcp", p.control, patience)
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

// expect makes a call whose answer is one line that begins with want.
func (p operatedProcess) expect(line, want string) {
	p.t.Helper()
	if got := p.call(line); len(got) != 1 || !strings.HasPrefix(got[0], want) {
		p.t.Errorf("%s: %q, want %s", line, got, want)
	}
}

// awaitReady asks until the process serves.
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

// serve sends some queries of one part, which must be served.
func (p operatedProcess) serve(name string) {
	p.t.Helper()
	for i := range 20 {
		if status, text := p.ask(fmt.Sprintf("%s%d", name, i), "search", onePart); status != 200 {
			p.t.Fatalf("%s%d: %d %s", name, i, status, text)
		}
	}
}

// A server that an operator has taken out gets nothing until it is put back, whatever discovery lists.
func TestOperators_DetachedServerGetsNothing(t *testing.T) {
	a, b := newLeaf(t, value), newLeaf(t, value)
	p := newNode(t, a, b).start()
	p.awaitReady()
	p.expect("DETACH s-0", "done")
	p.expect("DETACH s-0", "done") // a call that is repeated
	p.expect("DETACH s-77", "error")
	before := len(a.seen())
	p.serve("banned")
	if sent := a.seen()[before:]; len(sent) > 0 {
		t.Errorf("the server that was taken out got %q", sent)
	}
	p.expect("ATTACH s-0", "done")
	for i := 0; len(a.seen()) == before; i++ {
		p.serve(fmt.Sprintf("back%d.", i))
	}
	p.stop()
}

// A second process of the instance serves beside the first, which ends; what an operator has taken out stays out.
func TestOperators_ReplacedProcessKeepsServing(t *testing.T) {
	a, b := newLeaf(t, value), newLeaf(t, value)
	n := newNode(t, a, b)
	former := n.start()
	former.awaitReady()
	former.serve("former")
	former.expect("DETACH s-0", "done")
	before := len(a.seen())
	next := n.start()
	next.awaitReady()
	next.serve("both")
	former.signal(syscall.SIGTERM)
	next.serve("ending")
	former.stop()
	next.serve("next")
	if sent := a.seen()[before:]; len(sent) > 0 {
		t.Errorf("the server that was taken out got %q", sent)
	}
	if counts := next.stop(); counts.received == 0 {
		t.Error("the second process got nothing")
	}
}

// A call to either process of a replacement holds for both, and a second process that is killed leaves the first serving.
func TestOperators_CallsAndKillsDuringReplacement(t *testing.T) {
	a, b := newLeaf(t, value), newLeaf(t, value)
	n := newNode(t, a, b)
	former := n.start()
	former.awaitReady()
	killed := n.start()
	killed.kill()
	<-killed.last
	former.serve("alone")
	next := n.start()
	next.awaitReady()
	next.expect("DETACH s-0", "done")
	for detached := false; !detached; { // the first process learns of it by the shared folder
		detached = former.figure("cluster_unhealthy") == 1
	}
	before := len(a.seen())
	next.serve("both")
	former.signal(syscall.SIGTERM)
	next.serve("ending")
	former.stop()
	if sent := a.seen()[before:]; len(sent) > 0 {
		t.Errorf("the server that was taken out got %q", sent)
	}
	next.stop()
}

// figure reads a figure.
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
	p.t.Fatalf("%s is not among %q", name, lines)
	return 0
}

// The figures are what clients and leaf servers have seen.
func TestOperators_Figures(t *testing.T) {
	breaks := func(name string, c net.Conn) string {
		if strings.HasPrefix(name, "breaks") {
			closeQuietly(c)
			return ""
		}
		return value(name, c)
	}
	a, b := newLeaf(t, breaks), newLeaf(t, breaks)
	n := newNode(t, a, b)
	p := n.start()
	p.awaitReady()
	p.serve("q")
	for i := range 3 {
		if status, text := p.ask(fmt.Sprint("breaks", i), "correction", onePart); status != 502 {
			t.Errorf("%d %s", status, text)
		}
	}
	writeFile(t, n.conf, "{")
	p.hup()
	configure(t, n.conf, n.discovery)
	p.hup()
	sent := len(a.seen()) + len(b.seen())
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

// Clients send their queries and leave while the process is stopped. Nothing of them is forwarded once it goes on: they
// left long ago.
func TestStoppedProcess_ForwardsNothingOfClientsThatLeft(t *testing.T) {
	const clients = 100
	var forwarded sync.Map
	leaf := newLeaf(t, func(name string, c net.Conn) string {
		forwarded.Store(name, true)
		return value(name, c)
	})
	p := platform(t, leaf)
	if status, text := p.ask("first", "search", onePart); status != 200 { // there is a connection to the leaf server
		t.Fatalf("%d %s", status, text)
	}
	p.signal(syscall.SIGSTOP)
	for i := range clients {
		c := p.connect()
		c.mustSend(t, fmt.Sprint("left", i), patientDeadline)
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
		t.Errorf("%d of %d queries were forwarded though their clients had left", sent, clients)
	}
}

// Parts fail, and their clients leave, while the process is stopped. Nothing is sent again for them once it goes on.
func TestStoppedProcess_SendsNothingAgainForClientsThatLeft(t *testing.T) {
	const clients = 10
	var attempts atomic.Int64
	received := make(chan struct{}, 2*clients)
	stopped := make(chan struct{})
	var answered sync.WaitGroup
	fails := func(name string, c net.Conn) string {
		if !strings.HasPrefix(name, "left") {
			return value(name, c)
		}
		attempts.Add(1)
		received <- struct{}{}
		answered.Go(func() {
			<-stopped
			writeFrame(c, '5', name+" E 0 -\n")
		})
		return ""
	}
	p := platform(t, newLeaf(t, fails), newLeaf(t, fails))
	var open []httpClient
	for i := range clients {
		c := p.connect()
		c.mustSend(t, fmt.Sprint("left", i), patientDeadline)
		open = append(open, c)
		select {
		case <-received:
		case <-time.After(patience):
			t.Fatal("a query is not forwarded")
		}
	}
	p.signal(syscall.SIGSTOP)
	close(stopped)
	answered.Wait()
	for _, c := range open {
		closeQuietly(c)
	}
	time.Sleep(100 * time.Millisecond) // longer than a client's connection goes without a look
	p.signal(syscall.SIGCONT)
	p.stop()
	if again := attempts.Load() - clients; again > 0 {
		t.Errorf("%d of %d parts were sent again though their clients had left", again, clients)
	}
}

// Descriptors run out for a while: connections wait in the listener's queue meanwhile, and are served at once afterwards.
func TestDescriptorsRunOut_ListenerGoesOn(t *testing.T) {
	p := platform(t, newLeaf(t, value))
	if status, text := p.ask("before", "search", onePart); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	pid := p.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		t.Fatal(err)
	}
	few := limit
	few.Cur = 3 // fewer than are open: every new one fails
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	var waiting []httpClient
	for i := range 20 {
		c := p.connect() // by the system alone
		c.mustSend(t, fmt.Sprint("waits", i), patientDeadline)
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
