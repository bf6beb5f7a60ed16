package config

import (
	"errors"
	"os"
	"slices"
	"time"

	"rooktrestle/balance"
)

// Duration is a non-negative duration in the operator's file, such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalText parses a Duration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	if d.Duration, err = time.ParseDuration(string(text)); err == nil && d.Duration < 0 {
		err = errors.New("a duration must not be negative")
	}
	return err
}

// Protocols of servers.
const (
	SRU   = "sru"
	Z3950 = "z3950"
)

// Partners is the operator's file for an aggregator that serves SRU and Z39.50. LoadPartners returns it validated and
// with all defaults set; it must not be modified after that.
type Partners struct {
	Name          string         `toml:"name"`
	Listen        Listen         `toml:"listen"`
	Limits        Limits         `toml:"limits"`
	Zone          int            `toml:"zone"` // of the aggregator itself
	Shards        Ring           `toml:"shards"`
	Instances     int            `toml:"mixers"` // aggregators that share the tenants' quotas
	Classes       []Class        `toml:"class"`
	Tenants       []Tenant       `toml:"tenant"`
	Databases     []Database     `toml:"database"`
	Servers       []Server       `toml:"server"`
	ShardMap      ShardMapSource `toml:"blocks"`
	Checks        Checks         `toml:"checks"`
	CheckProfiles []CheckProfile `toml:"check"`
	HealthConfig  HealthRules    `toml:"health"`

	// StateDir is the directory where a process leaves what its successor has to know; empty: none. It is not a key of
	// the file.
	StateDir string `toml:"-"`
}

// Listen has the addresses of the listeners (host:port; empty: disabled) and their limits of sockets.
type Listen struct {
	SRU    string `toml:"sru"`
	Z3950  string `toml:"z3950"`
	Health string `toml:"health"` // HTTP
	Agent  string `toml:"agent"`  // agent-check
	// AgentWait is how long an agent-check may take to name a database (agent-send) before the answer is for the
	// aggregator as a whole; 0: agent-checks cannot name a database.
	AgentWait    Duration     `toml:"agent_wait"`
	SocketLimits SocketLimits `toml:"share"`
}

// Limits are the limits of an aggregator.
type Limits struct {
	MemoryMB   int      `toml:"memory_mb"`
	Sockets    int      `toml:"sockets"`
	MaxOpen    int      `toml:"max_open"`    // limit of open queries, and of parts in flight
	MaxRecords int      `toml:"max_records"` // of one part, and of one answer
	ResultSets int      `toml:"result_sets"` // of one Z39.50 association
	Attempts   int      `toml:"attempts"`    // of one part
	Connect    Duration `toml:"connect"`     // timeout of a connection to a server
	Idle       Duration `toml:"idle"`        // servers close a connection that has been idle for so long
}

// Ring assigns shards to cells if there is no shard map: the replicas of shard s are the servers of the cells s to
// s+Reach-1, modulo Cells.
type Ring struct {
	Count int `toml:"count"` // number of shards
	Cells int `toml:"cells"`
	Reach int `toml:"reach"` // number of consecutive cells with replicas of a shard
}

// Class is a class of queries.
type Class struct {
	Name            string   `toml:"name"`
	Objective       Duration `toml:"aim"` // latency objective
	Deadline        Duration `toml:"deadline"`
	Weight          float64  `toml:"worth"`      // priority weight of an answer within the objective
	OverdueFraction float64  `toml:"late_worth"` // of the weight, for an answer after the objective
	NonIdempotent   bool     `toml:"unsafe"`     // no part may run twice
	MinFraction     float64  `toml:"floor"`      // of the parts, for any answer
	PartialFraction float64  `toml:"partial"`    // of the weight, for a partial answer; scaled by its share of parts
	FollowUpParts   int      `toml:"second_step"`
}

// Tenant is a customer, identified by the user who signs on, or otherwise by the database used.
type Tenant struct {
	Name  string   `toml:"name"`
	Quota float64  `toml:"quota"` // queries per second
	Users []string `toml:"users"`
}

