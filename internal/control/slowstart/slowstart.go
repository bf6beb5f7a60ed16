// Package coldstart paces what one of many mixers sends to a server that has just started. Such a server does a
// share of what it will do warm, and falls over if all mixers together send it more than a multiple of that for a
// while (rule 4). It does no I/O and reads no clock.
package slowstart

import (
	"math"
	"slices"
	"time"
)

// Limits are the stated figures. A zero For or OverloadMultiple states none.
type Limits struct {
	WarmupPeriod     time.Duration // a started server is warm after it
	MinCapacity      float64       // least share of its capacity at the start
	OverloadMultiple float64       // more than this multiple of its present capacity
	OverloadPeriod   time.Duration // for so long: it falls over
	Senders          int           // that may send to it
}

// Server is what a mixer keeps of one server's start. It is dropped with the server.
type Server struct {
	Started            time.Duration   // clock time of its last start; 0: long ago
	FirstSendThreshold float64         // drawn at its start, 0 to 1: so much of a part is owed before the first goes to it
	Credit             float64         // parts of the mixer's own flow that are owed to it: at most 1, at least -maxDebt
	recentSends        []time.Duration // while it is cold, those that a window may still hold; nil: none yet
}

// maxDebt is how many parts sent before they were owed are made up for.
const maxDebt = 2

// Restart says that the server's process began at at; lot is a random number from 0 to 1. What is owed begins at
// the lot: from none, a mixer that owes a part in ten seconds would for so long send none, and so would all.
func (s *Server) Restart(at time.Duration, lot float64) {
	*s = Server{Started: at, FirstSendThreshold: lot, Credit: lot}
}

// Capacity is the least share of its capacity that a server has by now: it grows at least evenly.
func (r *Limits) Capacity(s *Server, now time.Duration) float64 {
	age := now - s.Started
	if s.Started <= 0 || r.WarmupPeriod <= 0 || age >= r.WarmupPeriod {
		return 1
	}
	return r.MinCapacity + (1-r.MinCapacity)*max(0, float64(age)/float64(r.WarmupPeriod))
}

// Allows says whether a server may be sent one more part, which takes work. All mixers together must stay under
// OverloadMultiple x present capacity, so each keeps to 1/Mixers of it, with capacity taken as one core's and work as
// high; the first goes when a part of random size is owed, or all would begin at once. Or, where mixers are many
// and unlike, each may send it what is owed of its own flow: together that is the fleet's, and what a quiet one
// leaves is not lost. May hurt where most servers are cold.
func (r *Limits) Allows(s *Server, now time.Duration, work time.Duration) bool {
	share := r.Capacity(s, now)
	if share >= 1 || r.OverloadMultiple <= 0 || s.Credit >= 1 {
		return true
	}
	rate := r.OverloadMultiple / float64(work) / float64(r.Senders) // parts a nanosecond, of a warm core
	room := rate * share * float64(r.OverloadPeriod)
	if s.recentSends == nil && rate*(r.MinCapacity+share)/2*float64(now-s.Started) < s.FirstSendThreshold {
		return false
	}
	parts := max(1, math.Floor(room))
	window := time.Duration(float64(r.OverloadPeriod) * parts / room)
	s.recentSends = slices.DeleteFunc(s.recentSends, func(at time.Duration) bool { return at <= now-max(window, r.OverloadPeriod) })
	n := 0
	for _, at := range s.recentSends {
		if at > now-window {
			n++
		}
	}
	return float64(n) < parts
}

// AddCredit adds what is owed to a server where a warm one is owed so many parts, by capacity.
func (r *Limits) AddCredit(s *Server, now time.Duration, parts float64) {
	if share := r.Capacity(s, now); share < 1 {
		s.Credit = min(1, s.Credit+share*parts)
	}
}

// RecordSend counts a part sent to a server. What is counted is dropped once no window reaches back to it, or the server is
// warm.
func (r *Limits) RecordSend(s *Server, now time.Duration) {
	if r.Capacity(s, now) >= 1 {
		s.recentSends = nil
		return
	}
	s.recentSends, s.Credit = append(s.recentSends, now), max(-maxDebt, s.Credit-1)
}
