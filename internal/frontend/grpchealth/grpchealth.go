// Package grpchealth speaks grpc.health.v1 for a mixer, from a process of its own: it asks the mixer's health
// listener over HTTP and tells gRPC callers, and it asks gRPC servers for a mixer that checks them. The gRPC library
// stays out of the mixer's process that way.
package grpchealth

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

// oldAfter is the age from which the mixer's word is none.
const oldAfter = time.Second

// watchMost is how many Watch calls are held at once. Guards memory and descriptors.
const watchMost = 256

// Word is what is told of one service; the empty name is the mixer as a whole, the others are its databases.
type Word = healthpb.HealthCheckResponse_ServingStatus

// Server answers gRPC callers.
type Server struct {
	healthpb.UnimplementedHealthServer
	Mixer string // address of the mixer's health listener
	Every time.Duration
	Now   func() time.Time

	mu      sync.Mutex
	words   map[string]Word
	at      time.Time
	changed chan struct{} // closed and replaced with each change
	watches int
}

// NewServer returns a server that has no word yet: nothing serves.
func NewServer(mixer string, every time.Duration) *Server {
	return &Server{Mixer: mixer, Every: every, Now: time.Now, words: map[string]Word{}, changed: make(chan struct{})}
}

// Run asks the mixer until ctx is done.
func (s *Server) Run(ctx context.Context) {
	client := &http.Client{Timeout: oldAfter / 2}
	for {
		words, err := ask(ctx, client, s.Mixer)
		s.take(words, err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.Every):
		}
	}
}

// ask reads the mixer's word.
func ask(ctx context.Context, client *http.Client, mixer string) (map[string]Word, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+mixer+"/readyz?format=json", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var w struct {
		State     string `json:"state"`
		Drain     bool   `json:"drain"`
		Databases []struct {
			Name  string `json:"database"`
			State string `json:"state"`
		} `json:"databases"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&w); err != nil {
		return nil, err
	}
	word := func(state string) Word {
		if w.Drain || state != "up" && state != "degraded" {
			return healthpb.HealthCheckResponse_NOT_SERVING
		}
		return healthpb.HealthCheckResponse_SERVING
	}
	words := map[string]Word{"": word(w.State)}
	for _, d := range w.Databases {
		words[strings.ToLower(d.Name)] = word(d.State)
	}
	return words, nil
}

// take takes a word of the mixer. Without one for too long, nothing serves.
func (s *Server) take(words map[string]Word, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if s.Now().Sub(s.at) < oldAfter {
			return
		}
		words = map[string]Word{"": healthpb.HealthCheckResponse_NOT_SERVING}
		for name := range s.words {
			words[name] = healthpb.HealthCheckResponse_NOT_SERVING
		}
	} else {
		s.at = s.Now()
	}
	same := len(words) == len(s.words)
	for name, w := range words {
		same = same && s.words[name] == w
	}
	if !same {
		s.words = words
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *Server) word(service string) (w Word, ok bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok = s.words[strings.ToLower(service)]
	return w, ok, s.changed
}

// Check tells the state of one service.
func (s *Server) Check(_ context.Context, req *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	w, ok, _ := s.word(req.GetService())
	if !ok {
		return nil, status.Error(codes.NotFound, "unknown service")
	}
	return &healthpb.HealthCheckResponse{Status: w}, nil
}

// Watch tells the state now and with each change.
func (s *Server) Watch(req *healthpb.HealthCheckRequest, stream grpc.ServerStreamingServer[healthpb.HealthCheckResponse]) error {
	s.mu.Lock()
	full := s.watches >= watchMost
	if !full {
		s.watches++
	}
	s.mu.Unlock()
	if full {
		return status.Error(codes.ResourceExhausted, "too many watches")
	}
	defer func() { s.mu.Lock(); s.watches--; s.mu.Unlock() }()
	last := Word(-1)
	for {
		w, ok, changed := s.word(req.GetService())
		if !ok {
			w = healthpb.HealthCheckResponse_SERVICE_UNKNOWN
		}
		if w != last {
			last = w
			if err := stream.Send(&healthpb.HealthCheckResponse{Status: w}); err != nil {
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

// Asker asks gRPC servers, for a mixer that has it asked over HTTP: GET /check?addr=&service=&timeout=. The answer is
// 200 where the server serves, 503 where it says that it does not, 502 where no word came; the body says why.
type Asker struct {
	mu    sync.Mutex
	conns map[string]*held
	busy  chan struct{}
}

type held struct {
	conn *grpc.ClientConn
	used time.Time
	uses int
}

const (
	connsMost = 1024        // servers asked; the one asked longest ago makes room
	connsIdle = time.Minute // a connection that nobody used since is closed
	askedMost = 256         // checks at once
	waitMost  = time.Minute
)

// NewAsker returns an Asker without connections.
func NewAsker() *Asker {
	return &Asker{conns: map[string]*held{}, busy: make(chan struct{}, askedMost)}
}

// ServeHTTP makes one check.
func (a *Asker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	timeout, err := time.ParseDuration(q.Get("timeout"))
	if r.URL.Path != "/check" || q.Get("addr") == "" || err != nil || timeout <= 0 || timeout > waitMost {
		http.Error(w, "GET /check?addr=HOST:PORT&service=NAME&timeout=1s", http.StatusBadRequest)
		return
	}
	select {
	case a.busy <- struct{}{}:
		defer func() { <-a.busy }()
	default:
		http.Error(w, "too many checks at once", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	switch got, err := a.ask(ctx, q.Get("addr"), q.Get("service")); {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadGateway)
	case got != healthpb.HealthCheckResponse_SERVING:
		http.Error(w, got.String(), http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, got)
	}
}

func (a *Asker) ask(ctx context.Context, addr, service string) (Word, error) {
	h, err := a.hold(addr)
	if err != nil {
		return 0, err
	}
	defer a.release(h)
	resp, err := healthpb.NewHealthClient(h.conn).Check(ctx, &healthpb.HealthCheckRequest{Service: service}, grpc.WaitForReady(false))
	if err != nil {
		s := status.Convert(err)
		return 0, fmt.Errorf("%v: %.100s", s.Code(), s.Message())
	}
	return resp.GetStatus(), nil
}

// hold returns the connection to a server, and closes those that nobody uses any more.
func (a *Asker) hold(addr string) (*held, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	oldest := ""
	for k, h := range a.conns {
		if h.uses > 0 {
			continue
		}
		if now.Sub(h.used) > connsIdle {
			h.conn.Close()
			delete(a.conns, k)
		} else if oldest == "" || h.used.Before(a.conns[oldest].used) {
			oldest = k
		}
	}
	h := a.conns[addr]
	if h == nil {
		if len(a.conns) >= connsMost && oldest != "" {
			a.conns[oldest].conn.Close()
			delete(a.conns, oldest)
		}
		conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<10)))
		if err != nil {
			return nil, err
		}
		h = &held{conn: conn}
		a.conns[addr] = h
	}
	h.uses++
	h.used = now
	return h, nil
}

func (a *Asker) release(h *held) {
	a.mu.Lock()
	h.uses--
	a.mu.Unlock()
}

// Close ends all connections.
func (a *Asker) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, h := range a.conns {
		h.conn.Close()
		delete(a.conns, k)
	}
}
