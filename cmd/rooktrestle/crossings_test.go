package main

import (
	"net"
	"os"
	"strings"
	"testing"
)

// The configuration is reloaded with the names of two classes exchanged. Requests are served by the rules that their name
// has now: no request takes another's settings by its place in a list.
func TestReload_ClassesSwapTheirNames(t *testing.T) {
	breaks := func(_ string, c net.Conn) string { closeQuietly(c); return "" }
	a, b := newLeaf(t, breaks), newLeaf(t, breaks)
	p := platformWith(t, platformSettings, a, b) // a second attempt follows within the objective
	text, err := os.ReadFile(p.conf)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(`"name":"search"`, `"name":"correction"`, `"name":"correction"`, `"name":"search"`).
		Replace(string(text))
	if changed == string(text) {
		t.Fatal("nothing changed")
	}
	writeFile(t, p.conf, changed)
	if line := p.hup(); !strings.Contains(line, "configuration reloaded") {
		t.Errorf("%q", line)
	}
	// The class of this name must not run twice now.
	if status, _ := p.ask("unsafe", "search", onePart); status != 502 {
		t.Errorf("%d", status)
	}
	if sent := append(a.seen(), b.seen()...); len(sent) != 1 {
		t.Errorf("a query that must not run twice was sent as %q", sent)
	}
	// And this one may. Attempts go on until the deadline, as each breaks its connection.
	if status, _ := p.askWithin(ampleDeadline, "safe", "correction", onePart); status == 400 || status == 404 {
		t.Errorf("%d", status)
	}
	if sent := append(a.seen(), b.seen()...); len(sent) < 3 { // its first attempt and another, with the other query's
		t.Errorf("a query that may be repeated was sent as %q", sent)
	}
	p.stop()
}
