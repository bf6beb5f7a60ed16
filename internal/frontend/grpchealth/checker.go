package grpchealth

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

const (
	maxConns         = 1024        // to servers; beyond it the connection that is unused for longest is closed
	connIdleTimeout  = time.Minute // after which an unused connection is closed
	maxChecks        = 256         // that run concurrently
	maxCheckTimeout  = time.Minute
	maxCheckResponse = 64 << 10 // bytes
)

// Checker checks gRPC servers on behalf of an aggregator, which requests each check over HTTP:
//
//	GET /check?addr=&service=&timeout=
//
// The response has status 200 if the server is serving, 503 if it reports that it is not (or if too many checks are
// running), and 502 if it did not answer; the body contains the reason. Connections are retained for further checks
// until Close.
type Checker struct {
	mu     sync.Mutex
	conns  map[string]*clientConn // by the server's address
	checks chan struct{}          // semaphore with one element for each running check
}

// clientConn is a connection to a server.
type clientConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
	users    int // number of checks that use it
}

// close closes the connection. Checks that use it fail.
func (c *clientConn) close() {
	_ = c.conn.Close() // fails only if the connection is closed already
}

// NewChecker returns a Checker without connections.
func NewChecker() *Checker {
	return &Checker{conns: map[string]*clientConn{}, checks: make(chan struct{}, maxChecks)}
}

// ServeHTTP performs one check.
func (c *Checker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	params := r.URL.Query()
	timeout, err := time.ParseDuration(params.Get("timeout"))
	if r.URL.Path != "/check" || params.Get("addr") == "" || err != nil || timeout <= 0 || timeout > maxCheckTimeout {
		http.Error(w, "GET /check?addr=HOST:PORT&service=NAME&timeout=1s", http.StatusBadRequest)
		return
	}
	select {
	case c.checks <- struct{}{}:
		defer func() { <-c.checks }()
	default:
		http.Error(w, "too many checks at once", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	serving, err := c.check(ctx, params.Get("addr"), params.Get("service"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadGateway)
	case serving != healthpb.HealthCheckResponse_SERVING:
		http.Error(w, serving.String(), http.StatusServiceUnavailable)
	default:
		_, _ = fmt.Fprintln(w, serving) // fails only if the client has disconnected
	}
}

// check calls Check on a server. The error contains the status code and the message of the call; it is sent to the
// aggregator.
func (c *Checker) check(ctx context.Context, addr, service string) (ServingStatus, error) {
	client, err := c.acquire(addr)
	if err != nil {
		return 0, err
	}
	defer c.release(client)
	request := &healthpb.HealthCheckRequest{Service: service}
	response, err := healthpb.NewHealthClient(client.conn).Check(ctx, request, grpc.WaitForReady(false))
	if err != nil {
		s := status.Convert(err)
		return 0, fmt.Errorf("%v: %.100s", s.Code(), s.Message())
	}
	return response.GetStatus(), nil
}

// acquire returns the connection to a server, which is in use until release. It first closes the connections that have
// been unused for more than connIdleTimeout.
func (c *Checker) acquire(addr string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	oldest := c.closeIdle(now)
	client := c.conns[addr]
	if client == nil {
		if len(c.conns) >= maxConns && oldest != "" {
			c.conns[oldest].close()
			delete(c.conns, oldest)
		}
		conn, err := grpc.NewClient("passthrough:///"+addr,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxCheckResponse)))
		if err != nil {
			return nil, err
		}
		client = &clientConn{conn: conn}
		c.conns[addr] = client
	}
	client.users++
	client.lastUsed = now
	return client, nil
}

// closeIdle closes the connections that have been unused for more than connIdleTimeout, and returns the address of the
// remaining one that is unused for longest; empty if all are in use. The caller must hold the lock.
func (c *Checker) closeIdle(now time.Time) (oldest string) {
	for addr, client := range c.conns {
		switch {
		case client.users > 0:
		case now.Sub(client.lastUsed) > connIdleTimeout:
			client.close()
			delete(c.conns, addr)
		case oldest == "" || client.lastUsed.Before(c.conns[oldest].lastUsed):
			oldest = addr
		}
	}
	return oldest
}

// release ends the use of a connection by one check.
func (c *Checker) release(client *clientConn) {
	c.mu.Lock()
	client.users--
	c.mu.Unlock()
}

// Close closes all connections. Checks that still use them fail.
func (c *Checker) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, client := range c.conns {
		client.close()
		delete(c.conns, addr)
	}
}
