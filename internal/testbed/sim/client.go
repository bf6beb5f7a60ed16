package sim

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// want is what a client wants, over all its tries.
type want struct {
	class   int
	parts   []aggregator.PartSpec
	tries   int
	number  int
	mixer   int
	giveUp  time.Time // the client's own time
	inTime  time.Time // an answer by then is in time
	settled bool
}

// asked waits for one try's final answer.
type asked struct {
	w     *world
	want  *want
	id    string
	began time.Time
	names []string // of its parts
}

// arrive makes a new query and the time of the next.
func (w *world) arrive() {
	if w.now.After(Start.Add(w.For)) {
		return
	}
	w.in(time.Duration(w.rng.ExpFloat64()/w.rate()*float64(time.Second)), w.arrive)
	x := w.rng.Float64()
	q := &want{class: search, mixer: w.pick(), number: w.result.Wanted}
	n := w.Parts
	switch {
	case x < 0.22:
		q.class = report
	case x < 0.44:
		q.class, n = correction, 1
	}
	n = min(n, w.Nodes)
	for _, s := range w.rng.Perm(w.Nodes)[:n] {
		q.parts = append(q.parts, aggregator.PartSpec{Shard: s, Weight: 1 / float64(n)})
	}
	q.giveUp = w.now.Add(classes()[q.class].Deadline)
	q.inTime = w.now.Add(classes()[q.class].Objective)
	w.result.Wanted++
	w.result.Classes[q.class].Wanted++
	w.try(q)
}

// pick draws a mixer for a client: some get several times what others get.
func (w *world) pick() int {
	if w.Skew == 0 {
		return w.rng.IntN(len(w.mixers))
	}
	x := w.rng.Float64() * w.traffic[len(w.traffic)-1]
	i, _ := slices.BinarySearch(w.traffic, x)
	return min(i, len(w.traffic)-1)
}

// rate is that of arrivals by now.
func (w *world) rate() float64 {
	r := w.Rate
	for i := range w.Troubles {
		if t := &w.Troubles[i]; t.Kind == Burst && t.on(w.now) {
			r *= t.Size
		}
	}
	return r
}

// try asks once.
func (w *world) try(q *want) {
	q.tries++
	w.result.Asked++
	a := &asked{w: w, want: q, id: fmt.Sprintf("q%d-%d", q.number, q.tries), began: w.now}
	for _, p := range q.parts {
		a.names = append(a.names, fmt.Sprintf("%s.%d", a.id, p.Shard))
	}
	r := &aggregator.Request{ID: a.id, Class: q.class, Arrived: w.now, Timeout: q.giveUp.Sub(w.now), IsRetry: q.tries > 1, Parts: q.parts, Frontend: a}
	w.check.asked(a, r)
	w.note("ask", uint64(q.number), uint64(q.tries))
	for w.mixers[q.mixer].dead { // its connection is refused: it goes to another
		q.mixer = w.pick()
	}
	w.mixers[q.mixer].open[a] = true
	w.mixers[q.mixer].put(aggregator.RequestArrived{Request: r})
	if w.Planted == "lost query" && q.number == 50 {
		r.Frontend = nobody{}
	}
}

type nobody struct{}

func (nobody) Answer(aggregator.FinalAnswer) {}

// Answer takes a try's final answer. A client whose query was refused or failed may try again, while its time lasts.
func (a *asked) Answer(f aggregator.FinalAnswer) {
	w, q := a.w, a.want
	w.note("answer", uint64(q.number), uint64(f.Status))
	if w.Planted == "dishonest whole" && f.Status == aggregator.StatusServed && !f.Complete {
		f.Complete = true
	}
	w.check.answered(a, f)
	delete(w.mixers[q.mixer].open, a)
	switch f.Status {
	case aggregator.StatusServed:
		w.result.Served++
		w.result.Got++
		w.result.Classes[q.class].Got++
		if !w.now.After(q.inTime) {
			w.result.Classes[q.class].InTime++
		}
		if !f.Complete {
			w.result.Partial++
		}
		w.result.Took = append(w.result.Took, w.now.Sub(a.began))
		return
	case aggregator.StatusRejected:
		w.result.Refused++
	default:
		w.result.Failed++
		if q.class == correction {
			return // it may have run: no client in its senses asks again by itself
		}
	}
	a.again()
}

// lost ends a try whose mixer died under it: the client sees its connection end.
func (a *asked) lost() {
	w, q := a.w, a.want
	w.note("lost", uint64(q.number), uint64(q.tries))
	w.check.lost(a)
	w.result.Lost++
	if q.class != correction {
		a.again()
	}
}

// again makes another try, if the client is to have one.
func (a *asked) again() {
	w, q := a.w, a.want
	if q.tries <= w.Retries {
		d := time.Duration((0.5 + 1.5*w.rng.Float64()) * float64(w.RetryAt))
		if at := w.now.Add(d); at.Before(q.giveUp.Add(-100 * time.Millisecond)) {
			w.at(at, func() { w.try(q) })
		}
	}
}
