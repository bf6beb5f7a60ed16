package config

import (
	"strings"
	"testing"
)

// An invalid gossip address is rejected at startup, and the error names its key.
func TestNode_InvalidPeerAddress(t *testing.T) {
	for key, n := range map[string]Node{
		"peer_listen":    {PeerListen: "here"},
		"peers_all":      {PeerListen: "127.0.0.1:1", PeerBroadcast: "127.0.0.1"},
		"peers: entry 1": {Peers: []string{"127.0.0.1:1", "127.0.0.1:x"}},
	} {
		if err := n.validatePeers(); err == nil || !strings.HasPrefix(err.Error(), key+":") {
			t.Errorf("%s: %v", key, err)
		}
	}
	valid := Node{PeerListen: "127.0.0.1:1", PeerBroadcast: "127.0.0.1:2", Peers: []string{"127.0.0.1:3"}}
	if err := valid.validatePeers(); err != nil {
		t.Error(err)
	}
	if err := (Node{}).validatePeers(); err != nil {
		t.Error(err) // gossip is optional
	}
	_, err := ParseNode([]byte(`{"peer_listen":"here","settings":{}}`))
	if err == nil || !strings.Contains(err.Error(), "peer_listen") {
		t.Errorf("an invalid address was accepted: %v", err)
	}
}
