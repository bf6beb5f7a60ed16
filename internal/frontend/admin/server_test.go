package admin

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rooktrestle/internal/protocol/admin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// networkTimeout bounds a dial; no test is expected to reach it.
const networkTimeout = time.Minute

func listen(t *testing.T, handle Handler) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *Server) *net.TCPConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", s.Addr(), networkTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn.(*net.TCPConn)
}

func echo(command admin.Command) string {
	return "done " + string(command.Verb) + command.Server + "\n"
}

// roundTrip sends text on a new connection and returns all that is received.
func roundTrip(t *testing.T, s *Server, text string) string {
	t.Helper()
	conn := dial(t, s)
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(response)
}

func TestServer_OneLineOneAnswer(t *testing.T) {
	s := listen(t, echo)
	for text, want := range map[string]string{
		"PING\n":                               "done PING\n",
		"DETACH s-1\r\n":                       "done DETACHs-1\n",
		"PING\nDETACH s-1\n":                   "done PING\n", // a connection carries one line
		"\n":                                   "error no call\n",
		"HELLO\n":                              "error unknown call \"HELLO\"\n",
		"\x00\x01\n":                           "error unknown call \"\\x00\\x01\"\n",
		"DETACH " + strings.Repeat("x", 1<<16): "error the call is too long\n",
		strings.Repeat("PING ", admin.MaxLine): "error the call is too long\n",
		"PING" + strings.Repeat(" ", 99) + "\nxx": "done PING\n",
	} {
		if got := roundTrip(t, s, text); got != want {
			t.Errorf("%.40q: %q, want %q", text, got, want)
		}
	}
}

// A client that half-closes the connection after its command, even without a newline, receives the response.
func TestServer_HalfClose(t *testing.T) {
	s := listen(t, echo)
	for _, text := range []string{"PING\n", "PING"} {
		conn := dial(t, s)
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if err := conn.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if response, err := io.ReadAll(conn); string(response) != "done PING\n" || err != nil {
			t.Errorf("%q: %q, %v", text, response, err)
		}
	}
}

// Connections without a complete command do not exhaust the limit: the one that has waited longest is closed for a new
// one.
func TestServer_IdleConnectionsKeepNobodyOut(t *testing.T) {
	s := listen(t, echo)
	var idle []*net.TCPConn
	for range 5 * MaxConns {
		conn := dial(t, s)
		if _, err := io.WriteString(conn, "PI"); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
	}
	if got := roundTrip(t, s, "PING\n"); got != "done PING\n" {
		t.Errorf("%q", got)
	}
	if got, err := io.ReadAll(idle[0]); len(got) > 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the oldest connection: received %q, %v; want it closed", got, err)
	}
}

// Connections whose command is being executed are not closed for new ones, which wait for them.
func TestServer_CallsInFlightAreKept(t *testing.T) {
	started, release := make(chan struct{}, 2*MaxConns), make(chan struct{})
	s := listen(t, func(admin.Command) string {
		started <- struct{}{}
		<-release
		return admin.Done()
	})
	responses := make(chan string, 2*MaxConns)
	for range 2 * MaxConns {
		conn := dial(t, s)
		if _, err := io.WriteString(conn, "PING\n"); err != nil {
			t.Fatal(err)
		}
		go func() {
			response, _ := io.ReadAll(conn) // a failure shows in the response
			responses <- string(response)
		}()
	}
	for range MaxConns {
		<-started
	}
	close(release)
	for range 2 * MaxConns {
		if response := <-responses; response != "done\n" {
			t.Errorf("%q", response)
		}
	}
}
