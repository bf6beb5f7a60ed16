package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"rooktrestle/internal/testbed/replica"
)

// Tests that a server which an agent, an operator or discovery has taken out of service stays out until the same source
// says otherwise: while the source is silent, through a reload, and in the process that replaces this one.

// stateOf returns the state of a server, as GET /servers reports it.
func (p *program) stateOf(server string) string {
	p.t.Helper()
	_, text := p.get("http://" + p.listen["health"] + "/servers")
	var reports []struct{ Server, State string }
	if err := json.Unmarshal([]byte(text), &reports); err != nil {
		p.t.Fatalf("%v: %s", err, text)
	}
	for _, report := range reports {
		if report.Server == server {
			return report.State
		}
	}
	p.t.Fatalf("%s is not in %s", server, text)
	return ""
}

// awaitState waits until a server is in service, or until it is not.
func (p *program) awaitState(server string, inService bool) {
	p.t.Helper()
	for (p.stateOf(server) == "in service") != inService {
		time.Sleep(time.Millisecond)
	}
}

// partsOf returns the number of parts that a server of the archive has received.
func partsOf(archive *replica.Archive, server string) (parts int) {
	for _, query := range archive.Queries() {
		if strings.HasPrefix(query, server+" ") {
			parts++
		}
	}
	return parts
}

// mustAvoid sends searches of all shards. Each must be answered, and none may reach the server.
func (p *program) mustAvoid(archive *replica.Archive, server, when string) {
	p.t.Helper()
	before := partsOf(archive, server)
	for range 20 {
		if status, text := p.sru("captions", "x"); status != 200 {
			p.t.Errorf("%s: %d %s", when, status, text)
		}
	}
	if parts := partsOf(archive, server) - before; parts > 0 {
		p.t.Errorf("%s: %s received %d parts", when, server, parts)
	}
}

// mustUse sends searches until one reaches the server.
func (p *program) mustUse(archive *replica.Archive, server string) {
	p.t.Helper()
	for before := partsOf(archive, server); partsOf(archive, server) == before; {
		p.sru("captions", "x")
	}
}

// A drained server received parts again when the process was replaced while its agent was silent. (That a report expires
// within one process is guarded by control/health's TestAdminState_LastsUntilItsCheckEndsIt.)
func TestAdminState_ByAgent_Lasts(t *testing.T) {
	for _, test := range []struct {
		line    string
		silence replica.AgentBehavior
		killed  bool // the process, instead of being stopped by SIGTERM
	}{
		{line: "up 0%", silence: replica.Hang, killed: true},
		{line: "up ready 0%", silence: replica.CloseAtOnce},
		{line: "drain", silence: replica.Hang, killed: true},
		{line: "maint", silence: replica.CloseAtOnce},
		{line: "stopped", silence: replica.CloseAtOnce},
	} {
		t.Run(test.line, func(t *testing.T) {
			archive := newArchive(t)
			agent, err := replica.NewAgent(test.line)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			agentKey := fmt.Sprintf("agent = %q", agent.Addr())
			stateDir := t.TempDir()
			p := startPartners(t, archive, partnersOptions{checks: map[string]string{"a": agentKey}, stateDir: stateDir})
			p.awaitState("a", false)
			agent.Set("", test.silence)
			p.mustAvoid(archive, "a", "the agent is silent")

			withAgent := readFile(t, p.confPath)
			writeFile(t, p.confPath, strings.Replace(withAgent, agentKey, "", 1))
			if line := p.reload(); !strings.Contains(line, "waits for the next start") {
				t.Errorf("%q", line)
			}
			p.mustAvoid(archive, "a", "a reload without the agent")

			writeFile(t, p.confPath, withAgent)
			agent.Set("", replica.CloseAtOnce) // a check that hangs would last until its timeout
			p = p.replace(test.killed, stateDir)
			p.mustAvoid(archive, "a", "another process, the agent is silent")
			agent.Set("up ready 100%", replica.Respond)
			p.awaitState("a", true)
			p.mustUse(archive, "a")
			p.stop()
		})
	}
}

