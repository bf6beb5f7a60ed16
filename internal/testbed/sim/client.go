package sim

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// query is what a client wants, over all its tries.
type query struct {
	class      int
	parts      []aggregator.PartSpec
	attempts   int
	number     int
	aggregator int
	deadline   time.Time // the client's own time
	objective  time.Time // an answer by then is in time
	settled    bool
}

// clientRequest waits for one try's final answer.
type clientRequest struct {
	world     *world
	query     *query
	id        string
	started   time.Time
	partNames []string // of its parts
}

// queryArrives makes a new query and the time of the next.
func (w *world) queryArrives() {
	if w.now.After(Start.Add(w.Duration)) {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.arrivalRate()*float64(time.Second)), w.queryArrives)
	x := w.rng.Float64()
	q := &query{class: search, aggregator: w.pickAggregator(), number: w.result.Queries}
	n := w.SearchParts
	switch {
	case x < 0.22:
		q.class = report
	case x < 0.44:
		q.class, n = correction, 1
	}
	n = min(n, w.Replicas)
	for _, s := range w.rng.Perm(w.Replicas)[:n] {
		q.parts = append(q.parts, aggregator.PartSpec{Shard: s, Weight: 1 / float64(n)})
	}
	q.deadline = w.now.Add(classes()[q.class].Deadline)
	q.objective = w.now.Add(classes()[q.class].Objective)
	w.result.Queries++
	w.result.Classes[q.class].Queries++
	w.sendRequest(q)
}

// pickAggregator draws a mixer for a client: some get several times what others get.
func (w *world) pickAggregator() int {
	if w.TrafficSkew == 0 {
		return w.rng.IntN(len(w.aggregators))
	}
	x := w.rng.Float64() * w.cumulativeTraffic[len(w.cumulativeTraffic)-1]
	i, _ := slices.BinarySearch(w.cumulativeTraffic, x)
	return min(i, len(w.cumulativeTraffic)-1)
}

// arrivalRate is that of arrivals by now.
func (w *world) arrivalRate() float64 {
	r := w.Rate
	for i := range w.Faults {
		if t := &w.Faults[i]; t.Kind == Burst && t.activeAt(w.now) {
			r *= t.Magnitude
		}
	}
	return r
}

// sendRequest asks once.
func (w *world) sendRequest(q *query) {
	q.attempts++
	w.result.Requests++
	a := &clientRequest{world: w, query: q, id: fmt.Sprintf("q%d-%d", q.number, q.attempts), started: w.now}
	for _, p := range q.parts {
		a.partNames = append(a.partNames, fmt.Sprintf("%s.%d", a.id, p.Shard))
	}
	r := &aggregator.Request{ID: a.id, Class: q.class, Arrived: w.now, Timeout: q.deadline.Sub(w.now), IsRetry: q.attempts > 1, Parts: q.parts, Frontend: a}
	w.checker.requestSent(a, r)
	w.record("ask", uint64(q.number), uint64(q.attempts))
	for w.aggregators[q.aggregator].crashed { // its connection is refused: it goes to another
		q.aggregator = w.pickAggregator()
	}
	w.aggregators[q.aggregator].openRequests[a] = true
	w.aggregators[q.aggregator].post(aggregator.RequestArrived{Request: r})
	if w.PlantedBug == "lost query" && q.number == 50 {
		r.Frontend = discardAnswer{}
	}
}

type discardAnswer struct{}

func (discardAnswer) Answer(aggregator.FinalAnswer) {}

// Answer takes a try's final answer. A client whose query was refused or failed may try again, while its time lasts.
func (a *clientRequest) Answer(f aggregator.FinalAnswer) {
	w, q := a.world, a.query
	w.record("answer", uint64(q.number), uint64(f.Status))
	if w.PlantedBug == "dishonest whole" && f.Status == aggregator.StatusServed && !f.Complete {
		f.Complete = true
	}
	w.checker.requestAnswered(a, f)
	delete(w.aggregators[q.aggregator].openRequests, a)
	switch f.Status {
	case aggregator.StatusServed:
		w.result.Served++
		w.result.Answered++
		w.result.Classes[q.class].Answered++
		if !w.now.After(q.objective) {
			w.result.Classes[q.class].WithinObjective++
		}
		if !f.Complete {
			w.result.Partial++
		}
		w.result.Latencies = append(w.result.Latencies, w.now.Sub(a.started))
		return
	case aggregator.StatusRejected:
		w.result.Rejected++
	default:
		w.result.Failed++
		if q.class == correction {
			return // it may have run: no client in its senses asks again by itself
		}
	}
	a.retry()
}

// connectionLost ends a try whose mixer died under it: the client sees its connection end.
func (a *clientRequest) connectionLost() {
	w, q := a.world, a.query
	w.record("lost", uint64(q.number), uint64(q.attempts))
	w.checker.requestLost(a)
	w.result.ConnectionsLost++
	if q.class != correction {
		a.retry()
	}
}

// retry makes another try, if the client is to have one.
func (a *clientRequest) retry() {
	w, q := a.world, a.query
	if q.attempts <= w.Retries {
		d := time.Duration((0.5 + 1.5*w.rng.Float64()) * float64(w.RetryDelay))
		if at := w.now.Add(d); at.Before(q.deadline.Add(-100 * time.Millisecond)) {
			w.at(at, func() { w.sendRequest(q) })
		}
	}
}
