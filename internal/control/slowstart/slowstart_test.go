package slowstart

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

var rules = Limits{
	WarmupPeriod:     10 * time.Second,
	MinCapacity:      0.2,
	OverloadMultiple: 2,
	OverloadPeriod:   2 * time.Second,
	Senders:          10,
}

// A server's share grows evenly from its start, and a restart begins it anew with the random threshold.
func TestLimits_Capacity(t *testing.T) {
	var s Server
	now := time.Hour
	if rules.Capacity(&s, now) != 1 || !rules.Allows(&s, now, 100*ms) {
		t.Error("a server that runs long is not warm")
	}
	s.Restart(now, 0.4)
	for _, test := range []struct {
		age   time.Duration
		share float64
	}{
		{age: 0, share: 0.2},
		{age: 5 * time.Second, share: 0.6},
		{age: 10 * time.Second, share: 1},
		{age: 20 * time.Second, share: 1},
	} {
		if got := rules.Capacity(&s, now+test.age); got < test.share-1e-9 || got > test.share+1e-9 {
			t.Errorf("after %v share %v, want %v", test.age, got, test.share)
		}
	}
	if s.Credit != 0.4 || s.FirstSendThreshold != 0.4 {
		t.Errorf("%+v", s)
	}
	if none := (&Limits{}); none.Capacity(&s, now) != 1 || !none.Allows(&s, now, 100*ms) {
		t.Error("warming up, though no limit is stated")
	}
}

// However eagerly one sender sends, within every window it keeps to its part of what the server stands, or to one part.
func TestLimits_AllowsKeepsToItsShareInEveryWindow(t *testing.T) {
	for _, work := range []time.Duration{2 * ms, 10 * ms, 100 * ms} {
		var s Server
		start := time.Hour
		s.Restart(start, 0.7)
		s.Credit = 0
		var sent []time.Duration
		for now := start; now < start+rules.WarmupPeriod; now += ms {
			if !rules.Allows(&s, now, work) {
				continue
			}
			rules.RecordSend(&s, now)
			sent = append(sent, now)
			partsPerNanosecond := rules.OverloadMultiple / float64(work) / float64(rules.Senders) * rules.Capacity(&s, now)
			allowed := partsPerNanosecond * float64(rules.OverloadPeriod)
			limit := max(1, math.Floor(allowed))
			window := time.Duration(float64(rules.OverloadPeriod) * limit / allowed) // shortened to whole parts
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

// What is owed of the own flow lets a part go where the budget's 1/n does not, and is spent by it.
func TestLimits_CreditLetsAPartGo(t *testing.T) {
	var s Server
	now := time.Hour
	s.Restart(now, 0.5)
	if rules.Allows(&s, now, time.Second) {
		t.Fatal("room at the start")
	}
	rules.AddCredit(&s, now, 2.6) // by 0.2
	if s.Credit < 1 || !rules.Allows(&s, now, time.Second) {
		t.Fatalf("%v owed, and no room", s.Credit)
	}
	rules.RecordSend(&s, now)
	if s.Credit > 0.1 || rules.Allows(&s, now, time.Second) {
		t.Errorf("%v owed after it was sent", s.Credit)
	}
	rules.AddCredit(&s, now+rules.WarmupPeriod, 100)
	if s.Credit > 0.1 {
		t.Error("a warm server earns")
	}
}

// What was sent to a server is not kept for as long as it runs: two thousand parts in its warm-up, and none after it.
// Guards the memory of a sender that runs for days.
func TestLimits_RecentSendsAreDropped(t *testing.T) {
	var s Server
	start := time.Hour
	s.Restart(start, 0)
	most := 0
	for now := start; now < start+rules.WarmupPeriod; now += 5 * ms {
		rules.Allows(&s, now, 5*ms)
		rules.RecordSend(&s, now)
		s.Credit = 0 // what is owed would let every part go without a look at the window
		most = max(most, len(s.recentSends))
	}
	if window := int(rules.OverloadPeriod / (5 * ms)); most > window+1 || len(s.recentSends) == 0 {
		t.Errorf("%d parts kept, a window has %d", most, window)
	}
	rules.RecordSend(&s, start+rules.WarmupPeriod)
	if len(s.recentSends) != 0 {
		t.Errorf("%d parts kept of a warm server", len(s.recentSends))
	}
}
