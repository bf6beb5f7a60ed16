// Package readiness decides what the mixer says of itself to those who ask for its health: whether queries can be
// answered, database by database, and how much more it can take. It does no I/O and reads no clock.
//
// A word gets worse once its cause has stood for a moment, and better once that has stood for longer, so that it does
// not flap; both are well under the second within which it has to be true.
package readiness

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// State of the mixer, or of one database.
type State int8

const (
	Up       State = iota
	Degraded       // partial answers only, or no corrections of some blocks
	Down           // no answer can be given
)

func (s State) String() string { return [...]string{"up", "degraded", "down"}[s] }

// DatabaseSnapshot are how one database stands: which of its blocks have a holder that may be expected to answer.
type DatabaseSnapshot struct {
	Name                  string
	Shards                int
	SearchUnavailable     []int   // blocks without a usable holder for searches
	CorrectionUnavailable []int   // blocks without one for corrections; only where the database takes any
	MinCoverage           float64 // least share of blocks for an answer
	Caveat                string  // what the servers' state rests on, if that is doubtful
}

// Snapshot are those of one moment.
type Snapshot struct {
	Draining                bool // told to end
	InFlight, MaxInFlight   int  // queries and parts held, and the most there may be; Most 0: not limited
	Received, Rejected      uint64
	LoopLag                 time.Duration // by which the loop is late
	MemoryUsed, MemoryLimit uint64        // bytes; Limit 0: not limited
	Databases               []DatabaseSnapshot
}

// DatabaseReport is the word on one database.
type DatabaseReport struct {
	Name      string `json:"database"`
	State     State  `json:"-"`
	StateText string `json:"state"`
	Reason    string `json:"reason,omitempty"`
}

// Report is what the mixer says of itself.
type Report struct {
	At        time.Time        `json:"at"`
	State     State            `json:"-"`
	StateText string           `json:"state"`
	Draining  bool             `json:"drain"`
	Weight    int              `json:"weight"` // percent, 1 to 100
	Reasons   []string         `json:"reasons,omitempty"`
	Databases []DatabaseReport `json:"databases"`
}

// Database finds the word on a database by its name, in any case of letters.
func (w *Report) Database(name string) *DatabaseReport {
	for i := range w.Databases {
		if strings.EqualFold(w.Databases[i].Name, name) {
			return &w.Databases[i]
		}
	}
	return nil
}

// Config are the figures of the word.
type Config struct {
	DegradeDelay        time.Duration // how long a cause stands before the word gets worse
	RecoverDelay        time.Duration // and before it gets better
	FreeShare           float64       // share of Most that may be held before the weight falls
	HalfWeightLag       time.Duration // of the loop, at which the weight is a half
	RejectionWindow     time.Duration // over which refusals count
	WeightRisePerSecond float64       // of the weight, a second
	WeightStep          float64       // weights are told in steps of it
}

// DefaultConfig are the usual rules.
func DefaultConfig() Config {
	return Config{
		DegradeDelay: 100 * time.Millisecond, RecoverDelay: 300 * time.Millisecond, FreeShare: 0.5, HalfWeightLag: 100 * time.Millisecond,
		RejectionWindow: time.Second, WeightRisePerSecond: 0.5, WeightStep: 0.05,
	}
}

// damped is a state with the state that wants to take its place.
type damped struct {
	now, want State
	since     time.Time
	reason    string
	begun     bool
}

// step takes what a moment shows and returns what is to be said.
func (d *damped) step(at time.Time, s State, reason string, r Config) {
	if !d.begun {
		d.begun, d.now, d.reason = true, s, reason
	}
	if s == d.now {
		d.want, d.reason = s, reason
		return
	}
	if s != d.want {
		d.want, d.since = s, at
	}
	wait := r.RecoverDelay
	if s > d.now {
		wait = r.DegradeDelay
	}
	if at.Sub(d.since) >= wait {
		d.now, d.reason = s, reason
	}
}

// sample is what had been taken and refused by a moment.
type sample struct {
	at             time.Time
	taken, refused uint64
}

// Evaluator makes words of facts. It is owned by one goroutine.
type Evaluator struct {
	rules   Config
	whole   damped
	bases   map[string]*damped
	samples []sample
	weight  float64
	at      time.Time
}

// New returns a Judge that has said nothing yet.
func New(r Config) *Evaluator { return &Evaluator{rules: r, bases: map[string]*damped{}, weight: 1} }

