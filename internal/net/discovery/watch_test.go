package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
)

func TestLists(t *testing.T) {
	version, m, err := Parse([]byte(`{"version":41,"full":true,"servers":[
		{"id":"s","addr":"a:1","zone":"east","cell":3,"state":"SERVING","weight":1.5,"started_ms":1700000000123},
		{"id":"d","zone":"b","state":"DRAINING"},{"id":"g","state":"DELETED"},{"id":"n","zone":"south","state":"NEW"}]}`), []string{"west", "east"})
	if err != nil || version != 41 || m.Kind != balance.ListFull || len(m.Servers) != 4 {
		t.Fatal(version, m, err)
	}
	if s := m.Servers[0]; s.Zone != 1 || s.Cell != 3 || s.Weight != 1.5 || !s.Started.Equal(time.UnixMilli(1700000000123)) {
		t.Errorf("%+v", s)
	}
	for i, want := range []balance.EndpointState{balance.InService, balance.Draining, balance.Removed, balance.Draining} {
		if m.Servers[i].State != want {
			t.Errorf("%d: %v, want %v", i, m.Servers[i].State, want)
		}
	}
	if !m.Servers[1].Started.IsZero() || m.Servers[1].Zone != 1 || m.Servers[3].Zone != 2 {
		t.Errorf("%+v", m.Servers)
	}
	for _, bad := range []string{"", "[]", `{"servers":[{"addr":"x"}]}`} {
		if _, _, err := Parse([]byte(bad), nil); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// A watch that ends is opened again, from the version that was heard last.
func TestWatchResumes(t *testing.T) {
	asked := make(chan string, 10)
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Query().Get("index")
		n++
		fmt.Fprintf(w, "\n{\"version\":%d,\"full\":%v,\"servers\":[]}\n", 10*n, n == 1)
		w.(http.Flusher).Flush()
		if n == 3 {
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	got, stop, over := make(chan aggregator.Message, 10), make(chan struct{}), make(chan struct{})
	w := &Watcher{Addr: strings.TrimPrefix(server.URL, "http://"), Version: 7, Put: func(e aggregator.Message) { got <- e }, Log: t.Logf}
	go func() { w.Run(stop, func() {}); close(over) }()
	for i, want := range []string{"7", "10", "20"} {
		if index := <-asked; index != want {
			t.Errorf("watch %d from %s, want %s", i, index, want)
		}
		if m := (<-got).(aggregator.EndpointsChanged); (m.Kind == balance.ListFull) != (i == 0) {
			t.Errorf("watch %d: %+v", i, m)
		}
	}
	close(stop)
	<-over
}

// A watch that is moved takes the new discovery's whole list before its changes: versions may not continue.
func TestWatchMoves(t *testing.T) {
	asked := make(chan string, 10)
	serve := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- name + " " + r.URL.RawQuery
			if r.URL.RawQuery == "" {
				fmt.Fprintf(w, "{\"version\":3,\"full\":true,\n\"servers\":[{\"id\":%q}]}\n", name)
				return
			}
			fmt.Fprintf(w, "{\"version\":4,\"full\":false,\"servers\":[{\"id\":%q}]}\n", name)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(server.CloseClientConnections)
		return strings.TrimPrefix(server.URL, "http://")
	}
	got, stop, over := make(chan aggregator.Message, 10), make(chan struct{}), make(chan struct{})
	w := &Watcher{Addr: serve("old"), Version: 2, Put: func(e aggregator.Message) { got <- e }, Log: t.Logf}
	go func() { w.Run(stop, func() {}); close(over) }()
	expect := func(ask string, kind balance.ListKind, id balance.Replica) {
		t.Helper()
		if a := <-asked; a != ask {
			t.Errorf("asked %q, want %q", a, ask)
		}
		if m := (<-got).(aggregator.EndpointsChanged); m.Kind != kind || len(m.Servers) != 1 || m.Servers[0].ID != id {
			t.Errorf("%+v", m)
		}
	}
	expect("old stream=1&index=2", balance.ListDelta, "old")
	w.SwitchTo("127.0.0.1:1") // overtaken by the next
	w.SwitchTo(serve("new"))
	expect("new ", balance.ListFull, "new")
	expect("new stream=1&index=3", balance.ListDelta, "new")
	close(stop)
	<-over
}

// events is what a watch does, in order: waits that begin, and what it logs.
type events chan any

// wait stands in for time: it ends when the test says so.
type wait struct {
	d    time.Duration
	over chan time.Time
}

func (e events) after(d time.Duration) <-chan time.Time {
	one := wait{d, make(chan time.Time, 1)}
	e <- one
	return one.over
}

func (e events) log(format string, args ...any) { e <- fmt.Sprintf(format, args...) }

// pass lets waits pass until the watch logs something, and returns them with what that is. A wait that word overtook is
// followed by another.
func (e events) pass() (passed []time.Duration, said string) {
	for {
		switch one := (<-e).(type) {
		case wait:
			passed = append(passed, one.d)
			one.over <- time.Time{}
		case string:
			return passed, one
		}
	}
}

// A watch that falls silent is opened anew at once, and so is one that was never heard, before 6 s have passed: what it
// misses counts as told by then. Guards the rule on drains on a day on which discovery is down for seconds: 300 mixers
// whose watches had fallen silent waited up to 11 s more, and sent 1,500 parts to servers that drained.
func TestASilentWatchIsOpenedAnewInTime(t *testing.T) {
	for _, mixers := range []int{0, 300} {
		for says, index := range map[string]string{"{\"version\":9,\"servers\":[]}\n": "9", "": "7"} {
			asked, listed, does := make(chan string, 10), make(chan aggregator.Message, 10), make(events, 100)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked <- r.URL.Query().Get("index")
				fmt.Fprint(w, says)
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			stop, over := make(chan struct{}), make(chan struct{})
			w := &Watcher{Addr: strings.TrimPrefix(server.URL, "http://"), Version: 7, Put: func(e aggregator.Message) { listed <- e }, Log: does.log, FleetSize: mixers, After: does.after}
			go func() { w.Run(stop, func() {}); close(over) }()
			for call, want := range []string{"7", index, index} {
				if got := <-asked; got != want {
					t.Errorf("%d mixers, call %d from %s, want %s", mixers, call, got, want)
				}
				if says != "" {
					<-listed
				}
				passed, said := does.pass()
				if !strings.Contains(said, "silent") || len(passed) == 0 {
					t.Errorf("%d mixers, call %d: %v, then %s", mixers, call, passed, said)
				}
				for _, d := range passed { // an agent that was not heard yet is given a second
					if (d < 3*time.Second || d > 4500*time.Millisecond) && (mixers > 1 || d > time.Second) {
						t.Errorf("%d mixers, call %d: a wait of %v", mixers, call, d)
					}
				}
			}
			<-asked // at once: no wait was passed for it
			close(stop)
			<-over
			server.Close()
		}
	}
}

// A refused call waits as the fleet's back-off says, and where nobody else calls next to nothing.
func TestARefusedCallWaits(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(503) }))
	defer server.Close()
	for _, k := range []struct {
		mixers      int
		least, most time.Duration
	}{{0, 0, 200 * time.Millisecond}, {300, 7500 * time.Millisecond, 30 * time.Second}} {
		does, stop, over := make(events, 100), make(chan struct{}), make(chan struct{})
		w := &Watcher{Addr: strings.TrimPrefix(server.URL, "http://"), Put: func(aggregator.Message) {}, Log: does.log, FleetSize: k.mixers, After: does.after}
		go func() { w.Run(stop, func() {}); close(over) }()
		for refused := 0; refused < 3; {
			switch e := (<-does).(type) {
			case string:
				if !strings.Contains(e, "503") {
					t.Errorf("%d mixers: %s", k.mixers, e)
				}
				one := (<-does).(wait)
				if one.d > k.most || one.d < k.least && k.mixers > 0 {
					t.Errorf("%d mixers: a wait of %v", k.mixers, one.d)
				}
				refused++
				one.over <- time.Time{}
			}
		}
		close(stop)
		<-over
	}
}
