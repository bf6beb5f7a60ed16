package sim

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/listwatch"
)

// Discovery is how mixers hear of the list. The zero value tells each of them at once, with the troubles' lag.
type Discovery struct {
	Kind      string        // Agents or Shared; empty: told at once
	PerSecond float64       // Shared: calls that it answers
	Wait      time.Duration // Shared: a call that would wait longer for its turn is refused
}

// Kinds of discovery, as the platform has them.
const (
	Agents = "agents" // an agent on each mixer's machine: what that has counts as told
	Shared = "shared" // one service that all mixers call
)

const (
	beat       = 2 * time.Second  // between the lines of a live watch
	silentTold = 6 * time.Second  // after it fell silent what a watch misses counts as told
	askedTold  = 10 * time.Second // what a mixer without a watch may not know, Shared
	failedTold = 40 * time.Second // the same, after a failed call
)

// entry is a line of the list.
type entry struct {
	n       *node
	state   balance.EndpointState
	started time.Time
}

// registry is the list in versions, which mixers follow by calls of their own.
type registry struct {
	w       *world
	lines   []entry // line i made version i + 1
	silent  bool    // nothing comes of it, and watches that were open are broken
	free    time.Time
	waiting []func() // calls that came while it was silent
	calls   int
	failed  int // calls that it refused
}

// change adds a line and passes it on to open watches.
func (r *registry) change(n *node, s balance.EndpointState) {
	r.lines = append(r.lines, entry{n, s, n.started})
	for _, m := range r.w.mixers {
		if m.follow != nil {
			m.follow.counts(r.lines[len(r.lines)-1])
			if f, gen := m.follow, m.follow.gen; f.live && !f.deaf {
				r.w.in(r.lag(), func() { f.bring(gen) })
			}
		}
	}
}

func (r *registry) lag() time.Duration {
	return time.Duration(r.w.rng.Float64() * float64(50*time.Millisecond))
}

// silence makes discovery silent, or lets it speak again.
func (r *registry) silence(silent bool) {
	r.silent = silent
	if !silent {
		for _, answer := range r.waiting {
			answer()
		}
		r.waiting = nil
	}
	for _, m := range r.w.mixers {
		if f := m.follow; silent && f != nil && !f.deaf {
			f.deaf, f.deafAt = true, r.w.now
		}
	}
}

// follower is a mixer's calls of discovery: the decisions of decide/watch, with the call and the word simulated.
type follower struct {
	r       *registry
	m       *mixerHost
	calls   *listwatch.Reconnector
	gen     int // number of the present call
	live    bool
	deaf    bool // the present call hears nothing any more
	deafAt  time.Time
	failed  bool
	version int
}

func newFollower(r *registry, m *mixerHost) *follower {
	shared := 0
	if r.w.Discovery.Kind == Shared || r.w.Planted == waitsInSilence {
		shared = r.w.Mixers
	}
	return &follower{r: r, m: m, calls: listwatch.New(listwatch.PlatformConfig(shared))}
}

// waitsInSilence is a planted bug: a silent watch is opened anew only after the fleet's back-off.
const waitsInSilence = "waits in silence"

// begin makes the first call of a process. What the agent has counts as told to a new one from its first moment.
func (f *follower) begin(again bool) {
	f.live, f.deaf = false, false
	if again && f.r.w.Discovery.Kind == Agents {
		for _, e := range f.r.lines[f.version:] {
			f.counts(e)
		}
	}
	f.open()
}

// open calls discovery.
func (f *follower) open() {
	w := f.r.w
	f.gen++
	f.r.calls++
	gen := f.gen
	f.live, f.deaf = false, f.r.silent
	f.deafAt = w.now
	f.calls.Opened(w.now, w.rng.Float64())
	f.look(gen)
	if f.deaf {
		for _, e := range f.r.lines[f.version:] {
			f.counts(e)
		}
		if w.Discovery.Kind == Shared {
			f.r.waiting = append(f.r.waiting, func() { f.answer(gen) })
		}
		return
	}
	f.answer(gen)
}

// answer is discovery's to a call, in its turn: a service answers those that waited while it was silent when it speaks
// again, and an agent does not.
func (f *follower) answer(gen int) {
	w := f.r.w
	if f.gen != gen {
		return
	}
	f.deaf = false
	turn := w.now
	if w.Discovery.Kind == Shared {
		if f.r.free.Before(turn) {
			f.r.free = turn
		}
		if f.r.free.Sub(turn) > w.Discovery.Wait {
			f.r.failed++
			f.failed = true
			w.in(w.delay(), func() { f.ended(gen) })
			return
		}
		turn = f.r.free
		f.r.free = f.r.free.Add(time.Duration(float64(time.Second) / w.Discovery.PerSecond))
	}
	w.at(turn.Add(w.delay()), func() {
		if f.gen == gen && !f.deaf {
			f.live = true
			f.bring(gen)
			f.beats(gen)
		}
	})
}

// bring brings the lines that the mixer does not have.
func (f *follower) bring(gen int) {
	if f.gen != gen || f.deaf {
		return
	}
	f.failed = false
	f.calls.Received(f.r.w.now)
	f.calls.Succeeded()
	list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
	for ; f.version < len(f.r.lines); f.version++ {
		e := f.r.lines[f.version]
		f.m.hears(e)
		s := f.m.server(e.n)
		s.State, s.Started = e.state, e.started
		list.Servers = append(list.Servers, s)
	}
	f.m.put(list)
}

func (f *follower) beats(gen int) {
	f.r.w.in(beat, func() {
		if f.gen == gen && !f.deaf {
			f.calls.Received(f.r.w.now)
			f.beats(gen)
		}
	})
}

// look opens the watch anew once it is broken.
func (f *follower) look(gen int) {
	at := f.calls.SilenceDeadline()
	f.r.w.at(at, func() {
		switch {
		case f.gen != gen:
		case f.calls.SilenceDeadline().After(f.r.w.now):
			f.look(gen)
		case f.r.w.Planted == waitsInSilence:
			f.ended(gen)
		default:
			f.open()
		}
	})
}

func (f *follower) ended(gen int) {
	if f.gen != gen {
		return
	}
	f.gen, f.live = f.gen+1, false
	closed := f.gen
	f.r.w.at(f.calls.Ended(f.r.w.now, f.r.w.rng.Float64()), func() {
		if f.gen == closed {
			f.open()
		}
	})
}

// counts says when a line counts as told, whether or not it comes: by then the mixer answers for what it does.
func (f *follower) counts(e entry) {
	w := f.r.w
	at := w.now.Add(50 * time.Millisecond)
	switch {
	case f.deaf:
		if by := f.deafAt.Add(silentTold); by.After(at) {
			at = by
		}
	case f.live:
	case w.Discovery.Kind == Agents:
		if f.r.silent { // it does not have it
			return
		}
	case f.failed:
		at = w.now.Add(failedTold)
	default:
		at = w.now.Add(askedTold)
	}
	m, life, since := f.m, f.m.life, w.now
	told := func() {
		if m.life == life && !m.dead {
			m.toldOf(e)
		}
	}
	w.at(at, func() {
		if f.failed { // it asked, and was refused: it may not know for longer
			w.at(since.Add(failedTold), told)
			return
		}
		told()
	})
}
