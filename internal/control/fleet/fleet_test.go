package fleet

import (
	"testing"
	"time"

	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
)

const ms = time.Millisecond

// newFleet returns the estimates of one of so many instances for warm, listed servers with one class each.
func newFleet(instances, servers int) *Fleet {
	f := New(Options{
		Instances: instances, Objective: time.Second, ProbesShared: instances > MaxExtrapolated,
		SlowStart: slowstart.Limits{
			WarmupPeriod: 10 * time.Second, MinCapacity: 0.2, OverloadMultiple: 2, OverloadPeriod: 2 * time.Second,
			Senders: instances,
		},
	})
	for range servers {
		s := &Server{Listed: true}
		s.PerClass = make([]suspicion.Record, 1)
		s.Path = &suspicion.Path{}
		f.Servers = append(f.Servers, s)
	}
	return &f
}

func TestFleet_AveragesOfAnUnmeasuredServer(t *testing.T) {
	f := newFleet(2, 3)
	now := time.Hour
	f.Assess(now)
	if got := f.AveragesOf(f.Servers[0], now); got.Latency != 1e6 || got.ServiceTime != 1e6 || got.Queue != 0 {
		t.Errorf("%+v before any answer, want the objective", got)
	}
	f.RecordAnswer(f.Servers[1], now, 100e3, 1)
	f.RecordAnswer(f.Servers[2], now, 300e3, 1)
	f.Assess(now)
	if got := f.AveragesOf(f.Servers[0], now); got.Latency != 200e3 || got.ServiceTime != 200e3 {
		t.Errorf("%+v, want the mean of the measured", got)
	}
	if f.MedianServiceTime != 300e3 || len(f.RecentAnswers) != 2 || f.Demand.Answered != 2 {
		t.Errorf("median %v, %d answers", f.MedianServiceTime, len(f.RecentAnswers))
	}
}

func TestFleet_ReportedQueueAges(t *testing.T) {
	f := newFleet(2, 2)
	now := time.Hour
	f.Servers[0].RecordLoad(now, 20, 5)
	if got := f.AveragesOf(f.Servers[0], now).Queue; got != 20 {
		t.Errorf("queue %v just after a report of 20", got)
	}
	if got := f.AveragesOf(f.Servers[0], now+time.Minute).Queue; got > 0.1 {
		t.Errorf("queue %v a minute after a report of 20, want the mean of 0", got)
	}
}

func TestFleet_RecordUnansweredOnlyRaises(t *testing.T) {
	f := newFleet(2, 1)
	s := f.Servers[0]
	now := time.Hour
	f.RecordAnswer(s, now, 100e3, 1)
	mean := f.Mean
	f.RecordUnanswered(s, 50e3, 1)
	if s.Latency != 100e3 || f.Mean != mean || len(s.Recent) != 1 {
		t.Errorf("latency %v, mean %v: a short attempt without an answer must change nothing", s.Latency, f.Mean)
	}
	f.RecordUnanswered(s, 900e3, 1)
	if s.Latency <= 100e3 || f.Mean <= mean || len(s.Recent) != 2 {
		t.Errorf("latency %v, mean %v: a long attempt without an answer must raise them", s.Latency, f.Mean)
	}
}

func TestFleet_Expected(t *testing.T) {
	now := time.Hour
	few := newFleet(2, 2)
	if _, measured := few.ExpectedResponseTime(now, 0, 1, 1e6); !measured {
		t.Error("one of few instances must extrapolate from its own requests")
	}
	many := newFleet(80, 2)
	if responseTime, measured := many.ExpectedResponseTime(now, 0, 1, 1e6); measured || responseTime != 1e6 {
		t.Errorf("%v, %v: one of many instances without load reports must use response times", responseTime, measured)
	}
	many.Servers[0].RecordLoad(now-time.Second, 3, 6)
	many.Servers[0].RecordSend(0, now)
	idle, _ := many.ExpectedResponseTime(now, 0, 1, 1e6)
	many.Servers[0].RecordLoad(now-time.Second, 30, 60)
	busy, measured := many.ExpectedResponseTime(now, 0, 1, 1e6)
	if !measured || busy <= idle {
		t.Errorf("%v with 61 in flight, %v with 7", busy, idle)
	}
	many.Servers[0].RecordLoad(now-10*time.Second, 30, 60)
	if _, measured := many.ExpectedResponseTime(now, 0, 1, 1e6); measured {
		t.Error("an old load report counts")
	}
}

