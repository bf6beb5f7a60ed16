package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const mapText = `{"archive":"captions","epoch":7,"next_id":4,"blocks":[
{"id":1,"from":"","to":"g@2000","state":"serving","holders":[{"server":"a"},{"server":"b"}]},
{"id":2,"from":"g@2000","to":"p@2000","state":"serving","weight":3,"holders":[{"server":"a"},{"server":"b"}]},
{"id":3,"from":"p@2000","to":"","state":"serving","holders":[{"server":"b"},{"server":"c"}]}]}`

// Maps are validated, printed and compared. Plans are printed with their waits and the reasons, and their maps are
// written.
func TestBlocksCommand(t *testing.T) {
	dir := t.TempDir()
	now := filepath.Join(dir, "7.json")
	writeFile(t, now, mapText)
	expect := func(status int, parts string, args ...string) {
		t.Helper()
		got, out, errs := runProgram(t, append([]string{"blocks"}, args...)...)
		if got != status {
			t.Errorf("%v: status %d: %s%s", args, got, out, errs)
		}
		for _, part := range strings.Split(parts, "|") {
			if !strings.Contains(out+errs, part) {
				t.Errorf("%v: %q is not in %s%s", args, part, out, errs)
			}
		}
	}
	expect(0, "epoch 7: 3 blocks", "check", now)
	expect(0, "[g@2000, p@2000)|[p@2000, +inf)", "show", now)
	expect(0, "2  ", "show", now, "--key", "news@2019:44")
	expect(0, `"id": 3`, "show", now, "--key", "z@2019", "--json")
	steps := filepath.Join(dir, "%d.json")
	expect(0, "epoch 8: block 2 is moving; c join|until every joining server has all|epoch 9|"+
		"epoch 10: block 2 is held by [b c]|wait 10s",
		"plan", "move", "2", "b", "c", "--map", now, "--write", steps)
	expect(0, "~ block 2 [g@2000, p@2000), from serving to moving, joins: c", "diff", now, filepath.Join(dir, "8.json"))
	expect(0, "epoch 9: 3 blocks", "check", filepath.Join(dir, "9.json"), "--after", filepath.Join(dir, "8.json"))
	expect(1, "an older epoch", "check", now, "--after", filepath.Join(dir, "8.json"))
	expect(0, "blocks 4 to 5 take its place|wait 18s", "plan", "split", "2", "k@2000", "--map", now)
	expect(0, "block 4 takes their place", "plan", "merge", "1", "2", "--map", now)
	expect(1, "other holders", "plan", "merge", "2", "3", "--map", now)
	expect(1, `key "z@2000" does not lie inside the range [g@2000, p@2000)`, "plan", "split", "2", "z@2000", "--map", now)
	bad := filepath.Join(dir, "bad.json")
	writeFile(t, bad, strings.Replace(mapText, `"to":"g@2000"`, `"to":"f@2000"`, 1))
	expect(2, `keys from "f@2000" to "g@2000" are in no block`, "check", bad)
	expect(2, "not a map", "show", os.Args[0])
	forked := filepath.Join(dir, "forked.json")
	writeFile(t, forked, strings.Replace(mapText, `"weight":3`, `"weight":4`, 1))
	expect(1, "the map differs from another map of the same epoch|weight 3 to 4", "diff", now, forked)
}

// On SIGHUP the map's file is read at once, whatever the poll interval; an older map is rejected.
func TestPartners_SIGHUP_ReadsTheShardMap(t *testing.T) {
	dir := t.TempDir()
	file, conf := filepath.Join(dir, "map.json"), filepath.Join(dir, "front.toml")
	good, err := os.ReadFile("../../deploy/blocks.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(good)
	for _, c := range []struct{ old, new string }{
		{`source = "127.0.0.1:8600" `, "file = \"" + file + "\"\nevery = \"1h\" #"},
		{`keep = "/tmp/rooktrestle-blocks"`, `#`},
		{`"127.0.0.1:8210"`, `"127.0.0.1:0"`},
		{`"127.0.0.1:2100"`, `"127.0.0.1:0"`},
		{`"127.0.0.1:8211"`, `"127.0.0.1:0"`},
		{`"127.0.0.1:8212"`, `"127.0.0.1:0"`},
	} {
		if !strings.Contains(text, c.old) {
			t.Fatalf("%q is not in the example", c.old)
		}
		text = strings.Replace(text, c.old, c.new, 1)
	}
	writeFile(t, conf, text)
	writeFile(t, file, mapText)
	p := start(t, 4, nil, "serve", "--front", conf)
	awaitMetrics := func(part string) {
		t.Helper()
		for range 3000 {
			if _, text := p.get("http://" + p.listen["health"] + "/metrics"); strings.Contains(text, part) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%q does not appear in the metrics", part)
	}
	awaitMetrics("map: epoch 7")
	writeFile(t, file, strings.Replace(mapText, `"epoch":7`, `"epoch":8`, 1))
	p.signal(syscall.SIGHUP)
	awaitMetrics("map: epoch 8")
	writeFile(t, file, mapText)
	p.signal(syscall.SIGHUP)
	awaitMetrics("older 1")
	awaitMetrics("map: epoch 8")
	p.stop()
}
