package config

import (
	"fmt"
	"net"
	"time"

	"rooktrestle/internal/control/shardmap"
)

// ShardMapSource configures a shard map, which replaces the ring of [shards], and its source.
type ShardMapSource struct {
	Archive           string   `toml:"archive"`    // name of the archive that the map must have
	File              string   `toml:"file"`       // file to poll; or
	Source            string   `toml:"source"`     // host:port of an HTTP source with long poll
	PollInterval      Duration `toml:"every"`      // of File
	LongPollTimeout   Duration `toml:"wait"`       // of Source
	CachePath         string   `toml:"keep"`       // file to which the last adopted map is persisted; empty: none
	MaxPinnedEpochs   int      `toml:"pinned"`     // previous epochs retained for open queries
	MaxPinnedAge      Duration `toml:"pinned_for"` // longest time for which they are retained
	WarmupPeriod      Duration `toml:"cold"`       // of a server that is new for a shard
	WarmupMinFraction float64  `toml:"cold_from"`  // fraction of its traffic that it receives at first
	MaxSourceLag      Duration `toml:"patience"`   // how long the source may lag behind an epoch that servers report
}

// Enabled reports whether a shard map is used.
func (s *ShardMapSource) Enabled() bool { return s.File != "" || s.Source != "" }

// configured reports whether the file sets keys of a shard map, even if the source is missing.
func (s *ShardMapSource) configured() bool {
	return s.Enabled() || s.Archive != "" || s.CachePath != ""
}

// ViewOptions returns the options for views of the map.
func (s *ShardMapSource) ViewOptions() shardmap.ViewOptions {
	return shardmap.ViewOptions{
		MaxPinnedEpochs:   s.MaxPinnedEpochs,
		MaxPinnedAge:      s.MaxPinnedAge.Duration,
		WarmupPeriod:      s.WarmupPeriod.Duration,
		WarmupMinFraction: s.WarmupMinFraction,
		MaxSourceLag:      s.MaxSourceLag.Duration,
	}
}

func (p *Partners) setShardMapDefaults() {
	s := &p.ShardMap
	if !s.Enabled() {
		return
	}
	setDefault(&s.PollInterval.Duration, 500*time.Millisecond)
	setDefault(&s.LongPollTimeout.Duration, 10*time.Second)
	setDefault(&s.MaxPinnedEpochs, 8)
	setDefault(&s.MaxPinnedAge.Duration, p.longestDeadline()+2*time.Second)
	setDefault(&s.WarmupPeriod.Duration, 16*time.Second)
	setDefault(&s.WarmupMinFraction, 0.28)
	setDefault(&s.MaxSourceLag.Duration, 500*time.Millisecond)
}

// longestDeadline returns the longest deadline of the classes.
func (p *Partners) longestDeadline() (longest time.Duration) {
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline.Duration)
	}
	return longest
}

func (p *Partners) validateShardMap(problems *validator) {
	s := &p.ShardMap
	if !s.Enabled() {
		if s.configured() {
			problems.addf("blocks", "neither file nor source of the map of blocks is set")
		}
		return
	}
	p.validateShardMapSource(problems)
	p.validateShardMapTimes(problems)
	if _, err := shardmap.NewViews(s.ViewOptions()); err != nil {
		problems.addf("blocks", "%v", err)
	}
	for i, database := range p.Databases {
		if len(database.Shards) > 0 {
			path := fmt.Sprintf("database.%d.shards", i)
			problems.addf(path, "database %s: shards must not be set with a map of blocks, which assigns it all blocks",
				database.Name)
		}
	}
}

func (p *Partners) validateShardMapSource(problems *validator) {
	s := &p.ShardMap
	if s.File != "" && s.Source != "" {
		problems.addf("blocks.source", "set either file or source, not both, as they could contradict each other")
	}
	if s.Archive == "" {
		problems.addf("blocks", "archive, the name of the archive in the map, must be set")
	}
	if p.Shards.Count != 0 || p.Shards.Cells != 0 || p.Shards.Reach != 0 {
		problems.addf("shards", "[shards] and [blocks] both assign blocks to servers: only one of them can be set")
	}
	if _, _, err := net.SplitHostPort(s.Source); s.Source != "" && err != nil {
		problems.addf("blocks.source", "source %q is not host:port", s.Source)
	}
}

func (p *Partners) validateShardMapTimes(problems *validator) {
	s := &p.ShardMap
	if s.MaxPinnedAge.Duration < p.longestDeadline() {
		problems.addf("blocks.pinned_for",
			"pinned_for %v is shorter than the longest deadline %v: queries would lose their epoch before it",
			s.MaxPinnedAge.Duration, p.longestDeadline())
	}
	if s.LongPollTimeout.Duration > time.Minute || s.LongPollTimeout.Duration < 0 {
		problems.addf("blocks.wait", "wait must be at most 1m, not %v", s.LongPollTimeout.Duration)
	}
	if s.PollInterval.Duration < 10*time.Millisecond {
		problems.addf("blocks.every", "every must be at least 10ms, not %v", s.PollInterval.Duration)
	}
}
