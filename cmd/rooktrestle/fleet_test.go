package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// relay forwards gossip between instances: each instance broadcasts to a socket of its own, and the relay sends its
// datagrams to the others from a second one. The corruption and duplication of datagrams is seeded.
type relay struct {
	mu          sync.Mutex
	rng         *rand.Rand
	blocked     map[int]bool   // instances to which no datagram is forwarded
	broadcasts  []*net.UDPConn // socket to which instance i sends its broadcasts
	sources     []*net.UDPConn // socket from which the datagrams of instance i are forwarded
	listenAddrs []*net.UDPAddr // address at which instance i listens
}

// gossipPort is the port on which instances listen for gossip.
const gossipPort = 7946

// reserveGossipAddr returns a loopback UDP address that no other test uses until this one ends, so that an instance's
// port is known before it starts. The reservation is a TCP listener of the test on the same address and port.
func reserveGossipAddr(t *testing.T) *net.UDPAddr {
	t.Helper()
	for {
		ip := net.IPv4(127, byte(64+rand.IntN(64)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
		reservation, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip, Port: gossipPort})
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeQuietly(reservation) })
		return &net.UDPAddr{IP: ip, Port: gossipPort}
	}
}

// newRelay returns a relay for n instances.
func newRelay(t *testing.T, n int, seed uint64) *relay {
	t.Helper()
	r := &relay{
		rng:     rand.New(rand.NewPCG(seed, 0)),
		blocked: map[int]bool{},
	}
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeQuietly(c) })
		return c
	}
	for range n {
		r.broadcasts = append(r.broadcasts, socket())
		r.sources = append(r.sources, socket())
		r.listenAddrs = append(r.listenAddrs, reserveGossipAddr(t))
	}
	for i := range n {
		go r.forward(i)
	}
	return r
}

// forward forwards the broadcasts of instance i to all other instances: first a corrupt copy, then the datagram once or
// twice.
func (r *relay) forward(i int) {
	buf := make([]byte, 512)
	for {
		n, _, err := r.broadcasts[i].ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		for j := range r.listenAddrs {
			if j == i || r.blocked[j] {
				continue
			}
			corrupt := append([]byte(nil), buf[:n]...)
			corrupt[r.rng.IntN(n)] ^= byte(1 + r.rng.IntN(255))
			r.sendTo(i, j, corrupt)
			for range 1 + r.rng.IntN(2) {
				r.sendTo(i, j, buf[:n])
			}
		}
		r.mu.Unlock()
	}
}

// sendTo sends a datagram from instance i to instance j. An error is ignored, as gossip tolerates lost datagrams.
func (r *relay) sendTo(i, j int, datagram []byte) {
	_, _ = r.sources[i].WriteToUDP(datagram, r.listenAddrs[j])
}

// startFleet starts the relay's instances as one fleet.
func startFleet(t *testing.T, r *relay, leaves ...*leafServer) (fleet []*program) {
	t.Helper()
	at := newDiscovery(t, leaves...)
	var peers []string
	for _, c := range r.sources {
		peers = append(peers, strconv.Quote(c.LocalAddr().String()))
	}
	settings := strings.Replace(untimedSettings(len(r.listenAddrs)), `"limits":{`, `"limits":{"peer_messages":true,`, 1)
	for i := range r.listenAddrs {
		path := filepath.Join(t.TempDir(), "config.json")
		keys := fmt.Sprintf(`"name":"n%d","seed":"%x","peer_listen":%q,"peers":[%s],"peers_all":%q`,
			i, 77+i, r.listenAddrs[i].String(), strings.Join(peers, ","), r.broadcasts[i].LocalAddr().String())
		ranked := strings.Replace(settings, `"n_instances"`, fmt.Sprintf(`"rank":%d,"n_instances"`, i), 1)
		writeConfigWith(t, path, at, ranked, keys)
		p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + at})
		p.awaitHealthy()
		fleet = append(fleet, p)
	}
	return fleet
}

var gossipText = regexp.MustCompile(`words sent \d+, heard (\d+), bad (\d+);` +
	`.*servers that lose parts: (\d+), remarks on them heard (\d+)`)

// gossipCounters has an instance's counters of gossip and of outliers.
type gossipCounters struct{ received, corrupt, outliers, observations int }

