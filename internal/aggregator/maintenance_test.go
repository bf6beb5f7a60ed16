package aggregator

import (
	"fmt"
	"testing"
	"time"

	"rooktrestle/balance"
)

func (h *harness) maintain(server balance.Replica, detached bool) {
	h.turn(MaintenanceChanged{Server: server, Detached: detached})
}

// sentTo sends queries of one part and returns how many attempts went to a server.
func (h *harness) sentTo(server balance.Replica, name string) (count int) {
	h.t.Helper()
	for i := range 20 {
		h.calls, h.servers = nil, nil
		h.request(fmt.Sprint(name, i), 0, 1)
		for n, call := range h.calls {
			if h.servers[n].ID == server {
				count++
			}
			h.turn(AttemptEnded{Attempt: call.Attempt, Value: "value"})
		}
		h.advance(100 * time.Millisecond)
	}
	return count
}

// Whatever discovery lists of a server, it gets nothing from the operator's call on until the call that puts it back.
func TestCore_DetachedServerGetsNothing(t *testing.T) {
	for name, listed := range map[string][]Event{
		"nothing new":  nil,
		"listed again": {twoServers},
		"restarted":    {changeOf(Server{ID: "a", Addr: "a:1", Started: startTime.Add(time.Second)})},
		"moved":        {changeOf(Server{ID: "a", Addr: "a:2"})},
		"gone, and back": {
			changeOf(Server{ID: "a", State: balance.Removed}),
			changeOf(Server{ID: "a", Addr: "a:1"}),
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if h.sentTo("a", "before") == 0 {
				t.Fatal("the server is not in use")
			}
			h.maintain("a", true)
			for _, event := range listed {
				h.turn(event)
			}
			if sent := h.sentTo("a", "detached"); sent > 0 || h.core.Available("a") {
				t.Errorf("%d attempts while it is out of service", sent)
			}
			if size, avoided := h.core.ClusterSize(); size != 2 || avoided != 1 {
				t.Errorf("%d servers, %d avoided", size, avoided)
			}
			h.maintain("a", false)
			if h.sentTo("a", "back") == 0 {
				t.Error("the server is not used again")
			}
		})
	}
}

// The call and the send meet in one turn: the call counts.
func TestCore_ServerIsDetachedInTheTurnOfTheSend(t *testing.T) {
	h := newHarness(t)
	request := h.newRequest("q", 0)
	request.Parts = []PartSpec{{Shard: 0, Weight: 1}}
	h.turn(RequestArrived{Request: request}, MaintenanceChanged{Server: "a", Detached: true})
	for _, server := range h.servers {
		if server.ID == "a" {
			t.Error("sent to a server that is out of service")
		}
	}
}

// With all holders of a shard out of service a query is rejected or fails in time; none of them gets it.
func TestCore_AllServersDetached(t *testing.T) {
	h := newHarness(t)
	h.maintain("a", true)
	h.maintain("b", true)
	h.request("q", 0, 1)
	h.advance(timeout)
	if len(h.calls) > 0 || len(h.answers["q"]) != 1 {
		t.Errorf("%d calls, answers %v", len(h.calls), h.answers["q"])
	}
}

// A server that is put back warms up, also where the list does not say yet that it was restarted.
func TestCore_AttachedServerWarmsUp(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(time.Minute)
	h.maintain("a", true)
	h.maintain("a", false)
	server := h.core.Server("a")
	if got, want := h.core.startedAt(server), h.core.clock(h.now); got != want {
		t.Errorf("it counts as started at %v, want %v", got, want)
	}
	later := h.now.Add(time.Second)
	server.Started = later
	h.now = later
	h.turn(changeOf(server))
	if got, want := h.core.startedAt(server), h.core.clock(later); got != want {
		t.Errorf("it counts as started at %v though it is listed with %v", got, want)
	}
}

// A panic of the decisions forgets no operator's call.
func TestCore_RestartKeepsDetachedServers(t *testing.T) {
	h := newHarness(t)
	h.maintain("a", true)
	fresh, err := balance.New(balancerSettings())
	if err != nil {
		t.Fatal(err)
	}
	h.core.Restart(h.now, fresh, []Event{MaintenanceChanged{Server: "b", Detached: true}})
	if h.core.Available("a") || h.core.Available("b") || h.sentTo("a", "q")+h.sentTo("b", "r") > 0 {
		t.Error("a server that is out of service is in use")
	}
}

// Ids are known from their first listing on, for as long as there are not too many that are gone.
func TestCore_KnowsServer(t *testing.T) {
	h := newHarness(t)
	if h.core.KnowsServer("c") || !h.core.KnowsServer("a") {
		t.Error("known: c, or not known: a")
	}
	h.maintain("a", true)
	h.turn(changeOf(Server{ID: "a", State: balance.Removed}))
	for i := range maxRemovedServers + 1 {
		id := balance.Replica(fmt.Sprint("gone", i))
		h.turn(changeOf(Server{ID: id, Addr: "x:1"}), changeOf(Server{ID: id, State: balance.Removed}))
	}
	if !h.core.KnowsServer("a") || h.core.KnowsServer("gone0") || !h.core.KnowsServer("gone1") {
		t.Errorf("a %v, gone0 %v, gone1 %v", h.core.KnowsServer("a"), h.core.KnowsServer("gone0"), h.core.KnowsServer("gone1"))
	}
	if known := len(h.core.maintenance.known); known > maxRemovedServers+3 {
		t.Errorf("%d ids are remembered", known)
	}
}
