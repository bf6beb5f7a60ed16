package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// allCases are the cases by name.
var allCases = map[string]func(*lab){
	"keyed": playKeyed,
}

const (
	keyedQueries = 8
	memorySpan   = 5 * time.Second
	keyedWait    = 4 * time.Second // of one try: 80% of the class's 5 s
)

// keyedLedger is the memory that all holders of a shard share: it drops a repeat for memorySpan. A part is known by the
// key in its list (k) and, kindlier than the page, also by its id.
type keyedLedger struct {
	mu    sync.Mutex
	first map[string]time.Time // by shard and k, and by id: when it began to run
	keys  map[string]string    // the clients' keys, by request id
	runs  map[string][]leafPart
	begun int
}

// remember decides whether a part runs.
func (g *keyedLedger) remember(part leafPart) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := []string{"id " + part.id}
	if k := part.list["k"]; k != "" {
		names = append(names, fmt.Sprintf("k %d %s", part.shard, k))
	}
	for _, name := range names {
		if at, ok := g.first[name]; ok && time.Since(at) < memorySpan {
			return false
		}
	}
	for _, name := range names {
		g.first[name] = time.Now()
	}
	return true
}

// ran counts a run for the client's key.
func (g *keyedLedger) ran(part leafPart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	request, _, _ := strings.Cut(part.id, ".")
	name := fmt.Sprintf("%s shard %d", g.keys[request], part.shard)
	part.at = time.Now()
	g.runs[name] = append(g.runs[name], part)
	g.begun++
}

func (g *keyedLedger) runsSoFar() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun
}

// playKeyed kills one of two mixers outright while it has calibration-log queries out. Their clients ask the other one
// again, with the same Idempotency-Key. No part may run twice within the 5 s for which a repeat is dropped.
func playKeyed(l *lab) {
	ledger := &keyedLedger{first: map[string]time.Time{}, keys: map[string]string{}, runs: map[string][]leafPart{}}
	const cells = 3
	var entries []map[string]any
	for i := range 2 * cells {
		leaf := l.newLeaf(fmt.Sprintf("s-%d", i), i%cells, 90*time.Millisecond)
		leaf.remember, leaf.ran = ledger.remember, ledger.ran
		entries = append(entries, leaf.entry("SERVING"))
	}
	run := l.deployKey("run")
	var mixers []*process
	var addrs []string
	for i := range 2 {
		name := fmt.Sprintf("n%d", i)
		agent := l.newAgent("agent-"+name, entries)
		addr := l.freeAddr()
		config := l.writeFile(name+".json", nodeConfig(nodeOptions{name: name, listen: addr, discovery: agent.addr,
			known: agent.list(), settings: addisSettings(2, i, cells)}))
		mixers = append(mixers, l.run(name, run, "NODE_NAME="+name, "NODE_LISTEN="+addr, "NODE_DISCOVERY="+agent.addr,
			"NODE_CONFIG="+config, "TMPDIR="+l.tmp))
		addrs = append(addrs, addr)
	}
	if !waitFor(10*time.Second, func() bool { return ready(addrs[0]) && ready(addrs[1]) }) {
		l.finish(exitNotRun, "the mixers are not ready")
	}

	query := func(try, i int) clientRequest {
		id := fmt.Sprintf("%08x%08x", 0x9b1f0000+i, 0x5c7e0000+try)
		key := fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", i)
		ledger.mu.Lock()
		ledger.keys[id] = key
		ledger.mu.Unlock()
		body := fmt.Sprintf(`{"slices":[{"slice":%d,"mass":1}],"filter":"c41e%04x"}`, i%(4*cells), i)
		return clientRequest{id: id, class: "calibration-log", tenant: "city-health", key: key, retry: try > 0, wait: keyedWait, body: body}
	}
	var clients sync.WaitGroup
	answers := make([]clientAnswer, keyedQueries)
	for i := range keyedQueries {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for try := range 3 {
				request := query(try, i)
				addr := addrs[0]
				if try > 0 { // the front sends a new connection to the mixer that is left
					addr = addrs[1]
				}
				l.log("client %d sends %s with key %s to %s", i, request.id, request.key, addr)
				answers[i] = ask(addr, request)
				l.log("client %d got for %s: %v", i, request.id, answers[i])
				if answers[i].status == 200 { // a keyed request is tried again after any failure, inside its window
					return
				}
			}
		}()
	}
	if !waitFor(3*time.Second, func() bool { return ledger.runsSoFar() > 0 }) {
		l.finish(exitNotRun, "no part has begun to run")
	}
	time.Sleep(20 * time.Millisecond)
	if l.trouble {
		l.log("n0 is killed, with %d parts begun", ledger.runsSoFar())
		mixers[0].signal(syscall.SIGKILL)
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)

	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	twice := 0
	for name, runs := range ledger.runs {
		for i := 1; i < len(runs); i++ {
			if apart := runs[i].at.Sub(runs[0].at); apart < memorySpan {
				twice++
				l.log("ran twice, %v apart: key %s: %s at %s with list %v, %s at %s with list %v", apart.Round(time.Millisecond),
					name, runs[0].id, runs[0].server, runs[0].list, runs[i].id, runs[i].server, runs[i].list)
			}
		}
	}
	if twice > 0 {
		l.finish(exitBroken, "%d parts of a keyed class ran twice within %v", twice, memorySpan)
	}
	for i, answer := range answers {
		if answer.status != 200 {
			l.finish(exitNotRun, "client %d was not served: %v", i, answer)
		}
	}
	l.finish(exitHeld, "no part of %d queries ran twice", keyedQueries)
}
