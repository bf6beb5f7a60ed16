package balance

import (
	"slices"
	"testing"
	"time"
)

func TestRetry_NeverOfANonIdempotentPart(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	for _, result := range []AttemptResult{Failed, Reset, TimedOut, Canceled} {
		h := newHarness(t, settings)
		send := h.sendOnePart(0)
		actions := h.end(send, 0, result, 50*ms)
		onlyAction[Fail](h, actions)
		h.wantNone(actions, "second attempt", countOf[Send](actions))
	}
	for _, result := range []AttemptResult{QueueFull, ConnectFailed} {
		h := newHarness(t, settings)
		send := h.sendOnePart(0)
		if retry := onlyAction[Send](h, h.end(send, 0, result, 5*ms)); retry.Replica == send.Replica {
			t.Errorf("result %d: sent again to the same server", result)
		}
	}
}

func TestRetry_KeyedPartKeepsItsDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = KeyedIdempotent
	settings.Classes[0].DedupWindow = 200 * ms
	settings.Classes[0].OverdueFraction = 0.5
	h := newHarness(t, settings)
	send := h.sendOnePart(0)
	onlyAction[Send](h, h.end(send, 0, Failed, 100*ms))
	h = newHarness(t, settings)
	send = h.sendOnePart(0)
	actions := h.end(send, 0, Failed, 250*ms)
	h.wantNone(actions, "repeat after the window", countOf[Send](actions))
}

func TestRetry_AttemptsAreCapped(t *testing.T) {
	h := newHarness(t, testSettings())
	send := h.sendOnePart(0)
	send = onlyAction[Send](h, h.end(send, 0, Failed, 5*ms))
	send = onlyAction[Send](h, h.end(send, 1, Failed, 5*ms))
	actions := h.end(send, 2, Failed, 5*ms)
	h.wantNone(actions, "fourth attempt", countOf[Send](actions))
	onlyAction[Reject](h, actions)
}

func TestRetry_Budget(t *testing.T) {
	settings := testSettings()
	settings.Rules.RetryBudgetWindow = 10 * time.Second
	settings.Rules.RetryBudgetBase = 1
	settings.Rules.RetryBudgetRatio = 0
	h := newHarness(t, settings)
	send := h.sendOnePart(0)
	send = onlyAction[Send](h, h.end(send, 0, Failed, 5*ms))
	actions := h.end(send, 1, Failed, 5*ms)
	h.wantNone(actions, "attempt beyond the budget", countOf[Send](actions))
}

func TestAttempts_CanceledOneShowsSlowness(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	send := h.sendOnePart(0)
	server := h.b.servers[send.Replica]
	r := server.Latency
	h.end(send, 0, Canceled, 800*ms)
	if last := server.Recent[len(server.Recent)-1]; last != 800e3 || server.Latency <= r {
		t.Errorf("last time %v, latency %v after %v: a canceled attempt must count", last, server.Latency, r)
	}
	send = h.sendOnePart(0)
	before := len(h.b.servers[send.Replica].Recent)
	h.end(send, 0, Canceled, 20*ms)
	if server := h.b.servers[send.Replica]; len(server.Recent) != before || slices.Contains(server.Recent, 20e3) {
		t.Error("an attempt that was canceled early counts as a fast answer")
	}
}

// budgetRun drives a Balancer half of whose attempts fail, and records what counts for the retry budget.
type budgetRun struct {
	*harness
	rules             Rules
	accepted, retries []time.Duration // queries and parts, and retries
	attempts          map[ID]int      // of each part
	secondSteps       map[ID]bool     // queries whose second step has started
	pending           []Event         // for the next turn
}

