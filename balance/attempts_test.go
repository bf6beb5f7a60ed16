package balance

import (
	"slices"
	"testing"
	"time"
)

func TestRetry_NeverOfANonIdempotentPart(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	for _, r := range []AttemptResult{Failed, Reset, TimedOut, Canceled} {
		h := newHarness(t, settings)
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		actions := h.end(s, 0, r, 50*ms)
		onlyAction[Fail](h, actions)
		h.wantNone(actions, "second attempt", len(actionsOf[Send](actions)))
	}
	for _, r := range []AttemptResult{QueueFull, ConnectFailed} {
		h := newHarness(t, settings)
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		if again := onlyAction[Send](h, h.end(s, 0, r, 5*ms)); again.Replica == s.Replica {
			t.Errorf("result %d: sent again to the same server", r)
		}
	}
}

func TestRetry_KeyedPartKeepsItsDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].DedupWindow, settings.Classes[0].OverdueFraction = KeyedIdempotent, 200*ms, 0.5
	h := newHarness(t, settings)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	onlyAction[Send](h, h.end(s, 0, Failed, 100*ms))
	h = newHarness(t, settings)
	_, ev = h.query(0, 1)
	s = onlyAction[Send](h, h.turn(ev...))
	actions := h.end(s, 0, Failed, 250*ms)
	h.wantNone(actions, "repeat after the window", len(actionsOf[Send](actions)))
}

func TestRetry_AttemptsAreCapped(t *testing.T) {
	h := newHarness(t, testSettings())
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	s = onlyAction[Send](h, h.end(s, 0, Failed, 5*ms))
	s = onlyAction[Send](h, h.end(s, 1, Failed, 5*ms))
	actions := h.end(s, 2, Failed, 5*ms)
	h.wantNone(actions, "fourth attempt", len(actionsOf[Send](actions)))
	onlyAction[Reject](h, actions)
}

func TestRetry_Budget(t *testing.T) {
	settings := testSettings()
	settings.Rules.RetryBudgetWindow, settings.Rules.RetryBudgetBase, settings.Rules.RetryBudgetRatio = 10*time.Second, 1, 0
	h := newHarness(t, settings)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	s = onlyAction[Send](h, h.end(s, 0, Failed, 5*ms))
	actions := h.end(s, 1, Failed, 5*ms)
	h.wantNone(actions, "attempt beyond the budget", len(actionsOf[Send](actions)))
}

func TestAttempts_CanceledOneShowsSlowness(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	srv := h.b.servers[s.Replica]
	r := srv.Latency
	h.end(s, 0, Canceled, 800*ms)
	if last := srv.Recent[len(srv.Recent)-1]; last != 800e3 || srv.Latency <= r {
		t.Errorf("last time %v, R %v after %v: a censored time counts", last, srv.Latency, r)
	}
	_, ev = h.query(0, 1)
	s = onlyAction[Send](h, h.turn(ev...))
	before := len(h.b.servers[s.Replica].Recent)
	h.end(s, 0, Canceled, 20*ms)
	if srv := h.b.servers[s.Replica]; len(srv.Recent) != before || slices.Contains(srv.Recent, 20e3) {
		t.Error("a short attempt canceled counts as a quick answer")
	}
}

// Rule 6 at every moment of a long bad spell: in any window the attempts beyond each part's first stay within the free
// ones and the share of queries and parts taken in it, parts of a second step and second copies included.
func TestRetry_BudgetHoldsInEveryWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].FollowUpParts, settings.Classes[0].OverdueFraction = 2, 0.3
	settings.Rules.RetryBudgetWindow, settings.Rules.RetryBudgetBase, settings.Rules.RetryBudgetRatio = 2*time.Second, 3, 0.1
	settings.MaxAttempts = 4
	h := newHarness(t, settings)
	var accepted, retries []time.Duration
	tries := map[ID]int{}
	var pending []AttemptEnded
	second := map[ID]bool{}
	var next []Event
	turn := func(events ...Event) {
		for _, e := range events {
			switch e.(type) {
			case Query, Part:
				accepted = append(accepted, h.now)
			}
		}
		for _, action := range h.turn(events...) {
			var s Send
			switch action := action.(type) {
			case Send:
				s = action
			case Hedge:
				s = Send(action)
			case Answer: // of a first step: its second brings two parts
				if !second[action.Query] {
					second[action.Query] = true
					for range 2 {
						next = append(next, Part{ID: h.next, Group: uint64(action.Query), Weight: 0.5})
						h.next++
					}
				}
				continue
			default:
				continue
			}
			if tries[s.Part]++; tries[s.Part] > 1 {
				retries = append(retries, h.now)
				n, k := 0.0, 0.0
				for _, at := range retries {
					if at >= h.now-settings.Rules.RetryBudgetWindow {
						n++
					}
				}
				for _, at := range accepted {
					if at > h.now-settings.Rules.RetryBudgetWindow {
						k++
					}
				}
				if n > settings.Rules.RetryBudgetBase+settings.Rules.RetryBudgetRatio*k {
					t.Fatalf("%v retries within a window that took %v", n, k)
				}
			}
			result := OK
			if h.b.rng.Float64() < 0.5 {
				result = Failed
			}
			pending = append(pending, AttemptEnded{Part: s.Part, Attempt: tries[s.Part] - 1, Replica: s.Replica, Result: result})
		}
	}
	for i := range 600 {
		h.now += 20 * ms
		var events []Event
		if i%4 == 0 {
			_, events = h.query(0, 3)
		}
		events = append(events, next...)
		for _, o := range pending {
			events = append(events, o)
		}
		pending, next = nil, nil
		turn(events...)
	}
	if len(retries) < 12 {
		t.Errorf("only %d retries in 12 s: the budget is there to be used", len(retries))
	}
}

// Where the healthy replicas reject a part its attempts are spread over the time left.
func TestRetry_AttemptsAfterFullReplicasAreSpread(t *testing.T) {
	h := newFleetBench(t, "a", "b", "c")
	_, events := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(events...))
	at, times := 0, []time.Duration{}
	start := h.now
	actions := h.end(s, at, QueueFull, ms)
	for h.now < start+900*ms && at < 3 {
		if again := actionsOf[Send](actions); len(again) == 1 {
			at++
			times = append(times, h.now-start)
			actions = h.end(again[0], at, QueueFull, ms)
			continue
		}
		h.now += 5 * ms
		actions = h.turn(TimerFired{})
	}
	if len(times) != 3 || times[0] < 200*ms || times[1]-times[0] < 150*ms || times[2]-times[1] < 150*ms {
		t.Errorf("retries at %v of an objective of a second", times)
	}
}
