package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
)

// serve starts an HTTP server for the test and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// A watch that ends is reopened from the last version that was received.
func TestWatcher_ResumesFromLastVersion(t *testing.T) {
	indices := make(chan string, 10)
	requests := 0
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		indices <- r.URL.Query().Get("index")
		requests++
		// The error is ignored: the client may have disconnected.
		_, _ = fmt.Fprintf(w, "\n{\"version\":%d,\"full\":%v,\"servers\":[]}\n", 10*requests, requests == 1)
		w.(http.Flusher).Flush()
		if requests == 3 {
			<-r.Context().Done()
		}
	})
	delivered := start(t, &Watcher{Addr: addr, Version: 7})
	for i, want := range []string{"7", "10", "20"} {
		if index := <-indices; index != want {
			t.Errorf("watch %d from %s, want %s", i, index, want)
		}
		if change := <-delivered; (change.Kind == balance.ListFull) != (i == 0) {
			t.Errorf("watch %d: %+v", i, change)
		}
	}
}

// A watcher that is switched to another address fetches the complete list there before the changes, because versions of
// different services are unrelated.
func TestWatcher_SwitchTo_FetchesFullListFirst(t *testing.T) {
	requests := make(chan string, 10)
	serveList := func(name string) string {
		return serve(t, func(w http.ResponseWriter, r *http.Request) {
			requests <- name + " " + r.URL.RawQuery
			if r.URL.RawQuery == "" {
				// The error is ignored: the client may have disconnected.
				_, _ = fmt.Fprintf(w, "{\"version\":3,\"full\":true,\n\"servers\":[{\"id\":%q}]}\n", name)
				return
			}
			_, _ = fmt.Fprintf(w, "{\"version\":4,\"full\":false,\"servers\":[{\"id\":%q}]}\n", name) // likewise
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
	}
	w := &Watcher{Addr: serveList("old"), Version: 2}
	newAddr := serveList("new") // before the watcher starts, so that the server is closed after the watcher
	delivered := start(t, w)
	expect := func(request string, kind balance.ListKind, id balance.Replica) {
		t.Helper()
		if got := <-requests; got != request {
			t.Errorf("requested %q, want %q", got, request)
		}
		expectServer(t, delivered, kind, id)
	}
	expect("old stream=1&index=2", balance.ListDelta, "old")
	w.SwitchTo("127.0.0.1:1") // replaced by the next
	w.SwitchTo(newAddr)
	expect("new ", balance.ListFull, "new")
	expect("new stream=1&index=3", balance.ListDelta, "new")
}

// A watch that becomes unresponsive, or never sent anything, is reopened within 6 s: after that the aggregator counts
// as notified of the changes that it missed, and must not send parts to draining servers. Guards against a backoff
// after an outage of discovery of some seconds: 300 aggregators with unresponsive watches waited up to 11 s more, and
// sent 1,500 parts to draining servers.
func TestWatcher_Unresponsive_ReconnectsInTime(t *testing.T) {
	for name, fleetSize := range map[string]int{"an agent of this machine": 0, "shared by 300 aggregators": 300} {
		t.Run(name+", after a change", func(t *testing.T) {
			testUnresponsive(t, fleetSize, "{\"version\":9,\"servers\":[]}\n", "9")
		})
		t.Run(name+", before anything was sent", func(t *testing.T) {
			testUnresponsive(t, fleetSize, "", "7")
		})
	}
}

// testUnresponsive opens watches that send event and then nothing more. After event the current version is index.
func testUnresponsive(t *testing.T, fleetSize int, event, index string) {
	t.Helper()
	indices, events := make(chan string, 10), make(actions, 100)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		indices <- r.URL.Query().Get("index")
		_, _ = fmt.Fprint(w, event) // the client may have disconnected
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	opened := time.Now() // or later
	delivered := start(t, &Watcher{
		Addr:      addr,
		Version:   7,
		Log:       events.log,
		FleetSize: fleetSize,
		After:     events.after,
		Dial:      testDial,
	})
	for attempt, want := range []string{"7", index, index} {
		if got := <-indices; got != want {
			t.Errorf("watch %d from %s, want %s", attempt, got, want)
		}
		if event != "" {
			<-delivered
		}
		reopened := time.Now() // or later: once the waits have fired
		waits, logged := events.fireWaits()
		if !strings.Contains(logged, "unresponsive") || len(waits) == 0 {
			t.Errorf("watch %d: %v, then %s", attempt, waits, logged)
		}
		for _, w := range waits { // a sole aggregator waits at most 1 s for a first response
			silence := w.deadline.Sub(opened) // at least: the machine may have been slow to open the watch
			soleWait := fleetSize <= 1 && w.duration <= time.Second
			inRange := silence >= 3*time.Second && w.duration <= 4500*time.Millisecond
			if !inRange && !soleWait {
				t.Errorf("watch %d: a wait of %v", attempt, w.duration)
			}
		}
		opened = reopened
	}
	<-indices // immediately: no wait was fired for it
}

// After a rejected call the watcher backs off according to the fleet size; without other aggregators the backoff is at
// most 200 ms.
func TestWatcher_RejectedCall_BacksOff(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	for _, c := range []struct {
		name      string
		fleetSize int
		min, max  time.Duration
	}{
		{name: "an agent of this machine", max: 200 * time.Millisecond},
		{name: "shared by 300 aggregators", fleetSize: 300, min: 7500 * time.Millisecond, max: 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			events := make(actions, 100)
			start(t, &Watcher{Addr: addr, Log: events.log, FleetSize: c.fleetSize, After: events.after, Dial: testDial})
			for rejected := 0; rejected < 3; {
				logged, ok := (<-events).(string)
				if !ok {
					continue // the wait for a response
				}
				if !strings.Contains(logged, "503") {
					t.Error(logged)
				}
				backoff := (<-events).(wait)
				if backoff.duration > c.max || backoff.duration < c.min && c.fleetSize > 0 {
					t.Errorf("a wait of %v", backoff.duration)
				}
				rejected++
				backoff.fire()
			}
		})
	}
}
