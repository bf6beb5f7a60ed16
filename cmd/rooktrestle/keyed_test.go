package main

import (
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
)

// Tests of queries in a keyed class, whose repeats servers drop by the client's idempotency key.

const idempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

// keyedSettings returns the platform's settings with the class correction keyed instead of non-idempotent.
func keyedSettings() string {
	return strings.Replace(untimedSettings(1), `"effect":"unsafe"`, `"effect":"keyed","memory_span":60000000`, 1)
}

// askKeyed sends a query of the class correction with a key, and returns the status; 0 if there is no response.
func (p *program) askKeyed(id, key string) (status int) {
	p.t.Helper()
	request := p.newQuery(testTimeout, id, "correction", onePart)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	closeQuietly(response.Body)
	return response.StatusCode
}

// partLine matches the line of a part that a leaf server received.
var partLine = regexp.MustCompile(`^\S+ (\d+) (\S+) `)

// executions returns how many of the parts received would run: servers drop a part whose shard and key they have seen.
func executions(t *testing.T, leaves ...*leafServer) (runs int) {
	t.Helper()
	seen := map[string]bool{}
	for _, l := range leaves {
		for _, line := range l.received() {
			fields := partLine.FindStringSubmatch(line)
			if fields == nil {
				t.Fatalf("part %q", line)
			}
			shard, key := fields[1], ""
			for _, option := range strings.Split(fields[2], ",") {
				if value, ok := strings.CutPrefix(option, "k="); ok {
					key = value
				}
			}
			if key == "" || !seen[shard+" "+key] {
				runs++
			}
			seen[shard+" "+key] = true
		}
	}
	return runs
}

// A keyed query ran twice when its aggregator was killed and its client asked another one: the client's idempotency key
// did not reach the servers, so that they could not drop the repeat.
func TestKeyedQuery_RetriedAtAnotherAggregator_RunsOnce(t *testing.T) {
	begun, release := make(chan struct{}, 1), make(chan struct{})
	act := func(name string, c net.Conn) string {
		if strings.HasPrefix(name, "first.") {
			begun <- struct{}{}
			<-release
			return ""
		}
		return answerValue(name, c)
	}
	a, b := newLeaf(t, act), newLeaf(t, act)
	defer close(release)
	killed, other := startPlatformWith(t, keyedSettings(), a, b), startPlatformWith(t, keyedSettings(), a, b)
	first := make(chan int)
	go func() { first <- killed.askKeyed("first", idempotencyKey) }()
	<-begun
	killed.kill()
	if status := <-first; status != 0 {
		t.Errorf("the killed aggregator answered %d", status)
	}
	if status := other.askKeyed("second", idempotencyKey); status != 200 {
		t.Errorf("the retry: status %d", status)
	}
	if runs := executions(t, a, b); runs != 1 {
		t.Errorf("%d executions of one correction: %q", runs, append(a.received(), b.received()...))
	}
	other.stop()
}

// A keyed part whose connection breaks ran twice when the aggregator itself sent it again, for the same reason.
func TestKeyedQuery_RetriedByItsAggregator_RunsOnce(t *testing.T) {
	var broken atomic.Bool
	act := func(name string, c net.Conn) string {
		if !broken.Swap(true) {
			closeQuietly(c)
			return ""
		}
		return answerValue(name, c)
	}
	a, b := newLeaf(t, act), newLeaf(t, act)
	p := startPlatformWith(t, keyedSettings(), a, b)
	if status := p.askKeyed("q", idempotencyKey); status != 200 {
		t.Errorf("status %d", status)
	}
	if received := append(a.received(), b.received()...); len(received) != 2 || executions(t, a, b) != 1 {
		t.Errorf("received %q, want two attempts with one key", received)
	}
	p.stop()
}

// Nothing is sent for a keyed query without a key: servers could not recognize its repeats.
func TestKeyedQuery_WithoutKey_IsRejected(t *testing.T) {
	a := newLeaf(t, answerValue)
	p := startPlatformWith(t, keyedSettings(), a)
	if status := p.askKeyed("q", ""); status != 400 {
		t.Errorf("status %d, want 400", status)
	}
	if received := a.received(); len(received) != 0 {
		t.Errorf("received %q", received)
	}
	p.stop()
}

// The keys of queries in a class that a reload makes keyed did not reach the servers.
func TestReload_ClassBecomesKeyed(t *testing.T) {
	a := newLeaf(t, answerValue)
	p := startPlatform(t, a)
	if status := p.askKeyed("before", ""); status != 200 {
		t.Errorf("before the reload: status %d", status)
	}
	writeConfigWith(t, p.confPath, newDiscovery(t, a), keyedSettings(), singleInstance)
	if line := p.reload(); !strings.Contains(line, "configuration reloaded") {
		t.Errorf("%q", line)
	}
	if status := p.askKeyed("after", idempotencyKey); status != 200 {
		t.Errorf("after the reload: status %d", status)
	}
	lines := a.received()
	if last := lines[len(lines)-1]; len(lines) != 2 || !strings.Contains(last, ",k="+idempotencyKey+" ") {
		t.Errorf("received %q", lines)
	}
	p.stop()
}
