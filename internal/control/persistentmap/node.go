package persistentmap

import (
	"cmp"
	"slices"
)

// maxEntries is the maximum number of entries of a node: large enough that a look-up visits few nodes, and small enough
// that copying a path is cheap.
const maxEntries = 32

// node is either a leaf with values, or an inner node with children, whose keys[i] is the smallest key in the subtree
// of children[i]. A node is never changed once it is in a map.
type node[K cmp.Ordered, V any] struct {
	keys     []K
	values   []V
	children []*node[K, V]
}

func (n *node[K, V]) isLeaf() bool { return n.children == nil }

// floor returns the position of the greatest key less than or equal to the given one; -1 if there is none.
func (n *node[K, V]) floor(key K) int {
	i, found := slices.BinarySearch(n.keys, key)
	if found {
		return i
	}
	return i - 1
}

// ascend calls yield for each entry from a key on, and reports whether it never returned false.
func (n *node[K, V]) ascend(from K, yield func(K, V) bool) bool {
	for i := max(0, n.floor(from)); i < len(n.keys); i++ {
		if !n.isLeaf() {
			if !n.children[i].ascend(from, yield) {
				return false
			}
		} else if n.keys[i] >= from && !yield(n.keys[i], n.values[i]) {
			return false
		}
	}
	return true
}

// set returns a copy of the node in which the key has the value. A copy with too many entries is split; otherwise right
// is nil. added reports whether the key is new.
func (n *node[K, V]) set(key K, value V) (left, right *node[K, V], added bool) {
	if n.isLeaf() {
		return n.setInLeaf(key, value)
	}
	i := max(n.floor(key), 0)
	childLeft, childRight, added := n.children[i].set(key, value)
	changed := n.withChild(i, childLeft)
	if childRight != nil {
		changed.keys = withInserted(changed.keys, i+1, childRight.keys[0])
		changed.children = withInserted(changed.children, i+1, childRight)
	}
	left, right = changed.split()
	return left, right, added
}

// setInLeaf implements set for a leaf.
func (n *node[K, V]) setInLeaf(key K, value V) (left, right *node[K, V], added bool) {
	i := n.floor(key)
	if i >= 0 && n.keys[i] == key {
		replaced := &node[K, V]{keys: n.keys, values: slices.Clone(n.values)}
		replaced.values[i] = value
		return replaced, nil, false
	}
	grown := &node[K, V]{
		keys:   withInserted(n.keys, i+1, key),
		values: withInserted(n.values, i+1, value),
	}
	left, right = grown.split()
	return left, right, true
}

// withChild returns a copy of the node in which the child at a position is replaced.
func (n *node[K, V]) withChild(i int, child *node[K, V]) *node[K, V] {
	changed := &node[K, V]{keys: slices.Clone(n.keys), children: slices.Clone(n.children)}
	changed.keys[i] = child.keys[0]
	changed.children[i] = child
	return changed
}

// split returns the node, or two halves of it if it has too many entries.
func (n *node[K, V]) split() (left, right *node[K, V]) {
	if len(n.keys) <= maxEntries {
		return n, nil
	}
	middle := len(n.keys) / 2
	left = &node[K, V]{keys: slices.Clone(n.keys[:middle])}
	right = &node[K, V]{keys: slices.Clone(n.keys[middle:])}
	if n.isLeaf() {
		left.values = slices.Clone(n.values[:middle])
		right.values = slices.Clone(n.values[middle:])
	} else {
		left.children = slices.Clone(n.children[:middle])
		right.children = slices.Clone(n.children[middle:])
	}
	return left, right
}

// remove returns a copy of the node without the key, or nil if the copy would be empty, and whether the node contained
// the key.
func (n *node[K, V]) remove(key K) (remaining *node[K, V], removed bool) {
	i := n.floor(key)
	if i < 0 {
		return n, false
	}
	if n.isLeaf() {
		if n.keys[i] != key {
			return n, false
		}
		if len(n.keys) == 1 {
			return nil, true
		}
		return &node[K, V]{keys: without(n.keys, i), values: without(n.values, i)}, true
	}
	child, removed := n.children[i].remove(key)
	if !removed {
		return n, false
	}
	if child == nil {
		if len(n.keys) == 1 {
			return nil, true
		}
		return &node[K, V]{keys: without(n.keys, i), children: without(n.children, i)}, true
	}
	changed := n.withChild(i, child)
	changed.mergeChild(i)
	return changed, true
}

// mergeChild merges a child with a neighbor if both together fill at most half a node: the tree stays shallow, and a
// key that is set right afterwards does not split the merged node. It modifies n, which must not be in a map yet.
func (n *node[K, V]) mergeChild(i int) {
	if i+1 >= len(n.children) {
		i--
	}
	if i < 0 {
		return
	}
	left := n.children[i]
	right := n.children[i+1]
	if len(left.keys)+len(right.keys) > maxEntries/2 {
		return
	}
	merged := &node[K, V]{keys: slices.Concat(left.keys, right.keys)}
	if left.isLeaf() {
		merged.values = slices.Concat(left.values, right.values)
	} else {
		merged.children = slices.Concat(left.children, right.children)
	}
	n.children[i] = merged
	n.keys = without(n.keys, i+1)
	n.children = without(n.children, i+1)
}

// withInserted returns a copy of a slice with an element inserted.
func withInserted[T any](elements []T, i int, element T) []T {
	grown := make([]T, len(elements)+1)
	copy(grown, elements[:i])
	grown[i] = element
	copy(grown[i+1:], elements[i:])
	return grown
}

// without returns a copy of a slice without an element.
func without[T any](elements []T, i int) []T {
	remaining := make([]T, 0, len(elements)-1)
	remaining = append(remaining, elements[:i]...)
	return append(remaining, elements[i+1:]...)
}
