package balance

import (
	"testing"
	"time"
)

// A new query probes its replicas and waits a limited time for the load report.
func TestProbe_NewQueryProbesItsReplicas(t *testing.T) {
	settings := testSettings()
	settings.CanProbe = true
	settings.LoadReportsOnProbe = true
	h := newHarness(t, settings)
	h.b.probeTokens = 1
	actions := h.begin(newQuery{parts: 3})
	probes := actionsOf[Probe](actions)
	if len(probes) != 1 {
		t.Fatalf("want one probe, got %v", actions)
	}
	h.wantNone(actions, "send before the load report", countOf[Send](actions))
	h.now += 5 * ms
	actions = h.turn(ProbeEnded{
		Replica: probes[0].Replica,
		Result:  OK,
		Report:  &LoadReport{Queue: -1, InFlight: 9, Utilization: -1},
	})
	for _, send := range actionsOf[Send](actions)[:2] {
		if send.Replica == probes[0].Replica {
			t.Error("a part went to the replica that reports nine parts in flight")
		}
	}
	h.now += time.Second
	h.b.probeTokens = 1
	h.begin(newQuery{parts: 3})
	h.now += 30 * ms
	if n := countOf[Send](h.turn(TimerFired{})); n == 0 {
		t.Error("still waiting for a load report that does not arrive")
	}
}
