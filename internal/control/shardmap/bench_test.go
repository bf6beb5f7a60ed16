package shardmap

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

func largeMap(n int) *Map {
	list := make([]*Shard, n)
	for i := range n {
		b := &Shard{ID: ID(i + 1), State: Serving, Replicas: []Replica{{Server: fmt.Sprintf("n%d", i%1000)}, {Server: fmt.Sprintf("n%d", (i+1)%1000)}}}
		if i > 0 {
			b.From = Key(fmt.Sprintf("p%07d@2000", i))
		}
		if i+1 < n {
			b.To = Key(fmt.Sprintf("p%07d@2000", i+1))
		}
		list[i] = b
	}
	m, err := New("captions", 1, ID(n+1), list)
	if err != nil {
		panic(err)
	}
	return m
}

// sortedSlice is a sorted slice: the plain structure to measure against.
type sortedSlice []*Shard

func (p sortedSlice) lookup(k Key) *Shard {
	i, found := slices.BinarySearchFunc(p, k, func(b *Shard, k Key) int { return compareKeys(b.From, k) })
	if !found {
		i--
	}
	return p[i]
}

// split returns a slice with one block in two halves: all of it is copied.
func (p sortedSlice) split(i int, left, right *Shard) sortedSlice {
	out := make(sortedSlice, 0, len(p)+1)
	out = append(append(out, p[:i]...), left, right)
	return append(out, p[i+1:]...)
}

var sink *Shard

// Look-ups by key in the tree and in a sorted slice, and by id in the tree and in a map. Run with -bench . -benchmem.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		m := largeMap(n)
		var flat sortedSlice
		m.Active(func(b *Shard) bool { flat = append(flat, b); return true })
		byID := map[ID]*Shard{}
		for _, k := range flat {
			byID[k.ID] = k
		}
		rng := rand.New(rand.NewPCG(1, 2))
		keys := make([]Key, 4096)
		for i := range keys {
			keys[i] = Key(fmt.Sprintf("p%07d@2000:x", rng.IntN(n)))
		}
		for name, f := range map[string]func(i int){
			"tree":    func(i int) { sink = m.Lookup(keys[i%len(keys)]) },
			"slice":   func(i int) { sink = flat.lookup(keys[i%len(keys)]) },
			"tree-id": func(i int) { sink = m.Shard(ID(1 + i*7919%n)) },
			"map-id":  func(i int) { sink = byID[ID(1+i*7919%n)] },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				for i := range b.N {
					f(i)
				}
			})
		}
	}
}

// One change, the weight of a block: what an epoch costs in time and in memory that it does not share.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		m := largeMap(n)
		var flat sortedSlice
		byID := map[ID]*Shard{}
		m.Active(func(b *Shard) bool { flat = append(flat, b); byID[b.ID] = b; return true })
		b.Run(fmt.Sprintf("tree/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				c := *m.Shard(ID(1 + i*7919%n))
				c.Weight = 2
				if _, err := m.Change([]*Shard{&c}, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("slice-and-map/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				k := i * 7919 % n
				c := *flat[k]
				next := slices.Clone(flat)
				next[k] = &c
				ids := make(map[ID]*Shard, n)
				for id, b := range byID {
					ids[id] = b
				}
				ids[c.ID] = &c
				sink = next[k]
			}
		})
	}
}

// What pinning an epoch costs a query.
func BenchmarkPin(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 8, MaxPinnedAge: time.Minute, WarmupMinFraction: 1})
		vs.Offer(origin, largeMap(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				v := vs.Pin()
				sink = v.Shards()[0]
				vs.Release(v)
			}
		})
	}
}

// A map of a million blocks: read, adopted, changed a hundred times, and dropped. Not run by the tests: set
// -run Million -v with ROOKTRESTLE_LONG=1.
func TestMillionShards(t *testing.T) {
	if !longRuns() {
		t.Skip("long: set ROOKTRESTLE_LONG=1")
	}
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc) / (1 << 20)
	}
	text := largeMap(1_000_000).Encode()
	before, at := heap(), time.Now()
	m, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%.0f MB of text read in %v; %.0f MB of heap", float64(len(text))/(1<<20), time.Since(at), heap()-before)
	vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 200, MaxPinnedAge: time.Hour, WarmupMinFraction: 1})
	vs.Offer(origin, m)
	loaded := heap()
	var pins []*View
	at = time.Now()
	var offers time.Duration
	for i := range 100 {
		pins = append(pins, vs.Pin())
		b := *m.Shard(ID(1 + i*7919))
		b.Weight = 2
		if m, err = m.Change([]*Shard{&b}, nil); err != nil {
			t.Fatal(err)
		}
		begin := time.Now()
		if _, err := vs.Offer(origin, m); err != nil {
			t.Fatal(err)
		}
		offers += time.Since(begin)
	}
	t.Logf("100 changes in %v, of it %v to check and adopt them; 100 epochs pinned: %.2f MB more", time.Since(at), offers, heap()-loaded)
	for _, p := range pins {
		vs.Release(p)
	}
	t.Logf("let go: %.2f MB more than one epoch", heap()-loaded)
	again, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	at = time.Now()
	list := Diff(again, m)
	t.Logf("%d differences found in %v", len(list), time.Since(at))
	at = time.Now()
	if err := m.ValidateSuccession(again); err != nil {
		t.Fatal(err)
	}
	t.Logf("followed over a gap, checked in %v", time.Since(at))
	read, err := Parse(m.Encode())
	if err != nil {
		t.Fatal(err)
	}
	at = time.Now()
	on := read.ShareWith(m)
	t.Logf("brought onto the present one in %v", time.Since(at))
	at = time.Now()
	if adopted, err := vs.Offer(origin, on); adopted || err != nil {
		t.Fatal(adopted, err)
	}
	t.Logf("found the same in %v", time.Since(at))
	runtime.KeepAlive(again)
}
