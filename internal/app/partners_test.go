package app

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"rooktrestle/internal/config"
)

// partnersFile returns an operator's file with one server and every listener. shards is the table that assigns shards
// to servers, and database the corresponding key of the database.
func partnersFile(serverAddr, shards, database string) string {
	return fmt.Sprintf(`name = "test"
[listen]
sru = "127.0.0.1:0"
z3950 = "127.0.0.1:0"
health = "127.0.0.1:0"
agent = "127.0.0.1:0"
%s
[checks]
every = "20ms"
[[class]]
name = "search"
aim = "1s"
deadline = "2s"
[[tenant]]
name = "tv"
quota = 100
[[database]]
name = "captions"
%s
search = "search"
tenant = "tv"
[[server]]
id = "a"
protocol = "sru"
addr = %q
database = "block-%%d"
`, shards, database, serverAddr)
}

const fixedShards = "[shards]\ncount = 1\ncells = 1\nreach = 1"

// Stopping a deployment that has served a request and started a health check leaks no goroutine.
func TestPartnersDeployment_Stop_LeavesNoGoroutine(t *testing.T) {
	shardMap := "[blocks]\narchive = \"captions\"\nkeep = %q\n"
	for _, c := range []struct{ name, shards, database string }{
		{"shards fixed by cells", fixedShards, "shards = [0]"},
		{"shard map from a file", shardMap + `file = "/nonexistent/map.json"`, ""},
		{"shard map from a source that refuses connections", shardMap + `source = "127.0.0.1:1"`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			ignoreRunning := goleak.IgnoreCurrent()
			dir := t.TempDir()
			shards := strings.Replace(c.shards, "%q", strconv.Quote(filepath.Join(dir, "cache")), 1)
			startAndStop(t, filepath.Join(dir, "partners.toml"), shards, c.database)
			goleak.VerifyNone(t, ignoreRunning)
		})
	}
}

// startAndStop runs a deployment until it has answered a request and started a health check, and stops it.
func startAndStop(t *testing.T, path, shards, database string) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }() // nothing was written to it
	text := partnersFile(server.Addr().String(), shards, database)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	conf, err := config.LoadPartners(path)
	if err != nil {
		t.Fatal(err)
	}
	deployment, err := StartPartners(conf, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Get("http://" + deployment.Addr("health") + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	checked, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = checked.Close() }() // nothing was written to it
	client.CloseIdleConnections()
	deployment.Stop(0)
}
