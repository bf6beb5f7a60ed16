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

func TestTheExampleCanBeServed(t *testing.T) {
	p, err := LoadPartners("../../deploy/partners.toml")
	if err != nil {
		t.Fatal(err)
	}
	set := p.Decisions(1)
	if _, err := balance.New(set); err != nil {
		t.Error(err)
	}
	c := set.Classes[p.ClassIndex("line-correction")]
	if c.Idempotency != balance.NonIdempotent || c.Deadline != 3*time.Second || set.Tenants[p.TenantIndex("national-tv")].Quota != 9 {
		t.Errorf("%+v", set)
	}
}

// Each bad file is refused with its line and the reason, in one line of text for each thing that is wrong.
func TestBadFilesAreNamed(t *testing.T) {
	good, err := os.ReadFile("../../deploy/partners.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`unsafe = true`, ``, "not unsafe"}, // a correction must not be of a class that may run twice
		{`shards = [0, 1, 2, 3]`, `shards = [0, 9]`, "shard 9"},
		{`shards = [0, 1, 2, 3]`, `shards = [0, 0]`, "shard 0"},
		{`search = "line-search"`, `search = "nothing"`, `"nothing"`},
		{`tenant = "national-tv"`, `tenant = "nobody"`, `"nobody"`},
		{`protocol = "sru"`, `protocol = "gopher"`, `"node-a"`},
		{`id = "node-b"`, `id = "node-a"`, `"node-a"`},
		{`reach = 2`, `reach = 9`, "reach"},
		{`zone = 0  `, `zoom = 0  `, "zoom"},
		{`aim = "2.5s"`, `aim = "soon"`, "soon"},
		{`aim = "2.5s"`, `aim = "9s"`, "before aim"},
		{`deadline = "7.5s"`, `deadline = "-1s"`, "negative"},
		{`max_open = 115`, `max_open = -1`, "max_open"},
		{`max_open = 115`, `max_open = "many"`, "max_open"},
		{`floor = 0.5`, `floor = 1.5`, "floor"},
		{`sru = "127.0.0.1:8210"`, `sru = "8210"`, "host:port"},
		{`addr = "127.0.0.1:9001"`, `addr = "nowhere"`, "host:port"},
		{`sru = 200`, `sru = 2000`, "shares come to"},
		{`agent_wait = "50ms"`, `agent_wait = "5s"`, "at most 1s"},
		{`at_once = 64`, `at_once = 1`, "checks.at_once must be at least 2"},
		{`at_once = 64`, `at_once = 600`, "a quarter"},
		{`per_second = 200`, `per_second = 1`, "come to"},
		{`jitter = 0.1`, `jitter = 0.9`, "jitter"},
		{`kind = "http"`, `kind = "gopher"`, `kind "gopher"`},
		{`path = "/healthz"`, `path = "healthz"`, "begin with /"},
		{`expect = "200-299"`, `expect = "299-200"`, "299-200"},
		{`drain = "404"`, `drain = "all"`, "drain"},
		{`match = "^(up|ok)"`, `match = "("`, "match"},
		{`slow = "5s"`, `slow = "1s"`, "shorter than every"},
		{`fast = "250ms"`, `fast = "1h"`, "longer than every"},
		{`timeout = "500ms"`, `timeout = "2m"`, "at most 1m"},
		{`valid = "15s"`, `valid = "1s"`, "would end before the next"},
		{`silence = "ignore"`, `silence = "loud"`, "ignore or down"},
		{`kind = "z3950"`, `kind = "grpc"`, "grpc_bridge"},
		{`checks = ["init"]`, `checks = ["inti"]`, `"inti" is not there`},
		{`checks = ["init"]`, `checks = ["init", "init"]`, "stands twice"},
		{`name = "init"`, `name = "http-node"`, "stands twice"},
		{`panic = 0.5`, `panic = 1.5`, "panic"},
		{`eject_most = 0.5`, `eject_most = 1.0`, "a block keeps a holder"},
	} {
		if !strings.Contains(string(good), c.old) {
			t.Errorf("%q is not in the example", c.old)
			continue
		}
		path := filepath.Join(t.TempDir(), "f.toml")
		bad := strings.Replace(string(good), c.old, c.new, 1)
		os.WriteFile(path, []byte(bad), 0o600)
		_, err := LoadPartners(path)
		var ps Problems
		if !errors.As(err, &ps) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
			continue
		}
		// The line is that of the change, or of the table from which something is gone, or which it no longer fits.
		line := 1 + strings.Count(string(good)[:strings.Index(string(good), c.old)], "\n")
		named := false
		for _, p := range ps {
			named = named || p.File == path && (p.Line == line || c.new == "" || strings.Contains(p.Reason, "stands twice") && p.Line > 0 ||
				strings.Contains(p.Reason, "shares come to") && p.Line > 0 || strings.Contains(p.Reason, "no name, or") && p.Line > 0 ||
				strings.Contains(p.Reason, "before aim") && p.Line == line+1 || strings.Contains(p.Reason, "a quarter") && p.Line == line ||
				c.want == "panic" && p.Line == line-1 || strings.Contains(c.want, "a holder") && p.Line > 0)
		}
		if !named {
			t.Errorf("%s: %v, want line %d", c.new, err, line)
		}
	}
}

