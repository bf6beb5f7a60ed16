package gossip

import (
	"encoding/hex"
	"slices"
	"testing"
	"time"
)

// A message of commit b803164 (writeWord of package balance), sent by an aggregator of zone 3, 90 s after the
// common clock's zero: aggregators of both versions run side by side while a fleet is upgraded.
const earlierLoadMessage = "525f9076f8030102030407fffefdfcff00000005fe"

func TestDecodeLoad_MessageOfAnEarlierVersion(t *testing.T) {
	const sentAt, received = 90 * time.Second, 90*time.Second + 250*time.Millisecond
	message, err := hex.DecodeString(earlierLoadMessage)
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
	if encoded := hex.EncodeToString(EncodeLoad(sentAt, 3, want)); encoded != earlierLoadMessage {
		t.Errorf("encoded as %s, an earlier version reads %s", encoded, earlierLoadMessage)
	}
}
