// Package ptree is an ordered map that never changes: Set and Delete return a new one that shares all but the path to
// the change with the old. It is a B+-like tree by path copying, made for maps of which many versions are held at once
// and each differs little from the last.
package persistentmap

import (
	"cmp"
	"slices"
)

// width is the most entries of a node: wide enough that a look-up meets few, narrow enough that a copied path is small.
const width = 32

// Tree is an ordered map. The zero value is empty. Any number of goroutines may read one.
type Tree[K cmp.Ordered, V any] struct {
	root *node[K, V]
	size int
}

// node is a leaf, with values, or has kids; keys[i] is then the least key below kids[i].
type node[K cmp.Ordered, V any] struct {
	keys []K
	vals []V
	kids []*node[K, V]
}

// Len is the number of entries.
func (t Tree[K, V]) Len() int { return t.size }

// floor is the position of the greatest key that is not over k; -1 if there is none.
func (n *node[K, V]) floor(k K) int {
	i, found := slices.BinarySearch(n.keys, k)
	if found {
		return i
	}
	return i - 1
}

// Get returns the value of a key.
func (t Tree[K, V]) Get(k K) (v V, ok bool) {
	at, v, ok := t.Floor(k)
	if !ok || at != k {
		var zero V
		return zero, false
	}
	return v, true
}

// Floor returns the entry with the greatest key that is not over k.
func (t Tree[K, V]) Floor(k K) (at K, v V, ok bool) {
	n := t.root
	if n == nil {
		return at, v, false
	}
	for {
		i := n.floor(k)
		if i < 0 {
			return at, v, false // only at the root: below it the least key is that of the path
		}
		if n.kids == nil {
			return n.keys[i], n.vals[i], true
		}
		n = n.kids[i]
	}
}

// Below returns the entry with the greatest key under k.
func (t Tree[K, V]) Below(k K) (at K, v V, ok bool) {
	n := t.root
	for n != nil {
		i, _ := slices.BinarySearch(n.keys, k)
		if i--; i < 0 {
			break
		}
		if n.kids == nil {
			return n.keys[i], n.vals[i], true
		}
		n = n.kids[i]
	}
	return at, v, false
}

// Last returns the entry with the greatest key.
func (t Tree[K, V]) Last() (at K, v V, ok bool) {
	n := t.root
	for n != nil && n.kids != nil {
		n = n.kids[len(n.kids)-1]
	}
	if n == nil {
		return at, v, false
	}
	return n.keys[len(n.keys)-1], n.vals[len(n.vals)-1], true
}

// Ascend calls f for each entry from a key on, in order, until f returns false.
func (t Tree[K, V]) Ascend(from K, f func(K, V) bool) {
	if t.root != nil {
		t.root.ascend(from, f)
	}
}

// All calls f for each entry in order, until f returns false.
func (t Tree[K, V]) All(f func(K, V) bool) {
	if t.root != nil && len(t.root.keys) > 0 {
		t.root.ascend(t.root.keys[0], f)
	}
}

func (n *node[K, V]) ascend(from K, f func(K, V) bool) bool {
	for i := max(0, n.floor(from)); i < len(n.keys); i++ {
		if n.kids != nil {
			if !n.kids[i].ascend(from, f) {
				return false
			}
		} else if n.keys[i] >= from && !f(n.keys[i], n.vals[i]) {
			return false
		}
	}
	return true
}

// Set returns a tree in which a key has a value.
func (t Tree[K, V]) Set(k K, v V) Tree[K, V] {
	if t.root == nil {
		return Tree[K, V]{&node[K, V]{keys: []K{k}, vals: []V{v}}, 1}
	}
	left, right, added := t.root.set(k, v)
	if added {
		t.size++
	}
	t.root = left
	if right != nil {
		t.root = &node[K, V]{keys: []K{left.keys[0], right.keys[0]}, kids: []*node[K, V]{left, right}}
	}
	return t
}

// set returns the node with a value set, in two halves where it has become too wide.
func (n *node[K, V]) set(k K, v V) (left, right *node[K, V], added bool) {
	i := n.floor(k)
	if n.kids == nil {
		if i >= 0 && n.keys[i] == k {
			c := &node[K, V]{keys: n.keys, vals: slices.Clone(n.vals)}
			c.vals[i] = v
			return c, nil, false
		}
		c := &node[K, V]{keys: insert(n.keys, i+1, k), vals: insert(n.vals, i+1, v)}
		left, right = c.split()
		return left, right, true
	}
	i = max(i, 0)
	l, r, added := n.kids[i].set(k, v)
	c := &node[K, V]{keys: slices.Clone(n.keys), kids: slices.Clone(n.kids)}
	c.keys[i], c.kids[i] = l.keys[0], l
	if r != nil {
		c.keys, c.kids = insert(c.keys, i+1, r.keys[0]), insert(c.kids, i+1, r)
	}
	left, right = c.split()
	return left, right, added
}

