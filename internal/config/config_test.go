package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
)

// The example in the deploy directory is valid, and the balancer accepts the settings derived from it.
func TestLoadPartners_Example(t *testing.T) {
	p, err := LoadPartners("../../deploy/partners.toml")
	if err != nil {
		t.Fatal(err)
	}
	set := p.BalancerSettings(1)
	if _, err := balance.New(set); err != nil {
		t.Error(err)
	}
	c := set.Classes[p.ClassIndex("line-correction")]
	quota := set.Tenants[p.TenantIndex("national-tv")].Quota
	if c.Idempotency != balance.NonIdempotent || c.Deadline != 3*time.Second || quota != 9 {
		t.Errorf("%+v", set)
	}
}

// writeFile writes a file to a temporary directory of the test and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "f.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// invalidEdit is a replacement of text that makes a valid file invalid.
type invalidEdit struct {
	old, new   string
	want       string // in the error
	lineOffset int    // of the problem's line, from the line of the edit
	someLine   bool   // any line is accepted, as the edit removes the key or makes several keys contradict each other
}

// Each invalid file is rejected with the line number and the reason, as a single line of text.
func TestLoadPartners_InvalidFile_NamesLineAndReason(t *testing.T) {
	valid, err := os.ReadFile("../../deploy/partners.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, edit := range []invalidEdit{
		// A correction requires a non-idempotent class.
		{old: `unsafe = true`, new: ``, want: "not unsafe", someLine: true},
		{old: `shards = [0, 1, 2, 3]`, new: `shards = [0, 9]`, want: "shard 9"},
		{old: `shards = [0, 1, 2, 3]`, new: `shards = [0, 0]`, want: "shard 0"},
		{old: `search = "line-search"`, new: `search = "nothing"`, want: `"nothing"`},
		{old: `tenant = "national-tv"`, new: `tenant = "nobody"`, want: `"nobody"`},
		{old: `protocol = "sru"`, new: `protocol = "gopher"`, want: `"node-a"`},
		{old: `id = "node-b"`, new: `id = "node-a"`, want: `"node-a"`},
		{old: `reach = 2`, new: `reach = 9`, want: "reach"},
		{old: `zone = 0  `, new: `zoom = 0  `, want: "zoom"},
		{old: `aim = "2.5s"`, new: `aim = "soon"`, want: "soon"},
		{old: `aim = "2.5s"`, new: `aim = "9s"`, want: "before aim", lineOffset: 1},
		{old: `deadline = "7.5s"`, new: `deadline = "-1s"`, want: "negative"},
		{old: `max_open = 115`, new: `max_open = -1`, want: "max_open"},
		{old: `max_open = 115`, new: `max_open = "many"`, want: "max_open"},
		{old: `floor = 0.5`, new: `floor = 1.5`, want: "floor"},
		{old: `sru = "127.0.0.1:8210"`, new: `sru = "8210"`, want: "host:port"},
		{old: `addr = "127.0.0.1:9001"`, new: `addr = "nowhere"`, want: "host:port"},
		{old: `sru = 200`, new: `sru = 2000`, want: "in total", someLine: true},
		{old: `agent_wait = "50ms"`, new: `agent_wait = "5s"`, want: "at most 1s"},
		{old: `at_once = 64`, new: `at_once = 1`, want: "checks.at_once must be at least 2"},
		{old: `at_once = 64`, new: `at_once = 600`, want: "a quarter"},
		{old: `per_second = 200`, new: `per_second = 1`, want: "starts per second"},
		{old: `jitter = 0.1`, new: `jitter = 0.9`, want: "jitter"},
		{old: `kind = "http"`, new: `kind = "gopher"`, want: `kind "gopher"`},
		{old: `path = "/healthz"`, new: `path = "healthz"`, want: "begin with /"},
		{old: `expect = "200-299"`, new: `expect = "299-200"`, want: "299-200"},
		{old: `drain = "404"`, new: `drain = "all"`, want: "drain"},
		{old: `match = "^(up|ok)"`, new: `match = "("`, want: "match"},
		{old: `slow = "5s"`, new: `slow = "1s"`, want: "shorter than every"},
		{old: `fast = "250ms"`, new: `fast = "1h"`, want: "longer than every"},
		{old: `timeout = "500ms"`, new: `timeout = "2m"`, want: "at most 1m"},
		{old: `valid = "15s"`, new: `valid = "1s"`, want: "until the next result"},
		{old: `silence = "ignore"`, new: `silence = "loud"`, want: "ignore or down"},
		{old: `kind = "z3950"`, new: `kind = "grpc"`, want: "grpc_bridge"},
		{old: `checks = ["init"]`, new: `checks = ["inti"]`, want: `"inti" is not defined`},
		{old: `checks = ["init"]`, new: `checks = ["init", "init"]`, want: "listed twice", someLine: true},
		{old: `name = "init"`, new: `name = "http-node"`, want: "used twice", someLine: true},
		{old: `panic = 0.5`, new: `panic = 1.5`, want: "panic", lineOffset: -1},
		{old: `eject_most = 0.5`, new: `eject_most = 1.0`, want: "a block keeps a holder", someLine: true},
	} {
		t.Run(edit.old+" becomes "+edit.new, func(t *testing.T) { checkInvalidEdit(t, string(valid), edit) })
	}
}

