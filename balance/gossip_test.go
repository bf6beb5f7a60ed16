package balance

import (
	"bytes"
	"testing"
	"time"

	"rooktrestle/internal/control/fleet"
	"rooktrestle/internal/control/gossip"
)

// newGossipHarness drives one of 80 balancers that may send gossip messages and probes.
func newGossipHarness(t *testing.T) *harness {
	settings := testSettings()
	settings.Instances = 80
	settings.PeerMessages = true
	settings.CanProbe = true
	settings.ProbeTimeout = 250 * ms
	h := newHarness(t, settings)
	h.serve(100, 100*ms)
	return h
}

// gossipAfterProbe returns the gossip messages sent after a probe of server "a" ended with a result. A result
// of OK has a load report with a queue.
func gossipAfterProbe(h *harness, result AttemptResult, queue float64) []SendGossip {
	h.now += time.Second // all observations of "a" are older
	ended := ProbeEnded{Replica: "a", Result: result, Elapsed: 250 * ms}
	if result == OK {
		ended.Report = &LoadReport{Queue: queue, InFlight: -1, Utilization: -1}
	}
	return actionsOf[SendGossip](h.turn(ended))
}

// If one balancer finds a server unresponsive, the others avoid it before each has lost parts of its own
// there.
func TestGossip_UnresponsiveServerIsKnownToAll(t *testing.T) {
	from := newGossipHarness(t)
	to := newGossipHarness(t)
	messages := gossipAfterProbe(from, Canceled, 0)
	if len(messages) != 1 || len(messages[0].Payload) > MaxGossipBytes {
		t.Fatalf("sent %v", messages)
	}
	to.now = from.now
	to.turn(GossipReceived{Payload: messages[0].Payload}, GossipReceived{Payload: messages[0].Payload}) // duplicated
	if server := to.b.servers["a"]; !server.Unresponsive {
		t.Fatal("an unresponsive server is still trusted")
	}
	for range 20 {
		if send := to.sendOnePart(0); send.Replica == "a" {
			t.Fatal("a part went to the unresponsive server")
		}
	}
	// Once it answers a probe of one balancer, a message makes the others use it again.
	messages = gossipAfterProbe(from, OK, 1)
	if len(messages) != 1 {
		t.Fatal("the recovery of an unresponsive server was not sent")
	}
	to.now = from.now
	to.turn(GossipReceived{Payload: messages[0].Payload})
	to.turn()
	if to.b.servers["a"].Unresponsive {
		t.Error("a server that answers is still avoided")
	}
	messages = gossipAfterProbe(from, OK, 1)
	if len(messages) != 0 {
		t.Error("a short queue was sent for a server that was neither unresponsive nor overloaded")
	}
}

// An observation from another zone that a server is unresponsive is ignored, as the network path between the
// zones may be the cause. An answer of the server overrides the observation.
func TestGossip_UnresponsiveFromAnotherZone(t *testing.T) {
	unresponsive := func(h *harness, zone int) bool {
		h.now += time.Second
		h.turn(GossipReceived{Payload: gossip.EncodeLoad(
			h.now,
			zone,
			[]gossip.Observation{{Key: gossip.ServerKey("a"), Value: gossip.Unresponsive}},
		)})
		return h.b.servers["a"].Unresponsive
	}
	h := newGossipHarness(t)
	if unresponsive(h, 1) {
		t.Error("the observation of another zone was accepted")
	}
	sends := actionsOf[Send](h.begin(newQuery{parts: 9}))
	if !unresponsive(h, 0) {
		t.Fatal("the observation of the own zone was not accepted")
	}
	for _, send := range sends {
		if send.Replica == "a" {
			h.turn(AttemptEnded{Part: send.Part, Replica: "a", Result: OK, Elapsed: time.Second})
		}
	}
	if countByReplica(sends)["a"] == 0 || h.b.servers["a"].ProbeUnanswered {
		t.Errorf("%d parts answered, but the server counts as unresponsive", countByReplica(sends)["a"])
	}
}

func TestGossip_LongQueueAndItsEnd(t *testing.T) {
	from := newGossipHarness(t)
	to := newGossipHarness(t)
	messages := gossipAfterProbe(from, OK, 40)
	if len(messages) != 1 {
		t.Fatal("a long queue was not sent")
	}
	to.now = from.now
	to.turn(GossipReceived{Payload: messages[0].Payload})
	if q := to.b.servers["a"].Queue; q < 20 {
		t.Fatalf("recorded a queue of %v", q)
	}
	messages = gossipAfterProbe(from, OK, 0)
	if len(messages) != 1 {
		t.Fatal("the end of a long queue was not sent")
	}
	to.now = from.now
	to.turn(GossipReceived{Payload: messages[0].Payload})
	if q := to.b.servers["a"].Queue; q > 15 {
		t.Fatalf("recorded a queue of %v after the long queue ended", q)
	}
	messages = gossipAfterProbe(from, OK, 0)
	if len(messages) != 0 {
		t.Error("an ordinary queue was sent: all balancers would send to the shortest one")
	}
}

