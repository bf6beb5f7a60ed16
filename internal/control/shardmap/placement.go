package shardmap

import "slices"

// Part is the state of a part of a query on the query's pinned view.
type Part struct {
	Shard      ID
	Servers    []string // to which the part may still be sent
	MayHaveRun bool     // an attempt that has ended may have run
	InFlight   bool     // an attempt is in flight, and may run
	Answered   bool
}

func (p *Part) possiblyRan() bool { return p.MayHaveRun || p.InFlight || p.Answered }

// QueryPlacement is the state of one query on its pinned view. It decides whether the query may be restarted on a newer
// map; it does not choose among the servers of a part. It is owned by the goroutine that owns the Views.
type QueryPlacement struct {
	View       *View
	Idempotent bool // every part may run twice
	Parts      []Part
	Restarts   int
	SecondStep bool // it is the second step of a query, and has to stay on the view of the first
}

// MaxRestarts is the maximum number of restarts of a query on a newer view. It limits the delay for the client and the
// load on the servers if the map changes frequently.
const MaxRestarts = 3

// Decision is how a part or its query proceeds after a rejection. With the zero value the query cannot proceed, unless
// the part has servers left.
type Decision struct {
	ServerDropped  bool // the server was removed from the servers of the part
	RequestMap     bool // a newer map should be requested from the source
	FalseRejection bool // the rejection contradicts a map that the server must have received
	Restart        bool // the query restarts on the current view
	AwaitMap       bool // the query waits for a newer map, which may arrive soon
}

// QueryContinues reports whether the query restarts, now or once a newer map is adopted.
func (d Decision) QueryContinues() bool { return d.Restart || d.AwaitMap }

// Rejection is a server's rejection of a part because of its map.
type Rejection struct {
	Part       int // index in QueryPlacement.Parts
	Server     string
	Mismatch   Mismatch
	Epoch      Epoch // that the server named
	RequestMap bool  // what Views.ObserveEpoch returned for that epoch
}

// Rejected handles the rejection of a part. The server is removed from those to which the part may be sent.
func (q *QueryPlacement) Rejected(views *Views, rejection Rejection) Decision {
	part := &q.Parts[rejection.Part]
	decision := Decision{
		RequestMap:     rejection.RequestMap,
		FalseRejection: views.contradicts(part.Shard, rejection),
	}
	if i := slices.Index(part.Servers, rejection.Server); i >= 0 {
		part.Servers = slices.Delete(part.Servers, i, i+1)
		decision.ServerDropped = true
	}
	if len(part.Servers) > 0 || part.Answered {
		return decision // another server may be sent the part, or it was answered
	}
	next := q.DecideUnusableView(views)
	decision.Restart = next.Restart
	decision.AwaitMap = next.AwaitMap
	return decision
}

// contradicts reports whether the current map, which the server must have received, contradicts a rejection: the epoch
// that the rejection names is not newer than the current one, and the server does serve the shard by the current map.
func (vs *Views) contradicts(id ID, rejection Rejection) bool {
	current := vs.Current()
	if current == nil || rejection.Epoch > current.Epoch || rejection.Mismatch == NoMismatch {
		return false
	}
	shard := current.Shard(id)
	return shard != nil && shard.Active() && shard.ServedBy(rejection.Server)
}

// DecideUnusableView decides how a query proceeds that has to leave its view, or has a part without servers left: it
// may restart on the current view or wait for a newer one. A part that may have run must not run at another replica
// unless the query is idempotent, and a second step cannot change its view.
func (q *QueryPlacement) DecideUnusableView(views *Views) Decision {
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
