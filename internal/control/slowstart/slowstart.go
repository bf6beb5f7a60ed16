// Package slowstart paces what one of many senders sends to a server that has just started. While such a server warms
// up it has only a fraction of its capacity, and it falls over if all senders together send it more than a multiple of
// that for a while (rule 4). It does no I/O and reads no clock.
package slowstart

import (
	"math"
	"slices"
	"time"
)

// Limits are the stated figures of a warm-up. A zero WarmupPeriod or OverloadMultiple states none.
type Limits struct {
	WarmupPeriod     time.Duration // a started server is warm after it
	MinCapacity      float64       // least fraction of its capacity at the start
	OverloadMultiple float64       // a server that gets more than this multiple of its present capacity
	OverloadPeriod   time.Duration // for so long falls over
	Senders          int           // how many may send to it; at least 1
}

// Server is what one sender keeps of one server's start. The zero value is a warm server.
type Server struct {
	Started            time.Duration   // clock time of its last start; 0: long ago
	FirstSendThreshold float64         // random, 0 to 1: how much of a part is owed before the first is sent
	Credit             float64         // parts of the sender's own flow owed to it: at most 1, at least -maxDebt
	recentSends        []time.Duration // while it warms up, those that a window may still hold; nil: none yet
}

// maxDebt is how many parts sent before they were owed are made up for.
const maxDebt = 2

// Restart notes that the server's process began at started; random is a random number from 0 to 1. The credit begins
// there: from none, a sender that owes a part in ten seconds would for so long send none, and so would all the others.
func (s *Server) Restart(started time.Duration, random float64) {
	*s = Server{Started: started, FirstSendThreshold: random, Credit: random}
}

// Capacity is the least fraction of its capacity that a server has at now, 0 to 1: it grows at least evenly.
func (l *Limits) Capacity(s *Server, now time.Duration) float64 {
	age := now - s.Started
	if s.Started <= 0 || l.WarmupPeriod <= 0 || age >= l.WarmupPeriod {
		return 1
	}
	return l.MinCapacity + (1-l.MinCapacity)*max(0, float64(age)/float64(l.WarmupPeriod))
}

// Allows reports whether a server may be sent one more part, which takes so much work. All senders together must stay
// under OverloadMultiple x present capacity. Each therefore keeps to 1/Senders of it, where capacity is taken as that of
// one core and work is estimated high. A sender's first part waits until a random fraction of a part is allowed, or all
// senders would begin at once. Where senders are many and unlike, each may instead send what its own flow owes the
// server: together that is the fleet's flow, and what a quiet sender does not send is not lost. This may hurt where most
// servers are warming up.
func (l *Limits) Allows(server *Server, now time.Duration, work time.Duration) bool {
	capacity := l.Capacity(server, now)
	if capacity >= 1 || l.OverloadMultiple <= 0 || server.Credit >= 1 {
		return true
	}
	rate := l.OverloadMultiple / float64(work) / float64(l.Senders) // parts a nanosecond, of a warm core
	allowedSinceStart := rate * (l.MinCapacity + capacity) / 2 * float64(now-server.Started)
	if server.recentSends == nil && allowedSinceStart < server.FirstSendThreshold {
		return false
	}
	// The window is shortened to one that allows whole parts, or lengthened to one that allows a single part.
	allowed := rate * capacity * float64(l.OverloadPeriod)
	parts := max(1, math.Floor(allowed))
	window := time.Duration(float64(l.OverloadPeriod) * parts / allowed)
	server.dropSendsUntil(now - max(window, l.OverloadPeriod))
	return float64(server.sendsAfter(now-window)) < parts
}

// dropSendsUntil forgets the sends at or before a time.
func (s *Server) dropSendsUntil(oldest time.Duration) {
	s.recentSends = slices.DeleteFunc(s.recentSends, func(at time.Duration) bool { return at <= oldest })
}

// sendsAfter counts the recent sends after a time.
func (s *Server) sendsAfter(start time.Duration) (count int) {
	for _, at := range s.recentSends {
		if at > start {
			count++
		}
	}
	return count
}

// AddCredit adds what is owed to a server that warms up: the parts that a warm server is owed, times its capacity.
func (l *Limits) AddCredit(s *Server, now time.Duration, parts float64) {
	if capacity := l.Capacity(s, now); capacity < 1 {
		s.Credit = min(1, s.Credit+capacity*parts)
	}
}

// RecordSend counts a part sent to a server. What is counted is dropped once no window reaches back to it, or the
// server is warm.
func (l *Limits) RecordSend(s *Server, now time.Duration) {
	if l.Capacity(s, now) >= 1 {
		s.recentSends = nil
		return
	}
	s.recentSends = append(s.recentSends, now)
	s.Credit = max(-maxDebt, s.Credit-1)
}
