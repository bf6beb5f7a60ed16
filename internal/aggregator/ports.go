// Package mixer is the core round the decisions: requests, their parts, attempts and outcomes. It does no I/O
// and reads no clock. A Core takes the events of one turn, hands them to the decisions in one go and carries
// out what comes back through its ports. It is not safe for concurrent use; Loop drives it.
package aggregator

import (
	"errors"
	"fmt"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/control/outlier"
	"rooktrestle/internal/control/shardmap"
)

// Reach says how far an attempt had come when it ended.
type Reach int

const (
	NotConnected Reach = iota // no connection came up, or nothing of it was written
	PartWritten               // it broke before its last byte was written
	Written                   // all of it was written, or it cannot be proved that it was not
	Answered                  // the server gave its word
)

func (r Reach) String() string {
	return [...]string{"not connected", "not wholly written", "written", "answered"}[r]
}

// AttemptError says how an attempt failed. Reach and the flags alone decide whether it may have run.
type AttemptError struct {
	Reach      Reach
	TurnedAway bool // Answered: the server did not take it
	Withdrawn  bool // this mixer gave it up
	// TurnedAway because of the map of blocks: what the server said, and the epoch it named.
	Word  shardmap.Word
	Epoch shardmap.Epoch

	Spoilt bool // Written: the server lives, and what it said on the connection cannot be read
	Own    bool // NotConnected: for want of something of this mixer's; tells nothing of the server
	Cause  error
}

func (e *AttemptError) Error() string {
	what := e.Reach.String()
	if e.TurnedAway {
		what = "turned away"
	} else if e.Withdrawn {
		what = "given up, " + what
	}
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", what, e.Cause)
	}
	return what
}

func (e *AttemptError) Unwrap() error { return e.Cause }

// result is the outcome that an attempt's error stands for. An error of another kind proves nothing.
func result(err error) balance.Result {
	var a *AttemptError
	switch {
	case err == nil:
		return balance.OK
	case !errors.As(err, &a):
		return balance.Reset
	case a.TurnedAway && a.Word != shardmap.NoWord:
		return balance.Ignored // it tells nothing of the server's load
	case a.TurnedAway:
		return balance.QueueFull
	case a.Withdrawn && a.Reach < Written:
		return balance.Ignored
	case a.Withdrawn:
		return balance.Canceled
	case a.Reach < Written:
		return balance.ConnectFailed
	case a.Reach == Answered, a.Spoilt:
		return balance.Failed
	}
	return balance.Reset
}

// Front is where a request came from. Answer is called once for each request whose client has not left.
type Front interface{ Answer(Final) }

// Backend carries attempts to servers. Each attempt sent ends in one Ended and each probe in one Probed event.
type Backend interface {
	// Send makes one call of these attempts.
	Send(now time.Time, to Server, calls []Call)
	// Withdraw gives an attempt up. Its Ended event comes only when the server has been told, or the
	// connection is closed, so that the part's next attempt is no second copy. again says that there may be one.
	Withdraw(now time.Time, a AttemptID, again bool)
	Probe(now time.Time, to Server)
}

// Peers carries words to the other mixers of the tier, as far as it can.
type Peers interface{ Tell(text []byte) }

// Word is a message from another mixer, as it came.
type Word struct{ Text []byte }

// Directory says what is known of a server; Core is one.
type Directory interface {
	// Open says whether new work may go to a server by now.
	Open(balance.Replica) bool
}

// Server is one server as last listed.
type Server struct {
	balance.Evidence
	ID      balance.Replica
	Addr    string
	Zone    int
	Cell    int
	Weight  float64
	State   balance.State
	Started time.Time // zero: long ago
}

// Witness is told how each attempt ended, on the loop, in the order of the ends.
type Witness interface {
	Saw(now time.Time, a Attempt)
}

// Attempt is one that has ended.
type Attempt struct {
	Server balance.Replica
	Class  int
	Result balance.Result
	Sent   time.Time
	Own    bool // it failed for want of something of this mixer's
	Lie    bool // it was turned away with a word that the map contradicts
}

// Shows is what the attempt's end tells of its server's health. aim is its class's.
func (a Attempt) Shows(now time.Time, aim time.Duration) health.Result {
	switch a.Result {
	case balance.OK:
		return health.Good
	case balance.Failed, balance.Reset, balance.TimedOut:
		return health.Bad
	case balance.ConnectFailed:
		if !a.Own { // else for want of something of ours
			return health.Unreached
		}
	case balance.Canceled:
		// Called off after more than the aim: it was silent. Before that, its client left or another part failed.
		if now.Sub(a.Sent) >= aim {
			return health.Bad
		}
	}
	if a.Lie { // it turns away what it holds
		return health.Bad
	}
	return health.Neutral
}

