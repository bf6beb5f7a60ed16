package aggregator

import (
	"testing"

	"rooktrestle/balance"
)

// Operators' scripts parse the text of GET /counters: every byte of it must stay the same.
func TestCounters_StringIsWhatScriptsRead(t *testing.T) {
	c := Counters{
		Received:           1,
		Served:             2,
		Partial:            3,
		Rejected:           4,
		RejectedAtCapacity: 5,
		Failed:             6,
		Disconnected:       7,
		DeadlineExceeded:   8,
		FollowUps:          9,
		Panics:             10,
		Restarts:           11,
		MapWaits:           12,
		Sent:               13,
		Probes:             14,
		Canceled:           15,
		GossipSent:         16,
		GossipReceived:     17,
		GossipInvalid:      18,
	}
	c.Results[balance.OK] = 20
	c.Results[balance.Failed] = 21
	c.Results[balance.QueueFull] = 22
	c.Results[balance.TimedOut] = 23
	c.Results[balance.ConnectFailed] = 24
	c.Results[balance.Reset] = 25
	c.Results[balance.Canceled] = 26
	c.Results[balance.NotSent] = 27
	const want = "taken 1; answered: served 2 (partial 3), refused 4 (full 5), failed 6, gone 7, out of time 8; " +
		"second steps 9, begun anew 11; sent 13, withdrawn 15, probes 14; words sent 16, heard 17, bad 18; " +
		"attempts: served 20, error 21, turned away 22, timed out 23, could not connect 24, reset 25, " +
		"cancelled 26, not sent 27"
	if got := c.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
