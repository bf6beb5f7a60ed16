package timers

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testTick = 5 * time.Millisecond

// wheelModel runs the same operations on a Wheel and on a map of due times.
type wheelModel struct {
	wheel  *Wheel
	random *rand.Rand
	due    map[int]time.Time // by id
	now    time.Time
}

const modelIDs = 50

func (m *wheelModel) set(id int, t time.Time) {
	m.wheel.Set(id, t)
	m.due[id] = t
}

func (m *wheelModel) cancel(id int) {
	m.wheel.Cancel(id)
	delete(m.due, id)
}

// randomDuration has a random order of magnitude, below 1<<maxBits nanoseconds.
func (m *wheelModel) randomDuration(maxBits int) time.Duration {
	return time.Duration(m.random.Int64N(int64(1) << m.random.IntN(maxBits)))
}

func (m *wheelModel) step(t *testing.T) {
	t.Helper()
	id := m.random.IntN(modelIDs)
	switch m.random.IntN(5) {
	case 0:
		m.cancel(id)
	case 1, 2, 3:
		m.set(id, m.now.Add(m.randomDuration(48)))
	case 4:
		m.now = m.now.Add(m.randomDuration(47))
		m.checkNext(t)
		m.pop(t)
	}
	if m.wheel.Len() != len(m.due) {
		t.Fatalf("%d due times, want %d", m.wheel.Len(), len(m.due))
	}
}

// checkNext checks that Next is not later than any due time, rounded up.
func (m *wheelModel) checkNext(t *testing.T) {
	t.Helper()
	next, ok := m.wheel.Next()
	if ok != (len(m.due) > 0) {
		t.Fatalf("next %v %v, with %d due times", next, ok, len(m.due))
	}
	for id, due := range m.due {
		if due.Add(testTick).Before(next) && next.After(m.now) {
			t.Fatalf("%d is due at %v, and next is %v", id, due, next)
		}
	}
}

// pop checks that exactly the ids that are due expire.
func (m *wheelModel) pop(t *testing.T) {
	t.Helper()
	m.wheel.Pop(m.now, func(id int) {
		due, ok := m.due[id]
		if !ok || due.After(m.now) {
			t.Fatalf("%d expired at %v, due %v %v", id, m.now, due, ok)
		}
		delete(m.due, id)
		// The callback may cancel other ids that are due, or set any id again.
		switch other := m.random.IntN(modelIDs); other % 7 {
		case 0:
			m.cancel(other)
		case 1:
			m.set(other, m.now.Add(time.Hour))
		}
	})
	for id, due := range m.due {
		if !due.After(m.now.Add(-testTick)) {
			t.Fatalf("%d was due at %v and did not expire by %v", id, due, m.now)
		}
	}
}

// FuzzWheel runs random operations on a wheel and on a plain map: the same ids must expire, in the same tick, once
// each.
func FuzzWheel(f *testing.F) {
	f.Add(uint64(1), uint16(200))
	f.Add(uint64(99), uint16(2000))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		m := &wheelModel{
			wheel:  NewWheel(origin, testTick),
			random: rand.New(rand.NewPCG(seed, 1)),
			due:    map[int]time.Time{},
			now:    origin,
		}
		for range steps {
			m.step(t)
		}
	})
}
