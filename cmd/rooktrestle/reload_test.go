package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// Settings that change while the program serves (SIGHUP).

// hup sends SIGHUP and returns the line that tells what came of it.
func (p *program) hup() string {
	p.t.Helper()
	p.signal(syscall.SIGHUP)
	return <-p.lines
}

// renamed is the settings with other names and effects of their classes: search is dropped, a new class is idempotent, and
// corrections have moved to another place.
func renamed(settings string) string {
	return strings.NewReplacer(
		`"name":"search"`, `"name":"correction-kept"`,
		`"effect":"unsafe"`, `"effect":"safe"`,
		`"name":"correction"`, `"name":"search-ii"`,
	).Replace(settings)
}

// Nothing is taken from a file that cannot be served: neither its settings nor the address of discovery.
func TestReload_NothingIsTakenOfBrokenSettings(t *testing.T) {
	a := newLeaf(t, value)
	p := platform(t, a)
	good := unhurried(1)
	stranger := newDiscovery(t) // lists nothing
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
			t.Fatalf("%s: not broken", name)
		}
		configureAs(t, p.conf, stranger, renamed(broken), soleInstance)
		if line := p.hup(); !strings.Contains(line, "configuration reload failed") {
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

// Classes are added and dropped, their places and effects change: requests from then on have the new rules, those that are
// open keep the old ones.
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
		return value(name, c)
	}
	a, b := newLeaf(t, act), newLeaf(t, act) // of which the other one gets what the first breaks
	p := platform(t, a, b)
	discovery := newDiscovery(t, a, b)
	held := make(chan string)
	go func() {
		status, text := p.ask("held", "search", onePart)
		held <- fmt.Sprint(status, text)
	}()
	<-received
	configureAs(t, p.conf, discovery, renamed(unhurried(1)), soleInstance)
	if line := p.hup(); !strings.Contains(line, "configuration reloaded") {
		t.Errorf("%q", line)
	}
	if status, text := p.ask("new", "correction-kept", onePart); status != 200 {
		t.Errorf("a class that was added: %d %s", status, text)
	}
	close(release)
	if got := <-held; !strings.HasPrefix(got, "200") {
		t.Errorf("a query that was open: %s", got)
	}
	// Not idempotent before, at this place: it is sent again now.
	if status, text := p.ask("breaks", "search-ii", onePart); status != 200 {
		t.Errorf("a class that is idempotent now: %d %s", status, text)
	}
	p.stop()
}
