// Package config reads the aggregator's configuration: the platform's configuration (Node), or an operator's file for
// SRU and Z39.50 (Partners).
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

// Node is the platform's configuration of one aggregator. Its slices must not be modified, as copies share them.
type Node struct {
	Name             string
	Listen           string // host:port
	Discovery        string // host:port
	Seed             uint64 // of all random draws
	Cores            float64
	MemoryMB         int
	Sockets          int
	InitialEndpoints json.RawMessage // endpoint list to use until discovery answers; empty: none
	PeerListen       string          // address for gossip from other instances; empty: no gossip
	Peers            []string        // source address of each instance of the fleet, including this one
	PeerBroadcast    string          // address to which gossip for all instances is sent
	Control          string          // host:port for operators' calls; empty: none
	StateDir         string          // directory shared with the processes that replace each other; empty: none
	Deployment       settings.Deployment

	fileDiscovery string // value of discovery in the file
	fileKeys      any    // the decoded file, without the endpoint list
}

// LoadNode reads the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONTROL override its
// values, and TMPDIR sets StateDir. env looks up a variable, as os.Getenv does.
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
		return node, errors.New("listen and discovery must be set, in the file or by NODE_LISTEN and NODE_DISCOVERY")
	}
	return node, nil
}

// Reload reads the file that NODE_CONFIG names again, and returns the configuration with the changes that a running
// process supports: the address of discovery, the memory limit and the settings. Once discovery in the file changes, it
// overrides NODE_DISCOVERY, as the environment of a running process cannot change. restartNeeded reports whether the
// file has other changes, which only a restart applies. If there is an error, next is n unchanged.
func (n Node) Reload(env func(string) string) (next Node, restartNeeded bool, err error) {
	loaded, err := LoadNode(env)
	if err != nil {
		return n, false, err
	}
	if key := missingKey(n.fileKeys, loaded.fileKeys, ""); key != "" {
		return n, false, fmt.Errorf("%w: %s", errKeyMissing, key)
	}
	if _, err := balance.New(loaded.Deployment.BalancerSettings); err != nil {
		return n, false, fmt.Errorf("settings: %w", err)
	}
	next = n
	next.MemoryMB = loaded.MemoryMB
	next.Deployment = loaded.Deployment
	next.fileKeys = loaded.fileKeys
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

// errKeyMissing rejects a file that lacks a key of the previous file: it may be truncated, or not a configuration at
// all.
var errKeyMissing = errors.New("a key of the previous configuration is missing")

// missingKey returns the path of a key that is in the previous value but not in the next one; empty: there is none. All
// elements of a list are compared with the first element of the previous list, as a list may grow, shrink and be
// reordered.
func missingKey(previous, next any, path string) string {
	switch previous := previous.(type) {
	case map[string]any:
		object, _ := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(previous)) {
			value, ok := object[key]
			keyPath := path + "." + key
			if !ok {
				return strings.TrimPrefix(keyPath, ".")
			}
			if missing := missingKey(previous[key], value, keyPath); missing != "" {
				return missing
			}
		}
	case []any:
		list, ok := next.([]any)
		if !ok {
			return strings.TrimPrefix(path, ".")
		}
		for i := 0; len(previous) > 0 && i < len(list); i++ {
			if missing := missingKey(previous[0], list[i], fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// nodeFile is the JSON form of the configuration.
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
		return Node{}, errors.New("the key settings is missing")
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
	if err := node.recordKeys(text); err != nil {
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
	node.Deployment.BalancerSettings.Seed = node.Seed
	// Clients of the real platform honor Retry-After even if the simulator does not forward it: a rejected query is
	// answered at once with the time to retry after, while under the simulator the query would be held.
	node.Deployment.BalancerSettings.MaxRetryAfter = node.Deployment.MaxRetryAfter
	return node, nil
}

// recordKeys stores the decoded file for comparison by Reload, without the endpoint list, whose keys may vary.
func (n *Node) recordKeys(text []byte) error {
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return err
	}
	delete(keys, "known")
	n.fileKeys = keys
	return nil
}

// validatePeers validates the gossip addresses. The error begins with the key.
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

// parseSeed parses a seed, which is normally hexadecimal text. Text that is not hexadecimal is hashed. A value that is
// not a string is treated as the text of its JSON.
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
