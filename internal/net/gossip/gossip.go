// Package peers carries short datagrams between the mixers of one tier. It neither reads nor trusts what they
// hold: that is for the decisions. Datagrams may be lost, late, doubled or garbled.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"rooktrestle/balance"
)

// Stats count datagrams: sent, not taken by the system, received, and dropped unread because they were too long
// or came from no peer.
type Stats struct{ Sent, Failed, Received, TooLong, UnknownSender atomic.Uint64 }

// Transport sends to all peers and receives from each. Tell and Close may be called by any goroutine.
type Transport struct {
	Stats Stats
	conn  *net.UDPConn
	all   netip.AddrPort
	peers map[netip.AddrPort]bool
}

// Open listens at listen and sends to all, which reaches every mixer of the tier. Datagrams from peers other
// than own are passed to put, each in memory of its own; put must not block. An address that cannot be read or
// used is an error.
func Open(listen, all string, peers []string, own int, put func([]byte)) (*Transport, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	x := &Transport{peers: map[netip.AddrPort]bool{}}
	if x.all, err = netip.ParseAddrPort(all); err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	for i, p := range peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers: entry %d: %w", i, err)
		}
		x.peers[a] = i != own // one's own word tells nothing new
	}
	if x.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	go x.read(put)
	return x, nil
}

// Addr is where the exchange listens.
func (x *Transport) Addr() netip.AddrPort { return x.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Broadcast sends text to all peers. One longer than is allowed is never sent.
func (x *Transport) Broadcast(text []byte) {
	if len(text) > balance.MaxGossipBytes {
		x.Stats.TooLong.Add(1)
		return
	}
	if _, err := x.conn.WriteToUDPAddrPort(text, x.all); err != nil {
		x.Stats.Failed.Add(1)
		return
	}
	x.Stats.Sent.Add(1)
}

// Close ends the exchange.
func (x *Transport) Close() { x.conn.Close() }

// read passes on what comes until the exchange is closed. An error of one datagram, as when a peer's port is
// closed, is not the end of the others.
func (x *Transport) read(put func([]byte)) {
	buf := make([]byte, balance.MaxGossipBytes+1) // one byte more shows what is too long
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.Stats.Failed.Add(1)
			continue
		}
		known, listed := x.peers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !listed:
			x.Stats.UnknownSender.Add(1)
		case n > balance.MaxGossipBytes:
			x.Stats.TooLong.Add(1)
		case known:
			x.Stats.Received.Add(1)
			put(append([]byte(nil), buf[:n]...))
		}
	}
}
