package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"rooktrestle/balance"
)

// Duration is a time in the operator's file, as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads a Span.
func (s *Duration) UnmarshalText(text []byte) (err error) {
	if s.Duration, err = time.ParseDuration(string(text)); err == nil && s.Duration < 0 {
		err = errors.New("a time must not be negative")
	}
	return err
}

// Protocols that servers speak.
const (
	SRU   = "sru"
	Z3950 = "z3950"
)

// Partners is the operator's file of the second front.
type Partners struct {
	Name   string `toml:"name"`
	Listen struct {
		SRU    string `toml:"sru"`
		Z3950  string `toml:"z3950"`
		Health string `toml:"health"` // HTTP
		Agent  string `toml:"agent"`  // agent-check
		// AgentWait is how long an agent-check may take to name a database (agent-send) before it is answered for
		// the mixer as a whole; 0: none does.
		AgentWait Duration     `toml:"agent_wait"`
		Share     SocketShares `toml:"share"`
	} `toml:"listen"`
	Limits struct {
		MemoryMB   int      `toml:"memory_mb"`
		Sockets    int      `toml:"sockets"`
		MaxOpen    int      `toml:"max_open"`    // queries and parts held
		MaxRecords int      `toml:"max_records"` // of one part, and of one answer
		ResultSets int      `toml:"result_sets"` // of one association
		Attempts   int      `toml:"attempts"`    // of one part
		Connect    Duration `toml:"connect"`
		Idle       Duration `toml:"idle"` // servers close a connection left idle for so long
	} `toml:"limits"`
	Zone   int `toml:"zone"`
	Shards struct {
		Count int `toml:"count"`
		Cells int `toml:"cells"`
		Reach int `toml:"reach"` // cells in a row that hold a shard
	} `toml:"shards"`
	Instances     int            `toml:"mixers"`
	Classes       []Class        `toml:"class"`
	Tenants       []Tenant       `toml:"tenant"`
	Databases     []Database     `toml:"database"`
	Servers       []Server       `toml:"server"`
	ShardMap      ShardMapSource `toml:"blocks"`
	Checks        Checks         `toml:"checks"`
	CheckProfiles []CheckProfile `toml:"check"`
	HealthConfig  HealthRules    `toml:"health"`
}

// Class is a class of query.
type Class struct {
	Name            string   `toml:"name"`
	Objective       Duration `toml:"aim"`
	Deadline        Duration `toml:"deadline"`
	Weight          float64  `toml:"worth"`
	OverdueFraction float64  `toml:"late_worth"`
	NonIdempotent   bool     `toml:"unsafe"` // no part may run twice
	MinFraction     float64  `toml:"floor"`
	PartialFraction float64  `toml:"partial"`
	FollowUpParts   int      `toml:"second_step"`
}

// Tenant is a customer, known by the users that sign on or by the addresses they come from.
type Tenant struct {
	Name  string   `toml:"name"`
	Quota float64  `toml:"quota"`
	Users []string `toml:"users"`
}

// Database is what partners ask for by name.
type Database struct {
	Name            string `toml:"name"`
	Title           string `toml:"title"`
	Shards          []int  `toml:"shards"`
	SearchClass     string `toml:"search"`     // class
	CorrectionClass string `toml:"correction"` // class; empty: none are taken
	Tenant          string `toml:"tenant"`     // of those who do not say who they are
}

// Server is a replica.
type Server struct {
	ID       string   `toml:"id"`
	Protocol string   `toml:"protocol"`
	Addr     string   `toml:"addr"`
	Cell     int      `toml:"cell"`
	Zone     int      `toml:"zone"`
	Database string   `toml:"database"` // how it names a shard or block: %d stands for its number, %e for the epoch
	Agent    string   `toml:"agent"`    // agent-check address: the profile "agent"
	Health   string   `toml:"health"`   // path of an HTTP health check at its address: the profile "http"
	Checks   []string `toml:"checks"`   // profiles by name
}

