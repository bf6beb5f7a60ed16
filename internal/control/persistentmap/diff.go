package persistentmap

import "cmp"

// cursor stands before an entry of a tree. What is on its stack was entered at its first entry or later.
type cursor[K cmp.Ordered, V any] struct {
	path []frame[K, V]
}

type frame[K cmp.Ordered, V any] struct {
	n *node[K, V]
	i int
}

func (c *cursor[K, V]) enter(n *node[K, V]) {
	for n != nil {
		c.path = append(c.path, frame[K, V]{n, 0})
		if n.kids == nil {
			return
		}
		n = n.kids[0]
	}
}

func (c *cursor[K, V]) done() bool { return len(c.path) == 0 }

func (c *cursor[K, V]) at() (K, V) {
	f := c.path[len(c.path)-1]
	return f.n.keys[f.i], f.n.vals[f.i]
}

// skip goes past the node at a depth of the path, which the cursor stands at the beginning of.
func (c *cursor[K, V]) skip(depth int) {
	c.path = c.path[:depth]
	c.step()
}

// step goes to what comes behind the last frame's present entry or kid.
func (c *cursor[K, V]) step() {
	for len(c.path) > 0 {
		f := &c.path[len(c.path)-1]
		if f.i++; f.i < len(f.n.keys) {
			if f.n.kids != nil {
				c.enter(f.n.kids[f.i])
			}
			return
		}
		c.path = c.path[:len(c.path)-1]
	}
}

// begins is the least depth of which the cursor stands at the node's beginning.
func (c *cursor[K, V]) begins() int {
	d := len(c.path)
	for d > 0 && c.path[d-1].i == 0 {
		d--
	}
	return d
}

// Diff calls f for each key whose value is not the same in two trees, in order, until f returns false. What the trees
// share is passed over: the cost is that of what they do not.
func Diff[K cmp.Ordered, V comparable](a, b Tree[K, V], f func(k K, inA, inB bool, va, vb V) bool) {
	var ca, cb cursor[K, V]
	ca.enter(a.root)
	cb.enter(b.root)
	var none V
	for !ca.done() || !cb.done() {
		if !ca.done() && !cb.done() {
			if passed := pass(&ca, &cb); passed {
				continue
			}
		}
		switch {
		case cb.done():
			k, v := ca.at()
			if !f(k, true, false, v, none) {
				return
			}
			ca.step()
		case ca.done():
			k, v := cb.at()
			if !f(k, false, true, none, v) {
				return
			}
			cb.step()
		default:
			ka, va := ca.at()
			kb, vb := cb.at()
			switch {
			case ka < kb:
				if !f(ka, true, false, va, none) {
					return
				}
				ca.step()
			case kb < ka:
				if !f(kb, false, true, none, vb) {
					return
				}
				cb.step()
			default:
				if va != vb && !f(ka, true, true, va, vb) {
					return
				}
				ca.step()
				cb.step()
			}
		}
	}
}

// pass goes past the largest node that both cursors stand at the beginning of.
func pass[K cmp.Ordered, V any](a, b *cursor[K, V]) bool {
	for da := a.begins(); da < len(a.path); da++ {
		for db := b.begins(); db < len(b.path); db++ {
			if a.path[da].n == b.path[db].n {
				a.skip(da)
				b.skip(db)
				return true
			}
		}
	}
	return false
}
