// Package config reads what a mixer is told, at its start and again: the platform's configuration, and the operator's
// file of the second front.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"rooktrestle/internal/settings"
)

// Node is the platform's configuration of one mixer.
type Node struct {
	Name             string
	Listen           string
	Discovery        string
	Seed             uint64
	Cores            float64
	MemoryMB         int
	Sockets          int
	InitialEndpoints json.RawMessage
	PeerListen       string   // where words of other mixers come in; empty: none do
	Peers            []string // where each mixer of the tier sends from, this one included
	PeerBroadcast    string   // reaches all of them
	Deployment       settings.Deployment

	stated string // the file's word on discovery
	text   []byte // and on the settings
}

// LoadNode reads the file that NODE_CONFIG names; the other variables win over it.
func LoadNode(env func(string) string) (Node, error) {
	path := env("NODE_CONFIG")
	if path == "" {
		return Node{}, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	n, err := ParseNode(text)
	if err != nil {
		return n, fmt.Errorf("%s: %w", path, err)
	}
	for name, field := range map[string]*string{"NODE_NAME": &n.Name, "NODE_LISTEN": &n.Listen, "NODE_DISCOVERY": &n.Discovery} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	if n.Listen == "" || n.Discovery == "" {
		return n, errors.New("the configuration names no address to listen on, or no discovery")
	}
	return n, nil
}

// Reload reads the file that NODE_CONFIG names once more and returns what a running mixer goes on with: a new
// address of discovery and a new limit on memory. The file wins over NODE_DISCOVERY once it names another
// address than before, as the variables of a running program cannot change. rest says whether there are
// changes that only a start takes up.
func (n Node) Reload(env func(string) string) (next Node, rest bool, err error) {
	at, err := LoadNode(env)
	if err != nil {
		return n, false, err
	}
	next = n
	next.MemoryMB = at.MemoryMB
	if at.stated != n.stated {
		if next.stated = at.stated; at.stated != "" {
			next.Discovery = at.stated
		}
	}
	rest = at.Listen != n.Listen || at.Cores != n.Cores || at.Sockets != n.Sockets || !bytes.Equal(at.text, n.text)
	return next, rest, nil
}

// ParseNode reads the configuration's text.
func ParseNode(text []byte) (Node, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      json.RawMessage `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Known      json.RawMessage `json:"known"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return Node{}, err
	}
	if len(f.Settings) == 0 {
		return Node{}, errors.New("no settings")
	}
	n := Node{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, InitialEndpoints: f.Known,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Seed: seed(f.Seed),
		PeerListen: f.PeerListen, Peers: f.Peers, PeerBroadcast: f.PeersAll,
		stated: f.Discovery, text: f.Settings,
	}
	err := n.checkPeers()
	if err != nil {
		return n, err
	}
	if n.Deployment, err = settings.Parse(f.Settings); err != nil {
		return n, err
	}
	if n.Cores <= 0 {
		n.Cores = 1
	}
	if n.MemoryMB <= 0 {
		n.MemoryMB = 192
	}
	if n.Sockets <= 0 {
		n.Sockets = 1024
	}
	n.Deployment.Decisions.Seed = n.Seed
	// Clients of a real mixer read Retry-After whatever the simulator forwards: a query given up on is
	// answered at once, and the client is told when to come back instead of being held.
	n.Deployment.Decisions.MaxRetryAfter = n.Deployment.MaxRetryAfter
	return n, nil
}

// checkPeers says which address of the mixers' own cannot be read.
func (n Node) checkPeers() error {
	addrs := map[string]string{"peer_listen": n.PeerListen, "peers_all": n.PeerBroadcast}
	for i, p := range n.Peers {
		addrs[fmt.Sprintf("peers: entry %d", i)] = p
	}
	for _, key := range slices.Sorted(maps.Keys(addrs)) {
		if a := addrs[key]; a != "" {
			if _, err := netip.ParseAddrPort(a); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
		}
	}
	return nil
}

// seed reads a seed: hexadecimal text as a rule, a number, or any other text.
func seed(raw json.RawMessage) uint64 {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		text = string(raw)
	}
	if v, err := strconv.ParseUint(text, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
