package shardmap

import "slices"

// Part is a part of a query, as the query's pinned view places it.
type Part struct {
	Shard      ID
	Servers    []string // that may still be sent the part
	MayHaveRun bool     // an attempt that has ended may have run
	InFlight   bool     // an attempt is in flight, and may run
	Answered   bool
}

func (p *Part) possiblyRan() bool { return p.MayHaveRun || p.InFlight || p.Answered }

// QueryPlacement is one query on its view. It decides whether the query's parts may be placed again on a newer map; the
// choice among the servers of a part is made elsewhere. It is owned by the goroutine that owns the Views.
type QueryPlacement struct {
	View       *View
	Idempotent bool // every part may run twice
	Parts      []Part
	Restarts   int
	SecondStep bool // it is the second step of a query, and has to stay on the view of the first
}

// MaxRestarts is how often a query is restarted on a newer view. This protects a client's time and the servers from
// a map that changes all the time.
const MaxRestarts = 3

// Decision is what becomes of a part, or of a query, after a rejection. The zero value ends the query, unless the part
// has servers left.
type Decision struct {
	DropServer     bool // the server was removed from the servers of the part
	RequestMap     bool // the source should be requested for a newer map
	FalseRejection bool // the rejection contradicts a map that the server must know
	Restart        bool // the query restarts on the current view
	AwaitMap       bool // the query waits for a newer map, which may be on its way
}

// QueryContinues reports whether the query restarts, now or once there is a newer map.
func (d Decision) QueryContinues() bool { return d.Restart || d.AwaitMap }

// Rejection is a server's rejection of a part because of its map.
type Rejection struct {
	Part       int // index in QueryPlacement.Parts
	Server     string
	Mismatch   Mismatch
	Epoch      Epoch // that the server named
	RequestMap bool  // what Views.ObserveEpoch returned for that epoch
}

// Rejected decides on a part after its rejection. The server is removed from those that may be sent the part.
func (q *QueryPlacement) Rejected(views *Views, rejection Rejection) Decision {
	part := &q.Parts[rejection.Part]
	decision := Decision{
		RequestMap:     rejection.RequestMap,
		FalseRejection: views.contradicts(part.Shard, rejection),
	}
	if i := slices.Index(part.Servers, rejection.Server); i >= 0 {
		part.Servers = slices.Delete(part.Servers, i, i+1)
		decision.DropServer = true
	}
	if len(part.Servers) > 0 || part.Answered {
		return decision // others may be sent the part
	}
	next := q.ViewUnusable(views)
	decision.Restart = next.Restart
	decision.AwaitMap = next.AwaitMap
	return decision
}

// contradicts reports whether a rejection is wrong by a map that its sender must know: it names an epoch that is
// not newer than the current map, by which the server serves the shard all the same.
func (vs *Views) contradicts(id ID, rejection Rejection) bool {
	current := vs.Current()
	if current == nil || rejection.Epoch > current.Epoch || rejection.Mismatch == NoMismatch {
		return false
	}
	shard := current.Shard(id)
	return shard != nil && shard.Active() && shard.ServedBy(rejection.Server)
}

// ViewUnusable decides on a query that has to leave its view, or that has a part without servers left: it may
// restart on the current view, or on a newer one. A part that may have run must not run at another replica unless
// the query is idempotent, and a second step cannot change its view.
func (q *QueryPlacement) ViewUnusable(views *Views) Decision {
	if q.SecondStep || q.Restarts >= MaxRestarts || !q.restartIsSafe() {
		return Decision{}
	}
	if current := views.Current(); current != nil && current.Epoch > q.View.Map.Epoch {
		return Decision{Restart: true}
	}
	return Decision{AwaitMap: views.AwaitingMap()}
}

func (q *QueryPlacement) restartIsSafe() bool { return q.Idempotent || !q.MayHaveRun() }

// MayHaveRun reports whether any part of the query may have run, or may be running.
func (q *QueryPlacement) MayHaveRun() bool {
	for i := range q.Parts {
		if q.Parts[i].possiblyRan() {
			return true
		}
	}
	return false
}
