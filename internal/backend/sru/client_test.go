package sru

import (
	"errors"
	"testing"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/protocol/http1"
)

func TestAnswersAreJudged(t *testing.T) {
	diagnosed := func(code string) string {
		return `<searchRetrieveResponse><numberOfRecords>0</numberOfRecords><diagnostics><diagnostic><uri>info:srw/diagnostic/1/` + code + `</uri></diagnostic></diagnostics></searchRetrieveResponse>`
	}
	for text, bad := range map[string]bool{
		diagnosed("1"): true, diagnosed("2"): true, diagnosed("16"): false, diagnosed("59"): false, "junk": true, "<html/>": true,
		"<searchRetrieveResponse><numberOfRecords>-4</numberOfRecords></searchRetrieveResponse>": true,
		"<updateResponse><operationStatus>fail</operationStatus></updateResponse>":               false,
	} {
		r := reply(&http1.Message{Status: 200, Body: []byte(text)})
		var a *aggregator.AttemptError
		if (r.Err != nil) != bad || bad && (!errors.As(r.Err, &a) || a.Progress != aggregator.Answered || a.Rejected) {
			t.Errorf("%s: %+v", text, r)
		}
	}
	if r := reply(&http1.Message{Status: 503}); r.Err == nil {
		t.Error("a status 503 is an answer")
	}
}
