package app

import (
	"runtime/metrics"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/control/shardmap"
	fronthealth "rooktrestle/internal/frontend/health"
)

// wordEvery is how often the mixer's own word is made: many times in the second within which it has to be true.
const wordEvery = 50 * time.Millisecond

// word makes the mixer's own word from the core's facts. It lives on the loop.
type word struct {
	conf     *config.Partners
	core     *aggregator.Core
	evidence *evidence
	judge    *readiness.Evaluator
	teller   *fronthealth.Teller
	draining bool
	due      time.Time
	memory   []metrics.Sample
	bases    []readiness.DatabaseSnapshot
	seen     uint64 // version of the evidence that they are of
	looked   time.Time
}

// lookAnyway is how long the databases' facts stand where no conclusion has changed.
const lookAnyway = 500 * time.Millisecond

func newWord(conf *config.Partners, core *aggregator.Core, e *evidence, teller *fronthealth.Teller) *word {
	return &word{conf: conf, core: core, evidence: e, judge: readiness.New(readiness.DefaultConfig()), teller: teller,
		memory: []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}}
}

// Handle takes nothing.
func (*word) Handle(time.Time, aggregator.Message) ([]aggregator.Event, bool) { return nil, false }

// Sweep makes the word when it is due.
func (w *word) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	if now.Before(w.due) {
		return nil, w.due
	}
	w.tell(now)
	w.due = now.Add(wordEvery)
	return nil, w.due
}

// drain says from now on that queries should go elsewhere.
func (w *word) drain(now time.Time) {
	w.draining = true
	w.tell(now)
}

func (w *word) tell(now time.Time) {
	metrics.Read(w.memory)
	c := w.core.Counters
	f := readiness.Snapshot{
		Draining: w.draining, InFlight: w.core.Load(), MaxInFlight: w.conf.Limits.MaxOpen, Received: c.Received, Rejected: c.Rejected,
		MemoryUsed: w.memory[0].Value.Uint64() - w.memory[1].Value.Uint64(), MemoryLimit: uint64(w.conf.Limits.MemoryMB) << 20,
	}
	if !w.due.IsZero() {
		f.LoopLag = max(0, now.Sub(w.due))
	}
	// To look at every block costs more than the rest: it is done when something changed, and now and then.
	if w.bases == nil || w.seen != w.evidence.version || now.Sub(w.looked) >= lookAnyway {
		w.bases, w.seen, w.looked = nil, w.evidence.version, now
		for _, d := range w.conf.Databases {
			w.bases = append(w.bases, w.base(d))
		}
	}
	f.Databases = w.bases
	w.teller.Set(w.judge.Evaluate(now, f))
}

func (w *word) base(d config.Database) readiness.DatabaseSnapshot {
	search, correction := w.conf.ClassIndex(d.SearchClass), w.conf.ClassIndex(d.CorrectionClass)
	b := readiness.DatabaseSnapshot{Name: d.Name, MinCoverage: w.conf.Classes[search].MinFraction}
	if w.evidence.table.ChecksSuspect() {
		b.Caveat = "checks are doubted"
	}
	look := func(block int) {
		b.Shards++
		if w.evidence.table.UsableReplicas(block, search) == 0 {
			b.SearchUnavailable = append(b.SearchUnavailable, block)
		}
		if correction >= 0 && w.evidence.table.UsableReplicas(block, correction) == 0 {
			b.CorrectionUnavailable = append(b.CorrectionUnavailable, block)
		}
	}
	if w.core.Resharding == nil {
		for _, s := range d.Shards {
			look(s)
		}
		return b
	}
	m := w.core.Resharding.Views.Current()
	if m == nil {
		b.Shards, b.SearchUnavailable, b.Caveat = 1, []int{0}, "there is no map of blocks yet"
		return b
	}
	m.Active(func(k *shardmap.Shard) bool {
		look(int(k.ID))
		return true
	})
	return b
}
