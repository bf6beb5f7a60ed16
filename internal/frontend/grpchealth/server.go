// Package grpchealth serves grpc.health.v1 for an aggregator, from a separate process: Server polls the aggregator's
// health listener over HTTP and answers gRPC clients, and Checker checks gRPC servers for an aggregator that requests
// the checks over HTTP. The aggregator's process thus needs no gRPC library.
package grpchealth

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

const (
	maxReportAge = time.Second // age from which the aggregator's report has expired
	pollTimeout  = maxReportAge / 2

	// maxWatches is the maximum number of open Watch calls. It bounds memory and file descriptors.
	maxWatches = 256
)

// ServingStatus is the state of one service.
type ServingStatus = healthpb.HealthCheckResponse_ServingStatus

// Server implements the grpc.health.v1 service. The service with the empty name is the aggregator as a whole, the
// others are its databases, whose names are compared case-insensitively. The exported fields are not changed after
// NewServer.
type Server struct {
	healthpb.UnimplementedHealthServer

	Aggregator   string        // address of the aggregator's health listener
	PollInterval time.Duration // pause between two polls
	Now          func() time.Time

	mu         sync.Mutex
	statuses   map[string]ServingStatus // by service in lower case; replaced, not changed
	reportedAt time.Time                // when the aggregator last answered
	changed    chan struct{}            // closed and replaced with each change of statuses
	watches    int                      // number of open Watch calls
}

// NewServer returns a server without services. Run adds them once it has polled the aggregator.
func NewServer(aggregator string, pollInterval time.Duration) *Server {
	return &Server{
		Aggregator:   aggregator,
		PollInterval: pollInterval,
		Now:          time.Now,
		statuses:     map[string]ServingStatus{},
		changed:      make(chan struct{}),
	}
}

// Run polls the aggregator until ctx is done.
func (s *Server) Run(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout}
	for {
		statuses, err := poll(ctx, client, s.Aggregator)
		s.update(statuses, err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.PollInterval):
		}
	}
}

// update handles the result of a poll. Once the last report has expired, all services are not serving.
func (s *Server) update(statuses map[string]ServingStatus, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.reportedAt = s.Now()
	case s.Now().Sub(s.reportedAt) < maxReportAge:
		return
	default:
		statuses = map[string]ServingStatus{"": healthpb.HealthCheckResponse_NOT_SERVING}
		for service := range s.statuses {
			statuses[service] = healthpb.HealthCheckResponse_NOT_SERVING
		}
	}
	if maps.Equal(statuses, s.statuses) {
		return
	}
	s.statuses = statuses
	close(s.changed)
	s.changed = make(chan struct{})
}

// lookUp returns the status of a service, whether it is known, and a channel that is closed when any status changes.
func (s *Server) lookUp(service string) (serving ServingStatus, known bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving, known = s.statuses[strings.ToLower(service)]
	return serving, known, s.changed
}

// Check returns the status of one service. The error has the code NotFound if the service is unknown.
func (s *Server) Check(_ context.Context, request *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	serving, known, _ := s.lookUp(request.GetService())
	if !known {
		return nil, status.Error(codes.NotFound, "unknown service")
	}
	return &healthpb.HealthCheckResponse{Status: serving}, nil
}

// Watch sends the status of one service now and with each change, until the client ends the call. The error has the
// code ResourceExhausted if too many calls are open.
func (s *Server) Watch(
	request *healthpb.HealthCheckRequest, stream grpc.ServerStreamingServer[healthpb.HealthCheckResponse],
) error {
	if !s.openWatch() {
		return status.Error(codes.ResourceExhausted, "too many watches")
	}
	defer s.closeWatch()
	const none = ServingStatus(-1) // before the first status is sent
	last := none
	for {
		serving, known, changed := s.lookUp(request.GetService())
		if !known {
			serving = healthpb.HealthCheckResponse_SERVICE_UNKNOWN
		}
		if serving != last {
			last = serving
			if err := stream.Send(&healthpb.HealthCheckResponse{Status: serving}); err != nil {
				return err
			}
		}
		select {
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		case <-changed:
		}
	}
}

// openWatch counts a Watch call as open. It returns false if there are too many.
func (s *Server) openWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches >= maxWatches {
		return false
	}
	s.watches++
	return true
}

func (s *Server) closeWatch() {
	s.mu.Lock()
	s.watches--
	s.mu.Unlock()
}
