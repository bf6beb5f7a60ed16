package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"rooktrestle/balance"
)

// Span is a time in the operator's file, as "1.5s".
type Span struct{ time.Duration }

// UnmarshalText reads a Span.
func (s *Span) UnmarshalText(text []byte) (err error) {
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
	} `toml:"listen"`
	Limits struct {
		MemoryMB   int  `toml:"memory_mb"`
		Sockets    int  `toml:"sockets"`
		MaxOpen    int  `toml:"max_open"`    // queries and parts held
		MaxRecords int  `toml:"max_records"` // of one part, and of one answer
		ResultSets int  `toml:"result_sets"` // of one association
		Attempts   int  `toml:"attempts"`    // of one part
		Connect    Span `toml:"connect"`
		Idle       Span `toml:"idle"` // servers close a connection left idle for so long
	} `toml:"limits"`
	Zone   int `toml:"zone"`
	Shards struct {
		Count int `toml:"count"`
		Cells int `toml:"cells"`
		Reach int `toml:"reach"` // cells in a row that hold a shard
	} `toml:"shards"`
	Mixers    int             `toml:"mixers"`
	Classes   []PartnerClass  `toml:"class"`
	Tenants   []PartnerTenant `toml:"tenant"`
	Databases []Database      `toml:"database"`
	Servers   []PartnerServer `toml:"server"`
	Checks    struct {
		Every   Span `toml:"every"`
		Timeout Span `toml:"timeout"`
		Fall    int  `toml:"fall"` // failed checks that make a server down
		Rise    int  `toml:"rise"` // good ones that bring it back
	} `toml:"checks"`
}

// PartnerClass is a class of query.
type PartnerClass struct {
	Name       string  `toml:"name"`
	Aim        Span    `toml:"aim"`
	Deadline   Span    `toml:"deadline"`
	Worth      float64 `toml:"worth"`
	LateWorth  float64 `toml:"late_worth"`
	Unsafe     bool    `toml:"unsafe"` // no part may run twice
	Floor      float64 `toml:"floor"`
	Partial    float64 `toml:"partial"`
	SecondStep int     `toml:"second_step"`
}

// PartnerTenant is a customer, known by the users that sign on or by the addresses they come from.
type PartnerTenant struct {
	Name  string   `toml:"name"`
	Quota float64  `toml:"quota"`
	Users []string `toml:"users"`
}

// Database is what partners ask for by name.
type Database struct {
	Name       string `toml:"name"`
	Title      string `toml:"title"`
	Shards     []int  `toml:"shards"`
	Search     string `toml:"search"`     // class
	Correction string `toml:"correction"` // class; empty: none are taken
	Tenant     string `toml:"tenant"`     // of those who do not say who they are
}

// PartnerServer is a replica.
type PartnerServer struct {
	ID       string `toml:"id"`
	Protocol string `toml:"protocol"`
	Addr     string `toml:"addr"`
	Cell     int    `toml:"cell"`
	Zone     int    `toml:"zone"`
	Database string `toml:"database"` // how it names a shard: %d stands for its number
	Agent    string `toml:"agent"`    // agent-check address, or
	Health   string `toml:"health"`   // path of an HTTP health check at its address
}

