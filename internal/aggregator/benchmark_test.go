package aggregator

import (
	"fmt"
	"testing"
	"time"

	"rooktrestle/balance"
)

// silentBackend is a backend that nothing comes back from.
type silentBackend struct{ sent []OutgoingAttempt }

func (b *silentBackend) Send(_ time.Time, _ Server, calls []OutgoingAttempt) {
	b.sent = append(b.sent, calls...)
}
func (b *silentBackend) Cancel(time.Time, AttemptID, bool) {}
func (b *silentBackend) Probe(time.Time, Server)           {}

type silentFrontend struct{}

func (silentFrontend) Answer(FinalAnswer) {}

// onePartRequest is a request of one shard whose client waits for an hour.
func onePartRequest(id string, class, shard int, arrived time.Time) *Request {
	return &Request{
		ID:       id,
		Class:    class,
		Arrived:  arrived,
		Timeout:  time.Hour,
		Frontend: silentFrontend{},
		Parts:    []PartSpec{{Shard: shard, Weight: 1}},
	}
}

// coreHolding is a core that holds so many queries of one part each, all sent and none answered.
func coreHolding(tb testing.TB, held, nodes int) (*Core, *silentBackend) {
	tb.Helper()
	settings := balancerSettings()
	settings.Cells = nodes
	settings.Shards = nodes
	for i := range settings.Classes {
		settings.Classes[i].Objective = time.Hour
		settings.Classes[i].Deadline = 2 * time.Hour
	}
	b, err := balance.New(settings)
	if err != nil {
		tb.Fatal(err)
	}
	back := &silentBackend{}
	c := NewCore(b, back, Limits{FollowUpParts: []int{0, 0, 0}}, startTime)
	var list []Server
	for i := range nodes {
		list = append(list, Server{ID: balance.Replica(fmt.Sprint("n", i)), Addr: "x", Cell: i})
	}
	events := []Event{EndpointsChanged{Kind: balance.ListFull, Servers: list}}
	for i := range held {
		events = append(events, RequestArrived{Request: onePartRequest(fmt.Sprint("h", i), 1, i%nodes, startTime)})
	}
	c.Turn(startTime, events)
	back.sent = nil
	return c, back
}

// One query taken, sent, answered and let go while others are held: what a turn costs by what is held and by the number
// of nodes. Run with -bench Held.
func BenchmarkCore_OneQueryWhileOthersAreHeld(b *testing.B) {
	for _, nodes := range []int{12, 1000} {
		for _, held := range []int{0, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d-nodes/%d-held", nodes, held), func(b *testing.B) {
				c, back := coreHolding(b, held, nodes)
				now := startTime
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					request := onePartRequest(fmt.Sprint("q", i), 0, i%nodes, now)
					c.Turn(now, []Event{RequestArrived{Request: request}})
					var ends []Event
					for _, s := range back.sent {
						ends = append(ends, AttemptEnded{Attempt: s.Attempt, Value: "v"})
					}
					back.sent = back.sent[:0]
					c.Turn(now, ends)
				}
			})
		}
	}
}
