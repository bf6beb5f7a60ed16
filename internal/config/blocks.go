package config

import (
	"fmt"
	"net"
	"time"

	"rooktrestle/internal/control/shardmap"
)

// ShardMapSource says where the map of blocks comes from, in the place of the ring of [shards].
type ShardMapSource struct {
	Archive           string   `toml:"archive"`    // the map's own name for what it maps
	File              string   `toml:"file"`       // a file, watched; or
	Source            string   `toml:"source"`     // host:port of an HTTP source with long poll
	PollInterval      Duration `toml:"every"`      // between two looks at the file
	LongPollTimeout   Duration `toml:"wait"`       // of a long poll
	CachePath         string   `toml:"keep"`       // path of a lasting copy of the last good map; empty: none
	MaxPinnedEpochs   int      `toml:"pinned"`     // earlier epochs held for queries
	MaxPinnedAge      Duration `toml:"pinned_for"` // and for how long
	WarmupPeriod      Duration `toml:"cold"`       // a holder that is new to a block is warm after it
	WarmupMinCapacity float64  `toml:"cold_from"`  // and begins with this share of its parts
	MaxSourceLag      Duration `toml:"patience"`   // a source may be so late behind what servers speak of
}

// Enabled says whether blocks come from a map.
func (b *ShardMapSource) Enabled() bool { return b.File != "" || b.Source != "" }

// wanted says whether the file means to have blocks from a map, whether it says where from or not.
func (b *ShardMapSource) wanted() bool { return b.Enabled() || b.Archive != "" || b.CachePath != "" }

// Rules are those of views.
func (b *ShardMapSource) Rules() shardmap.ViewOptions {
	return shardmap.ViewOptions{MaxPinnedEpochs: b.MaxPinnedEpochs, MaxPinnedAge: b.MaxPinnedAge.Duration, WarmupPeriod: b.WarmupPeriod.Duration, WarmupMinFraction: b.WarmupMinCapacity, MaxSourceLag: b.MaxSourceLag.Duration}
}

func (p *Partners) blockDefaults() {
	b := &p.ShardMap
	if !b.Enabled() {
		return
	}
	or(&b.PollInterval.Duration, 500*time.Millisecond)
	or(&b.LongPollTimeout.Duration, 10*time.Second)
	or(&b.MaxPinnedEpochs, 8)
	or(&b.MaxPinnedAge.Duration, p.longest()+2*time.Second)
	or(&b.WarmupPeriod.Duration, 16*time.Second)
	or(&b.WarmupMinCapacity, 0.28)
	or(&b.MaxSourceLag.Duration, 500*time.Millisecond)
}

// longest is the longest deadline of a class.
func (p *Partners) longest() (d time.Duration) {
	for _, c := range p.Classes {
		d = max(d, c.Deadline.Duration)
	}
	return d
}

func (p *Partners) checkBlocks(c *checker) {
	b := &p.ShardMap
	if !b.Enabled() {
		if b.wanted() {
			c.bad("blocks", "neither file nor source says where the map comes from")
		}
		return
	}
	if b.File != "" && b.Source != "" {
		c.bad("blocks.source", "a file or a source, not both: they could contradict each other")
	}
	if b.Archive == "" {
		c.bad("blocks", "archive: the map's name for what it maps is needed")
	}
	if p.Shards.Count != 0 || p.Shards.Cells != 0 || p.Shards.Reach != 0 {
		c.bad("shards", "the ring of [shards] and a map of blocks: only one of them can say who holds what")
	}
	if _, _, err := net.SplitHostPort(b.Source); b.Source != "" && err != nil {
		c.bad("blocks.source", "source %q is not host:port", b.Source)
	}
	if b.MaxPinnedAge.Duration < p.longest() {
		c.bad("blocks.pinned_for", "pinned_for %v is shorter than the longest deadline %v: queries would have to leave their view while their time lasts",
			b.MaxPinnedAge.Duration, p.longest())
	}
	if b.LongPollTimeout.Duration > time.Minute || b.LongPollTimeout.Duration < 0 {
		c.bad("blocks.wait", "wait must be at most 1m, not %v", b.LongPollTimeout.Duration)
	}
	if b.PollInterval.Duration < 10*time.Millisecond {
		c.bad("blocks.every", "every must be at least 10ms, not %v", b.PollInterval.Duration)
	}
	if _, err := shardmap.NewViews(b.Rules()); err != nil {
		c.bad("blocks", "%v", err)
	}
	for i, d := range p.Databases {
		if len(d.Shards) > 0 {
			c.bad(fmt.Sprintf("database.%d.shards", i), "database %s: with a map of blocks it has all of them, and names no shards", d.Name)
		}
	}
}
