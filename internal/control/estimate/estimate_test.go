package estimate

import (
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestMicroseconds_RoundTrip(t *testing.T) {
	if got := Microseconds(1500 * time.Nanosecond); got != 1.5 {
		t.Errorf("1500 ns are %v us", got)
	}
	if got := Duration(Microseconds(20 * ms)); got != 20*ms {
		t.Errorf("20 ms became %v", got)
	}
}

func TestQuantile(t *testing.T) {
	for _, test := range []struct {
		name   string
		values []float64
		q      float64
		want   float64
	}{
		{name: "of none is 0", values: nil, q: 0.75, want: 0},
		{name: "of one is that", values: []float64{7}, q: 0.75, want: 7},
		{name: "of unsorted values", values: []float64{4, 1, 3, 2}, q: 0.75, want: 4},
		{name: "the median of an even number is the upper one", values: []float64{4, 1, 3, 2}, q: 0.5, want: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Quantile(test.values, test.q); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if got := Median([]float64{9, 1, 5}); got != 5 {
		t.Errorf("median %v, want 5", got)
	}
}

func TestWindow_DropsEventsAtOrBeforeItsStart(t *testing.T) {
	var w Window
	for now := range time.Duration(5) {
		w.Add(now, now-10)
	}
	if n := w.Since(1); n != 3 || !slices.Equal(w, Window{2, 3, 4}) {
		t.Errorf("%d events remain: %v", n, w)
	}
	w.Add(20, 10)
	if !slices.Equal(w, Window{20}) {
		t.Errorf("%v", w)
	}
}

func TestSamples_KeepTheLastFew(t *testing.T) {
	var s Samples
	if s.Mean(4) != 0 || s.Max() != 0 {
		t.Errorf("mean %v and max %v of none", s.Mean(4), s.Max())
	}
	for i := range maxSamples + 2 {
		s.Add(float64(i))
	}
	if len(s) != maxSamples || s.Min() != 2 || s.Max() != 9 {
		t.Errorf("%v", s)
	}
	if last := s.Last(2); !slices.Equal(last, []float64{8, 9}) || s.Mean(2) != 8.5 {
		t.Errorf("last two %v, mean %v", last, s.Mean(2))
	}
	if all := s.Last(100); len(all) != maxSamples {
		t.Errorf("%d samples", len(all))
	}
}

// All parts of a wide query together have about the weight of a few narrow queries.
func TestLatency_RecordLimitsWideRequests(t *testing.T) {
	narrow := NewLatency(1e6)
	wide := NewLatency(1e6)
	if narrow.Mean != 250e3 || narrow.Deviation != 62.5e3 {
		t.Fatalf("initially %+v", narrow)
	}
	narrow.Record(1e6, 1)
	for range 100 {
		wide.Record(1e6, 100)
	}
	if want := 250e3 + maxSmoothing*750e3; narrow.Mean != want {
		t.Errorf("mean %v after one response, want %v", narrow.Mean, want)
	}
	if most := 250e3 + querySmoothing*750e3; wide.Mean > most {
		t.Errorf("mean %v after one wide query, want at most %v", wide.Mean, most)
	}
}

func TestLatency_ForgetMovesTowardTheFloor(t *testing.T) {
	l := Latency{Mean: 1000, Deviation: 100}
	l.Forget(500)
	if l.Mean != 850 || l.Deviation != 70 {
		t.Errorf("%+v", l)
	}
	if l.Typical() != 920 || l.Overdue() != 1060 {
		t.Errorf("typical %v, overdue %v", l.Typical(), l.Overdue())
	}
}

func TestTailDeviations(t *testing.T) {
	if got := TailDeviations(1, 0); got != 0 {
		t.Errorf("%v deviations for one response", got)
	}
	if got, want := TailDeviations(60, 0), TailFactor*math.Log(60); got != want {
		t.Errorf("%v deviations for 60 responses, want %v", got, want)
	}
	if got, want := TailDeviations(60, 0.5), TailFactor*math.Log(60.0/31); got != want {
		t.Errorf("%v deviations where half of the responses are optional, want %v", got, want)
	}
	if TailDeviations(0, 0) != 0 {
		t.Error("deviations for no responses")
	}
}

func TestAverages(t *testing.T) {
	a := Averages{Latency: 100, ServiceTime: 50}
	a.Record(200, 50)
	if a.Latency != 130 || a.ServiceTime != 50 {
		t.Errorf("%+v after a response", a)
	}
	a.RecordUnanswered(100)
	if a.Latency != 130 {
		t.Errorf("latency %v: an unanswered attempt may only raise it", a.Latency)
	}
	a.RecordUnanswered(230)
	if a.Latency != 160 {
		t.Errorf("latency %v after an unanswered attempt of 230", a.Latency)
	}
	a.SetQueue(10)
	if a.Queue != 10 {
		t.Errorf("queue %v after the first report of 10", a.Queue)
	}
	a.RecordQueue(20)
	if a.Queue != 17 {
		t.Errorf("queue %v after a report of 20", a.Queue)
	}
}

func TestMean_FirstServerReplacesTheInitialValue(t *testing.T) {
	m := Mean{Averages: Averages{Latency: 1e6, ServiceTime: 1e6}}
	m.Add(Averages{Latency: 100, ServiceTime: 50, Queue: 1})
	if m.Averages != (Averages{Latency: 100, ServiceTime: 50, Queue: 1}) {
		t.Errorf("%+v", m)
	}
	m.Add(Averages{Latency: 300, ServiceTime: 150, Queue: 3})
	if m.Averages != (Averages{Latency: 200, ServiceTime: 100, Queue: 2}) {
		t.Errorf("%+v", m)
	}
}
