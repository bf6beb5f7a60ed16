package grpchealth

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

const (
	serving    = healthpb.HealthCheckResponse_SERVING
	notServing = healthpb.HealthCheckResponse_NOT_SERVING
	unknown    = healthpb.HealthCheckResponse_SERVICE_UNKNOWN
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveGRPC runs a gRPC server with a health service until the test ends, and returns its address.
func serveGRPC(t *testing.T, service healthpb.HealthServer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	healthpb.RegisterHealthServer(server, service)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Errorf("serving gRPC: %v", err)
		}
	})
	return listener.Addr().String()
}

// serveAggregator runs a fake of an aggregator's health listener until the test ends. It answers with the report that
// was set last, and closes the connection without an answer while that is empty.
func serveAggregator(t *testing.T) (addr string, setReport func(text string)) {
	t.Helper()
	var current atomic.Value
	current.Store("")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text := current.Load().(string)
		if text == "" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text) // the poll may have been canceled
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func(text string) { current.Store(text) }
}

// reportText returns the JSON of the report on an aggregator with one database.
func reportText(state string, drain bool, databaseState string) string {
	return fmt.Sprintf(`{"state":%q,"drain":%v,"databases":[{"database":"Captions","state":%q}]}`, state, drain, databaseState)
}

// unresponsive is a health service that never answers.
type unresponsive struct {
	healthpb.UnimplementedHealthServer
}

func (unresponsive) Check(ctx context.Context, _ *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
