package aggregator

import (
	"fmt"
	"testing"
	"time"

	"rooktrestle/balance"
)

// idle is a backend that nothing comes back from.
type idle struct{ sent []Call }

func (b *idle) Send(_ time.Time, _ Server, calls []Call) { b.sent = append(b.sent, calls...) }
func (b *idle) Cancel(time.Time, AttemptID, bool)        {}
func (b *idle) Probe(time.Time, Server)                  {}

type mute struct{}

func (mute) Answer(FinalAnswer) {}

// holding is a core that holds so many queries of one part each, all sent and none answered.
func holding(tb testing.TB, held, nodes int) (*Core, *idle) {
	tb.Helper()
	set := settings()
	set.Cells, set.Shards = nodes, nodes
	for i := range set.Classes {
		set.Classes[i].Objective, set.Classes[i].Deadline = time.Hour, 2*time.Hour
	}
	b, err := balance.New(set)
	if err != nil {
		tb.Fatal(err)
	}
	back := &idle{}
	c := NewCore(b, back, Limits{FollowUpParts: []int{0, 0, 0}}, begin)
	var list []Server
	for i := range nodes {
		list = append(list, Server{ID: balance.Replica(fmt.Sprint("n", i)), Addr: "x", Cell: i})
	}
	events := []Event{EndpointsChanged{Kind: balance.ListFull, Servers: list}}
	for i := range held {
		events = append(events, RequestArrived{&Request{ID: fmt.Sprint("h", i), Class: 1, Arrived: begin, Timeout: time.Hour, Frontend: mute{}, Parts: []PartSpec{{Shard: i % nodes, Weight: 1}}}})
	}
	c.Turn(begin, events)
	back.sent = nil
	return c, back
}

// One query taken, sent, answered and let go while others are held: what a turn costs by what is held and by the number
// of nodes. Run with -bench Held.
func BenchmarkHeld(b *testing.B) {
	for _, nodes := range []int{12, 1000} {
		for _, held := range []int{0, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d-nodes/%d-held", nodes, held), func(b *testing.B) {
				c, back := holding(b, held, nodes)
				now := begin
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					c.Turn(now, []Event{RequestArrived{&Request{ID: fmt.Sprint("q", i), Class: 0, Arrived: now, Timeout: time.Hour, Frontend: mute{}, Parts: []PartSpec{{Shard: i % nodes, Weight: 1}}}}})
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
