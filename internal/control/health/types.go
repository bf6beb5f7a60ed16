// Package health keeps the evidence on servers and concludes from it: who may get parts, who only where nobody else
// can, who nothing, and how much. Evidence comes from the list (roster), from checks of several kinds, and from
// the outcomes of real parts by class. It does no I/O, reads no clock and starts no goroutine; equal events give
// equal conclusions. How facts merge is told in docs/health.md; merge.go is that table.
package health

import (
	"errors"
	"fmt"
	"time"
)

// Part names a server.
type ID string

// AdminState is an administrative word: what somebody wants done with a server, whatever its state.
type AdminState int8

const (
	AdminUnset AdminState = iota // not named: stays as it was
	Ready
	Drain       // finishes what it has in hand, gets nothing new
	Maintenance // the same, and its checks count for nothing
)

func (a AdminState) String() string { return [...]string{"", "ready", "drain", "maint"}[a] }

// OperState is an operating state as somebody saw it.
type OperState int8

const (
	OperUnset OperState = iota // not named
	Up
	Down
)

func (o OperState) String() string { return [...]string{"", "up", "down"}[o] }

// CheckResult is the result of one check.
type CheckResult struct {
	Failed    bool       // the check came to nothing: no connection, no answer in time, not the answer expected
	Immediate bool       // what it says counts at once, without fall or rise
	Admin     AdminState // an administrative word, if there is one
	Oper      OperState  // an operating state, if it is told
	Weight    float64    // share of the full weight, 0 to 2.56; negative: not named
	MaxConn   int        // parts it will hold for us; negative: not named
	Degraded  bool
	Reason    string // a few words, for people
}

// CheckConfig is one check as the operator set it up.
type CheckConfig struct {
	Name           string
	Fall           int           // failed checks in a row that make a server down, at least 1
	Rise           int           // good ones in a row that bring it back, at least 1
	Validity       time.Duration // how long a result counts; older ones say nothing. Administrative words stay.
	IgnoreFailures bool          // a check that came to nothing says nothing: only words count
}

// Outcome is how an attempt of a real part ended, as far as it tells of its server.
type Outcome int8

const (
	Success        Outcome = iota // answered
	Failure                       // an error, a reset, silence: may have run
	ConnectFailure                // no connection
	Neutral                       // called off, turned away: tells nothing
)

// Server is a server as listed.
type Server struct {
	ID       ID
	Shards   []int // blocks that it holds, from 0 on
	Removed  bool  // the roster says that it is gone
	Draining bool  // the roster says that it drains
}

// State of a conclusion.
type State int8

const (
	InService    State = iota
	Draining           // nothing new; what is in hand finishes
	OutOfService       // nothing new, and taken off the list
)

func (s State) String() string { return [...]string{"in service", "draining", "out"}[s] }

// AllClasses is every class: a server that is a last resort only.
const AllClasses = ^uint64(0)

// Decision is what is to be done with a server.
type Decision struct {
	State           State
	EjectedClasses  uint64  // bit c: parts of class c go there only if no other holder may take them
	TrafficFraction float64 // of the parts that it would get, over 0 to 1
	MaxInFlight     int     // parts out at once; 0: not limited
	Cause           string  // why, for people
	Usable          bool    // a part that is sent there may be expected to be answered
	Contradictory   bool    // facts contradict each other
}

// Change is a conclusion that has changed, or a trial that is granted.
type Change struct {
	ID ID
	Decision
	HalfOpenClasses uint64 // bit c: one part of class c may go there though the class is shunned
	Notable         bool   // it differs in more than a share or a trial: to be logged
	PreviousState   State
}