func checkInvalidEdit(t *testing.T, valid string, edit invalidEdit) {
	t.Helper()
	before, _, found := strings.Cut(valid, edit.old)
	if !found {
		t.Fatalf("%q is not in the example", edit.old)
	}
	path := writeFile(t, strings.Replace(valid, edit.old, edit.new, 1))
	_, err := LoadPartners(path)
	var problems Problems
	if !errors.As(err, &problems) || !strings.Contains(err.Error(), edit.want) || strings.Contains(err.Error(), "\n") {
		t.Fatalf("%v, want %s", err, edit.want)
	}
	line := 1 + strings.Count(before, "\n") + edit.lineOffset
	for _, problem := range problems {
		if problem.File == path && (problem.Line == line || edit.someLine && problem.Line > 0) {
			return
		}
	}
	t.Errorf("%v, want line %d", err, line)
}

// Each invalid source of a shard map is rejected with the line number and the reason.
func TestLoadPartners_InvalidShardMapSource_NamesLineAndReason(t *testing.T) {
	text, err := os.ReadFile("../../deploy/blocks.toml")
	if err != nil {
		t.Fatal(err)
	}
	p, err := LoadPartners("../../deploy/blocks.toml")
	if err != nil || !p.ShardMap.Enabled() || p.BalancerSettings(1).Cells != 1 {
		t.Fatal(err)
	}
	valid := string(text)
	for _, edit := range []invalidEdit{
		{old: `archive = "captions" `, new: `#`, want: "archive"},
		{old: `source = "127.0.0.1:8600" `, new: `source = "nowhere" #`, want: "host:port"},
		{old: `source = "127.0.0.1:8600" `, new: `source = "127.0.0.1:8600"` + "\nfile = \"x\" #", want: "not both"},
		{old: `source = "127.0.0.1:8600" `, new: `#`, want: "neither file nor source"},
		{old: `pinned = 8 `, new: `pinned = -1 #`, want: "most_pinned"},
		{old: `pinned_for = "9.5s" `, new: `pinned_for = "2s" #`, want: "shorter than the longest deadline"},
		{old: `wait = "10s" `, new: `wait = "10m" #`, want: "at most 1m"},
		{old: `cold_from = 0.28 `, new: `cold_from = 1.5 #`, want: "cold_from"},
		{old: `name = "captions" `, new: `name = "captions"` + "\nshards = [0] #", want: "shards must not be set"},
		{old: `[blocks]`, new: "[shards]\ncount = 1\ncells = 1\nreach = 1\n[blocks]", want: "only one of them"},
	} {
		t.Run(edit.old+" becomes "+edit.new, func(t *testing.T) {
			if !strings.Contains(valid, edit.old) {
				t.Fatalf("%q is not in the example", edit.old)
			}
			_, err := LoadPartners(writeFile(t, strings.Replace(valid, edit.old, edit.new, 1)))
			var problems Problems
			if !errors.As(err, &problems) || problems[0].Line == 0 || !strings.Contains(err.Error(), edit.want) {
				t.Errorf("%v, want %s", err, edit.want)
			}
		})
	}
}

