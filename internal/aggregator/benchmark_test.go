package aggregator

import (
	"fmt"
	"testing"
	"time"

	"rooktrestle/balance"
)

// recordingBackend records the attempts sent, and reports no events.
type recordingBackend struct{ sent []OutgoingAttempt }

func (b *recordingBackend) Send(_ time.Time, _ Server, attempts []OutgoingAttempt) {
	b.sent = append(b.sent, attempts...)
}
func (b *recordingBackend) Cancel(time.Time, AttemptID, bool) {}
func (b *recordingBackend) Probe(time.Time, Server)           {}

type discardingFrontend struct{}

func (discardingFrontend) Answer(FinalAnswer) {}

// onePartRequest returns a request for one shard whose client waits for an hour.
func onePartRequest(id string, class, shard int, arrived time.Time) *Request {
	return &Request{
		ID:       id,
		Class:    class,
		Arrived:  arrived,
		Timeout:  time.Hour,
		Frontend: discardingFrontend{},
		Parts:    []PartSpec{{Shard: shard, Weight: 1}},
	}
}

// coreWithOpenQueries returns a core with open queries of one part each, all of which are sent and unanswered.
func coreWithOpenQueries(tb testing.TB, openQueries, servers int) (*Core, *recordingBackend) {
	tb.Helper()
	settings := balancerSettings()
	settings.Cells = servers
	settings.Shards = servers
	for i := range settings.Classes {
		settings.Classes[i].Objective = time.Hour
		settings.Classes[i].Deadline = 2 * time.Hour
	}
	b, err := balance.New(settings)
	if err != nil {
		tb.Fatal(err)
	}
	backend := &recordingBackend{}
	c := NewCore(b, backend, Limits{FollowUpParts: []int{0, 0, 0}}, startTime)
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: balance.Replica(fmt.Sprint("n", i)), Addr: "x", Cell: i})
	}
	events := []Event{EndpointsChanged{Kind: balance.ListFull, Servers: list}}
	for i := range openQueries {
		events = append(events, RequestArrived{Request: onePartRequest(fmt.Sprint("h", i), 1, i%servers, startTime)})
	}
	c.Turn(startTime, events)
	backend.sent = nil
	return c, backend
}

// Measures the cost of receiving, sending and answering one query, depending on the number of other open queries and on
// the number of servers. Run with -bench Held.
func BenchmarkCore_OneQueryWhileOthersAreHeld(b *testing.B) {
	for _, servers := range []int{12, 1000} {
		for _, openQueries := range []int{0, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d-nodes/%d-held", servers, openQueries), func(b *testing.B) {
				c, backend := coreWithOpenQueries(b, openQueries, servers)
				now := startTime
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					request := onePartRequest(fmt.Sprint("q", i), 0, i%servers, now)
					c.Turn(now, []Event{RequestArrived{Request: request}})
					var ends []Event
					for _, s := range backend.sent {
						ends = append(ends, AttemptEnded{Attempt: s.Attempt, Value: "v"})
					}
					backend.sent = backend.sent[:0]
					c.Turn(now, ends)
				}
			})
		}
	}
}