// end is what the attempt's end tells of its server to the table of losses, which judges by itself what was called off
// and what was turned away.
func (a Attempt) end() outlier.End {
	switch a.Result {
	case balance.Canceled:
		return outlier.CalledOff
	case balance.QueueFull:
		return outlier.TurnedAway
	}
	switch a.Shows(a.Sent, 0) {
	case health.Good:
		return outlier.Served
	case health.Bad, health.Unreached:
		return outlier.Lost
	}
	return outlier.Neutral
}

// Spec is one part of a request.
type Spec struct {
	Shard  int // or the block's id
	Weight float64
	Hint   time.Duration
}

// Request is one query as a front took it.
type Request struct {
	ID      string
	Class   int
	Tenant  int
	Key     string
	Arrived time.Time
	Wait    time.Duration // the client waits so long from Arrived on
	Retry   bool
	Text    string
	Parts   []Spec
	Front   Front
	// Layout, if set, makes the parts from the view that the query is pinned to; each is a block. It is called again
	// if the query begins anew on another view.
	Layout func(*shardmap.View) []Spec

	done bool // it has its final answer, or its client has left
}

// FinalKind is how a query ended.
type FinalKind int

const (
	Served FinalKind = iota
	Refused
	Failed
	Gone // the client left: nobody is told
)

// Final is the one final answer of a query.
type Final struct {
	Kind       FinalKind
	Whole      bool
	Items      []Item
	RetryAfter time.Duration // Refused: when to come back; 0: no advice
	Overdue    bool          // not served: its time was over
	Missing    []int         // Served, not whole: shards that are not in
	Share      float64       // Served: weight of the parts that are in
	Of         int           // Served: parts of the step
}

// Item is the value of one part, as a server gave it.
type Item struct {
	Shard int
	Value string
}

// AttemptID names an attempt: the part and its number.
type AttemptID struct {
	Part balance.ID
	N    int
}

// Call is one attempt of a part.
type Call struct {
	Attempt AttemptID
	Name    string // of the part, on the wire
	Class   int
	Shard   int
	Until   time.Time // the mixer waits no longer
	By      time.Time // it is to be written by then or not at all; zero: no such time
	Text    string
	Second  bool // part of a second step, which came after From
	From    []int
	Whole   bool           // the first step was whole
	Epoch   shardmap.Epoch // of the view; 0: there is none
}

// Events of the core.
type (
	// Arrive is a new request.
	Arrive struct{ Request *Request }
	// Left says that a request's client has gone away.
	Left struct{ Request *Request }
	// Ended ends an attempt.
	Ended struct {
		Attempt AttemptID
		Err     error // nil: served
		Score   float64
		Value   string
		Report  *balance.Report
	}
	// Probed ends a probe.
	Probed struct {
		Server balance.Replica
		Err    error
		Took   time.Duration
		Report *balance.Report
	}
	// Late says that a server answered an attempt after it was given up: it lives, and is behind.
	Late struct{ Server balance.Replica }
	// MapOffered is word of a source of maps. Map is nil where it has nothing newer.
	MapOffered struct {
		Source string
		Map    *shardmap.Map
		Err    error // why it has none
	}
	// Members is word from discovery.
	Members struct {
		Kind balance.ListKind
		List []Server
	}
)

// Counters count what a mixer took in, sent and answered.
type Counters struct {
	Taken, Served, Partial, Refused, Failed, Gone uint64
	Overfull, Overdue, SecondSteps, Panics        uint64
	Restarts, Waits                               uint64 // queries begun anew, or held for a newer map
	Sent, Probes, Withdrawn                       uint64
	Tells, Words, WordsBad                        uint64 // words sent to and heard from other mixers, and heard that are none
	Outcomes                                      [balance.Ignored + 1]uint64
}

var outcomeNames = [...]string{"served", "error", "turned away", "timed out", "could not connect", "reset", "cancelled", "not sent"}

func (c Counters) String() string {
	text := fmt.Sprintf("taken %d; answered: served %d (partial %d), refused %d (full %d), failed %d, gone %d, out of time %d; "+
		"second steps %d, begun anew %d; sent %d, withdrawn %d, probes %d; words sent %d, heard %d, bad %d; attempts:",
		c.Taken, c.Served, c.Partial, c.Refused, c.Overfull, c.Failed, c.Gone, c.Overdue,
		c.SecondSteps, c.Restarts, c.Sent, c.Withdrawn, c.Probes, c.Tells, c.Words, c.WordsBad)
	for i, n := range c.Outcomes {
		text += fmt.Sprintf(" %s %d,", outcomeNames[i], n)
	}
	return text[:len(text)-1]
}
