// Package eviction decides which connection to close when a new one needs its slot: never one with an operation in
// flight, nor one whose state was used recently. Of the others, connections without any request are evicted first, then
// idle ones, and last those for which state is stored; within a class, the one that has been in it for longest. The
// package does no I/O and reads no clock.
package eviction

import (
	"container/list"
	"time"
)

// Class is the activity of a connection. Connections of a lower class are evicted first.
type Class int

// Classes from the first evicted to those that are never evicted.
const (
	Unused   Class = iota // no complete request has been received on it
	Idle                  // nothing is in flight, and no state is stored
	Stateful              // nothing is in flight, but state is stored for it, such as result sets
	Busy                  // an operation is in flight
	Evicted               // it is being closed
	classCount
)

// Registry stores connections by class, each class in the order in which the connections were added to it. It is not
// safe for concurrent use. A key stays in the registry until Remove, even after its eviction.
type Registry[K comparable] struct {
	recent   time.Duration
	classes  [classCount]list.List // of *entry[K], front: oldest
	elements map[K]*list.Element   // in classes
}

type entry[K comparable] struct {
	key   K
	class Class
	since time.Time
}

// New returns an empty registry. A Stateful connection that was set less than recent ago is not evicted.
func New[K comparable](recent time.Duration) *Registry[K] {
	return &Registry[K]{recent: recent, elements: map[K]*list.Element{}}
}

// Set moves a connection into a class, as its newest. Setting the same class again counts as use.
func (r *Registry[K]) Set(key K, class Class, now time.Time) {
	r.Remove(key)
	r.elements[key] = r.classes[class].PushBack(&entry[K]{key, class, now})
}

// Remove removes a connection, if it is in the registry.
func (r *Registry[K]) Remove(key K) {
	if element := r.elements[key]; element != nil {
		r.classes[entryOf[K](element).class].Remove(element)
		delete(r.elements, key)
	}
}

// Evict chooses the connection to close and moves it into the class Evicted; ok is false if none may be closed.
func (r *Registry[K]) Evict(now time.Time) (key K, ok bool) {
	for class := Unused; class <= Stateful; class++ {
		front := r.classes[class].Front()
		if front == nil {
			continue
		}
		oldest := entryOf[K](front)
		if class == Stateful && now.Sub(oldest.since) < r.recent {
			continue
		}
		r.Set(oldest.key, Evicted, now)
		return oldest.key, true
	}
	return key, false
}

// Len returns the number of connections of a class.
func (r *Registry[K]) Len(class Class) int { return r.classes[class].Len() }

// entryOf returns the value that Set stored in an element.
func entryOf[K comparable](element *list.Element) *entry[K] { return element.Value.(*entry[K]) }
