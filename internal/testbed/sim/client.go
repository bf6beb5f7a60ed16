package sim

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// query is what a client wants, over its first request and all retries.
type query struct {
	class      int
	parts      []aggregator.PartSpec
	attempts   int // requests so far
	number     int
	aggregator int
	deadline   time.Time // by which the client gives up
	objective  time.Time // an answer by then is within the objective
}

// clientRequest is one request; it waits for the final answer.
type clientRequest struct {
	world     *world
	query     *query
	id        string
	started   time.Time
	partNames []string // of its parts
}

// Fractions of the queries; searches are the rest.
const (
	reportFraction     = 0.22
	correctionFraction = 0.22
)

// queryArrives draws a new query and schedules the next.
func (w *world) queryArrives() {
	if w.now.After(Start.Add(w.Duration)) {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.arrivalRate()*float64(time.Second)), w.queryArrives)
	x := w.rng.Float64()
	q := &query{class: search, aggregator: w.pickAggregator(), number: w.result.Queries}
	n := w.SearchParts
	switch {
	case x < reportFraction:
		q.class = report
	case x < reportFraction+correctionFraction:
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

// pickAggregator draws an aggregator for a client, by its weight.
func (w *world) pickAggregator() int {
	if w.TrafficSkew == 0 {
		return w.rng.IntN(len(w.aggregators))
	}
	x := w.rng.Float64() * w.cumulativeTraffic[len(w.cumulativeTraffic)-1]
	i, _ := slices.BinarySearch(w.cumulativeTraffic, x)
	return min(i, len(w.cumulativeTraffic)-1)
}

// arrivalRate is the present rate of queries, bursts included.
func (w *world) arrivalRate() float64 {
	r := w.Rate
	for i := range w.Faults {
		if t := &w.Faults[i]; t.Kind == Burst && t.activeAt(w.now) {
			r *= t.Magnitude
		}
	}
	return r
}

// sendRequest sends the query's next request.
func (w *world) sendRequest(q *query) {
	q.attempts++
	w.result.Requests++
	c := &clientRequest{world: w, query: q, id: fmt.Sprintf("q%d-%d", q.number, q.attempts), started: w.now}
	for _, p := range q.parts {
		c.partNames = append(c.partNames, fmt.Sprintf("%s.%d", c.id, p.Shard))
	}
	r := &aggregator.Request{ID: c.id, Class: q.class, Arrived: w.now, Timeout: q.deadline.Sub(w.now), IsRetry: q.attempts > 1, Parts: q.parts, Frontend: c}
	w.checker.requestSent(c, r)
	w.record("ask", uint64(q.number), uint64(q.attempts))
	for w.aggregators[q.aggregator].crashed { // the connection is refused: the client goes to another
		q.aggregator = w.pickAggregator()
	}
	w.aggregators[q.aggregator].openRequests[c] = true
	w.aggregators[q.aggregator].post(aggregator.RequestArrived{Request: r})
	if w.PlantedBug == BugLostQuery && q.number == 50 {
		r.Frontend = discardAnswer{}
	}
}

type discardAnswer struct{}

func (discardAnswer) Answer(aggregator.FinalAnswer) {}

// Answer takes the final answer. A client whose request was rejected or failed may retry before the query's deadline.
func (c *clientRequest) Answer(f aggregator.FinalAnswer) {
	w, q := c.world, c.query
	w.record("answer", uint64(q.number), uint64(f.Status))
	if w.PlantedBug == BugDishonestComplete && f.Status == aggregator.StatusServed && !f.Complete {
		f.Complete = true
	}
	w.checker.requestAnswered(c, f)
	delete(w.aggregators[q.aggregator].openRequests, c)
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
		w.result.Latencies = append(w.result.Latencies, w.now.Sub(c.started))
		return
	case aggregator.StatusRejected:
		w.result.Rejected++
	default:
		w.result.Failed++
		if q.class == correction {
			return // it may have run, and is not idempotent
		}
	}
	c.retry()
}

// connectionLost ends a request whose aggregator crashed: the client sees its connection end.
func (c *clientRequest) connectionLost() {
	w, q := c.world, c.query
	w.record("lost", uint64(q.number), uint64(q.attempts))
	w.checker.requestLost(c)
	w.result.ConnectionsLost++
	if q.class != correction {
		c.retry()
	}
}

// retry schedules another request, if the client has retries and time left.
func (c *clientRequest) retry() {
	w, q := c.world, c.query
	if q.attempts <= w.Retries {
		d := time.Duration((0.5 + 1.5*w.rng.Float64()) * float64(w.RetryDelay))
		if at := w.now.Add(d); at.Before(q.deadline.Add(-100 * time.Millisecond)) {
			w.at(at, func() { w.sendRequest(q) })
		}
	}
}
