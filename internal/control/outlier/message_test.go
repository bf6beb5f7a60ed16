package outlier

import (
	"encoding/hex"
	"slices"
	"testing"

	"rooktrestle/internal/control/gossip"
)

// Processes of two versions run side by side during an upgrade, so the encoding must not change.
func TestMessage_OfAnEarlierVersionIsDecodedAndEncodedAlike(t *testing.T) {
	// Encoded by commit b803164 (Table.Word, package internal/decide/outlier) one hour after the start of an
	// aggregator of zone 2: 20 failures and 2 answers of server leaf-a, 3 failures of leaf-b.
	const previousMessage = "4cee806db20271b6e0abf272b6e23e30"
	datagram, err := hex.DecodeString(previousMessage)
	if err != nil {
		t.Fatal(err)
	}
	want := []observation{
		{key: gossip.ServerKey("leaf-a"), failed: maxCount, answered: 2},
		{key: gossip.ServerKey("leaf-b"), failed: 3},
	}
	now := start + 20*ms
	m, ok := decodeMessage(now, datagram)
	if !ok || m.age != 20*ms || m.zone != 2 || !slices.Equal(m.observations, want) {
		t.Errorf("decoded as %+v, %v", m, ok)
	}

	table := New(Config{
		DecayTime:     1500 * ms,
		OverdueAfter:  190 * ms,
		MaxMessageAge: 380 * ms,
		Zone:          2,
		Aggregators:   300,
	})
	table.Add("leaf-a", 0)
	table.Add("leaf-b", 0)
	table.Receive(now, datagram)
	if table.ObservationsReceived != 2 {
		t.Errorf("%d observations received, want 2", table.ObservationsReceived)
	}
	table.AccrueBudget(100)
	endAttempts(table, 20, "leaf-a", 0, Failed)
	endAttempts(table, 3, "leaf-b", 0, Failed)
	table.Update(start)
	endAttempts(table, 2, "leaf-a", 0, Answered)
	if got := hex.EncodeToString(table.NextMessage(start)); got != previousMessage {
		t.Errorf("the same observations are encoded as %s, want %s", got, previousMessage)
	}
}

// FuzzMessage checks that random datagrams cause no panic, and that a decoded message encodes to the same bytes.
func FuzzMessage(f *testing.F) {
	f.Add(encodeMessage(start, 1, []observation{{key: 7, failed: 3, answered: 2}}))
	f.Add([]byte("L noise"))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, ok := decodeMessage(start, datagram)
		if ok != IsMessage(datagram) {
			t.Fatalf("decoded: %v, is a message: %v", ok, IsMessage(datagram))
		}
		if ok && string(encodeMessage(start-m.age, m.zone, m.observations)) != string(datagram) {
			t.Errorf("%x is decoded as %+v, which is encoded differently", datagram, m)
		}
	})
}
