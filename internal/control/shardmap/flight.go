package shardmap

import "slices"

// Word is what a server answers to a part that it did not run because of its map.
type Word int

const (
	NoWord  Word = iota
	NotMine      // it holds the block no longer, since an epoch: the part never ran
	NotYet       // it will hold the block from an epoch on: the part never ran
)

func (w Word) String() string { return [...]string{"", "not mine since", "mine from"}[w] }

// Part is a part of a query as its pinned view places it.
type Part struct {
	Block   ID
	Servers []string // that may still be asked for it
	MayRun  bool     // some attempt of it may have run
	Out     bool     // an attempt is out, and may run
	In      bool     // its answer is in
}

func (p *Part) mayHaveRun() bool { return p.MayRun || p.Out || p.In }

// Flight is one query on its view. It holds what decides whether parts may be placed anew; the choice among the
// servers of a part is made elsewhere.
type Flight struct {
	View     *View
	Safe     bool // every part may run twice
	Parts    []Part
	Restarts int
	Second   bool // its second step: that stays on the first step's view
}

// MostRestarts is how often a query is begun anew on a newer view. Guards a client's time and the servers against a
// map that never stands still.
const MostRestarts = 3

// Verdict is what becomes of a part, or of a query, after a word.
type Verdict struct {
	Drop    bool // the server is asked no more for this part
	Ask     bool // the source should be asked for a newer map
	Lie     bool // the word contradicts the map that both must know by now
	Restart bool // the query begins anew on the present view
	Wait    bool // for a newer map, which may be on its way
}

// Rejected takes a server's word on a part. epoch is what the word names.
func (f *Flight) TurnedAway(vs *Views, part int, server string, w Word, epoch Epoch, ask bool) Verdict {
	v := Verdict{Ask: ask}
	p := &f.Parts[part]
	if i := slices.Index(p.Servers, server); i >= 0 {
		p.Servers = slices.Delete(p.Servers, i, i+1)
		v.Drop = true
	}
	// What both have to know by now: an epoch that is not newer than the present map, in which the server serves the
	// block all the same.
	if now := vs.Now(); now != nil && epoch <= now.Epoch {
		if b := now.Block(p.Block); b != nil && b.Active() && b.Serves(server) && (w == NotMine || w == NotYet) {
			v.Lie = true
		}
	}
	if len(p.Servers) > 0 || p.In {
		return v // others may be asked
	}
	v.Restart, v.Wait = f.anew(vs)
	return v
}

// Stranded says what becomes of a query that has to leave its view, or whose part has nobody left to ask.
func (f *Flight) Stranded(vs *Views) Verdict {
	restart, wait := f.anew(vs)
	return Verdict{Restart: restart, Wait: wait}
}

// anew says whether the query may begin anew on the present view, or might on a newer one. What may have run must not
// run at another holder, so nothing of a query that is not safe may have; a second step has no other view.
func (f *Flight) anew(vs *Views) (restart, wait bool) {
	if f.Second || f.Restarts >= MostRestarts || !f.mayRepeat() {
		return false, false
	}
	if now := vs.Now(); now != nil && now.Epoch > f.View.Map.Epoch {
		return true, false
	}
	return false, vs.Awaits()
}

func (f *Flight) mayRepeat() bool {
	if f.Safe {
		return true
	}
	return !f.MayHaveRun()
}

// MayHaveRun says whether any part of the query may have run, or may be running.
func (f *Flight) MayHaveRun() bool {
	for i := range f.Parts {
		if f.Parts[i].mayHaveRun() {
			return true
		}
	}
	return false
}