// The receiver's own measurements override earlier observations of others. Messages that are old, corrupt or
// about unknown servers are ignored.
func TestGossip_IgnoredMessages(t *testing.T) {
	for name, test := range map[string]struct {
		delay       time.Duration // of the message
		change      func([]byte) []byte
		hasAnswered bool // the server answered the receiver just now
	}{
		"contradicted": {hasAnswered: true},
		"old":          {delay: time.Second},
		"corrupt": {change: func(b []byte) []byte {
			b = bytes.Clone(b)
			b[len(b)-1] ^= 1
			return b
		}},
		"truncated": {change: func(b []byte) []byte { return b[:len(b)-1] }},
		"too long":  {change: func(b []byte) []byte { return append(bytes.Clone(b), make([]byte, 300)...) }},
		"empty":     {change: func([]byte) []byte { return nil }},
		"of an unknown server": {change: func(b []byte) []byte {
			load, _ := gossip.DecodeLoad(0, b)
			load.Observations[0].Key++
			return gossip.EncodeLoad(0, 0, load.Observations)
		}},
	} {
		from := newGossipHarness(t)
		to := newGossipHarness(t)
		payload := gossipAfterProbe(from, Canceled, 0)[0].Payload
		if test.change != nil {
			payload = test.change(payload)
		}
		to.now = from.now + test.delay
		if test.hasAnswered {
			to.b.servers["a"].LastSuccess = to.now - 10*ms
		}
		to.turn(GossipReceived{Payload: payload})
		if to.b.servers["a"].Unresponsive {
			t.Errorf("%s: the server counts as unresponsive", name)
		}
	}
	// If messages are not allowed or balancers are few, none is sent and received ones are ignored.
	for _, few := range []bool{false, true} {
		h := newGossipHarness(t)
		message := gossipAfterProbe(h, Canceled, 0)[0].Payload
		h = newGossipHarness(t)
		if few {
			h.b.settings.Instances = fleet.MaxExtrapolated
		} else {
			h.b.settings.PeerMessages = false
		}
		if messages := gossipAfterProbe(h, Canceled, 0); len(messages) != 0 {
			t.Errorf("few %v: sent %v", few, messages)
		}
		h = newGossipHarness(t)
		h.b.settings.PeerMessages = false
		h.b.fleet.Options.ProbesShared = false
		h.now += time.Second
		h.turn(GossipReceived{Payload: message})
		if h.b.servers["a"].ProbeUnanswered {
			t.Error("a message was applied where messages are not allowed")
		}
	}
}

// Messages stay within the budget that accepted parts have accrued, and within the maximum length.
func TestGossip_IsLimited(t *testing.T) {
	h := newGossipHarness(t)
	h.b.outbox.Budget.Bytes = 0
	if messages := gossipAfterProbe(h, Canceled, 0); len(messages) != 0 {
		t.Errorf("sent %v with nothing accrued", messages)
	}
	var observations []gossip.Observation
	for i := range 200 {
		observations = append(observations, gossip.Observation{Key: uint32(i), Value: byte(i)})
	}
	payload := gossip.EncodeLoad(0, 0, observations)
	got, ok := gossip.DecodeLoad(0, payload)
	if !ok || len(payload) > MaxGossipBytes || len(got.Observations) != gossip.MaxObservations {
		t.Errorf("%d bytes, %d observations, %v", len(payload), len(got.Observations), ok)
	}
}

func FuzzReceiveGossip(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(gossip.EncodeLoad(
		time.Hour,
		0,
		[]gossip.Observation{
			{Key: gossip.ServerKey("a"), Value: 7},
			{Key: gossip.ServerKey("b"), Value: gossip.Unresponsive},
		},
	))
	f.Add(append(gossip.EncodeLoad(0, 0, nil), 1, 2, 3))
	f.Fuzz(func(t *testing.T, payload []byte) {
		load, ok := gossip.DecodeLoad(0, payload)
		if ok != IsGossip(payload) || ok && len(payload) != gossip.EncodedSize(len(load.Observations)) {
			t.Fatalf("%x: %v, %d observations", payload, ok, len(load.Observations))
		}
		settings := testSettings()
		settings.Instances = 80
		settings.PeerMessages = true
		b, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		b.Turn(
			time.Second,
			[]Event{EndpointList{Kind: ListFull, Endpoints: threeServers()}, GossipReceived{Payload: payload}},
		)
		if len(b.servers) != 3 {
			t.Fatal("a message changed the endpoint list")
		}
	})
}
