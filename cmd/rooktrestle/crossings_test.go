package main

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// The configuration is reloaded with the names of two classes exchanged and another tenant. Requests are served by what
// the program started with: the unsafe class stays unsafe, and no request takes another's settings by its place in a list.
func TestClassesOutliveANewConfiguration(t *testing.T) {
	breaks := func(_ string, c net.Conn) string { closeQuietly(c); return "" }
	a, b := newLeaf(t, breaks), newLeaf(t, breaks)
	p := platformWith(t, platformSettings, a, b) // a second attempt follows within the objective
	text, err := os.ReadFile(p.conf)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(`"name":"search"`, `"name":"correction"`, `"name":"correction"`, `"name":"search"`,
		`"name":"tv"`, `"name":"radio"`).Replace(string(text))
	if changed == string(text) {
		t.Fatal("nothing changed")
	}
	writeFile(t, p.conf, changed)
	p.signal(syscall.SIGHUP)
	if line := <-p.lines; !strings.Contains(line, "waits for the next start") {
		t.Errorf("%q", line)
	}
	body := `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`
	if status, _ := p.ask("unsafe", "correction", body); status != 502 {
		t.Errorf("%d", status)
	}
	if sent := append(a.seen(), b.seen()...); len(sent) != 1 {
		t.Errorf("a correction was sent as %q", sent)
	}
	// Attempts go on until the deadline, as each breaks its connection.
	if status, _ := p.askWithin(ampleDeadline, "safe", "search", body); status == 400 || status == 404 {
		t.Errorf("%d", status)
	}
	if sent := append(a.seen(), b.seen()...); len(sent) < 3 { // its first attempt and another, with the correction's
		t.Errorf("a search was sent as %q", sent)
	}
	p.stop()
}
