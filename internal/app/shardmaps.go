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

const (
	// mapRetryDelay is the delay before the next request after an answer without a newer map, if the source may lag
	// behind the servers.
	mapRetryDelay = 50 * time.Millisecond
	// mapMinInterval and mapMaxInterval bound the backoff between requests to an HTTP source.
	mapMinInterval = 50 * time.Millisecond
	mapMaxInterval = 5 * time.Second
)

// shardMaps passes shard maps from their source to the core, and persists the last adopted one. Its goroutines run from
// start until the stop channel is closed; wait waits for them.
type shardMaps struct {
	conf    *config.Partners
	views   *shardmap.Views // used on the loop only
	health  *healthTracker  // used on the loop only
	mailbox aggregator.Poster
	log     *slog.Logger

	poll           chan struct{} // triggers a poll of the source at once
	adoptedEpoch   atomic.Uint64
	current        atomic.Pointer[shardmap.Map] // the adopted map
	toPersist      chan *shardmap.Map           // at most the newest map that is not persisted yet
	persistedEpoch atomic.Uint64
	running        sync.WaitGroup
}

func newShardMaps(
	conf *config.Partners, tracker *healthTracker, mailbox aggregator.Poster, log *slog.Logger,
) (*shardMaps, error) {
	views, err := shardmap.NewViews(conf.ShardMap.ViewOptions())
	if err != nil {
		return nil, err
	}
	return &shardMaps{
		conf:      conf,
		views:     views,
		health:    tracker,
		mailbox:   mailbox,
		log:       log,
		poll:      make(chan struct{}, 1),
		toPersist: make(chan *shardmap.Map, 1),
	}, nil
}

// resharding returns the core's interface to the maps. Its functions are called on the loop and do not block.
func (m *shardMaps) resharding() *aggregator.Resharding {
	return &aggregator.Resharding{
		Views:          m.views,
		RequestMap:     m.requestPoll,
		RequestMapSoon: func() { time.AfterFunc(mapRetryDelay, m.requestPoll) },
		Adopted:        m.adopted,
		Rejected: func(source string, err error) {
			m.log.Warn("map refused, the present one stays", "source", source, "err", err.Error())
		},
	}
}

// requestPoll triggers a poll of the source at once. It does not block.
func (m *shardMaps) requestPoll() {
	select {
	case m.poll <- struct{}{}:
	default:
	}
}

// adopted handles the adoption of a map by the core; old is nil for the first one. It runs on the loop.
func (m *shardMaps) adopted(old, adopted *shardmap.Map) {
	m.adoptedEpoch.Store(uint64(adopted.Epoch))
	m.current.Store(adopted)
	m.health.shardMapAdopted(m.health.table.Now(), old, adopted)
	m.health.version++
	m.mailbox.Put(evaluateHealth{})
	previous := shardmap.Epoch(0)
	if old != nil {
		previous = old.Epoch
	}
	m.log.Info("map adopted", "epoch", uint64(adopted.Epoch), "previous", uint64(previous),
		"shards", adopted.ActiveCount(), "listed", adopted.TotalCount())
	if m.conf.ShardMap.CachePath == "" {
		return
	}
	select { // replace a map that has not been persisted yet
	case <-m.toPersist:
	default:
	}
	m.toPersist <- adopted
}

// start offers the persisted map and starts the goroutines that poll the source and persist maps.
func (m *shardMaps) start(stop <-chan struct{}) {
	if path := m.conf.ShardMap.CachePath; path != "" {
		file := atomicfile.New(atomicfile.OS{}, path)
		m.offerPersisted(file)
		m.running.Go(func() { m.persist(file, stop) })
	}
	m.running.Go(func() { m.pollSource(stop) })
}

// wait waits until the goroutines have ended.
func (m *shardMaps) wait() { m.running.Wait() }

// pollSource polls the source until stop is closed.
func (m *shardMaps) pollSource(stop <-chan struct{}) {
	settings := m.conf.ShardMap
	if settings.File != "" {
		source := &shardmapsource.File{
			Path:     settings.File,
			Interval: settings.PollInterval.Duration,
			Put:      m.offer,
			Wake:     m.poll,
		}
		source.Run(stop)
		return
	}
	source := &shardmapsource.HTTP{
		Addr:         settings.Source,
		Wait:         settings.LongPollTimeout.Duration,
		MinInterval:  mapMinInterval,
		MaxInterval:  mapMaxInterval,
		Put:          m.offer,
		CurrentEpoch: m.adoptedEpoch.Load,
		Wake:         m.poll,
		Dial:         tcp.Dial,
	}
	source.Run(stop)
}

// offer parses what a source has sent, off the loop, and posts it to the core, which adopts or rejects it.
func (m *shardMaps) offer(update shardmapsource.Update) {
	offered := aggregator.ShardMapOffered{Source: update.Source, Err: update.Err}
	if update.Err == nil && update.Text != nil {
		offered.Map, offered.Err = m.parse(update.Text)
	}
	m.mailbox.Put(offered)
}

// parse parses a map of the configured archive. The result shares unchanged shards with the current map, so that the
// loop compares only shards that changed.
func (m *shardMaps) parse(text []byte) (*shardmap.Map, error) {
	parsed, err := shardmap.Parse(text)
	if err != nil {
		return nil, err
	}
	if parsed.Archive != m.conf.ShardMap.Archive {
		return nil, fmt.Errorf("%w: %q, want %q", shardmap.ErrOtherArchive, parsed.Archive, m.conf.ShardMap.Archive)
	}
	return parsed.ShareWith(m.current.Load()), nil
}

// offerPersisted offers the persisted map before the source has answered, so that an older map from the source is
// rejected.
func (m *shardMaps) offerPersisted(file *atomicfile.ValueFile) {
	text, err := file.Load()
	if errors.Is(err, atomicfile.ErrNotExist) {
		return
	}
	if err != nil {
		m.log.Warn("persisted map is unusable", "err", err.Error())
		return
	}
	m.offer(shardmapsource.Update{Source: "kept " + m.conf.ShardMap.CachePath, Text: text})
}

// persist writes adopted maps to disk until stop is closed, skipping those that a newer map has replaced in the
// meantime. It has a goroutine of its own, so that a slow or full disk delays nothing else.
func (m *shardMaps) persist(file *atomicfile.ValueFile, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case adopted := <-m.toPersist:
			if err := file.Store(adopted.Encode()); err != nil {
				m.log.Warn("map not persisted", "epoch", uint64(adopted.Epoch), "err", err.Error())
				continue
			}
			m.persistedEpoch.Store(uint64(adopted.Epoch))
		}
	}
}

// counters formats the shard map counters; empty if m is nil. It runs on the loop, or after the loop has ended.
func (m *shardMaps) counters() string {
	if m == nil {
		return ""
	}
	epochs, queries := m.views.Pinned()
	stats := m.views.Stats
	text := fmt.Sprintf("; map: epoch %d, kept %d, adopted %d, over gaps %d, older %d, refused %d",
		m.adoptedEpoch.Load(), m.persistedEpoch.Load(), stats.Accepted, stats.Gaps, stats.Stale, stats.Rejected)
	text += fmt.Sprintf(", pinned epochs %d by %d queries (most %d), left %d",
		epochs, queries, stats.MaxPinnedEpochs, stats.Expired)
	text += fmt.Sprintf(", queries begun anew %d, held %d, lies %d", stats.Restarts, stats.Waits, stats.FalseRejections)
	return text
}
