// Package gossip carries short datagrams between the aggregators of one tier. It neither interprets nor validates
// their contents; that is left to the receiver. Datagrams may be lost, delayed, duplicated or corrupt.
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
	Failed        atomic.Uint64 // sends and receives that returned an error
	Received      atomic.Uint64 // received from a peer and passed to Options.Receive
	TooLong       atomic.Uint64 // longer than allowed: not sent, or received and dropped
	UnknownSender atomic.Uint64 // received from an address that is not in Options.Peers, and dropped
}

// Transport sends datagrams to all peers and receives theirs. Its methods may be called by any goroutine.
type Transport struct {
	Stats Stats

	conn      *net.UDPConn
	broadcast netip.AddrPort          // reaches every aggregator of the tier
	peers     map[netip.AddrPort]bool // true: a peer, false: this aggregator itself
}

// Options configure a Transport. Addresses are IP:port.
type Options struct {
	Listen    string
	Broadcast string   // reaches every aggregator of the tier
	Peers     []string // every aggregator of the tier, in the order of their numbers
	OwnIndex  int      // of this aggregator in Peers; its own datagrams are dropped
	// Receive is called with each datagram of a peer, on the transport's goroutine, and must not block. It may retain
	// the datagram.
	Receive func(datagram []byte)
}

// Open opens a transport. If an address cannot be parsed or used, the error names its setting. The caller closes the
// transport.
func Open(options Options) (*Transport, error) {
	listenAddr, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: want IP:port, not %q: %w", options.Listen, err)
	}
	t := &Transport{peers: map[netip.AddrPort]bool{}}
	if t.broadcast, err = netip.ParseAddrPort(options.Broadcast); err != nil {
		return nil, fmt.Errorf("peers_all: want IP:port, not %q: %w", options.Broadcast, err)
	}
	for i, peer := range options.Peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("peers: entry %d: want IP:port, not %q: %w", i, peer, err)
		}
		t.peers[addr] = i != options.OwnIndex
	}
	// The process that replaces this one listens on the same address: until this one exits, each receives a part of the
	// datagrams.
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

// Broadcast sends a datagram to all peers. A datagram that is longer than balance.MaxGossipBytes, or cannot be sent, is
// counted and dropped.
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

// Close closes the transport, which ends its receiving goroutine.
func (t *Transport) Close() {
	_ = t.conn.Close() // UDP has nothing to flush
}

// receive passes on datagrams until the transport is closed. It continues after an error of one datagram, for example
// when a peer's port is closed.
func (t *Transport) receive(put func([]byte)) {
	buf := make([]byte, balance.MaxGossipBytes+1) // one extra byte, to detect datagrams that are too long
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
