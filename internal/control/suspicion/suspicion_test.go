package suspicion

import (
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
)

const ms = time.Millisecond

func TestRecord_PenaltyGrowsAndDecays(t *testing.T) {
	var r Record
	for range 5 {
		r.RecordFailure(0, 1000)
	}
	if r.Penalty != MaxPenalty || r.Failures != 5 || r.NextHalfOpen != 5*ms {
		t.Fatalf("%+v after five failures", r)
	}
	for range 20 {
		r.RecordFailure(0, 1000)
	}
	if r.NextHalfOpen != maxBackoffFactor*ms {
		t.Errorf("next half-open request after %v, want at most %d ms", r.NextHalfOpen, maxBackoffFactor)
	}
	successes := 0
	for ; r.Penalty > 0; successes++ {
		r.RecordSuccess()
	}
	if successes != 5 || r.Failures != 0 {
		t.Errorf("trusted after %d successes, %v failures", successes, r.Failures)
	}
}

func TestRecord_InFlightHoldsEachRequestOnce(t *testing.T) {
	var r Record
	r.Sent(1)
	r.Sent(1)
	r.Sent(2)
	r.Ended(1)
	r.Ended(7) // not in flight
	if len(r.InFlight) != 2 || r.InFlight[0] != 1 || r.InFlight[1] != 2 {
		t.Errorf("%v", r.InFlight)
	}
}

func TestRecord_Stalled(t *testing.T) {
	const overdue = 100e3 // microseconds
	for _, test := range []struct {
		name        string
		age         time.Duration
		lastSuccess time.Duration // how long before now
		want        int
	}{
		{name: "a young request is not stalled", age: 50 * ms, lastSuccess: time.Second, want: 0},
		{name: "an overdue request without a later answer is", age: 150 * ms, lastSuccess: time.Second, want: 1},
		{name: "an overdue request with a later answer is not", age: 150 * ms, lastSuccess: 10 * ms, want: 0},
		{name: "one older than that is lost whatever was answered", age: 350 * ms, lastSuccess: 10 * ms, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Hour
			r := Record{LastSuccess: now - test.lastSuccess}
			r.Sent(now - test.age)
			if got := r.Stalled(now, overdue); got != test.want {
				t.Errorf("%d stalled, want %d", got, test.want)
			}
		})
	}
}

func TestRecord_LossRate(t *testing.T) {
	var r Record
	for i := range 400 {
		r.RecordLoss(i%2 == 0)
	}
	if r.LossRate < 0.4 || r.LossRate > 0.6 {
		t.Errorf("loss rate %v where half is lost", r.LossRate)
	}
	r.Forget()
	if r.LossRate != 0 {
		t.Errorf("loss rate %v after a restart", r.LossRate)
	}
}

func TestPath_NeedsMoreFailuresWhileMoreIsInFlight(t *testing.T) {
	var p Path
	for range 10 {
		p.Sent(0)
	}
	for range 19 {
		p.RecordFailure()
	}
	if !p.Usable() {
		t.Error("unusable after 19 failures with 10 requests in flight")
	}
	p.RecordFailure()
	if p.Usable() {
		t.Error("usable after 20 failures with 10 requests in flight")
	}
	if p.AllowsHalfOpen(time.Second) {
		t.Error("a half-open request is allowed with ten requests in flight")
	}
	p.InFlight = nil
	if !p.AllowsHalfOpen(time.Second) {
		t.Error("no half-open request is allowed with no request in flight")
	}
	p.RecordReachable()
	if !p.Usable() {
		t.Error("unusable though an error was received")
	}
}

func TestPath_Assess(t *testing.T) {
	latency := estimate.Latency{Mean: 100e3, Deviation: 10e3}
	var p Path
	p.RecordAnswer(time.Second, 300e3)
	p.Assess(time.Second, &latency, 100e3)
	if !p.Slow || p.Usable() {
		t.Error("three times the median service time is not slow")
	}
	p.Assess(time.Second, &latency, 200e3)
	if p.Slow {
		t.Error("one and a half times the median service time is slow")
	}
	for range MinStalledRequests {
		p.Sent(time.Second)
	}
	p.Assess(time.Second+105*ms, &latency, 0)
	if p.Unresponsive {
		t.Error("unresponsive within the typical latency")
	}
	p.Assess(time.Second+115*ms, &latency, 0)
	if !p.Unresponsive {
		t.Error("responsive though all requests in flight exceed the typical latency")
	}
}

