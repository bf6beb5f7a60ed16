package gossip

import (
	"testing"
	"time"
)

// A message has exactly one kind, a change of any byte is detected, and its age is right though the timestamp wraps
// around.
func TestEncode_FramesAKindAndItsAge(t *testing.T) {
	const kind = 0x51
	now := time.Hour
	for _, body := range []string{"", "body", string(make([]byte, MaxMessageBytes-HeaderBytes))} {
		message := Encode(kind, now, []byte(body))
		if !IsKind(kind, message) || IsKind(kind+1, message) || string(message[HeaderBytes:]) != body {
			t.Fatalf("%x", message)
		}
		for i := range message {
			message[i] ^= 0x10
			if IsKind(kind, message) {
				t.Errorf("the message is accepted with byte %d changed", i)
			}
			message[i] ^= 0x10
		}
		for _, age := range []time.Duration{0, 30 * time.Second, -30 * time.Second} {
			if got := Age(now+age, message); got != age {
				t.Errorf("age %v, want %v", got, age)
			}
		}
	}
	if IsKind(kind, nil) || IsKind(kind, Encode(kind, now, make([]byte, MaxMessageBytes-HeaderBytes+1))) {
		t.Error("a message that is too short or too long is accepted")
	}
}
