// Package timers manages due times of items that are identified by small integers, in a hierarchical timing wheel or in
// a binary heap, which is the baseline for tests and benchmarks of the wheel. DeadlineQueue orders any comparable items
// by exact deadlines. None of them reads a clock; each is owned by one goroutine.
package timers

import "time"

// Timers is implemented by Wheel and Heap. Ids are small non-negative integers; each has at most one due time.
type Timers interface {
	// Set makes id due at t and replaces its previous due time, if it has one.
	Set(id int, t time.Time)
	// Cancel removes id's due time, if it has one.
	Cancel(id int)
	// Next returns when Pop should be called next: no later than the earliest due time, rounded up. ok is false if
	// there are no due times.
	Next() (t time.Time, ok bool)
	// Pop removes each due time that is not after now and calls expired for its id, in no particular order. expired may
	// call Set and Cancel.
	Pop(now time.Time, expired func(id int))
	// Len returns the number of due times.
	Len() int
}

var (
	_ Timers = (*Wheel)(nil)
	_ Timers = (*Heap)(nil)
)
