package persistentmap

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

const maxKey = 900

// version is a map and its model, a Go map of the same entries.
type version struct {
	m     Map[int, int]
	model map[int]int
}

// Random changes are compared with a Go map, and some versions are retained: later changes do not affect them, and
// look-ups and differences agree with the model.
func FuzzTree(f *testing.F) {
	f.Add(uint64(1), uint16(500))
	f.Add(uint64(2), uint16(4000))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		first := version{model: map[int]int{}}
		if seed%2 == 0 {
			first = builtVersion(rng)
		}
		versions := randomVersions(rng, first, int(steps%6000))
		for range 20 {
			checkDiff(t, versions[rng.IntN(len(versions))], versions[rng.IntN(len(versions))])
		}
		for _, v := range versions {
			checkEntries(t, v)
			for range 50 {
				checkLookUps(t, v, rng.IntN(maxKey))
			}
		}
	})
}

// builtVersion returns a map built from a random number of entries.
func builtVersion(rng *rand.Rand) version {
	var keys, values []int
	model := map[int]int{}
	for i := range rng.IntN(300) {
		keys = append(keys, 3*i)
		values = append(values, i)
		model[3*i] = i
	}
	return version{m: Build(keys, values), model: model}
}

// randomVersions makes random changes to a map, starting from first, whose model it modifies. It returns some of the
// versions and the last one.
func randomVersions(rng *rand.Rand, first version, steps int) (versions []version) {
	m := first.m
	model := first.model
	for i := range steps {
		key := rng.IntN(maxKey)
		if rng.IntN(3) == 0 {
			m = m.Delete(key)
			delete(model, key)
		} else {
			m = m.Set(key, i)
			model[key] = i
		}
		if rng.IntN(100) == 0 {
			versions = append(versions, version{m: m, model: maps.Clone(model)})
		}
	}
	return append(versions, version{m: m, model: model})
}

func checkDiff(t *testing.T, before, after version) {
	t.Helper()
	differs := map[int]bool{}
	last := -1
	Diff(before.m, after.m, func(d Difference[int, int]) bool {
		wantBefore, inBefore := before.model[d.Key]
		wantAfter, inAfter := after.model[d.Key]
		switch {
		case d.Key <= last:
			t.Fatalf("key %d was yielded after %d", d.Key, last)
		case inBefore != d.InBefore || inAfter != d.InAfter,
			d.Before != wantBefore || d.After != wantAfter:
			t.Fatalf("want %d %v and %d %v, got %+v", wantBefore, inBefore, wantAfter, inAfter, d)
		case inBefore && inAfter && d.Before == d.After:
			t.Fatalf("equal values were yielded: %+v", d)
		}
		differs[d.Key] = true
		last = d.Key
		return true
	})
	for key := range maxKey {
		valueBefore, inBefore := before.model[key]
		valueAfter, inAfter := after.model[key]
		if (inBefore != inAfter || valueBefore != valueAfter) != differs[key] {
			t.Fatalf("key %d: was yielded: %v, want %v", key, differs[key], !differs[key])
		}
	}
}

func checkEntries(t *testing.T, v version) {
	t.Helper()
	want := slices.Sorted(maps.Keys(v.model))
	var keys []int
	for key := range v.m.All {
		keys = append(keys, key)
	}
	if !slices.Equal(keys, want) || v.m.Len() != len(want) {
		t.Fatalf("%d entries %v, want %v", v.m.Len(), keys, want)
	}
}

func checkLookUps(t *testing.T, v version, key int) {
	t.Helper()
	keys := slices.Sorted(maps.Keys(v.model))
	from, found := slices.BinarySearch(keys, key) // from is the position of the first key not below
	if value, ok := v.m.Get(key); ok != found || value != v.model[key] {
		t.Fatalf("get %d: got %v %v, want %v %v", key, value, ok, v.model[key], found)
	}
	floor := from
	if !found {
		floor--
	}
	if k, value, ok := v.m.Floor(key); ok != (floor >= 0) || ok && (k != keys[floor] || value != v.model[k]) {
		t.Fatalf("floor of %d: got %v %v", key, k, ok)
	}
	if k, _, ok := v.m.Below(key); ok != (from > 0) || ok && k != keys[from-1] {
		t.Fatalf("below %d: got %v %v", key, k, ok)
	}
	if k, _, ok := v.m.Last(); ok != (len(keys) > 0) || ok && k != keys[len(keys)-1] {
		t.Fatalf("last: got %v %v", k, ok)
	}
	var ascending []int
	v.m.Ascend(key, func(key, _ int) bool {
		ascending = append(ascending, key)
		return len(ascending) < 5
	})
	if !slices.Equal(ascending, keys[from:min(from+5, len(keys))]) {
		t.Fatalf("ascend from %d: got %v", key, ascending)
	}
}
