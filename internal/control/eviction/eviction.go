// Package room decides which connection goes when a new one needs its place: never one with an operation in hand, nor
// one whose state was used lately; of the others first those that have asked nothing yet, then those that are idle,
// and last those that keep state. Of equals the one that has been so longest. It does no I/O and reads no clock.
package eviction

import (
	"container/list"
	"time"
)

// Class is what a connection is to its listener. Lower ones go first.
type Class int

const (
	Unused   Class = iota // nothing whole has come on it
	Idle                  // nothing is in hand, nothing kept
	Stateful              // nothing is in hand, but state is kept for it, such as result sets
	Busy                  // an operation is in hand
	Evicted               // it is gone for the register: being closed
	classes
)

// Registry holds connections by class, each in the order in which they came to be so. A key is dropped by Remove.
type Registry[K comparable] struct {
	recent time.Duration // state used since does not go
	lists  [classes]list.List
	at     map[K]*list.Element
}

type entry[K comparable] struct {
	key   K
	class Class
	since time.Time
}

// New returns an empty register. State that was used within recent is safe.
func New[K comparable](recent time.Duration) *Registry[K] {
	return &Registry[K]{recent: recent, at: map[K]*list.Element{}}
}

// Set says what a connection is from now on. To be put into the same class again counts as use.
func (r *Registry[K]) Set(k K, c Class, now time.Time) {
	r.Remove(k)
	r.at[k] = r.lists[c].PushBack(&entry[K]{k, c, now})
}

// Remove forgets a connection.
func (r *Registry[K]) Remove(k K) {
	if e := r.at[k]; e != nil {
		r.lists[e.Value.(*entry[K]).class].Remove(e)
		delete(r.at, k)
	}
}

// Evict returns the connection that is to go, if any may, and takes it for closed from then on.
func (r *Registry[K]) Evict(now time.Time) (k K, ok bool) {
	for c := Unused; c <= Stateful; c++ {
		e := r.lists[c].Front()
		if e == nil {
			continue
		}
		en := e.Value.(*entry[K])
		if c == Stateful && now.Sub(en.since) < r.recent {
			continue
		}
		r.Set(en.key, Evicted, now)
		return en.key, true
	}
	return k, false
}

// Len is the number of connections of a class.
func (r *Registry[K]) Len(c Class) int { return r.lists[c].Len() }
