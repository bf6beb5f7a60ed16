package platform

import "time"

// Vocabulary is what requests may name, and the indices that the names stand for. It is not changed once it is in use.
type Vocabulary struct {
	Classes    map[string]int
	Tenants    map[string]int // empty: requests state none
	MaxTimeout time.Duration
	// Previous is what requests could name before, which they may until FormerUntil: they were sent before their clients
	// learned of the change. nil: there is nothing.
	Previous      *Vocabulary
	PreviousUntil time.Time
}

// newVocabulary numbers names in their order.
func newVocabulary(classes, tenants []string, maxTimeout time.Duration) *Vocabulary {
	return &Vocabulary{Classes: numbered(classes), Tenants: numbered(tenants), MaxTimeout: maxTimeout}
}

func numbered(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}

// class is the index of a class that requests may name at now.
func (v *Vocabulary) class(name string, now time.Time) (index int, ok bool) {
	if index, ok = v.Classes[name]; ok || v.Previous == nil || now.After(v.PreviousUntil) {
		return index, ok
	}
	index, ok = v.Previous.Classes[name]
	return index, ok
}

// tenant is the index of a tenant that requests may name at now.
func (v *Vocabulary) tenant(name string, now time.Time) (index int, ok bool) {
	if index, ok = v.Tenants[name]; ok || v.Previous == nil || now.After(v.PreviousUntil) {
		return index, ok
	}
	index, ok = v.Previous.Tenants[name]
	return index, ok
}
