package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTurn_WideQueries runs queries of thirty parts on sixty servers: four are in flight, and one attempt
// in fifty is lost.
func BenchmarkTurn_WideQueries(b *testing.B) {
	settings := testSettings()
	settings.Cells = 20
	settings.Reach = 3
	settings.Shards = 20
	settings.Instances = 20
	settings.CanProbe = true
	settings.LoadReportsOnProbe = true
	settings.PeerMessages = true
	balancer, err := New(settings)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 60 {
		list = append(list, Endpoint{Replica: Replica(fmt.Sprint("s", i)), Cell: i % 20})
	}
	now := 100 * time.Second
	next := ID(1)
	pending := []Event{EndpointList{Kind: ListFull, Endpoints: list}}
	b.ReportAllocs()
	for range b.N {
		id := next
		pending = append(pending, Query{ID: id, Group: uint64(id), RemainingTime: 3 * time.Second, Parts: 30})
		for i := range 30 {
			pending = append(pending, Part{ID: id + 1 + ID(i), Group: uint64(id), Shard: i, Weight: 1.0 / 30})
		}
		next += 31
		actions := balancer.Turn(now, pending)
		pending = pending[:0]
		now += 20 * time.Millisecond
		for _, action := range actions {
			switch a := action.(type) {
			case Send:
				result := OK
				if (int(a.Part)+len(pending))%50 == 0 {
					result = Failed
				}
				report := &LoadReport{Queue: float64(len(pending) % 3), InFlight: 1, Utilization: -1}
				pending = append(
					pending,
					AttemptEnded{Part: a.Part, Replica: a.Replica, Result: result, Report: report},
				)
			case Probe:
				pending = append(
					pending,
					ProbeEnded{Replica: a.Replica, Result: OK, Report: &LoadReport{Queue: 1, InFlight: 1}},
				)
			}
		}
	}
}
