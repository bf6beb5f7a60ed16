package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// relay carries words between mixers: each sends to a socket of its own, and comes to the others from another. What it
// does to a word on its way is seeded.
type relay struct {
	mu   sync.Mutex
	rng  *rand.Rand
	cut  map[int]bool   // mixers to which nothing comes
	all  []*net.UDPConn // where mixer i sends what is for all
	from []*net.UDPConn // where mixer i comes from
	to   []*net.UDPAddr // where mixer i listens
}

// newRelay is for n mixers. Each has an address of the loopback range to itself, so that its port is known before it
// starts and nothing else has it.
func newRelay(t *testing.T, n int, seed uint64) *relay {
	r := &relay{rng: rand.New(rand.NewPCG(seed, 0)), cut: map[int]bool{}}
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	pid := os.Getpid()
	for i := range n {
		r.all, r.from = append(r.all, socket()), append(r.from, socket())
		r.to = append(r.to, &net.UDPAddr{IP: net.IPv4(127, byte(64+pid>>14&63), byte(pid>>7), byte(pid<<1&0xe0|i+1)), Port: 7946})
	}
	for i := range n {
		go r.carry(i)
	}
	return r
}

// carry passes on what mixer i says: to each other mixer a garbled copy first, the word, and often the word again.
func (r *relay) carry(i int) {
	buf := make([]byte, 512)
	for {
		n, _, err := r.all[i].ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		for j := range r.to {
			if j == i || r.cut[j] {
				continue
			}
			bad := append([]byte(nil), buf[:n]...)
			bad[r.rng.IntN(n)] ^= byte(1 + r.rng.IntN(255))
			r.from[i].WriteToUDP(bad, r.to[j])
			for range 1 + r.rng.IntN(2) {
				r.from[i].WriteToUDP(buf[:n], r.to[j])
			}
		}
		r.mu.Unlock()
	}
}

// mixers starts n mixers of one tier.
func mixers(t *testing.T, r *relay, leaves ...*leafServer) (tier []*program) {
	t.Helper()
	at := newDiscovery(t, leaves...)
	var peers []string
	for _, c := range r.from {
		peers = append(peers, strconv.Quote(c.LocalAddr().String()))
	}
	settings := strings.Replace(unhurried(len(r.to)), `"limits":{`, `"limits":{"peer_messages":true,`, 1)
	for i := range r.to {
		path := filepath.Join(t.TempDir(), "config.json")
		keys := fmt.Sprintf(`"name":"n%d","seed":"%x","peer_listen":%q,"peers":[%s],"peers_all":%q`,
			i, 77+i, r.to[i].String(), strings.Join(peers, ","), r.all[i].LocalAddr().String())
		configureAs(t, path, at, strings.Replace(settings, `"n_instances"`, fmt.Sprintf(`"rank":%d,"n_instances"`, i), 1), keys)
		p := start(t, 1, []string{"NODE_CONFIG=" + path, "NODE_DISCOVERY=" + at})
		p.wait()
		tier = append(tier, p)
	}
	return tier
}

var told = regexp.MustCompile(`words sent (\d+), heard (\d+), bad (\d+);.*servers that lose parts: (\d+), remarks on them heard (\d+)`)

// told are a mixer's counters of words, once the words that it was sent by then are among them.
func (p *program) told() (sent, heard, bad, out, remarks int) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.listen["http"] + "/counters")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	m := told.FindStringSubmatch(string(text))
	if m == nil {
		p.t.Fatalf("counters: %s", text)
	}
	var n [5]int
	for i := range n {
		n[i], _ = strconv.Atoi(m[i+1])
	}
	return n[0], n[1], n[2], n[3], n[4]
}

// Mixers that each lose one part at a server find it together: one that lost none there leaves it, one that is cut off
// from the words meets the server by itself. Garbled words change nothing and are counted, doubled ones do no harm. A
// mixer that is killed takes nothing along. Every query is closed once.
func TestMixersFindALossyServerTogether(t *testing.T) {
	good := newLeaf(t, value)
	lossy := newLeaf(t, func(string, net.Conn) string { return "E 0 -\n" })
	const n = 16
	r := newRelay(t, n, 1)
	quiet, apart := n-1, n-2
	r.mu.Lock()
	for i := range quiet { // each of the others is to lose a part, and would not once it heard of the server
		r.cut[i] = true
	}
	r.mu.Unlock()
	tier := mixers(t, r, good, lossy)
	asked := make([]int, n)
	ask := func(i int) {
		asked[i]++
		if status, text := tier[i].ask(fmt.Sprintf("q%d.%d", i, asked[i]), "search", `{"slices":[{"slice":0,"mass":1}],"filter":"x"}`); status != 200 {
			t.Fatalf("mixer %d: %d %s", i, status, text)
		}
	}
	at := func(i int) (parts int) { // parts of mixer i at the lossy server
		for _, line := range lossy.seen() {
			if strings.HasPrefix(line, fmt.Sprintf("q%d.", i)) {
				parts++
			}
		}
		return parts
	}
	lose := func(from, to int) {
		for i := from; i < to; i++ {
			for at(i) == 0 {
				ask(i)
			}
		}
	}
	lose(0, 3)
	tier[0].cmd.Process.Kill()
	lose(3, apart)
	for {
		_, _, bad, out, remarks := tier[quiet].told()
		if out == 1 && bad > 0 && remarks >= apart {
			break
		}
		if out > 1 {
			t.Fatalf("%d servers taken for lossy", out)
		}
	}
	if _, heard, _, out, _ := tier[apart].told(); heard != 0 || out != 0 {
		t.Errorf("the mixer that is cut off heard %d words, and knows of %d servers", heard, out)
	}
	for range 60 {
		ask(quiet)
	}
	if k := at(quiet); k > 5 { // one in a hundred may go there, to try it
		t.Errorf("%d of 60 parts went to a server that others lost parts at", k)
	}
	// The one that is cut off meets the server by itself, as all would without words; one loss makes none an outlier.
	lose(apart, apart+1)
	if _, heard, _, out, _ := tier[apart].told(); heard != 0 || out != 0 {
		t.Errorf("the mixer that is cut off heard %d words, and knows of %d servers", heard, out)
	}
	for _, p := range tier[1:] { // all at once: each goes on for a while
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for i, p := range tier[1:] {
		if c := p.stop(); c[0] != asked[i+1] || c[1] != asked[i+1] {
			t.Errorf("mixer %d: %v of %d queries", i+1, c, asked[i+1])
		}
	}
}
