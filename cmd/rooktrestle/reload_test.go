package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// Tests of settings that change while the program serves (SIGHUP).

// reload sends SIGHUP and returns the log line with the result.
func (p *program) reload() string {
	p.t.Helper()
	p.signal(syscall.SIGHUP)
	return <-p.configLines
}

// withChangedClasses returns the settings with the classes search and correction replaced by classes of other names,
// both idempotent.
func withChangedClasses(settings string) string {
	return strings.NewReplacer(
		`"name":"search"`, `"name":"correction-kept"`,
		`"effect":"unsafe"`, `"effect":"safe"`,
		`"name":"correction"`, `"name":"search-ii"`,
	).Replace(settings)
}

// Nothing of an invalid file is applied: neither its settings nor the address of discovery.
func TestReload_NothingIsTakenOfBrokenSettings(t *testing.T) {
	a := newLeaf(t, answerValue)
	p := startPlatform(t, a)
	good := untimedSettings(1)
	emptyDiscovery := newDiscovery(t) // lists nothing
	for name, broken := range map[string]string{
		"deadline not positive": strings.Replace(good, `"deadline":`, `"deadline":-`, 1),
		"deadline of text":      strings.Replace(good, `"deadline":`, `"deadline":"soon","x":`, 1),
		"no attempts":           strings.Replace(good, `"send_cap":4`, `"send_cap":0`, 1),
		"attempts missing":      strings.Replace(good, `"send_cap":4,`, ``, 1),
		"deadline missing":      strings.Replace(good, `"deadline":`, `"former_deadline":`, 1),
		"no classes":            `{}`,
		"rules missing":         strings.Replace(good, `"rules":`, `"former_rules":`, 1),
	} {
		if broken == good {
			t.Fatalf("%s: the settings are unchanged", name)
		}
		writeConfigWith(t, p.confPath, emptyDiscovery, withChangedClasses(broken), singleInstance)
		if line := p.reload(); !strings.Contains(line, "configuration reload failed") {
			t.Errorf("%s: %q", name, line)
		}
	}
	for i := range 20 {
		if status, text := p.ask(fmt.Sprint("q", i), "search", onePart); status != 200 {
			t.Fatalf("%d %s", status, text)
		}
	}
	p.stop()
}

// A reload adds and removes classes, and changes their indexes and effects: later queries follow the new rules, open
// ones the previous rules.
func TestReload_ClassesChange(t *testing.T) {
	received, release := make(chan string, 100), make(chan struct{})
	var broken atomic.Bool
	act := func(name string, c net.Conn) string {
		if strings.HasPrefix(name, "held") {
			received <- name
			<-release
		}
		if strings.HasPrefix(name, "breaks") && !broken.Swap(true) {
			closeQuietly(c)
			return ""
		}
		return answerValue(name, c)
	}
	a, b := newLeaf(t, act), newLeaf(t, act) // a part whose connection one of them breaks is retried on the other
	p := startPlatform(t, a, b)
	discovery := newDiscovery(t, a, b)
	held := make(chan string)
	go func() {
		status, text := p.ask("held", "search", onePart)
		held <- fmt.Sprint(status, text)
	}()
	<-received
	writeConfigWith(t, p.confPath, discovery, withChangedClasses(untimedSettings(1)), singleInstance)
	if line := p.reload(); !strings.Contains(line, "configuration reloaded") {
		t.Errorf("%q", line)
	}
	if status, text := p.ask("new", "correction-kept", onePart); status != 200 {
		t.Errorf("a query of an added class: %d %s", status, text)
	}
	close(release)
	if got := <-held; !strings.HasPrefix(got, "200") {
		t.Errorf("the query that was open during the reload: %s", got)
	}
	// The class at this index was non-idempotent before the reload. It is idempotent now, so the part is retried.
	if status, text := p.ask("breaks", "search-ii", onePart); status != 200 {
		t.Errorf("a query of a class that is idempotent now: %d %s", status, text)
	}
	p.stop()
}
