package listwatch

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// An agent's watch that ends after a while is opened anew at once, and a failing agent is not called in a hot loop.
func TestAnAgentIsCalledAgainAtOnce(t *testing.T) {
	for _, chance := range []float64{0, 0.5, 1} {
		c := New(PlatformConfig(0))
		c.Opened(start, chance)
		if next := c.Ended(start.Add(time.Second), chance); !next.Equal(start.Add(time.Second)) {
			t.Errorf("chance %v: %v after a watch that lasted", chance, next.Sub(start))
		}
		now := start.Add(time.Minute)
		for range 50 {
			c.Opened(now, chance)
			c.Succeeded()
			next := c.Ended(now, chance)
			if d := next.Sub(now); d < 100*time.Millisecond || d > 300*time.Millisecond {
				t.Errorf("chance %v: %v after a call that failed at once", chance, d)
			}
			now = next
		}
	}
}

// Mixers that share a discovery and fail at one moment call it again over the time that their number takes.
func TestASharedDiscoveryIsCalledBySpread(t *testing.T) {
	early := 0
	for i := range 300 {
		c := New(PlatformConfig(300))
		c.Opened(start, 0.5)
		if next := c.Ended(start, float64(i)/299); next.Sub(start) < 4750*time.Millisecond {
			early++
		}
	}
	if early > 45 { // of 300 calls over 7.5 s, 40 in the first second
		t.Errorf("%d calls in the first second", early)
	}
}

// FuzzCalls plays a discovery that answers, says lines, falls silent, refuses and ends watches, and holds the calls to
// what must always be so.
func FuzzCalls(f *testing.F) {
	f.Add(uint16(0), []byte{0, 1, 2, 3, 4, 200, 255, 7})
	f.Add(uint16(300), []byte{3, 3, 3, 0, 9, 2, 2, 1})
	f.Add(uint16(1), []byte{2, 2, 2, 2})
	f.Fuzz(func(t *testing.T, shared uint16, steps []byte) {
		rules := PlatformConfig(int(shared))
		c, now, failed := New(rules), start, 0
		chance := func(b byte) float64 { return float64(b>>3) / 31 }
		c.Opened(now, 0.5)
		for _, b := range steps {
			if silent := c.SilenceDeadline().Sub(c.heard); silent > rules.MaxSilence || silent < rules.MinSilence && (c.answered || shared > 1 || silent != rules.FirstEventTimeout) {
				t.Fatalf("broken after %v", silent)
			}
			switch b & 3 {
			case 0: // a line in time
				now = now.Add(2 * time.Second)
				c.Received(now)
				c.Succeeded()
				failed = 0
				if !c.SilenceDeadline().After(now.Add(2 * time.Second)) {
					t.Fatal("broken before its next line is due")
				}
			case 1: // silence: opened anew, so that what is missed comes in 6 s
				if c.SilenceDeadline().After(c.heard.Add(5 * time.Second)) {
					t.Fatalf("silent for %v", c.SilenceDeadline().Sub(c.heard))
				}
				now = c.SilenceDeadline()
				c.Opened(now, chance(b))
			default: // it ends
				next := c.Ended(now, chance(b))
				failed++
				if next.Before(now) || next.Sub(now) > max(300*time.Millisecond, 6*time.Duration(shared)*time.Second/40) {
					t.Fatalf("%d mixers, %d failed: called again after %v", shared, failed, next.Sub(now))
				}
				if shared > 60 && next.Sub(now) < time.Duration(shared)*time.Second/80-time.Millisecond {
					t.Fatalf("%d mixers: called again after %v", shared, next.Sub(now))
				}
				now = next
				c.Opened(now, chance(b))
			}
		}
	})
}