// replace ends the process and starts another one with the same file, once what it has to pass on is written.
func (p *program) replace(killed bool, stateDir string) *program {
	p.t.Helper()
	for readable := false; !readable; {
		_, err := os.Stat(filepath.Join(stateDir, "rooktrestle-p-checks"))
		readable = err == nil
	}
	if killed {
		p.kill()
		<-p.lastLine
	} else {
		p.stop()
	}
	return servePartners(p.t, p.confPath, stateDir)
}

// A drain ends with the check that set it: a process whose file no longer has the check does not know the drain, nor
// does a later one whose file has it again.
func TestAdminState_ByAgent_EndsWithItsCheck(t *testing.T) {
	archive := newArchive(t)
	agent, err := replica.NewAgent("up 0%")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	agentKey := fmt.Sprintf("agent = %q", agent.Addr())
	stateDir := t.TempDir()
	p := startPartners(t, archive, partnersOptions{checks: map[string]string{"a": agentKey}, stateDir: stateDir})
	p.awaitState("a", false)
	agent.Set("", replica.CloseAtOnce)
	withAgent := readFile(t, p.confPath)
	for _, text := range []string{strings.Replace(withAgent, agentKey, "", 1), withAgent} {
		writeFile(t, p.confPath, text)
		p = p.replace(false, stateDir)
		p.mustUse(archive, "a")
	}
	p.stop()
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// On the platform a server that discovery lists as draining, or that an operator has detached, receives nothing until
// the same source ends that: while discovery is silent, after a reload that moves discovery to a silent one, and in the
// process that replaces this one.
func TestAdminState_OnThePlatform_Lasts(t *testing.T) {
	for _, source := range []string{"discovery", "operator"} {
		for _, condition := range []string{"fresh", "silent", "reload", "replaced"} {
			t.Run(source+", "+condition, func(t *testing.T) {
				t.Parallel()
				testPlatformState(t, source == "operator", condition)
			})
		}
	}
}

func testPlatformState(t *testing.T, byOperator bool, condition string) {
	a, b := newLeaf(t, answerValue), newLeaf(t, answerValue)
	listing := newAgent(t, a, b)
	n := newNode(t, a, b)
	n.discovery = listing.addr
	n.configure(listing.addr)
	drains := -1
	if !byOperator {
		drains = 0
	}
	listing.set(false, drains)
	p := n.start()
	p.awaitReady()
	if byOperator {
		p.expect("DETACH s-0", "done")
	}
	before := len(a.received())
	switch condition {
	case "silent":
		listing.set(true, drains)
		<-listing.calls // the watch is opened anew
	case "reload":
		silent := newAgent(t, a, b)
		silent.set(true, -1)
		n.configure(silent.addr)
		if line := p.reload(); !strings.Contains(line, "configuration reloaded") {
			t.Errorf("%q", line)
		}
		<-silent.calls
		defer silent.set(false, -1)
		listing = silent
	case "replaced":
		next := n.start()
		next.awaitReady()
		p.signal(syscall.SIGTERM)
		p.stop()
		p = next
	}
	p.mustServe("excluded")
	if sent := a.received()[before:]; len(sent) > 0 {
		t.Errorf("the server received %q", sent)
	}
	listing.set(false, -1)
	if byOperator {
		p.expect("ATTACH s-0", "done")
	}
	if byOperator || condition == "silent" || condition == "reload" { // an open watch of the stand-in tells no change
		for i := 0; len(a.received()) == before; i++ {
			p.mustServe(fmt.Sprintf("back%d.", i))
		}
	}
	p.stop()
}

// configure writes the node's file with a pushed endpoint list from discovery at an address.
func (n *node) configure(discovery string) {
	settings := strings.Replace(untimedSettings(1), `"n_instances"`, `"registry_mode":"pushed","n_instances"`, 1)
	settings = strings.Replace(settings, `"quota_per_s":100`, `"quota_per_s":100000`, 1)
	writeConfigWith(n.t, n.conf, discovery, settings, singleInstance)
}
