package gossip

import (
	"testing"
	"time"
)

func TestQueueValue(t *testing.T) {
	for _, test := range []struct {
		name  string
		queue float64
		want  byte
	}{
		{name: "a fraction is rounded", queue: 2.6, want: 3},
		{name: "a queue longer than fits is the longest that does", queue: 1000, want: Unresponsive - 1},
		{name: "a negative queue is empty", queue: -1, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := QueueValue(test.queue); got != test.want {
				t.Errorf("%v is sent as %d, want %d", test.queue, got, test.want)
			}
		})
	}
}

func TestLoadMessage_RoundTrip(t *testing.T) {
	sent := []Observation{{Key: ServerKey("a"), Value: 7}, {Key: ServerKey("b"), Value: Unresponsive}}
	message := EncodeLoad(time.Hour, 0x102, sent)
	load, ok := DecodeLoad(time.Hour+50*time.Millisecond, message)
	if !ok || load.Age != 50*time.Millisecond || load.Zone != 2 {
		t.Fatalf("%+v, %v", load, ok)
	}
	if len(load.Observations) != 2 || load.Observations[0] != sent[0] || load.Observations[1] != sent[1] {
		t.Errorf("%v, want %v", load.Observations, sent)
	}
	if _, ok := DecodeLoad(time.Hour, Encode(kindLoad, time.Hour, []byte{1, 2})); ok {
		t.Error("a message with an incomplete observation was decoded")
	}
}

func TestOutbox_Flush(t *testing.T) {
	const interval = 100 * time.Millisecond
	o := NewOutbox(3)
	now := time.Hour
	o.Add(1, 5)
	if o.Flush(now, interval, 0) != nil {
		t.Error("a message with an empty budget")
	}
	o.Budget.Accrue(1)
	if o.Flush(now, interval, 0) == nil {
		t.Fatal("no message within the budget")
	}
	if o.Flush(now, interval, 0) != nil {
		t.Error("a message without observations")
	}
	o.Add(1, 5)
	o.Add(1, 6)
	o.Budget.Accrue(1)
	if o.Flush(now+interval-1, interval, 0) != nil {
		t.Error("a message before its interval has elapsed")
	}
	load, ok := DecodeLoad(now, o.Flush(now+interval, interval, 0))
	if !ok || len(load.Observations) != 1 || load.Observations[0] != (Observation{Key: 1, Value: 6}) {
		t.Errorf("%+v, %v: want the newest observation of the server", load, ok)
	}
}

func TestOutbox_Limits(t *testing.T) {
	o := NewOutbox(3)
	for i := range 1000 {
		o.Budget.Accrue(1)
		o.Add(uint32(i), 1)
	}
	if o.Budget.Bytes != 3*MaxMessageBytes {
		t.Errorf("budget of %v bytes, want one message of maximum length to each aggregator", o.Budget.Bytes)
	}
	message := o.Flush(time.Hour, 0, 0)
	if len(message) != EncodedSize(MaxObservations) || len(message) > MaxMessageBytes {
		t.Errorf("a message of %d bytes", len(message))
	}
}