// The same for a file whose blocks come from a map.
func TestBadBlocksAreNamed(t *testing.T) {
	good, err := os.ReadFile("../../deploy/blocks.toml")
	if err != nil {
		t.Fatal(err)
	}
	if p, err := LoadPartners("../../deploy/blocks.toml"); err != nil || !p.ShardMap.Enabled() || p.Decisions(1).Cells != 1 {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`archive = "captions" `, `#`, "archive"},
		{`source = "127.0.0.1:8600" `, `source = "nowhere" #`, "host:port"},
		{`source = "127.0.0.1:8600" `, `source = "127.0.0.1:8600"` + "\nfile = \"x\" #", "not both"},
		{`source = "127.0.0.1:8600" `, `#`, "neither file nor source"},
		{`pinned = 8 `, `pinned = -1 #`, "most_pinned"},
		{`pinned_for = "9.5s" `, `pinned_for = "2s" #`, "shorter than the longest deadline"},
		{`wait = "10s" `, `wait = "10m" #`, "at most 1m"},
		{`cold_from = 0.28 `, `cold_from = 1.5 #`, "cold_from"},
		{`name = "captions" `, `name = "captions"` + "\nshards = [0] #", "names no shards"},
		{`[blocks]`, "[shards]\ncount = 1\ncells = 1\nreach = 1\n[blocks]", "only one of them"},
	} {
		if !strings.Contains(string(good), c.old) {
			t.Errorf("%q is not in the example", c.old)
			continue
		}
		path := filepath.Join(t.TempDir(), "f.toml")
		os.WriteFile(path, []byte(strings.Replace(string(good), c.old, c.new, 1)), 0o600)
		_, err := LoadPartners(path)
		var ps Problems
		if !errors.As(err, &ps) || ps[0].Line == 0 || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}

// A file with several faults names them all, in the order of its lines.
func TestAllFaultsAreNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.toml")
	os.WriteFile(path, []byte("[listen]\nsru = \"x\"\n[shards]\ncount = 0\ncells = 1\nreach = 1\n[[server]]\nid = \"a\"\n"), 0o600)
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
	if !strings.Contains(err.Error(), path+":2: ") || !strings.Contains(err.Error(), path+":4: ") || !strings.Contains(err.Error(), path+":7: ") {
		t.Error(err)
	}
}

// What a server's own keys stand for, and what is added where nothing asks whether it is there.
func TestImpliedChecks(t *testing.T) {
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

func TestNode(t *testing.T) {
	text := `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","limits":{"cores":1.5,"memory_mb":100,"sockets":50},
		"settings":{"classes":[{"name":"a","aim":1000000,"credit":1,"deadline":2000000,"effect":"safe"}],
		"extra":{"cells":1,"class_floor":[1],"follow_up":[0],"in_a_row":1,"incomplete_worth":[1],"need_by_class":[1],"per_call":3,"slices":1},
		"limits":{"cancel":true,"send_cap":2,"conn_idle":15000000,"max_retry_after":1000000,"retry_after":false},"n_instances":1,"orgs":[{"name":"tv","quota_per_s":2}],"tick":5000}}`
	n, err := ParseNode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	d := n.Deployment
	if n.Seed != 0x8c1f30d27a5be964 || d.Decisions.Seed != n.Seed || n.MemoryMB != 100 || d.Classes[0] != "a" || d.Tenants[0] != "tv" ||
		d.ConnIdle != 15*time.Second || d.Decisions.MaxCallParts != 3 {
		t.Errorf("%+v", n)
	}
	// Clients are told when to come back though the simulator would not forward it.
	if d.Decisions.MaxRetryAfter != time.Second {
		t.Errorf("advice of %v at most", d.Decisions.MaxRetryAfter)
	}
	for _, bad := range []string{"", "{}", `{"settings":{"classes":[{"effect":"odd"}],"extra":{"class_floor":[1],"follow_up":[0],"incomplete_worth":[1],"need_by_class":[1]}}}`} {
		if _, err := ParseNode([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	path := filepath.Join(t.TempDir(), "c.json")
	os.WriteFile(path, []byte(text), 0o600)
	env := map[string]string{"NODE_CONFIG": path, "NODE_LISTEN": "127.0.0.1:9"}
	if n, err := LoadNode(func(k string) string { return env[k] }); err != nil || n.Listen != "127.0.0.1:9" || n.Discovery != "127.0.0.1:2" {
		t.Error(n, err)
	}
}