// All problems of a file are reported, in the order of its lines.
func TestLoadPartners_SeveralProblems_InOrderOfLines(t *testing.T) {
	path := writeFile(t, "[listen]\nsru = \"x\"\n[shards]\ncount = 0\ncells = 1\nreach = 1\n[[server]]\nid = \"a\"\n")
	_, err := LoadPartners(path)
	var ps Problems
	if !errors.As(err, &ps) || len(ps) < 6 {
		t.Fatal(err)
	}
	for i, p := range ps {
		if i > 0 && p.Line < ps[i-1].Line {
			t.Errorf("%v after %v", p, ps[i-1])
		}
	}
	for _, line := range []string{":2: ", ":4: ", ":7: "} {
		if !strings.Contains(err.Error(), path+line) {
			t.Error(err)
		}
	}
}

// The keys agent and health of a server imply checks, and a server without a check of its reachability receives one of
// its connection.
func TestLoadPartners_ImpliedChecks(t *testing.T) {
	p, err := LoadPartners("../../deploy/partners.toml")
	if err != nil {
		t.Fatal(err)
	}
	kinds := func(id string) (all []string) {
		for _, s := range p.Servers {
			if s.ID == id {
				for _, name := range s.Checks {
					all = append(all, p.CheckProfile(name).Kind+" "+p.CheckProfile(name).AddrFor(s))
				}
			}
		}
		return all
	}
	for id, want := range map[string]string{
		"node-a": "[http 127.0.0.1:9001]", "node-b": "[z3950 127.0.0.1:9002 agent 127.0.0.1:9012]",
		"node-c": "[http 127.0.0.1:9003]", "node-d": "[agent 127.0.0.1:9014 tcp 127.0.0.1:9004]",
	} {
		if got := fmt.Sprint(kinds(id)); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
	}
	if f := p.CheckProfile("agent 127.0.0.1:9014"); f.NoResult != "ignore" || f.Fall != 1 {
		t.Errorf("%+v", f)
	}
}

// By default a result counts until the next one if a check's silence has no effect, and else for three intervals and the
// timeout.
func TestLoadPartners_ValidityOfResults(t *testing.T) {
	p, err := LoadPartners("../../deploy/partners.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]time.Duration{
		"http-node":            15 * time.Second, // its key valid
		"init":                 0,
		"agent 127.0.0.1:9014": 0,
		"http /healthz":        7 * time.Second,
	} {
		if got := p.CheckProfile(name).ResultTTL.Duration; got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
}

func TestParseNode(t *testing.T) {
	text := `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.5,"memory_mb":100,"sockets":50},
		"settings":{"classes":[{"name":"a","aim":1000000,"credit":1,"deadline":2000000,"effect":"safe"}],
		"extra":{"cells":1,"class_floor":[1],"follow_up":[0],"in_a_row":1,
		"incomplete_worth":[1],"need_by_class":[1],"per_call":3,"slices":1},
		"limits":{"cancel":true,"send_cap":2,"conn_idle":15000000,"max_retry_after":1000000,"retry_after":false},
		"n_instances":1,"orgs":[{"name":"tv","quota_per_s":2}],"tick":5000}}`
	n, err := ParseNode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := n.Deployment
	if n.Seed != 0x8c1f30d27a5be964 || d.BalancerSettings.Seed != n.Seed || n.MemoryMB != 100 {
		t.Errorf("%+v", n)
	}
	if d.Classes[0] != "a" || d.Tenants[0] != "tv" {
		t.Errorf("classes %v, tenants %v", d.Classes, d.Tenants)
	}
	if d.ConnIdle != 15*time.Second || d.BalancerSettings.MaxCallParts != 3 {
		t.Errorf("%+v", d)
	}
	// Clients receive Retry-After even if retry_after is false, which only says that the simulator does not forward it.
	if d.BalancerSettings.MaxRetryAfter != time.Second {
		t.Errorf("Retry-After of at most %v", d.BalancerSettings.MaxRetryAfter)
	}
	const unknownEffect = `{"settings":{"classes":[{"effect":"odd"}],
		"extra":{"class_floor":[1],"follow_up":[0],"incomplete_worth":[1],"need_by_class":[1]}}}`
	for _, bad := range []string{"", "{}", unknownEffect} {
		if _, err := ParseNode([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
	path := writeFile(t, text)
	env := map[string]string{"NODE_CONFIG": path, "NODE_LISTEN": "127.0.0.1:9"}
	n, err = LoadNode(func(name string) string { return env[name] })
	if err != nil || n.Listen != "127.0.0.1:9" || n.Discovery != "127.0.0.1:2" {
		t.Error(n, err)
	}
}
