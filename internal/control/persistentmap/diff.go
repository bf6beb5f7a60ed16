package persistentmap

import "cmp"

// Difference is a key whose values differ between two maps.
type Difference[K cmp.Ordered, V comparable] struct {
	Key      K
	InBefore bool
	Before   V // zero unless InBefore
	InAfter  bool
	After    V // zero unless InAfter
}

// Diff calls yield for each key whose value differs between two maps, in ascending order, until it returns false. Nodes
// that the maps share are skipped, so the cost depends on the other nodes only.
func Diff[K cmp.Ordered, V comparable](before, after Map[K, V], yield func(Difference[K, V]) bool) {
	var a, b cursor[K, V]
	a.enter(before.root)
	b.enter(after.root)
	for !a.done() || !b.done() {
		if !a.done() && !b.done() && skipShared(&a, &b) {
			continue
		}
		d := nextDifference(&a, &b)
		if d.Before == d.After && d.InBefore == d.InAfter {
			continue
		}
		if !yield(d) {
			return
		}
	}
}

// nextDifference compares the entries at two cursors, at most one of which may be done. It advances the cursor with the
// smaller key, or both if the keys are equal; then the values may be equal, too.
func nextDifference[K cmp.Ordered, V comparable](before, after *cursor[K, V]) (d Difference[K, V]) {
	order := 0
	switch {
	case after.done():
		order = -1
	case before.done():
		order = 1
	default:
		order = cmp.Compare(before.key(), after.key())
	}
	if order <= 0 {
		d.Key = before.key()
		d.Before = before.value()
		d.InBefore = true
		before.step()
	}
	if order >= 0 {
		d.Key = after.key()
		d.After = after.value()
		d.InAfter = true
		after.step()
	}
	return d
}

// cursor is the position of an entry in a map. Each node is entered at its first entry.
type cursor[K cmp.Ordered, V any] struct {
	path []frame[K, V] // from the root to a leaf; empty: past the last entry
}

// frame is a node on a cursor's path, and the position of the entry or child that the cursor is at.
type frame[K cmp.Ordered, V any] struct {
	node     *node[K, V]
	position int
}

// enter descends to the first entry of a node.
func (c *cursor[K, V]) enter(n *node[K, V]) {
	for n != nil {
		c.path = append(c.path, frame[K, V]{node: n})
		if n.isLeaf() {
			return
		}
		n = n.children[0]
	}
}

func (c *cursor[K, V]) done() bool { return len(c.path) == 0 }

func (c *cursor[K, V]) last() *frame[K, V] { return &c.path[len(c.path)-1] }

func (c *cursor[K, V]) key() K {
	f := c.last()
	return f.node.keys[f.position]
}

func (c *cursor[K, V]) value() V {
	f := c.last()
	return f.node.values[f.position]
}

// step advances past the current entry or child of the last node on the path.
func (c *cursor[K, V]) step() {
	for len(c.path) > 0 {
		f := c.last()
		f.position++
		if f.position < len(f.node.keys) {
			if !f.node.isLeaf() {
				c.enter(f.node.children[f.position])
			}
			return
		}
		c.path = c.path[:len(c.path)-1]
	}
}

// skip advances past the node at a depth of the path. The cursor must be at the node's first entry.
func (c *cursor[K, V]) skip(depth int) {
	c.path = c.path[:depth]
	c.step()
}

// firstAtBeginning returns the depth of the topmost node on the path at whose first entry the cursor is, or the length
// of the path if there is none.
func (c *cursor[K, V]) firstAtBeginning() int {
	depth := len(c.path)
	for depth > 0 && c.path[depth-1].position == 0 {
		depth--
	}
	return depth
}

// skipShared advances both cursors past the largest shared node that both are at the beginning of, and reports whether
// there is one.
func skipShared[K cmp.Ordered, V any](a, b *cursor[K, V]) bool {
	for depthA := a.firstAtBeginning(); depthA < len(a.path); depthA++ {
		for depthB := b.firstAtBeginning(); depthB < len(b.path); depthB++ {
			if a.path[depthA].node == b.path[depthB].node {
				a.skip(depthA)
				b.skip(depthB)
				return true
			}
		}
	}
	return false
}
