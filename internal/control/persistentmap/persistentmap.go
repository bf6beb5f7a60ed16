// Package persistentmap implements an immutable ordered map: Set and Delete return a new map, which shares all nodes
// but those on the path to the change with the old one. It is a tree like a B+ tree with path copying, suited to
// retaining many versions of a map that differ little.
package persistentmap

import (
	"cmp"
	"slices"
)

// Map is an immutable ordered map, safe for concurrent use. The zero value is empty.
type Map[K cmp.Ordered, V any] struct {
	root *node[K, V]
	size int
}

// Len returns the number of entries.
func (m Map[K, V]) Len() int { return m.size }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (value V, ok bool) {
	found, value, ok := m.Floor(key)
	if !ok || found != key {
		var zero V
		return zero, false
	}
	return value, true
}

// Floor returns the entry with the greatest key less than or equal to the given one.
func (m Map[K, V]) Floor(key K) (found K, value V, ok bool) {
	n := m.root
	if n == nil {
		return found, value, false
	}
	for {
		i := n.floor(key)
		if i < 0 {
			return found, value, false // only at the root: a child's smallest key is its key in the parent
		}
		if n.isLeaf() {
			return n.keys[i], n.values[i], true
		}
		n = n.children[i]
	}
}

// Below returns the entry with the greatest key less than the given one.
func (m Map[K, V]) Below(key K) (found K, value V, ok bool) {
	n := m.root
	for n != nil {
		firstNotBelow, _ := slices.BinarySearch(n.keys, key)
		i := firstNotBelow - 1
		if i < 0 {
			break
		}
		if n.isLeaf() {
			return n.keys[i], n.values[i], true
		}
		n = n.children[i]
	}
	return found, value, false
}

// Last returns the entry with the greatest key.
func (m Map[K, V]) Last() (key K, value V, ok bool) {
	n := m.root
	for n != nil && !n.isLeaf() {
		n = n.children[len(n.children)-1]
	}
	if n == nil {
		return key, value, false
	}
	return n.keys[len(n.keys)-1], n.values[len(n.values)-1], true
}

// Ascend calls yield for each entry from a key on, in order, until it returns false.
func (m Map[K, V]) Ascend(from K, yield func(K, V) bool) {
	if m.root != nil {
		m.root.ascend(from, yield)
	}
}

// All calls yield for each entry in order, until it returns false.
func (m Map[K, V]) All(yield func(K, V) bool) {
	if m.root != nil && len(m.root.keys) > 0 {
		m.root.ascend(m.root.keys[0], yield)
	}
}

// Set returns a copy of m in which the key has the value.
func (m Map[K, V]) Set(key K, value V) Map[K, V] {
	if m.root == nil {
		leaf := &node[K, V]{keys: []K{key}, values: []V{value}}
		return Map[K, V]{root: leaf, size: 1}
	}
	left, right, added := m.root.set(key, value)
	if added {
		m.size++
	}
	m.root = left
	if right != nil {
		m.root = &node[K, V]{
			keys:     []K{left.keys[0], right.keys[0]},
			children: []*node[K, V]{left, right},
		}
	}
	return m
}

// Delete returns a copy of m without the key, or m itself if it does not contain the key.
func (m Map[K, V]) Delete(key K) Map[K, V] {
	if m.root == nil {
		return m
	}
	root, removed := m.root.remove(key)
	if !removed {
		return m
	}
	for root != nil && len(root.children) == 1 {
		root = root.children[0]
	}
	return Map[K, V]{root: root, size: m.size - 1}
}

// buildEntries is the number of entries that Build puts in a node: fewer than maxEntries, so that some keys can be
// added later without a split.
const buildEntries = maxEntries * 3 / 4

// Build returns a map of the given entries, whose keys must be in ascending order without duplicates. It costs less
// than setting them one by one.
func Build[K cmp.Ordered, V any](keys []K, values []V) Map[K, V] {
	if len(keys) == 0 {
		return Map[K, V]{}
	}
	var level []*node[K, V]
	for i := 0; i < len(keys); i += buildEntries {
		end := min(i+buildEntries, len(keys))
		level = append(level, &node[K, V]{
			keys:   slices.Clone(keys[i:end]),
			values: slices.Clone(values[i:end]),
		})
	}
	for len(level) > 1 {
		level = buildParents(level)
	}
	return Map[K, V]{root: level[0], size: len(keys)}
}

// buildParents returns the parents of a level of nodes.
func buildParents[K cmp.Ordered, V any](level []*node[K, V]) (parents []*node[K, V]) {
	for i := 0; i < len(level); i += buildEntries {
		end := min(i+buildEntries, len(level))
		parent := &node[K, V]{children: slices.Clone(level[i:end])}
		for _, child := range parent.children {
			parent.keys = append(parent.keys, child.keys[0])
		}
		parents = append(parents, parent)
	}
	return parents
}
