package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { allCases["moved"] = playMoved }

// drainLimit is rules.stop_sending_within, and the 50 ms by which every time limit is longer on sockets.
const drainLimit = 250*time.Millisecond + 50*time.Millisecond

// call makes one call at a mixer's door for operators and returns the answer's line.
func call(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	answer := make([]byte, 512)
	n, _ := conn.Read(answer)
	return strings.TrimSpace(string(answer[:n]))
}

// playMoved moves discovery by a new configuration and SIGHUP, and later replaces the process. Then a leaf server begins to
// drain. The mixer may send it nothing new later than drainLimit after that has been told.
func playMoved(l *lab) {
	const cells = 5
	var mu sync.Mutex
	var received []leafPart
	var entries []map[string]any
	var leaves []*leafServer
	for i := range 2 * cells {
		leaf := l.newLeaf(fmt.Sprintf("s-%d", i), i%cells, 30*time.Millisecond)
		leaf.received = func(part leafPart) {
			mu.Lock()
			received = append(received, part)
			mu.Unlock()
		}
		entries = append(entries, leaf.entry("SERVING"))
		leaves = append(leaves, leaf)
	}
	before := l.newAgent("discovery-1", entries)
	after := before
	if l.trouble {
		after = l.newAgent("discovery-2", append([]map[string]any(nil), entries...))
	}
	listen, control, secondControl := l.freeAddr(), l.freeAddr(), l.freeAddr()
	options := nodeOptions{name: "n0", listen: listen, discovery: before.addr, control: control, known: before.list(),
		settings: kathmanduSettings(1, 0, cells)}
	config := l.writeFile("config.json", nodeConfig(options))
	env := func(control string) []string { // "everything else unchanged"
		return []string{"NODE_NAME=n0", "NODE_LISTEN=" + listen, "NODE_DISCOVERY=" + before.addr, "NODE_CONFIG=" + config,
			"NODE_CONTROL=" + control, "TMPDIR=" + l.tmp}
	}
	run := l.deployKey("run")
	first := l.run("first", run, env(control)...)
	if !waitFor(10*time.Second, func() bool { return ready(listen) }) {
		l.finish(exitNotRun, "the mixer is not ready")
	}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed int
	for worker := range 4 { // about 17 queries a second
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				request := clientRequest{id: fmt.Sprintf("%08x%08x", worker+1, i), class: "line-search", tenant: "national-tv", wait: 3 * time.Second,
					body: fmt.Sprintf(`{"slices":[{"slice":%d,"mass":0.5},{"slice":%d,"mass":0.5}],"filter":"c41e%04x"}`, (worker+i)%10, (worker+i+5)%10, i)}
				answer := ask(listen, request)
				l.log("client %d got for %s: %v", worker, request.id, answer)
				mu.Lock()
				if answer.status == 200 {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		options.discovery = after.addr
		l.writeFile("config.json", nodeConfig(options))
		first.signal(syscall.SIGHUP)
		l.log("a new configuration names %s at %s; SIGHUP", after.name, after.addr)
		before.closeListener()
		time.AfterFunc(1500*time.Millisecond, before.closeConns)
	}
	time.Sleep(5 * time.Second)

	second := l.run("second", run, env(secondControl)...)
	if !waitFor(6*time.Second, func() bool { return strings.HasPrefix(call(secondControl, "PING"), "done") }) {
		l.copyLog("second")
		l.finish(exitNotRun, "the new process does not say yes within 6 s")
	}
	l.log("the new process says yes")
	first.signal(syscall.SIGTERM)
	select {
	case <-first.ended:
	case <-time.After(4700 * time.Millisecond): // the longest deadline and 0.7 s
		first.signal(syscall.SIGKILL)
	}
	time.Sleep(4 * time.Second) // what discovery tells binds from 2 s after the yes

	drained := leaves[3]
	after.set(drained.entry("DRAINING"))
	told := time.Now()
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	select {
	case <-second.ended:
		l.copyLog("second")
		l.finish(exitNotRun, "the new process has ended")
	default:
	}
	l.copyLog("second")
	mu.Lock()
	defer mu.Unlock()
	late, others := 0, 0
	for _, part := range received {
		switch after := part.at.Sub(told); {
		case after <= drainLimit:
		case part.server == drained.name:
			late++
			l.log("%s, which drains, received %s %v after that was told", part.server, part.id, after.Round(time.Millisecond))
		default:
			others++
		}
	}
	if others == 0 || served < 100 {
		l.finish(exitNotRun, "%d served, %d not, %d parts at other servers at the end", served, failed, others)
	}
	if late > 0 {
		l.finish(exitBroken, "a draining server received %d new parts later than %v after it was told (%d at others; %d queries served, %d not)",
			late, drainLimit, others, served, failed)
	}
	l.finish(exitHeld, "a draining server received nothing later than %v after it was told (%d parts at others; %d queries served, %d not)",
		drainLimit, others, served, failed)
}
