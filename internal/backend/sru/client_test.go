package sru

import (
	"errors"
	"net/http"
	"testing"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/protocol/http1"
)

func TestToReply(t *testing.T) {
	diagnosed := func(code string) string {
		return `<searchRetrieveResponse><numberOfRecords>0</numberOfRecords><diagnostics><diagnostic>` +
			`<uri>info:srw/diagnostic/1/` + code + `</uri></diagnostic></diagnostics></searchRetrieveResponse>`
	}
	for name, c := range map[string]struct {
		body   string
		failed bool
	}{
		"system error":       {body: diagnosed("1"), failed: true},
		"system unavailable": {body: diagnosed("2"), failed: true},
		"unsupported index":  {body: diagnosed("16")},
		"partial result":     {body: diagnosed("59")},
		"not XML":            {body: "junk", failed: true},
		"another document":   {body: "<html/>", failed: true},
		"negative count": {
			body:   "<searchRetrieveResponse><numberOfRecords>-4</numberOfRecords></searchRetrieveResponse>",
			failed: true,
		},
		"update that failed": {
			body: "<updateResponse><operationStatus>fail</operationStatus></updateResponse>",
		},
	} {
		t.Run(name, func(t *testing.T) {
			reply := toReply(&http1.Message{Status: http.StatusOK, Body: []byte(c.body)})
			if (reply.Err != nil) != c.failed {
				t.Fatalf("%s: %+v", c.body, reply)
			}
			var e *aggregator.AttemptError
			if c.failed && (!errors.As(reply.Err, &e) || e.Progress != aggregator.Answered || e.Rejected) {
				t.Errorf("%s: %+v", c.body, reply)
			}
		})
	}
	if reply := toReply(&http1.Message{Status: http.StatusServiceUnavailable}); reply.Err == nil {
		t.Error("status 503 was accepted as an answer")
	}
}