// Evaluate takes the facts of a moment and returns the word. Moments come in order, at least every Worse.
func (j *Evaluator) Evaluate(now time.Time, f Snapshot) Report {
	w := Report{At: now, Draining: f.Draining}
	named := map[string]bool{}
	states := [3]int{}
	for _, b := range f.Databases {
		d := j.bases[b.Name]
		if d == nil {
			d = &damped{}
			j.bases[b.Name] = d
		}
		named[b.Name] = true
		s, reason := judgeBase(b)
		d.step(now, s, reason, j.rules)
		w.Databases = append(w.Databases, DatabaseReport{b.Name, d.now, d.now.String(), d.reason})
		states[d.now]++
		if d.reason != "" {
			w.Reasons = append(w.Reasons, b.Name+": "+d.reason)
		}
	}
	for name := range j.bases { // a database that is no longer there
		if !named[name] {
			delete(j.bases, name)
		}
	}
	// The databases are damped each; the whole follows them at once.
	switch {
	case len(f.Databases) > 0 && states[Down] == len(f.Databases):
		w.State = Down
	case states[Down]+states[Degraded] > 0:
		w.State = Degraded
	}
	load, why := j.headroom(now, f)
	w.Weight = max(1, int(math.Round(load/j.rules.WeightStep)*j.rules.WeightStep*100+0.5))
	w.Reasons = append(w.Reasons, why...)
	if f.Draining {
		w.Reasons = append(w.Reasons, "shutting down")
	}
	w.StateText = w.State.String()
	return w
}

func judgeBase(b DatabaseSnapshot) (State, string) {
	share := 1.0
	if b.Shards > 0 {
		share = 1 - float64(len(b.SearchUnavailable))/float64(b.Shards)
	}
	reason := ""
	switch {
	case len(b.SearchUnavailable) > 0:
		reason = "no usable holder of block " + list(b.SearchUnavailable)
	case len(b.CorrectionUnavailable) > 0:
		reason = "no usable holder for corrections of block " + list(b.CorrectionUnavailable)
	}
	if reason != "" && b.Caveat != "" {
		reason += " (" + b.Caveat + ")"
	}
	switch {
	case share < b.MinCoverage-1e-9 || share <= 0:
		return Down, reason
	case reason != "":
		return Degraded, reason
	}
	return Up, ""
}

// listMost is how many blocks a reason names.
const listMost = 8

func list(blocks []int) string {
	sorted := slices.Clone(blocks)
	slices.Sort(sorted)
	var text []string
	for _, b := range sorted[:min(len(sorted), listMost)] {
		text = append(text, fmt.Sprint(b))
	}
	if more := len(sorted) - listMost; more > 0 {
		text = append(text, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(text, ", ")
}

// headroom is how much more can be taken, 0 to 1: it falls at once and rises slowly.
func (j *Evaluator) headroom(now time.Time, f Snapshot) (float64, []string) {
	room, why := 1.0, []string(nil)
	least := func(v float64, reason string) {
		v = min(1, max(0, v))
		if v < 0.95 {
			why = append(why, reason)
		}
		room = min(room, v)
	}
	if f.MaxInFlight > 0 {
		held := float64(f.InFlight) / float64(f.MaxInFlight)
		least((1-held)/(1-j.rules.FreeShare), fmt.Sprintf("%d of %d queries and parts held", f.InFlight, f.MaxInFlight))
	}
	least(1/(1+float64(f.LoopLag)/float64(j.rules.HalfWeightLag)), fmt.Sprintf("the loop is %v late", f.LoopLag.Round(time.Millisecond)))
	if f.MemoryLimit > 0 {
		least(4*(1-float64(f.MemoryUsed)/float64(f.MemoryLimit)), fmt.Sprintf("%d of %d MB used", f.MemoryUsed>>20, f.MemoryLimit>>20))
	}
	j.samples = append(j.samples, sample{now, f.Received, f.Rejected})
	for len(j.samples) > 2 && now.Sub(j.samples[1].at) >= j.rules.RejectionWindow {
		j.samples = j.samples[1:]
	}
	first := j.samples[0]
	if taken, refused := f.Received-first.taken, f.Rejected-first.refused; taken >= 4 && refused > 0 {
		least(1-float64(refused)/float64(taken), fmt.Sprintf("%d of the last %d queries refused", refused, taken))
	}
	if !j.at.IsZero() {
		room = min(room, j.weight+j.rules.WeightRisePerSecond*max(0, now.Sub(j.at).Seconds()))
	}
	j.weight, j.at = room, now
	return room, why
}
