package gossip

import (
	"net"
	"net/netip"
	"testing"

	"go.uber.org/goleak"

	"rooktrestle/balance"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listenUDP(t *testing.T) (*net.UDPConn, string) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // not used after the test
	return conn, conn.LocalAddr().String()
}

// Only datagrams of peers that are not too long are passed on. All others are dropped, and counted unless they are the
// aggregator's own. A dropped datagram does not affect the next one.
func TestTransport_FiltersAndCounts(t *testing.T) {
	peer, peerAddr := listenUDP(t)
	own, ownAddr := listenUDP(t)
	unknown, _ := listenUDP(t)
	received := make(chan string, 10)
	transport, err := Open(Options{
		Listen: "127.0.0.1:0", Broadcast: peerAddr, Peers: []string{ownAddr, peerAddr}, OwnIndex: 0,
		Receive: func(datagram []byte) { received <- string(datagram) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	send := func(from *net.UDPConn, text string) {
		t.Helper()
		if _, err := from.WriteToUDPAddrPort([]byte(text), transport.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	send(unknown, "from an unknown sender")
	send(own, "from itself")
	send(peer, string(make([]byte, balance.MaxGossipBytes+1)))
	send(peer, string(make([]byte, 4096)))
	send(peer, "first")
	send(peer, "")
	send(peer, "second")
	for _, want := range []string{"first", "", "second"} {
		if text := <-received; text != want {
			t.Fatalf("received %q, want %q", text, want)
		}
	}
	stats := &transport.Stats
	if u, l, r := stats.UnknownSender.Load(), stats.TooLong.Load(), stats.Received.Load(); u != 1 || l != 2 || r != 3 {
		t.Errorf("%d of unknown senders, %d too long, %d received", u, l, r)
	}
	transport.Broadcast(make([]byte, balance.MaxGossipBytes+1))
	transport.Broadcast([]byte("word"))
	buf := make([]byte, 512)
	n, from, err := peer.ReadFromUDPAddrPort(buf)
	if err != nil || string(buf[:n]) != "word" || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != transport.Addr() {
		t.Errorf("%q from %v: %v", buf[:n], from, err)
	}
}

func TestOpen_BadAddresses(t *testing.T) {
	for _, c := range []struct{ name, listen, all, peer string }{
		{name: "of the listener", listen: "x", all: "127.0.0.1:1", peer: "127.0.0.1:1"},
		{name: "of all peers", listen: "127.0.0.1:0", all: "x", peer: "127.0.0.1:1"},
		{name: "of one peer", listen: "127.0.0.1:0", all: "127.0.0.1:1", peer: "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := Options{Listen: c.listen, Broadcast: c.all, Peers: []string{c.peer}, Receive: func([]byte) {}}
			if transport, err := Open(options); err == nil {
				transport.Close()
				t.Error("opened")
			}
		})
	}
}
