package config

import (
	"fmt"
	"net"
	"slices"
)

// validate reports every problem of a file. A problem that involves several keys is reported at the line of one of
// them.
func (p *Partners) validate(problems *validator) {
	if p.Listen.SRU == "" && p.Listen.Z3950 == "" {
		problems.addf("listen", "at least one of listen.sru and listen.z3950 must be set")
	}
	p.validateShards(problems)
	p.validateLimits(problems)
	p.validateClasses(problems)
	p.validateDatabases(problems)
	if len(p.Databases) == 0 || len(p.Servers) == 0 {
		problems.addf("", "at least one database and one server are required")
	}
	p.validateServers(problems)
	p.validateListeners(problems)
	p.validateChecks(problems)
	p.validateHealthRules(problems)
}

func (p *Partners) validateShards(problems *validator) {
	if !p.ShardMap.configured() {
		problems.requireMin("shards.count", p.Shards.Count, 1)
		problems.requireMin("shards.cells", p.Shards.Cells, 1)
		problems.requireMin("shards.reach", p.Shards.Reach, 1)
	}
	p.validateShardMap(problems)
	if p.Shards.Reach > p.Shards.Cells {
		problems.addf("shards.reach", "reach %d must be at most cells %d", p.Shards.Reach, p.Shards.Cells)
	}
}

func (p *Partners) validateLimits(problems *validator) {
	problems.requireMin("limits.max_open", p.Limits.MaxOpen, 1)
	problems.requireMin("limits.max_records", p.Limits.MaxRecords, 1)
	problems.requireMin("limits.sockets", p.Limits.Sockets, 1)
	problems.requireMin("limits.memory_mb", p.Limits.MemoryMB, 1)
	problems.requireMin("limits.attempts", p.Limits.Attempts, 1)
	problems.requireMin("limits.result_sets", p.Limits.ResultSets, 1)
	problems.requireMin("mixers", p.Instances, 1)
}

func (p *Partners) validateClasses(problems *validator) {
	names := map[string]bool{}
	for i, class := range p.Classes {
		path := fmt.Sprintf("class.%d", i)
		if class.Name == "" || names[class.Name] {
			problems.addf(path, "class %q: the name is missing or used twice", class.Name)
		}
		names[class.Name] = true
		if class.Objective.Duration <= 0 {
			problems.addf(path+".aim", "class %q: aim must be over 0", class.Name)
		}
		if class.Deadline.Duration < class.Objective.Duration {
			problems.addf(path+".deadline", "class %q: deadline %v is before aim %v",
				class.Name, class.Deadline.Duration, class.Objective.Duration)
		}
		if !(class.MinFraction > 0 && class.MinFraction <= 1) { // negated so that NaN is rejected, too
			problems.addf(path+".floor", "class %q: floor must be over 0 and at most 1, not %v",
				class.Name, class.MinFraction)
		}
	}
	if len(p.Classes) == 0 || len(p.Classes) > maxClasses {
		problems.addf("class", "the number of classes must be 1 to 63, not %d", len(p.Classes))
	}
}

func (p *Partners) validateDatabases(problems *validator) {
	for i, database := range p.Databases {
		path := fmt.Sprintf("database.%d", i)
		if p.ClassIndex(database.SearchClass) < 0 {
			problems.addf(path+".search", "database %s: search class %q is not defined",
				database.Name, database.SearchClass)
		}
		if database.CorrectionClass != "" {
			// A correction of an idempotent class could be retried although it may have run.
			if class := p.ClassIndex(database.CorrectionClass); class < 0 || !p.Classes[class].NonIdempotent {
				problems.addf(path+".correction", "database %s: correction class %q is not defined, or not unsafe",
					database.Name, database.CorrectionClass)
			}
		}
		if p.TenantIndex(database.Tenant) < 0 {
			problems.addf(path+".tenant", "database %s: tenant %q is not defined", database.Name, database.Tenant)
		}
		if database.Name == "" || len(database.Shards) == 0 && !p.ShardMap.configured() {
			problems.addf(path, "database %q: the name or the shards are missing", database.Name)
		}
		if !p.ShardMap.Enabled() {
			p.validateDatabaseShards(problems, database, path)
		}
	}
}

func (p *Partners) validateDatabaseShards(problems *validator, database Database, path string) {
	for i, shard := range database.Shards {
		if shard < 0 || shard >= p.Shards.Count || slices.Contains(database.Shards[:i], shard) {
			problems.addf(path+".shards", "database %s: shard %d must be 0 to %d, and listed once",
				database.Name, shard, p.Shards.Count-1)
		}
	}
}

func (p *Partners) validateServers(problems *validator) {
	ids := map[string]bool{}
	for i, server := range p.Servers {
		path := fmt.Sprintf("server.%d", i)
		switch {
		case server.ID == "":
			problems.addf(path, "a server has no id")
		case ids[server.ID]:
			problems.addf(path+".id", "server id %q is used twice", server.ID)
		}
		ids[server.ID] = true
		if _, _, err := net.SplitHostPort(server.Addr); err != nil {
			problems.addf(path+".addr", "server %q: addr %q is not host:port", server.ID, server.Addr)
		}
		if server.Protocol != SRU && server.Protocol != Z3950 {
			problems.addf(path+".protocol", "server %q: protocol %q is neither sru nor z3950",
				server.ID, server.Protocol)
		}
		if !p.ShardMap.configured() && (server.Cell < 0 || server.Cell >= p.Shards.Cells) {
			problems.addf(path+".cell", "server %q: cell %d must be 0 to %d", server.ID, server.Cell, p.Shards.Cells-1)
		}
		if server.Database == "" {
			problems.addf(path, "server %q: the key database, its name for a shard, is missing", server.ID)
		}
	}
}