// Database is a named set of shards that clients search.
type Database struct {
	Name            string `toml:"name"`
	Title           string `toml:"title"`
	Shards          []int  `toml:"shards"`
	SearchClass     string `toml:"search"`
	CorrectionClass string `toml:"correction"` // empty: corrections are rejected
	Tenant          string `toml:"tenant"`     // of users who do not sign on
}

// Server is a replica.
type Server struct {
	ID       string   `toml:"id"`
	Protocol string   `toml:"protocol"` // SRU or Z3950
	Addr     string   `toml:"addr"`
	Cell     int      `toml:"cell"`
	Zone     int      `toml:"zone"`
	Database string   `toml:"database"` // the server's name for a shard: %d is its number, %e the epoch
	Agent    string   `toml:"agent"`    // agent-check address: implies the profile "agent ADDRESS"
	Health   string   `toml:"health"`   // path of an HTTP check at Addr: implies the profile "http PATH"
	Checks   []string `toml:"checks"`   // names of check profiles
}

// LoadPartners reads the operator's file, sets its defaults and validates it. If the file can be read but is invalid,
// the error is of type Problems and has every problem with its line.
func LoadPartners(path string) (*Partners, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Partners{}
	if err := decode(path, text, p); err != nil {
		return nil, err
	}
	p.setDefaults()
	v := &validator{file: path, lines: locateKeys(text)}
	p.validate(v)
	if err := v.err(); err != nil {
		return nil, err
	}
	return p, nil
}

// setDefault sets a value that is zero, that is, not set in the file.
func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (p *Partners) setDefaults() {
	setDefault(&p.Limits.MemoryMB, 192)
	setDefault(&p.Limits.Sockets, 1024)
	setDefault(&p.Limits.MaxOpen, 200)
	setDefault(&p.Limits.MaxRecords, 100)
	setDefault(&p.Limits.ResultSets, 16)
	setDefault(&p.Limits.Attempts, 4)
	setDefault(&p.Instances, 1)
	setDefault(&p.Limits.Connect.Duration, 250*time.Millisecond)
	setDefault(&p.Limits.Idle.Duration, 15*time.Second)
	for i := range p.Classes {
		setDefault(&p.Classes[i].Weight, 1)
		setDefault(&p.Classes[i].MinFraction, 1)
	}
	p.setSocketDefaults()
	p.setCheckDefaults()
	p.setShardMapDefaults()
}

// ClassIndex returns the index of the class with a name, or -1.
func (p *Partners) ClassIndex(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

// TenantIndex returns the index of the tenant with a name, or -1.
func (p *Partners) TenantIndex(name string) int {
	return slices.IndexFunc(p.Tenants, func(t Tenant) bool { return t.Name == name })
}

// BalancerSettings derives the balancer's settings from the file. seed seeds its random choices.
func (p *Partners) BalancerSettings(seed uint64) balance.Settings {
	settings := balance.Settings{
		Seed:            seed,
		Instances:       p.Instances,
		Tick:            5 * time.Millisecond,
		Zone:            p.Zone,
		Cells:           p.Shards.Cells,
		Reach:           p.Shards.Reach,
		Shards:          p.Shards.Count,
		MaxCallParts:    1,
		MaxAttempts:     p.Limits.Attempts,
		CanCancel:       true,
		MaxRetryAfter:   5 * time.Second,
		OverQuotaFactor: 1,
	}
	if p.ShardMap.Enabled() { // the ring is unused, as each part lists the replicas of its shard
		settings.Cells, settings.Reach, settings.Shards = 1, 1, 1
	}
	for _, class := range p.Classes {
		idempotency := balance.Idempotent
		if class.NonIdempotent {
			idempotency = balance.NonIdempotent
		}
		settings.Classes = append(settings.Classes, balance.Class{
			Objective:        class.Objective.Duration,
			Deadline:         class.Deadline.Duration,
			Weight:           class.Weight,
			OverdueFraction:  class.OverdueFraction,
			Idempotency:      idempotency,
			MinFraction:      class.MinFraction,
			CompleteFraction: 1,
			PartialFraction:  class.PartialFraction,
			FollowUpParts:    class.FollowUpParts,
		})
	}
	for _, tenant := range p.Tenants {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Quota: tenant.Quota})
	}
	return settings
}
