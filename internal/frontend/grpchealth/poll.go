package grpchealth

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

// maxReport is the maximum length of a report, in bytes.
const maxReport = 1 << 20

// report is the part of the aggregator's readiness report that is used here.
type report struct {
	State     string `json:"state"`
	Draining  bool   `json:"drain"`
	Databases []struct {
		Name  string `json:"database"`
		State string `json:"state"`
	} `json:"databases"`
}

// poll reads the aggregator's report and returns the statuses of its services. The HTTP status is ignored, since the
// body is more detailed.
func poll(ctx context.Context, client *http.Client, aggregator string) (map[string]ServingStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+aggregator+"/readyz?format=json", nil)
	if err != nil {
		return nil, fmt.Errorf("polling the aggregator %s: %w", aggregator, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("polling the aggregator %s: %w", aggregator, err)
	}
	defer func() { _ = response.Body.Close() }() // read only: nothing is lost
	var r report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&r); err != nil {
		return nil, fmt.Errorf("reading the report of the aggregator %s: %w", aggregator, err)
	}
	return r.statuses(), nil
}

// statuses returns the status of each service.
func (r *report) statuses() map[string]ServingStatus {
	statuses := map[string]ServingStatus{"": r.statusOf(r.State)}
	for _, database := range r.Databases {
		statuses[strings.ToLower(database.Name)] = r.statusOf(database.State)
	}
	return statuses
}

// statusOf returns the status of a service in a state. While the aggregator is draining, no service is serving.
func (r *report) statusOf(state string) ServingStatus {
	if r.Draining || state != "up" && state != "degraded" {
		return healthpb.HealthCheckResponse_NOT_SERVING
	}
	return healthpb.HealthCheckResponse_SERVING
}
