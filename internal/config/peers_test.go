package config

import (
	"strings"
	"testing"
)

// An address of the mixers' own that cannot be read is refused at the start, with its place.
func TestBadPeerAddresses(t *testing.T) {
	for key, n := range map[string]Node{
		"peer_listen":    {PeerListen: "here"},
		"peers_all":      {PeerListen: "127.0.0.1:1", PeerBroadcast: "127.0.0.1"},
		"peers: entry 1": {Peers: []string{"127.0.0.1:1", "127.0.0.1:x"}},
	} {
		if err := n.checkPeers(); err == nil || !strings.HasPrefix(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
	if err := (Node{PeerListen: "127.0.0.1:1", PeerBroadcast: "127.0.0.1:2", Peers: []string{"127.0.0.1:3"}}).checkPeers(); err != nil {
		t.Error(err)
	}
	if err := (Node{}).checkPeers(); err != nil {
		t.Error(err) // no peers are told: none are talked to
	}
	if _, err := ParseNode([]byte(`{"peer_listen":"here","settings":{}}`)); err == nil || !strings.Contains(err.Error(), "peer_listen") {
		t.Errorf("a bad address passes: %v", err)
	}
}
