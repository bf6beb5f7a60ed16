package app

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/net/shardmapsource"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/state/atomicfile"
)

// listRetryInterval is how long after an answer without news a source that may be late is asked again.
const askAgain = 50 * time.Millisecond

// maps bring maps of blocks to the core, and keep the last good one.
type maps struct {
	conf     *config.Partners
	views    *shardmap.Views // on the loop
	evidence *evidence
	box      aggregator.Poster
	log      *slog.Logger
	wake     chan struct{}
	epoch    atomic.Uint64 // adopted
	present  atomic.Pointer[shardmap.Map]
	newest   chan *shardmap.Map
	kept     atomic.Uint64 // epoch that is kept
	running  sync.WaitGroup
}

func newMaps(conf *config.Partners, e *evidence, box aggregator.Poster, log *slog.Logger) (*maps, error) {
	views, err := shardmap.NewViews(conf.ShardMap.Rules())
	if err != nil {
		return nil, err
	}
	return &maps{conf: conf, views: views, evidence: e, box: box, log: log, wake: make(chan struct{}, 1), newest: make(chan *shardmap.Map, 1)}, nil
}

func (m *maps) reshape() *aggregator.Resharding {
	return &aggregator.Resharding{Views: m.views, RequestMap: m.ask, RequestMapSoon: func() { time.AfterFunc(askAgain, m.ask) }, Adopted: m.adopted, Rejected: func(source string, err error) {
		m.log.Warn("map refused, the present one stays", "source", source, "err", err.Error())
	}}
}

// ask has the source asked now.
func (m *maps) ask() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// adopted is called on the loop.
func (m *maps) adopted(old, now *shardmap.Map) {
	m.epoch.Store(uint64(now.Epoch))
	m.present.Store(now)
	m.evidence.mapped(m.evidence.table.Now(), old, now)
	m.evidence.version++
	m.box.Put(settle{})
	was := shardmap.Epoch(0)
	if old != nil {
		was = old.Epoch
	}
	m.log.Info("map adopted", "epoch", uint64(now.Epoch), "was", uint64(was), "blocks", now.ActiveCount(), "listed", now.TotalCount())
	if m.conf.ShardMap.CachePath == "" {
		return
	}
	select { // only the newest is kept
	case <-m.newest:
	default:
	}
	m.newest <- now
}

// run starts what brings maps and what keeps them.
func (m *maps) run(stop <-chan struct{}) {
	b := m.conf.ShardMap
	if b.CachePath != "" {
		box := atomicfile.New(atomicfile.OS{}, b.CachePath)
		m.load(box)
		m.running.Add(1)
		go func() {
			defer m.running.Done()
			m.store(box, stop)
		}()
	}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		if b.File != "" {
			(&shardmapsource.File{Path: b.File, Interval: b.PollInterval.Duration, Put: m.take, Wake: m.wake}).Run(stop)
			return
		}
		(&shardmapsource.HTTP{Addr: b.Source, Wait: b.LongPollTimeout.Duration, MinInterval: 50 * time.Millisecond, MaxInterval: 5 * time.Second, Put: m.take, CurrentEpoch: m.epoch.Load,
			Wake: m.wake, Dial: tcp.Dial}).Run(stop)
	}()
}

// take reads what a source told, off the loop.
func (m *maps) take(t shardmapsource.Update) {
	e := aggregator.ShardMapOffered{Source: t.Source, Err: t.Err}
	if t.Err == nil && t.Text != nil {
		e.Map, e.Err = shardmap.Parse(t.Text)
		if e.Err == nil && e.Map.Archive != m.conf.ShardMap.Archive {
			e.Map, e.Err = nil, fmt.Errorf("%w: %q, and not %q", shardmap.ErrOtherArchive, e.Map.Archive, m.conf.ShardMap.Archive)
		}
		if e.Err == nil {
			e.Map = e.Map.ShareWith(m.present.Load()) // the loop looks at what changes only
		}
	}
	m.box.Put(e)
}

// load offers the map that is kept, before any source has spoken. An older one from a source is refused then.
func (m *maps) load(box *atomicfile.ValueFile) {
	text, err := box.Load()
	if errors.Is(err, atomicfile.ErrNotExist) {
		return
	}
	if err != nil {
		m.log.Warn("the kept map is of no use", "err", err.Error())
		return
	}
	m.take(shardmapsource.Update{Source: "kept " + m.conf.ShardMap.CachePath, Text: text})
}

// store keeps each map that is adopted, but for those that a newer one overtakes. A disk that is slow or full delays
// nobody.
func (m *maps) store(box *atomicfile.ValueFile, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case now := <-m.newest:
			if err := box.Store(now.Encode()); err != nil {
				m.log.Warn("the map is not kept", "epoch", uint64(now.Epoch), "err", err.Error())
				continue
			}
			m.kept.Store(uint64(now.Epoch))
		}
	}
}

// counters are told on the loop; of no maps they are nothing.
func (m *maps) counters() string {
	if m == nil {
		return ""
	}
	epochs, queries := m.views.Pinned()
	s := m.views.Stats
	return fmt.Sprintf("; map: epoch %d, kept %d, adopted %d, over gaps %d, older %d, refused %d, pinned epochs %d by %d queries (most %d), left %d, "+
		"queries begun anew %d, held %d, lies %d", m.epoch.Load(), m.kept.Load(), s.Accepted, s.Gaps, s.Stale, s.Rejected, epochs, queries, s.MaxPinnedEpochs, s.Expired,
		s.Restarts, s.Waits, s.FalseRejections)
}
