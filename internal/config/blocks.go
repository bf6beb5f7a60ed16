package config

import (
	"fmt"
	"net"
	"time"

	"rooktrestle/internal/control/shardmap"
)

// Blocks says where the map of blocks comes from, in the place of the ring of [shards].
type Blocks struct {
	Archive   string  `toml:"archive"`    // the map's own name for what it maps
	File      string  `toml:"file"`       // a file, watched; or
	Source    string  `toml:"source"`     // host:port of an HTTP source with long poll
	Every     Span    `toml:"every"`      // between two looks at the file
	Wait      Span    `toml:"wait"`       // of a long poll
	Keep      string  `toml:"keep"`       // path of a lasting copy of the last good map; empty: none
	Pinned    int     `toml:"pinned"`     // earlier epochs held for queries
	PinnedFor Span    `toml:"pinned_for"` // and for how long
	Cold      Span    `toml:"cold"`       // a holder that is new to a block is warm after it
	ColdFrom  float64 `toml:"cold_from"`  // and begins with this share of its parts
	Patience  Span    `toml:"patience"`   // a source may be so late behind what servers speak of
}

// On says whether blocks come from a map.
func (b *Blocks) On() bool { return b.File != "" || b.Source != "" }

// wanted says whether the file means to have blocks from a map, whether it says where from or not.
func (b *Blocks) wanted() bool { return b.On() || b.Archive != "" || b.Keep != "" }

// Rules are those of views.
func (b *Blocks) Rules() shardmap.ViewRules {
	return shardmap.ViewRules{MostPinned: b.Pinned, MostAge: b.PinnedFor.Duration, ColdFor: b.Cold.Duration, ColdFrom: b.ColdFrom, Patience: b.Patience.Duration}
}

func (p *Partners) blockDefaults() {
	b := &p.Blocks
	if !b.On() {
		return
	}
	or(&b.Every.Duration, 500*time.Millisecond)
	or(&b.Wait.Duration, 10*time.Second)
	or(&b.Pinned, 8)
	or(&b.PinnedFor.Duration, p.longest()+2*time.Second)
	or(&b.Cold.Duration, 16*time.Second)
	or(&b.ColdFrom, 0.28)
	or(&b.Patience.Duration, 500*time.Millisecond)
}

// longest is the longest deadline of a class.
func (p *Partners) longest() (d time.Duration) {
	for _, c := range p.Classes {
		d = max(d, c.Deadline.Duration)
	}
	return d
}

func (p *Partners) checkBlocks(c *checker) {
	b := &p.Blocks
	if !b.On() {
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
	if b.PinnedFor.Duration < p.longest() {
		c.bad("blocks.pinned_for", "pinned_for %v is shorter than the longest deadline %v: queries would have to leave their view while their time lasts",
			b.PinnedFor.Duration, p.longest())
	}
	if b.Wait.Duration > time.Minute || b.Wait.Duration < 0 {
		c.bad("blocks.wait", "wait must be at most 1m, not %v", b.Wait.Duration)
	}
	if b.Every.Duration < 10*time.Millisecond {
		c.bad("blocks.every", "every must be at least 10ms, not %v", b.Every.Duration)
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
