package grpchealth

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// runServer polls an aggregator and serves gRPC until the test ends. It returns a client of the health service.
func runServer(t *testing.T, aggregator string) healthpb.HealthClient {
	t.Helper()
	server := NewServer(aggregator, 5*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		server.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-finished
	})
	conn, err := grpc.NewClient("passthrough:///"+serveGRPC(t, server), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil {
			t.Errorf("closing the client: %v", err)
		}
	})
	return healthpb.NewHealthClient(conn)
}

// watch returns a function that waits for the next status of a service.
func watch(t *testing.T, client healthpb.HealthClient, service string) (next func() ServingStatus) {
	t.Helper()
	stream, err := client.Watch(t.Context(), &healthpb.HealthCheckRequest{Service: service})
	if err != nil {
		t.Fatal(err)
	}
	return func() ServingStatus {
		t.Helper()
		response, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return response.GetStatus()
	}
}

// waitFor waits until a status is sent. Others may be sent before it, such as those from before the first poll.
func waitFor(t *testing.T, next func() ServingStatus, want ServingStatus) {
	t.Helper()
	const maxStatuses = 4
	for range maxStatuses {
		if next() == want {
			return
		}
	}
	t.Fatalf("status %v was not among the first %d", want, maxStatuses)
}

// Check returns the statuses that the aggregator reports, and Watch sends each change of them. All services are not
// serving once the aggregator no longer answers.
func TestServer_FollowsTheAggregator(t *testing.T) {
	addr, setReport := serveAggregator(t)
	setReport(reportText("degraded", false, "up"))
	client := runServer(t, addr)
	aggregator, database := watch(t, client, ""), watch(t, client, "captions")
	unknownService := watch(t, client, "nothing")

	waitFor(t, aggregator, serving)
	waitFor(t, database, serving)
	if got := unknownService(); got != unknown {
		t.Errorf("Watch of an unknown service: %v", got)
	}
	_, err := client.Check(t.Context(), &healthpb.HealthCheckRequest{Service: "nothing"})
	if status.Code(err) != codes.NotFound {
		t.Errorf("Check of an unknown service: %v", err)
	}

	setReport(reportText("degraded", false, "down"))
	waitFor(t, database, notServing)
	if r, err := client.Check(t.Context(), &healthpb.HealthCheckRequest{}); err != nil || r.GetStatus() != serving {
		t.Errorf("Check of the aggregator while a database is down: %v, %v", r, err)
	}

	setReport(reportText("up", true, "up"))
	waitFor(t, aggregator, notServing)
	setReport(reportText("up", false, "up"))
	waitFor(t, aggregator, serving)
	waitFor(t, database, serving)

	setReport("")
	waitFor(t, aggregator, notServing)
	waitFor(t, database, notServing)
}
