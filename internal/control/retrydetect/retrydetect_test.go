package retrydetect

import (
	"testing"
	"time"
)

const tick = 10 * time.Millisecond

// unmarked is an attempt where clients do not mark their retries.
func unmarked(timeLeft time.Duration) Attempt { return Attempt{TimeLeft: timeLeft, Tolerance: tick} }

func TestDetector_WhereClientsMarkRetries(t *testing.T) {
	var d Detector
	attempt := Attempt{TimeLeft: 2 * time.Second, Tolerance: tick, ClientsMark: true}
	if !d.IsFirstAttempt(attempt) {
		t.Error("an attempt that is not marked counts as a retry")
	}
	attempt.MarkedARetry = true
	attempt.TimeLeft = time.Second
	if d.IsFirstAttempt(attempt) {
		t.Error("a marked retry counts as a first attempt")
	}
	attempt.TimeLeft = 2*time.Second + tick
	if !d.IsFirstAttempt(attempt) {
		t.Error("a marked retry with all the time left of a first attempt counts as a retry")
	}
}

// Where clients do not mark retries, first attempts are those with the time left that most queries have, and a change of
// it is learned.
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
		t.Errorf("%d of the first %d attempts with another time left count as first attempts", firsts, maxVotes)
	}
	for range 2 {
		if !d.IsFirstAttempt(unmarked(time.Second)) {
			t.Error("the new time left of first attempts is not learned")
		}
	}
}
