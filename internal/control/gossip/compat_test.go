package gossip

import (
	"encoding/hex"
	"slices"
	"testing"
	"time"
)

// previousLoadMessage was encoded by commit b803164 (writeWord of package balance) for an aggregator of zone 3, 90 s
// after the zero of the common clock. It must be decoded, because both versions run side by side while a fleet is
// upgraded.
const previousLoadMessage = "525f9076f8030102030407fffefdfcff00000005fe"

func TestDecodeLoad_MessageOfAnEarlierVersion(t *testing.T) {
	const sentAt, received = 90 * time.Second, 90*time.Second + 250*time.Millisecond
	message, err := hex.DecodeString(previousLoadMessage)
	if err != nil {
		t.Fatal(err)
	}
	load, ok := DecodeLoad(received, message)
	if !ok {
		t.Fatal("the message is rejected")
	}
	want := []Observation{
		{Key: 0x01020304, Value: 7},
		{Key: 0xfffefdfc, Value: Unresponsive},
		{Key: 5, Value: QueueValue(1000)},
	}
	if load.Age != received-sentAt || load.Zone != 3 || !slices.Equal(load.Observations, want) {
		t.Errorf("decoded as %+v", load)
	}
	if encoded := hex.EncodeToString(EncodeLoad(sentAt, 3, want)); encoded != previousLoadMessage {
		t.Errorf("encoded as %s, the previous version encodes %s", encoded, previousLoadMessage)
	}
}
