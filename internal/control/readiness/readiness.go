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

// BaseFacts are how one database stands: which of its blocks have a holder that may be expected to answer.
type BaseFacts struct {
	Name    string
	Blocks  int
	Lost    []int   // blocks without a usable holder for searches
	Closed  []int   // blocks without one for corrections; only where the database takes any
	Floor   float64 // least share of blocks for an answer
	Suspect string  // what the servers' state rests on, if that is doubtful
}

// Facts are those of one moment.
type Facts struct {
	Draining       bool // told to end
	Open, Most     int  // queries and parts held, and the most there may be; Most 0: not limited
	Taken, Refused uint64
	Lag            time.Duration // by which the loop is late
	Memory, Limit  uint64        // bytes; Limit 0: not limited
	Bases          []BaseFacts
}

// Base is the word on one database.
type Base struct {
	Name   string `json:"database"`
	State  State  `json:"-"`
	Said   string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Word is what the mixer says of itself.
type Word struct {
	At      time.Time `json:"at"`
	State   State     `json:"-"`
	Said    string    `json:"state"`
	Drain   bool      `json:"drain"`
	Weight  int       `json:"weight"` // percent, 1 to 100
	Reasons []string  `json:"reasons,omitempty"`
	Bases   []Base    `json:"databases"`
}

// Base finds the word on a database by its name, in any case of letters.
func (w *Word) Base(name string) *Base {
	for i := range w.Bases {
		if strings.EqualFold(w.Bases[i].Name, name) {
			return &w.Bases[i]
		}
	}
	return nil
}

// Rules are the figures of the word.
type Rules struct {
	Worse  time.Duration // how long a cause stands before the word gets worse
	Better time.Duration // and before it gets better
	Free   float64       // share of Most that may be held before the weight falls
	Lag    time.Duration // of the loop, at which the weight is a half
	Window time.Duration // over which refusals count
	Rise   float64       // of the weight, a second
	Step   float64       // weights are told in steps of it
}

// Defaults are the usual rules.
func Defaults() Rules {
	return Rules{
		Worse: 100 * time.Millisecond, Better: 300 * time.Millisecond, Free: 0.5, Lag: 100 * time.Millisecond,
		Window: time.Second, Rise: 0.5, Step: 0.05,
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
func (d *damped) step(at time.Time, s State, reason string, r Rules) {
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
	wait := r.Better
	if s > d.now {
		wait = r.Worse
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

// Judge makes words of facts. It is owned by one goroutine.
type Judge struct {
	rules   Rules
	whole   damped
	bases   map[string]*damped
	samples []sample
	weight  float64
	at      time.Time
}

// New returns a Judge that has said nothing yet.
func New(r Rules) *Judge { return &Judge{rules: r, bases: map[string]*damped{}, weight: 1} }

// Judge takes the facts of a moment and returns the word. Moments come in order, at least every Worse.
func (j *Judge) Judge(now time.Time, f Facts) Word {
	w := Word{At: now, Drain: f.Draining}
	named := map[string]bool{}
	states := [3]int{}
	for _, b := range f.Bases {
		d := j.bases[b.Name]
		if d == nil {
			d = &damped{}
			j.bases[b.Name] = d
		}
		named[b.Name] = true
		s, reason := judgeBase(b)
		d.step(now, s, reason, j.rules)
		w.Bases = append(w.Bases, Base{b.Name, d.now, d.now.String(), d.reason})
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
	case len(f.Bases) > 0 && states[Down] == len(f.Bases):
		w.State = Down
	case states[Down]+states[Degraded] > 0:
		w.State = Degraded
	}
	load, why := j.headroom(now, f)
	w.Weight = max(1, int(math.Round(load/j.rules.Step)*j.rules.Step*100+0.5))
	w.Reasons = append(w.Reasons, why...)
	if f.Draining {
		w.Reasons = append(w.Reasons, "shutting down")
	}
	w.Said = w.State.String()
	return w
}

func judgeBase(b BaseFacts) (State, string) {
	share := 1.0
	if b.Blocks > 0 {
		share = 1 - float64(len(b.Lost))/float64(b.Blocks)
	}
	reason := ""
	switch {
	case len(b.Lost) > 0:
		reason = "no usable holder of block " + list(b.Lost)
	case len(b.Closed) > 0:
		reason = "no usable holder for corrections of block " + list(b.Closed)
	}
	if reason != "" && b.Suspect != "" {
		reason += " (" + b.Suspect + ")"
	}
	switch {
	case share < b.Floor-1e-9 || share <= 0:
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
func (j *Judge) headroom(now time.Time, f Facts) (float64, []string) {
	room, why := 1.0, []string(nil)
	least := func(v float64, reason string) {
		v = min(1, max(0, v))
		if v < 0.95 {
			why = append(why, reason)
		}
		room = min(room, v)
	}
	if f.Most > 0 {
		held := float64(f.Open) / float64(f.Most)
		least((1-held)/(1-j.rules.Free), fmt.Sprintf("%d of %d queries and parts held", f.Open, f.Most))
	}
	least(1/(1+float64(f.Lag)/float64(j.rules.Lag)), fmt.Sprintf("the loop is %v late", f.Lag.Round(time.Millisecond)))
	if f.Limit > 0 {
		least(4*(1-float64(f.Memory)/float64(f.Limit)), fmt.Sprintf("%d of %d MB used", f.Memory>>20, f.Limit>>20))
	}
	j.samples = append(j.samples, sample{now, f.Taken, f.Refused})
	for len(j.samples) > 2 && now.Sub(j.samples[1].at) >= j.rules.Window {
		j.samples = j.samples[1:]
	}
	first := j.samples[0]
	if taken, refused := f.Taken-first.taken, f.Refused-first.refused; taken >= 4 && refused > 0 {
		least(1-float64(refused)/float64(taken), fmt.Sprintf("%d of the last %d queries refused", refused, taken))
	}
	if !j.at.IsZero() {
		room = min(room, j.weight+j.rules.Rise*max(0, now.Sub(j.at).Seconds()))
	}
	j.weight, j.at = room, now
	return room, why
}
