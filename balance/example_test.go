package balance_test

import (
	"fmt"
	"time"

	"rooktrestle/balance"
)

// The owner of a Balancer passes the events of each turn to it and performs the returned actions.
func Example() {
	b, err := balance.New(balance.Settings{
		Seed:        7,
		Instances:   1,
		Tick:        5 * time.Millisecond,
		Cells:       1,
		Reach:       1,
		Shards:      1,
		MaxAttempts: 2,
		Classes: []balance.Class{{
			Objective:        time.Second,
			Deadline:         2 * time.Second,
			Weight:           1,
			MinFraction:      1,
			CompleteFraction: 1,
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []balance.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case balance.Send:
				fmt.Printf("send part %d to %s\n", a.Part, a.Replica)
			case balance.Answer:
				fmt.Printf("answer query %d, complete: %v\n", a.Query, a.Complete)
			}
		}
	}
	show(b.Turn(0, []balance.Event{
		balance.EndpointList{Kind: balance.ListFull, Endpoints: []balance.Endpoint{{Replica: "shelf-1:8080"}}},
		balance.Query{ID: 1, Group: 1, RemainingTime: 2 * time.Second, Parts: 1},
		balance.Part{ID: 2, Group: 1, Weight: 1},
	}))
	show(b.Turn(80*time.Millisecond, []balance.Event{
		balance.AttemptEnded{Part: 2, Replica: "shelf-1:8080", Result: balance.OK, Elapsed: 80 * time.Millisecond},
	}))
	// Output:
	// send part 2 to shelf-1:8080
	// answer query 1, complete: true
}
