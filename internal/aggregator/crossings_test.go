package aggregator

import (
	"testing"
	"time"

	"rooktrestle/balance"
)

// again notes what a core says of each attempt that it gives up.
type again struct {
	*world
	said map[AttemptID]bool
}

func (a again) Cancel(now time.Time, id AttemptID, again bool) {
	a.said[id] = again
	a.world.Cancel(now, id, again)
}

func start(t *testing.T, set balance.Settings) again {
	b, err := balance.New(set)
	if err != nil {
		t.Fatal(err)
	}
	a := again{&world{t: t, now: begin, finals: map[string][]FinalAnswer{}}, map[AttemptID]bool{}}
	a.c = NewCore(b, a, Limits{FollowUpParts: []int{0, 0, 2}, DeadlineMargin: 20 * time.Millisecond}, begin)
	a.turn(EndpointsChanged{Kind: balance.ListFull, Servers: []Server{{ID: "a", Addr: "a:1", Cell: 0}, {ID: "b", Addr: "b:1", Cell: 1}}})
	return a
}

// A part that may have run is to be written again within its class's window, counted from its first attempt that may have
// run; one that never ran starts none. The decisions look when they choose, and the connection may come up later.
func TestTheWindowForRepeatsBindsTheWrite(t *testing.T) {
	const window = 700 * time.Millisecond
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].DedupWindow = balance.KeyedIdempotent, window
	b, err := balance.New(set)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, now: begin, finals: map[string][]FinalAnswer{}}
	w.c = NewCore(b, w, Limits{FollowUpParts: []int{0, 0, 2}, DedupWindows: []time.Duration{window}, DeadlineMargin: 20 * time.Millisecond}, begin)
	w.turn(EndpointsChanged{Kind: balance.ListFull, Servers: []Server{{ID: "a", Addr: "a:1", Cell: 0}, {ID: "b", Addr: "b:1", Cell: 1}}})
	next := func() Call {
		t.Helper()
		for i := 0; len(w.calls) == 0; i++ {
			if i > 1000 {
				t.Fatal("not sent again")
			}
			w.now = w.now.Add(5 * time.Millisecond)
			w.turn()
		}
		c := w.calls[0]
		w.calls, w.to = nil, nil
		return c
	}
	w.ask("q", 0, 1)
	c := next()
	if !c.WriteBy.IsZero() {
		t.Errorf("a first attempt is bound to %v", c.WriteBy)
	}
	w.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Answered, Rejected: true}})
	c = next()
	if !c.WriteBy.IsZero() {
		t.Errorf("after one that never ran it is bound to %v", c.WriteBy)
	}
	first := w.now
	w.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written}})
	c = next()
	if !c.WriteBy.Equal(first.Add(window)) {
		t.Errorf("bound to %v, want %v", c.WriteBy, first.Add(window))
	}
	w.ask("other", 1, 1)
	if c := next(); !c.WriteBy.IsZero() {
		t.Errorf("a class without a window is bound to %v", c.WriteBy)
	}
}

// The backend is told whether a part that is given up may be sent again: where its time-out is over and its query goes on,
// and not where its client has left.
func TestWhetherAGivenUpPartMayBeSentAgain(t *testing.T) {
	set := settings()
	set.CanCancel = false // attempts have time-outs
	w := start(t, set)
	w.ask("times out", 0, 1)
	for i := 0; len(w.withdrawn) == 0 && i < 500; i++ {
		w.now = w.now.Add(5 * time.Millisecond)
		w.turn()
	}
	if again, ok := w.said[w.calls[0].Attempt]; !ok || !again {
		t.Errorf("timed out: again %v, %v", again, ok)
	}
	w = start(t, settings())
	r := w.ask("leaves", 0, 1)
	w.turn(ClientDisconnected{r})
	if again, ok := w.said[w.calls[0].Attempt]; !ok || again {
		t.Errorf("its client has left: again %v, %v", again, ok)
	}
}

