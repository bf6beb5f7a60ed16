// Package timers holds the due times of things that are told apart by number: a hierarchical timing wheel, and a
// binary heap as the plain structure to measure it against. DeadlineQueue holds exact deadlines of any comparable
// items. None of them reads a clock; each is owned by one goroutine.
package timers

import "time"

// Timers is implemented by Wheel and Heap. Ids are small numbers from 0 on; each has at most one due time.
type Timers interface {
	// Set makes id due at t, whatever it was before.
	Set(id int, t time.Time)
	// Cancel removes id's due time, if it has one.
	Cancel(id int)
	// Next returns when Pop should be called next: never later than the earliest due time rounded up. ok is false if
	// there are no due times.
	Next() (t time.Time, ok bool)
	// Pop removes each due time that has come by now and calls expired for its id, in no particular order. expired may
	// call Set and Cancel.
	Pop(now time.Time, expired func(id int))
	// Len returns the number of due times.
	Len() int
}

var (
	_ Timers = (*Wheel)(nil)
	_ Timers = (*Heap)(nil)
)
