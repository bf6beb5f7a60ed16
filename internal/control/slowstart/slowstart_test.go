package slowstart

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{
	WarmupPeriod:     10 * time.Second,
	MinCapacity:      0.2,
	OverloadMultiple: 2,
	OverloadPeriod:   2 * time.Second,
	Senders:          10,
}

// Capacity grows linearly from a server's start. A restart sets the credit and the threshold to the random number.
func TestLimits_Capacity(t *testing.T) {
	var s Server
	now := time.Hour
	if limits.Capacity(&s, now) != 1 || !limits.Allows(&s, now, 100*ms) {
		t.Error("a server without a recent start is not warm")
	}
	s.Restart(now, 0.4)
	for _, test := range []struct {
		age      time.Duration
		capacity float64
	}{
		{age: 0, capacity: 0.2},
		{age: 5 * time.Second, capacity: 0.6},
		{age: 10 * time.Second, capacity: 1},
		{age: 20 * time.Second, capacity: 1},
	} {
		if got := limits.Capacity(&s, now+test.age); got < test.capacity-1e-9 || got > test.capacity+1e-9 {
			t.Errorf("after %v capacity %v, want %v", test.age, got, test.capacity)
		}
	}
	if s.Credit != 0.4 || s.FirstSendThreshold != 0.4 {
		t.Errorf("%+v", s)
	}
	if none := (&Limits{}); none.Capacity(&s, now) != 1 || !none.Allows(&s, now, 100*ms) {
		t.Error("warming up, though no limits are configured")
	}
}

// A sender that sends whenever Allows permits it stays, in every window, within its share of the server's limit or
// within one part.
func TestLimits_AllowsKeepsToItsShareInEveryWindow(t *testing.T) {
	for _, work := range []time.Duration{2 * ms, 10 * ms, 100 * ms} {
		var s Server
		start := time.Hour
		s.Restart(start, 0.7)
		s.Credit = 0
		var sent []time.Duration
		for now := start; now < start+limits.WarmupPeriod; now += ms {
			if !limits.Allows(&s, now, work) {
				continue
			}
			limits.RecordSend(&s, now)
			sent = append(sent, now)
			partsPerNs := limits.OverloadMultiple / float64(work) / float64(limits.Senders) * limits.Capacity(&s, now)
			allowed := partsPerNs * float64(limits.OverloadPeriod)
			limit := max(1, math.Floor(allowed))
			window := time.Duration(float64(limits.OverloadPeriod) * limit / allowed) // shortened to whole parts
			inWindow := 0.0
			for _, at := range sent {
				if at > now-window {
					inWindow++
				}
			}
			if inWindow > limit {
				t.Fatalf("work %v: %v parts within the window at %v, %v allowed", work, inWindow, now-start, limit)
			}
		}
		if len(sent) == 0 || sent[0] == start {
			t.Errorf("work %v: %d parts, the first at the start", work, len(sent))
		}
	}
}

// A credit of one part allows a part that exceeds the sender's 1/Senders of the limit; sending it spends the credit.
func TestLimits_CreditLetsAPartGo(t *testing.T) {
	var s Server
	now := time.Hour
	s.Restart(now, 0.5)
	if limits.Allows(&s, now, time.Second) {
		t.Fatal("a part is allowed immediately after the start")
	}
	limits.AddCredit(&s, now, 2.6) // adds 0.52, at a capacity of 0.2
	if s.Credit < 1 || !limits.Allows(&s, now, time.Second) {
		t.Fatalf("credit of %v parts, and no part is allowed", s.Credit)
	}
	limits.RecordSend(&s, now)
	if s.Credit > 0.1 || limits.Allows(&s, now, time.Second) {
		t.Errorf("credit of %v parts after one was sent, or another is allowed", s.Credit)
	}
	limits.AddCredit(&s, now+limits.WarmupPeriod, 100)
	if s.Credit > 0.1 {
		t.Error("a warm server accrues credit")
	}
}

// Guards against a memory leak in a sender that runs for days: of two thousand parts sent during a server's warm-up
// only those of the last window are retained, and none after it.
func TestLimits_RecentSendsAreDropped(t *testing.T) {
	var s Server
	start := time.Hour
	s.Restart(start, 0)
	most := 0
	for now := start; now < start+limits.WarmupPeriod; now += 5 * ms {
		limits.Allows(&s, now, 5*ms)
		limits.RecordSend(&s, now)
		s.Credit = 0 // with credit, Allows would return before it drops old sends
		most = max(most, len(s.recentSends))
	}
	if window := int(limits.OverloadPeriod / (5 * ms)); most > window+1 || len(s.recentSends) == 0 {
		t.Errorf("%d sends retained, a window contains %d", most, window)
	}
	limits.RecordSend(&s, start+limits.WarmupPeriod)
	if len(s.recentSends) != 0 {
		t.Errorf("%d sends to a warm server retained", len(s.recentSends))
	}
}
