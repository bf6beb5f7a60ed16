package retrybudget

import (
	"testing"
	"time"
)

func TestBudget_HoldsWithinEveryWindow(t *testing.T) {
	const window = time.Second
	b := New(Limits{Window: window, Base: 2, Ratio: 0.5})
	retries := func(now time.Duration) (sent int) {
		for b.Allows(now) {
			b.RecordRetry(now)
			sent++
		}
		return sent
	}
	now := time.Hour
	if got := retries(now); got != 2 {
		t.Errorf("%d retries without requests, want the base of 2", got)
	}
	for range 4 {
		b.RecordRequest(now)
	}
	if got := retries(now); got != 2 {
		t.Errorf("%d retries more for 4 requests, want 2", got)
	}
	if got := retries(now + window); got != 0 {
		t.Errorf("%d retries at the end of a closed window, want none", got)
	}
	if got := retries(now + window + 2); got != 2 {
		t.Errorf("%d retries in the next window, want the base of 2", got)
	}
}

func TestBudget_NoWindowAllowsAll(t *testing.T) {
	b := New(Limits{})
	for range 100 {
		if !b.Allows(0) {
			t.Fatal("a retry is not allowed")
		}
		b.RecordRetry(0)
	}
}
