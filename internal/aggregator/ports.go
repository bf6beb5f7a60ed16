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

// Progress says how far an attempt had come when it ended.
type Progress int

const (
	NotConnected  Progress = iota // no connection came up, or nothing of it was written
	PartlyWritten                 // it broke before its last byte was written
	Written                       // all of it was written, or it cannot be proved that it was not
	Answered                      // the server gave its word
)

func (r Progress) String() string {
	return [...]string{"not connected", "not wholly written", "written", "answered"}[r]
}

// AttemptError says how an attempt failed. Reach and the flags alone decide whether it may have run.
type AttemptError struct {
	Progress Progress
	Rejected bool // Answered: the server did not take it
	Canceled bool // this mixer gave it up
	// Rejected because of the map of blocks: what the server said, and the epoch it named.
	MapStatus shardmap.Mismatch
	Epoch     shardmap.Epoch

	CorruptStream bool // Written: the server lives, and what it said on the connection cannot be read
	LocalCause    bool // NotConnected: for want of something of this mixer's; tells nothing of the server
	Cause         error
}

func (e *AttemptError) Error() string {
	what := e.Progress.String()
	if e.Rejected {
		what = "turned away"
	} else if e.Canceled {
		what = "given up, " + what
	}
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", what, e.Cause)
	}
	return what
}

func (e *AttemptError) Unwrap() error { return e.Cause }

// result is the outcome that an attempt's error stands for. An error of another kind proves nothing.
func result(err error) balance.AttemptResult {
	var a *AttemptError
	switch {
	case err == nil:
		return balance.OK
	case !errors.As(err, &a):
		return balance.Reset
	case a.Rejected && a.MapStatus != shardmap.NoMismatch:
		return balance.NotSent // it tells nothing of the server's load
	case a.Rejected:
		return balance.QueueFull
	case a.Canceled && a.Progress < Written:
		return balance.NotSent
	case a.Canceled:
		return balance.Canceled
	case a.Progress < Written:
		return balance.ConnectFailed
	case a.Progress == Answered, a.CorruptStream:
		return balance.Failed
	}
	return balance.Reset
}

// Frontend is where a request came from. Answer is called once for each request whose client has not left.
type Frontend interface{ Answer(FinalAnswer) }

// Backend carries attempts to servers. Each attempt sent ends in one Ended and each probe in one Probed event.
type Backend interface {
	// Send makes one call of these attempts.
	Send(now time.Time, to Server, calls []Call)
	// Cancel gives an attempt up. Its Ended event comes only when the server has been told, or the
	// connection is closed, so that the part's next attempt is no second copy. again says that there may be one.
	Cancel(now time.Time, a AttemptID, again bool)
	Probe(now time.Time, to Server)
}

// GossipSender carries words to the other mixers of the tier, as far as it can.
type GossipSender interface{ Broadcast(text []byte) }

// Directory says what is known of a server; Core is one.
type Directory interface {
	// Available says whether new work may go to a server by now.
	Available(balance.Replica) bool
}

// Server is one server as last listed.
type Server struct {
	balance.HealthLimits
	ID      balance.Replica
	Addr    string
	Zone    int
	Cell    int
	Weight  float64
	State   balance.EndpointState
	Started time.Time // zero: long ago
}

// AttemptObserver is told how each attempt ended, on the loop, in the order of the ends.
type AttemptObserver interface {
	AttemptEnded(now time.Time, a AttemptSummary)
}

// AttemptSummary is one that has ended.
type AttemptSummary struct {
	Server         balance.Replica
	Class          int
	Result         balance.AttemptResult
	Sent           time.Time
	LocalCause     bool // it failed for want of something of this mixer's
	FalseRejection bool // it was turned away with a word that the map contradicts
}

// HealthResult is what the attempt's end tells of its server's health. aim is its class's.
func (a AttemptSummary) HealthResult(now time.Time, aim time.Duration) health.Outcome {
	switch a.Result {
	case balance.OK:
		return health.Success
	case balance.Failed, balance.Reset, balance.TimedOut:
		return health.Failure
	case balance.ConnectFailed:
		if !a.LocalCause { // else for want of something of ours
			return health.ConnectFailure
		}
	case balance.Canceled:
		// Called off after more than the aim: it was silent. Before that, its client left or another part failed.
		if now.Sub(a.Sent) >= aim {
			return health.Failure
		}
	}
	if a.FalseRejection { // it turns away what it holds
		return health.Failure
	}
	return health.Neutral
}

