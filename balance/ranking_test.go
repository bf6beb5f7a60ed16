package balance

import (
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
)

func TestRank_IsC3(t *testing.T) {
	h := newHarness(t, testSettings())
	server := h.b.servers["a"]
	server.Measured = true
	server.ReportedAt = h.now
	server.Averages = estimate.Averages{Latency: 300, ServiceTime: 100, Queue: 2}
	server.InFlight = []time.Duration{0}
	// For two balancers 1 + os n + q = 1 + 1x2 + 2 = 5, so the rank is 300 - 100 + 125x100.
	if got := h.b.rank(server); got != 12700 {
		t.Errorf("rank %v, want 12700", got)
	}
}

func TestRank_UnmeasuredServerHasTheMean(t *testing.T) {
	h := newHarness(t, testSettings())
	if got := h.b.fleet.AveragesOf(&h.b.servers["a"].Server, h.now); got != (estimate.Averages{
		Latency:     1e6,
		ServiceTime: 1e6,
		Queue:       0,
	}) {
		t.Errorf("before any answer %+v, want the objective, the objective and 0", got)
	}
	for name, r := range map[Replica]float64{"b": 100, "c": 300} {
		server := h.b.servers[name]
		server.Measured = true
		server.Latency = r
		server.ServiceTime = r / 2
		server.Queue = r / 100
	}
	h.turn(TimerFired{})
	if got := h.b.fleet.AveragesOf(&h.b.servers["a"].Server, h.now); got != (estimate.Averages{
		Latency:     200,
		ServiceTime: 100,
		Queue:       2,
	}) {
		t.Errorf("%+v, want the means 200, 100 and 2", got)
	}
}

func TestRank_LoadReportsFeedTheQueue(t *testing.T) {
	settings := testSettings()
	settings.CanProbe = true
	settings.LoadReportsOnProbe = true
	h := newHarness(t, settings)
	actions := h.begin(newQuery{parts: 12})
	probes := actionsOf[Probe](actions)
	if len(probes) == 0 {
		t.Fatalf("no probe for 12 parts: %v", actions)
	}
	h.turn(ProbeEnded{
		Replica: probes[0].Replica,
		Result:  OK,
		Report:  &LoadReport{Queue: -1, InFlight: 20, Utilization: -1},
	})
	if q := h.b.servers[probes[0].Replica].Queue; q < 10 {
		t.Errorf("queue %v after a report of 20", q)
	}
}

func TestPullBack_SkipsUnhealthyServers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	server := h.b.servers["a"]
	server.Latency = 5e6
	server.Penalty = 1
	server.NextHalfOpen = h.now + time.Hour
	h.serve(5, 100*ms)
	if server.Latency != 5e6 {
		t.Errorf("latency %v of an unhealthy server was pulled toward that of the winner", server.Latency)
	}
}

// One part of this balancer must not outweigh a reported queue: at n = 80, the rank would count it as 80
// parts.
func TestRank_OwnRequestDoesNotOutweighALoadReport(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings)
	ownRequest := h.b.servers["a"]
	longQueue := h.b.servers["b"]
	for _, server := range []*server{ownRequest, longQueue} {
		server.Measured = true
		server.ReportedAt = h.now
		server.Latency = 100e3
		server.ServiceTime = 100e3
	}
	ownRequest.InFlight = []time.Duration{0}
	longQueue.Queue = 20
	if h.b.rank(ownRequest) >= h.b.rank(longQueue) {
		t.Error("one own part weighs more than a queue of twenty")
	}
}

// The last answers of a wide query are its slowest. The mean must not follow them.
func TestLatency_WideQueryDoesNotOutweighOthers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(80, 100*ms)
	sends := actionsOf[Send](h.begin(newQuery{parts: 60}))
	for i, send := range sends {
		h.now += 10 * ms
		if i == 40 {
			h.now += 300 * ms
		}
		h.turn(endOf(send, OK))
	}
	if len(sends) != 60 || h.b.fleet.Mean > 400e3 {
		t.Errorf("%d parts; mean %.0f us, of many queries of 100 ms and one of 10 to 900 ms",
			len(sends), h.b.fleet.Mean)
	}
}

// With its age, a reported queue approaches the mean of all servers.
func TestRank_OldLoadReportCountsLess(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, name := range []Replica{"a", "b", "c"} {
		server := h.b.servers[name]
		server.Measured = true
		server.ReportedAt = h.now
		server.Averages = estimate.Averages{Latency: 100e3, ServiceTime: 100e3, Queue: float64(9 * i)}
	}
	h.turn(TimerFired{})
	if q := h.b.fleet.AveragesOf(&h.b.servers["c"].Server, h.now).Queue; q != 18 {
		t.Errorf("queue %v just after a report of 18", q)
	}
	h.now += 10 * time.Second
	h.turn(TimerFired{})
	if q := h.b.fleet.AveragesOf(&h.b.servers["c"].Server, h.now).Queue; q < 9 || q > 10 {
		t.Errorf("queue %v ten objectives after a report of 18, want the mean of 9", q)
	}
}
