// Package config reads the aggregator's configuration: the platform's (Node), and an operator's file for SRU and Z39.50
// (Partners).
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"rooktrestle/balance"
	"rooktrestle/internal/settings"
)

// Defaults of the platform's limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Node is the platform's configuration of one aggregator. It is a value; its slices are not changed.
type Node struct {
	Name             string
	Listen           string // host:port
	Discovery        string // host:port
	Seed             uint64 // of all random draws
	Cores            float64
	MemoryMB         int
	Sockets          int
	InitialEndpoints json.RawMessage // endpoint list to serve from before discovery answers; empty: none
	PeerListen       string          // where gossip of the other instances arrives; empty: none does
	Peers            []string        // from where each instance of the fleet sends, this one included
	PeerBroadcast    string          // reaches all instances
	Control          string          // host:port where operators call; empty: nowhere
	StateDir         string          // shared with the processes that this one replaces or is replaced by; empty: none
	Deployment       settings.Deployment

	fileDiscovery string // discovery as the file has it
	file          any    // the file as decoded, but for the endpoint list
}

// LoadNode reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONTROL override it, and
// TMPDIR is where state is shared. env is os.Getenv, or a test's.
func LoadNode(env func(string) string) (Node, error) {
	path := env("NODE_CONFIG")
	if path == "" {
		return Node{}, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	node, err := ParseNode(text)
	if err != nil {
		return node, fmt.Errorf("%s: %w", path, err)
	}
	fields := map[string]*string{
		"NODE_NAME":      &node.Name,
		"NODE_LISTEN":    &node.Listen,
		"NODE_DISCOVERY": &node.Discovery,
		"NODE_CONTROL":   &node.Control,
		"TMPDIR":         &node.StateDir,
	}
	for name, field := range fields {
		if value := env(name); value != "" {
			*field = value
		}
	}
	if node.Listen == "" || node.Discovery == "" {
		return node, errors.New("the configuration names no address to listen on, or no discovery")
	}
	return node, nil
}

// Reload reads the file that NODE_CONFIG names once more, and returns the configuration with what can change in a running
// process: the address of discovery, the memory limit and the settings. The file overrides NODE_DISCOVERY once it names
// another address than before, as the environment of a running process cannot change. restartNeeded says whether the file
// has changes that only a start applies. After an error, which names what is wrong or missing, nothing is taken.
func (n Node) Reload(env func(string) string) (next Node, restartNeeded bool, err error) {
	loaded, err := LoadNode(env)
	if err != nil {
		return n, false, err
	}
	if key := missingKey(n.file, loaded.file, ""); key != "" {
		return n, false, fmt.Errorf("%w: %s", errKeyMissing, key)
	}
	if _, err := balance.New(loaded.Deployment.Decisions); err != nil {
		return n, false, fmt.Errorf("settings: %w", err)
	}
	next = n
	next.MemoryMB = loaded.MemoryMB
	next.Deployment = loaded.Deployment
	next.file = loaded.file
	if loaded.fileDiscovery != n.fileDiscovery {
		next.fileDiscovery = loaded.fileDiscovery
		if loaded.fileDiscovery != "" {
			next.Discovery = loaded.fileDiscovery
		}
	}
	restartNeeded = loaded.Listen != n.Listen || loaded.Cores != n.Cores || loaded.Sockets != n.Sockets ||
		!loaded.Deployment.SameButForReload(n.Deployment)
	return next, restartNeeded, nil
}

// errKeyMissing rejects a file without a key that the file before it had: it was cut, or made by something else.
var errKeyMissing = errors.New("a key is missing that the file had before")

// missingKey is the path of a key that an object has and a later one has not; empty: there is none. The elements of lists
// are compared with the first one before: a list may grow, shrink and be reordered.
func missingKey(former, later any, path string) string {
	switch former := former.(type) {
	case map[string]any:
		object, _ := later.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(former)) {
			value, ok := object[key]
			keyPath := path + "." + key
			if !ok {
				return strings.TrimPrefix(keyPath, ".")
			}
			if missing := missingKey(former[key], value, keyPath); missing != "" {
				return missing
			}
		}
	case []any:
		list, ok := later.([]any)
		if !ok {
			return strings.TrimPrefix(path, ".")
		}
		for i := 0; len(former) > 0 && i < len(list); i++ {
			if missing := missingKey(former[0], list[i], fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// nodeFile is the JSON of the configuration.
type nodeFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      json.RawMessage `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	InitialEndpoints json.RawMessage `json:"known"`
	PeerListen       string          `json:"peer_listen"`
	Peers            []string        `json:"peers"`
	PeerBroadcast    string          `json:"peers_all"`
	Control          string          `json:"control"`
	Settings         json.RawMessage `json:"settings"`
}

// ParseNode parses the configuration's JSON and sets its defaults.
func ParseNode(text []byte) (Node, error) {
	var file nodeFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Node{}, err
	}
	if len(file.Settings) == 0 {
		return Node{}, errors.New("no settings")
	}
	node := Node{
		Name:             file.Name,
		Listen:           file.Listen,
		Discovery:        file.Discovery,
		InitialEndpoints: file.InitialEndpoints,
		Cores:            file.Limits.Cores,
		MemoryMB:         file.Limits.MemoryMB,
		Sockets:          file.Limits.Sockets,
		Seed:             parseSeed(file.Seed),
		PeerListen:       file.PeerListen,
		Peers:            file.Peers,
		PeerBroadcast:    file.PeerBroadcast,
		Control:          file.Control,
		fileDiscovery:    file.Discovery,
	}
	if err := node.keepKeys(text); err != nil {
		return node, err
	}
	if err := node.validatePeers(); err != nil {
		return node, err
	}
	var err error
	if node.Deployment, err = settings.Parse(file.Settings); err != nil {
		return node, err
	}
	if node.Cores <= 0 {
		node.Cores = defaultCores
	}
	if node.MemoryMB <= 0 {
		node.MemoryMB = defaultMemoryMB
	}
	if node.Sockets <= 0 {
		node.Sockets = defaultSockets
	}
	node.Deployment.Decisions.Seed = node.Seed
	// Clients of the real platform honour Retry-After whatever the simulator forwards: a query that is given up is
	// answered at once with the time to retry after, where the simulator would hold the query.
	node.Deployment.Decisions.MaxRetryAfter = node.Deployment.MaxRetryAfter
	return node, nil
}

// keepKeys keeps the file for Reload to compare with. Endpoint lists differ freely.
func (n *Node) keepKeys(text []byte) error {
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return err
	}
	delete(keys, "known")
	n.file = keys
	return nil
}

// validatePeers checks the addresses of gossip. The error begins with the key.
func (n Node) validatePeers() error {
	addrs := map[string]string{"peer_listen": n.PeerListen, "peers_all": n.PeerBroadcast}
	for i, peer := range n.Peers {
		addrs[fmt.Sprintf("peers: entry %d", i)] = peer
	}
	for _, key := range slices.Sorted(maps.Keys(addrs)) {
		if addrs[key] == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addrs[key]); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// parseSeed reads a seed: hexadecimal text as a rule. Any other text, and the JSON of any other value, is hashed, unless
// it happens to be hexadecimal.
func parseSeed(raw json.RawMessage) uint64 {
	var text string
	if json.Unmarshal(raw, &text) != nil {
		text = string(raw)
	}
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // a hash's Write returns no error
	return hash.Sum64()
}
