package recentset

import (
	"fmt"
	"testing"
	"time"
)

var startTime = time.Unix(1000, 0)

// A name is found for the window after it was added, and no longer than twice the window.
func TestSet_Window(t *testing.T) {
	for _, added := range []time.Duration{0, time.Second, 59 * time.Second} {
		s := New(time.Minute, 100)
		s.Add("first", startTime)
		s.Add("name", startTime.Add(added))
		for elapsed := time.Duration(0); elapsed <= time.Minute; elapsed += 5 * time.Second {
			if !s.Contains("name", startTime.Add(added+elapsed)) {
				t.Errorf("added after %v: forgotten %v later", added, elapsed)
			}
		}
		if s.Contains("other", startTime.Add(added+time.Minute)) {
			t.Error("contains a name that was not added")
		}
		if s.Contains("name", startTime.Add(added+2*time.Minute)) {
			t.Errorf("added after %v: found two windows later", added)
		}
	}
	quiet := New(time.Minute, 100)
	quiet.Add("name", startTime)
	if quiet.Contains("name", startTime.Add(time.Hour)) {
		t.Error("found after an hour without a call")
	}
}

// Memory is bounded however many names are added, and the latest are found. Guards against clients under ever new names.
func TestSet_Bounded(t *testing.T) {
	const maxNames = 100
	s := New(time.Hour, maxNames)
	for i := range 1000 {
		s.Add(fmt.Sprint(i), startTime)
		if n := len(s.current) + len(s.previous); n > 2*maxNames {
			t.Fatalf("%d names are stored", n)
		}
		for latest := max(0, i-maxNames+1); latest <= i; latest++ {
			if !s.Contains(fmt.Sprint(latest), startTime) {
				t.Fatalf("%d is forgotten after %d", latest, i)
			}
		}
	}
}
