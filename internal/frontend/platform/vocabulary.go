package platform

import "time"

// Vocabulary contains the classes and tenants that requests may name, and the longest timeout. It is not modified once it
// is in use.
type Vocabulary struct {
	Classes    map[string]Class
	Tenants    map[string]int // indices; empty: requests must not state a tenant
	MaxTimeout time.Duration
	// Previous contains names that are accepted until PreviousUntil, from requests that were sent before their clients were
	// notified of the change. nil: none.
	Previous      *Vocabulary
	PreviousUntil time.Time
}

// Class is a request class.
type Class struct {
	Index int
	Keyed bool // each of its queries has an idempotency key
}

// class returns a class by a name that requests may state at now. hasKey reports whether the request has an idempotency
// key: one without, of a class that has just become keyed, still belongs to the previous class of that name.
func (v *Vocabulary) class(name string, hasKey bool, now time.Time) (class Class, ok bool) {
	class, ok = v.Classes[name]
	if ok && (hasKey || !class.Keyed) || v.Previous == nil || now.After(v.PreviousUntil) {
		return class, ok
	}
	if previous, found := v.Previous.Classes[name]; found {
		return previous, true
	}
	return class, ok
}

// tenant returns the index of a tenant by a name that requests may state at now.
func (v *Vocabulary) tenant(name string, now time.Time) (index int, ok bool) {
	if index, ok = v.Tenants[name]; ok || v.Previous == nil || now.After(v.PreviousUntil) {
		return index, ok
	}
	index, ok = v.Previous.Tenants[name]
	return index, ok
}
