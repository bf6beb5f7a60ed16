package retrydetect

import (
	"testing"
	"time"
)

// Where clients flag their repeats the flag decides; where they do not, the time left that most queries have is that
// of first tries, and a change of it is learned.
func TestFirst(t *testing.T) {
	const s, tick = time.Second, 10 * time.Millisecond
	var u Usual
	if !u.First(2*s, true, false, tick) || u.First(s, true, true, tick) || !u.First(2*s+tick, true, true, tick) {
		t.Error("flagged tries")
	}
	u = Usual{}
	for i := range 30 {
		if !u.First(2*s, false, false, tick) && i > 0 {
			t.Fatal("a first try taken for a later one")
		}
	}
	firsts := 0
	for range votesMost {
		if u.First(s, false, false, tick) {
			firsts++
		}
	}
	if firsts != 0 || !u.First(s, false, false, tick) || !u.First(s, false, false, tick) {
		t.Errorf("%d of the first %d tries with another time left taken for first ones", firsts, votesMost)
	}
}
