package retrydetect

import (
	"testing"
	"time"
)

const tick = 10 * time.Millisecond

// unmarked returns an attempt of a client that does not mark its retries.
func unmarked(remaining time.Duration) Attempt {
	return Attempt{RemainingTime: remaining, Tolerance: tick}
}

func TestDetector_WhereClientsMarkRetries(t *testing.T) {
	var d Detector
	attempt := Attempt{RemainingTime: 2 * time.Second, Tolerance: tick, ClientsMark: true}
	if !d.IsFirstAttempt(attempt) {
		t.Error("an attempt that is not marked counts as a retry")
	}
	attempt.MarkedAsRetry = true
	attempt.RemainingTime = time.Second
	if d.IsFirstAttempt(attempt) {
		t.Error("a marked retry counts as a first attempt")
	}
	attempt.RemainingTime = 2*time.Second + tick
	if !d.IsFirstAttempt(attempt) {
		t.Error("a marked retry with the remaining time of a first attempt counts as a retry")
	}
}

// If clients do not mark retries, attempts with the most frequent remaining time count as first attempts, and a change
// of that time is learned.
func TestDetector_WhereClientsDoNotMarkRetries(t *testing.T) {
	var d Detector
	for i := range 30 {
		if !d.IsFirstAttempt(unmarked(2*time.Second)) && i > 0 {
			t.Fatal("a first attempt counts as a retry")
		}
	}
	firsts := 0
	for range maxVotes {
		if d.IsFirstAttempt(unmarked(time.Second)) {
			firsts++
		}
	}
	if firsts != 0 {
		t.Errorf("%d of the first %d attempts with another remaining time count as first attempts", firsts, maxVotes)
	}
	for range 2 {
		if !d.IsFirstAttempt(unmarked(time.Second)) {
			t.Error("the new remaining time of first attempts is not learned")
		}
	}
}
