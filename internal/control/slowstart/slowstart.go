// Package slowstart limits what one of many senders sends to a server that has just started. While such a server is
// warming up it has only a fraction of its capacity, and it fails if all senders together send it more than a multiple
// of that for some time (rule 4). It does no I/O and reads no clock.
package slowstart

import (
	"math"
	"slices"
	"time"
)

// Limits are the documented figures of a server's warm-up. If WarmupPeriod or OverloadMultiple is zero, sends are
// not limited.
type Limits struct {
	WarmupPeriod     time.Duration // from the start of a server until it is warm
	MinCapacity      float64       // least fraction of its full capacity at the start
	OverloadMultiple float64       // multiple of its current capacity that overloads a server
	OverloadPeriod   time.Duration // how long a server must be overloaded to fail
	Senders          int           // that may send to the server; at least 1
}

// Server stores one sender's state of the slow start of one server. The zero value is a warm server.
type Server struct {
	Started            time.Duration   // clock time of its last start; 0: long ago
	FirstSendThreshold float64         // random, 0 to 1: parts that must be allowed before the first one is sent
	Credit             float64         // share of the sender's own traffic, in parts: at most 1, at least -maxDebt
	recentSends        []time.Duration // while it is warming up, those that a window may still contain; nil: none yet
}

// maxDebt bounds the negative credit: at most this many parts sent in excess of the credit are compensated for later.
const maxDebt = 2

// Restart records that the server's process started at started; random is a random number from 0 to 1. It is also the
// initial credit: with none, senders that accrue one part in ten seconds would all send nothing for that long.
func (s *Server) Restart(started time.Duration, random float64) {
	*s = Server{Started: started, FirstSendThreshold: random, Credit: random}
}

// Capacity is the least fraction of its full capacity that a server has at now, 0 to 1: it grows at least linearly.
func (l *Limits) Capacity(s *Server, now time.Duration) float64 {
	age := now - s.Started
	if s.Started <= 0 || l.WarmupPeriod <= 0 || age >= l.WarmupPeriod {
		return 1
	}
	return l.MinCapacity + (1-l.MinCapacity)*max(0, float64(age)/float64(l.WarmupPeriod))
}

// Allows reports whether a server may be sent one more part, which takes so much work. All senders together must stay
// below OverloadMultiple times the current capacity, so each stays below 1/Senders of it; the capacity is assumed to be
// that of one core, and work should be a high estimate. A sender's first part waits until a random fraction of a part
// is allowed, else all senders would begin at the same time. Where there are many senders with unequal traffic, each
// may instead send what the server's credit allows, which accrues with the sender's own traffic: together that is the
// traffic of the fleet, and the share that a sender with little traffic leaves unused is not lost. The credit may cause
// overload where most servers are warming up.
func (l *Limits) Allows(server *Server, now time.Duration, work time.Duration) bool {
	capacity := l.Capacity(server, now)
	if capacity >= 1 || l.OverloadMultiple <= 0 || server.Credit >= 1 {
		return true
	}
	rate := l.OverloadMultiple / float64(work) / float64(l.Senders) // parts per nanosecond that a warm core allows
	allowedSinceStart := rate * (l.MinCapacity + capacity) / 2 * float64(now-server.Started)
	if server.recentSends == nil && allowedSinceStart < server.FirstSendThreshold {
		return false
	}
	// The window is shortened so that it allows a whole number of parts, or extended so that it allows one part.
	allowed := rate * capacity * float64(l.OverloadPeriod)
	parts := max(1, math.Floor(allowed))
	window := time.Duration(float64(l.OverloadPeriod) * parts / allowed)
	server.dropSendsUntil(now - max(window, l.OverloadPeriod))
	return float64(server.sendsAfter(now-window)) < parts
}

// dropSendsUntil drops the recent sends at or before a time.
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

// AddCredit adds credit to a server that is warming up: the parts that a warm server accrues, times its capacity.
func (l *Limits) AddCredit(s *Server, now time.Duration, parts float64) {
	if capacity := l.Capacity(s, now); capacity < 1 {
		s.Credit = min(1, s.Credit+capacity*parts)
	}
}

// RecordSend records a part sent to a server. The records are dropped once no window contains them, or the server is
// warm.
func (l *Limits) RecordSend(s *Server, now time.Duration) {
	if l.Capacity(s, now) >= 1 {
		s.recentSends = nil
		return
	}
	s.recentSends = append(s.recentSends, now)
	s.Credit = max(-maxDebt, s.Credit-1)
}
