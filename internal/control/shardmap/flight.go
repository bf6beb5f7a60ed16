package shardmap

import "slices"

// Mismatch is what a server answers to a part that it did not run because of its map.
type Mismatch int

const (
	NoMismatch Mismatch = iota
	NotHeld             // it holds the block no longer, since an epoch: the part never ran
	NotHeldYet          // it will hold the block from an epoch on: the part never ran
)

func (w Mismatch) String() string { return [...]string{"", "not mine since", "mine from"}[w] }

// Part is a part of a query as its pinned view places it.
type Part struct {
	Shard      ID
	Servers    []string // that may still be asked for it
	MayHaveRun bool     // some attempt of it may have run
	InFlight   bool     // an attempt is out, and may run
	Answered   bool     // its answer is in
}

func (p *Part) mayHaveRun() bool { return p.MayHaveRun || p.InFlight || p.Answered }

// QueryPlacement is one query on its view. It holds what decides whether parts may be placed anew; the choice among the
// servers of a part is made elsewhere.
type QueryPlacement struct {
	View       *View
	Idempotent bool // every part may run twice
	Parts      []Part
	Restarts   int
	SecondStep bool // its second step: that stays on the first step's view
}

// MaxRestarts is how often a query is begun anew on a newer view. Guards a client's time and the servers against a
// map that never stands still.
const MaxRestarts = 3

// Decision is what becomes of a part, or of a query, after a word.
type Decision struct {
	DropServer     bool // the server is asked no more for this part
	RequestMap     bool // the source should be asked for a newer map
	FalseRejection bool // the word contradicts the map that both must know by now
	Restart        bool // the query begins anew on the present view
	AwaitMap       bool // for a newer map, which may be on its way
}

// Rejected takes a server's word on a part. epoch is what the word names.
func (f *QueryPlacement) Rejected(vs *Views, part int, server string, w Mismatch, epoch Epoch, ask bool) Decision {
	v := Decision{RequestMap: ask}
	p := &f.Parts[part]
	if i := slices.Index(p.Servers, server); i >= 0 {
		p.Servers = slices.Delete(p.Servers, i, i+1)
		v.DropServer = true
	}
	// What both have to know by now: an epoch that is not newer than the present map, in which the server serves the
	// block all the same.
	if now := vs.Current(); now != nil && epoch <= now.Epoch {
		if b := now.Shard(p.Shard); b != nil && b.Active() && b.ServedBy(server) && (w == NotHeld || w == NotHeldYet) {
			v.FalseRejection = true
		}
	}
	if len(p.Servers) > 0 || p.Answered {
		return v // others may be asked
	}
	v.Restart, v.AwaitMap = f.anew(vs)
	return v
}

// ViewUnusable says what becomes of a query that has to leave its view, or whose part has nobody left to ask.
func (f *QueryPlacement) ViewUnusable(vs *Views) Decision {
	restart, wait := f.anew(vs)
	return Decision{Restart: restart, AwaitMap: wait}
}

// anew says whether the query may begin anew on the present view, or might on a newer one. What may have run must not
// run at another holder, so nothing of a query that is not safe may have; a second step has no other view.
func (f *QueryPlacement) anew(vs *Views) (restart, wait bool) {
	if f.SecondStep || f.Restarts >= MaxRestarts || !f.mayRepeat() {
		return false, false
	}
	if now := vs.Current(); now != nil && now.Epoch > f.View.Map.Epoch {
		return true, false
	}
	return false, vs.AwaitingMap()
}

func (f *QueryPlacement) mayRepeat() bool {
	if f.Idempotent {
		return true
	}
	return !f.MayHaveRun()
}

// MayHaveRun says whether any part of the query may have run, or may be running.
func (f *QueryPlacement) MayHaveRun() bool {
	for i := range f.Parts {
		if f.Parts[i].mayHaveRun() {
			return true
		}
	}
	return false
}