// insert returns a new slice.
func insert[T any](s []T, i int, v T) []T {
	out := make([]T, len(s)+1)
	copy(out, s[:i])
	out[i] = v
	copy(out[i+1:], s[i:])
	return out
}

func (n *node[K, V]) split() (left, right *node[K, V]) {
	if len(n.keys) <= width {
		return n, nil
	}
	m := len(n.keys) / 2
	left, right = &node[K, V]{keys: slices.Clone(n.keys[:m])}, &node[K, V]{keys: slices.Clone(n.keys[m:])}
	if n.kids == nil {
		left.vals, right.vals = slices.Clone(n.vals[:m]), slices.Clone(n.vals[m:])
	} else {
		left.kids, right.kids = slices.Clone(n.kids[:m]), slices.Clone(n.kids[m:])
	}
	return left, right
}

// Delete returns a tree without a key.
func (t Tree[K, V]) Delete(k K) Tree[K, V] {
	if t.root == nil {
		return t
	}
	root, gone := t.root.remove(k)
	if !gone {
		return t
	}
	for root != nil && len(root.kids) == 1 {
		root = root.kids[0]
	}
	return Tree[K, V]{root, t.size - 1}
}

// remove returns the node without a key; nil where nothing is left of it.
func (n *node[K, V]) remove(k K) (*node[K, V], bool) {
	i := n.floor(k)
	if i < 0 {
		return n, false
	}
	if n.kids == nil {
		if n.keys[i] != k {
			return n, false
		}
		if len(n.keys) == 1 {
			return nil, true
		}
		return &node[K, V]{keys: without(n.keys, i), vals: without(n.vals, i)}, true
	}
	kid, gone := n.kids[i].remove(k)
	if !gone {
		return n, false
	}
	if kid == nil {
		if len(n.keys) == 1 {
			return nil, true
		}
		return &node[K, V]{keys: without(n.keys, i), kids: without(n.kids, i)}, true
	}
	c := &node[K, V]{keys: slices.Clone(n.keys), kids: slices.Clone(n.kids)}
	c.keys[i], c.kids[i] = kid.keys[0], kid
	c.join(i)
	return c, true
}

func without[T any](s []T, i int) []T {
	out := make([]T, 0, len(s)-1)
	return append(append(out, s[:i]...), s[i+1:]...)
}

// join puts a kid together with its neighbour where both fit into half a node: look-ups stay short, and a set right
// after does not split them again.
func (n *node[K, V]) join(i int) {
	if i+1 >= len(n.kids) {
		i--
	}
	if i < 0 {
		return
	}
	a, b := n.kids[i], n.kids[i+1]
	if len(a.keys)+len(b.keys) > width/2 {
		return
	}
	m := &node[K, V]{keys: slices.Concat(a.keys, b.keys)}
	if a.kids == nil {
		m.vals = slices.Concat(a.vals, b.vals)
	} else {
		m.kids = slices.Concat(a.kids, b.kids)
	}
	n.kids[i] = m
	n.keys, n.kids = without(n.keys, i+1), without(n.kids, i+1)
}

// Build returns a tree of entries, which stand in the order of their keys, without repeats. It costs less than to set
// them one by one.
func Build[K cmp.Ordered, V any](keys []K, vals []V) Tree[K, V] {
	if len(keys) == 0 {
		return Tree[K, V]{}
	}
	const fill = width * 3 / 4 // room for what is set later
	var level []*node[K, V]
	for i := 0; i < len(keys); i += fill {
		end := min(i+fill, len(keys))
		level = append(level, &node[K, V]{keys: slices.Clone(keys[i:end]), vals: slices.Clone(vals[i:end])})
	}
	for len(level) > 1 {
		var up []*node[K, V]
		for i := 0; i < len(level); i += fill {
			end := min(i+fill, len(level))
			n := &node[K, V]{kids: slices.Clone(level[i:end])}
			for _, k := range n.kids {
				n.keys = append(n.keys, k.keys[0])
			}
			up = append(up, n)
		}
		level = up
	}
	return Tree[K, V]{level[0], len(keys)}
}
