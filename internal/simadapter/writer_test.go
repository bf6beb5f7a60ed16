package simadapter

import (
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
)

func TestWriter_WritesEveryAction(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	ms := time.Millisecond
	w.Actions("gatherer_3", []balance.Action{
		balance.Send{Part: 1, Replica: "s"},
		balance.Send{Part: 1, Replica: "s", Timeout: 80 * ms},
		balance.Hedge{Part: 1, Replica: "t"},
		balance.Cancel{Part: 1, Attempt: 2},
		balance.Answer{Query: 3, Complete: true},
		balance.Answer{Query: 3},
		balance.Reject{Query: 3},
		balance.Reject{Query: 3, RetryAfter: 5 * ms},
		balance.Fail{Query: 3},
		balance.Probe{Replica: "s"},
		balance.StartTimer{After: 10 * ms},
		balance.WatchEndpoints{},
		balance.SendGossip{Payload: []byte("hi")},
	})
	w.Actions("gatherer_4", nil)
	w.Fault("it\nbroke")
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := strings.Join([]string{
		"SPEAKING\tgatherer=gatherer_3",
		"SUBMIT_TO\thandle=1\tserver=s",
		"SUBMIT_TO\thandle=1\tserver=s\tlimit=80000",
		"SUBMIT_TO\thandle=1\tserver=t",
		"STOP_ATTEMPT\thandle=1\tshot=2",
		"REPLY_NOW\thandle=3\tentire=1",
		"REPLY_NOW\thandle=3\tentire=0",
		"OVERLOAD_REPLY\thandle=3",
		"OVERLOAD_REPLY\thandle=3\twait=5000",
		"RESPOND_ERROR\thandle=3",
		"ASK_LOAD\tserver=s",
		"DEFER\tsleep_for=10000\thandle=0",
		"TRACK\tentire=1",
		"MEMO_TO\tto=*\tmsg=6869",
		"BAIL_OUT\tnote_text=it broke",
		"YIELD",
		"",
	}, "\n")
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}
