package resharding

import (
	"fmt"
	"path/filepath"
	"strings"

	"rooktrestle/internal/testbed/deployment"
)

// frontendConfig returns the operators' file of the frontend with an index; source is the address of its map source.
func (a *Archive) frontendConfig(index int, source string) string {
	var b strings.Builder
	write(&b, `name = "front%d"
%s[limits]
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
`, index, deployment.ListenConfig, source)
	if a.PersistMaps {
		write(&b, "keep = %q\n", filepath.Join(a.Dir, fmt.Sprintf("kept%d", index)))
	}
	b.WriteString(deployment.ClassConfig(1, a.ExtraClassConfig))
	writeDatabases(&b)
	a.writeServers(&b)
	return b.String()
}

// write writes to a builder; writes to a strings.Builder never fail.
func write(b *strings.Builder, format string, args ...any) { _, _ = fmt.Fprintf(b, format, args...) }

// writeDatabases writes the tenant and the databases.
func writeDatabases(b *strings.Builder) {
	write(b, `[[tenant]]
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
`)
}

func (a *Archive) writeServers(b *strings.Builder) {
	for _, server := range a.Replicas {
		write(b, `[[server]]
id = %q
protocol = %q
addr = %q
database = "block-%%d@%%e"
`, server.Name, server.Protocol, server.Addr())
	}
}
