package platform

import (
	"encoding/json"
	"net/http"
	"strconv"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/httpserve"
)

// responder sends a query's final answer to its client.
type responder struct{ exchange *httpserve.Exchange }

// Answer sends the final answer. It may be called on any goroutine.
func (r responder) Answer(final aggregator.FinalAnswer) {
	status, body, fields := render(final)
	r.exchange.Respond(status, body, fields...)
}

// answerBody is the JSON body of an answer.
type answerBody struct {
	Complete bool         `json:"entire"`
	Items    []answerItem `json:"items"`
}

// answerItem is the answer of one shard.
type answerItem struct {
	Shard int    `json:"slice"`
	Body  string `json:"body"`
}

// render returns the HTTP response for a final answer: status, body, and header fields as alternating names and values.
func render(final aggregator.FinalAnswer) (status int, body []byte, fields []string) {
	switch final.Status {
	case aggregator.StatusServed:
		return renderServed(final)
	case aggregator.StatusRejected:
		if final.RetryAfter > 0 {
			fields = []string{"Retry-After", strconv.FormatFloat(final.RetryAfter.Seconds(), 'f', 3, 64)}
		}
		return http.StatusServiceUnavailable, nil, fields
	}
	if final.DeadlineExceeded {
		return http.StatusGatewayTimeout, nil, nil
	}
	return http.StatusBadGateway, nil, nil
}

func renderServed(final aggregator.FinalAnswer) (status int, body []byte, fields []string) {
	answer := answerBody{Complete: final.Complete, Items: []answerItem{}} // encoded as [] if empty, never as null
	for _, item := range final.Items {
		answer.Items = append(answer.Items, answerItem{item.Shard, item.Value})
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return http.StatusInternalServerError, nil, nil
	}
	return http.StatusOK, body, []string{"Content-Type", "application/json"}
}
