package listwatch

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// An agent's watch that ends after some time is reopened immediately; a failing agent is not called in a busy loop.
func TestReconnector_OwnAgentIsCalledAgainAtOnce(t *testing.T) {
	for _, random := range []float64{0, 0.5, 1} {
		r := New(PlatformConfig(0))
		r.Opened(start, random)
		if next := r.Ended(start.Add(time.Second), random); !next.Equal(start.Add(time.Second)) {
			t.Errorf("random %v: next call at %v, the watch ended after 1s", random, next.Sub(start))
		}
		now := start.Add(time.Minute)
		for range 50 {
			r.Opened(now, random)
			r.Succeeded()
			next := r.Ended(now, random)
			if wait := next.Sub(now); wait < 100*time.Millisecond || wait > 300*time.Millisecond {
				t.Errorf("random %v: wait of %v after a call that ended immediately", random, wait)
			}
			now = next
		}
	}
}

// Clients that share a discovery and fail at the same time spread their next calls over a time that grows with their
// number.
func TestReconnector_CallsToASharedDiscoveryAreSpread(t *testing.T) {
	const clients, maxInFirstSecond = 300, 45 // of 300 calls over 7.5 s, 40 are due in the first second
	inFirstSecond := 0
	for i := range clients {
		r := New(PlatformConfig(clients))
		r.Opened(start, 0.5)
		if next := r.Ended(start, float64(i)/(clients-1)); next.Sub(start) < 4750*time.Millisecond {
			inFirstSecond++
		}
	}
	if inFirstSecond > maxInFirstSecond {
		t.Errorf("%d calls in the first second, want at most %d", inFirstSecond, maxInFirstSecond)
	}
}

// FuzzReconnector simulates a discovery that sends events, stops responding, rejects calls and ends watches, and checks
// the bounds of every wait.
func FuzzReconnector(f *testing.F) {
	f.Add(uint16(0), []byte{0, 1, 2, 3, 4, 200, 255, 7})
	f.Add(uint16(300), []byte{3, 3, 3, 0, 9, 2, 2, 1})
	f.Add(uint16(1), []byte{2, 2, 2, 2})
	f.Fuzz(func(t *testing.T, clients uint16, steps []byte) {
		m := newModel(int(clients))
		for _, step := range steps {
			m.checkIdleTimeout(t)
			random := float64(step>>3) / 31
			switch step & 3 {
			case 0:
				m.receiveInTime(t)
			case 1:
				m.breakWatch(t, random)
			default:
				m.end(t, random)
			}
		}
	})
}

// model is a client and its discovery in virtual time.
type model struct {
	clients  int
	config   Config
	r        *Reconnector
	now      time.Time
	failures int // since the last event
}

func newModel(clients int) *model {
	m := &model{clients: clients, config: PlatformConfig(clients), now: start}
	m.r = New(m.config)
	m.r.Opened(m.now, 0.5)
	return m
}

func (m *model) checkIdleTimeout(t *testing.T) {
	t.Helper()
	timeout := m.r.IdleDeadline().Sub(m.r.lastReceived)
	isFirstEventTimeout := !m.r.hasReceived && m.clients <= 1 && timeout == m.config.FirstEventTimeout
	if timeout > m.config.MaxIdleTimeout || timeout < m.config.MinIdleTimeout && !isFirstEventTimeout {
		t.Fatalf("the watch counts as broken after an idle time of %v", timeout)
	}
}

// receiveInTime delivers an event after the longest interval that the protocol allows.
func (m *model) receiveInTime(t *testing.T) {
	t.Helper()
	const eventInterval = 2 * time.Second
	m.now = m.now.Add(eventInterval)
	m.r.Received(m.now)
	m.r.Succeeded()
	m.failures = 0
	if !m.r.IdleDeadline().After(m.now.Add(eventInterval)) {
		t.Fatal("the watch counts as broken before the next event is due")
	}
}

// breakWatch lets the idle deadline pass without an event and reopens the watch. The deadline must be early enough that
// missed changes are received within 6 s.
func (m *model) breakWatch(t *testing.T, random float64) {
	t.Helper()
	deadline := m.r.IdleDeadline()
	if deadline.After(m.r.lastReceived.Add(5 * time.Second)) {
		t.Fatalf("an idle time of %v is allowed", deadline.Sub(m.r.lastReceived))
	}
	m.now = deadline
	m.r.Opened(m.now, random)
}

// end ends the watch and makes the next call when the Reconnector allows it.
func (m *model) end(t *testing.T, random float64) {
	t.Helper()
	next := m.r.Ended(m.now, random)
	m.failures++
	wait := next.Sub(m.now)
	maxWait := max(300*time.Millisecond, 6*time.Duration(m.clients)*time.Second/40)
	if wait < 0 || wait > maxWait {
		t.Fatalf("%d clients, %d failures: wait of %v", m.clients, m.failures, wait)
	}
	if minWait := time.Duration(m.clients)*time.Second/80 - time.Millisecond; m.clients > 60 && wait < minWait {
		t.Fatalf("%d clients: wait of %v, want at least %v", m.clients, wait, minWait)
	}
	m.now = next
	m.r.Opened(m.now, random)
}
