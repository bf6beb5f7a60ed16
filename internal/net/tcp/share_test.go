package tcp

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
)

// greeter sends a word on its connection and closes it.
type greeter struct {
	conn *Conn
	word string
}

func (g greeter) Opened() {
	g.conn.Write([]byte(g.word), nil)
	g.conn.CloseGracefully()
}

func (g greeter) Data([]byte)  {}
func (g greeter) Closed(error) {}

func listenShared(t *testing.T, addr, word string) *Server {
	t.Helper()
	s, err := ListenShared(addr, &ConnLimiter{Max: 1000}, func(c *Conn) Handler { return greeter{c, word} })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func greeting(t *testing.T, addr string) string {
	t.Helper()
	word, err := dialGreeting(addr)
	if err != nil {
		t.Fatal(err)
	}
	return word
}

// dialGreeting returns what the server sends on a new connection. Any goroutine may call it.
func dialGreeting(addr string) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	word, err := io.ReadAll(conn)
	return string(word), err
}

// Two servers share an address. Once one of them has stopped accepting, all new connections go to the other, and none
// is reset, including those that were established before and not yet accepted.
func TestServer_StopAccepting(t *testing.T) {
	previous := listenShared(t, "127.0.0.1:0", "previous")
	addr := previous.Addr()
	next := listenShared(t, addr, "next")
	if n := Listeners(addr); n != 2 {
		t.Errorf("%d sockets listen", n)
	}
	words := map[string]int{}
	for range 100 {
		words[greeting(t, addr)]++
	}
	if words["previous"] == 0 || words["next"] == 0 {
		t.Errorf("connections by server: %v, want some of each", words)
	}
	const clients = 50
	type result struct {
		word string
		err  error
	}
	greeted, begin := make(chan result, clients), make(chan struct{})
	for range clients {
		go func() {
			<-begin
			word, err := dialGreeting(addr)
			greeted <- result{word, err}
		}()
	}
	close(begin)
	previous.StopAccepting()
	for range clients {
		if got := <-greeted; got.err != nil || got.word != "previous" && got.word != "next" {
			t.Errorf("%q, %v", got.word, got.err)
		}
	}
	for range 100 {
		if word := greeting(t, addr); word != "next" {
			t.Fatalf("%q after the previous server has stopped accepting", word)
		}
	}
	if n := Listeners(addr); n != 1 {
		t.Errorf("%d sockets listen", n)
	}
	previous.Close()
	next.Close()
}

func TestListen_DoesNotShare(t *testing.T) {
	s, err := Listen("127.0.0.1:0", &ConnLimiter{Max: 1}, func(c *Conn) Handler { return greeter{c, "sole"} })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if word := greeting(t, s.Addr()); word != "sole" { // shows that it serves
		t.Errorf("%q", word)
	}
	if other, err := ListenShared(s.Addr(), &ConnLimiter{}, nil); err == nil {
		other.Close()
		t.Error("another server listens on its address")
	}
}

func TestCountListeners(t *testing.T) {
	const table = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:0BB8 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 1 1 0 100 0 0 10 0
   1: 0100007F:0BB8 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 2 1 0 100 0 0 10 0
   2: 0100007F:0BB8 0200007F:8000 01 00000000:00000000 00:00000000 00000000     0        0 3 1 0 100 0 0 10 0
   3: 0200007F:0BB8 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 4 1 0 100 0 0 10 0
   4: 0000000000000000FFFF00000100007F:0BB8 0:0 0A
   5: cut`
	for addr, want := range map[string]int{"127.0.0.1:3000": 2, "127.0.0.2:3000": 1, "127.0.0.1:3001": 0} {
		if got := countListeners(strings.NewReader(table), netip.MustParseAddrPort(addr)); got != want {
			t.Errorf("%s: %d, want %d", addr, got, want)
		}
	}
	if Listeners("no address") != 0 {
		t.Error("found listeners without an address")
	}
}
