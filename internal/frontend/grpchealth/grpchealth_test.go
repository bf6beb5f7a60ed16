package grpchealth

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	libhealth "google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

const (
	serving    = healthpb.HealthCheckResponse_SERVING
	notServing = healthpb.HealthCheckResponse_NOT_SERVING
	unknown    = healthpb.HealthCheckResponse_SERVICE_UNKNOWN
)

// serve starts a gRPC server with a health service and returns its address.
func serve(t *testing.T, h healthpb.HealthServer) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	healthpb.RegisterHealthServer(g, h)
	go g.Serve(ln)
	t.Cleanup(g.Stop)
	return ln.Addr().String()
}

// mixer is a stand-in of a mixer's health listener, which says what it is told to.
func mixer(t *testing.T) (addr string, say func(text string)) {
	var word atomic.Value
	word.Store("")
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := word.Load().(string)
		if text == "" {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, text)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), func(text string) { word.Store(text) }
}

func wordOf(state string, drain bool, base string) string {
	return fmt.Sprintf(`{"state":%q,"drain":%v,"databases":[{"database":"Captions","state":%q}]}`, state, drain, base)
}

// What the mixer says reaches gRPC callers by Check, and by Watch with each change; a mixer that says nothing serves
// nothing.
func TestTellsTheMixersWord(t *testing.T) {
	addr, say := mixer(t)
	say(wordOf("degraded", false, "up"))
	s := NewServer(addr, 5*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	conn, err := grpc.NewClient("passthrough:///"+serve(t, s), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := healthpb.NewHealthClient(conn)
	watch := func(service string) (next func() Word) {
		stream, err := c.Watch(ctx, &healthpb.HealthCheckRequest{Service: service})
		if err != nil {
			t.Fatal(err)
		}
		return func() Word {
			t.Helper()
			m, err := stream.Recv()
			if err != nil {
				t.Fatal(err)
			}
			return m.GetStatus()
		}
	}
	until := func(next func() Word, want Word) {
		t.Helper()
		for range 4 { // the first word may be from before the mixer was asked
			if next() == want {
				return
			}
		}
		t.Fatalf("%v is not told", want)
	}
	whole, base, none := watch(""), watch("captions"), watch("nothing")
	until(whole, serving)
	until(base, serving)
	if got := none(); got != unknown {
		t.Errorf("%v of a service that is not there", got)
	}
	if _, err := c.Check(ctx, &healthpb.HealthCheckRequest{Service: "nothing"}); status.Code(err) != codes.NotFound {
		t.Errorf("%v", err)
	}
	say(wordOf("degraded", false, "down"))
	until(base, notServing)
	if r, err := c.Check(ctx, &healthpb.HealthCheckRequest{}); err != nil || r.GetStatus() != serving {
		t.Errorf("%v %v", r, err)
	}
	say(wordOf("up", true, "up"))
	until(whole, notServing)
	say(wordOf("up", false, "up"))
	until(whole, serving)
	until(base, serving)
	say("") // it breaks every connection
	until(whole, notServing)
	until(base, notServing)
}

// silent is a health service that never answers.
type silent struct {
	healthpb.UnimplementedHealthServer
	asked chan struct{}
}

func (s silent) Check(ctx context.Context, _ *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	close(s.asked)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Servers are asked over the bridge: serving, not serving, unknown, silent, gone.
func TestAsksServers(t *testing.T) {
	lib := libhealth.NewServer()
	lib.SetServingStatus("captions", serving)
	lib.SetServingStatus("coverage", notServing)
	good := serve(t, lib)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	mute := silent{asked: make(chan struct{})}
	a := NewAsker()
	defer a.Close()
	web := httptest.NewServer(a)
	defer web.Close()
	get := func(addr, service, timeout string) (int, string) {
		resp, err := http.Get(web.URL + "/check?" + url.Values{"addr": {addr}, "service": {service}, "timeout": {timeout}}.Encode())
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	for _, c := range []struct {
		addr, service, timeout string
		want                   int
		says                   string
	}{
		{good, "captions", "30s", 200, "SERVING"}, {good, "", "30s", 200, "SERVING"}, {good, "coverage", "30s", 503, "NOT_SERVING"},
		{good, "nothing", "30s", 502, "NotFound"}, {gone.Addr().String(), "", "30s", 502, "Unavailable"},
		{serve(t, mute), "", "50ms", 502, "DeadlineExceeded"}, {"", "", "1s", 400, "addr"}, {good, "", "soon", 400, "timeout"}, {good, "", "2h", 400, "timeout"},
	} {
		if status, text := get(c.addr, c.service, c.timeout); status != c.want || !strings.Contains(text, c.says) {
			t.Errorf("%q: %d %q, want %d %s", c.service, status, text, c.want, c.says)
		}
	}
	if len(a.conns) != 3 {
		t.Errorf("%d connections are held", len(a.conns))
	}
}
