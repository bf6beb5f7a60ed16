package grpchealth

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	libhealth "google.golang.org/grpc/health"
)

// getCheck requests a check from a Checker over HTTP.
func getCheck(t *testing.T, web *httptest.Server, addr, service, timeout string) (status int, body string) {
	t.Helper()
	params := url.Values{"addr": {addr}, "service": {service}, "timeout": {timeout}}
	response, err := web.Client().Get(web.URL + "/check?" + params.Encode())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // read only: nothing is lost
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func TestChecker_ChecksServers(t *testing.T) {
	library := libhealth.NewServer()
	library.SetServingStatus("captions", serving)
	library.SetServingStatus("coverage", notServing)
	server := serveGRPC(t, library)
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := stopped.Close(); err != nil {
		t.Fatal(err)
	}
	checker := NewChecker()
	t.Cleanup(checker.Close)
	web := httptest.NewServer(checker)
	t.Cleanup(web.Close)
	for _, test := range []struct {
		name                   string
		addr, service, timeout string
		status                 int
		body                   string // substring
	}{
		{"the service is serving", server, "captions", "30s", http.StatusOK, "SERVING"},
		{"the server as a whole is serving", server, "", "30s", http.StatusOK, "SERVING"},
		{"the service is not serving", server, "coverage", "30s", http.StatusServiceUnavailable, "NOT_SERVING"},
		{"the service is unknown", server, "nothing", "30s", http.StatusBadGateway, "NotFound"},
		{"nothing listens", stopped.Addr().String(), "", "30s", http.StatusBadGateway, "Unavailable"},
		{"the server does not answer", serveGRPC(t, unresponsive{}), "", "50ms", http.StatusBadGateway, "DeadlineExceeded"},
		{"the request has no address", "", "", "1s", http.StatusBadRequest, "addr"},
		{"the timeout is no duration", server, "", "soon", http.StatusBadRequest, "timeout"},
		{"the timeout is too long", server, "", "2h", http.StatusBadRequest, "timeout"},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, body := getCheck(t, web, test.addr, test.service, test.timeout)
			if status != test.status || !strings.Contains(body, test.body) {
				t.Errorf("status %d and body %q, want %d and %s", status, body, test.status, test.body)
			}
		})
	}
	if len(checker.conns) != 3 {
		t.Errorf("%d connections are retained, want 3", len(checker.conns))
	}
}
