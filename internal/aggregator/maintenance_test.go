package aggregator

import (
	"fmt"
	"testing"
	"time"

	"rooktrestle/balance"
)

func (h *harness) setDetached(server balance.Replica, detached bool) {
	h.turn(MaintenanceChanged{Server: server, Detached: detached})
}

// sentTo submits queries of one part, with ids that begin with idPrefix, and returns how many attempts were sent to a
// server.
func (h *harness) sentTo(server balance.Replica, idPrefix string) (count int) {
	h.t.Helper()
	for i := range 20 {
		h.attempts, h.servers = nil, nil
		h.request(fmt.Sprint(idPrefix, i), 0, 1)
		for n, attempt := range h.attempts {
			if h.servers[n].ID == server {
				count++
			}
			h.turn(AttemptEnded{Attempt: attempt.Attempt, Value: "value"})
		}
		h.advance(100 * time.Millisecond)
	}
	return count
}

// A detached server receives nothing until an operator attaches it again, whatever discovery lists about it.
func TestCore_DetachedServerGetsNothing(t *testing.T) {
	for name, listed := range map[string][]Event{
		"no change":    nil,
		"listed again": {twoServers},
		"restarted":    {endpointChange(Server{ID: "a", Addr: "a:1", Started: startTime.Add(time.Second)})},
		"moved":        {endpointChange(Server{ID: "a", Addr: "a:2"})},
		"removed, and listed again": {
			endpointChange(Server{ID: "a", State: balance.Removed}),
			endpointChange(Server{ID: "a", Addr: "a:1"}),
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if h.sentTo("a", "before") == 0 {
				t.Fatal("the server is not in use")
			}
			h.setDetached("a", true)
			for _, event := range listed {
				h.turn(event)
			}
			if sent := h.sentTo("a", "detached"); sent > 0 || h.core.Available("a") {
				t.Errorf("%d attempts while it is out of service", sent)
			}
			if size, avoided := h.core.ClusterSize(); size != 2 || avoided != 1 {
				t.Errorf("%d servers, %d avoided", size, avoided)
			}
			h.setDetached("a", false)
			if h.sentTo("a", "back") == 0 {
				t.Error("the server is not used again")
			}
		})
	}
}

// A server that is detached in the turn of a request receives nothing in that turn.
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

// If all replicas of a shard are detached, a query is rejected or fails by its deadline, and none of them receives it.
func TestCore_AllServersDetached(t *testing.T) {
	h := newHarness(t)
	h.setDetached("a", true)
	h.setDetached("b", true)
	h.request("q", 0, 1)
	h.advance(timeout)
	if len(h.attempts) > 0 || len(h.answers["q"]) != 1 {
		t.Errorf("%d attempts sent, answers %v", len(h.attempts), h.answers["q"])
	}
}

// A server that is attached again warms up, even if the endpoint list does not state its restart yet.
func TestCore_AttachedServerWarmsUp(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(time.Minute)
	h.setDetached("a", true)
	h.setDetached("a", false)
	server := h.core.Server("a")
	if got, want := h.core.startedAt(server), h.core.clock(h.now); got != want {
		t.Errorf("counts as started at %v, want %v", got, want)
	}
	later := h.now.Add(time.Second)
	server.Started = later
	h.now = later
	h.turn(endpointChange(server))
	if got, want := h.core.startedAt(server), h.core.clock(later); got != want {
		t.Errorf("counts as started at %v, though listed as started at %v", got, want)
	}
}

// Servers stay detached after a panic in a turn.
func TestCore_RestartKeepsDetachedServers(t *testing.T) {
	h := newHarness(t)
	h.setDetached("a", true)
	newBalancer, err := balance.New(balancerSettings())
	if err != nil {
		t.Fatal(err)
	}
	h.core.Restart(h.now, newBalancer, []Event{MaintenanceChanged{Server: "b", Detached: true}})
	if h.core.Available("a") || h.core.Available("b") || h.sentTo("a", "q")+h.sentTo("b", "r") > 0 {
		t.Error("a server that is out of service is in use")
	}
}

// Ids are known from their first listing on, until more than maxRemovedServers servers have been removed since.
func TestCore_KnowsServer(t *testing.T) {
	h := newHarness(t)
	if h.core.KnowsServer("c") || !h.core.KnowsServer("a") {
		t.Error("c is known, or a is not")
	}
	h.setDetached("a", true)
	h.turn(endpointChange(Server{ID: "a", State: balance.Removed}))
	for i := range maxRemovedServers + 1 {
		id := balance.Replica(fmt.Sprint("gone", i))
		h.turn(endpointChange(Server{ID: id, Addr: "x:1"}), endpointChange(Server{ID: id, State: balance.Removed}))
	}
	if !h.core.KnowsServer("a") || h.core.KnowsServer("gone0") || !h.core.KnowsServer("gone1") {
		t.Errorf("a %v, gone0 %v, gone1 %v", h.core.KnowsServer("a"), h.core.KnowsServer("gone0"), h.core.KnowsServer("gone1"))
	}
	if known := len(h.core.maintenance.known); known > maxRemovedServers+3 {
		t.Errorf("%d ids are retained", known)
	}
}