// LoadPartners reads the operator's file. Its error is of type Problems: all that is wrong, each with its line.
func LoadPartners(path string) (*Partners, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Partners{}
	if err := decode(path, text, p); err != nil {
		return nil, err
	}
	p.defaults()
	c := &checker{file: path, at: locate(text)}
	p.check(c)
	if err := c.result(); err != nil {
		return nil, err
	}
	return p, nil
}

// or sets what is not given.
func or[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

func (p *Partners) defaults() {
	or(&p.Limits.MemoryMB, 192)
	or(&p.Limits.Sockets, 1024)
	or(&p.Limits.MaxOpen, 200)
	or(&p.Limits.MaxRecords, 100)
	or(&p.Limits.ResultSets, 16)
	or(&p.Limits.Attempts, 4)
	or(&p.Instances, 1)
	or(&p.Limits.Connect.Duration, 250*time.Millisecond)
	or(&p.Limits.Idle.Duration, 15*time.Second)
	for i := range p.Classes {
		or(&p.Classes[i].Weight, 1)
		or(&p.Classes[i].MinFraction, 1)
	}
	p.shareDefaults()
	p.checkDefaults()
	p.blockDefaults()
}

func (p *Partners) check(c *checker) {
	if p.Listen.SRU == "" && p.Listen.Z3950 == "" {
		c.bad("listen", "neither sru nor z3950 is listened to")
	}
	if !p.ShardMap.wanted() {
		c.least("shards.count", p.Shards.Count, 1)
		c.least("shards.cells", p.Shards.Cells, 1)
		c.least("shards.reach", p.Shards.Reach, 1)
	}
	p.checkBlocks(c)
	if p.Shards.Reach > p.Shards.Cells {
		c.bad("shards.reach", "reach must be at most cells: %d of %d", p.Shards.Reach, p.Shards.Cells)
	}
	for path, n := range map[string]int{"limits.max_open": p.Limits.MaxOpen, "limits.max_records": p.Limits.MaxRecords,
		"limits.sockets": p.Limits.Sockets, "limits.memory_mb": p.Limits.MemoryMB, "limits.attempts": p.Limits.Attempts,
		"limits.result_sets": p.Limits.ResultSets, "mixers": p.Instances} {
		c.least(path, n, 1)
	}
	p.checkClasses(c)
	p.checkDatabases(c)
	if len(p.Databases) == 0 || len(p.Servers) == 0 {
		c.bad("", "no database, or no server")
	}
	ids := map[string]bool{}
	for i, s := range p.Servers {
		at := fmt.Sprintf("server.%d", i)
		switch {
		case s.ID == "":
			c.bad(at, "a server without an id")
		case ids[s.ID]:
			c.bad(at+".id", "server %q stands twice", s.ID)
		}
		ids[s.ID] = true
		if _, _, err := net.SplitHostPort(s.Addr); err != nil {
			c.bad(at+".addr", "server %q: addr %q is not host:port", s.ID, s.Addr)
		}
		if s.Protocol != SRU && s.Protocol != Z3950 {
			c.bad(at+".protocol", "server %q: protocol %q is neither sru nor z3950", s.ID, s.Protocol)
		}
		if !p.ShardMap.wanted() && (s.Cell < 0 || s.Cell >= p.Shards.Cells) {
			c.bad(at+".cell", "server %q: cell %d is not there", s.ID, s.Cell)
		}
		if s.Database == "" {
			c.bad(at, "server %q: it needs database, how it names a shard", s.ID)
		}
	}
	p.checkShares(c)
	p.checkChecks(c)
	p.checkHealth(c)
}

func (p *Partners) checkClasses(c *checker) {
	names := map[string]bool{}
	for i, k := range p.Classes {
		at := fmt.Sprintf("class.%d", i)
		if k.Name == "" || names[k.Name] {
			c.bad(at, "class %q has no name, or stands twice", k.Name)
		}
		names[k.Name] = true
		if k.Objective.Duration <= 0 {
			c.bad(at+".aim", "class %q: aim must be over 0", k.Name)
		}
		if k.Deadline.Duration < k.Objective.Duration {
			c.bad(at+".deadline", "class %q: deadline %v is before aim %v", k.Name, k.Deadline.Duration, k.Objective.Duration)
		}
		if !(k.MinFraction > 0 && k.MinFraction <= 1) {
			c.bad(at+".floor", "class %q: floor must be over 0 and at most 1, not %v", k.Name, k.MinFraction)
		}
	}
	if len(p.Classes) == 0 || len(p.Classes) > 63 {
		c.bad("class", "1 to 63 classes, not %d", len(p.Classes))
	}
}

func (p *Partners) checkDatabases(c *checker) {
	for i, d := range p.Databases {
		at := fmt.Sprintf("database.%d", i)
		if k := p.ClassIndex(d.SearchClass); k < 0 {
			c.bad(at+".search", "database %s: class %q is not there", d.Name, d.SearchClass)
		}
		if d.CorrectionClass != "" {
			// A correction of another kind could be sent again after it may have run.
			if k := p.ClassIndex(d.CorrectionClass); k < 0 || !p.Classes[k].NonIdempotent {
				c.bad(at+".correction", "database %s: class %q of corrections is not there, or not unsafe", d.Name, d.CorrectionClass)
			}
		}
		if p.TenantIndex(d.Tenant) < 0 {
			c.bad(at+".tenant", "database %s: tenant %q is not there", d.Name, d.Tenant)
		}
		if d.Name == "" || len(d.Shards) == 0 && !p.ShardMap.wanted() {
			c.bad(at, "database %q: no name or no shards", d.Name)
		}
		if p.ShardMap.Enabled() {
			continue
		}
		for k, s := range d.Shards {
			if s < 0 || s >= p.Shards.Count || slices.Contains(d.Shards[:k], s) {
				c.bad(at+".shards", "database %s: shard %d is not there, or twice", d.Name, s)
			}
		}
	}
}

// ClassIndex is the index of a class by its name, or -1.
func (p *Partners) ClassIndex(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

// TenantIndex is the index of a tenant by its name, or -1.
func (p *Partners) TenantIndex(name string) int {
	return slices.IndexFunc(p.Tenants, func(t Tenant) bool { return t.Name == name })
}

// Decisions are the settings that the file stands for.
func (p *Partners) Decisions(seed uint64) balance.Settings {
	set := balance.Settings{
		Seed: seed, Instances: p.Instances, Tick: 5 * time.Millisecond, Zone: p.Zone,
		Cells: p.Shards.Cells, Reach: p.Shards.Reach, Shards: p.Shards.Count, MaxCallParts: 1,
		MaxAttempts: p.Limits.Attempts, CanCancel: true, MaxRetryAfter: 5 * time.Second, OverQuotaFactor: 1,
	}
	if p.ShardMap.Enabled() { // each part says who holds it
		set.Cells, set.Reach, set.Shards = 1, 1, 1
	}
	for _, c := range p.Classes {
		effect := balance.Idempotent
		if c.NonIdempotent {
			effect = balance.NonIdempotent
		}
		set.Classes = append(set.Classes, balance.Class{
			Objective: c.Objective.Duration, Deadline: c.Deadline.Duration, Weight: c.Weight, OverdueFraction: c.OverdueFraction, Idempotency: effect,
			MinFraction: c.MinFraction, CompleteFraction: 1, PartialFraction: c.PartialFraction, FollowUpParts: c.FollowUpParts,
		})
	}
	for _, t := range p.Tenants {
		set.Tenants = append(set.Tenants, balance.Tenant{Quota: t.Quota})
	}
	return set
}