// end is what the attempt's end tells of its server to the table of losses, which judges by itself what was called off
// and what was turned away.
func (a AttemptSummary) end() outlier.Outcome {
	switch a.Result {
	case balance.Canceled:
		return outlier.Canceled
	case balance.QueueFull:
		return outlier.Rejected
	}
	switch a.HealthResult(a.Sent, 0) {
	case health.Success:
		return outlier.Answered
	case health.Failure, health.ConnectFailure:
		return outlier.Failed
	}
	return outlier.NotSent
}

// PartSpec is one part of a request.
type PartSpec struct {
	Shard    int // or the block's id
	Weight   float64
	WorkHint time.Duration
}

// Request is one query as a front took it.
type Request struct {
	ID       string
	Class    int
	Tenant   int
	Key      string
	Arrived  time.Time
	Timeout  time.Duration // the client waits so long from Arrived on
	IsRetry  bool
	Payload  string
	Parts    []PartSpec
	Frontend Frontend
	// Layout, if set, makes the parts from the view that the query is pinned to; each is a block. It is called again
	// if the query begins anew on another view.
	Layout func(*shardmap.View) []PartSpec

	done bool // it has its final answer, or its client has left
}

// FinalStatus is how a query ended.
type FinalStatus int

const (
	StatusServed FinalStatus = iota
	StatusRejected
	StatusFailed
	StatusDisconnected // the client left: nobody is told
)

// FinalAnswer is the one final answer of a query.
type FinalAnswer struct {
	Status           FinalStatus
	Complete         bool
	Items            []Item
	RetryAfter       time.Duration // Refused: when to come back; 0: no advice
	DeadlineExceeded bool          // not served: its time was over
	MissingShards    []int         // Served, not whole: shards that are not in
	AnsweredWeight   float64       // Served: weight of the parts that are in
	TotalParts       int           // Served: parts of the step
}

// Item is the value of one part, as a server gave it.
type Item struct {
	Shard int
	Value string
}

// AttemptID names an attempt: the part and its number.
type AttemptID struct {
	Part   balance.ID
	Number int
}

// Call is one attempt of a part.
type Call struct {
	Attempt           AttemptID
	Name              string // of the part, on the wire
	Class             int
	Shard             int
	Deadline          time.Time // the mixer waits no longer
	WriteBy           time.Time // it is to be written by then or not at all; zero: no such time
	Payload           string
	FollowUp          bool // part of a second step, which came after From
	FirstStepShards   []int
	FirstStepComplete bool           // the first step was whole
	Epoch             shardmap.Epoch // of the view; 0: there is none
}

// Counters count what a mixer took in, sent and answered.
type Counters struct {
	Received, Served, Partial, Rejected, Failed, Disconnected uint64
	RejectedAtCapacity, DeadlineExceeded, FollowUps, Panics   uint64
	Restarts, MapWaits                                        uint64 // queries begun anew, or held for a newer map
	Sent, Probes, Canceled                                    uint64
	GossipSent, GossipReceived, GossipInvalid                 uint64 // words sent to and heard from other mixers, and heard that are none
	Results                                                   [balance.NotSent + 1]uint64
}

var outcomeNames = [...]string{"served", "error", "turned away", "timed out", "could not connect", "reset", "cancelled", "not sent"}

func (c Counters) String() string {
	text := fmt.Sprintf("taken %d; answered: served %d (partial %d), refused %d (full %d), failed %d, gone %d, out of time %d; "+
		"second steps %d, begun anew %d; sent %d, withdrawn %d, probes %d; words sent %d, heard %d, bad %d; attempts:",
		c.Received, c.Served, c.Partial, c.Rejected, c.RejectedAtCapacity, c.Failed, c.Disconnected, c.DeadlineExceeded,
		c.FollowUps, c.Restarts, c.Sent, c.Canceled, c.Probes, c.GossipSent, c.GossipReceived, c.GossipInvalid)
	for i, n := range c.Results {
		text += fmt.Sprintf(" %s %d,", outcomeNames[i], n)
	}
	return text[:len(text)-1]
}
