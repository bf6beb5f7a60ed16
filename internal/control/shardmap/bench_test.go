package shardmap

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// largeMap returns a map of n shards.
func largeMap(n int) *Map {
	shards := make([]*Shard, n)
	for i := range n {
		servers := []string{fmt.Sprintf("n%d", i%1000), fmt.Sprintf("n%d", (i+1)%1000)}
		s := &Shard{ID: ID(i + 1), State: Serving, Replicas: replicasOn(servers...)}
		if i > 0 {
			s.From = Key(fmt.Sprintf("p%07d@2000", i))
		}
		if i+1 < n {
			s.To = Key(fmt.Sprintf("p%07d@2000", i+1))
		}
		shards[i] = s
	}
	m, err := New("captions", 1, ID(n+1), shards)
	if err != nil {
		panic(err)
	}
	return m
}

// sortedSlice contains shards in the order of their ranges. It is the baseline for look-ups by key.
type sortedSlice []*Shard

func (s sortedSlice) lookup(key Key) *Shard {
	compare := func(shard *Shard, key Key) int { return cmp.Compare(shard.From, key) }
	i, found := slices.BinarySearchFunc(s, key, compare)
	if !found {
		i--
	}
	return s[i]
}

// sliceAndMap returns the active shards in the baseline structures: a sorted slice, and a Go map by id.
func sliceAndMap(m *Map) (flat sortedSlice, byID map[ID]*Shard) {
	byID = map[ID]*Shard{}
	for s := range m.Active {
		flat = append(flat, s)
		byID[s.ID] = s
	}
	return flat, byID
}

// sink prevents the compiler from optimizing away the measured code.
var sink *Shard

// BenchmarkLookup measures look-ups by key in the tree and in a sorted slice, and by id in the tree and in a Go map.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		m := largeMap(n)
		flat, byID := sliceAndMap(m)
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

// BenchmarkChange measures the time and the unshared memory of an epoch that changes the weight of one shard.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		m := largeMap(n)
		flat, byID := sliceAndMap(m)
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
				for id, s := range byID {
					ids[id] = s
				}
				ids[c.ID] = &c
				sink = next[k]
			}
		})
	}
}

// BenchmarkPin measures the cost for a query of pinning and releasing an epoch.
func BenchmarkPin(b *testing.B) {
	for _, n := range []int{1, 100, 10_000} {
		vs := newViews(b, ViewOptions{MaxPinnedEpochs: 8, MaxPinnedAge: time.Minute, WarmupMinFraction: 1}, largeMap(n))
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

// heapMegabytes returns the size of the live heap.
func heapMegabytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// A map of a million shards is parsed, adopted and changed a hundred times, and the time and memory of each step are
// logged. Run it with -run Million -v and ROOKTRESTLE_LONG=1.
func TestMillionShards(t *testing.T) {
	if !longRuns() {
		t.Skip("long: set ROOKTRESTLE_LONG=1")
	}
	text := largeMap(1_000_000).Encode()
	heapBefore, start := heapMegabytes(), time.Now()
	first, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%.0f MB of text parsed in %v; %.0f MB of heap",
		float64(len(text))/(1<<20), time.Since(start), heapMegabytes()-heapBefore)
	vs := newViews(t, ViewOptions{MaxPinnedEpochs: 200, MaxPinnedAge: time.Hour, WarmupMinFraction: 1}, first)
	current := changeAHundredTimes(t, vs, first)
	reparsed, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	start = time.Now()
	changes := Diff(reparsed, current)
	t.Logf("%d differences found in %v", len(changes), time.Since(start))
	start = time.Now()
	if err := current.ValidateSuccession(reparsed); err != nil {
		t.Fatal(err)
	}
	t.Logf("the succession over a hundred epochs validated in %v", time.Since(start))
	offerReparsed(t, vs, current)
	runtime.KeepAlive(reparsed)
}

// changeAHundredTimes adopts a hundred epochs, each pinned, releases them and returns the last.
func changeAHundredTimes(t *testing.T, vs *Views, m *Map) *Map {
	t.Helper()
	heapBefore, start := heapMegabytes(), time.Now()
	var pins []*View
	var offering time.Duration
	for i := range 100 {
		pins = append(pins, vs.Pin())
		s := *m.Shard(ID(1 + i*7919))
		s.Weight = 2
		var err error
		if m, err = m.Change([]*Shard{&s}, nil); err != nil {
			t.Fatal(err)
		}
		offerStart := time.Now()
		if _, err := vs.Offer(origin, m); err != nil {
			t.Fatal(err)
		}
		offering += time.Since(offerStart)
	}
	t.Logf("100 changes in %v, %v of it to validate and adopt them; 100 epochs pinned: %.2f MB more",
		time.Since(start), offering, heapMegabytes()-heapBefore)
	for _, v := range pins {
		vs.Release(v)
	}
	t.Logf("released: %.2f MB more than one epoch", heapMegabytes()-heapBefore)
	return m
}

// offerReparsed encodes and parses the current map, and offers the result, which shares memory with the current one.
func offerReparsed(t *testing.T, vs *Views, current *Map) {
	t.Helper()
	parsed, err := Parse(current.Encode())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	shared := parsed.ShareWith(current)
	t.Logf("shared with the current map in %v", time.Since(start))
	start = time.Now()
	if adopted, err := vs.Offer(origin, shared); adopted || err != nil {
		t.Fatal(adopted, err)
	}
	t.Logf("recognized as unchanged in %v", time.Since(start))
}
