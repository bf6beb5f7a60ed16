package config

import (
	"fmt"
	"net"
	"time"

	"rooktrestle/internal/control/shardmap"
)

// ShardMapSource says where the shard map comes from that takes the place of the ring of [shards].
type ShardMapSource struct {
	Archive           string   `toml:"archive"`    // the map's own name for what it maps
	File              string   `toml:"file"`       // polled; or
	Source            string   `toml:"source"`     // host:port of an HTTP source with long poll
	PollInterval      Duration `toml:"every"`      // of File
	LongPollTimeout   Duration `toml:"wait"`       // of Source
	CachePath         string   `toml:"keep"`       // where the last adopted map is persisted; empty: nowhere
	MaxPinnedEpochs   int      `toml:"pinned"`     // earlier epochs retained for open queries
	MaxPinnedAge      Duration `toml:"pinned_for"` // and for how long
	WarmupPeriod      Duration `toml:"cold"`       // of a server that is new to a shard
	WarmupMinFraction float64  `toml:"cold_from"`  // fraction of its traffic with which it starts
	MaxSourceLag      Duration `toml:"patience"`   // how long the source may be behind an epoch that servers report
}

// Enabled says whether a shard map is used.
func (s *ShardMapSource) Enabled() bool { return s.File != "" || s.Source != "" }

// intended says whether the file means to use a shard map, whether it names its source or not.
func (s *ShardMapSource) intended() bool { return s.Enabled() || s.Archive != "" || s.CachePath != "" }

// ViewOptions are the options of the views of the map.
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

// longestDeadline is the longest deadline of a class.
func (p *Partners) longestDeadline() (longest time.Duration) {
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline.Duration)
	}
	return longest
}

func (p *Partners) validateShardMap(problems *validator) {
	s := &p.ShardMap
	if !s.Enabled() {
		if s.intended() {
			problems.addf("blocks", "neither file nor source says where the map comes from")
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
			problems.addf(path, "database %s: with a map of blocks it has all of them, and names no shards", database.Name)
		}
	}
}

func (p *Partners) validateShardMapSource(problems *validator) {
	s := &p.ShardMap
	if s.File != "" && s.Source != "" {
		problems.addf("blocks.source", "a file or a source, not both: they could contradict each other")
	}
	if s.Archive == "" {
		problems.addf("blocks", "archive: the map's name for what it maps is needed")
	}
	if p.Shards.Count != 0 || p.Shards.Cells != 0 || p.Shards.Reach != 0 {
		problems.addf("shards", "the ring of [shards] and a map of blocks: only one of them can say who holds what")
	}
	if _, _, err := net.SplitHostPort(s.Source); s.Source != "" && err != nil {
		problems.addf("blocks.source", "source %q is not host:port", s.Source)
	}
}

func (p *Partners) validateShardMapTimes(problems *validator) {
	s := &p.ShardMap
	if s.MaxPinnedAge.Duration < p.longestDeadline() {
		problems.addf("blocks.pinned_for",
			"pinned_for %v is shorter than the longest deadline %v: queries would have to leave their view while their time lasts",
			s.MaxPinnedAge.Duration, p.longestDeadline())
	}
	if s.LongPollTimeout.Duration > time.Minute || s.LongPollTimeout.Duration < 0 {
		problems.addf("blocks.wait", "wait must be at most 1m, not %v", s.LongPollTimeout.Duration)
	}
	if s.PollInterval.Duration < 10*time.Millisecond {
		problems.addf("blocks.every", "every must be at least 10ms, not %v", s.PollInterval.Duration)
	}
}
