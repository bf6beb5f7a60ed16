package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// overloadedService accepts up to callsPerSecond calls in a second; if there are more, all of them wait for too long
// and fail.
type overloadedService struct {
	callsPerSecond int
	random         *rand.Rand
}

// connected returns how many of so many clients that were all disconnected at the same time are connected after 20 s.
func (s overloadedService) connected(clients int, initial Backoff) (connected int) {
	const noCall = -1 // in place of the time of the next call: the client is connected
	nextCall := make([]time.Duration, clients)
	backoffs := make([]Backoff, clients)
	for i := range backoffs {
		backoffs[i] = initial
		nextCall[i] = backoffs[i].Next(s.random.Float64())
	}
	for second := time.Duration(0); second < 20*time.Second; second += time.Second {
		var callers []int // with repetitions
		for i := range nextCall {
			for nextCall[i] != noCall && nextCall[i] < second+time.Second {
				callers = append(callers, i)
				nextCall[i] += backoffs[i].Next(s.random.Float64())
			}
		}
		if len(callers) > s.callsPerSecond {
			continue
		}
		for _, i := range callers {
			if nextCall[i] != noCall {
				nextCall[i] = noCall
				connected++
			}
		}
	}
	return connected
}

// 80 clients that a service disconnects at the same time all reconnect with ForFleet if it accepts 30 calls per second;
// clients that call every 200 ms would keep it overloaded permanently.
func TestForFleet_AllClientsReconnect(t *testing.T) {
	const capacity, clients, minWait = 30, 80, 200 * time.Millisecond
	for name, test := range map[string]struct {
		backoff      Backoff
		allReconnect bool
	}{
		"backoff for the fleet": {backoff: ForFleet(clients, minWait, 40), allReconnect: true},
		"fixed interval":        {backoff: Backoff{Initial: minWait, Max: minWait}, allReconnect: false},
	} {
		t.Run(name, func(t *testing.T) {
			service := overloadedService{callsPerSecond: capacity, random: rand.New(rand.NewPCG(1, 2))}
			connected := service.connected(clients, test.backoff)
			if got := connected == clients; got != test.allReconnect {
				t.Errorf("%d of %d clients reconnected", connected, clients)
			}
		})
	}
}

func TestBackoff_Next(t *testing.T) {
	few := ForFleet(3, 200*time.Millisecond, 40)
	if first, second := few.Next(0.5), few.Next(0.5); first != 200*time.Millisecond || second != first {
		t.Errorf("one of three clients waits %v, then %v", first, second)
	}
	many := ForFleet(80, 200*time.Millisecond, 40)
	var waits []time.Duration
	for range 40 {
		waits = append(waits, many.Next(0.5))
	}
	if waits[0] != 2*time.Second || waits[1] != 4*time.Second || waits[39] != 8*time.Second {
		t.Errorf("one of 80 clients waits %v", waits)
	}
	many.Reset()
	if wait := many.Next(0); wait != time.Second {
		t.Errorf("one of 80 clients waits %v after a success", wait)
	}
}
