package config

import (
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
	c := set.Classes[p.Class("line-correction")]
	if c.Effect != balance.Unsafe || c.Deadline != 3*time.Second || set.Tenants[p.Tenant("national-tv")].Quota != 9 {
		t.Errorf("%+v", set)
	}
}

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
		{`deadline = "7.5s"`, `deadline = "-1s"`, "negative"},
		{`max_open = 115`, `max_open = -1`, "max_open"},
	} {
		if !strings.Contains(string(good), c.old) {
			t.Fatalf("%q is not in the example", c.old)
		}
		path := filepath.Join(t.TempDir(), "f.toml")
		os.WriteFile(path, []byte(strings.Replace(string(good), c.old, c.new, 1)), 0o600)
		if _, err := LoadPartners(path); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
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
		d.ConnIdle != 15*time.Second || d.Decisions.CallParts != 3 {
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
