package sru

import (
	"errors"
	"net/http"
	"testing"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/protocol/http1"
)

func TestJudge(t *testing.T) {
	diagnosed := func(code string) string {
		return `<searchRetrieveResponse><numberOfRecords>0</numberOfRecords><diagnostics><diagnostic><uri>info:srw/diagnostic/1/` + code + `</uri></diagnostic></diagnostics></searchRetrieveResponse>`
	}
	for name, c := range map[string]struct {
		body   string
		failed bool
	}{
		"system error":       {diagnosed("1"), true},
		"system unavailable": {diagnosed("2"), true},
		"unsupported index":  {diagnosed("16"), false},
		"partial result":     {diagnosed("59"), false},
		"not XML":            {"junk", true},
		"another document":   {"<html/>", true},
		"negative count":     {"<searchRetrieveResponse><numberOfRecords>-4</numberOfRecords></searchRetrieveResponse>", true},
		"update that failed": {"<updateResponse><operationStatus>fail</operationStatus></updateResponse>", false},
	} {
		t.Run(name, func(t *testing.T) {
			reply := judge(&http1.Message{Status: http.StatusOK, Body: []byte(c.body)})
			if (reply.Err != nil) != c.failed {
				t.Fatalf("%s: %+v", c.body, reply)
			}
			var e *aggregator.AttemptError
			if c.failed && (!errors.As(reply.Err, &e) || e.Progress != aggregator.Answered || e.Rejected) {
				t.Errorf("%s: %+v", c.body, reply)
			}
		})
	}
	if reply := judge(&http1.Message{Status: http.StatusServiceUnavailable}); reply.Err == nil {
		t.Error("a status 503 is an answer")
	}
}