// LoadPartners reads the operator's file.
func LoadPartners(path string) (*Partners, error) {
	p := &Partners{}
	meta, err := toml.DecodeFile(path, p)
	if err == nil && len(meta.Undecoded()) > 0 {
		err = fmt.Errorf("unknown key %s", meta.Undecoded()[0])
	}
	if err == nil {
		p.defaults()
		err = p.check()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

func (p *Partners) defaults() {
	set := func(n *int, to int) {
		if *n == 0 {
			*n = to
		}
	}
	span := func(s *Span, to time.Duration) {
		if s.Duration == 0 {
			s.Duration = to
		}
	}
	set(&p.Limits.MemoryMB, 192)
	set(&p.Limits.Sockets, 1024)
	set(&p.Limits.MaxOpen, 200)
	set(&p.Limits.MaxRecords, 100)
	set(&p.Limits.ResultSets, 16)
	set(&p.Limits.Attempts, 4)
	set(&p.Mixers, 1)
	set(&p.Checks.Fall, 2)
	set(&p.Checks.Rise, 1)
	span(&p.Limits.Connect, 250*time.Millisecond)
	span(&p.Limits.Idle, 15*time.Second)
	span(&p.Checks.Every, 2*time.Second)
	span(&p.Checks.Timeout, time.Second)
	for i := range p.Classes {
		if c := &p.Classes[i]; c.Worth == 0 {
			c.Worth = 1
		}
		if c := &p.Classes[i]; c.Floor == 0 {
			c.Floor = 1
		}
	}
}

func (p *Partners) check() error {
	if p.Listen.SRU == "" && p.Listen.Z3950 == "" {
		return errors.New("listen: neither sru nor z3950")
	}
	if p.Shards.Count < 1 || p.Shards.Cells < 1 || p.Shards.Reach < 1 || p.Shards.Reach > p.Shards.Cells {
		return errors.New("shards: count, cells and reach must be at least 1, and reach at most cells")
	}
	for name, n := range map[string]int{"max_open": p.Limits.MaxOpen, "max_records": p.Limits.MaxRecords,
		"sockets": p.Limits.Sockets, "memory_mb": p.Limits.MemoryMB, "attempts": p.Limits.Attempts} {
		if n < 1 {
			return fmt.Errorf("limits: %s must be at least 1", name)
		}
	}
	if len(p.Databases) == 0 || len(p.Servers) == 0 {
		return errors.New("no database, or no server")
	}
	for _, d := range p.Databases {
		if c := p.Class(d.Search); c < 0 {
			return fmt.Errorf("database %s: class %q is not there", d.Name, d.Search)
		}
		if d.Correction != "" {
			// A correction of another kind could be sent again after it may have run.
			if c := p.Class(d.Correction); c < 0 || !p.Classes[c].Unsafe {
				return fmt.Errorf("database %s: class %q of corrections is not there, or not unsafe", d.Name, d.Correction)
			}
		}
		if p.Tenant(d.Tenant) < 0 {
			return fmt.Errorf("database %s: tenant %q is not there", d.Name, d.Tenant)
		}
		if len(d.Shards) == 0 || d.Name == "" {
			return fmt.Errorf("database %q: no name or no shards", d.Name)
		}
		for i, s := range d.Shards {
			if s < 0 || s >= p.Shards.Count || slices.Contains(d.Shards[:i], s) {
				return fmt.Errorf("database %s: shard %d is not there, or twice", d.Name, s)
			}
		}
	}
	ids := map[string]bool{}
	for _, s := range p.Servers {
		if s.ID == "" || s.Addr == "" || ids[s.ID] || s.Protocol != SRU && s.Protocol != Z3950 ||
			s.Cell < 0 || s.Cell >= p.Shards.Cells || s.Database == "" {
			return fmt.Errorf("server %q: it needs an id of its own, addr, protocol sru or z3950, a cell and database", s.ID)
		}
		ids[s.ID] = true
	}
	return nil
}

// Class is the index of a class by its name, or -1.
func (p *Partners) Class(name string) int {
	return slices.IndexFunc(p.Classes, func(c PartnerClass) bool { return c.Name == name })
}

// Tenant is the index of a tenant by its name, or -1.
func (p *Partners) Tenant(name string) int {
	return slices.IndexFunc(p.Tenants, func(t PartnerTenant) bool { return t.Name == name })
}

// Decisions are the settings that the file stands for.
func (p *Partners) Decisions(seed uint64) balance.Settings {
	set := balance.Settings{
		Seed: seed, Instances: p.Mixers, Tick: 5 * time.Millisecond, Zone: p.Zone,
		Cells: p.Shards.Cells, Reach: p.Shards.Reach, Shards: p.Shards.Count, CallParts: 1,
		MaxAttempts: p.Limits.Attempts, CanCancel: true, MaxRetryAfter: 5 * time.Second, OverShareWorth: 1,
	}
	for _, c := range p.Classes {
		effect := balance.Safe
		if c.Unsafe {
			effect = balance.Unsafe
		}
		set.Classes = append(set.Classes, balance.Class{
			Aim: c.Aim.Duration, Deadline: c.Deadline.Duration, Worth: c.Worth, LateWorth: c.LateWorth, Effect: effect,
			Floor: c.Floor, Need: 1, Partial: c.Partial, FollowUp: c.SecondStep,
		})
	}
	for _, t := range p.Tenants {
		set.Tenants = append(set.Tenants, balance.Tenant{Quota: t.Quota})
	}
	return set
}
