// Package recentset stores which names were seen recently, in bounded memory. It does no I/O and reads no clock.
package recentset

import (
	"hash/maphash"
	"time"
)

// Set contains the names that were added within its window, and possibly some that were added within twice that time.
// It stores hashes of 64 bits, with a random seed: a name that was not added is found with negligible probability. It is
// not safe for concurrent use.
type Set struct {
	window   time.Duration
	maxNames int // of one generation
	seed     maphash.Seed

	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	rotatedAt time.Time // when current was started; zero: it is empty
}

// New returns an empty set. It contains at most twice maxNames names: if more than maxNames are added within the window,
// the oldest are forgotten earlier.
func New(window time.Duration, maxNames int) *Set {
	return &Set{window: window, maxNames: maxNames, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// Add adds a name at the time now, which must not decrease.
func (s *Set) Add(name string, now time.Time) {
	s.rotate(now)
	if s.rotatedAt.IsZero() {
		s.rotatedAt = now
	}
	s.current[maphash.String(s.seed, name)] = struct{}{}
	if len(s.current) >= s.maxNames {
		s.startGeneration(now)
	}
}

// Contains reports whether a name was added recently.
func (s *Set) Contains(name string, now time.Time) bool {
	s.rotate(now)
	hash := maphash.String(s.seed, name)
	_, inCurrent := s.current[hash]
	_, inPrevious := s.previous[hash]
	return inCurrent || inPrevious
}

// rotate forgets the generations that are too old.
func (s *Set) rotate(now time.Time) {
	if s.rotatedAt.IsZero() {
		return
	}
	age := now.Sub(s.rotatedAt)
	if age >= s.window {
		s.startGeneration(now)
	}
	if age >= 2*s.window {
		s.previous = nil
	}
}

// startGeneration makes the current generation the previous one, which is forgotten.
func (s *Set) startGeneration(now time.Time) {
	s.previous = s.current
	s.current = map[uint64]struct{}{}
	s.rotatedAt = now
}
