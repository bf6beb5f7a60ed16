package main

import (
	"net"
	"os"
	"strings"
	"testing"
)

// A reload exchanges the names of two classes. New requests must follow the rules that their class name has now; a
// class index from before the reload would select the settings of the other class.
func TestReload_ClassesSwapTheirNames(t *testing.T) {
	breakConnection := func(_ string, c net.Conn) string { closeQuietly(c); return "" }
	a, b := newLeaf(t, breakConnection), newLeaf(t, breakConnection)
	p := startPlatformWith(t, platformSettings, a, b) // retries are sent within the objective
	text, err := os.ReadFile(p.confPath)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(`"name":"search"`, `"name":"correction"`, `"name":"correction"`, `"name":"search"`).
		Replace(string(text))
	if changed == string(text) {
		t.Fatal("nothing changed")
	}
	writeFile(t, p.confPath, changed)
	if line := p.reload(); !strings.Contains(line, "configuration reloaded") {
		t.Errorf("%q", line)
	}
	// This class is non-idempotent now.
	if status, _ := p.ask("unsafe", "search", onePart); status != 502 {
		t.Errorf("%d", status)
	}
	if sent := append(a.received(), b.received()...); len(sent) != 1 {
		t.Errorf("parts sent for a non-idempotent query: %q, want one", sent)
	}
	// This class is idempotent now. Attempts are repeated until the deadline, as each one's connection breaks.
	if status, _ := p.askWithin(longDeadline, "safe", "correction", onePart); status == 400 || status == 404 {
		t.Errorf("%d", status)
	}
	if sent := append(a.received(), b.received()...); len(sent) < 3 { // two attempts, and that of the other query
		t.Errorf("an idempotent query was not retried; all parts sent: %q", sent)
	}
	p.stop()
}
