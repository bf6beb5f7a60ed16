// Package gossip carries short datagrams between the aggregators of one tier. It neither reads nor trusts what they hold:
// that is for the decisions. Datagrams may be lost, late, duplicated or corrupt.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"rooktrestle/balance"
	"rooktrestle/internal/net/tcp"
)

// Stats count datagrams. They may be read by any goroutine.
type Stats struct {
	Sent          atomic.Uint64
	Failed        atomic.Uint64 // sends and receives that the system failed
	Received      atomic.Uint64 // and passed on
	TooLong       atomic.Uint64 // not sent, or received and dropped
	UnknownSender atomic.Uint64 // received from no peer and dropped
}

// Transport sends datagrams to all peers and receives from each. Its methods may be called by any goroutine.
type Transport struct {
	Stats Stats

	conn      *net.UDPConn
	broadcast netip.AddrPort          // reaches every aggregator of the tier
	peers     map[netip.AddrPort]bool // true: a peer, false: this aggregator itself
}

// Options say where a transport listens and sends. Addresses are IP:port.
type Options struct {
	Listen    string
	Broadcast string   // reaches every aggregator of the tier
	Peers     []string // every aggregator of the tier, in the order of their numbers
	OwnIndex  int      // of this aggregator among Peers: its own datagrams are dropped
	// Receive is called with each datagram of a peer, on a goroutine of the transport's. The datagram is the callee's. It
	// must not block.
	Receive func(datagram []byte)
}

// Open opens a transport. An address that cannot be parsed or used is an error, which names the setting that it stands in.
// The caller closes the transport.
func Open(options Options) (*Transport, error) {
	listenAddr, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	t := &Transport{peers: map[netip.AddrPort]bool{}}
	if t.broadcast, err = netip.ParseAddrPort(options.Broadcast); err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	for i, peer := range options.Peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("peers: entry %d: %w", i, err)
		}
		t.peers[addr] = i != options.OwnIndex
	}
	// A process that replaces this one listens beside it: each gets a part of the datagrams until one has ended.
	config := net.ListenConfig{Control: tcp.ReusePort}
	conn, err := config.ListenPacket(context.Background(), "udp4", listenAddr.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	t.conn = conn.(*net.UDPConn)
	go t.receive(options.Receive) // until Close
	return t, nil
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Broadcast sends a datagram to all peers. One longer than balance.MaxGossipBytes is counted and not sent; one that the
// system does not take is counted and lost.
func (t *Transport) Broadcast(datagram []byte) {
	if len(datagram) > balance.MaxGossipBytes {
		t.Stats.TooLong.Add(1)
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(datagram, t.broadcast); err != nil {
		t.Stats.Failed.Add(1)
		return
	}
	t.Stats.Sent.Add(1)
}

// Close ends the transport, and with it the goroutine that receives.
func (t *Transport) Close() {
	_ = t.conn.Close() // what was sent is on its way; there is nothing to flush
}

// receive passes on datagrams until the transport is closed. An error of one datagram, as when a peer's port is closed, is
// not the end of the others.
func (t *Transport) receive(put func([]byte)) {
	buf := make([]byte, balance.MaxGossipBytes+1) // one byte more shows what is too long
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.Stats.Failed.Add(1)
			continue
		}
		isPeer, listed := t.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !listed:
			t.Stats.UnknownSender.Add(1)
		case n > balance.MaxGossipBytes:
			t.Stats.TooLong.Add(1)
		case isPeer:
			t.Stats.Received.Add(1)
			put(append([]byte(nil), buf[:n]...))
		}
	}
}
