package gossip

import (
	"testing"
	"time"
)

func TestQueueValue(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue float64
		want  byte
	}{
		{"a fraction is rounded", 2.6, 3},
		{"a queue longer than fits is the longest that does", 1000, Unresponsive - 1},
		{"a negative queue is empty", -1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := QueueValue(c.queue); got != c.want {
				t.Errorf("%v is sent as %d, want %d", c.queue, got, c.want)
			}
		})
	}
}

func TestLoadMessage_RoundTrip(t *testing.T) {
	sent := []Observation{{ServerKey("a"), 7}, {ServerKey("b"), Unresponsive}}
	message := EncodeLoad(time.Hour, 0x102, sent)
	load, ok := DecodeLoad(time.Hour+50*time.Millisecond, message)
	if !ok || load.Age != 50*time.Millisecond || load.Zone != 2 {
		t.Fatalf("%+v, %v", load, ok)
	}
	if len(load.Observations) != 2 || load.Observations[0] != sent[0] || load.Observations[1] != sent[1] {
		t.Errorf("%v, want %v", load.Observations, sent)
	}
	if _, ok := DecodeLoad(time.Hour, Encode(kindLoad, time.Hour, []byte{1, 2})); ok {
		t.Error("half an observation decodes")
	}
}

func TestOutbox_Flush(t *testing.T) {
	const interval = 100 * time.Millisecond
	o := NewOutbox(3)
	now := time.Hour
	o.Add(1, 5)
	if o.Flush(now, interval, 0) != nil {
		t.Error("a message with no allowance")
	}
	o.Earn()
	if o.Flush(now, interval, 0) == nil {
		t.Fatal("no message with an allowance")
	}
	if o.Flush(now, interval, 0) != nil {
		t.Error("a message without observations")
	}
	o.Add(1, 5)
	o.Add(1, 6)
	o.Earn()
	if o.Flush(now+interval-1, interval, 0) != nil {
		t.Error("a message before its interval is over")
	}
	load, ok := DecodeLoad(now, o.Flush(now+interval, interval, 0))
	if !ok || len(load.Observations) != 1 || load.Observations[0] != (Observation{1, 6}) {
		t.Errorf("%+v, %v: want the newest observation of the server", load, ok)
	}
}

func TestOutbox_Limits(t *testing.T) {
	o := NewOutbox(3)
	for i := range 1000 {
		o.Earn()
		o.Add(uint32(i), 1)
	}
	if o.Allowance != 3*MaxMessageBytes {
		t.Errorf("allowance of %v bytes, want one full message to each", o.Allowance)
	}
	if message := o.Flush(time.Hour, 0, 0); len(message) != EncodedSize(MaxObservations) || len(message) > MaxMessageBytes {
		t.Errorf("a message of %d bytes", len(message))
	}
}
