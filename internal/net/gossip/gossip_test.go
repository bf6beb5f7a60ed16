package gossip

import (
	"net"
	"net/netip"
	"testing"

	"rooktrestle/balance"
)

func socket(t *testing.T) (*net.UDPConn, string) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, c.LocalAddr().String()
}

// Only what a peer sent, and no longer than is allowed, is passed on; all else is counted. A datagram that
// fails is not the end of the next.
func TestExchange(t *testing.T) {
	peer, peerAddr := socket(t)
	own, ownAddr := socket(t)
	stranger, _ := socket(t)
	got := make(chan string, 10)
	x, err := Open("127.0.0.1:0", peerAddr, []string{ownAddr, peerAddr}, 0, func(b []byte) { got <- string(b) })
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	send := func(from *net.UDPConn, text string) {
		if _, err := from.WriteToUDPAddrPort([]byte(text), x.Addr()); err != nil {
			t.Fatal(err)
		}
	}
	send(stranger, "from a stranger")
	send(own, "from itself")
	send(peer, string(make([]byte, balance.MaxGossipBytes+1)))
	send(peer, string(make([]byte, 4096)))
	send(peer, "first")
	send(peer, "")
	send(peer, "second")
	for _, want := range []string{"first", "", "second"} {
		if text := <-got; text != want {
			t.Fatalf("got %q, want %q", text, want)
		}
	}
	if s, l, r := x.Stats.UnknownSender.Load(), x.Stats.TooLong.Load(), x.Stats.Received.Load(); s != 1 || l != 2 || r != 3 {
		t.Errorf("%d strangers, %d too long, %d received", s, l, r)
	}
	x.Broadcast(make([]byte, balance.MaxGossipBytes+1))
	x.Broadcast([]byte("word"))
	buf := make([]byte, 512)
	n, from, err := peer.ReadFromUDPAddrPort(buf)
	if err != nil || string(buf[:n]) != "word" || netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != x.Addr() {
		t.Errorf("%q from %v: %v", buf[:n], from, err)
	}
}

func TestBadAddresses(t *testing.T) {
	for _, c := range [][3]string{{"x", "127.0.0.1:1", "127.0.0.1:1"}, {"127.0.0.1:0", "x", "127.0.0.1:1"}, {"127.0.0.1:0", "127.0.0.1:1", "x"}} {
		if x, err := Open(c[0], c[1], []string{c[2]}, 0, func([]byte) {}); err == nil {
			x.Close()
			t.Errorf("%v opened", c)
		}
	}
}
