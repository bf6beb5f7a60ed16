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
	// mapRetryDelay is the time from an answer without a newer map to the next request, where the source may be behind.
	mapRetryDelay = 50 * time.Millisecond
	// mapMinInterval and mapMaxInterval bound the backoff between requests to an HTTP source.
	mapMinInterval = 50 * time.Millisecond
	mapMaxInterval = 5 * time.Second
)

// shardMaps brings shard maps from their source to the core, and persists the last adopted one. Its goroutines run from
// start until the stop channel is closed; wait waits for them.
type shardMaps struct {
	conf    *config.Partners
	views   *shardmap.Views // on the loop
	health  *healthTracker  // on the loop
	mailbox aggregator.Poster
	log     *slog.Logger

	poll           chan struct{} // has the source polled at once
	adoptedEpoch   atomic.Uint64
	current        atomic.Pointer[shardmap.Map] // the adopted map
	toPersist      chan *shardmap.Map           // holds the newest map that is not persisted yet
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

// resharding is the core's side of the maps. Its functions are called on the loop and do not block.
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

// requestPoll has the source polled at once. It does not block.
func (m *shardMaps) requestPoll() {
	select {
	case m.poll <- struct{}{}:
	default:
	}
}

// adopted takes a map that the core has adopted; old is nil for the first one. It runs on the loop.
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

// parse reads a map of the configured archive. The result shares its unchanged shards with the current map, so that the
// loop looks at changes only.
func (m *shardMaps) parse(text []byte) (*shardmap.Map, error) {
	parsed, err := shardmap.Parse(text)
	if err != nil {
		return nil, err
	}
	if parsed.Archive != m.conf.ShardMap.Archive {
		return nil, fmt.Errorf("%w: %q, and not %q", shardmap.ErrOtherArchive, parsed.Archive, m.conf.ShardMap.Archive)
	}
	return parsed.ShareWith(m.current.Load()), nil
}

// offerPersisted offers the persisted map before any source has answered. An older map from a source is rejected then.
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

// persist stores adopted maps until stop is closed; one that a newer map has replaced in the meantime is skipped. A slow
// or full disk delays nothing else.
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

// counters is the maps' part of the counters' text, empty without maps (nil). It runs on the loop, or after its end.
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