// Rules are the figures of the merging. Zero values are not defaults; see Defaults.
type Rules struct {
	Classes       int
	NonIdempotent uint64 // bit c: no part of class c may run twice, so none is risked for a trial

	OutcomeHalfLife    time.Duration // half-life of outcomes in a class's share of failures
	MinOutcomes        float64       // outcomes in the window from which a share counts
	EjectFailureRate   float64       // share of failures, as its lower confidence bound, that ejects
	EjectPeerRatio     float64       // and so many times the share of the other servers
	MaxConnectFailures int           // attempts in a row that found no connection: dead
	MaxEjectedFraction float64       // share of a block's holders that may be ejected at once
	PanicThreshold     float64       // share of the checked servers; with more failing their checks, checks are doubted
	AnswerValidity     time.Duration // how long an answer stands for a server that works
	HalfOpenDelay      time.Duration // from an ejection to the first trial; doubles with each ejection soon after
	HalfOpenInterval   time.Duration // from a good trial to the next
	MaxHalfOpenDelay   time.Duration // the longest from a bad trial to the next
	HalfOpenTraffic    float64       // parts of the class elsewhere for each bad trial, within MaxHalfOpenDelay
	NonIdempotentDelay time.Duration // to a trial by a class that must not run twice, if no other can tell
	ReturnSuccesses    int           // good trials in a row that bring a server back
	RecoveryRamp       time.Duration // from a quarter of its share to all of it, after a return
	FlapHalfLife       time.Duration // half-life of the penalty for a change of checks
	FlapSuppress       float64       // changes, decayed, from which a server stays down
	FlapReuse          float64       // and below which it may come back
	WeightRiseTime     time.Duration // for a share to rise from 0 to 1; it falls three times as fast
}

// Defaults are the rules for so many classes.
func Defaults(classes int, unsafe uint64) Rules {
	return Rules{
		Classes: classes, NonIdempotent: unsafe,
		OutcomeHalfLife: 4 * time.Second, MinOutcomes: 4, EjectFailureRate: 0.3, EjectPeerRatio: 2.5, MaxConnectFailures: 3, MaxEjectedFraction: 0.5, PanicThreshold: 0.5,
		AnswerValidity: 3 * time.Second, HalfOpenDelay: 500 * time.Millisecond, HalfOpenInterval: 200 * time.Millisecond,
		MaxHalfOpenDelay: 3 * time.Second, HalfOpenTraffic: 100, NonIdempotentDelay: 15 * time.Second, ReturnSuccesses: 5, RecoveryRamp: 2 * time.Second,
		FlapHalfLife: 15 * time.Second, FlapSuppress: 5, FlapReuse: 1.5, WeightRiseTime: 5 * time.Second,
	}
}

func (r Rules) check() error {
	for _, c := range []struct {
		bad  bool
		what string
	}{
		{r.Classes < 1 || r.Classes > 63, "1 to 63 classes"},
		{r.OutcomeHalfLife <= 0 || r.AnswerValidity <= 0 || r.FlapHalfLife <= 0, "half-lives and fresh must be positive"},
		{!(r.MinOutcomes >= 1), "volume must be at least 1"},
		{!(r.EjectFailureRate > 0 && r.EjectFailureRate < 1), "share of failures must be over 0 and under 1"},
		{!(r.EjectPeerRatio >= 1), "ratio must be at least 1"},
		{r.MaxConnectFailures < 1 || r.ReturnSuccesses < 1, "unreached and return must be at least 1"},
		{!(r.MaxEjectedFraction >= 0 && r.MaxEjectedFraction < 1), "eject_most must be 0 or more and under 1: a block keeps a holder"},
		{!(r.PanicThreshold > 0 && r.PanicThreshold <= 1), "panic must be over 0 and at most 1"},
		{r.HalfOpenDelay <= 0 || r.HalfOpenInterval <= 0 || r.MaxHalfOpenDelay < r.HalfOpenInterval || r.NonIdempotentDelay <= 0, "times of trials must be positive, and the longest the longest"},
		{!(r.FlapReuse > 0 && r.FlapSuppress > r.FlapReuse), "flap_most must be over flap_back, and that over 0"},
		{r.WeightRiseTime <= 0 || r.RecoveryRamp <= 0, "weight_step and ramp must be positive"},
	} {
		if c.bad {
			return errors.New(c.what)
		}
	}
	return nil
}

func (s CheckConfig) check() error {
	if s.Name == "" || s.Fall < 1 || s.Rise < 1 || s.Validity <= 0 {
		return fmt.Errorf("check %q: it needs a name, fall and rise of at least 1, and a time of validity", s.Name)
	}
	return nil
}
