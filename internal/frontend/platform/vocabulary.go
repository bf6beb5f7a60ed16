package platform

import "time"

// Vocabulary contains the class and tenant names that requests may state, with their indices, and the longest timeout. It
// is not modified once it is in use.
type Vocabulary struct {
	Classes    map[string]int
	Tenants    map[string]int // empty: requests must not state one
	MaxTimeout time.Duration
	// Previous contains names that are accepted until PreviousUntil, from requests that were sent before their clients were
	// notified of the change. nil: none.
	Previous      *Vocabulary
	PreviousUntil time.Time
}

// newVocabulary returns a vocabulary in which the index of a name is its position.
func newVocabulary(classes, tenants []string, maxTimeout time.Duration) *Vocabulary {
	return &Vocabulary{Classes: indexByName(classes), Tenants: indexByName(tenants), MaxTimeout: maxTimeout}
}

func indexByName(names []string) map[string]int {
	indices := make(map[string]int, len(names))
	for i, name := range names {
		indices[name] = i
	}
	return indices
}

// class returns the index of a class by a name that requests may state at now.
func (v *Vocabulary) class(name string, now time.Time) (index int, ok bool) {
	if index, ok = v.Classes[name]; ok || v.Previous == nil || now.After(v.PreviousUntil) {
		return index, ok
	}
	index, ok = v.Previous.Classes[name]
	return index, ok
}

// tenant returns the index of a tenant by a name that requests may state at now.
func (v *Vocabulary) tenant(name string, now time.Time) (index int, ok bool) {
	if index, ok = v.Tenants[name]; ok || v.Previous == nil || now.After(v.PreviousUntil) {
		return index, ok
	}
	index, ok = v.Previous.Tenants[name]
	return index, ok
}
