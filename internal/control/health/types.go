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

// Admin is an administrative word: what somebody wants done with a server, whatever its state.
type Admin int8

const (
	NoAdmin Admin = iota // not named: stays as it was
	Ready
	Drain // finishes what it has in hand, gets nothing new
	Maint // the same, and its checks count for nothing
)

func (a Admin) String() string { return [...]string{"", "ready", "drain", "maint"}[a] }

// Oper is an operating state as somebody saw it.
type Oper int8

const (
	NoOper Oper = iota // not named
	Up
	Down
)

func (o Oper) String() string { return [...]string{"", "up", "down"}[o] }

// Report is the result of one check.
type Report struct {
	Failed   bool    // the check came to nothing: no connection, no answer in time, not the answer expected
	AtOnce   bool    // what it says counts at once, without fall or rise
	Admin    Admin   // an administrative word, if there is one
	Oper     Oper    // an operating state, if it is told
	Weight   float64 // share of the full weight, 0 to 2.56; negative: not named
	MaxConn  int     // parts it will hold for us; negative: not named
	Degraded bool
	Why      string // a few words, for people
}

// Source is one check as the operator set it up.
type Source struct {
	Name  string
	Fall  int           // failed checks in a row that make a server down, at least 1
	Rise  int           // good ones in a row that bring it back, at least 1
	Valid time.Duration // how long a result counts; older ones say nothing. Administrative words stay.
	Mute  bool          // a check that came to nothing says nothing: only words count
}

// Result is how an attempt of a real part ended, as far as it tells of its server.
type Result int8

const (
	Good      Result = iota // answered
	Bad                     // an error, a reset, silence: may have run
	Unreached               // no connection
	Neutral                 // called off, turned away: tells nothing
)

// Node is a server as listed.
type Node struct {
	ID     ID
	Blocks []int // blocks that it holds, from 0 on
	Gone   bool  // the roster says that it is gone
	Drain  bool  // the roster says that it drains
}

// State of a conclusion.
type State int8

const (
	InService State = iota
	Draining        // nothing new; what is in hand finishes
	Out             // nothing new, and taken off the list
)

func (s State) String() string { return [...]string{"in service", "draining", "out"}[s] }

// Everything is every class: a server that is a last resort only.
const Everything = ^uint64(0)

// Conclusion is what is to be done with a server.
type Conclusion struct {
	State   State
	Shun    uint64  // bit c: parts of class c go there only if no other holder may take them
	Share   float64 // of the parts that it would get, over 0 to 1
	MaxOut  int     // parts out at once; 0: not limited
	Cause   string  // why, for people
	Usable  bool    // a part that is sent there may be expected to be answered
	Dubious bool    // facts contradict each other
}

// Change is a conclusion that has changed, or a trial that is granted.
type Change struct {
	ID ID
	Conclusion
	Trial uint64 // bit c: one part of class c may go there though the class is shunned
	Told  bool   // it differs in more than a share or a trial: to be logged
	Was   State
}

// Rules are the figures of the merging. Zero values are not defaults; see Defaults.
type Rules struct {
	Classes int
	Unsafe  uint64 // bit c: no part of class c may run twice, so none is risked for a trial

	Half       time.Duration // half-life of outcomes in a class's share of failures
	Volume     float64       // outcomes in the window from which a share counts
	Share      float64       // share of failures, as its lower confidence bound, that ejects
	Ratio      float64       // and so many times the share of the other servers
	Unreached  int           // attempts in a row that found no connection: dead
	EjectMost  float64       // share of a block's holders that may be ejected at once
	Panic      float64       // share of the checked servers; with more failing their checks, checks are doubted
	Fresh      time.Duration // how long an answer stands for a server that works
	TrialFirst time.Duration // from an ejection to the first trial; doubles with each ejection soon after
	TrialGap   time.Duration // from a good trial to the next
	TrialMost  time.Duration // the longest from a bad trial to the next
	TrialParts float64       // parts of the class elsewhere for each bad trial, within TrialMost
	TrialSafe  time.Duration // to a trial by a class that must not run twice, if no other can tell
	Return     int           // good trials in a row that bring a server back
	Ramp       time.Duration // from a quarter of its share to all of it, after a return
	FlapHalf   time.Duration // half-life of the penalty for a change of checks
	FlapMost   float64       // changes, decayed, from which a server stays down
	FlapBack   float64       // and below which it may come back
	WeightStep time.Duration // for a share to rise from 0 to 1; it falls three times as fast
}

// Defaults are the rules for so many classes.
func Defaults(classes int, unsafe uint64) Rules {
	return Rules{
		Classes: classes, Unsafe: unsafe,
		Half: 4 * time.Second, Volume: 4, Share: 0.3, Ratio: 2.5, Unreached: 3, EjectMost: 0.5, Panic: 0.5,
		Fresh: 3 * time.Second, TrialFirst: 500 * time.Millisecond, TrialGap: 200 * time.Millisecond,
		TrialMost: 3 * time.Second, TrialParts: 100, TrialSafe: 15 * time.Second, Return: 5, Ramp: 2 * time.Second,
		FlapHalf: 15 * time.Second, FlapMost: 5, FlapBack: 1.5, WeightStep: 5 * time.Second,
	}
}

func (r Rules) check() error {
	for _, c := range []struct {
		bad  bool
		what string
	}{
		{r.Classes < 1 || r.Classes > 63, "1 to 63 classes"},
		{r.Half <= 0 || r.Fresh <= 0 || r.FlapHalf <= 0, "half-lives and fresh must be positive"},
		{!(r.Volume >= 1), "volume must be at least 1"},
		{!(r.Share > 0 && r.Share < 1), "share of failures must be over 0 and under 1"},
		{!(r.Ratio >= 1), "ratio must be at least 1"},
		{r.Unreached < 1 || r.Return < 1, "unreached and return must be at least 1"},
		{!(r.EjectMost >= 0 && r.EjectMost < 1), "eject_most must be 0 or more and under 1: a block keeps a holder"},
		{!(r.Panic > 0 && r.Panic <= 1), "panic must be over 0 and at most 1"},
		{r.TrialFirst <= 0 || r.TrialGap <= 0 || r.TrialMost < r.TrialGap || r.TrialSafe <= 0, "times of trials must be positive, and the longest the longest"},
		{!(r.FlapBack > 0 && r.FlapMost > r.FlapBack), "flap_most must be over flap_back, and that over 0"},
		{r.WeightStep <= 0 || r.Ramp <= 0, "weight_step and ramp must be positive"},
	} {
		if c.bad {
			return errors.New(c.what)
		}
	}
	return nil
}

func (s Source) check() error {
	if s.Name == "" || s.Fall < 1 || s.Rise < 1 || s.Valid <= 0 {
		return fmt.Errorf("check %q: it needs a name, fall and rise of at least 1, and a time of validity", s.Name)
	}
	return nil
}