func newServer() *Server { return &Server{PerClass: make([]Record, 2), Path: &Path{}} }

func TestServer_FailureOfOneClass(t *testing.T) {
	s := newServer()
	s.LastSuccess = 20 * ms
	s.RecordClassFailure(0, 30*ms, 10*ms, 1000) // others were answered since the request was sent
	if !s.Healthy() || s.HealthyFor(0) || !s.HealthyFor(1) {
		t.Error("a failure of one class must count against that class only")
	}
	if s.Fault(0) != &s.PerClass[0] || s.Fault(1) != nil {
		t.Error("the fault is not the record of the class")
	}
	s.RecordClassFailure(0, 40*ms, 30*ms, 1000)
	if s.Healthy() || s.Fault(1) != &s.Record || s.PenaltyFor(0) != 3 {
		t.Errorf("a failure without an answer since must count against the server: penalty %v",
			s.PenaltyFor(0))
	}
}

func TestServer_FailureInAnotherZoneCountsAgainstThePath(t *testing.T) {
	s := newServer()
	s.RecordServerFailure(0, 1000)
	if s.Path.Penalty != 0 {
		t.Error("a failure in the same zone counts against the path")
	}
	s.Remote = true
	s.RecordServerFailure(0, 1000)
	if s.Path.Penalty != 1 {
		t.Errorf("path penalty %v", s.Path.Penalty)
	}
	s.RecordAnswer(time.Second, 100e3)
	if s.Path.Penalty != 0 || s.LastSuccess != time.Second {
		t.Error("an answer must reset the path's penalty")
	}
}

func TestServer_Assess(t *testing.T) {
	s := newServer()
	for range slowSamples - 1 {
		s.RecordAnswer(time.Second, 300e3)
	}
	s.Assess(time.Second, Conditions{Overdue: 1e6, MedianServiceTime: 100e3, Warm: false, ProbesShared: false})
	if s.Slow {
		t.Error("a server that is warming up counts as slow")
	}
	s.Assess(time.Second, Conditions{Overdue: 1e6, MedianServiceTime: 100e3, Warm: true, ProbesShared: false})
	if !s.Slow || s.RecentMean() != 300e3 {
		t.Errorf("slow %v, recent mean %v", s.Slow, s.RecentMean())
	}
	s.ProbeUnanswered = true
	s.Assess(time.Second, Conditions{Overdue: 1e6, MedianServiceTime: 100e3, Warm: true, ProbesShared: false})
	if s.Unresponsive {
		t.Error("an unanswered probe counts though probe results are not shared")
	}
	s.Assess(time.Second, Conditions{Overdue: 1e6, MedianServiceTime: 100e3, Warm: true, ProbesShared: true})
	if !s.Unresponsive {
		t.Error("an unanswered probe does not count")
	}
	s.RecordSend(1, time.Second)
	s.Assess(2*time.Second, Conditions{Overdue: 100e3, MedianServiceTime: 100e3, Warm: true, ProbesShared: false})
	if !s.PerClass[1].Unresponsive || s.PerClass[0].Unresponsive || s.Lost != 1 {
		t.Errorf("%+v, %d lost", s.PerClass, s.Lost)
	}
	s.RecordEnd(1, time.Second)
	if len(s.InFlight)+len(s.Path.InFlight)+len(s.PerClass[1].InFlight) != 0 {
		t.Error("a request that ended is still in flight")
	}
	s.RecordServerFailure(0, 1000)
	s.Restart()
	if s.Penalty != 0 || len(s.Recent) != 0 {
		t.Error("the penalty or response times of the previous process remain after a restart")
	}
}