// What a client that has left still waited for is not sent, whatever comes in the same turn: its arrival and its leaving, a
// part that comes back, and the list.
func TestADepartureInTheTurnOfTheSend(t *testing.T) {
	w := newWorld(t)
	r := &Request{ID: "q", Arrived: w.now, Timeout: 3 * time.Second, Payload: "text", Frontend: asker{w, "q"}, Parts: []PartSpec{{Weight: 1}}}
	w.turn(RequestArrived{r}, ClientDisconnected{r})
	if len(w.calls) != 0 || w.c.OpenQueries() != 0 || w.c.Counters.Disconnected != 1 {
		t.Errorf("sent %d, held %d, %v", len(w.calls), w.c.OpenQueries(), w.c.Counters)
	}
	r = w.ask("back", 0, 1)
	c := w.calls[0]
	w.calls = nil
	w.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Answered, Rejected: true}}, ClientDisconnected{r})
	w.now = w.now.Add(time.Second)
	w.turn()
	if len(w.calls) != 0 || w.c.OpenQueries() != 0 {
		t.Errorf("sent %d, held %d", len(w.calls), w.c.OpenQueries())
	}
}

// A drain that comes in one turn with the request, or with the end of its first attempt, binds what that turn sends.
func TestADrainInTheTurnOfTheSend(t *testing.T) {
	drain := EndpointsChanged{Kind: balance.ListDelta, Servers: []Server{{ID: "a", Addr: "a:1", State: balance.Draining}}}
	for _, drains := range []bool{true, false} {
		w := newWorld(t)
		r := &Request{ID: "q", Arrived: w.now, Timeout: 3 * time.Second, Payload: "text", Frontend: asker{w, "q"}, Parts: []PartSpec{{Weight: 1}}}
		w.turn(RequestArrived{r}, drain)
		if len(w.to) != 1 || w.to[0].ID != "b" {
			t.Fatalf("sent to %+v", w.to)
		}
		c := w.calls[0]
		w.calls, w.to = nil, nil
		w.turn(EndpointsChanged{Kind: balance.ListDelta, Servers: []Server{{ID: "a", Addr: "a:1"}}})
		events := []Event{AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written}}}
		if drains {
			events = append(events, drain)
		}
		w.turn(events...)
		if toA := len(w.to) > 0 && w.to[0].ID == "a"; toA == drains {
			t.Errorf("drains %v, and it is sent again to %+v", drains, w.to)
		}
	}
}

// A time-out is due in the turn that brings the answer: the part is served and nothing is given up. In the turn before, it is
// being given up, and its answer serves it as long as its server is not known to know.
func TestATimeOutCrossesItsAnswer(t *testing.T) {
	for _, late := range []bool{false, true} {
		set := settings()
		set.CanCancel = false // attempts have time-outs
		w := start(t, set)
		w.ask("q", 0, 1)
		c := w.calls[0]
		w.calls, w.to = nil, nil
		w.now = c.Deadline
		if late {
			w.turn()
		}
		w.turn(AttemptEnded{Attempt: c.Attempt, Value: "v"})
		f := w.one("q") // the answer counts while the give-up is under way, too
		if f.Status != StatusServed || len(f.Items) != 1 || f.Items[0].Value != "v" {
			t.Errorf("late %v: %+v", late, f)
		}
		if len(w.withdrawn) > 0 != late {
			t.Errorf("late %v: withdrawn %v", late, w.withdrawn)
		}
	}
}

// The end of the client's time, its departure and the end of the last attempt come in one turn, in each order: the query
// ends once, and nothing of it is sent again.
func TestAllEndsAtOnce(t *testing.T) {
	for i := range 6 {
		w := newWorld(t)
		r := w.ask("q", 0, 1)
		c := w.calls[0]
		w.calls, w.to = nil, nil
		w.now = w.now.Add(r.Timeout)
		ended, left := AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: NotConnected}}, ClientDisconnected{r}
		w.turn([][]Event{{ended, left}, {left, ended}, {ended}, {left}, {}, {left, left}}[i]...)
		w.turn(ended, left)
		if len(w.calls) != 0 || w.c.OpenQueries() != 0 || len(w.finals["q"]) > 1 {
			t.Errorf("%d: sent %d, held %d, %d answers", i, len(w.calls), w.c.OpenQueries(), len(w.finals["q"]))
		}
		if n := w.c.Counters; n.Received != 1 || n.Served+n.Rejected+n.Failed+n.Disconnected != 1 {
			t.Errorf("%d: %v", i, n)
		}
	}
}
