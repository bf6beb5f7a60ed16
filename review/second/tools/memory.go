package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryCase: some clients send bodies of 60 MB at full speed. The platform kills an aggregator that goes over its limit on
// memory; here the limit is held against the process's own pages alone (RssAnon), not its program text or socket buffers.
func memoryCase(l *lab) (int, string, error) {
	const (
		limitMB    = 64
		badClients = 8
		bodyBytes  = 60 << 20
		rounds     = 10
	)
	p, err := newPlatform(l, settings(smallDeployment(), 10, 20, 4), func(*leaf, part) action {
		return action{'S', 150 * time.Millisecond}
	})
	if err != nil {
		return 0, "", err
	}
	p.config["limits"] = object{"cores": 1.0, "memory_mb": limitMB, "sockets": 1024}
	if err := writeJSON(p.configPath, p.config); err != nil {
		return 0, "", err
	}
	mixer, err := p.startAggregator("mixer", p.control)
	if err != nil {
		return 0, "", err
	}
	var peak, killedAt atomic.Int64 // in KB
	go func() {
		for mixer.running() {
			used := ownMemory(mixer.cmd.Process.Pid)
			peak.Store(max(peak.Load(), used))
			if used > limitMB<<10 {
				killedAt.Store(used)
				l.note("the platform kills the aggregator: it uses %d KB, the limit is %d MB", used, limitMB)
				mixer.signal(syscall.SIGKILL)
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}()
	var usual sync.WaitGroup
	var stopped atomic.Bool
	var served, unanswered atomic.Int64
	for c := range 3 { // some 17 queries a second in all
		usual.Go(func() {
			for i := 0; !stopped.Load(); i++ {
				r := p.ask(request{id: fmt.Sprintf("c%d-%d", c, i), class: "line-search", shards: []int{i % 20, (i + 5) % 20, (i + 10) % 20},
					deadline: 4 * time.Second, filter: "caption"})
				if r.err == nil {
					served.Add(1)
				} else {
					unanswered.Add(1)
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	l.note("memory under the usual load: %d KB at most", peak.Load())
	for round := 0; l.trouble && round < rounds && mixer.running(); round++ {
		l.note("%d clients send a body of %d bytes each", badClients, bodyBytes)
		var bad sync.WaitGroup
		for i := range badClients {
			bad.Go(func() { l.note("bad client: %s", p.sendBody(fmt.Sprintf("bad%d-%d", round, i), bodyBytes)) })
		}
		bad.Wait()
	}
	if !l.trouble {
		time.Sleep(3 * time.Second)
	}
	stopped.Store(true)
	usual.Wait()
	l.note("usual clients: %d answered, %d not; memory: %d KB at most", served.Load(), unanswered.Load(), peak.Load())
	if killed := killedAt.Load(); killed > 0 {
		return broken, fmt.Sprintf("killed at %d KB, over its limit of %d MB; %d requests of usual clients got no answer", killed, limitMB, unanswered.Load()), nil
	}
	if !mixer.running() {
		return broken, "the aggregator ended by itself", nil
	}
	return held, fmt.Sprintf("%d KB at most, the limit is %d MB", peak.Load(), limitMB), nil
}

var anonymous = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// ownMemory returns the anonymous memory that a process has in use, in KB; 0 if it has ended.
func ownMemory(pid int) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	m := anonymous.FindSubmatch(status)
	if m == nil {
		return 0
	}
	used, _ := strconv.ParseInt(string(m[1]), 10, 64)
	return used
}

// sendBody sends a request with a body that is too long, at full speed, reads what it is answered, and says how it ended.
func (p *platform) sendBody(id string, length int) string {
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	begun := time.Now()
	conn.SetDeadline(begun.Add(6 * time.Second))
	answer := make(chan string, 1)
	go func() {
		text, err := io.ReadAll(conn)
		answer <- fmt.Sprintf("reads %.30q, %v", text, err)
	}()
	fmt.Fprintf(conn, "POST /line-search HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: line-search\r\n"+
		"X-Tenant: national-tv\r\nX-Deadline: 4.000\r\nContent-Length: %d\r\n\r\n", id, length)
	piece := make([]byte, 1<<20)
	sent := 0
	for sent < length {
		n, err := conn.Write(piece)
		sent += n
		if err != nil {
			break
		}
	}
	return fmt.Sprintf("%s: %d bytes sent, %s, after %v", id, sent, <-answer, time.Since(begun).Round(time.Millisecond))
}
