package resharding

import (
	"fmt"
	"path/filepath"
	"strings"
)

// frontendConfig is the operators' file of frontend i.
func (a *Archive) frontendConfig(i int, source string) string {
	var b strings.Builder
	write(&b, `name = "front%d"
[listen]
sru = "127.0.0.1:0"
z3950 = "127.0.0.1:0"
health = "127.0.0.1:0"
agent = "127.0.0.1:0"
[limits]
sockets = 2048
max_open = 4000
max_records = 2000
[checks]
every = "500ms"
[blocks]
archive = "captions"
source = %q
wait = "2s"
cold = "2s"
`, i, source)
	if a.PersistMaps {
		write(&b, "keep = %q\n", filepath.Join(a.Dir, fmt.Sprintf("kept%d", i)))
	}
	a.writeClasses(&b)
	a.writeServers(&b)
	return b.String()
}

// write writes to a builder, which does not fail.
func write(b *strings.Builder, format string, args ...any) { _, _ = fmt.Fprintf(b, format, args...) }

// writeClasses writes the classes, the tenant and the databases.
func (a *Archive) writeClasses(b *strings.Builder) {
	write(b, `[[class]]
name = "line-search"
aim = "1.5s"
deadline = "4s"
late_worth = 0.3
%s
[[class]]
name = "coverage-report"
aim = "1.2s"
deadline = "2s"
late_worth = 0.1
floor = 0.5
partial = 0.8
[[class]]
name = "line-correction"
aim = "1s"
deadline = "2s"
late_worth = 0.3
unsafe = true
[[tenant]]
name = "tv"
quota = 100000
users = ["editor"]
[[database]]
name = "captions"
search = "line-search"
correction = "line-correction"
tenant = "tv"
[[database]]
name = "coverage"
search = "coverage-report"
tenant = "tv"
`, a.ExtraClassConfig)
}

func (a *Archive) writeServers(b *strings.Builder) {
	for _, n := range a.Replicas {
		write(b, "[[server]]\nid = %q\nprotocol = %q\naddr = %q\ndatabase = \"block-%%d@%%e\"\n", n.Name, n.Protocol, n.Addr())
	}
}
