package retrydetect

import (
	"testing"
	"time"
)

// Where clients flag their repeats the flag decides; where they do not, the time left that most queries have is that
// of first tries, and a change of it is learned.
func TestDetector_IsFirstAttempt(t *testing.T) {
	const s, tick = time.Second, 10 * time.Millisecond
	var u Detector
	if !u.IsFirstAttempt(2*s, true, false, tick) || u.IsFirstAttempt(s, true, true, tick) || !u.IsFirstAttempt(2*s+tick, true, true, tick) {
		t.Error("flagged tries")
	}
	u = Detector{}
	for i := range 30 {
		if !u.IsFirstAttempt(2*s, false, false, tick) && i > 0 {
			t.Fatal("a first try taken for a later one")
		}
	}
	firsts := 0
	for range maxVotes {
		if u.IsFirstAttempt(s, false, false, tick) {
			firsts++
		}
	}
	if firsts != 0 || !u.IsFirstAttempt(s, false, false, tick) || !u.IsFirstAttempt(s, false, false, tick) {
		t.Errorf("%d of the first %d tries with another time left taken for first ones", firsts, maxVotes)
	}
}