func TestFleet_QueueDelays(t *testing.T) {
	f := newFleet(80, minSamples)
	now := time.Hour
	for _, s := range f.Servers[1:] {
		s.ProbedQueue = 8
		s.ProbedQueueAt = now
	}
	if _, measured := f.ObservedQueueDelay(now); measured {
		t.Error("a queue delay was estimated from too few probed queues")
	}
	f.Servers[0].ProbedQueue = 8
	f.Servers[0].ProbedQueueAt = now
	delay, measured := f.ObservedQueueDelay(now)
	if !measured || delay != f.DrainTime(8) {
		t.Errorf("delay %v, %v, want %v", delay, measured, f.DrainTime(8))
	}
	if f.SlowestResponseTimeWithQueue(0, delay) != f.SlowestResponseTime(0)+delay {
		t.Error("the delay is not added to the slowest part's time")
	}
	if !f.IsLongQueue(8) || f.IsLongQueue(1) {
		t.Errorf("8 parts drain in %v us, 1 in %v", f.DrainTime(8), f.DrainTime(1))
	}
	s := f.Servers[0]
	s.RecordLoad(now, 8, 8)
	if !f.Backlogged(s, now) || f.QueueDelay(s, now) != f.DrainTime(8) {
		t.Errorf("delay %v", f.QueueDelay(s, now))
	}
	f.Options.ProbesShared = false
	if f.QueueDelay(s, now) != 0 {
		t.Error("a queue delay, though probe results are not shared")
	}
}

func TestFleet_BacklogIsForgotten(t *testing.T) {
	f := newFleet(80, 1)
	s := f.Servers[0]
	now := time.Hour
	s.QueueWasLong = true
	s.ReportedAt = now
	if !f.Backlogged(s, now+time.Second) || f.Backlogged(s, now+reportLifetime*time.Second) {
		t.Error("a reported long queue must count for reportLifetime and no longer")
	}
}

func TestFleet_ForgetExcess(t *testing.T) {
	f := newFleet(80, 1)
	f.Mean = 1e6
	f.Deviation = 400e3
	f.MedianServiceTime = 100e3
	for range 50 {
		f.ForgetExcess()
	}
	if f.Mean < 100e3 || f.Mean > 101e3 || f.Deviation > 1 {
		t.Errorf("mean %v, deviation %v after many rejections", f.Mean, f.Deviation)
	}
}

func TestFleet_SlowStart(t *testing.T) {
	f := newFleet(80, 2)
	s := f.Servers[0]
	now := time.Hour
	s.Restart(now, 0.5)
	if f.Capacity(s, now) != 0.2 || f.SlowStartAllows(s, now) {
		t.Errorf("capacity %v at the start", f.Capacity(s, now))
	}
	if s.Queue != 0 || s.ReportedAt != now || s.ReportedInFlight != -1 {
		t.Errorf("%+v", s)
	}
	f.Demand.Answered = 1e6
	f.AccrueSlowStartCredit(now, 10*ms)
	if !f.SlowStartAllows(s, now) {
		t.Error("no credit despite a high rate of answers")
	}
	f.RecordSend(s, 0, now)
	if len(s.InFlight) != 1 || f.SlowStartAllows(s, now) {
		t.Errorf("%d in flight, and another part is allowed immediately", len(s.InFlight))
	}
	if few := newFleet(2, 1); few.Extrapolates() == f.Extrapolates() {
		t.Error("extrapolation does not depend on the number of instances")
	}
}

func TestFleet_ExpectedCountsListedHealthyServersWithAReport(t *testing.T) {
	now := time.Hour
	for _, test := range []struct {
		name   string
		change func(*Server)
		want   bool
	}{
		{name: "a fresh load report counts", change: func(*Server) {}, want: true},
		{name: "not that of an unlisted server", change: func(s *Server) { s.Listed = false }, want: false},
		{name: "not that of an unhealthy server", change: func(s *Server) { s.Penalty = 1 }, want: false},
		{name: "not one without requests in flight", change: func(s *Server) { s.RecordLoad(now, 3, -1) }, want: false},
		{
			name:   "not what a server began with after a restart",
			change: func(s *Server) { s.Restart(now, 0) },
			want:   false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(80, 2)
			f.Servers[0].RecordLoad(now, 3, 6)
			test.change(f.Servers[0])
			if _, measured := f.ExpectedResponseTime(now, 0, 1, 1e6); measured != test.want {
				t.Errorf("measured %v, want %v", measured, test.want)
			}
		})
	}
	early := newFleet(80, 1) // the clock starts at 0, and no report was received
	if _, measured := early.ExpectedResponseTime(time.Second, 0, 1, 1e6); measured {
		t.Error("a server without a load report counts as idle")
	}
}
