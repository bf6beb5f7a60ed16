package persistentmap

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

func list[V any](t Tree[int, V]) (keys []int) {
	t.All(func(k int, _ V) bool {
		keys = append(keys, k)
		return true
	})
	return keys
}

// Random steps against plain maps, of which old versions are kept: no version ever changes, look-ups agree.
func FuzzTree(f *testing.F) {
	f.Add(uint64(1), uint16(500))
	f.Add(uint64(2), uint16(4000))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var tree Tree[int, int]
		model := map[int]int{}
		if seed%2 == 0 {
			var keys, vals []int
			for i := range rng.IntN(300) {
				keys, vals = append(keys, 3*i), append(vals, i)
				model[3*i] = i
			}
			tree = Build(keys, vals)
		}
		type version struct {
			t Tree[int, int]
			m map[int]int
		}
		var old []version
		for i := range steps % 6000 {
			k := rng.IntN(900)
			if rng.IntN(3) == 0 {
				tree = tree.Delete(k)
				delete(model, k)
			} else {
				tree = tree.Set(k, int(i))
				model[k] = int(i)
			}
			if rng.IntN(100) == 0 {
				old = append(old, version{tree, maps.Clone(model)})
			}
		}
		all := append(old, version{tree, model})
		for range 20 { // differences between any two versions
			a, b := all[rng.IntN(len(all))], all[rng.IntN(len(all))]
			got, last := map[int]bool{}, -1
			Diff(a.t, b.t, func(k int, inA, inB bool, va, vb int) bool {
				wa, okA := a.m[k]
				wb, okB := b.m[k]
				if k <= last || okA != inA || okB != inB || inA && va != wa || inB && vb != wb || inA && inB && va == vb {
					t.Fatalf("difference at %d: %v %v %d %d", k, inA, inB, va, vb)
				}
				got[k], last = true, k
				return true
			})
			for k := range 900 {
				wa, okA := a.m[k]
				wb, okB := b.m[k]
				if (okA != okB || wa != wb) != got[k] {
					t.Fatalf("difference at %d: %v", k, got[k])
				}
			}
		}
		for _, v := range all {
			want := slices.Sorted(maps.Keys(v.m))
			if got := list(v.t); !slices.Equal(got, want) || v.t.Len() != len(want) {
				t.Fatalf("%v, want %v", got, want)
			}
			for range 50 {
				k := rng.IntN(900)
				i, found := slices.BinarySearch(want, k)
				if got, ok := v.t.Get(k); ok != found || got != v.m[k] {
					t.Fatalf("get %d: %v %v, want %v", k, got, ok, v.m[k])
				}
				if !found {
					i--
				}
				if at, got, ok := v.t.Floor(k); ok != (i >= 0) || ok && (at != want[i] || got != v.m[at]) {
					t.Fatalf("floor %d: %v %v", k, at, ok)
				}
				below, _ := slices.BinarySearch(want, k)
				if at, _, ok := v.t.Below(k); ok != (below > 0) || ok && at != want[below-1] {
					t.Fatalf("below %d: %v %v", k, at, ok)
				}
				if at, _, ok := v.t.Last(); ok != (len(want) > 0) || ok && at != want[len(want)-1] {
					t.Fatalf("last: %v %v", at, ok)
				}
				var rest []int
				v.t.Ascend(k, func(k, _ int) bool { rest = append(rest, k); return len(rest) < 5 })
				from, _ := slices.BinarySearch(want, k)
				if !slices.Equal(rest, want[from:min(from+5, len(want))]) {
					t.Fatalf("ascend %d: %v", k, rest)
				}
			}
		}
	})
}
