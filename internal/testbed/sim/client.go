package sim

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// query is one query of a client: its first request and all its retries.
type query struct {
	class      int
	parts      []aggregator.PartSpec
	attempts   int // requests sent so far
	number     int
	aggregator int
	deadline   time.Time // of the client, for all its requests together
	objective  time.Time // latest time of an answer within the latency objective
}

// clientRequest is one request of a query. It is the frontend to which the core passes the final answer.
type clientRequest struct {
	world     *world
	query     *query
	id        string
	started   time.Time
	partNames []string // expected names of its parts
}

// Fractions of the queries by class; the remainder are searches.
const (
	reportFraction     = 0.22
	correctionFraction = 0.22
)

// minTimeToDeadline is the minimum time to a query's deadline for its client to retry.
const minTimeToDeadline = 100 * time.Millisecond

// queryArrives sends a new query and schedules the next.
func (w *world) queryArrives() {
	if w.now.After(StartTime.Add(w.Duration)) {
		return
	}
	interval := time.Duration(w.rng.ExpFloat64() / w.arrivalRate() * float64(time.Second))
	w.after(interval, w.queryArrives)
	w.sendRequest(w.sampleQuery())
}

// sampleQuery draws a query and counts it.
func (w *world) sampleQuery() *query {
	kind := w.rng.Float64()
	q := &query{class: search, aggregator: w.pickAggregator(), number: w.result.Queries}
	partCount := w.SearchParts
	switch {
	case kind < reportFraction:
		q.class = report
	case kind < reportFraction+correctionFraction:
		q.class = correction
		partCount = 1
	}
	partCount = min(partCount, w.Replicas)
	for _, shard := range w.rng.Perm(w.Replicas)[:partCount] {
		q.parts = append(q.parts, aggregator.PartSpec{Shard: shard, Weight: 1 / float64(partCount)})
	}
	class := classes()[q.class]
	q.deadline = w.now.Add(class.Deadline)
	q.objective = w.now.Add(class.Objective)
	w.result.Queries++
	w.result.Classes[q.class].Queries++
	return q
}

// pickAggregator draws the aggregator of a client, by the aggregators' weights.
func (w *world) pickAggregator() int {
	if w.TrafficSkew == 0 {
		return w.rng.IntN(len(w.aggregators))
	}
	last := len(w.cumulativeTraffic) - 1
	sample := w.rng.Float64() * w.cumulativeTraffic[last]
	index, _ := slices.BinarySearch(w.cumulativeTraffic, sample)
	return min(index, last)
}

// arrivalRate returns the current rate of queries, including bursts.
func (w *world) arrivalRate() float64 {
	rate := w.Rate
	for i := range w.Faults {
		fault := &w.Faults[i]
		if fault.Kind == Burst && fault.activeAt(w.now) {
			rate *= fault.Magnitude
		}
	}
	return rate
}

// sendRequest sends the query's next request.
func (w *world) sendRequest(query *query) {
	query.attempts++
	w.result.Requests++
	c := &clientRequest{
		world:   w,
		query:   query,
		id:      fmt.Sprintf("q%d-%d", query.number, query.attempts),
		started: w.now,
	}
	for _, part := range query.parts {
		c.partNames = append(c.partNames, fmt.Sprintf("%s.%d", c.id, part.Shard))
	}
	request := &aggregator.Request{
		ID:       c.id,
		Class:    query.class,
		Arrived:  w.now,
		Timeout:  query.deadline.Sub(w.now),
		IsRetry:  query.attempts > 1,
		Parts:    query.parts,
		Frontend: c,
	}
	w.checker.requestSent(c, request)
	w.record("ask", uint64(query.number), uint64(query.attempts))
	for w.aggregators[query.aggregator].crashed { // the connection is refused: the client uses another aggregator
		query.aggregator = w.pickAggregator()
	}
	host := w.aggregators[query.aggregator]
	host.openRequests[c] = true
	host.post(aggregator.RequestArrived{Request: request})
	if w.InjectedBug == BugLostQuery && query.number == 50 {
		request.Frontend = discardAnswer{}
	}
}

// discardAnswer is the frontend that BugLostQuery substitutes.
type discardAnswer struct{}

func (discardAnswer) Answer(aggregator.FinalAnswer) {}

// Answer handles the final answer. A client whose request was rejected or failed may retry before the query's deadline.
func (c *clientRequest) Answer(answer aggregator.FinalAnswer) {
	w := c.world
	q := c.query
	w.record("answer", uint64(q.number), uint64(answer.Status))
	if w.InjectedBug == BugFalseComplete && answer.Status == aggregator.StatusServed {
		answer.Complete = true
	}
	w.checker.requestAnswered(c, answer)
	delete(w.aggregators[q.aggregator].openRequests, c)
	switch answer.Status {
	case aggregator.StatusServed:
		c.countServed(answer.Complete)
		return
	case aggregator.StatusRejected:
		w.result.Rejected++
	default:
		w.result.Failed++
		if q.class == correction {
			return // the correction may have run, and is not idempotent
		}
	}
	c.retry()
}

// countServed counts a request that was served.
func (c *clientRequest) countServed(complete bool) {
	w := c.world
	class := &w.result.Classes[c.query.class]
	w.result.Served++
	w.result.Answered++
	class.Answered++
	if !w.now.After(c.query.objective) {
		class.WithinObjective++
	}
	if !complete {
		w.result.Partial++
	}
	w.result.Latencies = append(w.result.Latencies, w.now.Sub(c.started))
}

// connectionLost ends a request whose aggregator crashed: the client's connection is closed.
func (c *clientRequest) connectionLost() {
	w := c.world
	q := c.query
	w.record("lost", uint64(q.number), uint64(q.attempts))
	w.checker.requestLost(c)
	w.result.ConnectionsLost++
	if q.class != correction {
		c.retry()
	}
}

// retry schedules another request, if the client has remaining retries and time.
func (c *clientRequest) retry() {
	w := c.world
	q := c.query
	if q.attempts > w.Retries {
		return
	}
	delay := time.Duration((0.5 + 1.5*w.rng.Float64()) * float64(w.RetryDelay))
	retryAt := w.now.Add(delay)
	if retryAt.Before(q.deadline.Add(-minTimeToDeadline)) {
		w.at(retryAt, func() { w.sendRequest(q) })
	}
}