// step runs one turn with the given events and the pending ones.
func (r *budgetRun) step(events []Event) {
	r.Helper()
	events = append(events, r.pending...)
	r.pending = nil
	for _, e := range events {
		switch e.(type) {
		case Query, Part:
			r.accepted = append(r.accepted, r.now)
		}
	}
	var ends []Event
	for _, action := range r.turn(events...) {
		switch a := action.(type) {
		case Send:
			ends = append(ends, r.attemptEnd(a))
		case Hedge:
			ends = append(ends, r.attemptEnd(Send(a)))
		case Answer:
			r.beginSecondStep(a.Query)
		}
	}
	r.pending = append(r.pending, ends...)
}

// beginSecondStep adds two parts to a query whose first step was answered.
func (r *budgetRun) beginSecondStep(query ID) {
	if r.secondSteps[query] {
		return
	}
	r.secondSteps[query] = true
	for range 2 {
		r.pending = append(r.pending, Part{ID: r.next, Group: uint64(query), Weight: 0.5})
		r.next++
	}
}

// attemptEnd counts an attempt, checks the budget if it is a retry, and returns its end.
func (r *budgetRun) attemptEnd(send Send) Event {
	r.Helper()
	r.attempts[send.Part]++
	if r.attempts[send.Part] > 1 {
		r.retries = append(r.retries, r.now)
		start := r.now - r.rules.RetryBudgetWindow
		retries := float64(countSince(r.retries, start))
		accepted := float64(countSince(r.accepted, start+1))
		if retries > r.rules.RetryBudgetBase+r.rules.RetryBudgetRatio*accepted {
			r.Fatalf("%v retries within a window that accepted %v", retries, accepted)
		}
	}
	result := OK
	if r.b.rng.Float64() < 0.5 {
		result = Failed
	}
	return AttemptEnded{Part: send.Part, Attempt: r.attempts[send.Part] - 1, Replica: send.Replica, Result: result}
}

// countSince counts the times at or after start.
func countSince(times []time.Duration, start time.Duration) (n int) {
	for _, t := range times {
		if t >= start {
			n++
		}
	}
	return n
}

// Rule 6 holds throughout a long period of failures: in any window, the attempts beyond the first of each
// part stay within the base plus the ratio of the queries and parts accepted in it. Parts of a second step
// and hedged requests are included.
func TestRetry_BudgetHoldsInEveryWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].FollowUpParts = 2
	settings.Classes[0].OverdueFraction = 0.3
	settings.Rules.RetryBudgetWindow = 2 * time.Second
	settings.Rules.RetryBudgetBase = 3
	settings.Rules.RetryBudgetRatio = 0.1
	settings.MaxAttempts = 4
	run := &budgetRun{
		harness: newHarness(t, settings), rules: settings.Rules, attempts: map[ID]int{}, secondSteps: map[ID]bool{},
	}
	for i := range 600 {
		run.now += 20 * ms
		var events []Event
		if i%4 == 0 {
			_, events = run.query(newQuery{parts: 3})
		}
		run.step(events)
	}
	if len(run.retries) < 12 {
		t.Errorf("only %d retries in 12 s: the budget is not used", len(run.retries))
	}
}

// Where the healthy replicas reject a part because they are full, its attempts are spread over the remaining
// time.
func TestRetry_AttemptsAfterFullReplicasAreSpread(t *testing.T) {
	h := newFleetHarness(t, "a", "b", "c")
	send := h.sendOnePart(0)
	attempt := 0
	times := []time.Duration{}
	start := h.now
	actions := h.end(send, attempt, QueueFull, ms)
	for h.now < start+900*ms && attempt < 3 {
		if retry := actionsOf[Send](actions); len(retry) == 1 {
			attempt++
			times = append(times, h.now-start)
			actions = h.end(retry[0], attempt, QueueFull, ms)
			continue
		}
		h.now += 5 * ms
		actions = h.turn(TimerFired{})
	}
	if len(times) != 3 || times[0] < 200*ms || times[1]-times[0] < 150*ms || times[2]-times[1] < 150*ms {
		t.Errorf("retries at %v of an objective of a second", times)
	}
}
