package deployment

import (
	"fmt"
	"strings"
	"time"
)

// withDefaults returns the options with defaults for the fields that are zero.
func (o Options) withDefaults() Options {
	if o.CheckInterval == 0 {
		o.CheckInterval = 200 * time.Millisecond
	}
	if o.MaxSockets == 0 {
		o.MaxSockets = 1024
	}
	if o.CheckTimeout == 0 {
		o.CheckTimeout = 500 * time.Millisecond
	}
	if o.MaxOpen == 0 {
		o.MaxOpen = 400
	}
	if o.DeadlineFactor == 0 {
		o.DeadlineFactor = 1
	}
	return o
}

// shardSizes returns the number of shards that the databases search, and the number of cells of the servers.
func (o Options) shardSizes() (shards, cells int) {
	if o.CheckedOnlyCount > 0 {
		return o.Replicas - o.Reach + 1, o.Replicas + o.CheckedOnlyCount
	}
	return o.Replicas, o.Replicas
}

// config returns the text of the operators' file.
func (d *Deployment) config(options Options) string {
	options = options.withDefaults()
	var b strings.Builder
	writeLimits(&b, options)
	b.WriteString(ClassConfig(options.DeadlineFactor, ""))
	writeDatabases(&b, options)
	b.WriteString(options.ExtraConfig)
	d.writeServers(&b, options)
	return b.String()
}

// write writes to a builder; writes to a strings.Builder never fail.
func write(b *strings.Builder, format string, args ...any) { _, _ = fmt.Fprintf(b, format, args...) }

// writeLimits writes the name, the listeners, the limits, the settings of health checks and the ring of shards.
func writeLimits(b *strings.Builder, options Options) {
	servers := float64(options.Replicas + options.CheckedOnlyCount)
	checksPerSecond := 100 + int(4*servers/options.CheckInterval.Seconds())
	checksAtOnce := min(options.MaxSockets/4, 64+options.CheckedOnlyCount/4)
	shards, cells := options.shardSizes()
	connect := ""
	if options.ConnectTimeout > 0 {
		connect = fmt.Sprintf("connect = %q\n", options.ConnectTimeout)
	}
	write(b, `# Written by testbed for %d stand-in replicas.
name = "lab"
%s[limits]
sockets = %d
max_open = %d
%s[checks]
every = %q
per_second = %d
at_once = %d
timeout = %q
fall = 2
rise = 1
[shards]
count = %d
cells = %d
reach = %d
`,
		options.Replicas,
		ListenConfig,
		options.MaxSockets,
		options.MaxOpen,
		connect,
		options.CheckInterval,
		checksPerSecond,
		checksAtOnce,
		options.CheckTimeout,
		shards,
		cells,
		options.Reach)
}

// ListenConfig is the table of the operators' file with the listeners, each on a free port of loopback.
const ListenConfig = `[listen]
sru = "127.0.0.1:0"
z3950 = "127.0.0.1:0"
health = "127.0.0.1:0"
agent = "127.0.0.1:0"
`

// ClassConfig returns the tables of the operators' file for the three classes: line-search, coverage-report and
// line-correction. Objectives and deadlines are multiplied by factor; searchConfig has further keys of line-search.
func ClassConfig(factor int, searchConfig string) string {
	var b strings.Builder
	for _, class := range []struct {
		name      string
		objective time.Duration
		deadline  time.Duration
		extra     string
	}{
		{
			name:      "line-search",
			objective: 1500 * time.Millisecond,
			deadline:  4 * time.Second,
			extra:     "late_worth = 0.3\n" + searchConfig,
		},
		{
			name:      "coverage-report",
			objective: 1200 * time.Millisecond,
			deadline:  2 * time.Second,
			extra:     "late_worth = 0.1\nfloor = 0.5\npartial = 0.8",
		},
		{
			name:      "line-correction",
			objective: time.Second,
			deadline:  2 * time.Second,
			extra:     "late_worth = 0.3\nunsafe = true",
		},
	} {
		objective := time.Duration(factor) * class.objective
		deadline := time.Duration(factor) * class.deadline
		write(&b, "[[class]]\nname = %q\naim = %q\ndeadline = %q\n%s\n", class.name, objective, deadline, class.extra)
	}
	return b.String()
}

// writeDatabases writes the tenant, two databases of all searched shards, and the health checks of both protocols.
func writeDatabases(b *strings.Builder, options Options) {
	var list []string
	shards, _ := options.shardSizes()
	for i := range shards {
		list = append(list, fmt.Sprint(i))
	}
	all := strings.Join(list, ", ")
	write(b, `[[tenant]]
name = "tv"
quota = 100000
users = ["editor"]
[[database]]
name = "captions"
shards = [%s]
search = "line-search"
correction = "line-correction"
tenant = "tv"
[[database]]
name = "coverage"
shards = [%s]
search = "coverage-report"
tenant = "tv"
[[check]]
name = "healthz"
kind = "http"
path = "/healthz"
[[check]]
name = "init"
kind = "z3950"
`, all, all)
}

// writeServers writes the replicas, followed by the servers that are only checked.
func (d *Deployment) writeServers(b *strings.Builder, options Options) {
	checks := map[string]string{"sru": "healthz", "z3950": "init"} // by protocol
	for i, server := range d.Replicas {
		write(b, `[[server]]
id = %q
protocol = %q
addr = %q
cell = %d
zone = %d
database = "block-%%d"
checks = [%q]
`, server.Name, server.Protocol, server.Addr(), i, i%2, checks[server.Protocol])
		if options.Agents {
			write(b, "agent = %q\n", d.Agents[i].Addr())
		}
		if options.ServerConfig != nil {
			b.WriteString(options.ServerConfig(i))
		}
	}
	for i := range options.CheckedOnlyCount {
		write(b, `[[server]]
id = "other-%d"
protocol = "sru"
addr = %q
cell = %d
database = "block-%%d"
checks = ["healthz"]
`, i, options.CheckedOnlyAddr(i), options.Replicas+i)
	}
}