// gossip returns the gossip counters. They include all datagrams that the instance has received so far.
func (p *program) gossip() (c gossipCounters) {
	p.t.Helper()
	_, text := p.get("http://" + p.listen["http"] + "/counters")
	m := gossipText.FindStringSubmatch(text)
	if m == nil {
		p.t.Fatalf("counters: %s", text)
	}
	for i, counter := range []*int{&c.received, &c.corrupt, &c.outliers, &c.observations} {
		*counter, _ = strconv.Atoi(m[i+1]) // only digits, as the expression matched
	}
	return c
}

// lossyFleet is a fleet of instances with a healthy leaf server and one that fails every part.
type lossyFleet struct {
	t         *testing.T
	instances []*program
	lossy     *leafServer
	queries   []int // number of queries of each instance
}

// query sends a query with one part to instance i.
func (f *lossyFleet) query(i int) {
	f.t.Helper()
	f.queries[i]++
	id := fmt.Sprintf("q%d.%d", i, f.queries[i])
	status, text := f.instances[i].ask(id, "search", `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`)
	if status != 200 {
		_, counters := f.instances[i].get("http://" + f.instances[i].listen["http"] + "/counters")
		f.t.Fatalf("instance %d: query %d: %d %s; %s", i, f.queries[i], status, text, counters)
	}
}

// partsLost returns the number of parts that instance i has sent to the lossy server.
func (f *lossyFleet) partsLost(i int) (parts int) {
	for _, line := range f.lossy.received() {
		if strings.HasPrefix(line, fmt.Sprintf("q%d.", i)) {
			parts++
		}
	}
	return parts
}

// loseOnePart sends queries until each of the instances from, ..., to-1 has lost a part at the lossy server.
func (f *lossyFleet) loseOnePart(from, to int) {
	f.t.Helper()
	for i := from; i < to; i++ {
		for f.partsLost(i) == 0 {
			f.query(i)
		}
	}
}

// expectIsolated fails the test if instance i has received gossip, or considers a server an outlier.
func (f *lossyFleet) expectIsolated(i int) {
	f.t.Helper()
	if c := f.instances[i].gossip(); c.received != 0 || c.outliers != 0 {
		f.t.Errorf("the isolated instance has received %d datagrams, and has %d outliers", c.received, c.outliers)
	}
}

// Instances that each lose one part at a server detect it together by gossip: an instance that lost none there avoids
// it, and an instance isolated from gossip does not. Corrupt datagrams are counted and ignored, and duplicates and the
// crash of an instance have no effect. Every query is completed exactly once.
func TestGossip_InstancesFindALossyServerTogether(t *testing.T) {
	healthy := newLeaf(t, answerValue)
	lossy := newLeaf(t, func(string, net.Conn) string { return "E 0 -\n" })
	const n = 16
	const observer, isolated = n - 1, n - 2
	r := newRelay(t, n, 1)
	r.mu.Lock()
	for i := range observer { // each of them has to lose a part, and would avoid the server after gossip about it
		r.blocked[i] = true
	}
	r.mu.Unlock()
	f := &lossyFleet{t: t, instances: startFleet(t, r, healthy, lossy), lossy: lossy, queries: make([]int, n)}
	f.loseOnePart(0, 3)
	f.instances[0].kill()
	f.loseOnePart(3, isolated)
	for {
		c := f.instances[observer].gossip()
		if c.outliers == 1 && c.corrupt > 0 && c.observations >= isolated {
			break
		}
		if c.outliers > 1 {
			t.Fatalf("%d servers are considered lossy, want 1", c.outliers)
		}
	}
	f.expectIsolated(isolated)
	for range 60 {
		f.query(observer)
	}
	if lost := f.partsLost(observer); lost > 5 { // about one in a hundred is a half-open request to the server
		t.Errorf("%d of 60 parts were sent to a server at which other instances lost parts", lost)
	}
	// Without gossip the isolated instance still uses the server, and one lost part does not make the server an
	// outlier.
	f.loseOnePart(isolated, isolated+1)
	f.expectIsolated(isolated)
	for _, p := range f.instances[1:] { // all at once, as each shutdown takes a while
		p.signal(syscall.SIGTERM)
	}
	for i, p := range f.instances[1:] {
		if c := p.stop(); c.received != f.queries[i+1] || c.served != f.queries[i+1] {
			t.Errorf("instance %d: %v of %d queries", i+1, c, f.queries[i+1])
		}
	}
}
